//! Bounds on the size of the caller data that an entry keeps in memory.

use std::time::{Duration, Instant};

use authority::{AuthoritySettings, DispatcherKey, TaskAuthority};
use model::{
    AttemptEnd, AttemptId, ByteSize, Contract, ContractVersion, DataCentreId, IncarnationId,
    OfferReply, Payload, RefusalReason, SessionId, SlotCounts, SubmissionBody, SubmissionId,
    SubmissionKind, TaskBody, TaskResult,
};

const OWN: IncarnationId = IncarnationId(1);

fn authority(settings: AuthoritySettings, now: Instant) -> TaskAuthority {
    let data_centre: DataCentreId = "hall".parse().expect("an id");
    let mut authority = TaskAuthority::new(settings, data_centre.clone(), OWN, 7);
    let customer = "school".parse().expect("an id");
    authority.set_limit(now, &customer, 100);
    let slots = SlotCounts {
        limit: 100,
        ..SlotCounts::default()
    };
    let (key, session) = (DispatcherKey(1), SessionId(1));
    authority.on_session_opened(now, key, data_centre, IncarnationId(9), session, slots);
    authority
}

/// Submits a job of one task for each size and returns its serial.
fn submit(
    authority: &mut TaskAuthority,
    now: Instant,
    sizes: &[usize],
) -> Result<u64, RefusalReason> {
    let mut tasks = Vec::new();
    for size in sizes {
        tasks.push(TaskBody {
            kind: "hold".parse().expect("a kind"),
            payload: Payload::from(vec![7; *size]),
            declared_run_time: None,
        });
    }
    let body = SubmissionBody {
        customer: "school".parse().expect("an id"),
        kind: SubmissionKind::Job,
        deadline: Some(Duration::from_secs(5)),
        tasks,
    };
    let contract = Contract::default();
    let serial = authority.reserve_serial();
    let terms = Some((&contract, ContractVersion(1)));
    authority
        .submit(now, body, 0, terms, Some(serial))
        .map_err(|refusal| refusal.reason)?;
    Ok(serial)
}

fn complete(authority: &mut TaskAuthority, now: Instant, serial: u64, result: usize) {
    let attempt = AttemptId {
        submission: SubmissionId {
            incarnation: OWN,
            serial,
        },
        task: 0,
        attempt: 0,
    };
    let payload = Payload::from(vec![8; result]);
    authority.on_offer_replies(now, &[(attempt, OfferReply::Started)]);
    authority.on_ended(
        now,
        attempt,
        AttemptEnd::Done(TaskResult { payload }),
        Duration::ZERO,
    );
    authority.tick(now);
}

#[test]
fn payloads_over_the_limit_are_refused_until_an_answer_frees_memory() {
    // Callers send jobs of many MB faster than they can be answered. Jobs above the limit are refused as overloaded,
    // and are accepted again once an answer or a cancellation has freed bytes. Without the limit, the payloads would
    // end the process, and every caller on it would lose its answer.
    let now = Instant::now();
    let settings = AuthoritySettings {
        max_open_bytes: ByteSize(1_000),
        ..AuthoritySettings::default()
    };
    let mut authority = authority(settings, now);
    let first = submit(&mut authority, now, &[600]).expect("below the limit");
    let second = submit(&mut authority, now, &[400]).expect("exactly full");
    let table: [&[usize]; 2] = [&[1], &[0, 1]];
    for sizes in table {
        let refused = submit(&mut authority, now, sizes);
        assert_eq!(refused, Err(RefusalReason::Overloaded), "{sizes:?}");
    }
    submit(&mut authority, now, &[0]).expect("nothing to hold");
    complete(&mut authority, now, first, 5_000);
    submit(&mut authority, now, &[300, 300]).expect("freed by an answer");
    authority.cancel(now, second);
    submit(&mut authority, now, &[400]).expect("freed by a cancellation");
    let refused = submit(&mut authority, now, &[1]);
    assert_eq!(refused, Err(RefusalReason::Overloaded));
}

#[test]
fn the_oldest_results_are_dropped_above_the_limit() {
    // Large results arrive faster than their retention ends. The oldest are dropped, and a duplicate of such a request
    // is answered "unknown" and never runs again. Without the limit, the kept results would end the process.
    let now = Instant::now();
    let settings = AuthoritySettings {
        max_kept_bytes: ByteSize(1_000),
        ..AuthoritySettings::default()
    };
    let mut authority = authority(settings, now);
    let mut serials = Vec::new();
    for _ in 0..4 {
        let serial = submit(&mut authority, now, &[1]).expect("below the limit");
        complete(&mut authority, now, serial, 400);
        serials.push(serial);
    }
    let mut known = Vec::new();
    for serial in serials {
        known.push(authority.outcome(serial).is_some());
    }
    assert_eq!(known, [false, false, true, true]);
}
