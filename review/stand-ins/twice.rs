//! Answers of the store are lost while many short jobs run, a part of them stored. No task of a stored job may be started
//! again after its end was taken note of.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{ephemeral_job, kept_job, send, Fleet, DEADLINE, PREFIX},
    record::{Record, RunEventKind},
    worker::WorkerPlan,
    Findings,
};

/// The load for 12 s, each task on half a core: of ten jobs, eight that need not be stored, one short stored one and one
/// long stored one.
const JOBS_PER_S: u32 = 100;
const CPU: u64 = 500;
const EPHEMERAL_TASKS: u64 = 8;
const STORED_TASKS: u64 = 4;
const SHORT_MS: u64 = 60;
const LONG_TASKS: u64 = 2;
const LONG_MS: u64 = 900;

#[derive(Clone, Copy, PartialEq)]
enum JobKind {
    Ephemeral,
    ShortStored,
    LongStored,
}

impl JobKind {
    fn of(number: u64) -> Self {
        match number % 10 {
            0 => Self::LongStored,
            5 => Self::ShortStored,
            _ => Self::Ephemeral,
        }
    }

    fn body(self) -> String {
        match self {
            Self::Ephemeral => ephemeral_job(EPHEMERAL_TASKS, CPU, SHORT_MS, SHORT_MS),
            Self::ShortStored => kept_job(STORED_TASKS, CPU, None, SHORT_MS, SHORT_MS),
            Self::LongStored => kept_job(LONG_TASKS, CPU, None, LONG_MS, LONG_MS),
        }
    }
}

fn job_id(number: u64) -> String {
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

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
    let began = Instant::now();
    let mut disrupted = false;
    let mut number: u64 = 0;
    while began.elapsed() < LOAD_TIME {
        if trouble && !disrupted && began.elapsed() >= TROUBLE_AT {
            disrupted = true;
            fleet.store.lose_answers(TROUBLE_TIME);
            record.line(format!(
                "one in three writes of the store is done and not answered for {TROUBLE_TIME:?}"
            ));
        }
        number += 1;
        let (path, body) = (
            format!("{PREFIX}{}", job_id(number)),
            JobKind::of(number).body(),
        );
        let (record, accepted) = (record.clone(), accepted.clone());
        let front = fronts[number as usize % fronts.len()];
        thread::spawn(move || {
            let answer = send(&record, front, "POST", &path, &body, DEADLINE);
            if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
                accepted.fetch_add(1, Ordering::SeqCst);
            }
        });
        let due = began + Duration::from_secs(number) / JOBS_PER_S;
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    thread::sleep(FINISH_TIME);
    println!(
        "the store turned {} calls away as over its limits",
        fleet.store.calls_over_limit()
    );
    drop(fleet);
    let accepted = accepted.load(Ordering::SeqCst);
    println!("{accepted} of {number} jobs were accepted or served");
    if accepted < number / 2 {
        return Err("most jobs were not accepted or served".to_owned());
    }
    let stored = (1..=number).filter(|number| JobKind::of(*number) != JobKind::Ephemeral);
    let stored: HashSet<String> = stored.map(job_id).collect();
    Ok(find_repeated_starts(&record, &stored))
}

/// Starts of tasks of stored jobs of which a run had ended `done` before, if that end was taken note of then or later.
fn find_repeated_starts(record: &Record, stored: &HashSet<String>) -> Vec<String> {
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
        let job = event.task.split('.').next().unwrap_or("");
        if !stored.contains(job) {
            continue;
        }
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
