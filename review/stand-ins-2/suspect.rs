//! One executor is lost for good. The others of its zone have one long task each, and are nearly idle.

use std::{thread, time::Duration};

use crate::{
    fleet::{Fleet, Queue},
    lost::{check_lost, workers_of},
    Findings,
};

const PREFIX: &str = "/batch/";
const ZONES: [&str; 3] = ["z1", "z2", "z3"];

/// One of eight executors is lost: a share of 0.125.
const WORKERS: [usize; 3] = [4, 2, 2];

pub fn run(trouble: bool, record: &str) -> Findings {
    let queues = [Queue { prefix: PREFIX, goal_ms: 3_000, attempts: 2, priority: 0 }];
    let workers = ZONES.iter().zip(WORKERS);
    let workers = workers.flat_map(|(zone, count)| workers_of(zone, count, 16_000)).collect();
    let mut fleet = Fleet::start(&queues, workers, &ZONES)?;
    fleet.wait_until_serving(PREFIX)?;
    // A long task on each executor of the zone, which takes a quarter of it.
    let long = r#"{"Spec":"ms=40000","Phases":[{"Count":4,"Cpu":4000,"MemMb":64,"EstMs":40000,"MaxPerServer":1}]}"#;
    let short = r#"{"Spec":"ms=1200","Phases":[{"Count":2,"Cpu":1000,"MemMb":64,"EstMs":1200}]}"#;
    let mut accepted = Vec::new();
    for (body, limit_ms) in [(long, 60_000), (short, 1_500), (short, 1_500)] {
        let id = fleet.new_job_id();
        let answer = fleet.post(0, PREFIX, &id, body, limit_ms);
        if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
            accepted.push(id);
        }
    }
    thread::sleep(Duration::from_millis(500));
    let of_short = |task: &str| accepted[1..].iter().any(|id| task.starts_with(id.as_str()));
    let mut workers = fleet.workers.iter();
    let worker = workers.find(|worker| worker.running().iter().any(|task| of_short(task)));
    let Some(worker) = worker.filter(|_| accepted.len() == 3).cloned() else {
        fleet.record.write(record);
        return Err("the jobs did not begin".to_owned());
    };
    if trouble {
        worker.crash();
    }
    let broken = check_lost(&mut fleet, PREFIX, &accepted);
    fleet.record.write(record);
    Ok(broken)
}
