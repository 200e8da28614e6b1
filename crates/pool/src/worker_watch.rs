//! Watching of an empty worker before a task is sent there that its workers may die of.
//!
//! A start to a worker that is dead already looks like one that crashes the worker before it can answer. So before such a
//! task is sent to a worker, that worker has answered a poll and holds another one, whose connection breaks when the
//! worker dies. A worker that died before is not chosen, and one that dies while the start is on its way shows it sooner
//! than the start could have caused it.

use std::time::{Duration, Instant};

use jobs::{RunNumber, TaskId};

use crate::{action::RunBeginning, worker::TrackedWorker};

/// How long a worker is watched without a renewed request. Longer than some ticks of the pool.
const WATCH_TIME: Duration = Duration::from_millis(200);

/// How long a poll has been unanswered when it counts as held by the worker, above the time of an answer.
const HELD_POLL_TIME: Duration = Duration::from_millis(5);

/// The wait of a poll of a watched worker, which bounds how long a silent death goes unnoticed.
pub(crate) const WATCH_POLL_WAIT: Duration = Duration::from_millis(100);

/// A watch of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WorkerWatch {
    since: Instant,
    until: Instant,
}

impl TrackedWorker {
    /// Begins to watch the worker, or continues to.
    pub(crate) fn extend_watch(&mut self, now: Instant) {
        let current = self.watch.filter(|watch| now < watch.until);
        self.watch = Some(WorkerWatch {
            since: current.map_or(now, |watch| watch.since),
            until: now + WATCH_TIME,
        });
    }

    /// Whether the worker is kept empty and polled.
    pub(crate) fn is_watched(&self, now: Instant) -> bool {
        self.watch.is_some_and(|watch| now < watch.until)
    }

    /// Whether the worker has answered a poll since it is watched, so that the next one may wait there.
    pub(crate) fn has_answered_watch(&self, now: Instant) -> bool {
        let watch = self.watch.filter(|watch| now < watch.until);
        watch.is_some_and(|watch| {
            self.answered_poll_sent
                .is_some_and(|sent| sent >= watch.since)
        })
    }

    /// Whether the worker holds a poll, so that its death would be noticed.
    pub(crate) fn is_watch_ready(&self, now: Instant) -> bool {
        let answer_time = self.shortest_answer.unwrap_or_default();
        let is_held = now >= self.last_poll_sent + answer_time + HELD_POLL_TIME;
        self.has_answered_watch(now) && self.polls_in_flight > 0 && is_held
    }

    /// Takes the time in which a poll was answered.
    pub(crate) fn record_poll_time(&mut self, took: Duration) {
        let shortest = self.shortest_answer.map_or(took, |known| known.min(took));
        self.shortest_answer = Some(shortest);
    }

    /// Marks the runs whose starts cannot have caused a break of a poll's connection that is noticed now, and returns
    /// them.
    ///
    /// A start needs one way to the worker, and the break one way back. An answered poll took both and the worker's own
    /// time; half of the shortest such time is a safe lower bound.
    pub(crate) fn mark_unreached_runs(&mut self, now: Instant) -> Vec<(TaskId, RunNumber)> {
        let Some(shortest) = self.shortest_answer else {
            return Vec::new();
        };
        let mut unreached = Vec::new();
        for run in &mut self.runs {
            if run.beginning == RunBeginning::Unconfirmed && now < run.placed_at + shortest / 2 {
                run.beginning = RunBeginning::Unreached;
                unreached.push((run.task, run.run));
            }
        }
        unreached
    }
}
