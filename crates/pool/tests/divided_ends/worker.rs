//! A worker that may belong to one pool after the other, and what the platform has taken note of.

use std::collections::{BTreeMap, BTreeSet};

use jobs::{
    EndCause, EndList, EndedRun, JobId, RunNumber, RunningRun, TaskId, WorkerClock, WorkerListing,
    WorkerRecord,
};
use pool::{CallFailure, PollOrder, StartAnswer, StartOrder, StopAnswer, StopOrder};

use super::store::SimulatedStore;

/// The longest lease, in milliseconds.
const MAX_LEASE_MS: u64 = 1_000;

/// How often a task may fail.
pub(super) const ATTEMPTS: usize = 3;

/// All that the platform's rules look at, whichever worker it was on.
#[derive(Default)]
pub(super) struct RunHistory {
    /// The tasks that run now.
    running: BTreeSet<TaskId>,
    /// The starts of each task.
    starts: BTreeMap<TaskId, Vec<u64>>,
    /// When runs of each task ended, of the ends that were taken note of.
    noted_done: BTreeMap<TaskId, Vec<u64>>,
    noted_failed: BTreeMap<TaskId, Vec<u64>>,
}

impl RunHistory {
    /// How often tasks of a job were started.
    pub(super) fn starts(&self, job: JobId) -> usize {
        let of_job = self.starts.iter().filter(|(task, _)| task.job == job);
        of_job.map(|(_, starts)| starts.len()).sum()
    }

    fn record_start(&mut self, now: u64, task: TaskId) {
        assert!(self.running.insert(task), "{task} runs twice at {now} ms");
        self.starts.entry(task).or_default().push(now);
        self.check(task);
    }

    fn record_noted(&mut self, task: TaskId, cause: EndCause, ended: u64) {
        let noted = match cause {
            EndCause::Done => &mut self.noted_done,
            EndCause::Failed => &mut self.noted_failed,
            EndCause::Stopped | EndCause::Lapsed | EndCause::Gang => return,
        };
        noted.entry(task).or_default().push(ended);
        self.check(task);
    }

    /// Panics if a task was started after an end of it that was taken note of, then or later.
    fn check(&self, task: TaskId) {
        let ends_before = |noted: &BTreeMap<TaskId, Vec<u64>>, start: u64| {
            let ends = noted.get(&task).into_iter().flatten();
            ends.filter(|ended| **ended < start).count()
        };
        for start in self.starts.get(&task).into_iter().flatten() {
            let done = ends_before(&self.noted_done, *start);
            assert_eq!(done, 0, "{task} starts at {start} ms after it was done");
            let failed = ends_before(&self.noted_failed, *start);
            assert!(
                failed < ATTEMPTS,
                "{task} starts at {start} ms after {failed} failures"
            );
        }
    }
}

struct Run {
    task: TaskId,
    run: RunNumber,
    ends: u64,
    fails: bool,
}

pub(super) struct Worker {
    pub(super) record: WorkerRecord,
    clock_offset: u64,
    fence: u64,
    lease_end: u64,
    /// When the lease was last found lapsed.
    last_lapse: Option<u64>,
    runs: Vec<Run>,
    /// The ends, and when they were.
    ends: Vec<(EndedRun, u64)>,
    acknowledged: u64,
}

impl Worker {
    pub(super) fn new(record: WorkerRecord, clock_offset: u64) -> Self {
        Self {
            record,
            clock_offset,
            fence: 0,
            lease_end: 0,
            last_lapse: None,
            runs: Vec::new(),
            ends: Vec::new(),
            acknowledged: 0,
        }
    }

    fn clock(&self, now: u64) -> WorkerClock {
        WorkerClock(now + self.clock_offset)
    }

    fn extend_lease(&mut self, now: u64, end: WorkerClock) {
        let longest = self.clock(now).0 + MAX_LEASE_MS;
        self.lease_end = self.lease_end.max(end.0.min(longest));
    }

    /// Ends the runs that are over.
    pub(super) fn advance(&mut self, now: u64, history: &mut RunHistory) {
        let has_lapsed = self.clock(now).0 > self.lease_end;
        if has_lapsed {
            self.last_lapse = Some(now);
        }
        let over = self
            .runs
            .extract_if(.., |run| has_lapsed || now >= run.ends);
        let over: Vec<Run> = over.collect();
        for run in over {
            let cause = match (has_lapsed, run.fails) {
                (true, _) => EndCause::Lapsed,
                (false, true) => EndCause::Failed,
                (false, false) => EndCause::Done,
            };
            history.running.remove(&run.task);
            self.record_end(now, run.task, run.run, cause);
        }
    }

    fn record_end(&mut self, now: u64, task: TaskId, run: RunNumber, cause: EndCause) {
        let number = self.ends.len() as u64 + 1;
        let task = Some(task);
        let end = EndedRun {
            number,
            task,
            run,
            cause,
        };
        self.ends.push((end, now));
    }

    pub(super) fn start(
        &mut self,
        now: u64,
        order: &StartOrder,
        run_time: u64,
        fails: bool,
        history: &mut RunHistory,
    ) -> StartAnswer {
        if order.fence.0 < self.fence {
            return StartAnswer::Failed(CallFailure::FencedOut);
        }
        self.fence = order.fence.0;
        let clock = self.clock(now);
        if self
            .runs
            .iter()
            .any(|run| (run.task, run.run) == (order.task, order.run))
        {
            return StartAnswer::Started(clock);
        }
        if order.lease_end <= clock {
            return StartAnswer::LeaseExpired(clock);
        }
        self.extend_lease(now, order.lease_end);
        let mut ends = self.ends.iter();
        if ends.any(|(end, _)| end.task == Some(order.task) && end.run >= order.run) {
            return StartAnswer::Superseded(clock);
        }
        history.record_start(now, order.task);
        self.runs.push(Run {
            task: order.task,
            run: order.run,
            ends: now + run_time,
            fails,
        });
        StartAnswer::Started(clock)
    }

    pub(super) fn stop(
        &mut self,
        now: u64,
        order: &StopOrder,
        history: &mut RunHistory,
    ) -> StopAnswer {
        if order.fence.0 < self.fence {
            return StopAnswer::Failed(CallFailure::FencedOut);
        }
        self.fence = order.fence.0;
        let stopped = self
            .runs
            .extract_if(.., |run| (run.task, run.run) == (order.task, order.run));
        if stopped.count() > 0 {
            history.running.remove(&order.task);
        }
        // A run that has not begun is rejected from now on.
        self.record_end(now, order.task, order.run, EndCause::Stopped);
        StopAnswer::Stopped(self.clock(now))
    }

    /// Takes note of the ends that a poll acknowledges. False if the poll is fenced out.
    pub(super) fn begin_poll(
        &mut self,
        now: u64,
        order: &PollOrder,
        store: &SimulatedStore,
        history: &mut RunHistory,
    ) -> bool {
        if order.fence.0 < self.fence {
            return false;
        }
        self.fence = order.fence.0;
        if let Some(end) = order.lease_end {
            self.extend_lease(now, end);
        }
        for (end, ended) in &self.ends {
            let is_new = end.number > self.acknowledged && end.number <= order.acknowledged_end;
            let Some(task) = end.task.filter(|_| is_new) else {
                continue;
            };
            check_stored(now, store, task, end);
            if self.last_lapse.is_none_or(|lapse| lapse < *ended) {
                history.record_noted(task, end.cause, *ended);
            }
        }
        self.acknowledged = self.acknowledged.max(order.acknowledged_end);
        true
    }

    pub(super) fn has_new_ends(&self) -> bool {
        self.ends.len() as u64 > self.acknowledged
    }

    pub(super) fn listing(&self, now: u64) -> WorkerListing {
        let running = self.runs.iter().map(|run| RunningRun {
            task: Some(run.task),
            run: run.run,
            percent: 50,
        });
        let ends = self.ends.iter().map(|(end, _)| end.clone());
        let ends = ends.filter(|end| end.number > self.acknowledged);
        WorkerListing {
            clock: self.clock(now),
            born: None,
            running: running.collect(),
            ended: EndList::from_listed(ends.collect()),
        }
    }
}

/// Panics if an end of a kept job is acknowledged that its row does not have, unless the job has ended.
fn check_stored(now: u64, store: &SimulatedStore, task: TaskId, end: &EndedRun) {
    let job: JobId = task.job;
    let Some(found) = store.find(job) else {
        return;
    };
    let record = &found.row.progress[task.step as usize];
    let is_stored = found.row.state.is_final() || record.contains(task.index, end);
    assert!(
        is_stored,
        "the end of {task} is acknowledged at {now} ms and not in its row"
    );
}
