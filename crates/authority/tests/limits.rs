//! A customer's limit at this entry.

use std::time::{Duration, Instant};

use authority::{AuthoritySettings, DispatcherKey, TaskAuthority};
use model::{
    Contract, ContractVersion, CustomerId, DataCentreId, IncarnationId, OfferReply, Payload,
    SessionId, SlotCounts, SubmissionBody, SubmissionKind, TaskBody,
};

fn customer() -> CustomerId {
    "school".parse().unwrap()
}

fn job(tasks: usize) -> SubmissionBody {
    let task = TaskBody {
        kind: "hold".parse().unwrap(),
        payload: Payload::default(),
        declared_run_time: None,
    };
    SubmissionBody {
        customer: customer(),
        kind: SubmissionKind::Job,
        deadline: Some(Duration::from_secs(9)),
        tasks: vec![task; tasks],
    }
}

/// An authority and one dispatcher with many free slots.
fn authority(now: Instant) -> TaskAuthority {
    let data_centre: DataCentreId = "hall".parse().unwrap();
    let mut authority = TaskAuthority::new(
        AuthoritySettings::default(),
        data_centre.clone(),
        IncarnationId(1),
        7,
    );
    let slots = SlotCounts {
        limit: 100,
        ..SlotCounts::default()
    };
    let key = DispatcherKey(1);
    let (dispatcher, session) = (IncarnationId(9), SessionId(1));
    authority.on_session_opened(now, key, data_centre, dispatcher, session, slots);
    authority
}

fn submit(authority: &mut TaskAuthority, now: Instant, tasks: usize) {
    let contract = Contract::default();
    let terms = Some((&contract, ContractVersion(1)));
    authority.submit(now, job(tasks), 0, terms, None).unwrap();
}

// The entry is paused while its limit lapses and goes to another entry. A submission that it reads from its socket
// afterwards is placed only when there is a new limit, although there are free slots.
#[test]
fn nothing_is_placed_on_a_lapsed_limit() {
    let now = Instant::now();
    let until = now + Duration::from_secs(2);
    let mut authority = authority(now);
    authority.set_limit_until(now, &customer(), 5, Some(until));
    submit(&mut authority, now, 1);
    assert_eq!(authority.usage(&customer()), (1, 0));
    // The dispatcher replies, because one that leaves an offer without any reply gets no more.
    let (attempt, ..) = authority.attempts()[0];
    authority.on_offer_replies(now, &[(attempt, OfferReply::Started)]);
    authority.on_slots(
        now,
        DispatcherKey(1),
        SlotCounts {
            limit: 100,
            running: 1,
            queued: 0,
        },
    );
    submit(&mut authority, until, 2);
    assert_eq!(authority.usage(&customer()), (1, 2));
    let renewed = until + Duration::from_secs(2);
    authority.set_limit_until(until, &customer(), 5, Some(renewed));
    assert_eq!(authority.usage(&customer()), (3, 0));
}

#[test]
fn a_lower_limit_keeps_tasks_waiting() {
    let now = Instant::now();
    let mut authority = authority(now);
    authority.set_limit_until(now, &customer(), 3, None);
    submit(&mut authority, now, 8);
    assert_eq!(authority.usage(&customer()), (3, 5));
    authority.set_limit_until(now, &customer(), 1, None);
    submit(&mut authority, now, 1);
    assert_eq!(authority.usage(&customer()), (3, 6));
}
