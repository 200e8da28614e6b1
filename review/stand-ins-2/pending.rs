//! An executor is lost for good just as kept jobs are placed on it, while all others are busy. Clients ask how many jobs
//! wait.

use std::{
    collections::HashSet,
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, Queue},
    lost::workers_of,
    Findings,
};

const PREFIX: &str = "/batch/";
const ZONES: [&str; 3] = ["z1", "z2", "z3"];

/// One of eight executors is lost: a share of 0.125.
const WORKERS: [usize; 3] = [4, 2, 2];

/// `visible_ms` and the 2 s that the rule adds.
const VISIBLE: Duration = Duration::from_millis(5_000);

pub fn run(trouble: bool, record: &str) -> Findings {
    let queues = [Queue { prefix: PREFIX, goal_ms: 3_000, attempts: 2, priority: 0 }];
    let workers = ZONES.iter().zip(WORKERS);
    let workers = workers.flat_map(|(zone, count)| workers_of(zone, count, 16_000)).collect();
    let mut fleet = Fleet::start(&queues, workers, &ZONES)?;
    fleet.wait_until_serving(PREFIX)?;
    // Jobs that fill all executors but one for as long as the case lasts.
    for node in [0, 0, 0, 1, 1, 2, 2] {
        let id = fleet.new_job_id();
        let body = r#"{"Spec":"ms=40000","Phases":[{"Count":1,"Cpu":16000,"MemMb":64,"EstMs":40000}]}"#;
        fleet.post(node, PREFIX, &id, body, 60_000);
    }
    thread::sleep(Duration::from_millis(1_500));
    let free: Vec<_> = fleet.workers.iter().filter(|worker| worker.running().is_empty()).cloned().collect();
    let [free] = free.as_slice() else {
        fleet.record.write(record);
        return Err(format!("{} executors are free and not one", free.len()));
    };
    let zone = ZONES.iter().position(|zone| *zone == free.plan.zone).unwrap_or(0);
    if trouble {
        free.lose_power();
    }
    let mut accepted = Vec::new();
    for _ in 0..4 {
        let id = fleet.new_job_id();
        let body = r#"{"Spec":"ms=600","Phases":[{"Count":1,"Cpu":4000,"MemMb":64,"EstMs":600}]}"#;
        let answer = fleet.post(zone, PREFIX, &id, body, 1_500);
        if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
            accepted.push(id);
        }
    }
    if accepted.is_empty() {
        fleet.record.write(record);
        return Err("no job was accepted".to_owned());
    }
    let since = Instant::now();
    let mut broken = Vec::new();
    while since.elapsed() < VISIBLE + Duration::from_secs(10) {
        thread::sleep(Duration::from_millis(500));
        let begun: HashSet<String> = fleet.record.runs_by_job().into_keys().collect();
        let waiting = accepted.iter().filter(|id| !begun.contains(*id)).count() as u64;
        for node in 0..fleet.nodes.len() {
            let Some(shown) = fleet.pending(node, PREFIX) else {
                continue;
            };
            if since.elapsed() > VISIBLE && shown * 2 < waiting {
                let name = &fleet.nodes[node].name;
                let line = format!("MIXED: {name} gives {shown} as `Pending`, of {waiting} accepted jobs that haven't begun");
                fleet.record.line(&line);
                broken.push(line);
            }
        }
    }
    fleet.record.write(record);
    Ok(broken)
}
