//! Each decision on a request leaves a line that names the request. The logs of nodes alone then tell the attempts of one
//! job apart (docs/incidents/unheard-break.md).

mod support;

use std::{
    io::Write as _,
    net::TcpStream,
    rc::Rc,
    time::{Duration, Instant},
};

use awc::Client;
use node::NodeProcess;
use platform_stand_ins::{StoreFault, StoreStandIn};
use serde_json::{json, Value};
use settings::{DurationMs, NodeSettings};
use support::{job, post_job, send, send_empty, spawn_post_job, start_node, Platform, HOST};

const JOB: &str = "00000000000000e1";

/// The most bytes that an entry may write for a job that completes, beside what the owner of its pool writes. With the
/// target's 21 jobs a second at an entry these are 11 KB/s; the log's buffer takes 192 KiB of them.
const MAX_ENTRY_BYTES: usize = 512;

/// The most bytes of a line on a request, whatever the request holds.
const MAX_LINE_BYTES: usize = 512;

fn lines_of(node: &NodeProcess, event: &str) -> Vec<Value> {
    let log = node.log_lines();
    let lines = log.lines().map(|line| serde_json::from_str(line).unwrap());
    lines
        .filter(|line: &Value| line["event"] == event)
        .collect()
}

/// The only line of an event.
fn line_of(node: &NodeProcess, event: &str) -> Value {
    let lines = lines_of(node, event);
    assert_eq!(lines.len(), 1, "{event}: {}", node.log_lines());
    lines.into_iter().next().unwrap_or_default()
}

async fn wait_for_event(node: &NodeProcess, event: &str) {
    let limit = Instant::now() + Duration::from_secs(5);
    while lines_of(node, event).is_empty() {
        assert!(Instant::now() < limit, "no {event}: {}", node.log_lines());
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a refusal for an old configuration that cannot be tied to a job, as in the record of incident 56.
#[actix_rt::test]
async fn a_refusal_for_an_old_configuration_names_the_job() {
    let platform = Platform::start(1, Duration::from_millis(10)).await;
    let settings = NodeSettings {
        config_limit_ms: DurationMs(1_000),
        ..platform.node_settings("vm-1")
    };
    let node = platform.start_node(settings).await;
    platform.store.set_fault(StoreFault::Silent);
    actix_rt::time::sleep(Duration::from_millis(1_800)).await;
    let path = format!("/unknown/{JOB}");
    let address = node.customer_address();
    let answer = send(&Client::default(), address, "POST", &path, &job(1, 10)).await;
    assert_eq!(answer.0, 503, "{}", node.log_lines());
    let refused = line_of(&node, "request_refused");
    let unknown = line_of(&node, "route_unknown");
    assert_eq!(refused["reason"], "configuration_old");
    assert_eq!(unknown["outcome"], "not_ready");
    for line in [refused, unknown] {
        assert_eq!(line["job"], JOB, "{line}");
        assert_eq!(line["path"], path, "{line}");
        assert_eq!(line["method"], "POST", "{line}");
        assert_eq!(line["host"], HOST, "{line}");
        assert_eq!(line["version"], 3, "{line}");
        assert!(line["age_ms"].as_f64() > Some(1_000.0), "{line}");
    }
}

/// Guards against a refusal by a node without a configuration that cannot be tied to a job.
#[actix_rt::test]
async fn a_refusal_without_a_configuration_names_the_job() {
    let platform = Platform {
        store: StoreStandIn::start().await,
        workers: Vec::new(),
    };
    let node = start_node(platform.node_settings("vm-1")).await;
    let answer = post_job(&node, JOB, &job(1, 10)).await;
    assert_eq!(answer.0, 503);
    let line = line_of(&node, "request_refused");
    assert_eq!(
        (&line["reason"], &line["job"]),
        (&json!("no_configuration"), &json!(JOB))
    );
}

/// Guards against attempts of one job at several nodes that cannot be told apart by the logs, since no line says when
/// each arrived, and against lines that grow beyond what the log carries under load.
#[actix_rt::test]
async fn each_attempt_leaves_its_arrival_and_its_answer() {
    let platform = Platform::start(2, Duration::from_millis(20)).await;
    let nodes = [
        platform.start_node(platform.node_settings("vm-1")).await,
        platform.start_node(platform.node_settings("vm-2")).await,
    ];
    for node in &nodes {
        let answer = post_job(node, JOB, &job(2, 20)).await;
        assert_eq!(answer.0, 200, "{}", node.log_lines());
        let line = line_of(node, "job_arrived");
        assert_eq!(line["job"], JOB);
        assert_eq!(line["route"], "r-1");
        assert_eq!(line["tasks"], 2);
        assert_eq!(line["chain_ms"], 20.0);
        assert_eq!(line["deadline_ms"], 4_000.0);
        assert!(line["since_tick_ms"].is_number(), "{line}");
        let answered = line_of(node, "job_answered");
        assert_eq!(answered["job"], JOB);
        assert!(line["at_ms"].as_u64() <= answered["at_ms"].as_u64());
        let log = node.log_lines();
        let of_entry = ["job_arrived", "job_asked", "job_answered"];
        let of_entry = log
            .lines()
            .filter(|line| of_entry.iter().any(|event| line.contains(event)));
        let bytes: Vec<usize> = of_entry.map(|line| line.len() + 1).collect();
        println!("bytes of job_arrived, job_asked, job_answered: {bytes:?}");
        assert!(bytes.iter().sum::<usize>() <= MAX_ENTRY_BYTES, "{bytes:?}");
    }
}

/// Guards against an attempt whose break its entry has seen and one whose break it has not seen that look alike.
#[actix_rt::test]
async fn a_broken_connection_leaves_a_line() {
    let platform = Platform::start(1, Duration::from_millis(600)).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    let mut stream = TcpStream::connect(node.customer_address()).unwrap();
    let body = job(1, 600).to_string();
    let length = body.len();
    let head = format!("POST /hold/{JOB} HTTP/1.1\r\nHost: {HOST}\r\nX-Deadline-Ms: 4000\r\n");
    let text = format!("{head}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).unwrap();
    wait_for_event(&node, "run_placed").await;
    drop(stream);
    wait_for_event(&node, "customer_disconnected").await;
    let line = line_of(&node, "customer_disconnected");
    assert_eq!(line["job"], JOB);
    assert!(line["after_ms"].as_f64() < Some(600.0), "{line}");
    assert!(lines_of(&node, "job_answered").is_empty());
}

/// Guards against requests that are turned away as invalid without a line, and against a long or odd path that fills
/// the log.
#[actix_rt::test]
async fn an_invalid_request_leaves_a_short_line() {
    let platform = Platform::start(1, Duration::from_millis(10)).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    let long_path = format!("/hold/{}/{JOB}", "%22%5C".repeat(300));
    let huge = json!({ "Spec": "x".repeat(6_000) });
    let cases = [
        ("POST", "/hold/no-id".to_owned(), Value::Null, 400, "job_id"),
        ("POST", long_path, Value::Null, 400, "job_id"),
        ("PUT", format!("/hold/{JOB}"), Value::Null, 405, "method"),
        ("POST", format!("/hold/{JOB}"), huge, 413, "body_too_large"),
    ];
    for (number, (method, path, body, status, reason)) in cases.into_iter().enumerate() {
        let address = node.customer_address();
        let answer = send(&Client::default(), address, method, &path, &body).await;
        assert_eq!(answer.0, status, "{reason}");
        let lines = lines_of(&node, "request_invalid");
        assert_eq!(lines.len(), number + 1, "{reason}: {}", node.log_lines());
        let line = &lines[number];
        assert_eq!(
            (&line["reason"], &line["status"]),
            (&json!(reason), &json!(status))
        );
        assert!(line.to_string().len() <= MAX_LINE_BYTES, "{line}");
        let has_id = path.ends_with(JOB);
        assert_eq!(line["job"] == JOB, has_id, "{line}");
    }
}

/// Guards against a question for a job's state that leaves no line, whether it was answered or the store was away.
#[actix_rt::test]
async fn a_question_for_a_state_leaves_a_line() {
    let platform = Platform::start(1, Duration::from_millis(10)).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    assert_eq!(send_empty(&node, "GET", JOB).await.0, 410);
    let told = line_of(&node, "job_state_told");
    assert_eq!(
        (&told["job"], &told["state"]),
        (&json!(JOB), &json!("none"))
    );
    platform.store.set_fault(StoreFault::Busy);
    assert_eq!(send_empty(&node, "GET", JOB).await.0, 503);
    let line = line_of(&node, "store_not_reached");
    assert_eq!(
        (&line["for"], &line["job"]),
        (&json!("job_state"), &json!(JOB))
    );
}

/// Guards against refusals and cuts by a stopping node that look like those by the owner of a pool.
#[actix_rt::test]
async fn a_stopping_node_says_why_it_refuses_or_cuts_a_job() {
    let platform = Platform::start(1, Duration::from_millis(3_800)).await;
    let settings = NodeSettings {
        stop_grace_s: 2.5,
        ..platform.node_settings("vm-1")
    };
    let node = Rc::new(platform.start_node(settings).await);
    let cut = spawn_post_job(&node, JOB, job(1, 3_800));
    wait_for_event(&node, "run_placed").await;
    let stopping = {
        let node = node.clone();
        actix_rt::spawn(async move { node.stop().await })
    };
    wait_for_event(&node, "process_stopping").await;
    let refused = "00000000000000e2";
    assert_eq!(post_job(&node, refused, &job(1, 3_800)).await.0, 503);
    let line = line_of(&node, "job_ends_after_stop");
    assert_eq!(line["job"], refused);
    assert!(line["expected_ms"].as_f64() > line["left_ms"].as_f64());
    assert_eq!(cut.await.unwrap().0, 504);
    assert_eq!(line_of(&node, "job_cut")["job"], JOB);
    stopping.await.unwrap();
}
