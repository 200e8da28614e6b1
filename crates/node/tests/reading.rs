//! In a data centre with several owners of pools, one of them reads the worker list, and changes in it reach all of
//! them.

mod support;

use std::time::Duration;

use node::NodeProcess;
use serde_json::json;
use settings::NodeSettings;
use support::{job, post_job, Platform, CENTRE};

const NODES: usize = 4;
const WORKERS: usize = 8;

/// The fewest nodes that get workers. Workers are assigned by hash, so a node may get none.
const MIN_OWNERS: usize = 3;

/// Starts nodes on VMs with so little processor that each gets a pool of its own.
async fn start_small_nodes(platform: &Platform) -> Vec<NodeProcess> {
    let starts = (0..NODES).map(|number| {
        let settings = NodeSettings {
            cores: 0.01,
            ..platform.node_settings(&format!("vm-{number}"))
        };
        platform.start_node(settings)
    });
    let nodes = futures::future::join_all(starts).await;
    let owns = |node: &NodeProcess| node.log_lines().contains("pool_taken");
    for _ in 0..600 {
        if nodes.iter().filter(|node| owns(node)).count() >= MIN_OWNERS {
            return nodes;
        }
        heartbeat_for(platform, Duration::from_millis(20)).await;
    }
    panic!("too few nodes own a pool: {}", nodes[0].log_lines());
}

/// Waits for `duration` while workers write their entries, as they do with each heartbeat.
async fn heartbeat_for(platform: &Platform, duration: Duration) {
    let end = std::time::Instant::now() + duration;
    while std::time::Instant::now() < end {
        for (number, worker) in platform.workers.iter().enumerate() {
            let entry = worker.entry("svc", CENTRE, "ready");
            platform
                .store
                .put("servers", &format!("i-{number}"), &entry);
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against every owner reading the worker list: four owners must not read it four times as often as one.
#[actix_rt::test]
async fn one_owner_reads_the_worker_list_for_all() {
    let platform = Platform::start(WORKERS, Duration::from_millis(50)).await;
    let nodes = start_small_nodes(&platform).await;
    heartbeat_for(&platform, Duration::from_millis(2_000)).await;
    let before = platform.store.reads("servers");
    heartbeat_for(&platform, Duration::from_millis(3_000)).await;
    let reads = platform.store.reads("servers") - before;
    assert!(
        (6..=20).contains(&reads),
        "{reads}\n{}",
        nodes[0].log_lines()
    );
}

/// Guards against changes that reach only the owner that reads the list. Every owner has to stop using a worker within
/// a second after the worker reports that it drains, also after the reading owner is gone.
#[actix_rt::test]
async fn no_owner_starts_tasks_on_a_draining_worker() {
    let platform = Platform::start(WORKERS, Duration::from_millis(50)).await;
    let mut nodes = start_small_nodes(&platform).await;
    heartbeat_for(&platform, Duration::from_millis(1_500)).await;
    for round in 0..2 {
        for number in 0..3 {
            let draining = round * 3 + number;
            let entry = platform.workers[draining].entry("svc", CENTRE, "draining");
            platform
                .store
                .put("servers", &format!("i-{draining}"), &entry);
        }
        actix_rt::time::sleep(Duration::from_millis(1_000)).await;
        let draining_workers = &platform.workers[round * 3..round * 3 + 3];
        let before: Vec<usize> = draining_workers
            .iter()
            .map(|worker| worker.runs().len())
            .collect();
        for number in 0..12 {
            let id = format!("5c0e7a21d94b{round:02x}{number:02x}");
            let node = &nodes[number % nodes.len()];
            let answer = post_job(node, &id, &job(1, 400)).await;
            assert_eq!(answer, (200, json!({ "State": "completed" })), "{id}");
        }
        let after: Vec<usize> = draining_workers
            .iter()
            .map(|worker| worker.runs().len())
            .collect();
        assert_eq!(before, after, "round {round}");
        // Any node may be the one that reads the list, so the next round may have another reader.
        nodes.remove(0);
        actix_rt::time::sleep(Duration::from_millis(2_500)).await;
    }
}
