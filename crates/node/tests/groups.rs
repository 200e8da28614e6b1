//! The number of pools in a data centre changes while its workers are in use.

mod support;

use std::time::Duration;

use serde_json::json;
use support::{job, post_job, Platform};

/// Six workers with capacity for two tasks each are divided among another number of pools, first three in place of two.
/// Some of them move to a pool whose owner claimed it earlier than their former pool was claimed. That owner's fencing
/// token is lower than the highest that these workers have seen, so they would reject its calls, and every job that
/// needs all twelve slots would be refused although all workers are healthy.
#[actix_rt::test]
async fn all_workers_serve_after_the_number_of_pools_changes() {
    let run_time = Duration::from_millis(200);
    let platform = Platform::start(6, run_time).await;
    platform
        .store
        .put("claims", "east/groups", &json!({ "groups": 2 }));
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    actix_rt::time::sleep(Duration::from_millis(1_000)).await;
    let before = post_job(&node, "00000000000000a1", &job(12, 200)).await;
    assert_eq!(before.0, 200, "{}", node.log_lines());
    for groups in [3, 5, 4] {
        platform
            .store
            .put("claims", "east/groups", &json!({ "groups": groups }));
        actix_rt::time::sleep(Duration::from_millis(1_800)).await;
        let id = format!("{:016x}", 0xb0 + groups);
        let after = post_job(&node, &id, &job(12, 200)).await;
        assert_eq!(after.0, 200, "{groups} pools: {}", node.log_lines());
    }
    let runs = platform.workers.iter().map(|worker| worker.runs().len());
    assert_eq!(runs.sum::<usize>(), 4 * 12, "each task ran once");
}
