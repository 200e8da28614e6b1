//! The explain history stays within its memory limit, evicts the oldest submissions first, and reports how many events
//! it left out.

use std::time::{Duration, Instant};

use insta::assert_snapshot;
use model::{
    AttemptEnd, ByteSize, ContractVersion, IncarnationId, RefusalReason, RetryReason, SubmissionId,
    SubmissionOutcome, UnknownReason,
};
use telemetry::{
    explain::{AttemptSummary, OutcomeSummary, MAX_EVENTS},
    ExplainEvent, ExplainHistory, SubmissionSummary,
};

fn id(serial: u64) -> SubmissionId {
    SubmissionId {
        incarnation: IncarnationId(7),
        serial,
    }
}

fn summary() -> SubmissionSummary {
    SubmissionSummary {
        customer: "trust".parse().unwrap(),
        contract: Some(ContractVersion(3)),
        tasks: 2,
    }
}

fn answered(outcome: &SubmissionOutcome) -> ExplainEvent {
    ExplainEvent::Answered {
        outcome: OutcomeSummary::from(outcome),
    }
}

#[test]
fn a_report_lists_every_event() {
    let mut history = ExplainHistory::new(ByteSize(1 << 20));
    let start = Instant::now();
    let dispatcher = "vm2".parse().unwrap();
    let end = AttemptSummary::from(&AttemptEnd::NotRun(RetryReason::EndpointBusy));
    let outcome = SubmissionOutcome::Unknown(UnknownReason::ConnectionLost);
    let events = [
        (0, ExplainEvent::Admitted),
        (
            1,
            ExplainEvent::Offered {
                task: 0,
                dispatcher,
            },
        ),
        (2, ExplainEvent::Queued { task: 0 }),
        (40, ExplainEvent::Claimed { task: 0 }),
        (
            41,
            ExplainEvent::Started {
                task: 0,
                attempt: 0,
            },
        ),
        (
            43,
            ExplainEvent::Ended {
                task: 0,
                attempt: 0,
                end,
            },
        ),
        (90, answered(&outcome)),
    ];
    history.accept(id(1), summary(), start);
    for (ms, event) in events {
        history.record(id(1), event, start + Duration::from_millis(ms));
    }
    let report = history.explain(id(1)).unwrap();
    assert_snapshot!(serde_json::to_string_pretty(&report).unwrap());
}

/// During a burst of refused submissions, memory must never exceed the limit: the newest submissions stay, the oldest
/// are evicted.
#[test]
fn memory_is_bounded_and_the_oldest_is_evicted_first() {
    let limit = ByteSize(100_000);
    let mut history = ExplainHistory::new(limit);
    let now = Instant::now();
    for serial in 0..10_000 {
        history.accept(id(serial), summary(), now);
        let reason = RefusalReason::Overloaded;
        history.record(id(serial), ExplainEvent::Refused { reason }, now);
        let outcome = SubmissionOutcome::Refused {
            reason,
            retry_after: None,
        };
        history.record(id(serial), answered(&outcome), now);
        assert!(history.used() <= limit, "{} at {serial}", history.used());
    }
    assert!(history.len() > 100, "{}", history.len());
    assert!(history.explain(id(0)).is_none());
    let oldest = 10_000 - history.len() as u64;
    assert!(history.explain(id(oldest)).is_some());
    assert!(history.explain(id(oldest - 1)).is_none());
}

#[test]
fn one_submission_cannot_fill_the_history() {
    let mut history = ExplainHistory::new(ByteSize(10 << 20));
    let now = Instant::now();
    history.accept(id(1), summary(), now);
    for task in 0..100_000 {
        history.record(id(1), ExplainEvent::Queued { task }, now);
    }
    history.record(
        id(1),
        answered(&SubmissionOutcome::Complete(Vec::new())),
        now,
    );
    let report = history.explain(id(1)).unwrap();
    assert_eq!(report.events.len(), MAX_EVENTS + 1);
    assert_eq!(report.events_left_out as usize, 100_000 - MAX_EVENTS);
    let last = &report.events.last().unwrap().event;
    assert!(matches!(last, ExplainEvent::Answered { .. }));
}

#[test]
fn unknown_and_evicted_submissions_are_not_explained() {
    let mut history = ExplainHistory::new(ByteSize(1));
    let now = Instant::now();
    history.record(id(1), ExplainEvent::Admitted, now);
    assert!(history.explain(id(1)).is_none());
    history.accept(id(1), summary(), now);
    assert!(history.is_empty());
    assert_eq!(history.used(), ByteSize(0));
    history.record(id(1), ExplainEvent::Cancelled, now);
    assert_eq!(history.used(), ByteSize(0));
}

#[test]
fn accepting_a_submission_again_keeps_its_record() {
    let mut history = ExplainHistory::new(ByteSize(1 << 20));
    let now = Instant::now();
    history.accept(id(1), summary(), now);
    history.record(id(1), ExplainEvent::Admitted, now);
    let used = history.used();
    history.accept(id(1), summary(), now);
    assert_eq!(history.used(), used);
    assert_eq!(history.explain(id(1)).unwrap().events.len(), 1);
}
