//! The order in which waiting jobs get free places.
//!
//! Load it is made for: a burst on top of lost workers, when places do not suffice for all. Jobs whose start can still
//! be in time come first, by the latest start that still is; then jobs that will be late anyway, by priority and
//! arrival, so that they never make another job late. Harm prevented: in order of arrival one short job that waits
//! behind long ones is late, then the next, and soon all are.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jobs::JobId;

/// A waiting job's place in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueRank {
    late: bool,
    priority: u32,
    at: Instant,
    job: JobId,
}

/// What decides a job's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueueEntry {
    pub(crate) job: JobId,
    pub(crate) priority: u32,
    pub(crate) arrived: Instant,
    /// The latest start that is still in time.
    pub(crate) latest_start: Instant,
}

/// Jobs with tasks that wait for a place.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobQueue {
    ranked: BTreeMap<QueueRank, QueueEntry>,
    ranks: model::FastMap<JobId, QueueRank>,
}

impl JobQueue {
    /// Puts a job in, or moves it to where it belongs now.
    pub(crate) fn put(&mut self, now: Instant, entry: QueueEntry) {
        self.remove(entry.job);
        let late = entry.latest_start < now;
        let rank = QueueRank {
            late,
            priority: if late { entry.priority } else { 0 },
            at: if late {
                entry.arrived
            } else {
                entry.latest_start
            },
            job: entry.job,
        };
        self.ranks.insert(entry.job, rank);
        self.ranked.insert(rank, entry);
    }

    /// Takes a job out.
    pub(crate) fn remove(&mut self, job: JobId) {
        if let Some(rank) = self.ranks.remove(&job) {
            self.ranked.remove(&rank);
        }
    }

    /// Moves jobs behind the others whose start cannot be in time any more.
    pub(crate) fn move_late(&mut self, now: Instant) {
        while let Some((rank, entry)) = self.ranked.first_key_value() {
            if rank.late || entry.latest_start >= now {
                return;
            }
            let entry = *entry;
            self.put(now, entry);
        }
    }

    /// The jobs in order.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.ranked.values().map(|entry| entry.job)
    }

    /// The jobs that would get places before one with this latest start.
    pub(crate) fn ahead_of(&self, latest_start: Instant) -> impl Iterator<Item = JobId> + '_ {
        let before = move |rank: &QueueRank| !rank.late && rank.at <= latest_start;
        self.ranked
            .iter()
            .take_while(move |(rank, _)| before(rank))
            .map(|(_, entry)| entry.job)
    }
}

/// The latest start that still ends in time.
pub(crate) fn latest_start(arrived: Instant, objective: Duration, work: Duration) -> Instant {
    arrived + objective.saturating_sub(work)
}
