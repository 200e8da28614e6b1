//! Offers of large payloads.

use std::time::{Duration, Instant};

use authority::{AuthorityAction, AuthoritySettings, DispatcherKey, TaskAuthority};
use model::{
    Contract, ContractVersion, DataCentreId, IncarnationId, Payload, SessionId, SlotCounts,
    SubmissionBody, SubmissionKind, TaskBody, MAX_MESSAGE_PAYLOAD_BYTES,
};

const TASKS: usize = 370;

fn job() -> SubmissionBody {
    let task = TaskBody {
        kind: "hold".parse().expect("a kind"),
        payload: Payload::from(vec![7; 64 * 1024]),
        declared_run_time: None,
    };
    SubmissionBody {
        customer: "school".parse().expect("an id"),
        kind: SubmissionKind::Job,
        deadline: Some(Duration::from_secs(5)),
        tasks: vec![task; TASKS],
    }
}

#[test]
fn a_batch_of_large_payloads_leaves_in_parts() {
    // The session with the only dispatcher is lost, jobs of 24 MB each arrive, and a new session opens. Their offers
    // leave together, in messages of at most 1 MiB; one message of all would exceed the reader's limit, and no session
    // could carry it. A withdrawal afterwards names the last part, so that the dispatcher confirms nothing that may
    // still arrive.
    let now = Instant::now();
    let data_centre: DataCentreId = "hall".parse().expect("an id");
    let settings = AuthoritySettings::default();
    let mut authority = TaskAuthority::new(settings, data_centre.clone(), IncarnationId(1), 7);
    let slots = SlotCounts {
        limit: 5_000,
        ..SlotCounts::default()
    };
    let (key, session) = (DispatcherKey(1), SessionId(1));
    let dispatcher = IncarnationId(9);
    authority.on_session_opened(now, key, data_centre.clone(), dispatcher, session, slots);
    let contract = Contract {
        concurrency: 5_000,
        ..Contract::default()
    };
    let terms = Some((&contract, ContractVersion(1)));
    let customer = job().customer;
    authority.set_limit(now, &customer, 5_000);
    authority.tick(now);
    authority.on_session_lost(now, key, session);
    let mut serials = Vec::new();
    for _ in 0..4 {
        let admitted = authority.submit(now, job(), 0, terms, None);
        serials.push(admitted.expect("admitted").id.serial);
    }
    authority.on_session_opened(now, key, data_centre, dispatcher, SessionId(2), slots);
    let (mut sent, mut last) = (0, 0);
    for action in authority.take_actions() {
        let AuthorityAction::Offer { batch, offers, .. } = action else {
            continue;
        };
        assert_eq!(batch, last + 1);
        last = batch;
        sent += offers.len();
        let bytes: u64 = offers.iter().map(|offer| offer.payload.size().0).sum();
        assert!(
            bytes <= MAX_MESSAGE_PAYLOAD_BYTES.0,
            "{bytes} bytes at once"
        );
    }
    assert_eq!(sent, 4 * TASKS);
    authority.cancel(now, serials[0]);
    let actions = authority.take_actions();
    let named = actions.iter().find_map(|action| match action {
        AuthorityAction::Withdraw { after_batch, .. } => Some(*after_batch),
        _ => None,
    });
    assert_eq!(named, Some(last));
}
