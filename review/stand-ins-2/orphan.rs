//! The only client with kept jobs is in one zone. Its node is killed and starts again, and the executors of the zone are
//! lost for good.

use std::{thread, time::Duration};

use crate::{
    fleet::{Fleet, Queue},
    lost::{check_lost, workers_of},
    Findings,
};

const PREFIX: &str = "/batch/";
const ZONES: [&str; 3] = ["z1", "z2", "z3"];

/// Executors lost of all: 2 of 15, a share of 0.133.
const WORKERS: [usize; 3] = [2, 6, 7];

/// How long the node is down.
const NODE_DOWN: Duration = Duration::from_millis(3_500);

pub fn run(trouble: bool, record: &str) -> Findings {
    let queues = [Queue { prefix: PREFIX, goal_ms: 3_000, attempts: 2, priority: 0 }];
    let workers = ZONES.iter().zip(WORKERS);
    let workers = workers.flat_map(|(zone, count)| workers_of(zone, count, 16_000)).collect();
    let mut fleet = Fleet::start(&queues, workers, &ZONES)?;
    fleet.wait_until_serving(PREFIX)?;
    let mut accepted = Vec::new();
    for _ in 0..4 {
        let id = fleet.new_job_id();
        let body = r#"{"Spec":"ms=1200","Phases":[{"Count":2,"Cpu":2000,"MemMb":64,"EstMs":1200}]}"#;
        let answer = fleet.post(0, PREFIX, &id, body, 1_500);
        if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
            accepted.push(id);
        }
    }
    if accepted.is_empty() {
        fleet.record.write(record);
        return Err("no job was accepted".to_owned());
    }
    thread::sleep(Duration::from_millis(500));
    if trouble {
        fleet.kill_node(0);
        let lost = fleet.workers.iter().filter(|worker| worker.plan.zone == ZONES[0]);
        lost.for_each(|worker| worker.crash());
    }
    thread::sleep(NODE_DOWN);
    if trouble {
        fleet.restart_node(0);
    }
    let broken = check_lost(&mut fleet, PREFIX, &accepted);
    fleet.record.write(record);
    Ok(broken)
}
