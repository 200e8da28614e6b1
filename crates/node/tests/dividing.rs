//! Jobs that are divided among pools because no single pool can run them in time.

mod support;

use std::time::{Duration, Instant};

use node::NodeProcess;
use serde_json::json;
use settings::NodeSettings;
use support::{job, post_job, Platform};

/// Adds a data centre with a node and one worker that runs two tasks at a time.
async fn add_centre(platform: &mut Platform, centre: &str, run_time: Duration) -> NodeProcess {
    platform.add_worker(centre, run_time).await;
    let settings = NodeSettings {
        data_centre: centre.parse().unwrap(),
        ..platform.node_settings(&format!("vm-{centre}"))
    };
    platform.start_node(settings).await
}

/// Starts five data centres with a node each, and waits until the first node has links to the owners of the other
/// pools.
async fn five_centres(run_time: Duration) -> (Platform, Vec<NodeProcess>) {
    let mut platform = Platform::start(0, run_time).await;
    let mut nodes = Vec::new();
    for centre in ["a", "b", "c", "d", "e"] {
        nodes.push(add_centre(&mut platform, centre, run_time).await);
    }
    wait_for_links(&nodes[0], 4).await;
    (platform, nodes)
}

/// Waits until a node has links to the owners of `links` other pools.
async fn wait_for_links(node: &NodeProcess, links: usize) {
    for _ in 0..500 {
        let log = node.log_lines();
        let opened = log.lines().filter(|line| line.contains("link_opened"));
        if opened.count() >= links {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("too few links were opened: {}", node.log_lines());
}

/// A job has nine parallel tasks, and each of five data centres runs two tasks at a time, so that four of them are too
/// few. Guards against refusing the job as too late although all five together can run it at once.
#[actix_rt::test]
async fn a_job_is_divided_among_all_five_pools() {
    let run_time = Duration::from_millis(300);
    let (_platform, nodes) = five_centres(run_time).await;
    // Owners publish their load with their next heartbeat.
    actix_rt::time::sleep(Duration::from_millis(600)).await;
    let started = Instant::now();
    let answer = post_job(&nodes[0], "5c0e7a21d94b36f9", &job(9, 300)).await;
    let log = nodes[0].log_lines();
    assert_eq!(answer, (200, json!({ "State": "completed" })), "{log}");
    let took = started.elapsed();
    assert!(took < Duration::from_millis(540), "{took:?}");
}

/// The bytes that a node has sent to the owners of other pools, read from its metrics.
async fn peer_bytes(node: &NodeProcess) -> u64 {
    let url = format!("http://{}/metrics", node.ready_address());
    let page = awc::Client::default()
        .get(url)
        .send()
        .await
        .unwrap()
        .body()
        .await
        .unwrap();
    let page = String::from_utf8(page.to_vec()).unwrap();
    let name = r#"node_traffic_sent_bytes_total{kind="peers"} "#;
    let line = page.lines().find_map(|line| line.strip_prefix(name));
    line.unwrap().parse().unwrap()
}

/// A job of nine tasks with a text of 3,500 bytes is divided among five pools. Its text has to be sent once to each of
/// the four remote ones. Guards against sending the text also to pools that are only asked how many tasks they could
/// take: on narrow links the texts of refused requests saturated the owners' links and delayed all other traffic.
#[actix_rt::test]
async fn a_job_text_is_sent_only_to_pools_that_run_it() {
    let run_time = Duration::from_millis(300);
    let (_platform, nodes) = five_centres(run_time).await;
    actix_rt::time::sleep(Duration::from_millis(600)).await;
    let before = peer_bytes(&nodes[0]).await;
    let mut job = job(9, 300);
    job["Spec"] = json!("x".repeat(3_500));
    let answer = post_job(&nodes[0], "5c0e7a21d94b36fa", &job).await;
    assert_eq!(answer.0, 200, "{}", nodes[0].log_lines());
    let sent = peer_bytes(&nodes[0]).await - before;
    assert!(sent > 4 * 3_500, "{sent}");
    assert!(sent < 6 * 3_500, "{sent}");
}

/// A job has four parallel tasks, and each of two data centres runs two tasks at a time. In a single data centre the
/// last two would start after the first two, which is too late for the caller; both together run all four at once.
#[actix_rt::test]
async fn a_wide_job_is_divided_among_data_centres() {
    let run_time = Duration::from_millis(300);
    let mut platform = Platform::start(1, run_time).await;
    let east_node = platform.start_node(platform.node_settings("vm-e")).await;
    let west_node = add_centre(&mut platform, "west", run_time).await;
    for _ in 0..300 {
        let linked = east_node.log_lines().contains("link_opened");
        if linked && west_node.log_lines().contains("worker_answers") {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    let started = Instant::now();
    let answer = post_job(&east_node, "5c0e7a21d94b36f8", &job(4, 300)).await;
    assert_eq!(
        answer,
        (200, json!({ "State": "completed" })),
        "{}",
        east_node.log_lines()
    );
    assert!(
        started.elapsed() < Duration::from_millis(540),
        "{:?}",
        started.elapsed()
    );
    let mut tasks = Vec::new();
    for worker in &platform.workers {
        let runs = worker.runs();
        assert_eq!(runs.len(), 2);
        tasks.extend(runs.into_iter().map(|run| run.task));
    }
    tasks.sort();
    let name = |index| format!("5c0e7a21d94b36f8.0.0.{index}");
    assert_eq!(tasks, [name(0), name(1), name(2), name(3)]);
}
