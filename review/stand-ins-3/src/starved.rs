//! Six workers of one rack are lost for good while kept jobs run and wait. The jobs of that zone's pool wait on, although
//! the workers of the other zones have nothing to do.

use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use platform_stand_ins::RunRecord;
use serde_json::json;

use crate::{
    fleet::{
        ask_states, hand_in_kept, start_nodes, start_store, start_workers, AcceptedJobs,
        NamedWorker, Node, SERVICE,
    },
    record::{record_runs, runs_by_task, Record},
    CaseResult, Setup, Verdict,
};

const ZONES: [&str; 3] = ["regina-hall", "moosejaw-hall", "swift-hall"];
const WORKERS_OF_RACK: usize = 8;

/// The disruption: `srv_crash`, how = gone, a share of 0.125 of the 48 workers.
const LOST_WORKERS: usize = 6;

/// The traffic: one kept job in each interval.
const JOB_INTERVAL: Duration = Duration::from_millis(50);
const TRAFFIC_TIME: Duration = Duration::from_millis(7_000);

/// The time after which the entry of a lost worker is removed: three heartbeat intervals.
const ENTRY_TIME: Duration = Duration::from_millis(4_500);

/// `finish_s`.
const FINISH_TIME: Duration = Duration::from_secs(14);

/// How long a job may have nothing running, by the rule, and how long that is watched for.
const IDLE_LIMIT: Duration = Duration::from_secs(3);
const WATCH_TIME: Duration = Duration::from_secs(8);

pub(crate) async fn run(setup: &Setup) -> CaseResult {
    let record = &setup.record;
    let store = start_store().await;
    let mut workers = Vec::new();
    for zone in ZONES {
        for rack in 0..2 {
            let rack = format!("{zone}-r{rack}");
            workers.extend(start_workers(&store, SERVICE, zone, &rack, WORKERS_OF_RACK).await);
        }
    }
    let mut nodes = Vec::new();
    for (number, zone) in (0..).zip(ZONES.iter().chain(&ZONES)) {
        nodes.push(Node::new(&setup.dir, number, zone, store.address())?);
    }
    start_nodes(&mut nodes).await?;
    let accepted = AcceptedJobs::default();
    // The estimate is 22% too low; the site file's jobs are off by up to 40%.
    let body = json!({
        "Spec": "run-ms-9000",
        "Phases": [{"Count": 1, "Cpu": 14_000, "MemMb": 64, "EstMs": 7000}],
    });
    let began = Instant::now();
    for node in nodes.iter().cycle() {
        if began.elapsed() >= TRAFFIC_TIME {
            break;
        }
        let patience = Duration::from_secs(60);
        hand_in_kept(record, node.customers, &accepted, &body, patience);
        sleep(JOB_INTERVAL).await;
    }
    record.add("the traffic ends");
    if setup.trouble {
        let lost: Vec<NamedWorker> = workers.drain(..LOST_WORKERS).collect();
        record.add("six workers of one rack are lost for good, with these runs");
        for (id, worker) in &lost {
            for run in worker.runs() {
                record.add(format!("  {}", record.describe(id, &run)));
            }
        }
        let ids: Vec<String> = lost.iter().map(|(id, _)| id.clone()).collect();
        drop(lost);
        sleep(ENTRY_TIME).await;
        for id in ids {
            store.remove("servers", &id);
        }
        sleep(FINISH_TIME - ENTRY_TIME).await;
    } else {
        sleep(FINISH_TIME).await;
    }
    let ids = accepted.borrow().clone();
    record.add(format!("{} jobs were accepted", ids.len()));
    let broken = watch(record, &ids, &workers).await;
    ask_states(record, nodes[0].customers, &accepted).await;
    for (_, runs) in runs_by_task(&workers) {
        record_runs(record, &runs);
    }
    Ok(if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Looks for jobs that have nothing running for three seconds on end although less than half of the workers are in use,
/// each of which can hold one task. Each job has one task, and no run had ended when the rack was lost.
async fn watch(record: &Record, ids: &[String], workers: &[NamedWorker]) -> bool {
    let mut idle_since: Vec<Option<Instant>> = vec![None; ids.len()];
    let until = Instant::now() + WATCH_TIME;
    let mut broken = false;
    while Instant::now() < until {
        let tasks = runs_by_task(workers);
        let runs = || tasks.values().flatten();
        let busy = runs().filter(|(_, run)| run.ended.is_none()).count();
        for (id, since) in ids.iter().zip(&mut idle_since) {
            let at_work_or_done = |run: &RunRecord| run.ended.is_none_or(|(_, how)| how == "done");
            let mut of_job = runs().filter(|(_, run)| run.task.starts_with(id.as_str()));
            if busy * 2 >= workers.len() || of_job.any(|(_, run)| at_work_or_done(run)) {
                *since = None;
                continue;
            }
            let idle = since.get_or_insert_with(Instant::now).elapsed();
            if idle >= IDLE_LIMIT {
                broken = true;
                *since = Some(until);
                record.add(format!(
                    "LOST: job {id} has had nothing running for {} ms; {busy} of {} workers are in use",
                    idle.as_millis(),
                    workers.len()
                ));
            }
        }
        sleep(Duration::from_millis(100)).await;
    }
    broken
}
