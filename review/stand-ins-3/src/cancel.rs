//! Of four jobs that need not be stored one is cancelled while it runs, at another node than the one that took it.

use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use serde_json::json;

use crate::{
    fleet::{hand_in, new_job_id, start_nodes, start_store, start_workers, Node, PREFIX, SERVICE},
    http,
    record::{record_runs, runs_by_task},
    CaseResult, Setup, Verdict,
};

const ZONE: &str = "regina-hall";
const WORKERS: usize = 16;

/// The disruption: `give_up`, a share of 0.25 of the jobs.
const JOBS: usize = 4;

/// How long the job has run when it is cancelled, and how long its customer would wait.
const CANCELLED_AFTER: Duration = Duration::from_millis(1_000);
const PATIENCE: Duration = Duration::from_secs(20);

/// `cancel_ms` and `StopTimeoutMs`.
const CANCEL_TIME: Duration = Duration::from_millis(3_000);
const STOP_TIME: Duration = Duration::from_millis(50);

pub(crate) async fn run(setup: &Setup) -> CaseResult {
    let record = &setup.record;
    let store = start_store().await;
    let workers = start_workers(&store, SERVICE, ZONE, "r1-1", WORKERS).await;
    let mut nodes = Vec::new();
    for number in 0..2 {
        nodes.push(Node::new(&setup.dir, number, ZONE, store.address())?);
    }
    start_nodes(&mut nodes).await?;
    let step = |after: &[u32]| json!({"Count": 4, "Cpu": 2000, "MemMb": 64, "EstMs": 2500, "After": after});
    let body = json!({
        "Spec": "run-ms-2500", "Ephemeral": true,
        "Phases": [step(&[]), step(&[0]), step(&[1])],
    });
    let paths: Vec<String> = (0..JOBS)
        .map(|_| format!("{PREFIX}{}", new_job_id()))
        .collect();
    let submissions: Vec<_> = paths
        .iter()
        .map(|path| hand_in(record, nodes[0].customers, path, &body, PATIENCE))
        .collect();
    sleep(CANCELLED_AFTER).await;
    let mut acknowledged = None;
    if setup.trouble {
        let path = &paths[0];
        let answer = http::send(nodes[1].customers, "DELETE", path, "", PATIENCE).await;
        record.add(format!("DELETE {path} answered: {answer:?}"));
        if !matches!(answer, Some((200..=299 | 410, _))) {
            return Err("the cancellation was not acknowledged".into());
        }
        acknowledged = Some(Instant::now());
    }
    for submission in submissions {
        let answer = submission.await?;
        if !setup.trouble && !matches!(answer, Some((200, _))) {
            return Err("a job was not served".into());
        }
    }
    let cancelled = paths[0].trim_start_matches(PREFIX);
    let mut broken = false;
    for (task, runs) in runs_by_task(&workers) {
        record_runs(record, &runs);
        let Some(acknowledged) = acknowledged.filter(|_| task.starts_with(cancelled)) else {
            continue;
        };
        let limit = acknowledged + CANCEL_TIME;
        for (_, run) in &runs {
            let since = run
                .began
                .saturating_duration_since(acknowledged)
                .as_millis();
            if run.began > limit {
                broken = true;
                record.add(format!(
                    "UNASKED: {} started {since} ms after the acknowledgement",
                    run.task
                ));
            } else if run.ended.is_none_or(|(at, _)| at > limit + STOP_TIME) {
                broken = true;
                record.add(format!(
                    "UNASKED: {} runs on after {CANCEL_TIME:?} and {STOP_TIME:?}",
                    run.task
                ));
            }
        }
    }
    Ok(if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
