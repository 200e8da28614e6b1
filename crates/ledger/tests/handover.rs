//! Slots that pass from one owner to the next while tasks run in them.

use std::time::{Duration, Instant};

use ledger::{LedgerAction, LedgerSettings, SlotLedger};
use model::{
    AttemptEnd, AttemptId, CustomerShare, EndpointAddress, EndpointId, EndpointState, FastMap,
    IncarnationId, OfferReply, Payload, SessionId, SubmissionId, TaskOffer, TaskResult,
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
        customer: "school".parse().unwrap(),
        share: CustomerShare::default(),
        kind: "hold".parse().unwrap(),
        time_left: Duration::from_secs(5),
        expected_run_time: Duration::from_millis(100),
        payload: Payload::from(&b"body"[..]),
    }
}

fn endpoint() -> EndpointId {
    "endpoint-1".parse().unwrap()
}

fn used(count: u32) -> FastMap<EndpointId, u32> {
    [(endpoint(), count)].into_iter().collect()
}

/// A ledger with one endpoint of two slots and an open session.
fn ledger(now: Instant) -> SlotLedger {
    let mut ledger = SlotLedger::new(LedgerSettings::default());
    let address = EndpointAddress {
        id: endpoint(),
        address: ([127, 0, 0, 1], 1).into(),
        slots: 2,
    };
    ledger.set_endpoints(now, &[(address, EndpointState::Live)]);
    ledger.open_session(now, ENTRY, SESSION).unwrap();
    ledger
}

// The previous owner's tasks fill the endpoint. A caller at the new owner must wait for a slot instead of being
// rejected by a full endpoint; when a report frees one slot, the waiting task is claimed.
#[test]
fn slots_used_by_a_previous_owner_are_not_assigned() {
    let now = Instant::now();
    let mut ledger = ledger(now);
    ledger.set_previous_owner_slots(now, used(2));
    assert_eq!(ledger.slots().running, 2);
    assert_eq!(ledger.slots().limit, 2);
    let replies = ledger.offer(now, ENTRY, SESSION, 1, vec![offer(1)]);
    assert_eq!(replies, [OfferReply::Queued]);
    assert!(ledger.take_actions().is_empty());
    ledger.set_previous_owner_slots(now, used(1));
    let actions = ledger.take_actions();
    assert!(matches!(actions[..], [LedgerAction::Claim { .. }]));
    ledger.set_previous_owner_slots(now, FastMap::default());
    let slots = ledger.slots();
    assert_eq!((slots.running, slots.limit), (1, 2));
}

// A leaving owner sends its report before the new owner gets the endpoint, so that no slot is assigned in between. The
// caller's task must wait.
#[test]
fn a_report_may_arrive_before_the_endpoint() {
    let now = Instant::now();
    let mut ledger = ledger(now);
    let address = EndpointAddress {
        id: "endpoint-2".parse().unwrap(),
        address: ([127, 0, 0, 1], 2).into(),
        slots: 1,
    };
    ledger.set_endpoints(now, &[]);
    ledger.set_previous_owner_slots(now, [(address.id.clone(), 1)].into_iter().collect());
    ledger.set_endpoints(now, &[(address, EndpointState::Live)]);
    let replies = ledger.offer(now, ENTRY, SESSION, 1, vec![offer(1)]);
    assert_eq!(replies, [OfferReply::Queued]);
    assert!(ledger.take_actions().is_empty());
}

// The owner loses the endpoint while a task runs. It reports exactly the running tasks and their time left, and nothing
// once they have ended.
#[test]
fn tasks_running_on_a_lost_endpoint_are_reported() {
    let now = Instant::now();
    let mut ledger = ledger(now);
    ledger.set_previous_owner_slots(now, used(1));
    ledger.offer(now, ENTRY, SESSION, 1, vec![offer(1)]);
    assert!(ledger.unowned_tasks(now).is_empty());
    ledger.set_endpoints(now, &[]);
    let later = now + Duration::from_secs(2);
    let tasks = ledger.unowned_tasks(later);
    assert_eq!(tasks[&endpoint()], [Duration::from_secs(3)]);
    let done = AttemptEnd::Done(TaskResult {
        payload: Payload::default(),
    });
    ledger.on_task_ended(later, offer(1).attempt, done);
    assert!(ledger.unowned_tasks(later).is_empty());
    let slots = ledger.slots();
    assert_eq!((slots.running, slots.limit), (0, 0));
}

#[test]
fn a_stopping_owner_reports_every_endpoint() {
    let now = Instant::now();
    let mut ledger = ledger(now);
    ledger.offer(now, ENTRY, SESSION, 1, vec![offer(1), offer(2)]);
    ledger.stop(now);
    assert_eq!(ledger.unowned_tasks(now)[&endpoint()].len(), 2);
}
