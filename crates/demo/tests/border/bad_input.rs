//! What callers must not send, against real entries: each is refused before anything runs, and says so.

use std::net::SocketAddr;

use crate::caller::{
    call, fleet, issue, message, post, post_with, request, send, task, HttpReply, OTHER, RETIRED,
};
use demo::{DemoFleet, FleetSettings};
use serde_json::json;

/// A refused call: what it is, its bytes, the status and the field or reason that the answer names.
struct BadCall {
    what: &'static str,
    bytes: Vec<u8>,
    status: u16,
    names: &'static str,
}

fn bad(what: &'static str, bytes: Vec<u8>, status: u16, names: &'static str) -> BadCall {
    BadCall {
        what,
        bytes,
        status,
        names,
    }
}

fn bad_job(what: &'static str, body: &str, names: &'static str) -> BadCall {
    bad(what, raw("/v1/jobs", body.as_bytes()), 400, names)
}

fn bad_request(what: &'static str, body: &str, names: &'static str) -> BadCall {
    bad(what, raw("/v1/requests", body.as_bytes()), 400, names)
}

fn raw(path: &str, body: &[u8]) -> Vec<u8> {
    message("POST", path, "content-type: application/json\r\n", body)
}

const TASK: &str = r#"{"kind":"k","payload":"AAAA"}"#;
const NAMED: &str = r#""customer":"border-school""#;

fn wrong_bodies() -> Vec<BadCall> {
    let many = vec![TASK; 1001].join(",");
    let over_contract = vec![TASK; 371].join(",");
    let deep = "[".repeat(100_000);
    let large = "A".repeat(65_537_usize.div_ceil(3) * 4);
    vec![
        bad_job("nothing", "", "body"),
        bad_job("malformed", "{", "body"),
        bad_job("cut", &format!("{{{NAMED},\"tasks\":[{TASK}"), "tasks"),
        bad_job("trailing bytes", &format!("{{{NAMED},\"tasks\":[{TASK}]}}x"), "body"),
        bad_job("two documents", &format!("{{{NAMED},\"tasks\":[{TASK}]}}{{}}"), "body"),
        bad_job("unknown field", &format!("{{{NAMED},\"tasks\":[{TASK}],\"size\":1}}"), "size"),
        bad_job("unknown in task", &format!("{{{NAMED},\"tasks\":[{{\"kind\":\"k\",\"payload\":\"\",\"x\":1}}]}}"), "tasks[0].x"),
        bad_job("field twice", &format!("{{{NAMED},{NAMED},\"tasks\":[{TASK}]}}"), "body"),
        bad_job("number for customer", &format!("{{\"customer\":1,\"tasks\":[{TASK}]}}"), "customer"),
        bad_job("customer with a space", &format!("{{\"customer\":\"a b\",\"tasks\":[{TASK}]}}"), "customer"),
        bad_job("text for deadline", &format!("{{{NAMED},\"deadline_ms\":\"5\",\"tasks\":[{TASK}]}}"), "deadline_ms"),
        bad_job("negative deadline", &format!("{{{NAMED},\"deadline_ms\":-1,\"tasks\":[{TASK}]}}"), "deadline_ms"),
        bad_job("deadline past u64", &format!("{{{NAMED},\"deadline_ms\":1e30,\"tasks\":[{TASK}]}}"), "deadline_ms"),
        bad_job("zero deadline", &format!("{{{NAMED},\"deadline_ms\":0,\"tasks\":[{TASK}]}}"), "deadline_ms"),
        bad_job("deadline over contract", &format!("{{{NAMED},\"deadline_ms\":10001,\"tasks\":[{TASK}]}}"), "wrong_deadline"),
        bad_job("longest deadline", &format!("{{{NAMED},\"deadline_ms\":18446744073709551615,\"tasks\":[{TASK}]}}"), "wrong_deadline"),
        bad_job("object for tasks", &format!("{{{NAMED},\"tasks\":{TASK}}}"), "tasks"),
        bad_job("array for body", &format!("[\"border-school\",null,[{TASK}]]"), "body"),
        bad_job("array for task", &format!("{{{NAMED},\"tasks\":[[\"k\",\"AAAA\",null,null]]}}"), "tasks[0]"),
        bad_job("zero tasks", &format!("{{{NAMED},\"tasks\":[]}}"), "tasks"),
        bad_job("no tasks", &format!("{{{NAMED}}}"), "body"),
        bad_job("no customer", &format!("{{\"tasks\":[{TASK}]}}"), "body"),
        bad_job("no payload", &format!("{{{NAMED},\"tasks\":[{{\"kind\":\"k\"}}]}}"), "tasks[0]"),
        bad_job("second not base64", &format!("{{{NAMED},\"tasks\":[{TASK},{{\"kind\":\"k\",\"payload\":\"?\"}}]}}"), "tasks[1].payload"),
        bad_job("base64 without padding", &format!("{{{NAMED},\"tasks\":[{{\"kind\":\"k\",\"payload\":\"AA\"}}]}}"), "tasks[0].payload"),
        bad_job("payload too large", &format!("{{{NAMED},\"tasks\":[{{\"kind\":\"k\",\"payload\":\"{large}\"}}]}}"), "tasks[0].payload"),
        bad_job("needs more than any worker", &format!("{{{NAMED},\"tasks\":[{{\"kind\":\"k\",\"payload\":\"\",\"declared_bytes\":274877906945}}]}}"), "tasks[0].declared_bytes"),
        bad_job("more tasks than any job", &format!("{{{NAMED},\"tasks\":[{many}]}}"), "tasks"),
        bad_job("deep arrays", &deep, "body"),
        bad_job("deep in a task", &format!("{{{NAMED},\"tasks\":{deep}"), "tasks[0]"),
        bad("not UTF-8", raw("/v1/jobs", b"{\"customer\":\"\xff\xfe\",\"tasks\":[]}"), 400, "customer"),
        bad("a NUL byte", raw("/v1/jobs", b"\0"), 400, "body"),
        bad("more tasks than the contract", raw("/v1/jobs", format!("{{{NAMED},\"tasks\":[{over_contract}]}}").as_bytes()), 413, "too_many_tasks"),
        bad_request("tasks for task", &format!("{{{NAMED},\"tasks\":[{TASK}]}}"), "tasks"),
        bad_request("array for body", &format!("[\"border-school\",null,{TASK},null]"), "body"),
        bad_request("null task", &format!("{{{NAMED},\"task\":null}}"), "task"),
        bad_request("garbage ticket", &format!("{{{NAMED},\"task\":{TASK},\"ticket\":\"t1\"}}"), "ticket"),
        bad_request("payload too large", &format!("{{{NAMED},\"task\":{{\"kind\":\"k\",\"payload\":\"{large}\"}}}}"), "task.payload"),
        bad("array for ticket ask", raw("/v1/tickets", b"[\"border-school\"]"), 400, "body"),
    ]
}

fn wrong_customers() -> Vec<BadCall> {
    let mut calls = Vec::new();
    for (path, tail) in [
        ("/v1/jobs", json!({ "tasks": [task(b"x")] })),
        ("/v1/requests", json!({ "task": task(b"x") })),
        ("/v1/tickets", json!({})),
    ] {
        for (customer, status, names) in [
            ("nobody", 404, "unknown_customer"),
            (RETIRED, 403, "retired_customer"),
        ] {
            let mut body = tail.clone();
            body["customer"] = json!(customer);
            let bytes = raw(path, body.to_string().as_bytes());
            calls.push(bad("no contract in force", bytes, status, names));
        }
    }
    calls
}

fn wrong_messages() -> Vec<BadCall> {
    let good = request(b"x").to_string();
    let with = |headers: &str| message("POST", "/v1/requests", headers, good.as_bytes());
    let long = "k".repeat(65);
    let declared = b"POST /v1/jobs HTTP/1.1\r\nhost: entry\r\nconnection: close\r\ncontent-length: 33554433\r\n\r\n";
    let chunked = b"POST /v1/jobs HTTP/1.1\r\nhost: entry\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n";
    vec![
        bad("body too large", declared.to_vec(), 413, "body"),
        bad("broken chunk", chunked.to_vec(), 400, "request"),
        bad(
            "empty key",
            with("idempotency-key:\r\n"),
            400,
            "Idempotency-Key",
        ),
        bad(
            "key with a space",
            with("idempotency-key: a b\r\n"),
            400,
            "Idempotency-Key",
        ),
        bad(
            "key too long",
            with(&format!("idempotency-key: {long}\r\n")),
            400,
            "Idempotency-Key",
        ),
        bad(
            "key not ASCII",
            with("idempotency-key: k\u{e9}\r\n"),
            400,
            "Idempotency-Key",
        ),
        bad(
            "two keys",
            with("idempotency-key: a\r\nidempotency-key: b\r\n"),
            400,
            "Idempotency-Key",
        ),
        bad(
            "id of nothing",
            message("GET", "/v1/jobs/garbage", "", b""),
            400,
            "id",
        ),
        bad(
            "id of nothing",
            message("GET", "/v1/requests/-", "", b""),
            400,
            "id",
        ),
        bad(
            "id past u64",
            message(
                "GET",
                "/v1/jobs/0000000000000001-18446744073709551616",
                "",
                b"",
            ),
            400,
            "id",
        ),
        bad(
            "id not UTF-8",
            message("GET", "/v1/jobs/%ff%fe", "", b""),
            400,
            "id",
        ),
        bad(
            "id to cancel",
            message("DELETE", "/v1/jobs/garbage", "", b""),
            400,
            "id",
        ),
        bad(
            "id to explain",
            message("GET", "/v1/explain/garbage", "", b""),
            400,
            "id",
        ),
        bad(
            "PUT a job",
            message("PUT", "/v1/jobs", "", good.as_bytes()),
            405,
            "method",
        ),
        bad(
            "GET jobs",
            message("GET", "/v1/jobs", "", b""),
            405,
            "method",
        ),
        bad(
            "DELETE requests",
            message("DELETE", "/v1/requests", "", b""),
            405,
            "method",
        ),
        bad(
            "POST to an id",
            message(
                "POST",
                "/v1/requests/0000000000000001-1",
                "",
                good.as_bytes(),
            ),
            405,
            "method",
        ),
        bad(
            "GET tickets",
            message("GET", "/v1/tickets", "", b""),
            405,
            "method",
        ),
        bad(
            "unknown path",
            message("POST", "/v1/job", "", good.as_bytes()),
            404,
            "path",
        ),
        bad("root", message("GET", "/", "", b""), 404, "path"),
    ]
}

/// Heads that no route sees: the HTTP library answers by itself.
fn wrong_heads() -> Vec<(&'static str, Vec<u8>)> {
    vec![
        ("not HTTP", b"\x16\x03\x01\x02\x00garbage\r\n\r\n".to_vec()),
        ("bytes in a name", b"POST /v1/jobs HTTP/1.1\r\nh\xff: 1\r\n\r\n".to_vec()),
        ("no colon", b"POST /v1/jobs HTTP/1.1\r\ngarbage\r\n\r\n".to_vec()),
        ("length not a number", b"POST /v1/jobs HTTP/1.1\r\nhost: e\r\ncontent-length: x\r\n\r\n".to_vec()),
        ("two lengths", b"POST /v1/jobs HTTP/1.1\r\nhost: e\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n".to_vec()),
        ("length and chunks", b"POST /v1/jobs HTTP/1.1\r\nhost: e\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n".to_vec()),
    ]
}

fn check_refused(what: &str, reply: &HttpReply, status: u16, names: &str) {
    let fault = fault_of(reply, status, names);
    assert_eq!(fault, None, "{what}: {reply:?}");
}

/// What is wrong with a refusal.
fn fault_of(reply: &HttpReply, status: u16, names: &str) -> Option<&'static str> {
    let (name, message) = match reply.text("reason") {
        "bad_input" => (reply.text("field"), reply.text("message")),
        reason => (reason, "nothing ran"),
    };
    if reply.status != status {
        return Some("another status");
    }
    if reply.text("status") != "refused" {
        return Some("not said to be refused");
    }
    if name != names {
        return Some("another name");
    }
    if !message.ends_with("nothing ran") || message.len() > 1_000 {
        return Some("no short message that nothing ran");
    }
    None
}

/// Everything that must not run has been sent; whether anything did shows in the count of starts, and whether the
/// process is whole shows in the next good call.
async fn check_serves(fleet: &DemoFleet, entry: SocketAddr, starts: usize) {
    assert_eq!(fleet.starts(), starts, "something ran");
    let reply = post(entry, "/v1/requests", &request(b"next")).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.result(), b"next");
    assert_eq!(fleet.starts(), starts + 1);
}

// What the caller sees: a refusal that names what to mend and says that nothing ran.
// What happens: bytes that no caller should send come to the border, each followed by a good call on the same entry.
// Why: a wrong input that runs in part, or ends the process, harms the callers who did nothing wrong.
#[actix_rt::test]
async fn bad_input_is_refused_by_name_and_runs_nothing() {
    let fleet = fleet(FleetSettings::default()).await;
    let entry = fleet.caller_addresses()[0];
    let (mut starts, mut faults) = (0, String::new());
    let tables = [wrong_bodies(), wrong_customers(), wrong_messages()];
    for wrong in tables.into_iter().flatten() {
        let reply = send(entry, &wrong.bytes).await;
        if let Some(fault) = fault_of(&reply, wrong.status, wrong.names) {
            faults += &format!("{}: {fault}: {} {}\n", wrong.what, reply.status, reply.json);
        }
        check_serves(&fleet, entry, starts).await;
        starts += 1;
    }
    for (what, bytes) in wrong_heads() {
        let reply = send(entry, &bytes).await;
        assert!((400..500).contains(&reply.status), "{what}: {reply:?}");
        check_serves(&fleet, entry, starts).await;
        starts += 1;
    }
    assert_eq!(faults, "");
    assert_eq!(fleet.stop().await, 0);
}

// What the caller sees: 409 key_reused, and the first request's answer stands.
// What happens: a key or a ticket comes a second time with another body or for another customer.
// Why: the answer of one request must never reach another, and the second must not run under the first one's name.
#[actix_rt::test]
async fn names_used_for_something_else_are_refused() {
    let fleet = fleet(FleetSettings::default()).await;
    let entries = fleet.caller_addresses();
    let key = "idempotency-key: reused\r\n";
    let first = post_with(entries[0], "/v1/requests", key, &request(b"first")).await;
    assert_eq!(first.text("status"), "complete", "{first:?}");
    let ticket = issue(entries[0]).await;
    let mut ticketed = request(b"first");
    ticketed["ticket"] = ticket.clone();
    let reply = post(entries[0], "/v1/requests", &ticketed).await;
    assert_eq!(reply.text("status"), "complete", "{reply:?}");
    let fresh = issue(entries[0]).await;
    assert_eq!(fleet.starts(), 2);
    for entry in &entries {
        let reply = post_with(*entry, "/v1/requests", key, &request(b"second")).await;
        check_refused("key with another body", &reply, 409, "key_reused");
        let mut other = request(b"second");
        other["ticket"] = ticket.clone();
        let reply = post(*entry, "/v1/requests", &other).await;
        check_refused("ticket with another body", &reply, 409, "key_reused");
        let mut stolen = request(b"stolen");
        stolen["customer"] = json!(OTHER);
        stolen["ticket"] = fresh.clone();
        let reply = post(*entry, "/v1/requests", &stolen).await;
        check_refused("ticket of another customer", &reply, 409, "key_reused");
        let both = post_with(*entry, "/v1/requests", key, &ticketed).await;
        check_refused("key and ticket", &both, 400, "ticket");
        let gone = call(*entry, "DELETE", "/v1/requests/0000000000000001-1").await;
        assert_eq!(gone.status, 404, "{gone:?}");
    }
    assert_eq!(fleet.starts(), 2);
    assert_eq!(fleet.stop().await, 0);
}
