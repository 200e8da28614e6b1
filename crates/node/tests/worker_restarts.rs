//! Workers that die and restart under the same id.

mod support;

use std::time::Duration;

use node::NodeProcess;
use platform_stand_ins::{WorkerPlan, WorkerStandIn};
use serde_json::json;
use support::{job, post_job, spawn_post_job, Platform, CENTRE};

const RUN_TIME: Duration = Duration::from_millis(150);

async fn start_worker(platform: &Platform, id: &str) -> WorkerStandIn {
    let plan = WorkerPlan {
        id: id.to_owned(),
        run_time: RUN_TIME,
        born: Some(1_764_751_000_000),
        ..WorkerPlan::default()
    };
    let worker = WorkerStandIn::start(plan).await;
    write_heartbeat(platform, id, &worker);
    worker
}

fn write_heartbeat(platform: &Platform, id: &str, worker: &WorkerStandIn) {
    let entry = worker.entry("svc", CENTRE, "ready");
    platform.store.put("servers", id, &entry);
}

async fn complete_jobs(node: &NodeProcess, first: u64) {
    for number in first..first + 4 {
        let id = format!("{number:016x}");
        let status = post_job(node, &id, &job(2, 150)).await.0;
        assert_eq!(status, 200, "{id}\n{}", node.log_lines());
    }
}

/// The only worker dies while it runs a job's tasks and restarts under the same id, with its clock far behind. The
/// tasks run again on it and the job's caller gets its answer. Later jobs are served both before and after the
/// directory shows the restart.
#[actix_rt::test]
async fn a_restarted_worker_keeps_serving() {
    let platform = Platform::start(0, RUN_TIME).await;
    let worker = start_worker(&platform, "i-0").await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    complete_jobs(&node, 0x100).await;
    let interrupted = spawn_post_job(&node, "00000000000000a0", job(2, 400));
    actix_rt::time::sleep(RUN_TIME / 2).await;
    worker.restart(1_764_750_999_000);
    assert_eq!(interrupted.await.unwrap().0, 200, "{}", node.log_lines());
    complete_jobs(&node, 0x200).await;
    write_heartbeat(&platform, "i-0", &worker);
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    complete_jobs(&node, 0x300).await;
    // This time the worker is idle when it dies, and the directory shows the restart at once.
    worker.restart(1_764_751_002_000);
    write_heartbeat(&platform, "i-0", &worker);
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    complete_jobs(&node, 0x400).await;
    assert_eq!(node.log_lines().matches("worker_reborn").count(), 2);
    let died = worker.runs();
    let died = died
        .iter()
        .filter(|run| matches!(run.ended, Some((_, "died"))));
    assert_eq!(died.count(), 2);
}

/// Workers that do not report when they started are used, and are not taken for restarted ones.
#[actix_rt::test]
async fn workers_without_a_start_time_are_used() {
    let platform = Platform::start(1, RUN_TIME).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    complete_jobs(&node, 0x100).await;
    assert!(!node.log_lines().contains("worker_reborn"));
    let entry = platform.workers[0].entry("svc", CENTRE, "ready");
    assert_eq!(entry["born"], json!(null));
}
