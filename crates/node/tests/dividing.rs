//! Jobs that no pool can take alone.

mod support;

use std::time::{Duration, Instant};

use platform_stand_ins::{ExecutorPlan, ExecutorStandIn};
use serde_json::json;
use settings::NodeSettings;
use support::{job, post_job, Platform};

/// A job has four tasks that run at the same time; each data centre has places for two. In one of them alone the last
/// two would start when the first two have ended, which is too late for the caller. Both together run all at once.
#[actix_rt::test]
async fn a_wide_job_is_divided_among_data_centres() {
    let run_time = Duration::from_millis(300);
    let mut platform = Platform::start(1, run_time).await;
    let plan = ExecutorPlan {
        life: "i-w".to_owned(),
        run_time,
        ..ExecutorPlan::default()
    };
    let west = ExecutorStandIn::start(plan).await;
    platform
        .store
        .put("servers", "i-w", &west.entry("svc", "west", "ready"));
    platform.executors.push(west);
    let east_node = platform.start_node(platform.node_settings("vm-e")).await;
    let settings = NodeSettings {
        data_centre: "west".parse().unwrap(),
        ..platform.node_settings("vm-w")
    };
    let west_node = platform.start_node(settings).await;
    for _ in 0..300 {
        let linked = east_node.log_lines().contains("link_opened");
        if linked && west_node.log_lines().contains("worker_answers") {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    let begun = Instant::now();
    let answer = post_job(&east_node, "5c0e7a21d94b36f8", &job(4, 300)).await;
    assert_eq!(
        answer,
        (200, json!({ "State": "completed" })),
        "{}",
        east_node.log_lines()
    );
    assert!(
        begun.elapsed() < Duration::from_millis(540),
        "{:?}",
        begun.elapsed()
    );
    let mut tasks = Vec::new();
    for executor in &platform.executors {
        let runs = executor.runs();
        assert_eq!(runs.len(), 2);
        tasks.extend(runs.into_iter().map(|run| run.task));
    }
    tasks.sort();
    let name = |index| format!("5c0e7a21d94b36f8.0.0.{index}");
    assert_eq!(tasks, [name(0), name(1), name(2), name(3)]);
}
