//! A job of many steps runs while an executor fails all that it starts. Small jobs go on coming, and some jobs of two steps
//! run beside it.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, Queue},
    lost::{check_lost, workers_of},
    platform::WorkerPlan,
    Findings,
};

const PREFIX: &str = "/batch/";
const ZONES: [&str; 3] = ["z1", "z2", "z3"];

/// One of twelve executors fails all that it starts: a share of 0.083.
const WORKERS: [usize; 3] = [4, 4, 4];

/// How long it does.
const GREY: Duration = Duration::from_millis(6_500);
const CPU: u64 = 64_000;

/// The steps of the large job, and the tasks of each.
const STEPS: usize = 243;
const TASKS: usize = 8;

/// The small jobs a second, and for how many seconds they come.
const RATE: u32 = 10;
const TRAFFIC_S: u32 = 20;

pub fn run(trouble: bool, record: &str) -> Findings {
    let queues = [Queue { prefix: PREFIX, goal_ms: 10_000, attempts: 4, priority: 0 }];
    let workers = ZONES.iter().zip(WORKERS);
    let workers = workers.flat_map(|(zone, count)| workers_of(zone, count, CPU));
    let mut workers: Vec<WorkerPlan> = workers.collect();
    // Every fourth executor is of kind `b`, one in each zone.
    workers.iter_mut().skip(3).step_by(4).for_each(|worker| worker.labels[0] = "b".to_owned());
    let mut fleet = Fleet::start(&queues, workers, &ZONES)?;
    fleet.wait_until_serving(PREFIX)?;
    // Their first step lasts, and their second one has to run on an executor of kind `b`.
    let two_steps = r#"{"Spec":"ms=24000 later=300","Phases":[{"Count":1,"Cpu":500,"MemMb":64,"EstMs":24000},{"Count":1,"Cpu":500,"MemMb":64,"EstMs":300,"After":[0],"Requires":"b"}]}"#;
    let mut accepted = Vec::new();
    for _ in 0..3 {
        let id = fleet.new_job_id();
        let answer = fleet.post(0, PREFIX, &id, two_steps, 60_000);
        if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
            accepted.push(id);
        }
    }
    thread::sleep(Duration::from_millis(300));
    let phase = format!("{{\"Count\":{TASKS},\"Cpu\":250,\"MemMb\":64,\"EstMs\":1000}}");
    let large = format!(
        "{{\"Spec\":\"ms=1500 vary=1000 {}\",\"Phases\":[{}]}}",
        "x".repeat(3_900),
        vec![phase; STEPS].join(",")
    );
    let grey = fleet.workers[0].clone();
    if trouble {
        grey.set_fails_after(Some(100));
    }
    let grey_since = Instant::now();
    let id = fleet.new_job_id();
    let answer = fleet.post(0, PREFIX, &id, &large, 20_000);
    if !answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
        fleet.record.write(record);
        return Err("the large job was not accepted".to_owned());
    }
    let length = fleet.store.longest_row("jobs");
    fleet.record.line(&format!("the row of the large job has {length} bytes"));
    let large_id = id;
    accepted.push(large_id.clone());
    let begun = Instant::now();
    let mut healed = None;
    for number in 0..RATE * TRAFFIC_S {
        let due = begun + Duration::from_secs(1) * number / RATE;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if trouble && grey_since.elapsed() >= GREY && healed.is_none() {
            grey.set_fails_after(None);
            healed = Some(());
        }
        let id = fleet.new_job_id();
        let body = r#"{"Spec":"ms=100","Phases":[{"Count":12,"Cpu":10000,"MemMb":64,"EstMs":100}]}"#;
        let answer = fleet.post(0, PREFIX, &id, body, 1_500);
        if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
            accepted.push(id);
        }
    }
    let (longest, rejected) = (fleet.store.longest_row("jobs"), fleet.store.rejected_rows());
    fleet.record.line(&format!("the longest row has {longest} bytes, {rejected} writes were rejected as too long"));
    let broken = check_lost(&mut fleet, PREFIX, &accepted);
    let mut unnoted = 0;
    for worker in &fleet.workers {
        let (listed, done) = worker.listed_ends();
        unnoted += listed;
        fleet.record.line(&format!("executor {} lists {listed} ends, {done} of them done", worker.plan.id));
    }
    let ends = fleet.record.runs().iter().filter(|run| run.ended.is_some()).count();
    let line = format!("{unnoted} of {ends} ends are listed and not taken note of, 14 s after the traffic");
    fleet.record.line(&line);
    if let Ok(Some(state)) = fleet.ask_state(PREFIX, &large_id, Duration::ZERO) {
        fleet.record.line(&format!("the large job is shown as {state}"));
    }
    fleet.record.write(record);
    Ok(broken)
}
