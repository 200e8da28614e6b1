//! Distributions of run times that owners publish in their member rows.

mod support;

use std::{net::SocketAddr, time::Duration};

use claims::{LinkRate, MemberRow, NodeId};
use model::{HistogramScale, LogHistogram, RunTimePolicy};
use node::NodeProcess;
use pool::RouteRunTimes;
use serde_json::{json, Value};
use support::{job, post_job, Platform, CENTRE};

/// The row of a process that is gone, with what it published.
fn former_row(refreshes: u64, run_times: Value) -> Value {
    let member = MemberRow {
        node: NodeId::from("vm-former"),
        incarnation: 1,
        data_centre: CENTRE.parse().unwrap(),
        cores: 1.0,
        link: LinkRate::from_megabits(100.0),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        refreshes,
        waits: Vec::new(),
    };
    let mut row = serde_json::to_value(&member).unwrap();
    row["run_times"] = run_times;
    row
}

fn distribution() -> String {
    let scale = HistogramScale {
        first: 0.0625,
        buckets_per_doubling: 4.0,
        sample_weight: 16,
    };
    let mut histogram = LogHistogram::<40>::new(scale);
    for _ in 0..100 {
        histogram.add(1.0, 512);
    }
    histogram.to_text()
}

async fn start(platform: &Platform) -> NodeProcess {
    let mut settings = platform.node_settings("vm-1");
    settings.load.run_times = RunTimePolicy::Distribution;
    platform.start_node(settings).await
}

fn lines_of(node: &NodeProcess, event: &str) -> Vec<String> {
    let lines = node.log_lines();
    let lines = lines.lines().filter(|line| line.contains(event));
    lines.map(str::to_owned).collect()
}

/// Guards against a new owner that begins without what the former one has learned.
#[actix_rt::test]
async fn a_new_owner_adopts_the_published_distributions() {
    let platform = Platform::start(1, Duration::from_millis(20)).await;
    let published = json!([{ "route": "r-1", "ratios": distribution() }]);
    platform
        .store
        .put("members", "vm-former", &former_row(1, published));
    let node = start(&platform).await;
    let lines = lines_of(&node, "run_times_adopted");
    assert!(lines[0].contains(r#""routes":1"#), "{lines:?}");
    assert_eq!(lines_of(&node, "run_times_unreadable").len(), 0);
}

/// Guards against an owner whose successor finds nothing, or nothing that it can read.
#[actix_rt::test]
async fn an_owner_publishes_what_it_has_learned() {
    let platform = Platform::start(1, Duration::from_millis(20)).await;
    let node = start(&platform).await;
    for number in 1..=40 {
        let (status, _) = post_job(&node, &format!("{number:016x}"), &job(1, 20)).await;
        assert_eq!(status, 200, "{}", node.log_lines());
    }
    for _ in 0..60 {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        let (row, _) = platform.store.row("members", "vm-1").unwrap();
        let Some(ratios) = row["run_times"][0]["ratios"].as_str() else {
            continue;
        };
        assert!(ratios.len() <= 64);
        let published = RouteRunTimes {
            route: "r-1".into(),
            ratios: ratios.to_owned(),
        };
        assert_eq!(published.check(), Ok(()));
        return;
    }
    panic!("nothing is published");
}

/// Guards against a damaged part of a row that costs the member, stops the new owner or fills the log.
#[actix_rt::test]
async fn unreadable_distributions_are_logged_once() {
    let platform = Platform::start(1, Duration::from_millis(20)).await;
    let oversized = json!([{ "route": "r-1", "ratios": "A".repeat(10_000) }]);
    platform
        .store
        .put("members", "vm-former", &former_row(1, oversized));
    let node = start(&platform).await;
    for (refreshes, run_times) in [(2, json!("x")), (3, json!([1]))] {
        let row = former_row(refreshes, run_times);
        platform.store.put("members", "vm-former", &row);
        actix_rt::time::sleep(Duration::from_millis(800)).await;
    }
    assert_eq!(lines_of(&node, "run_times_unreadable").len(), 1);
    assert_eq!(lines_of(&node, "row_unreadable").len(), 0);
    let lines = lines_of(&node, "run_times_adopted");
    assert!(lines[0].contains(r#""routes":0"#), "{lines:?}");
}
