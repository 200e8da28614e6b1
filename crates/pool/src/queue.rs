//! The order in which waiting jobs are placed on workers.
//!
//! The order matters when there is not enough capacity for all jobs, as in a burst while workers are lost. In order of
//! arrival, a short job that waits behind long ones is late, then the next one, and soon all are. In order of the
//! latest start alone, jobs that have become late wait behind all new ones, and the work already done on them, which
//! may be most of it, is lost.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jobs::JobId;

/// The class of a waiting job. Jobs of earlier classes are placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum QueueClass {
    /// Late, but begun and still of use: little is left to do, and the completed work would otherwise be lost.
    Begun,
    /// Its start can still be in time. Ordered by the latest such start.
    InTime,
    /// Late and not begun. Ordered by priority and arrival.
    Late,
    /// Begun, and so late that its end is of no use any more, except for the answer to the customer.
    Useless,
}

/// The sort key of a waiting job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueRank {
    class: QueueClass,
    priority: u32,
    /// The latest start of a job that can still be in time, unless such jobs are ordered by arrival. Otherwise the
    /// arrival.
    sort_time: Instant,
    job: JobId,
}

/// A waiting job, with what determines its rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueueEntry {
    pub(crate) job: JobId,
    pub(crate) priority: u32,
    pub(crate) arrived: Instant,
    /// Whether any of its tasks may have begun: workers that were given to it would be of no use to others, also while
    /// their answers to the starts are on their way.
    pub(crate) begun: bool,
    /// The latest start with which the job still ends in time.
    pub(crate) latest_start: Instant,
    /// Whether jobs whose start can still be in time are ordered by arrival instead.
    pub(crate) by_arrival: bool,
    /// The time from which the end of the job is of no use.
    pub(crate) useless_from: Instant,
}

impl QueueEntry {
    pub(crate) fn rank(&self, now: Instant) -> QueueRank {
        let class = if self.latest_start >= now {
            QueueClass::InTime
        } else if !self.begun {
            QueueClass::Late
        } else if now < self.useless_from {
            QueueClass::Begun
        } else {
            QueueClass::Useless
        };
        let in_time = class == QueueClass::InTime;
        QueueRank {
            class,
            priority: if class == QueueClass::Late {
                self.priority
            } else {
                0
            },
            sort_time: if in_time && !self.by_arrival {
                self.latest_start
            } else {
                self.arrived
            },
            job: self.job,
        }
    }
}

/// The jobs with tasks that wait to be placed.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobQueue {
    ranked: BTreeMap<QueueRank, QueueEntry>,
    ranks: model::FastMap<JobId, QueueRank>,
}

impl JobQueue {
    /// Inserts a job, or moves it to its present rank.
    pub(crate) fn upsert(&mut self, now: Instant, entry: QueueEntry) {
        self.remove(entry.job);
        let rank = entry.rank(now);
        self.ranks.insert(entry.job, rank);
        self.ranked.insert(rank, entry);
    }

    /// Removes a job.
    pub(crate) fn remove(&mut self, job: JobId) {
        if let Some(rank) = self.ranks.remove(&job) {
            self.ranked.remove(&rank);
        }
    }

    /// Moves jobs whose class has changed with time.
    pub(crate) fn reclassify(&mut self, now: Instant) {
        let moved = self
            .ranked
            .iter()
            .filter(|(rank, entry)| entry.rank(now).class != rank.class);
        let moved: Vec<QueueEntry> = moved.map(|(_, entry)| *entry).collect();
        for entry in moved {
            self.upsert(now, entry);
        }
    }

    /// The jobs in order.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.ranked.values().map(|entry| entry.job)
    }

    /// The jobs with their ranks, in order.
    pub(crate) fn ranked(&self) -> impl Iterator<Item = (QueueRank, JobId)> + '_ {
        self.ranked.iter().map(|(rank, entry)| (*rank, entry.job))
    }
}

/// The latest start with which a job that takes `run_time` from its start still ends in time.
pub(crate) fn latest_start(arrived: Instant, objective: Duration, run_time: Duration) -> Instant {
    arrived + objective.saturating_sub(run_time)
}
