//! An executor is lost for good while it runs a task that needs an executor of its kind. Others of that kind are idle, so
//! the accepted job has to run on.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{kept_job, Fleet, DEADLINE},
    record::{Record, RunEventKind},
    worker::WorkerPlan,
    Findings,
};

const ZONES: [&str; 3] = ["rajkot-east", "morbi-hall", "junagadh-dc"];

/// The kinds of the executors of each zone, as on the sheet.
const KINDS: [&str; 3] = ["a", "a", "b"];

const JOB: &str = "5c0e7a21d94b36f8";

/// The time of the job's only task, and when its executor is lost.
const RUN_MS: u64 = 1_000;
const LOSS_AFTER: Duration = Duration::from_millis(400);

/// `finish_s`, and how long the job is watched after that.
const FINISH_TIME: Duration = Duration::from_secs(14);
const WATCH_TIME: Duration = Duration::from_secs(6);

/// The time without any run of the job that breaks the rule.
const IDLE_TIME: Duration = Duration::from_secs(3);

pub fn run(trouble: bool, record: Arc<Record>) -> Findings {
    let mut plans = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        for (index, kind) in KINDS.into_iter().enumerate() {
            plans.push(WorkerPlan {
                id: format!("i-7f3a9{number}c{index}"),
                zone: (*zone).to_owned(),
                kind,
                rack: format!("r{number}-1"),
            });
        }
    }
    let fleet = Fleet::start(&ZONES, plans, record.clone())?;
    // Other work, to see that the deployment serves.
    for index in 0..6_u64 {
        let id = format!("{:016x}", 0xa000 + index);
        let body = kept_job(2, 6_800, None, 200, 200);
        fleet.submit(index as usize % 3, &id, &body, DEADLINE)?;
    }
    fleet.submit(
        0,
        JOB,
        &kept_job(1, 6_800, Some("b"), RUN_MS, RUN_MS),
        DEADLINE,
    )?;
    let begun = Instant::now();
    let runs_job =
        |worker: &crate::worker::Worker| worker.running().iter().any(|task| task.starts_with(JOB));
    if trouble {
        thread::sleep(LOSS_AFTER);
        let host = fleet.workers.iter().find(|worker| runs_job(worker));
        let host = host.ok_or("the job is not running")?;
        record.line(format!("{} is lost for good", host.plan.id));
        host.crash();
    }
    record.line("the traffic ends".to_owned());
    thread::sleep(FINISH_TIME);
    let mut breaches = Vec::new();
    let watched = Instant::now();
    let mut idle_since = None;
    while watched.elapsed() < WATCH_TIME {
        let is_running = fleet
            .workers
            .iter()
            .any(|worker| worker.is_alive() && runs_job(worker));
        let states: Vec<Option<String>> = (0..3).map(|node| fleet.state(node, JOB)).collect();
        let is_open =
            |state: &Option<String>| matches!(state.as_deref(), Some("queued" | "running"));
        let open = states.iter().all(is_open);
        idle_since = match open && !is_running {
            true => idle_since.or(Some(Instant::now())),
            false => None,
        };
        let alive = fleet.workers.iter().filter(|worker| worker.is_alive());
        let idle = alive.filter(|worker| worker.running().is_empty());
        let idle: Vec<_> = idle.collect();
        let able = idle.iter().filter(|worker| worker.plan.kind == "b").count();
        // Capacity for the task twice over, and less than half of the service's capacity in use.
        let has_room = able >= 2 && idle.len() * 2 > fleet.workers.len();
        if has_room && idle_since.is_some_and(|since| since.elapsed() >= IDLE_TIME) {
            breaches.push(format!(
                "{:.1} s after the traffic, job {JOB} has had nothing running for {IDLE_TIME:?}, is shown as {}, and {able} executors that can run it are idle",
                begun.elapsed().as_secs_f64(),
                states[0].clone().unwrap_or_default(),
            ));
            break;
        }
        let known = ["queued", "running", "completed"];
        let mut shown = states.iter().flatten();
        let lost = shown.find(|state| !known.contains(&state.as_str()));
        if let Some(state) = lost {
            breaches.push(format!("job {JOB} is shown as {state}"));
            break;
        }
        thread::sleep(Duration::from_millis(250));
    }
    let starts = record.events();
    let starts = starts
        .iter()
        .filter(|event| event.kind == RunEventKind::Started && event.task.starts_with(JOB));
    println!("the job's task was started {} times", starts.count());
    Ok(breaches)
}
