//! Kept jobs: the answers that customers get, and jobs that outlive a node or an outage of the store.

mod support;

use std::time::{Duration, Instant};

use platform_stand_ins::{kept_job_body, StoreFault};
use serde_json::json;
use support::{post_job, send_empty, spawn_post_job, wait_for, Platform};
use xxhash_rust::xxh3::xxh3_64;

const ID: &str = "5c0e7a21d94b36f8";

fn done_runs(platform: &Platform) -> usize {
    let runs = platform.workers.iter().flat_map(|worker| worker.runs());
    runs.filter(|run| run.ended.is_some_and(|(_, how)| how == "done"))
        .count()
}

#[actix_rt::test]
async fn a_kept_job_is_accepted_and_then_completed() {
    let platform = Platform::start(2, Duration::from_millis(60)).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    assert_eq!(send_empty(&node, "GET", ID).await.0, 410);
    let body = kept_job_body(3, 60);
    assert_eq!(post_job(&node, ID, &body).await, (202, json!({})));
    wait_for(&node, ID, "completed").await;
    assert_eq!(done_runs(&platform), 3);
    // Submitting a job again under its id does not run it again.
    assert_eq!(post_job(&node, ID, &body).await, (202, json!({})));
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(done_runs(&platform), 3);
    assert_eq!(send_empty(&node, "DELETE", ID).await.0, 200);
    wait_for(&node, ID, "completed").await;
}

/// The node that accepted a job is gone before the job ends. Another node finds the job in the store and finishes it.
/// The customer sees it completed there, and no task is done twice.
#[actix_rt::test]
async fn a_kept_job_survives_its_node() {
    let platform = Platform::start(2, Duration::from_millis(700)).await;
    let first = platform.start_node(platform.node_settings("vm-1")).await;
    let second = platform.start_node(platform.node_settings("vm-2")).await;
    assert_eq!(post_job(&first, ID, &kept_job_body(4, 700)).await.0, 202);
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    drop(first);
    wait_for(&second, ID, "completed").await;
    assert_eq!(done_runs(&platform), 4);
}

/// A customer cancels a running job. Its runs are stopped soon, and none of its tasks starts again.
#[actix_rt::test]
async fn a_cancelled_job_stops_and_stays_cancelled() {
    let platform = Platform::start(1, Duration::from_millis(2_000)).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    assert_eq!(post_job(&node, ID, &kept_job_body(2, 2_000)).await.0, 202);
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(send_empty(&node, "DELETE", ID).await.0, 200);
    wait_for(&node, ID, "canceled").await;
    actix_rt::time::sleep(Duration::from_millis(800)).await;
    let runs = platform.workers[0].runs();
    assert_eq!(runs.len(), 2);
    let stopped =
        |run: &platform_stand_ins::RunRecord| run.ended.is_some_and(|(_, how)| how == "stopped");
    assert!(runs.iter().all(stopped), "{runs:?}");
}

/// Guards against refusing a job whose row an unanswered write has stored: it runs although its customer was told that it
/// never will.
#[actix_rt::test]
async fn a_job_that_may_be_stored_is_not_refused() {
    let platform = Platform::start(1, Duration::from_millis(50)).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    platform.store.set_fault(StoreFault::AnswersLost);
    let answer = spawn_post_job(&node, ID, kept_job_body(1, 50));
    actix_rt::time::sleep(Duration::from_millis(250)).await;
    platform.store.set_fault(StoreFault::Busy);
    assert_eq!(answer.await.unwrap().0, 504, "{}", node.log_lines());
    platform.store.set_fault(StoreFault::None);
    wait_for(&node, ID, "completed").await;
}

/// While the store is unavailable a job cannot be stored, so its customer is told that it was not accepted, and nothing
/// runs. Requests for states and cancellations are refused too, since the node must not guess what the store holds.
#[actix_rt::test]
async fn jobs_are_refused_while_the_store_is_unavailable() {
    let platform = Platform::start(1, Duration::from_millis(50)).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    platform.store.set_fault(StoreFault::Busy);
    assert_eq!(post_job(&node, ID, &kept_job_body(1, 50)).await.0, 503);
    assert_eq!(send_empty(&node, "GET", ID).await.0, 503);
    assert_eq!(send_empty(&node, "DELETE", ID).await.0, 503);
    platform.store.set_fault(StoreFault::None);
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    assert!(platform.workers[0].runs().is_empty());
    assert_eq!(send_empty(&node, "GET", ID).await.0, 410);
}

/// The store writes a new job but its answers are lost. The node must neither accept nor refuse the job until the store
/// answers again. By then the job exists once, and its tasks run once.
#[actix_rt::test]
async fn a_job_whose_store_answer_is_lost_runs_once() {
    let platform = Platform::start(1, Duration::from_millis(50)).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    platform.store.set_fault(StoreFault::AnswersLost);
    let body = kept_job_body(2, 50);
    let call = post_job(&node, ID, &body);
    let waited = tokio::time::timeout(Duration::from_millis(700), call).await;
    assert!(waited.is_err(), "{waited:?}");
    platform.store.set_fault(StoreFault::None);
    wait_for(&node, ID, "completed").await;
    assert_eq!(done_runs(&platform), 2);
}

/// Guards against ends that wait for the timeouts of several writes while the store answers none of them: their worker
/// cannot acknowledge any later end. At the users' 175 ends a second, 500 unacknowledged ones are reached after 2.8 s.
#[actix_rt::test]
async fn writes_whose_answers_are_lost_are_read_back() {
    let platform = Platform::start(1, Duration::from_millis(50)).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    platform.store.set_fault(StoreFault::WriteAnswersLost);
    let began = Instant::now();
    assert_eq!(post_job(&node, ID, &kept_job_body(2, 50)).await.0, 202);
    wait_for(&node, ID, "completed").await;
    let took = began.elapsed();
    assert!(took < Duration::from_millis(2_800), "{took:?}");
    assert_eq!(done_runs(&platform), 2);
}

/// The number of pending jobs counts the kept jobs that wait for a slot, and is 0 once all of them have begun.
#[actix_rt::test]
async fn pending_jobs_are_counted() {
    let platform = Platform::start(1, Duration::from_millis(1_200)).await;
    // The latency objective leaves the jobs time to wait.
    let mut config = support::config(7);
    config["Routes"][0]["GoalMs"] = json!(10_000);
    platform.store.put("op", "config", &config);
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    for number in 0..4 {
        let id = format!("{:016x}", 0xf0 + number);
        assert_eq!(post_job(&node, &id, &kept_job_body(1, 1_200)).await.0, 202);
    }
    actix_rt::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(
        send_empty(&node, "GET", "").await,
        (200, json!({ "Pending": 2 }))
    );
    wait_for(&node, "00000000000000f3", "completed").await;
    actix_rt::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(
        send_empty(&node, "GET", "").await,
        (200, json!({ "Pending": 0 }))
    );
}

/// Guards against a number of pending jobs that stays wrong until it changes again, since the store rejected its write.
#[actix_rt::test]
async fn a_number_of_pending_jobs_that_was_not_written_is_written_again() {
    let platform = Platform::start(1, Duration::from_millis(9_000)).await;
    let mut config = support::config(7);
    config["Routes"][0]["GoalMs"] = json!(60_000);
    platform.store.put("op", "config", &config);
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    for number in 0..4 {
        let id = format!("{:016x}", 0xf0 + number);
        let body = kept_job_body(1, 1_200);
        assert_eq!(post_job(&node, &id, &body).await.0, 202);
    }
    // The number is written at most every 0.7 s, and the owner continues for 1 s without the store.
    platform.store.set_fault(StoreFault::Busy);
    actix_rt::time::sleep(Duration::from_millis(850)).await;
    platform.store.set_fault(StoreFault::None);
    actix_rt::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(
        send_empty(&node, "GET", "").await,
        (200, json!({ "Pending": 2 }))
    );
}

/// Many jobs of one partition of the store end while the store is unavailable. Each of them has to be shown as
/// completed afterwards. Guards against writing all ends in one transaction: the store rejects one with too many
/// entries as a whole, and again at each retry.
#[actix_rt::test]
async fn many_jobs_that_end_at_once_are_stored() {
    let platform = Platform::start(18, Duration::from_millis(500)).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    let of_one_part = (0..u64::MAX).filter(|id| xxh3_64(&id.to_be_bytes()).is_multiple_of(8));
    let ids: Vec<String> = of_one_part
        .take(34)
        .map(|id| format!("{id:016x}"))
        .collect();
    let calls: Vec<_> = ids
        .iter()
        .map(|id| support::spawn_post_job(&node, id, kept_job_body(1, 500)))
        .collect();
    for call in calls {
        assert_eq!(call.await.unwrap().0, 202, "{}", node.log_lines());
    }
    platform.store.set_fault(StoreFault::Busy);
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    platform.store.set_fault(StoreFault::None);
    for id in &ids {
        wait_for(&node, id, "completed").await;
    }
}
