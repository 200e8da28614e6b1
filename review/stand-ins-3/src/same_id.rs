//! Customers of two queues, who do not know of each other, number their jobs from 1. The queues have services of their own.

use std::time::Duration;

use actix_rt::time::sleep;
use serde_json::{json, Value};

use crate::{
    fleet::{
        hand_in, start_nodes, start_store, start_workers, NamedWorker, Node, PREFIX, SECOND_PREFIX,
        SECOND_SERVICE, SERVICE,
    },
    http::{self, Answer},
    record::{record_runs, runs_by_task},
    CaseResult, Setup, Verdict,
};

const ZONE: &str = "regina-hall";
const WORKERS: usize = 8;
const JOBS: u64 = 5;
const PATIENCE: Duration = Duration::from_secs(5);

/// The time between the customers of the first queue and those of the second.
const SECOND_AFTER: Duration = Duration::from_secs(2);

/// `finish_s`.
const FINISH_TIME: Duration = Duration::from_secs(14);

/// The first number of the second customer's jobs where it is not also 1.
const OTHER_FIRST: u64 = 1_001;

fn job_path(prefix: &str, number: u64) -> String {
    format!("{prefix}{number:016x}")
}

pub(crate) async fn run(setup: &Setup) -> CaseResult {
    let record = &setup.record;
    let store = start_store().await;
    let first = start_workers(&store, SERVICE, ZONE, "r1-1", WORKERS).await;
    let second = start_workers(&store, SECOND_SERVICE, ZONE, "r1-2", WORKERS).await;
    let mut nodes = Vec::new();
    for number in 0..2 {
        nodes.push(Node::new(&setup.dir, number, ZONE, store.address())?);
    }
    start_nodes(&mut nodes).await?;
    let body = |spec: &str| json!({"Spec": spec, "Phases": [{"Count": 4, "Cpu": 2000, "MemMb": 64, "EstMs": 300}]});
    let (first_body, second_body): (Value, Value) = (body("run-ms-300"), body("run-ms-301"));
    for number in 1..=JOBS {
        let path = job_path(PREFIX, number);
        let answer = hand_in(record, nodes[0].customers, &path, &first_body, PATIENCE).await?;
        if !is_accepted(&answer) {
            return Err("a job of the first queue was not accepted".into());
        }
    }
    sleep(SECOND_AFTER).await;
    let first_number = if setup.trouble { 1 } else { OTHER_FIRST };
    let mut accepted = Vec::new();
    for number in first_number..first_number + JOBS {
        let path = job_path(SECOND_PREFIX, number);
        let answer = hand_in(record, nodes[1].customers, &path, &second_body, PATIENCE).await?;
        if is_accepted(&answer) {
            accepted.push(number);
        }
    }
    record.add("the traffic ends");
    sleep(FINISH_TIME).await;
    let mut broken = false;
    for number in &accepted {
        let path = job_path(SECOND_PREFIX, *number);
        let answer = http::send(nodes[1].customers, "GET", &path, "", PATIENCE).await;
        record.add(format!("GET {path} answered: {answer:?}"));
        let done = tasks_done(&second, *number);
        let is_completed = answer.is_some_and(|(_, body)| body.contains("completed"));
        if is_completed && done < 4 {
            broken = true;
            record.add(format!(
                "MIXED: {path} is shown as completed, {done} of its 4 tasks have ended done"
            ));
        }
    }
    for workers in [&first, &second] {
        for (_, runs) in runs_by_task(workers) {
            record_runs(record, &runs);
        }
    }
    record.add(format!(
        "the executors of the second service have begun {} runs",
        run_count(&second)
    ));
    if accepted.is_empty() {
        return Err("no job of the second queue was accepted".into());
    }
    Ok(if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn is_accepted(answer: &Answer) -> bool {
    matches!(answer, Some((200..=299, _)))
}

/// The number of tasks of a job that have ended `done` on these workers.
fn tasks_done(workers: &[NamedWorker], number: u64) -> usize {
    let id = format!("{number:016x}.");
    let tasks = runs_by_task(workers);
    let of_job = tasks.iter().filter(|(task, _)| task.starts_with(&id));
    let done = of_job.filter(|(_, runs)| {
        let mut runs = runs.iter();
        runs.any(|(_, run)| run.ended.is_some_and(|(_, how)| how == "done"))
    });
    done.count()
}

fn run_count(workers: &[NamedWorker]) -> usize {
    workers.iter().map(|(_, worker)| worker.runs().len()).sum()
}
