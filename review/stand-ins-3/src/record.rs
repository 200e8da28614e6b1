//! The record of a case: what was sent, answered and run.

use std::{
    cell::RefCell, collections::BTreeMap, fmt::Write as _, fs, io, path::Path, rc::Rc,
    time::Instant,
};

use platform_stand_ins::RunRecord;

use crate::fleet::NamedWorker;

/// Lines with the time since the case began.
#[derive(Clone)]
pub(crate) struct Record {
    began: Instant,
    lines: Rc<RefCell<String>>,
}

impl Record {
    pub(crate) fn new() -> Self {
        Self {
            began: Instant::now(),
            lines: Rc::default(),
        }
    }

    pub(crate) fn millis(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.began).as_millis()
    }

    pub(crate) fn add(&self, line: impl AsRef<str>) {
        let at = self.millis(Instant::now());
        let _written = writeln!(self.lines.borrow_mut(), "{at:>7} ms  {}", line.as_ref());
    }

    /// Records the body of a job, once for all jobs that have the same.
    pub(crate) fn add_body(&self, body: &str) {
        let is_known = self.lines.borrow().contains(body);
        if !is_known {
            self.add(format!("the next job, and others like it: {body}"));
        }
    }

    pub(crate) fn save(&self, path: &Path) -> io::Result<()> {
        fs::write(path, self.lines.borrow().as_str())
    }

    /// Describes a run for the record.
    pub(crate) fn describe(&self, worker: &str, run: &RunRecord) -> String {
        let ended = run.ended.map_or("still runs".to_owned(), |(at, how)| {
            format!("{how} at {}", self.millis(at))
        });
        let noted = run
            .acknowledged
            .map_or("not taken note of".to_owned(), |at| {
                format!("taken note of at {}", self.millis(at))
            });
        let began = self.millis(run.began);
        format!(
            "run {} number {} on {worker}: began at {began}, {ended}, {noted}",
            run.task, run.run
        )
    }
}

/// All runs of each task, with the worker's name, in the order in which they began.
pub(crate) fn runs_by_task(workers: &[NamedWorker]) -> BTreeMap<String, Vec<(String, RunRecord)>> {
    let mut tasks: BTreeMap<String, Vec<(String, RunRecord)>> = BTreeMap::new();
    for (name, worker) in workers {
        for run in worker.runs() {
            tasks
                .entry(run.task.clone())
                .or_default()
                .push((name.clone(), run));
        }
    }
    for runs in tasks.values_mut() {
        runs.sort_by_key(|(_, run)| run.began);
    }
    tasks
}

/// Records all runs of a task.
pub(crate) fn record_runs(record: &Record, runs: &[(String, RunRecord)]) {
    for (worker, run) in runs {
        record.add(record.describe(worker, run));
    }
}
