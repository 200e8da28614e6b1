//! Endpoints that are leaving, according to the VM list or to the endpoint itself.

use std::time::{Duration, Instant};

use ledger::{LedgerAction, LedgerSettings, SlotLedger};
use model::{
    AttemptEnd, AttemptId, CustomerShare, EndpointAddress, EndpointState, IncarnationId,
    OfferReply, Payload, RetryReason, SessionId, SubmissionId, TaskOffer,
};

const ENTRY: IncarnationId = IncarnationId(1);
const SESSION: SessionId = SessionId(1);

fn offer(serial: u64) -> TaskOffer {
    let submission = SubmissionId {
        incarnation: ENTRY,
        serial,
    };
    TaskOffer {
        attempt: AttemptId {
            submission,
            task: 0,
            attempt: 0,
        },
        customer: "school".parse().expect("an id"),
        share: CustomerShare::default(),
        kind: "hold".parse().expect("a kind"),
        time_left: Duration::from_secs(5),
        expected_run_time: Duration::from_millis(100),
        payload: Payload::from(&b"body"[..]),
    }
}

fn address(name: &str) -> EndpointAddress {
    EndpointAddress {
        id: name.parse().expect("an id"),
        address: ([127, 0, 0, 1], 1).into(),
        slots: 2,
    }
}

fn ledger(now: Instant, endpoints: &[(EndpointAddress, EndpointState)]) -> SlotLedger {
    let mut ledger = SlotLedger::new(LedgerSettings::default());
    ledger.set_endpoints(now, endpoints);
    ledger
        .open_session(now, ENTRY, SESSION)
        .expect("the first session");
    ledger
}

/// The endpoints of the starts since the last call.
fn starts(ledger: &mut SlotLedger) -> Vec<String> {
    let mut endpoints = Vec::new();
    for action in ledger.take_actions() {
        if let LedgerAction::Start { endpoint, .. } = action {
            endpoints.push(endpoint.id.to_string());
        }
    }
    endpoints
}

#[test]
fn an_endpoint_listed_as_leaving_gets_no_new_tasks() {
    // One of two endpoints leaves while a task runs there. It still has a free slot, but new tasks must go to the other
    // endpoint, and wait once that is full.
    let now = Instant::now();
    let (leaving, live) = (address("e1"), address("e2"));
    let mut ledger = ledger(now, &[(leaving.clone(), EndpointState::Live)]);
    ledger.offer(now, ENTRY, SESSION, 1, vec![offer(1)]);
    assert_eq!(starts(&mut ledger), ["e1"]);
    let listed = [
        (leaving, EndpointState::Leaving),
        (live, EndpointState::Live),
    ];
    ledger.set_endpoints(now, &listed);
    let replies = ledger.offer(now, ENTRY, SESSION, 2, vec![offer(2), offer(3), offer(4)]);
    assert_eq!(
        replies,
        [OfferReply::Started, OfferReply::Started, OfferReply::Queued]
    );
    assert_eq!(starts(&mut ledger), ["e2", "e2"]);
    assert_eq!(ledger.slots().limit, 2);
}

#[test]
fn an_endpoint_that_reports_leaving_gets_no_new_tasks_while_the_list_lags() {
    // The endpoint rejects a task as leaving, while the VM list still shows it as live at the next read. Without
    // another endpoint, new tasks are rejected as not run, so that they can go to another dispatcher.
    let now = Instant::now();
    let endpoint = address("e1");
    let mut ledger = ledger(now, &[(endpoint.clone(), EndpointState::Live)]);
    ledger.offer(now, ENTRY, SESSION, 1, vec![offer(1)]);
    let end = AttemptEnd::NotRun(RetryReason::EndpointLeaving);
    ledger.on_task_ended(now, offer(1).attempt, end);
    starts(&mut ledger);
    ledger.set_endpoints(now, &[(endpoint, EndpointState::Live)]);
    let replies = ledger.offer(now, ENTRY, SESSION, 2, vec![offer(2)]);
    assert_eq!(replies, [OfferReply::NotRun(RetryReason::NoEndpoint)]);
    assert!(starts(&mut ledger).is_empty());
}
