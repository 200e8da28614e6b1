//! Moves of queued tasks to free slots at another dispatcher.

use std::time::{Duration, Instant};

use authority::{AuthorityAction, AuthoritySettings, DispatcherKey, TaskAuthority};
use model::{
    AttemptId, Contract, ContractVersion, DataCentreId, IncarnationId, OfferReply, Payload,
    SessionId, SlotCounts, SubmissionBody, SubmissionKind, TaskBody,
};

/// Two dispatchers of four slots each, of which `first_free` and `second_free` are free.
fn check(move_queued: bool, first_free: u32, second_free: u32, expect_moves: usize) {
    // Another entry took the first dispatcher's slots a moment ago, so the job's tasks are queued there. Unless they
    // move, the job waits for a whole run time although the second dispatcher may have slots free.
    let now = Instant::now();
    let data_centre: DataCentreId = "hall".parse().expect("an id");
    let mut authority = TaskAuthority::new(
        AuthoritySettings::default(),
        data_centre.clone(),
        IncarnationId(1),
        7,
    );
    let tasks = vec![
        TaskBody {
            kind: "hold".parse().expect("a kind"),
            payload: Payload::default(),
            declared_run_time: None,
        };
        3
    ];
    let body = SubmissionBody {
        customer: "school".parse().expect("an id"),
        kind: SubmissionKind::Job,
        deadline: Some(Duration::from_secs(5)),
        tasks,
    };
    authority.set_limit(now, &body.customer, 10);
    let (first, second) = (DispatcherKey(1), DispatcherKey(2));
    let slots = |free: u32| SlotCounts {
        limit: 4,
        running: 4 - free,
        queued: 0,
    };
    let opened = [(first, slots(4)), (second, slots(0))];
    for (number, (key, slots)) in opened.into_iter().enumerate() {
        let session = SessionId(number as u64 + 1);
        authority.on_session_opened(
            now,
            key,
            data_centre.clone(),
            IncarnationId(key.0),
            session,
            slots,
        );
    }
    let contract = Contract {
        move_queued,
        ..Contract::default()
    };
    authority
        .submit(now, body, 0, Some((&contract, ContractVersion(1))), None)
        .expect("admitted");
    let offered = offers(&mut authority, first);
    assert_eq!(
        offered.len(),
        3,
        "all tasks go to the dispatcher that had free slots"
    );
    authority.on_slots(now, second, slots(second_free));
    authority.on_slots(now, first, slots(first_free));
    let replies: Vec<_> = offered
        .iter()
        .map(|attempt| (*attempt, OfferReply::Queued))
        .collect();
    authority.on_offer_replies(now, &replies);
    assert_eq!(offers(&mut authority, second).len(), expect_moves);
}

fn offers(authority: &mut TaskAuthority, to: DispatcherKey) -> Vec<AttemptId> {
    let mut attempts = Vec::new();
    for action in authority.take_actions() {
        match action {
            AuthorityAction::Offer {
                dispatcher, offers, ..
            } if dispatcher == to => {
                attempts.extend(offers.iter().map(|offer| offer.attempt));
            }
            _ => {}
        }
    }
    attempts
}

#[test]
fn queued_tasks_move_to_free_slots_and_no_further() {
    check(true, 0, 4, 3);
    check(true, 0, 2, 2);
    check(true, 0, 0, 0);
    check(false, 0, 4, 0);
}
