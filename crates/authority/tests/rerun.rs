//! A refused submission that is submitted again.

use std::time::{Duration, Instant};

use authority::{AuthorityAction, AuthoritySettings, DispatcherKey, TaskAuthority};
use model::{
    AttemptEnd, AttemptId, Contract, ContractVersion, IncarnationId, Payload, RetryReason,
    SessionId, SlotCounts, SubmissionBody, SubmissionKind, TaskBody,
};

fn job() -> SubmissionBody {
    SubmissionBody {
        customer: "school".parse().expect("an id"),
        kind: SubmissionKind::Job,
        deadline: Some(Duration::from_secs(5)),
        tasks: vec![TaskBody {
            kind: "hold".parse().expect("a kind"),
            payload: Payload::default(),
            declared_run_time: None,
        }],
    }
}

fn offered(authority: &mut TaskAuthority) -> Vec<AttemptId> {
    let mut attempts = Vec::new();
    for action in authority.take_actions() {
        if let AuthorityAction::Offer { offers, .. } = action {
            attempts.extend(offers.iter().map(|offer| offer.attempt));
        }
    }
    attempts
}

#[test]
fn a_backoff_of_the_first_run_does_not_place_the_second_run_twice() {
    // The endpoint is busy, so the task is in backoff; the caller cancels, is answered "not run", and submits again.
    // When the first backoff is over, the task of the second run is in flight already. Placed once more, it would run
    // twice.
    let mut now = Instant::now();
    let data_centre: model::DataCentreId = "hall".parse().expect("an id");
    let mut authority = TaskAuthority::new(
        AuthoritySettings::default(),
        data_centre.clone(),
        IncarnationId(1),
        7,
    );
    authority.set_limit(now, &job().customer, 10);
    let slots = SlotCounts {
        limit: 8,
        ..SlotCounts::default()
    };
    let (key, session) = (DispatcherKey(1), SessionId(1));
    authority.on_session_opened(now, key, data_centre, IncarnationId(9), session, slots);
    let contract = Contract::default();
    let terms = Some((&contract, ContractVersion(1)));
    let serial = authority.reserve_serial();
    authority
        .submit(now, job(), 0, terms, Some(serial))
        .expect("admitted");
    let first = offered(&mut authority);
    let busy = AttemptEnd::NotRun(RetryReason::EndpointBusy);
    authority.on_ended(now, first[0], busy, Duration::ZERO);
    authority.cancel(now, serial);
    assert!(authority.is_refused(serial));
    authority
        .submit(now, job(), 0, terms, Some(serial))
        .expect("admitted again");
    let second = offered(&mut authority);
    assert_eq!(second.len(), 1);
    assert!(
        second[0].attempt > first[0].attempt,
        "an attempt id is used once only"
    );
    now += Duration::from_secs(1);
    authority.tick(now);
    assert_eq!(offered(&mut authority), []);
}
