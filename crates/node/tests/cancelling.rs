//! Cancellations of kept jobs that the feed of cancelled jobs does not show.

mod support;

use std::time::{Duration, Instant};

use node::NodeProcess;
use platform_stand_ins::timed_kept_job_body;
use serde_json::{json, Value};
use support::{post_job, send_empty, Platform};

const IDS: [&str; 2] = ["5c0e7a21d94b36f8", "90e3f61ab8c4d275"];

/// The time after the acknowledgement of a cancellation in which the job's runs have to end, by the users' pages.
const CANCEL_LIMIT: Duration = Duration::from_millis(3_050);

/// A job of two steps whose runs take 8 s each, which its estimate does not say.
fn long_job() -> Value {
    let mut body = timed_kept_job_body(1, 8_000);
    body["Phases"][0]["EstMs"] = json!(300);
    let mut second = body["Phases"][0].clone();
    second["After"] = json!([0]);
    body["Phases"].as_array_mut().unwrap().push(second);
    body
}

async fn cancel(node: &NodeProcess, id: &str) {
    assert_eq!(send_empty(node, "DELETE", id).await.0, 200);
}

async fn submit_all(node: &NodeProcess) {
    for id in IDS {
        let answer = post_job(node, id, &long_job()).await;
        assert_eq!(answer.0, 202, "{}", node.log_lines());
    }
}

/// Waits until a number of runs have begun, and fails if they do not.
async fn wait_for_runs(platform: &Platform, count: usize) {
    for _ in 0..100 {
        let runs = platform.workers.iter().map(|worker| worker.runs().len());
        if runs.sum::<usize>() >= count {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the jobs do not run");
}

/// Waits until nothing runs, and fails if that takes longer than a cancellation may.
async fn wait_until_stopped(platform: &Platform, node: &NodeProcess) {
    let began = Instant::now();
    loop {
        let runs = platform.workers.iter().flat_map(|worker| worker.runs());
        if runs.into_iter().all(|run| run.ended.is_some()) {
            return;
        }
        let waited = began.elapsed();
        assert!(waited < CANCEL_LIMIT, "{waited:?}: {}", node.log_lines());
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against cancelled jobs that run on: the store has dropped the history with their cancellations, and the feed goes
/// on behind them.
#[actix_rt::test]
async fn jobs_that_are_cancelled_before_the_history_is_lost_stop() {
    let platform = Platform::start(2, Duration::from_millis(50)).await;
    let first = platform.start_node(platform.node_settings("vm-1")).await;
    let second = platform.start_node(platform.node_settings("vm-2")).await;
    submit_all(&first).await;
    wait_for_runs(&platform, 2).await;
    platform.store.set_feeds_quiet(true);
    for id in IDS {
        cancel(&second, id).await;
    }
    platform.store.truncate_history();
    platform.store.set_feeds_quiet(false);
    wait_until_stopped(&platform, &first).await;
    let runs = platform.workers.iter().map(|worker| worker.runs().len());
    assert_eq!(runs.sum::<usize>(), 2, "no second step begins");
}

/// Guards against cancelled jobs that run on under a new owner: it takes the pool over while the history is being lost, and
/// reads the rows before the jobs are cancelled.
#[actix_rt::test]
async fn a_new_owner_stops_jobs_that_are_cancelled_before_the_history_is_lost() {
    let platform = Platform::start(2, Duration::from_millis(50)).await;
    let first = platform.start_node(platform.node_settings("vm-1")).await;
    submit_all(&first).await;
    wait_for_runs(&platform, 2).await;
    let second = platform.start_node(platform.node_settings("vm-2")).await;
    platform.store.set_feeds_quiet(true);
    drop(first);
    wait_for_runs(&platform, 4).await;
    for id in IDS {
        cancel(&second, id).await;
    }
    platform.store.truncate_history();
    platform.store.set_feeds_quiet(false);
    wait_until_stopped(&platform, &second).await;
}
