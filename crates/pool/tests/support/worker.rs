//! A simulated worker: its runs, its leases, its list of ends.

use jobs::{
    BirthTime, EndCause, EndedRun, RunNumber, RunningRun, TaskId, WorkerClock, WorkerListing,
    WorkerRecord,
};
use pool::PollOrder;

use super::CallNumber;

/// What is wrong with a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct WorkerFault {
    /// It gets no calls, and its answers get lost.
    pub(crate) silent: bool,
    /// The share of its answers that get lost.
    pub(crate) answers_lost: f64,
    /// Stops do not reach it.
    pub(crate) stops_lost: bool,
    /// The share of starts that are left unanswered and carried out seconds later.
    pub(crate) late_starts: f64,
    /// It fails whatever it runs.
    pub(crate) fails_runs: bool,
    /// Its runs make no progress.
    pub(crate) stalls_runs: bool,
    /// How many times as long its runs take.
    pub(crate) slowdown: Option<f64>,
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub(super) struct SimulatedRun {
    pub(super) task: TaskId,
    pub(super) run: RunNumber,
    pub(super) cpu: u64,
    pub(super) work: f64,
    pub(super) done: f64,
}

/// A simulated worker.
pub(crate) struct SimulatedWorker {
    pub(crate) record: WorkerRecord,
    pub(crate) fault: WorkerFault,
    pub(crate) speed: f64,
    pub(super) born: Option<BirthTime>,
    /// Calls with lower numbers went to a former life, and were lost with their connections.
    pub(super) first_call: CallNumber,
    /// Whether its room has changed, so that it may hold more than it has room for.
    pub(super) resized: bool,
    /// Until when it starts: no call reaches it.
    pub(super) starting_until: u64,
    pub(super) clock_offset: u64,
    pub(super) fence: u64,
    pub(super) lease_end: u64,
    pub(super) runs: Vec<SimulatedRun>,
    pub(super) ends: Vec<EndedRun>,
    /// The last end that was acknowledged: it and those before are forgotten.
    pub(super) acknowledged_end: u64,
    /// Looks that wait for an end: the call, when it was sent, and until when it waits.
    pub(super) waiting_polls: Vec<(CallNumber, PollOrder, u64, u64)>,
}

impl SimulatedWorker {
    /// Starts again under its id, as `born`, and knows nothing of before. Calls that are under way to it break.
    pub(super) fn start_again(&mut self, born: u64, clock_offset: u64) {
        self.born = Some(BirthTime(born));
        self.record.born = self.born;
        self.clock_offset = clock_offset;
        self.fence = 0;
        self.lease_end = 0;
        self.runs.clear();
        self.ends.clear();
        self.acknowledged_end = 0;
    }

    /// The highest fence that it has seen.
    pub(crate) fn highest_fence(&self) -> u64 {
        self.fence
    }

    /// What runs on it now.
    pub(crate) fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// The tasks of which a run ended as done, one entry a run.
    pub(crate) fn done_tasks(&self) -> Vec<TaskId> {
        let done = self.ends.iter().filter(|end| end.cause == EndCause::Done);
        done.filter_map(|end| end.task).collect()
    }

    pub(super) fn advance_runs(&mut self, now: u64) {
        let clock = now + self.clock_offset;
        let fault = self.fault;
        let speed = if fault.stalls_runs {
            0.0
        } else {
            self.speed / fault.slowdown.unwrap_or(1.0)
        };
        let lapsed = clock > self.lease_end;
        let mut ended = Vec::new();
        for run in &mut self.runs {
            run.done += speed;
            if lapsed {
                ended.push((run.task, run.run, EndCause::Lapsed));
            } else if run.done >= run.work {
                let cause = if fault.fails_runs {
                    EndCause::Failed
                } else {
                    EndCause::Done
                };
                ended.push((run.task, run.run, cause));
            }
        }
        for (task, run, cause) in ended {
            self.runs.retain(|r| r.task != task || r.run != run);
            self.record_end(task, run, cause);
        }
    }

    pub(super) fn record_end(&mut self, task: TaskId, run: RunNumber, cause: EndCause) {
        let number = self.ends.len() as u64 + 1;
        self.ends.push(EndedRun {
            number,
            task: Some(task),
            run,
            cause,
        });
    }

    pub(super) fn listing(&self, now: u64, seen: u64) -> WorkerListing {
        let running = self.runs.iter().map(|run| RunningRun {
            task: Some(run.task),
            run: run.run,
            percent: (run.done / run.work * 100.0).min(99.0) as u8,
        });
        WorkerListing {
            clock: WorkerClock(now + self.clock_offset),
            born: self.born,
            running: running.collect(),
            ended: self
                .ends
                .iter()
                .filter(|end| end.number > seen.max(self.acknowledged_end))
                .cloned()
                .collect(),
        }
    }
}
