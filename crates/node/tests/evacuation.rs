//! An operator evacuates data centres: nothing starts there from within a second on, at a node of any data centre, and what
//! can be served elsewhere is.

mod support;

use std::time::{Duration, Instant};

use node::NodeProcess;
use platform_stand_ins::{ExecutorPlan, ExecutorStandIn, StoreFault};
use serde_json::{json, Value};
use support::{job, post_job, post_meanwhile, start_node, Platform, CENTRE};

const OTHER_CENTRE: &str = "west";

const RUN_TIME: Duration = Duration::from_millis(10);

/// How soon an evacuation is in force where the store is heard.
const IN_FORCE: Duration = Duration::from_millis(1_000);

/// Adds a worker of the other data centre.
async fn add_other(platform: &Platform) -> ExecutorStandIn {
    let plan = ExecutorPlan {
        id: "i-west".to_owned(),
        run_time: RUN_TIME,
        ..ExecutorPlan::default()
    };
    let other = ExecutorStandIn::start(plan).await;
    let entry = other.entry("svc", OTHER_CENTRE, "ready");
    platform.store.put("servers", "i-west", &entry);
    other
}

/// Waits until the node owns so many pools.
async fn own_pools(node: &NodeProcess, pools: usize) {
    for _ in 0..600 {
        if node.log_lines().matches("\"pool_taken\"").count() >= pools {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("fewer pools: {}", node.log_lines());
}

fn evacuate(platform: &Platform, centre: &str) {
    let key = format!("evacuate/{centre}");
    platform.store.put("op", &key, &json!({}));
}

fn take_back(platform: &Platform, centre: &str) {
    platform.store.remove("op", &format!("evacuate/{centre}"));
}

async fn settle() {
    actix_rt::time::sleep(IN_FORCE).await;
}

/// Hands in jobs one after another and gives their statuses.
async fn post_some(node: &NodeProcess, first: u64) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in first..first + 6 {
        let id = format!("{number:016x}");
        statuses.push(post_job(node, &id, &job(2, 200)).await.0);
    }
    statuses
}

fn begun_after(executor: &ExecutorStandIn, moment: Instant) -> usize {
    let runs = executor.runs();
    runs.iter().filter(|run| run.began > moment).count()
}

/// One of two data centres is evacuated while a job runs there. The job's caller gets its answer, later callers get theirs
/// from the other data centre, and after the return both serve.
#[actix_rt::test]
async fn jobs_go_to_another_data_centre() {
    let platform = Platform::start(1, Duration::from_millis(1_500)).await;
    let other = add_other(&platform).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    own_pools(&node, 2).await;
    let long = post_meanwhile(&node, "00000000000000a0", job(1, 1_500));
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    evacuate(&platform, CENTRE);
    settle().await;
    let in_force = Instant::now();
    assert_eq!(post_some(&node, 1).await, [200; 6], "{}", node.log_lines());
    assert_eq!(long.await.unwrap().0, 200);
    assert_eq!(begun_after(&platform.executors[0], in_force), 0);
    assert_eq!(other.runs().len(), 12);
    take_back(&platform, CENTRE);
    settle().await;
    post_some(&node, 20).await;
    assert!(begun_after(&platform.executors[0], in_force) > 0);
}

/// All data centres are evacuated. Callers are told at once that nothing ran and when to come back, and the node goes on
/// taking requests: it is not what is wrong.
#[actix_rt::test]
async fn nothing_is_served_while_all_are_evacuated() {
    let platform = Platform::start(1, RUN_TIME).await;
    let other = add_other(&platform).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    own_pools(&node, 2).await;
    evacuate(&platform, CENTRE);
    evacuate(&platform, OTHER_CENTRE);
    settle().await;
    let begun = Instant::now();
    assert_eq!(post_some(&node, 1).await, [503; 6]);
    assert!(begun.elapsed() < Duration::from_millis(500));
    assert!(support::is_ready(&node).await);
    assert_eq!(other.runs().len() + platform.executors[0].runs().len(), 0);
    assert!(node.log_lines().contains("evacuated"));
    take_back(&platform, OTHER_CENTRE);
    settle().await;
    assert_eq!(post_some(&node, 20).await, [200; 6]);
    assert_eq!(platform.executors[0].runs().len(), 0);
}

/// A node starts after the evacuation: it knows of it before its first start.
#[actix_rt::test]
async fn a_node_that_starts_later_knows_of_it() {
    let platform = Platform::start(1, RUN_TIME).await;
    let other = add_other(&platform).await;
    evacuate(&platform, CENTRE);
    let node = start_node(platform.node_settings("vm-1")).await;
    for number in 0..40 {
        let id = format!("{number:016x}");
        post_job(&node, &id, &job(1, 200)).await;
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(platform.executors[0].runs().len(), 0);
    own_pools(&node, 2).await;
    assert_eq!(post_some(&node, 100).await, [200; 6]);
    assert!(!other.runs().is_empty());
}

/// The store is away while an evacuation is in force, comes back without its history, and the evacuation is over only then.
/// What was last known holds all the while; what changed in the gap is found.
#[actix_rt::test]
async fn what_was_known_holds_while_the_store_is_away() {
    let platform = Platform::start(1, RUN_TIME).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    evacuate(&platform, CENTRE);
    settle().await;
    platform.store.set_fault(StoreFault::Silent);
    actix_rt::time::sleep(Duration::from_millis(2_200)).await;
    assert_eq!(post_some(&node, 1).await, [503; 6]);
    take_back(&platform, CENTRE);
    evacuate(&platform, OTHER_CENTRE);
    platform.store.truncate_history();
    platform.store.set_fault(StoreFault::None);
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(post_some(&node, 20).await, [200; 6], "{}", node.log_lines());
}

/// A row that evacuates something, and whether it closes the data centre.
struct RowCase {
    name: &'static str,
    key: &'static str,
    value: Value,
    closes: bool,
}

/// Operators' rows may be of a later version of the interface, or wrong. The key alone says what is evacuated; one that names
/// no data centre that anybody knows changes nothing, and nobody stops for it.
#[actix_rt::test]
async fn rows_of_other_forms_stop_nobody() {
    let case = |name, key, value, closes| RowCase {
        name,
        key,
        value,
        closes,
    };
    let cases = [
        case("no fields", "evacuate/east", json!({}), true),
        case(
            "unknown fields",
            "evacuate/east",
            json!({ "Until": 7 }),
            true,
        ),
        case("another type", "evacuate/east", json!(["east"]), true),
        case("null", "evacuate/east", Value::Null, true),
        case(
            "an unknown data centre",
            "evacuate/atlantis",
            json!({}),
            false,
        ),
        case("no data centre", "evacuate/", json!({}), false),
        case("no name", "evacuate/a b/c", json!({}), false),
        case("another key", "evacuated/east", json!({}), false),
        case("a prefix of a name", "evacuate/eas", json!({}), false),
    ];
    let platform = Platform::start(1, RUN_TIME).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    for (number, case) in (1..).zip(&cases) {
        platform.store.put("op", case.key, &case.value);
        settle().await;
        let expected = if case.closes { 503 } else { 200 };
        let statuses = post_some(&node, number * 100).await;
        assert_eq!(statuses, [expected; 6], "{}", case.name);
        platform.store.remove("op", case.key);
        settle().await;
    }
    platform
        .store
        .put_raw("op", "evacuate/east", "%%%".to_owned());
    settle().await;
    assert_eq!(post_some(&node, 5_000).await, [503; 6]);
    assert!(node.log_lines().contains("row_unreadable"));
}
