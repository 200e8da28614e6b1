//! Workers that are divided among pools anew while kept jobs have ends that are not stored.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use awc::Client;
use claims::{GroupRow, GroupSpread};
use jobs::InstanceId;
use node::NodeProcess;
use platform_stand_ins::{
    timed_job_body, timed_kept_job_body, written_rows, RunRecord, WriteDelay,
};
use serde_json::json;
use support::{send, submit, wait_for, Platform, CENTRE};
use tokio::task::JoinHandle;

const ID: &str = "5c0e7a21d94b36f8";

/// How often a job is submitted at most, until the node has settled.
const MAX_TRIES: usize = 40;

/// How long the tasks run, in milliseconds.
const RUN_TIME_MS: u64 = 300;

/// The tasks of the job. Each worker has more than one of them.
const TASKS: u32 = 12;

/// After this time, writes of jobs that are carried out late have been carried out, if they were sent after the division.
const LATE_TIME: Duration = Duration::from_millis(300);

/// The time within which ends are acknowledged once they may be.
const ACKNOWLEDGEMENT_TIME: Duration = Duration::from_secs(2);

/// The first id of the jobs that are not stored, and the interval between them.
const TRAFFIC_IDS: u64 = 0xb000;
const TRAFFIC_INTERVAL: Duration = Duration::from_millis(30);

/// Longer than a test lasts.
const NEVER: Duration = Duration::from_secs(3_600);

/// Delays all writes of jobs.
fn delay_of_jobs(delay: Duration) -> WriteDelay {
    Rc::new(move |transaction| {
        let is_of_job = !written_rows(transaction, "jobs").is_empty();
        is_of_job.then_some(delay)
    })
}

/// Delays the writes of jobs that add ends to a row.
fn delay_of_ends(delay: Duration) -> WriteDelay {
    Rc::new(move |transaction| {
        let rows = written_rows(transaction, "jobs");
        let has_ends = rows
            .iter()
            .any(|row| row["progress"][0]["done"] != json!([]));
        has_ends.then_some(delay)
    })
}

/// Divides the workers of the data centre into two groups, as another process may.
fn divide_workers(platform: &Platform) {
    let row = GroupRow {
        groups: 2,
        spread: GroupSpread::Life,
    };
    let mut sizes = [0; 2];
    for (number, worker) in platform.workers.iter().enumerate() {
        let instance = InstanceId::from(format!("i-{number}").as_str());
        let group = row.group_of(&instance, worker.address());
        sizes[usize::try_from(group).unwrap()] += 1;
    }
    assert!(!sizes.contains(&0), "both groups have workers: {sizes:?}");
    let row = serde_json::to_value(row).unwrap();
    platform
        .store
        .put("claims", &format!("{CENTRE}/groups"), &row);
}

/// Submits small jobs that are not stored, so that all workers are in use and hold leases.
fn spawn_traffic(node: &NodeProcess) -> JoinHandle<()> {
    let address = node.customer_address();
    actix_rt::spawn(async move {
        for number in 0.. {
            let path = format!("/hold/{:016x}", TRAFFIC_IDS + number);
            let body = timed_job_body(4, 60);
            actix_rt::spawn(async move {
                send(&Client::default(), address, "POST", &path, &body).await;
            });
            actix_rt::time::sleep(TRAFFIC_INTERVAL).await;
        }
    })
}

/// All runs of the job, the earliest first.
fn job_runs(platform: &Platform) -> Vec<RunRecord> {
    let workers = platform.workers.iter();
    let runs = workers.flat_map(|worker| worker.runs());
    let mut runs: Vec<RunRecord> = runs.filter(|run| run.task.starts_with(ID)).collect();
    runs.sort_by_key(|run| run.began);
    runs
}

/// Panics if a task began again after an end of it that was acknowledged in time.
fn check_runs(platform: &Platform, node: &NodeProcess) {
    let runs = job_runs(platform);
    for (index, run) in runs.iter().enumerate() {
        let is_final =
            run.acknowledged.is_some() && run.ended.is_some_and(|(_, how)| how == "done");
        let mut later = runs[index + 1..]
            .iter()
            .filter(|later| later.task == run.task);
        assert!(
            !is_final || later.next().is_none(),
            "{}: {}",
            run.task,
            node.log_lines()
        );
    }
}

/// A platform with a node whose job has ended on its workers, while none of the ends is stored, and the traffic beside it.
async fn platform_with_unstored_ends() -> (Platform, NodeProcess, JoinHandle<()>) {
    let platform = Platform::start(4, Duration::ZERO).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    let mut job = timed_kept_job_body(TASKS, RUN_TIME_MS);
    job["Phases"][0]["Cpu"] = json!(1_000);
    submit(&node, ID, &job, MAX_TRIES).await;
    let traffic = spawn_traffic(&node);
    platform.store.set_write_delay(Some(delay_of_jobs(NEVER)));
    let all_ended = || {
        let runs = job_runs(&platform);
        runs.len() == TASKS as usize && runs.iter().all(|run| run.ended.is_some())
    };
    for _ in 0..200 {
        if all_ended() {
            return (platform, node, traffic);
        }
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the job's runs have not ended: {}", node.log_lines());
}

/// Guards against a second run of a task whose end was acknowledged: the owner of a worker's new pool took the row that its
/// write of one end had stored for the result of its writes of the others.
#[actix_rt::test]
async fn ends_that_one_owner_adds_to_a_row_are_told_apart() {
    let (platform, node, traffic) = platform_with_unstored_ends().await;
    let delay = delay_of_jobs(LATE_TIME);
    platform.store.set_write_delay(Some(delay));
    divide_workers(&platform);
    actix_rt::time::sleep(4 * LATE_TIME).await;
    platform.store.set_write_delay(None);
    wait_for(&node, ID, "completed").await;
    traffic.abort();
    check_runs(&platform, &node);
}

/// Guards against a second run of a task whose end was acknowledged later than the job's owner waits after a division: it
/// had let the job run again by then.
#[actix_rt::test]
async fn ends_that_are_stored_after_the_job_runs_again_are_not_acknowledged_in_time() {
    let (platform, node, traffic) = platform_with_unstored_ends().await;
    platform.store.set_write_delay(Some(delay_of_ends(NEVER)));
    divide_workers(&platform);
    for _ in 0..400 {
        if job_runs(&platform).len() > TASKS as usize {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    let has_run_again = job_runs(&platform).len() > TASKS as usize;
    assert!(has_run_again, "{}", node.log_lines());
    platform.store.set_write_delay(None);
    wait_for(&node, ID, "completed").await;
    // Late acknowledgements count, too.
    actix_rt::time::sleep(ACKNOWLEDGEMENT_TIME).await;
    traffic.abort();
    check_runs(&platform, &node);
}

/// Guards against a write of the row for each end of a job, of which each makes all others conflict: a job of 370 tasks would
/// take tens of thousands of calls of the store.
#[actix_rt::test]
async fn ends_of_one_job_are_added_together() {
    let (platform, node, traffic) = platform_with_unstored_ends().await;
    let writes = Rc::new(Cell::new(0));
    let counted = writes.clone();
    platform
        .store
        .set_write_delay(Some(Rc::new(move |transaction| {
            let is_of_job = !written_rows(transaction, "jobs").is_empty();
            counted.set(counted.get() + u32::from(is_of_job));
            None
        })));
    divide_workers(&platform);
    wait_for(&node, ID, "completed").await;
    traffic.abort();
    check_runs(&platform, &node);
    assert_eq!(job_runs(&platform).len(), TASKS as usize);
    // One or two for the ends, one of the job's owner, and what conflicts between them.
    assert!(writes.get() <= 5, "{} writes", writes.get());
}
