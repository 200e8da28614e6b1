//! Attempts at one job while the pool of the first one changes its owner.

mod support;

use std::time::Duration;

use platform_stand_ins::{RunRecord, StoreFault, WorkerStandIn};
use settings::NodeSettings;
use support::{job, spawn_post_job, Platform};

const JOB: &str = "5c0e7a21d94b3c02";

/// An estimate of which the job may outlast the customer's pause.
const LONG_ESTIMATE_MS: u64 = 900;

async fn sleep_ms(time: u64) {
    actix_rt::time::sleep(Duration::from_millis(time)).await;
}

/// Guards against a successor that starts the customer's next attempt beside the former owner of its own pool, which still
/// finishes the first attempt, because the store does not answer the lookup and only the owners of other pools are asked.
#[actix_rt::test]
async fn a_successor_starts_nothing_beside_its_predecessor_while_the_store_is_silent() {
    let platform = Platform::start(2, Duration::from_millis(3_000)).await;
    let settings = NodeSettings {
        stop_grace_s: 6.0,
        ..platform.node_settings("vm-1")
    };
    let owner = std::rc::Rc::new(platform.start_node(settings).await);
    let successor = platform.start_node(platform.node_settings("vm-2")).await;
    sleep_ms(900).await;
    let first = spawn_post_job(&owner, JOB, job(1, LONG_ESTIMATE_MS));
    sleep_ms(300).await;
    let stopping = {
        let owner = owner.clone();
        actix_rt::spawn(async move { owner.stop().await })
    };
    sleep_ms(900).await;
    platform.store.set_fault(StoreFault::Silent);
    sleep_ms(150).await;
    let second = spawn_post_job(&successor, JOB, job(1, LONG_ESTIMATE_MS));
    sleep_ms(700).await;
    let log = format!("{}{}", owner.log_lines(), successor.log_lines());
    let workers = platform.workers.iter();
    let mut runs: Vec<RunRecord> = workers.flat_map(WorkerStandIn::runs).collect();
    runs.sort_by_key(|run| run.began);
    for pair in runs.windows(2) {
        let ended = pair[0].ended.map(|(ended, _)| ended);
        assert!(
            ended.is_some_and(|ended| ended <= pair[1].began),
            "two runs: {pair:?} {log}"
        );
    }
    assert_eq!(runs.len(), 1, "{runs:?} {log}");
    drop((first, second, stopping));
}
