//! The number of pools of a data centre changes while workers are owned.

mod support;

use std::time::Duration;

use serde_json::json;
use support::{job, post_job, Platform};

/// Six workers with two places each are divided anew, from two pools to three. Some of them go to a pool whose owner claimed
/// it before the one that they leave, so that its fence is lower than what they have seen, and they turn it away. A caller's
/// job that needs all twelve places is refused from then on, though every worker is sound.
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
    let runs = platform.executors.iter().map(|e| e.runs().len());
    assert_eq!(runs.sum::<usize>(), 4 * 12, "each task ran once");
}
