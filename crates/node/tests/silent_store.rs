//! Connections to the store that go silent for good, without being closed, while new ones work.

mod support;

use std::time::{Duration, Instant};

use awc::Client;
use node::NodeProcess;
use platform_stand_ins::StoreFault;
use serde_json::{json, Value};
use settings::{DurationMs, NodeSettings};
use support::{config, job, post_job, send, Platform};

/// The time within which a change of the configuration must be in force, whatever connections were lost before it.
const CONFIG_TARGET: Duration = Duration::from_millis(4_000);

/// How many connections to the store are idle when all of them go silent.
const IDLE_CONNECTIONS: usize = 12;

fn moved_route(version: u64) -> Value {
    let mut value = config(version);
    value["Routes"][0]["Prefix"] = json!("/other/");
    value
}

fn node_settings(platform: &Platform) -> NodeSettings {
    NodeSettings {
        config_limit_ms: DurationMs(3_000),
        ..platform.node_settings("vm-1")
    }
}

/// Asks for the states of kept jobs at the same time. Each question reads the store over a connection of its own, which
/// is idle afterwards.
async fn open_idle_connections(node: &NodeProcess) {
    let address = node.customer_address();
    let questions = (0..IDLE_CONNECTIONS).map(|number| async move {
        let path = format!("/hold/{number:016x}");
        send(&Client::default(), address, "GET", &path, &Value::Null).await
    });
    for (status, _) in futures::future::join_all(questions).await {
        assert_eq!(status, 410);
    }
}

/// Waits until a feed of the operators' table has just begun: what is lost then is noticed latest.
async fn wait_for_feed(platform: &Platform) {
    let reads = platform.store.reads("op");
    while platform.store.reads("op") == reads {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Starts a node whose idle and busy connections to the store then go silent, and writes a new configuration.
async fn start_node_before_silence(platform: &Platform) -> NodeProcess {
    let node = platform.start_node(node_settings(platform)).await;
    open_idle_connections(&node).await;
    wait_for_feed(platform).await;
    platform.store.silence_connections();
    platform.store.put("op", "config", &moved_route(9));
    node
}

async fn wait_for_version(node: &NodeProcess, version: u64) -> Duration {
    let begun = Instant::now();
    let wanted = format!(r#""event":"configuration_taken","version":{version},"#);
    while !node.log_lines().contains(&wanted) {
        let waited = begun.elapsed();
        assert!(
            waited < Duration::from_secs(20),
            "never taken: {}",
            node.log_lines()
        );
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    begun.elapsed()
}

/// Guards against waiting on one silent connection after the other, each for as long as a feed may wait, while callers
/// are refused by the old configuration.
#[actix_rt::test]
async fn a_change_is_in_force_in_time_after_all_connections_went_silent() {
    let platform = Platform::start(1, Duration::from_millis(10)).await;
    let node = start_node_before_silence(&platform).await;
    let took = wait_for_version(&node, 9).await;
    assert!(took < CONFIG_TARGET, "{took:?}: {}", node.log_lines());
    let answer = post_job(&node, "00000000000000a1", &job(1, 10)).await;
    assert_eq!(answer.0, 404);
}

/// Like the test above, with the connections that replace the first ones going silent too, once. Guards against a retry
/// that waits as long as the first read.
#[actix_rt::test]
async fn a_change_is_in_force_in_time_after_two_silences() {
    let platform = Platform::start(1, Duration::from_millis(10)).await;
    let node = start_node_before_silence(&platform).await;
    let reads = platform.store.reads("op");
    let begun = Instant::now();
    // The second read, which the store receives on a new connection, is not answered either.
    platform.store.set_unanswered("op", 1);
    wait_for_version(&node, 9).await;
    let took = begun.elapsed();
    assert!(took < CONFIG_TARGET, "{took:?}: {}", node.log_lines());
    assert!(
        platform.store.reads("op") >= reads + 2,
        "{}",
        node.log_lines()
    );
}

/// Guards against telling a caller for good that there is no such queue, by a configuration that may be out of date.
#[actix_rt::test]
async fn a_route_that_an_old_configuration_lacks_is_not_refused_for_good() {
    let platform = Platform::start(1, Duration::from_millis(10)).await;
    let node = platform.start_node(node_settings(&platform)).await;
    let address = node.customer_address();
    let path = "/unknown/00000000000000b1";
    let ask = || async {
        let answer = send(&Client::default(), address, "POST", path, &job(1, 10)).await;
        answer.0
    };
    assert_eq!(ask().await, 404);
    platform.store.set_fault(StoreFault::Silent);
    actix_rt::time::sleep(Duration::from_millis(3_100)).await;
    assert_eq!(ask().await, 503);
    assert!(node.log_lines().contains("configuration_old"));
    let served = post_job(&node, "00000000000000b2", &job(1, 10)).await;
    assert_eq!(served.0, 200, "known routes are served all the while");
    platform.store.set_fault(StoreFault::None);
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(ask().await, 404);
}
