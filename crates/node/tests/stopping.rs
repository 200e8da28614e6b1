//! A planned stop of a node interrupts no request.

mod support;

use std::{rc::Rc, time::Duration};

use awc::Client;
use platform_stand_ins::StoreFault;
use serde_json::json;
use settings::NodeSettings;
use support::{job, send, spawn_post_job, Platform};

const GRACE_S: f64 = 2.5;

fn settings(platform: &Platform) -> NodeSettings {
    NodeSettings {
        stop_grace_s: GRACE_S,
        ..platform.node_settings("vm-1")
    }
}

/// A job that was accepted before the stop begins is run to its end, and its caller gets the answer.
#[actix_rt::test]
async fn a_running_job_is_finished_during_a_stop() {
    let platform = Platform::start(1, Duration::from_millis(700)).await;
    let node = platform.start_node(settings(&platform)).await;
    let call = spawn_post_job(&node, "00000000000000a1", job(2, 700));
    actix_rt::time::sleep(Duration::from_millis(150)).await;
    node.stop().await;
    assert_eq!(call.await.unwrap(), (200, json!({ "State": "completed" })));
}

/// A customer sends a job on an idle connection while its node stops, so late that the job cannot end before the
/// process does. The workers are owned by another node, which would accept the job. If the end of the process
/// interrupted it, the customer could not know whether it ran, so it has to be refused at once.
#[actix_rt::test]
async fn a_job_with_too_little_time_left_in_a_stop_is_refused() {
    let platform = Platform::start(1, Duration::from_millis(900)).await;
    let owner = platform.start_node(platform.node_settings("vm-0")).await;
    assert!(owner.log_lines().contains("pool_taken"));
    let node = Rc::new(platform.start_node(settings(&platform)).await);
    let address = node.customer_address();
    let client = Client::default();
    let first = send(
        &client,
        address,
        "POST",
        "/hold/00000000000000b1",
        &job(1, 900),
    )
    .await;
    assert_eq!(first.0, 200);
    let stopping = {
        let node = node.clone();
        actix_rt::spawn(async move { node.stop().await })
    };
    actix_rt::time::sleep(Duration::from_millis(1_450)).await;
    let late = send(
        &client,
        address,
        "POST",
        "/hold/00000000000000b2",
        &job(1, 900),
    )
    .await;
    stopping.await.unwrap();
    drop(node);
    assert_eq!(late.0, 503);
    assert_eq!(platform.workers[0].runs().len(), 1);
}

/// A job takes far longer than estimated and is still running at the end of the node's grace period. Its customer has
/// to get a complete answer that the outcome is unknown, and not a broken connection.
#[actix_rt::test]
async fn a_job_that_outlasts_the_stop_gets_an_answer() {
    let platform = Platform::start(1, Duration::from_millis(3_800)).await;
    let node = platform.start_node(settings(&platform)).await;
    let call = spawn_post_job(&node, "00000000000000c1", job(1, 3_800));
    actix_rt::time::sleep(Duration::from_millis(150)).await;
    node.stop().await;
    drop(node);
    assert_eq!(call.await.unwrap().0, 504);
}

/// The owner of two workers is told to stop while a long job runs on one of them. A second node takes over the idle
/// worker at once and uses it, and the long job continues on the other. Neither caller notices the stop.
#[actix_rt::test]
async fn a_stopping_owner_hands_over_idle_workers_and_finishes_its_jobs() {
    let platform = Platform::start(2, Duration::from_millis(1_400)).await;
    let owner = platform.start_node(settings(&platform)).await;
    let successor = platform.start_node(platform.node_settings("vm-2")).await;
    let long = spawn_post_job(&owner, "00000000000000d1", job(1, 1_400));
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    let stopping = actix_rt::spawn(async move { owner.stop().await });
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let address = successor.customer_address();
    let (client, body) = (Client::default(), job(1, 1_400));
    let other = send(&client, address, "POST", "/hold/00000000000000d2", &body);
    let completed = (200, json!({ "State": "completed" }));
    assert_eq!(other.await, completed, "{}", successor.log_lines());
    assert_eq!(long.await.unwrap(), completed);
    stopping.await.unwrap();
    let runs: Vec<_> = platform
        .workers
        .iter()
        .flat_map(|worker| worker.runs())
        .collect();
    assert_eq!(runs.len(), 2, "nothing was stopped and run again: {runs:?}");
}

/// Customers send jobs to a stopping node until its process is gone, also right after its last open request was
/// answered. Each of them has to get a complete answer, or no task of its job runs. Guards against accepting a job in
/// that last moment, which the end of the process would interrupt.
#[actix_rt::test]
async fn no_job_runs_unanswered_at_the_end_of_a_stop() {
    let platform = Platform::start(2, Duration::from_millis(45)).await;
    let owner = platform.start_node(platform.node_settings("vm-0")).await;
    assert!(owner.log_lines().contains("pool_taken"));
    for round in 0..3_u64 {
        let node = platform.start_node(platform.node_settings("vm-1")).await;
        let address = node.customer_address();
        let sending = actix_rt::spawn(async move {
            let mut calls = Vec::new();
            for number in 0..50_u64 {
                let id = format!("{:016x}", 0xe000 + round * 100 + number);
                let call = {
                    let id = id.clone();
                    actix_rt::spawn(async move {
                        let path = format!("/hold/{id}");
                        send(&Client::default(), address, "POST", &path, &job(1, 45)).await
                    })
                };
                calls.push((id, call));
                actix_rt::time::sleep(Duration::from_millis(72)).await;
            }
            calls
        });
        node.stop().await;
        drop(node);
        for (id, call) in sending.await.unwrap() {
            let (status, _) = call.await.unwrap();
            let runs = platform.workers.iter().flat_map(|worker| worker.runs());
            let ran = runs.filter(|run| run.task.starts_with(&id)).count();
            assert!(status != 0 || ran == 0, "job {id} ran and got no answer");
        }
    }
}

/// The owner of the workers is told to stop while the store is unavailable, so that no other node can take over its
/// pool. It has to keep serving jobs from another node; if it refused them at once, there would be no owner until the
/// store is available again.
#[actix_rt::test]
async fn a_stopping_owner_keeps_serving_until_it_can_be_succeeded() {
    let platform = Platform::start(2, Duration::from_millis(20)).await;
    let owner = platform.start_node(platform.node_settings("vm-1")).await;
    assert!(owner.log_lines().contains("pool_taken"));
    let other = platform.start_node(platform.node_settings("vm-2")).await;
    platform.store.set_fault(StoreFault::Busy);
    actix_rt::time::sleep(Duration::from_millis(1_600)).await;
    let stopping = actix_rt::spawn(async move { owner.stop().await });
    for number in 0..8_u64 {
        actix_rt::time::sleep(Duration::from_millis(150)).await;
        let id = format!("{:016x}", 0xf100 + number);
        let answer = support::post_job(&other, &id, &job(1, 20)).await;
        assert_eq!(answer.0, 200, "job {number}: {}", other.log_lines());
    }
    platform.store.set_fault(StoreFault::None);
    actix_rt::time::sleep(Duration::from_millis(2_000)).await;
    let answer = support::post_job(&other, "000000000000f1ff", &job(1, 20)).await;
    assert_eq!(answer.0, 200, "{}", other.log_lines());
    stopping.await.unwrap();
}
