//! Large bodies: the largest jobs, and the limit on the bytes of open submissions that an entry holds.

use demo::FleetSettings;
use futures::future::join_all;
use model::ByteSize;
use settings::EntrySettings;

use crate::caller::{
    call, http_message, issue_ticket, job, post, request, send, start_fleet, wait_for,
};

/// A payload of about 60 KB whose task runs for a second.
fn large_payload() -> Vec<u8> {
    let label = "x".repeat(60_000);
    format!(r#"{{"run_ms":1000,"label":"{label}"}}"#).into_bytes()
}

// Without a limit on the bytes of open submissions, the process could run out of memory and lose every caller's answer.
// While the entry holds one payload, a second one exceeds the limit and is refused with 503 overloaded and a retry
// time. Sent again after the first answer, it completes.
#[actix_rt::test]
async fn a_full_entry_refuses_until_it_has_answered() {
    let fleet = start_fleet(FleetSettings {
        entry: EntrySettings {
            max_open_bytes: ByteSize(100_000),
            ..Default::default()
        },
        ..Default::default()
    })
    .await;
    let entry = fleet.caller_addresses()[0];
    let ticket = issue_ticket(entry).await;
    let id = ticket
        .as_str()
        .expect("text")
        .trim_start_matches('t')
        .to_owned();
    let mut body = request(&large_payload());
    body["ticket"] = ticket;
    let first = actix_rt::spawn(async move { post(entry, "/v1/requests", &body).await });
    let path = format!("/v1/requests/{id}");
    wait_for(async || call(entry, "GET", &path).await.status == 202).await;
    let refused = post(entry, "/v1/requests", &request(&large_payload())).await;
    assert_eq!(
        (refused.status, refused.text("reason")),
        (503, "overloaded")
    );
    assert!(refused.head.contains("retry-after: 1"), "{refused:?}");
    let small = post(entry, "/v1/requests", &request(b"small")).await;
    assert_eq!(small.text("status"), "complete", "{small:?}");
    assert_eq!(first.await.expect("an answer").result(), large_payload());
    let again = post(entry, "/v1/requests", &request(&large_payload())).await;
    assert_eq!(again.result(), large_payload());
    assert_eq!(fleet.starts(), 3);
    assert_eq!(fleet.stop().await, 0);
}

// Batches of offers and of task ends are split by their size in bytes, which must not lose or reorder tasks. Jobs of 24
// MB, with 370 payloads of 64 KiB each, go through both entries concurrently and must return every result in order.
#[actix_rt::test]
async fn the_largest_jobs_return_every_result() {
    let fleet = start_fleet(FleetSettings::default()).await;
    let mut jobs = Vec::new();
    for (seed, entry) in (1..).zip(fleet.caller_addresses()) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut payloads = Vec::new();
        for _ in 0..370 {
            let mut payload = vec![0; 64 * 1024];
            rng.fill(&mut payload);
            payloads.push(payload);
        }
        let parts: Vec<&[u8]> = payloads.iter().map(Vec::as_slice).collect();
        let body = job(&parts);
        // Encoded before any connection is opened: it takes seconds in a debug build, and the entry waits 5 s for a head.
        let message = http_message("POST", "/v1/jobs", "", body.to_string().as_bytes());
        jobs.push(async move {
            let reply = send(entry, &message).await;
            assert_eq!(reply.text("status"), "complete", "{}", reply.head);
            for (index, task) in body["tasks"].as_array().into_iter().flatten().enumerate() {
                assert!(
                    reply.json["results"][index] == task["payload"],
                    "task {index}"
                );
            }
            assert_eq!(reply.json["results"].as_array().map(Vec::len), Some(370));
        });
    }
    join_all(jobs).await;
    assert_eq!(fleet.starts(), 740);
    assert_eq!(fleet.stop().await, 0);
}
