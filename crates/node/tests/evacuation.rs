//! Operators evacuate data centres. Within a second no node of any data centre starts tasks there any more, and jobs
//! run in other data centres where that is possible.

mod support;

use std::time::{Duration, Instant};

use node::NodeProcess;
use platform_stand_ins::{StoreFault, WorkerPlan, WorkerStandIn};
use serde_json::{json, Value};
use support::{job, post_job, spawn_post_job, start_node, Platform, CENTRE};

const OTHER_CENTRE: &str = "west";

const RUN_TIME: Duration = Duration::from_millis(10);

/// The time within which an evacuation is in force at nodes that can reach the store.
const EVACUATION_DELAY: Duration = Duration::from_millis(1_000);

/// Adds a worker in the other data centre.
async fn add_west_worker(platform: &Platform) -> WorkerStandIn {
    let plan = WorkerPlan {
        id: "i-west".to_owned(),
        run_time: RUN_TIME,
        ..WorkerPlan::default()
    };
    let west_worker = WorkerStandIn::start(plan).await;
    let entry = west_worker.entry("svc", OTHER_CENTRE, "ready");
    platform.store.put("servers", "i-west", &entry);
    west_worker
}

/// Waits until the node owns `pools` pools.
async fn wait_for_pools(node: &NodeProcess, pools: usize) {
    for _ in 0..600 {
        if node.log_lines().matches("\"pool_taken\"").count() >= pools {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("too few pools were taken: {}", node.log_lines());
}

fn evacuate(platform: &Platform, centre: &str) {
    let key = format!("evacuate/{centre}");
    platform.store.put("op", &key, &json!({}));
}

fn end_evacuation(platform: &Platform, centre: &str) {
    platform.store.remove("op", &format!("evacuate/{centre}"));
}

async fn wait_for_evacuation() {
    actix_rt::time::sleep(EVACUATION_DELAY).await;
}

/// Submits six jobs one after another and returns the statuses of their responses.
async fn post_six_jobs(node: &NodeProcess, first: u64) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in first..first + 6 {
        let id = format!("{number:016x}");
        statuses.push(post_job(node, &id, &job(2, 200)).await.0);
    }
    statuses
}

fn runs_started_after(worker: &WorkerStandIn, moment: Instant) -> usize {
    let runs = worker.runs();
    runs.iter().filter(|run| run.began > moment).count()
}

/// One of two data centres is evacuated while a job runs there. The running job is finished, later jobs run in the
/// other data centre, and after the end of the evacuation both are used.
#[actix_rt::test]
async fn jobs_run_elsewhere_during_an_evacuation() {
    let platform = Platform::start(1, Duration::from_millis(1_500)).await;
    let west_worker = add_west_worker(&platform).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    wait_for_pools(&node, 2).await;
    let long = spawn_post_job(&node, "00000000000000a0", job(1, 1_500));
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    evacuate(&platform, CENTRE);
    wait_for_evacuation().await;
    let evacuated_at = Instant::now();
    assert_eq!(
        post_six_jobs(&node, 1).await,
        [200; 6],
        "{}",
        node.log_lines()
    );
    assert_eq!(long.await.unwrap().0, 200);
    assert_eq!(runs_started_after(&platform.workers[0], evacuated_at), 0);
    assert_eq!(west_worker.runs().len(), 12);
    end_evacuation(&platform, CENTRE);
    wait_for_evacuation().await;
    post_six_jobs(&node, 20).await;
    assert!(runs_started_after(&platform.workers[0], evacuated_at) > 0);
}

/// All data centres are evacuated. Callers are refused at once and told when to retry, and nothing runs. The node stays
/// ready, because the cause is not in the node.
#[actix_rt::test]
async fn jobs_are_refused_while_all_data_centres_are_evacuated() {
    let platform = Platform::start(1, RUN_TIME).await;
    let west_worker = add_west_worker(&platform).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    wait_for_pools(&node, 2).await;
    evacuate(&platform, CENTRE);
    evacuate(&platform, OTHER_CENTRE);
    wait_for_evacuation().await;
    let started = Instant::now();
    assert_eq!(post_six_jobs(&node, 1).await, [503; 6]);
    assert!(started.elapsed() < Duration::from_millis(500));
    assert!(support::is_ready(&node).await);
    assert_eq!(
        west_worker.runs().len() + platform.workers[0].runs().len(),
        0
    );
    assert!(node.log_lines().contains("evacuated"));
    end_evacuation(&platform, OTHER_CENTRE);
    wait_for_evacuation().await;
    assert_eq!(post_six_jobs(&node, 20).await, [200; 6]);
    assert_eq!(platform.workers[0].runs().len(), 0);
}

/// A node is started during an evacuation. It has to know of the evacuation before it starts its first task.
#[actix_rt::test]
async fn a_node_started_during_an_evacuation_respects_it() {
    let platform = Platform::start(1, RUN_TIME).await;
    let west_worker = add_west_worker(&platform).await;
    evacuate(&platform, CENTRE);
    let node = start_node(platform.node_settings("vm-1")).await;
    for number in 0..40 {
        let id = format!("{number:016x}");
        post_job(&node, &id, &job(1, 200)).await;
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(platform.workers[0].runs().len(), 0);
    wait_for_pools(&node, 2).await;
    assert_eq!(post_six_jobs(&node, 100).await, [200; 6]);
    assert!(!west_worker.runs().is_empty());
}

/// The store becomes unreachable during an evacuation and returns with a truncated history; the evacuation ended and
/// another began in the gap. The last known state has to stay in force meanwhile, and the changes in the gap have to be
/// found afterwards.
#[actix_rt::test]
async fn evacuations_stay_in_force_while_the_store_is_unreachable() {
    let platform = Platform::start(1, RUN_TIME).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    evacuate(&platform, CENTRE);
    wait_for_evacuation().await;
    platform.store.set_fault(StoreFault::Silent);
    actix_rt::time::sleep(Duration::from_millis(2_200)).await;
    assert_eq!(post_six_jobs(&node, 1).await, [503; 6]);
    end_evacuation(&platform, CENTRE);
    evacuate(&platform, OTHER_CENTRE);
    platform.store.truncate_history();
    platform.store.set_fault(StoreFault::None);
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(
        post_six_jobs(&node, 20).await,
        [200; 6],
        "{}",
        node.log_lines()
    );
}

/// A row of the operators' table, and whether it evacuates the data centre of the test.
struct EvacuationCase {
    name: &'static str,
    key: &'static str,
    value: Value,
    evacuates: bool,
}

/// Rows of operators may follow a later version of the interface or be invalid. Only the key decides which data centre
/// is evacuated. A key without a known data centre has no effect, and none of these rows stops the node.
#[actix_rt::test]
async fn only_the_key_of_an_evacuation_row_counts() {
    let case = |name, key, value, evacuates| EvacuationCase {
        name,
        key,
        value,
        evacuates,
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
        wait_for_evacuation().await;
        let expected = if case.evacuates { 503 } else { 200 };
        let statuses = post_six_jobs(&node, number * 100).await;
        assert_eq!(statuses, [expected; 6], "{}", case.name);
        platform.store.remove("op", case.key);
        wait_for_evacuation().await;
    }
    platform
        .store
        .put_raw("op", "evacuate/east", "%%%".to_owned());
    wait_for_evacuation().await;
    assert_eq!(post_six_jobs(&node, 5_000).await, [503; 6]);
    assert!(node.log_lines().contains("row_unreadable"));
}
