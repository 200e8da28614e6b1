//! The order in which waiting jobs get free places.
//!
//! Load it is made for: a burst on top of lost workers, when places do not suffice for all. Harm prevented: in order
//! of arrival one short job that waits behind long ones is late, then the next, and soon all are. By the latest start
//! alone, jobs that have become late wait behind all that still come, with most of their work done and lost.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jobs::JobId;

/// Which jobs get places before others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum QueueClass {
    /// Late, but begun, and still worth something: little is left to do, and what is done is lost otherwise.
    Begun,
    /// Its start can still be in time. By the latest start that is.
    InTime,
    /// Late and not begun: by priority and arrival.
    Late,
    /// Begun, and too late to be worth anything but an answer.
    Useless,
}

/// A waiting job's place in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueRank {
    class: QueueClass,
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
    /// Whether any of its tasks was ordered to start.
    pub(crate) begun: bool,
    /// The latest start that is still in time.
    pub(crate) latest_start: Instant,
    /// Whether jobs whose start can still be in time go by arrival.
    pub(crate) by_arrival: bool,
    /// When its end is not worth anything any more.
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
            at: if in_time && !self.by_arrival {
                self.latest_start
            } else {
                self.arrived
            },
            job: self.job,
        }
    }
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
        let rank = entry.rank(now);
        self.ranks.insert(entry.job, rank);
        self.ranked.insert(rank, entry);
    }

    /// Takes a job out.
    pub(crate) fn remove(&mut self, job: JobId) {
        if let Some(rank) = self.ranks.remove(&job) {
            self.ranked.remove(&rank);
        }
    }

    /// Moves jobs whose class has changed by time alone.
    pub(crate) fn reclassify(&mut self, now: Instant) {
        let moved = self
            .ranked
            .iter()
            .filter(|(rank, entry)| entry.rank(now).class != rank.class);
        let moved: Vec<QueueEntry> = moved.map(|(_, entry)| *entry).collect();
        for entry in moved {
            self.put(now, entry);
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

/// The latest start that still ends in time.
pub(crate) fn latest_start(arrived: Instant, objective: Duration, work: Duration) -> Instant {
    arrived + objective.saturating_sub(work)
}
