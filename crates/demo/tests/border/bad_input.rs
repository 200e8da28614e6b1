//! Invalid calls to real entries: each is refused before anything runs, and the refusal says so.

use std::net::SocketAddr;

use crate::caller::{
    call, http_message, issue_ticket, post, post_with, request, send, start_fleet, task, HttpReply,
    OTHER_CUSTOMER, RETIRED_CUSTOMER,
};
use demo::{DemoFleet, FleetSettings};
use serde_json::json;

/// An invalid call: its description and bytes, and the expected status and the field or reason that the refusal must
/// name.
struct BadCall {
    description: &'static str,
    bytes: Vec<u8>,
    status: u16,
    expected_name: &'static str,
}

fn bad_call(
    description: &'static str,
    bytes: Vec<u8>,
    status: u16,
    expected_name: &'static str,
) -> BadCall {
    BadCall {
        description,
        bytes,
        status,
        expected_name,
    }
}

fn invalid_job(description: &'static str, body: &str, expected_name: &'static str) -> BadCall {
    bad_call(
        description,
        json_post("/v1/jobs", body.as_bytes()),
        400,
        expected_name,
    )
}

fn invalid_request(description: &'static str, body: &str, expected_name: &'static str) -> BadCall {
    bad_call(
        description,
        json_post("/v1/requests", body.as_bytes()),
        400,
        expected_name,
    )
}

fn json_post(path: &str, body: &[u8]) -> Vec<u8> {
    http_message("POST", path, "content-type: application/json\r\n", body)
}

const TASK_JSON: &str = r#"{"kind":"k","payload":"AAAA"}"#;
const CUSTOMER_FIELD: &str = r#""customer":"border-school""#;

fn invalid_bodies() -> Vec<BadCall> {
    let many = vec![TASK_JSON; 1001].join(",");
    let over_contract = vec![TASK_JSON; 371].join(",");
    let deep = "[".repeat(100_000);
    let large = "A".repeat(65_537_usize.div_ceil(3) * 4);
    vec![
        invalid_job("nothing", "", "body"),
        invalid_job("malformed", "{", "body"),
        invalid_job("cut", &format!("{{{CUSTOMER_FIELD},\"tasks\":[{TASK_JSON}"), "tasks"),
        invalid_job("trailing bytes", &format!("{{{CUSTOMER_FIELD},\"tasks\":[{TASK_JSON}]}}x"), "body"),
        invalid_job("two documents", &format!("{{{CUSTOMER_FIELD},\"tasks\":[{TASK_JSON}]}}{{}}"), "body"),
        invalid_job("unknown field", &format!("{{{CUSTOMER_FIELD},\"tasks\":[{TASK_JSON}],\"size\":1}}"), "size"),
        invalid_job("unknown in task", &format!("{{{CUSTOMER_FIELD},\"tasks\":[{{\"kind\":\"k\",\"payload\":\"\",\"x\":1}}]}}"), "tasks[0].x"),
        invalid_job("field twice", &format!("{{{CUSTOMER_FIELD},{CUSTOMER_FIELD},\"tasks\":[{TASK_JSON}]}}"), "body"),
        invalid_job("number for customer", &format!("{{\"customer\":1,\"tasks\":[{TASK_JSON}]}}"), "customer"),
        invalid_job("customer with a space", &format!("{{\"customer\":\"a b\",\"tasks\":[{TASK_JSON}]}}"), "customer"),
        invalid_job("text for deadline", &format!("{{{CUSTOMER_FIELD},\"deadline_ms\":\"5\",\"tasks\":[{TASK_JSON}]}}"), "deadline_ms"),
        invalid_job("negative deadline", &format!("{{{CUSTOMER_FIELD},\"deadline_ms\":-1,\"tasks\":[{TASK_JSON}]}}"), "deadline_ms"),
        invalid_job("deadline past u64", &format!("{{{CUSTOMER_FIELD},\"deadline_ms\":1e30,\"tasks\":[{TASK_JSON}]}}"), "deadline_ms"),
        invalid_job("zero deadline", &format!("{{{CUSTOMER_FIELD},\"deadline_ms\":0,\"tasks\":[{TASK_JSON}]}}"), "deadline_ms"),
        invalid_job("deadline over contract", &format!("{{{CUSTOMER_FIELD},\"deadline_ms\":10001,\"tasks\":[{TASK_JSON}]}}"), "wrong_deadline"),
        invalid_job("longest deadline", &format!("{{{CUSTOMER_FIELD},\"deadline_ms\":18446744073709551615,\"tasks\":[{TASK_JSON}]}}"), "wrong_deadline"),
        invalid_job("object for tasks", &format!("{{{CUSTOMER_FIELD},\"tasks\":{TASK_JSON}}}"), "tasks"),
        invalid_job("array for body", &format!("[\"border-school\",null,[{TASK_JSON}]]"), "body"),
        invalid_job("array for task", &format!("{{{CUSTOMER_FIELD},\"tasks\":[[\"k\",\"AAAA\",null,null]]}}"), "tasks[0]"),
        invalid_job("zero tasks", &format!("{{{CUSTOMER_FIELD},\"tasks\":[]}}"), "tasks"),
        invalid_job("no tasks", &format!("{{{CUSTOMER_FIELD}}}"), "body"),
        invalid_job("no customer", &format!("{{\"tasks\":[{TASK_JSON}]}}"), "body"),
        invalid_job("no payload", &format!("{{{CUSTOMER_FIELD},\"tasks\":[{{\"kind\":\"k\"}}]}}"), "tasks[0]"),
        invalid_job("second not base64", &format!("{{{CUSTOMER_FIELD},\"tasks\":[{TASK_JSON},{{\"kind\":\"k\",\"payload\":\"?\"}}]}}"), "tasks[1].payload"),
        invalid_job("base64 without padding", &format!("{{{CUSTOMER_FIELD},\"tasks\":[{{\"kind\":\"k\",\"payload\":\"AA\"}}]}}"), "tasks[0].payload"),
        invalid_job("payload too large", &format!("{{{CUSTOMER_FIELD},\"tasks\":[{{\"kind\":\"k\",\"payload\":\"{large}\"}}]}}"), "tasks[0].payload"),
        invalid_job("needs more than any worker", &format!("{{{CUSTOMER_FIELD},\"tasks\":[{{\"kind\":\"k\",\"payload\":\"\",\"declared_bytes\":274877906945}}]}}"), "tasks[0].declared_bytes"),
        invalid_job("more tasks than any job", &format!("{{{CUSTOMER_FIELD},\"tasks\":[{many}]}}"), "tasks"),
        invalid_job("deep arrays", &deep, "body"),
        invalid_job("deep in a task", &format!("{{{CUSTOMER_FIELD},\"tasks\":{deep}"), "tasks[0]"),
        bad_call("not UTF-8", json_post("/v1/jobs", b"{\"customer\":\"\xff\xfe\",\"tasks\":[]}"), 400, "customer"),
        bad_call("a NUL byte", json_post("/v1/jobs", b"\0"), 400, "body"),
        bad_call("more tasks than the contract", json_post("/v1/jobs", format!("{{{CUSTOMER_FIELD},\"tasks\":[{over_contract}]}}").as_bytes()), 413, "too_many_tasks"),
        invalid_request("tasks for task", &format!("{{{CUSTOMER_FIELD},\"tasks\":[{TASK_JSON}]}}"), "tasks"),
        invalid_request("array for body", &format!("[\"border-school\",null,{TASK_JSON},null]"), "body"),
        invalid_request("null task", &format!("{{{CUSTOMER_FIELD},\"task\":null}}"), "task"),
        invalid_request("garbage ticket", &format!("{{{CUSTOMER_FIELD},\"task\":{TASK_JSON},\"ticket\":\"t1\"}}"), "ticket"),
        invalid_request("payload too large", &format!("{{{CUSTOMER_FIELD},\"task\":{{\"kind\":\"k\",\"payload\":\"{large}\"}}}}"), "task.payload"),
        bad_call("array for ticket request", json_post("/v1/tickets", b"[\"border-school\"]"), 400, "body"),
    ]
}

fn customers_without_contract() -> Vec<BadCall> {
    let mut calls = Vec::new();
    for (path, fields) in [
        ("/v1/jobs", json!({ "tasks": [task(b"x")] })),
        ("/v1/requests", json!({ "task": task(b"x") })),
        ("/v1/tickets", json!({})),
    ] {
        for (customer, status, expected_name) in [
            ("nobody", 404, "unknown_customer"),
            (RETIRED_CUSTOMER, 403, "retired_customer"),
        ] {
            let mut body = fields.clone();
            body["customer"] = json!(customer);
            let bytes = json_post(path, body.to_string().as_bytes());
            calls.push(bad_call(
                "no contract in force",
                bytes,
                status,
                expected_name,
            ));
        }
    }
    calls
}

fn invalid_messages() -> Vec<BadCall> {
    let valid_body = request(b"x").to_string();
    let with_headers =
        |headers: &str| http_message("POST", "/v1/requests", headers, valid_body.as_bytes());
    let long = "k".repeat(65);
    let declared = b"POST /v1/jobs HTTP/1.1\r\nhost: entry\r\nconnection: close\r\ncontent-length: 33554433\r\n\r\n";
    let chunked = b"POST /v1/jobs HTTP/1.1\r\nhost: entry\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n";
    vec![
        bad_call("body too large", declared.to_vec(), 413, "body"),
        bad_call("broken chunk", chunked.to_vec(), 400, "request"),
        bad_call(
            "empty key",
            with_headers("idempotency-key:\r\n"),
            400,
            "Idempotency-Key",
        ),
        bad_call(
            "key with a space",
            with_headers("idempotency-key: a b\r\n"),
            400,
            "Idempotency-Key",
        ),
        bad_call(
            "key too long",
            with_headers(&format!("idempotency-key: {long}\r\n")),
            400,
            "Idempotency-Key",
        ),
        bad_call(
            "key not ASCII",
            with_headers("idempotency-key: k\u{e9}\r\n"),
            400,
            "Idempotency-Key",
        ),
        bad_call(
            "two keys",
            with_headers("idempotency-key: a\r\nidempotency-key: b\r\n"),
            400,
            "Idempotency-Key",
        ),
        bad_call(
            "malformed id",
            http_message("GET", "/v1/jobs/garbage", "", b""),
            400,
            "id",
        ),
        bad_call(
            "malformed id",
            http_message("GET", "/v1/requests/-", "", b""),
            400,
            "id",
        ),
        bad_call(
            "id past u64",
            http_message(
                "GET",
                "/v1/jobs/0000000000000001-18446744073709551616",
                "",
                b"",
            ),
            400,
            "id",
        ),
        bad_call(
            "id not UTF-8",
            http_message("GET", "/v1/jobs/%ff%fe", "", b""),
            400,
            "id",
        ),
        bad_call(
            "id to cancel",
            http_message("DELETE", "/v1/jobs/garbage", "", b""),
            400,
            "id",
        ),
        bad_call(
            "id to explain",
            http_message("GET", "/v1/explain/garbage", "", b""),
            400,
            "id",
        ),
        bad_call(
            "PUT a job",
            http_message("PUT", "/v1/jobs", "", valid_body.as_bytes()),
            405,
            "method",
        ),
        bad_call(
            "GET jobs",
            http_message("GET", "/v1/jobs", "", b""),
            405,
            "method",
        ),
        bad_call(
            "DELETE requests",
            http_message("DELETE", "/v1/requests", "", b""),
            405,
            "method",
        ),
        bad_call(
            "POST to an id",
            http_message(
                "POST",
                "/v1/requests/0000000000000001-1",
                "",
                valid_body.as_bytes(),
            ),
            405,
            "method",
        ),
        bad_call(
            "GET tickets",
            http_message("GET", "/v1/tickets", "", b""),
            405,
            "method",
        ),
        bad_call(
            "unknown path",
            http_message("POST", "/v1/job", "", valid_body.as_bytes()),
            404,
            "path",
        ),
        bad_call("root", http_message("GET", "/", "", b""), 404, "path"),
    ]
}

/// Malformed request heads, which the HTTP library answers itself without calling a route.
fn malformed_heads() -> Vec<(&'static str, Vec<u8>)> {
    vec![
        ("not HTTP", b"\x16\x03\x01\x02\x00garbage\r\n\r\n".to_vec()),
        ("bytes in a name", b"POST /v1/jobs HTTP/1.1\r\nh\xff: 1\r\n\r\n".to_vec()),
        ("no colon", b"POST /v1/jobs HTTP/1.1\r\ngarbage\r\n\r\n".to_vec()),
        ("length not a number", b"POST /v1/jobs HTTP/1.1\r\nhost: e\r\ncontent-length: x\r\n\r\n".to_vec()),
        ("two lengths", b"POST /v1/jobs HTTP/1.1\r\nhost: e\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n".to_vec()),
        ("length and chunks", b"POST /v1/jobs HTTP/1.1\r\nhost: e\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n".to_vec()),
    ]
}

fn check_refused(description: &str, reply: &HttpReply, status: u16, expected_name: &str) {
    let mismatch = refusal_mismatch(reply, status, expected_name);
    assert_eq!(mismatch, None, "{description}: {reply:?}");
}

/// How a refusal differs from the expected one, or `None` if it does not.
fn refusal_mismatch(reply: &HttpReply, status: u16, expected_name: &str) -> Option<&'static str> {
    let (name, message) = match reply.text("reason") {
        "bad_input" => (reply.text("field"), reply.text("message")),
        reason => (reason, "nothing ran"),
    };
    if reply.status != status {
        return Some("unexpected status");
    }
    if reply.text("status") != "refused" {
        return Some("the answer does not say refused");
    }
    if name != expected_name {
        return Some("unexpected field or reason");
    }
    if !message.ends_with("nothing ran") || message.len() > 1_000 {
        return Some("the message is too long or does not say that nothing ran");
    }
    None
}

/// Checks that the calls sent so far started no further task, and that a valid call on the same entry still succeeds.
async fn check_nothing_ran(fleet: &DemoFleet, entry: SocketAddr, starts: usize) {
    assert_eq!(fleet.starts(), starts, "something ran");
    let reply = post(entry, "/v1/requests", &request(b"next")).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.result(), b"next");
    assert_eq!(fleet.starts(), starts + 1);
}

// Guards against invalid input that runs in part, or that ends the process and so harms other callers. Each invalid
// call is followed by a valid call on the same entry. The refusal must name the field or reason and say that nothing
// ran.
#[actix_rt::test]
async fn bad_input_is_refused_with_its_field_and_runs_nothing() {
    let fleet = start_fleet(FleetSettings::default()).await;
    let entry = fleet.caller_addresses()[0];
    let (mut starts, mut mismatches) = (0, String::new());
    let tables = [
        invalid_bodies(),
        customers_without_contract(),
        invalid_messages(),
    ];
    for bad in tables.into_iter().flatten() {
        let reply = send(entry, &bad.bytes).await;
        if let Some(mismatch) = refusal_mismatch(&reply, bad.status, bad.expected_name) {
            mismatches += &format!(
                "{}: {mismatch}: {} {}\n",
                bad.description, reply.status, reply.json
            );
        }
        check_nothing_ran(&fleet, entry, starts).await;
        starts += 1;
    }
    for (description, bytes) in malformed_heads() {
        let reply = send(entry, &bytes).await;
        assert!(
            (400..500).contains(&reply.status),
            "{description}: {reply:?}"
        );
        check_nothing_ran(&fleet, entry, starts).await;
        starts += 1;
    }
    assert_eq!(mismatches, "");
    assert_eq!(fleet.stop().await, 0);
}

// A key or ticket is sent again with another body or for another customer. The second request must not get the answer
// of the first, nor run under its key or ticket: it is refused with 409 key_reused.
#[actix_rt::test]
async fn reused_keys_and_tickets_are_refused() {
    let fleet = start_fleet(FleetSettings::default()).await;
    let entries = fleet.caller_addresses();
    let key = "idempotency-key: reused\r\n";
    let first = post_with(entries[0], "/v1/requests", key, &request(b"first")).await;
    assert_eq!(first.text("status"), "complete", "{first:?}");
    let ticket = issue_ticket(entries[0]).await;
    let mut ticketed = request(b"first");
    ticketed["ticket"] = ticket.clone();
    let reply = post(entries[0], "/v1/requests", &ticketed).await;
    assert_eq!(reply.text("status"), "complete", "{reply:?}");
    let unused_ticket = issue_ticket(entries[0]).await;
    assert_eq!(fleet.starts(), 2);
    for entry in &entries {
        let reply = post_with(*entry, "/v1/requests", key, &request(b"second")).await;
        check_refused("key with another body", &reply, 409, "key_reused");
        let mut other = request(b"second");
        other["ticket"] = ticket.clone();
        let reply = post(*entry, "/v1/requests", &other).await;
        check_refused("ticket with another body", &reply, 409, "key_reused");
        let mut foreign = request(b"stolen");
        foreign["customer"] = json!(OTHER_CUSTOMER);
        foreign["ticket"] = unused_ticket.clone();
        let reply = post(*entry, "/v1/requests", &foreign).await;
        check_refused("ticket of another customer", &reply, 409, "key_reused");
        let both = post_with(*entry, "/v1/requests", key, &ticketed).await;
        check_refused("key and ticket", &both, 400, "ticket");
        let gone = call(*entry, "DELETE", "/v1/requests/0000000000000001-1").await;
        assert_eq!(gone.status, 404, "{gone:?}");
    }
    assert_eq!(fleet.starts(), 2);
    assert_eq!(fleet.stop().await, 0);
}
