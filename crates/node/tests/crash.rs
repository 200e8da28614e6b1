//! A task crashes every worker that starts it. Its job has to end as failed while other jobs are served.

mod support;

use std::time::Duration;

use awc::Client;
use node::NodeProcess;
use platform_stand_ins::{kept_job_body, WorkerPlan, WorkerStandIn, CRASH_SPEC};
use serde_json::{json, Value};
use support::{job, post_job, send, Platform, CENTRE};

const RUN_TIME: Duration = Duration::from_millis(150);
const WORKERS: usize = 4;

async fn start_workers(platform: &mut Platform) {
    for number in 0..WORKERS {
        let plan = WorkerPlan {
            id: format!("i-{number}"),
            run_time: RUN_TIME,
            born: Some(1_764_751_000_000),
            ..WorkerPlan::default()
        };
        platform.workers.push(WorkerStandIn::start(plan).await);
    }
    write_heartbeats(platform);
}

/// Writes the entries of all workers, as they do with each heartbeat.
fn write_heartbeats(platform: &Platform) {
    for (number, worker) in platform.workers.iter().enumerate() {
        let mut entry = worker.entry("svc", CENTRE, "ready");
        entry["Labels"] = json!(["a", format!("r1-{number}")]);
        platform
            .store
            .put("servers", &format!("i-{number}"), &entry);
    }
}

async fn job_state(node: &NodeProcess, id: &str) -> Value {
    let path = format!("/hold/{id}");
    let client = Client::default();
    send(&client, node.customer_address(), "GET", &path, &Value::Null)
        .await
        .1
}

fn crashes(platform: &Platform) -> u32 {
    platform.workers.iter().map(WorkerStandIn::crashes).sum()
}

/// Guards against a kept job that crashes one worker after another without end.
#[actix_rt::test]
async fn a_job_that_crashes_workers_fails_and_others_are_served() {
    let mut platform = Platform::start(0, RUN_TIME).await;
    start_workers(&mut platform).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    let mut body = kept_job_body(1, 150);
    body["Spec"] = json!(CRASH_SPEC);
    let id = "5c0e7a21d94b36f8";
    assert_eq!(post_job(&node, id, &body).await.0, 202);
    for number in 0..60 {
        write_heartbeats(&platform);
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        if job_state(&node, id).await == json!({ "State": "failed" }) {
            break;
        }
        if number % 5 == 4 {
            let other = format!("{:016x}", 0x1000 + number);
            let answer = post_job(&node, &other, &job(1, 400)).await;
            assert_eq!(answer, (200, json!({ "State": "completed" })), "{other}");
        }
    }
    let log = node.log_lines();
    assert_eq!(
        job_state(&node, id).await,
        json!({ "State": "failed" }),
        "{log}"
    );
    assert!(log.contains("crash_culprit"), "{log}");
    let before = crashes(&platform);
    assert!((2..=3).contains(&before), "{before}\n{log}");
    actix_rt::time::sleep(Duration::from_millis(2_000)).await;
    assert_eq!(crashes(&platform), before);
}
