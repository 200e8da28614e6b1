//! The check of LOST for kept jobs, by what clients and executors see.

use std::{
    collections::{HashMap, HashSet},
    thread,
    time::{Duration, Instant},
};

use crate::{fleet::Fleet, platform::WorkerPlan};

/// `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

/// How long a job with a task whose turn has come may have nothing running.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

/// How long clients ask for a job's state that they are not told.
const ASK_LIMIT: Duration = Duration::from_secs(6);

/// Executors of a zone, two in each rack.
pub fn workers_of(zone: &str, count: usize, cpu: u64) -> Vec<WorkerPlan> {
    let plan = |index: usize| WorkerPlan {
        id: format!("i-{zone}-{index}"),
        zone: zone.to_owned(),
        labels: vec!["a".to_owned(), format!("r-{zone}-{}", index / 2)],
        cpu,
    };
    (0..count).map(plan).collect()
}

/// Asks for all accepted jobs `finish_s` after the end of the traffic, and watches those that have not ended.
pub fn check_lost(fleet: &mut Fleet, prefix: &str, accepted: &[String]) -> Vec<String> {
    fleet.record.line("the traffic ends");
    thread::sleep(FINISH);
    let mut broken = Vec::new();
    let mut open: HashSet<String> = HashSet::new();
    let mut limit = ASK_LIMIT;
    for id in accepted {
        match fleet.ask_state(prefix, id, limit) {
            Ok(Some(state)) if state == "queued" || state == "running" => {
                open.insert(id.clone());
            }
            Ok(Some(_)) => (),
            Ok(None) => broken.push(format!("LOST: job {id} isn't known")),
            Err(answer) => {
                broken.push(format!("LOST: job {id} gets no answer in time (last: {answer})"));
                // The others are asked once each.
                limit = Duration::ZERO;
            }
        }
    }
    let idle = idle_jobs(fleet, open);
    let waiting = idle.into_iter().filter(|id| !is_done(fleet, id) && !has_failed(fleet, id));
    broken.extend(waiting.map(|id| {
        format!("LOST: job {id} has nothing running for 3 s, with tasks to run and free capacity")
    }));
    for node in &mut fleet.nodes {
        if node.has_ended() {
            fleet.record.line(&format!("node {} has ended by itself", node.name));
        }
    }
    for line in &broken {
        fleet.record.line(line);
    }
    broken
}

/// Which of these jobs have nothing running all through `IDLE_LIMIT`, while nothing at all runs on half of the
/// executors.
fn idle_jobs(fleet: &Fleet, mut open: HashSet<String>) -> HashSet<String> {
    let until = Instant::now() + IDLE_LIMIT + Duration::from_millis(200);
    let mut half_free = true;
    while Instant::now() < until && !open.is_empty() {
        let up: Vec<_> = fleet.workers.iter().filter(|worker| !worker.is_dead()).collect();
        let busy = up.iter().filter(|worker| !worker.running().is_empty()).count();
        half_free &= busy * 2 < up.len();
        for task in fleet.running_tasks() {
            open.remove(task.split('.').next().unwrap_or_default());
        }
        thread::sleep(Duration::from_millis(5));
    }
    match half_free {
        true => open,
        false => HashSet::new(),
    }
}

/// Whether every task of a job has a run that ended `done`; of a job whose tasks aren't known, every task that began. While
/// nothing of a job runs, a task that isn't done has its turn: steps only wait for the ends of others.
fn is_done(fleet: &Fleet, id: &str) -> bool {
    let runs = fleet.record.runs_by_job().remove(id).unwrap_or_default();
    let mut done: HashMap<String, bool> = HashMap::new();
    for run in runs {
        let is_done = run.ended.is_some_and(|(_, how)| how == "done");
        *done.entry(run.task).or_default() |= is_done;
    }
    let all_begun = fleet.task_count(id).is_none_or(|count| done.len() as u64 >= count);
    all_begun && !done.is_empty() && done.values().all(|done| *done)
}

/// Whether a task of a job has failed as often as its queue allows: nothing of the job has its turn any more.
fn has_failed(fleet: &Fleet, id: &str) -> bool {
    let runs = fleet.record.runs_by_job().remove(id).unwrap_or_default();
    let mut failed: HashMap<String, usize> = HashMap::new();
    for run in runs.into_iter().filter(|run| run.ended.is_some_and(|(_, how)| how == "failed")) {
        *failed.entry(run.task).or_default() += 1;
    }
    failed.values().any(|count| *count >= fleet.attempts)
}
