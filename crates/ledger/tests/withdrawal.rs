//! Withdrawals that cross or overtake the offers and reports of their attempts.

use std::time::{Duration, Instant};

use ledger::{LedgerAction, LedgerSettings, SlotLedger, StaleSession};
use model::{
    AttemptEnd, AttemptId, CustomerShare, EndpointAddress, EndpointState, IncarnationId,
    OfferReply, Payload, RetryReason, SessionId, SubmissionId, TaskOffer, WithdrawalReply,
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

/// A ledger with one endpoint of one slot and an open session.
fn ledger(now: Instant) -> SlotLedger {
    let mut ledger = SlotLedger::new(LedgerSettings::default());
    let id = "endpoint-1".parse().expect("an id");
    let address = EndpointAddress {
        id,
        address: ([127, 0, 0, 1], 1).into(),
        slots: 1,
    };
    ledger.set_endpoints(now, &[(address, EndpointState::Live)]);
    ledger
        .open_session(now, ENTRY, SESSION)
        .expect("the first session");
    ledger
}

fn starts(ledger: &mut SlotLedger) -> usize {
    let actions = ledger.take_actions();
    actions
        .iter()
        .filter(|action| matches!(action, LedgerAction::Start { .. }))
        .count()
}

#[test]
fn a_withdrawal_that_overtakes_its_offer_is_not_confirmed() {
    // The caller cancels a job while its offer is in flight. The ledger reads the withdrawal first; then the offer
    // arrives and starts. Answering "not run" would free the customer's concurrency while the task runs.
    let now = Instant::now();
    let mut ledger = ledger(now);
    let attempt = offer(1).attempt;
    assert_eq!(
        ledger.withdraw(now, ENTRY, SESSION, 1, &[attempt]),
        [WithdrawalReply::Running]
    );
    assert_eq!(
        ledger.offer(now, ENTRY, SESSION, 1, vec![offer(1)]),
        [OfferReply::Started]
    );
    assert_eq!(
        ledger.withdraw(now, ENTRY, SESSION, 1, &[offer(2).attempt]),
        [WithdrawalReply::NotRun]
    );
}

#[test]
fn a_received_batch_does_not_imply_the_one_it_overtook() {
    // Two offers are in flight and change places, and the withdrawal of the first is read between them. Answering "not
    // run" would be untrue a moment later, when the first offer arrives and starts.
    let now = Instant::now();
    let mut ledger = ledger(now);
    ledger.offer(now, ENTRY, SESSION, 2, vec![offer(2)]);
    let replies = ledger.withdraw(now, ENTRY, SESSION, 2, &[offer(1).attempt]);
    assert_eq!(replies, [WithdrawalReply::Running]);
}

#[test]
fn a_withdrawal_that_crosses_the_report_is_not_answered_not_run() {
    // The task ends while the entry withdraws it, so the report and the withdrawal cross. If the attempt were dropped
    // too early, it would be answered "not run", placed again, and run twice.
    let now = Instant::now();
    let mut ledger = ledger(now);
    let attempt = offer(1).attempt;
    ledger.offer(now, ENTRY, SESSION, 1, vec![offer(1)]);
    ledger.on_task_ended(now, attempt, AttemptEnd::Failed);
    assert_eq!(
        ledger.withdraw(now, ENTRY, SESSION, 1, &[attempt]),
        [WithdrawalReply::Running]
    );
    ledger.on_confirmed(ENTRY, attempt);
    assert!(ledger.is_drained());
}

#[test]
fn a_body_that_arrives_after_the_claim_timeout_does_not_start() {
    // An entry freezes while its task is next in the queue. After the claim timeout the slot goes to the next
    // reservation; then the entry thaws and its body arrives. The body must not start, and the entry must get a "not
    // run" report.
    let now = Instant::now();
    let mut ledger = ledger(now);
    ledger.offer(now, ENTRY, SESSION, 1, vec![offer(1), offer(2), offer(3)]);
    ledger.take_actions();
    ledger.on_task_ended(now, offer(1).attempt, AttemptEnd::Failed);
    let claim = ledger
        .take_actions()
        .into_iter()
        .find_map(|action| match action {
            LedgerAction::Claim { attempt, claim, .. } => Some((attempt, claim)),
            _ => None,
        });
    let (attempt, claim) = claim.expect("the slot goes to the next reservation");
    let late = now + LedgerSettings::default().claim_timeout;
    ledger.tick(late);
    ledger.take_actions();
    ledger.on_claim_answered(late, attempt, claim, Some(offer(2).payload));
    let actions = ledger.take_actions();
    let reported = actions.iter().any(|action| {
        matches!(
            action,
            LedgerAction::Report {
                end: AttemptEnd::NotRun(RetryReason::ClaimLate),
                ..
            }
        )
    });
    assert!(reported, "{actions:?}");
    assert_eq!(starts(&mut ledger), 0);
}

#[test]
fn an_old_session_cannot_be_reopened() {
    // An entry's connection hangs, and it opens a second session. The opening of the first session is read after that.
    // If it were accepted, it would end the second session, and offers that the entry has since counted as lost would
    // start.
    let now = Instant::now();
    let newer = SessionId(2);
    let mut ledger = ledger(now);
    ledger
        .open_session(now, ENTRY, newer)
        .expect("a newer session");
    for late in [SESSION, newer] {
        let reopened = ledger.open_session(now, ENTRY, late);
        assert_eq!(reopened, Err(StaleSession(late)));
    }
    assert_eq!(
        ledger.offer(now, ENTRY, SESSION, 1, vec![offer(1)]),
        [OfferReply::NotRun(RetryReason::DispatcherLost)]
    );
    assert_eq!(
        ledger.offer(now, ENTRY, newer, 1, vec![offer(2)]),
        [OfferReply::Started]
    );
    assert_eq!(starts(&mut ledger), 1);
}
