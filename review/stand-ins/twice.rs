//! Two parts of the store are unavailable while many short stored jobs run. Ends that are listed in more than one answer
//! must not lead to another start of a task that is done.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{kept_job, send, Fleet, DEADLINE, PREFIX},
    record::{Record, RunEventKind},
    worker::WorkerPlan,
    Findings,
};

/// The load: 80 jobs a second of 8 tasks of 60 ms and 20 of 2 tasks of 900 ms, each on half a core, for 12 s.
const JOBS_PER_S: u32 = 100;
const LONG_JOB_EVERY: usize = 5;
const SHORT_TASKS: u64 = 8;
const SHORT_MS: u64 = 60;
const LONG_TASKS: u64 = 2;
const LONG_MS: u64 = 900;
const CPU: u64 = 500;
const LOAD_TIME: Duration = Duration::from_secs(12);

/// When the disruption begins after the load does, and how long it lasts.
const TROUBLE_AT: Duration = Duration::from_secs(4);
const TROUBLE_TIME: Duration = Duration::from_millis(4_500);

/// How long what is left may take, and be taken note of, after the load.
const FINISH_TIME: Duration = Duration::from_secs(14);

pub fn run(trouble: bool, record: Arc<Record>) -> Findings {
    let workers = (0..4).map(|index| WorkerPlan {
        id: format!("i-7f3a91c{index}"),
        zone: "rajkot-east".to_owned(),
        kind: "a",
        rack: "r1-1".to_owned(),
    });
    let fleet = Fleet::start(
        &["rajkot-east", "rajkot-east"],
        workers.collect(),
        record.clone(),
    )?;
    let accepted = Arc::new(AtomicU64::new(0));
    let fronts: Vec<_> = fleet.nodes.iter().map(|node| node.front).collect();
    let short = kept_job(SHORT_TASKS, CPU, None, SHORT_MS, SHORT_MS);
    let long = kept_job(LONG_TASKS, CPU, None, LONG_MS, LONG_MS);
    let began = Instant::now();
    let mut disrupted = false;
    let mut number = 0;
    while began.elapsed() < LOAD_TIME {
        if trouble && !disrupted && began.elapsed() >= TROUBLE_AT {
            disrupted = true;
            let (parts, count) = fleet.store.make_parts_busy(TROUBLE_TIME);
            // At most 0.3 of the parts.
            if parts.is_empty() || parts.len() * 10 > count * 3 {
                return Err(format!("the system uses {count} parts of the store"));
            }
            record.line(format!(
                "the store's parts {parts:?} of {count} answer 503 for {TROUBLE_TIME:?}"
            ));
        }
        number += 1;
        let id = format!(
            "{:016x}",
            (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        );
        let body = match number % LONG_JOB_EVERY {
            0 => &long,
            _ => &short,
        };
        let (record, accepted, body) = (record.clone(), accepted.clone(), body.clone());
        let front = fronts[number % fronts.len()];
        thread::spawn(move || {
            let answer = send(
                &record,
                front,
                "POST",
                &format!("{PREFIX}{id}"),
                &body,
                DEADLINE,
            );
            if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
                accepted.fetch_add(1, Ordering::SeqCst);
            }
        });
        let due = began + Duration::from_secs(1) * u32::try_from(number).unwrap_or(0) / JOBS_PER_S;
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    thread::sleep(FINISH_TIME);
    println!(
        "the store turned {} calls away as over its limits",
        fleet.store.calls_over_limit()
    );
    drop(fleet);
    let accepted = accepted.load(Ordering::SeqCst);
    println!("{accepted} of {number} jobs were accepted");
    if accepted < number as u64 / 3 {
        return Err("most jobs were not accepted".to_owned());
    }
    Ok(find_repeated_starts(&record))
}

/// Starts of tasks of which a run had ended `done` before, if that end was taken note of then or later.
fn find_repeated_starts(record: &Record) -> Vec<String> {
    let events = record.events();
    let noted = events
        .iter()
        .filter(|event| event.kind == RunEventKind::Noted);
    let noted: HashMap<(&str, u64), Instant> = noted
        .map(|event| ((event.worker.as_str(), event.number), event.at))
        .collect();
    let mut done: HashMap<&str, (Instant, Instant)> = HashMap::new();
    for event in &events {
        let end = (event.worker.as_str(), event.number);
        if event.kind != RunEventKind::Ended("done") {
            continue;
        }
        if let Some(noted) = noted.get(&end) {
            let known = done
                .entry(event.task.as_str())
                .or_insert((event.at, *noted));
            if event.at < known.0 {
                *known = (event.at, *noted);
            }
        }
    }
    let mut breaches = Vec::new();
    for event in events
        .iter()
        .filter(|event| event.kind == RunEventKind::Started)
    {
        let Some((ended, noted)) = done.get(event.task.as_str()) else {
            continue;
        };
        if event.at > *ended {
            breaches.push(format!(
                "{} was started at {:.3} s, a run of it had ended done at {:.3} s, and that end was taken note of at {:.3} s",
                event.task,
                record.seconds(event.at),
                record.seconds(*ended),
                record.seconds(*noted),
            ));
        }
    }
    breaches
}
