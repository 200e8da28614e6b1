//! Jobs that can never be done, among others (`poison`): one task of each fails whenever it is started.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, Queue},
    lost::{check_lost, workers_of},
    Findings,
};

const PREFIX: &str = "/batch/";
const ZONES: [&str; 3] = ["z1", "z2", "z3"];

/// Jobs a second, in all zones together.
const RATE: u32 = 40;

/// Seconds of traffic, and those in which a share of the jobs can never be done.
const TRAFFIC_S: u32 = 12;
const POISON_S: std::ops::Range<u32> = 4..7;

/// One job in this many: a share of 0.05.
const POISON_EACH: u32 = 20;

pub fn run(trouble: bool, record: &str) -> Findings {
    let queues = [Queue { prefix: PREFIX, goal_ms: 3_000, attempts: 2, priority: 0 }];
    let workers = ZONES.iter().flat_map(|zone| workers_of(zone, 4, 16_000)).collect();
    let mut fleet = Fleet::start(&queues, workers, &ZONES)?;
    fleet.wait_until_serving(PREFIX)?;
    let begun = Instant::now();
    let mut accepted = Vec::new();
    let mut poisoned = 0;
    for number in 0..RATE * TRAFFIC_S {
        let due = begun + Duration::from_secs(1) * number / RATE;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let in_time = POISON_S.contains(&(number / RATE));
        let is_wide = in_time && number % POISON_EACH == 7;
        let poison = trouble && is_wide;
        let tasks = if is_wide { 160 } else { 12 };
        let spec = match poison {
            true => "ms=60 vary=80 fail=159:60",
            false => "ms=60 vary=80",
        };
        let id = fleet.new_job_id();
        let body = format!(
            "{{\"Spec\":\"{spec}\",\"Phases\":[{{\"Count\":{tasks},\"Cpu\":1000,\"MemMb\":64,\"EstMs\":100}}]}}"
        );
        let node = number as usize % fleet.nodes.len();
        let answer = fleet.post(node, PREFIX, &id, &body, 1_500);
        if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
            poisoned += u32::from(poison);
            accepted.push(id);
        }
    }
    fleet.record.line(&format!("{} jobs accepted, {poisoned} of them poison", accepted.len()));
    let broken = check_lost(&mut fleet, PREFIX, &accepted);
    for node in &fleet.nodes {
        for line in node.log_lines("panicked") {
            fleet.record.line(&format!("log of {}: {line}", node.name));
        }
    }
    fleet.record.write(record);
    Ok(broken)
}
