//! Valid calls to real entries: each gets a complete answer, and each task starts once.

use std::net::SocketAddr;

use base64::{engine::general_purpose::STANDARD, Engine as _};
use demo::{DemoFleet, FleetSettings};
use futures::future::join;
use model::SubmissionId;
use serde_json::{json, Value};
use stand_ins::platform::{DownMode, FaultSettings};

use crate::caller::{
    call, http_message, issue_ticket, job, post, post_with, request, send, start_fleet, wait_for,
    HttpReply,
};

/// A fleet with one slot, so that a second task has to wait for the first.
fn one_slot() -> FleetSettings {
    FleetSettings {
        endpoints: 1,
        slots: 1,
        ..Default::default()
    }
}

/// A payload whose task runs for two seconds, long enough to query its state while it runs.
fn long_payload(label: &str) -> Vec<u8> {
    format!(r#"{{"run_ms":2000,"label":"{label}"}}"#).into_bytes()
}

fn check_complete(reply: &HttpReply, payload: &[u8]) {
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.text("status"), "complete", "{reply:?}");
    assert_eq!(reply.result(), payload);
}

#[actix_rt::test]
async fn payloads_come_back_byte_for_byte() {
    let fleet = start_fleet(FleetSettings::default()).await;
    let entries = fleet.caller_addresses();
    let all_byte_values: Vec<u8> = (0..=255).collect();
    let largest: Vec<u8> = all_byte_values
        .iter()
        .copied()
        .cycle()
        .take(64 * 1024)
        .collect();
    let payloads: [&[u8]; 4] = [b"", &all_byte_values, &largest, b"\0"];
    for payload in payloads {
        let reply = post(entries[0], "/v1/requests", &request(payload)).await;
        check_complete(&reply, payload);
    }
    let reply = post(entries[1], "/v1/jobs", &job(&payloads)).await;
    let results: Vec<String> = payloads
        .iter()
        .map(|bytes| STANDARD.encode(bytes))
        .collect();
    assert_eq!(reply.json["results"], json!(results));
    assert_eq!(fleet.starts(), 8);
    assert_eq!(fleet.stop().await, 0);
}

// Entries ignore the content type, because `curl -d` sends that of a form. A body that is not JSON is refused.
#[actix_rt::test]
async fn unusual_but_valid_calls_run() {
    let fleet = start_fleet(FleetSettings::default()).await;
    let entry = fleet.caller_addresses()[0];
    let mut hints = request(b"hints");
    hints["task"]["declared_run_ms"] = json!(u64::MAX);
    hints["task"]["declared_bytes"] = json!(0);
    let mut longest = request(b"longest");
    longest["deadline_ms"] = json!(10_000);
    let key = format!("idempotency-key: {}\r\n", "k".repeat(64));
    let table = [
        ("content-type: text/plain\r\n", request(b"text")),
        (
            "content-type: application/x-www-form-urlencoded\r\n",
            request(b"form"),
        ),
        (
            "content-type: \r\nx-garbage: \u{e9}\r\n",
            request(b"garbage"),
        ),
        ("", hints),
        ("", longest),
        (key.as_str(), request(b"longest key")),
    ];
    for (headers, body) in table {
        let payload = STANDARD
            .decode(body["task"]["payload"].as_str().expect("text"))
            .expect("base64");
        let reply = post_with(entry, "/v1/requests", headers, &body).await;
        check_complete(&reply, &payload);
    }
    let live = call(entry, "GET", "/live").await;
    assert_eq!(live.status, 204);
    let metrics = call(entry, "GET", "/metrics").await;
    assert_eq!(metrics.status, 200);
    assert!(metrics.body.contains("# TYPE "), "{metrics:?}");
    assert_eq!(fleet.starts(), 6);
    assert_eq!(fleet.stop().await, 0);
}

/// Sends the same message through two entries, concurrently or one after the other, and checks that the task starts
/// once and all answers are equal.
async fn check_runs_once(fleet: &DemoFleet, bytes: &[u8], payload: &[u8], concurrent: bool) {
    let entries = fleet.caller_addresses();
    let starts = fleet.starts();
    let (first, second) = if concurrent {
        join(send(entries[0], bytes), send(entries[1], bytes)).await
    } else {
        (send(entries[0], bytes).await, send(entries[1], bytes).await)
    };
    check_complete(&first, payload);
    assert_eq!(first.json, second.json);
    assert_eq!(first.status, second.status);
    let again = send(entries[1], bytes).await;
    assert_eq!(first.json, again.json);
    assert_eq!(fleet.starts(), starts + 1, "ran twice");
}

// Guards against running a retried request twice, which could make a booking twice. The caller, or a proxy on its
// behalf, sends a request with the same key or ticket again, concurrently or after the answer, through either entry.
// Each attempt must get the same answer.
#[actix_rt::test]
async fn a_repeated_request_runs_once_across_entries() {
    let fleet = start_fleet(FleetSettings::default()).await;
    let entry = fleet.caller_addresses()[0];
    for concurrent in [false, true] {
        for iteration in 0..5 {
            let payload = format!("ticket {concurrent} {iteration}").into_bytes();
            let mut body = request(&payload);
            body["ticket"] = issue_ticket(entry).await;
            let bytes = http_message("POST", "/v1/requests", "", body.to_string().as_bytes());
            check_runs_once(&fleet, &bytes, &payload, concurrent).await;
            let payload = format!("key {concurrent} {iteration}").into_bytes();
            let key = format!("idempotency-key: {concurrent}-{iteration}\r\n");
            let body = request(&payload).to_string();
            let bytes = http_message("POST", "/v1/requests", &key, body.as_bytes());
            check_runs_once(&fleet, &bytes, &payload, concurrent).await;
        }
    }
    assert_eq!(fleet.stop().await, 0);
}

// A keyed request arrives while the platform's table is unreachable, and again after the table is back. Without the
// key's row a retry through another entry could run as well, so nothing may run before the row is written: the caller
// gets 503 key_not_recorded with a retry time. The refusal must not use up the key: the retry gets the answer through
// any entry.
#[actix_rt::test]
async fn a_keyed_request_is_refused_while_the_platform_is_down() {
    let fleet = start_fleet(FleetSettings::default()).await;
    let entries = fleet.caller_addresses();
    let modes = [
        DownMode::Unavailable,
        DownMode::Closed,
        DownMode::WritesUnavailable,
    ];
    for (index, mode) in modes.into_iter().enumerate() {
        let payload = format!("outage {index}").into_bytes();
        let key = format!("idempotency-key: outage-{index}\r\n");
        let mut body = request(&payload);
        body["deadline_ms"] = json!(1_000);
        let bytes = http_message("POST", "/v1/requests", &key, body.to_string().as_bytes());
        fleet.set_platform_faults(FaultSettings::down(mode));
        for entry in &entries {
            let reply = send(*entry, &bytes).await;
            assert_eq!(reply.status, 503, "{mode:?}: {reply:?}");
            assert_eq!(reply.text("reason"), "key_not_recorded", "{mode:?}");
            assert!(reply.head.contains("retry-after:"), "{mode:?}: {reply:?}");
            assert!(reply.json["retry_after_ms"].as_u64() > Some(0), "{mode:?}");
        }
        assert_eq!(fleet.starts(), index, "{mode:?}: something ran");
        fleet.set_platform_faults(FaultSettings::default());
        wait_for(async || send(entries[1], &bytes).await.status == 200).await;
        let first = send(entries[0], &bytes).await;
        check_complete(&first, &payload);
        assert_eq!(send(entries[1], &bytes).await.json, first.json);
        assert_eq!(fleet.starts(), index + 1, "{mode:?}: ran twice");
    }
    assert_eq!(fleet.stop().await, 0);
}

/// The submission id that the request with this ticket will have.
fn id_of(ticket: &Value) -> String {
    let text = ticket.as_str().expect("a ticket is text");
    text.trim_start_matches('t').to_owned()
}

/// Sends a request with a ticket, waits until it is pending, and returns its id and the task that awaits its answer.
async fn open_request(
    entry: SocketAddr,
    payload: Vec<u8>,
) -> (String, actix_rt::task::JoinHandle<HttpReply>) {
    let ticket = issue_ticket(entry).await;
    let id = id_of(&ticket);
    let mut body = request(&payload);
    body["ticket"] = ticket;
    let reply = actix_rt::spawn(async move { post(entry, "/v1/requests", &body).await });
    let path = format!("/v1/requests/{id}");
    wait_for(async || call(entry, "GET", &path).await.status == 202).await;
    (id, reply)
}

/// Waits until a submission's task is queued at a dispatcher. Before that, the entry cannot rule out that the task has
/// started, so the submission could not be cancelled.
async fn wait_until_queued(entry: SocketAddr, id: &str) {
    let path = format!("/v1/explain/{id}");
    wait_for(async || {
        let report = call(entry, "GET", &path).await;
        report.json.to_string().contains("queued")
    })
    .await;
}

// "cancelled" must mean that a request did not run. A long request takes the only slot, and another request and then a
// job wait for it. The waiting request can be cancelled and does not run; the running request cannot be cancelled and
// gets its answer. A job can be cancelled at any time and gets no partial results.
#[actix_rt::test]
async fn cancelling_reports_whether_the_submission_ran() {
    let fleet = start_fleet(one_slot()).await;
    let entries = fleet.caller_addresses();
    let (running, answer) = open_request(entries[0], long_payload("runs")).await;
    wait_for(async || fleet.starts() == 1).await;
    let (waiting, refused) = open_request(entries[0], long_payload("waits")).await;
    wait_until_queued(entries[0], &waiting).await;
    let path = format!("/v1/requests/{waiting}");
    let reply = call(entries[0], "DELETE", &path).await;
    assert_eq!((reply.status, reply.text("cancel")), (200, "cancelled"));
    let refused = refused.await.expect("an answer");
    assert_eq!(refused.status, 409, "{refused:?}");
    assert_eq!(refused.text("reason"), "cancelled");
    assert_eq!(call(entries[0], "GET", &path).await.json, refused.json);
    let path = format!("/v1/requests/{running}");
    let reply = call(entries[0], "DELETE", &path).await;
    assert_eq!((reply.status, reply.text("cancel")), (409, "too_late"));
    assert_eq!(
        call(entries[0], "GET", &path).await.text("status"),
        "pending"
    );
    let reply = answer.await.expect("an answer");
    check_complete(&reply, &long_payload("runs"));
    assert_eq!(call(entries[0], "DELETE", &path).await.status, 404);
    assert_eq!(call(entries[1], "GET", &path).await.json, reply.json);
    assert_eq!(fleet.starts(), 1, "a cancelled request ran");
    cancel_job(&fleet, entries[0]).await;
    assert_eq!(fleet.stop().await, 0);
}

/// The id of the next submission, whose serial follows that of a ticket issued now.
async fn next_id(entry: SocketAddr) -> SubmissionId {
    let mut id: SubmissionId = id_of(&issue_ticket(entry).await).parse().expect("an id");
    id.serial += 1;
    id
}

// A keyed request is cancelled while it waits for a slot, after the key's row was written. The refusal says that
// nothing ran, so the key is not used up: sent again, the request must run once. Only the entry named in the row may
// start it, so the other entry finds the row and forwards the request.
#[actix_rt::test]
async fn a_cancelled_keyed_request_runs_when_resent() {
    let fleet = start_fleet(one_slot()).await;
    let entries = fleet.caller_addresses();
    let (_, holder) = open_request(entries[0], long_payload("holds")).await;
    wait_for(async || fleet.starts() == 1).await;
    let id = next_id(entries[0]).await.to_string();
    let path = format!("/v1/requests/{id}");
    let body = request(b"again").to_string();
    let key = "idempotency-key: again\r\n";
    let bytes = http_message("POST", "/v1/requests", key, body.as_bytes());
    let sent = bytes.clone();
    let entry = entries[0];
    let refused = actix_rt::spawn(async move { send(entry, &sent).await });
    wait_until_queued(entry, &id).await;
    let reply = call(entry, "DELETE", &path).await;
    assert_eq!((reply.status, reply.text("cancel")), (200, "cancelled"));
    assert_eq!(
        refused.await.expect("an answer").text("reason"),
        "cancelled"
    );
    assert_eq!(fleet.starts(), 1);
    let (first, second) = join(send(entries[1], &bytes), send(entries[0], &bytes)).await;
    check_complete(&first, b"again");
    assert_eq!(first.json, second.json);
    check_complete(&holder.await.expect("an answer"), &long_payload("holds"));
    assert_eq!(fleet.starts(), 2);
    assert_eq!(fleet.stop().await, 0);
}

async fn cancel_job(fleet: &DemoFleet, entry: SocketAddr) {
    let path = format!("/v1/jobs/{}", next_id(entry).await);
    let body = job(&[&long_payload("first"), &long_payload("second")]);
    let answer = actix_rt::spawn(async move { post(entry, "/v1/jobs", &body).await });
    wait_for(async || fleet.starts() == 2).await;
    let reply = call(entry, "DELETE", &path).await;
    assert_eq!((reply.status, reply.text("cancel")), (200, "cancelled"));
    let reply = answer.await.expect("an answer");
    assert_eq!(
        (reply.text("status"), reply.text("reason")),
        ("failed", "cancelled")
    );
    assert_eq!(reply.json.get("results"), None);
    assert_eq!(fleet.starts(), 2, "the rest of a cancelled job ran");
}

#[actix_rt::test]
async fn every_entry_reports_an_outcome() {
    let fleet = start_fleet(FleetSettings::default()).await;
    let entries = fleet.caller_addresses();
    let reply = post(entries[0], "/v1/requests", &request(b"told")).await;
    check_complete(&reply, b"told");
    let path = format!("/v1/requests/{}", reply.text("id"));
    for entry in &entries {
        assert_eq!(call(*entry, "GET", &path).await.json, reply.json);
        // An entry that is gone or a serial that was never issued must not be reported as "not run".
        let incarnation = reply.text("id").rsplit_once('-').expect("two parts").0;
        for id in ["0000000000000001-1", &format!("{incarnation}-999999")] {
            let reply = call(*entry, "GET", &format!("/v1/requests/{id}")).await;
            let outcome = (reply.status, reply.text("status"), reply.text("reason"));
            assert_eq!(outcome, (200, "unknown", "entry_gone"), "{id}");
        }
    }
    let (open, answer) = open_request(entries[0], long_payload("open")).await;
    for entry in &entries {
        let reply = call(*entry, "GET", &format!("/v1/requests/{open}")).await;
        assert_eq!((reply.status, reply.text("status")), (202, "pending"));
    }
    check_complete(&answer.await.expect("an answer"), &long_payload("open"));
    assert_eq!(fleet.stop().await, 0);
}
