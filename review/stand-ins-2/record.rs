//! What clients and executors have seen, for the checks and for record.txt.

use std::{
    collections::HashMap,
    fs,
    sync::Mutex,
    time::{Duration, Instant},
};

/// A run of a task on an executor.
#[derive(Clone, Debug)]
pub struct RunTrace {
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub began: Duration,
    pub ended: Option<(Duration, &'static str)>,
    /// When the run's end was taken note of.
    pub noted: Option<Duration>,
}

pub struct Record {
    began: Instant,
    lines: Mutex<Vec<String>>,
    runs: Mutex<Vec<RunTrace>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            lines: Mutex::default(),
            runs: Mutex::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}", self.now().as_secs_f64());
        self.lines.lock().unwrap().push(line);
    }

    pub fn started(&self, worker: &str, task: &str, run: u64) {
        self.line(&format!("executor {worker} starts {task} run {run}"));
        self.runs.lock().unwrap().push(RunTrace {
            worker: worker.to_owned(),
            task: task.to_owned(),
            run,
            began: self.now(),
            ended: None,
            noted: None,
        });
    }

    pub fn ended(&self, worker: &str, task: &str, run: u64, how: &'static str) {
        self.line(&format!("executor {worker} ends {task} run {run}: {how}"));
        let now = self.now();
        let mut runs = self.runs.lock().unwrap();
        let found = runs
            .iter_mut()
            .rev()
            .find(|trace| trace.worker == worker && trace.task == task && trace.run == run);
        if let Some(trace) = found {
            trace.ended = Some((now, how));
        }
    }

    /// Records that an end was taken note of.
    pub fn noted(&self, worker: &str, task: &str, run: u64) {
        let now = self.now();
        let mut runs = self.runs.lock().unwrap();
        let found = runs
            .iter_mut()
            .rev()
            .find(|trace| trace.worker == worker && trace.task == task && trace.run == run);
        if let Some(trace) = found {
            trace.noted = Some(now);
        }
    }

    /// Whether a task has never been started.
    pub fn is_first(&self, task: &str) -> bool {
        !self.runs.lock().unwrap().iter().any(|trace| trace.task == task)
    }

    pub fn runs(&self) -> Vec<RunTrace> {
        self.runs.lock().unwrap().clone()
    }

    /// The runs of each job, by the id that begins the task's name.
    pub fn runs_by_job(&self) -> HashMap<String, Vec<RunTrace>> {
        let mut by_job: HashMap<String, Vec<RunTrace>> = HashMap::new();
        for run in self.runs() {
            let job = run.task.split('.').next().unwrap_or_default().to_owned();
            by_job.entry(job).or_default().push(run);
        }
        by_job
    }

    pub fn write(&self, file: &str) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        let _ = fs::write(file, text);
    }
}
