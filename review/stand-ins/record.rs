//! The record of a case: what was sent, answered and run.

use std::{io::Write as _, sync::Mutex, time::Instant};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEventKind {
    Started,
    Ended(&'static str),
    /// The end was taken note of, and the lease had not lapsed since.
    Noted,
    /// The executor was lost with the run.
    Died,
}

#[derive(Clone, Debug)]
pub struct RunEvent {
    pub at: Instant,
    pub kind: RunEventKind,
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub number: u64,
}

pub struct Record {
    began: Instant,
    lines: Mutex<Vec<(Instant, String)>>,
    events: Mutex<Vec<RunEvent>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            lines: Mutex::default(),
            events: Mutex::default(),
        }
    }

    pub fn line(&self, text: String) {
        self.lines.lock().unwrap().push((Instant::now(), text));
    }

    pub fn run_event(&self, event: RunEvent) {
        self.events.lock().unwrap().push(event);
    }

    pub fn events(&self) -> Vec<RunEvent> {
        self.events.lock().unwrap().clone()
    }

    /// Seconds since the record began.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    pub fn write(&self, path: &std::path::Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        for event in self.events.lock().unwrap().iter() {
            let RunEvent {
                at,
                kind,
                worker,
                task,
                run,
                number,
            } = event;
            let text = match kind {
                RunEventKind::Started => format!("start {task} run {run} on {worker}"),
                RunEventKind::Ended(how) => {
                    format!("end {task} run {run} on {worker}: {how}, number {number}")
                }
                RunEventKind::Noted => {
                    format!("noted {task} run {run} on {worker}, number {number}")
                }
                RunEventKind::Died => format!("died {task} run {run} on {worker}"),
            };
            lines.push((*at, text));
        }
        lines.sort_by_key(|(at, _)| *at);
        let mut out = std::io::BufWriter::new(std::fs::File::create(path)?);
        for (at, text) in lines {
            writeln!(out, "{:9.3} {text}", self.seconds(at))?;
        }
        out.flush()
    }
}
