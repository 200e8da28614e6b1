//! Reports of a dispatcher's slots that overtake each other.

use std::time::{Duration, Instant};

use authority::{AuthorityAction, AuthoritySettings, DispatcherKey, TaskAuthority};
use model::{
    Contract, ContractVersion, DataCentreId, IncarnationId, Payload, SessionId, SlotCounts,
    SubmissionBody, SubmissionKind, TaskBody,
};

const FIRST: DispatcherKey = DispatcherKey(1);
const SECOND: DispatcherKey = DispatcherKey(2);

fn free_slots(limit: u32) -> SlotCounts {
    SlotCounts {
        limit,
        ..SlotCounts::default()
    }
}

/// An entry with a session with two dispatchers that own no endpoint yet.
fn authority_with_sessions(now: Instant) -> TaskAuthority {
    let data_centre: DataCentreId = "hall".parse().expect("an id");
    let incarnation = IncarnationId(1);
    let settings = AuthoritySettings::default();
    let mut authority = TaskAuthority::new(settings, data_centre.clone(), incarnation, 7);
    for key in [FIRST, SECOND] {
        let data_centre = data_centre.clone();
        let (dispatcher, session) = (IncarnationId(key.0), SessionId(key.0));
        authority.on_session_opened(now, key, data_centre, dispatcher, session, free_slots(0));
    }
    authority
}

/// Submits a job and returns how many of its tasks each dispatcher is offered.
fn offers_of_job(authority: &mut TaskAuthority, now: Instant, tasks: usize) -> (usize, usize) {
    let task = TaskBody {
        kind: "hold".parse().expect("a kind"),
        payload: Payload::default(),
        declared_run_time: None,
    };
    let body = SubmissionBody {
        customer: "school".parse().expect("an id"),
        kind: SubmissionKind::Job,
        deadline: Some(Duration::from_secs(5)),
        tasks: vec![task; tasks],
    };
    authority.set_limit(now, &body.customer, 10);
    let contract = Contract::default();
    let terms = Some((&contract, ContractVersion(1)));
    let submitted = authority.submit(now, body, 0, terms, None);
    submitted.expect("admitted");
    let mut counts = (0, 0);
    for action in authority.take_actions() {
        let AuthorityAction::Offer {
            dispatcher, offers, ..
        } = action
        else {
            continue;
        };
        match dispatcher {
            FIRST => counts.0 += offers.len(),
            _ => counts.1 += offers.len(),
        }
    }
    counts
}

/// Guards against tasks that queue beside free slots because an answer that an announcement has overtaken hides them.
#[test]
fn an_overtaken_answer_hides_no_slots() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut authority = authority_with_sessions(start);
    authority.on_announced_slots(at(10), FIRST, free_slots(4));
    authority.on_announced_slots(at(10), SECOND, free_slots(4));
    authority.on_answered_slots(at(11), at(8), SECOND, free_slots(0));
    assert_eq!(offers_of_job(&mut authority, at(12), 8), (4, 4));
}

/// Guards against outdated counts: an answer to a call that was sent after the last announcement is taken.
#[test]
fn a_later_answer_is_taken() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut authority = authority_with_sessions(start);
    authority.on_announced_slots(at(10), FIRST, free_slots(4));
    authority.on_announced_slots(at(10), SECOND, free_slots(4));
    let busy = SlotCounts {
        running: 4,
        ..free_slots(4)
    };
    authority.on_answered_slots(at(13), at(12), SECOND, busy);
    assert_eq!(offers_of_job(&mut authority, at(14), 4), (4, 0));
}
