//! The store forgets its history just after two running jobs were cancelled, one of which has a second step. Neither may
//! run on, and the second step may not begin, later than the bound for cancelled jobs.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{kept_job, two_step_job, Fleet, LONG_DEADLINE, PREFIX},
    record::{Record, RunEventKind},
    worker::WorkerPlan,
    Findings,
};

/// A job of one step, and one of two steps.
const ONE_STEP: &str = "90e3f61ab8c4d275";
const TWO_STEPS: &str = "5c0e7a21d94b36f8";

/// The time for which feeds hear nothing before the history is dropped.
const QUIET_TIME: Duration = Duration::from_millis(1_000);

/// `ContactMs`, `cancel_ms` and `StopTimeoutMs`.
const CONTACT: Duration = Duration::from_millis(3_000);
const CANCEL: Duration = Duration::from_millis(3_000);
const STOP: Duration = Duration::from_millis(50);

/// How long the case goes on after the cancellations: the longer job takes 12 s in all.
const WATCH_TIME: Duration = Duration::from_secs(16);

pub fn run(trouble: bool, record: Arc<Record>) -> Findings {
    let plan = |id: &str| WorkerPlan {
        id: id.to_owned(),
        zone: "rajkot-east".to_owned(),
        kind: "a",
        rack: "r1-1".to_owned(),
    };
    let workers = vec![plan("i-7f3a91c2"), plan("i-0b51d3e8")];
    let fleet = Fleet::start(&["rajkot-east", "rajkot-east"], workers, record.clone())?;
    fleet.submit(
        0,
        ONE_STEP,
        &kept_job(1, 6_800, None, 6_000, 12_000),
        LONG_DEADLINE,
    )?;
    fleet.submit(1, TWO_STEPS, &two_step_job(4_000, 9_000), LONG_DEADLINE)?;
    thread::sleep(Duration::from_millis(1_500));
    let disrupted = Instant::now();
    if trouble {
        record.line(format!(
            "feeds hear nothing for {QUIET_TIME:?}, then the history is dropped"
        ));
        fleet.store.forget_history(QUIET_TIME);
        thread::sleep(QUIET_TIME / 4);
    }
    let mut cancelled = Vec::new();
    for (node, id) in [(0, TWO_STEPS), (1, ONE_STEP)] {
        let answer = fleet.send(node, "DELETE", &format!("{PREFIX}{id}"), "");
        let status = answer.map_or(0, |(status, _)| status);
        if !(200..300).contains(&status) {
            return Err(format!("the cancelling of {id} was answered with {status}"));
        }
        cancelled.push((id, Instant::now()));
    }
    thread::sleep(WATCH_TIME);
    for (id, _) in &cancelled {
        let _ = fleet.state(0, id);
    }
    drop(fleet);
    // From then on the disruption is over for the whole of `ContactMs`.
    let calm = disrupted + QUIET_TIME + CONTACT;
    let events = record.events();
    let mut breaches = Vec::new();
    for (id, at) in cancelled {
        let of_job = |task: &str| task.starts_with(id);
        let starts = events
            .iter()
            .filter(|event| event.kind == RunEventKind::Started);
        for start in starts.filter(|event| of_job(&event.task)) {
            if start.at > at + CANCEL && start.at > calm {
                breaches.push(format!(
                    "{} was started {:.3} s after its cancelling was acknowledged",
                    start.task,
                    start.at.duration_since(at).as_secs_f64()
                ));
            }
            let end = events.iter().find(|event| {
                let ended = matches!(event.kind, RunEventKind::Ended(_));
                ended && event.task == start.task && event.run == start.run
            });
            let ended = end.map_or(Instant::now(), |end| end.at);
            let limit = (at + CANCEL).max(disrupted + QUIET_TIME + CANCEL) + STOP;
            if ended > limit {
                breaches.push(format!(
                    "{} ran until {:.3} s after its cancelling was acknowledged",
                    start.task,
                    ended.duration_since(at).as_secs_f64()
                ));
            }
        }
    }
    Ok(breaches)
}
