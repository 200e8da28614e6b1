//! The answers that customers get from a node that has just started.

mod support;

use std::time::Duration;

use support::{job, post_job, start_node, Platform};

/// All nodes are gone at once and start again. A caller reaches a node that already knows the configuration, while no
/// pool has an owner yet. Pools get owners within a tenth of a second, so the job has to wait for that and must not be
/// refused.
#[actix_rt::test]
async fn a_job_waits_until_pools_have_owners() {
    let platform = Platform::start(1, Duration::from_millis(10)).await;
    let former = platform.start_node(platform.node_settings("vm-1")).await;
    drop(former);
    let node = start_node(platform.node_settings("vm-1")).await;
    while !node.log_lines().contains("configuration_taken") {
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
    assert!(!node.log_lines().contains("pool_taken"));
    let answer = post_job(&node, "00000000000000a1", &job(2, 200)).await;
    assert_eq!(answer.0, 200, "{}", node.log_lines());
}

/// There are no workers, so no pool gets an owner. The wait for one has to be short, and callers are refused soon.
#[actix_rt::test]
async fn a_job_is_refused_soon_if_pools_get_no_owner() {
    let platform = Platform::start(0, Duration::from_millis(10)).await;
    let node = start_node(platform.node_settings("vm-1")).await;
    while !node.log_lines().contains("configuration_taken") {
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
    let started = std::time::Instant::now();
    let answer = post_job(&node, "00000000000000a1", &job(2, 200)).await;
    assert_eq!(answer.0, 503);
    assert!(platform.workers.is_empty());
    assert!(started.elapsed() < Duration::from_millis(600));
}
