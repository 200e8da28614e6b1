//! Reserves capacity for jobs of higher priority, from the statistics of past arrivals.
//!
//! The reservation is needed under lasting overload. Without it, capacity that becomes free goes at once to admitted
//! jobs that can wait for it, which are those of the lowest priority in their contracts. For a short, wide job of the
//! highest priority all capacity of the next tenth of a second is then occupied, and the job is refused.
//!
//! Capacity is reserved only while jobs of that priority are being refused, and more of it the larger their refused
//! share is: a permanent reservation would cost other jobs capacity in every short burst.

use std::time::{Duration, Instant};

use model::FastMap;

/// The share of refusals up to which no capacity is reserved: a job wider than one pool is refused by each pool and
/// then divided among them.
const USUAL_REFUSED_SHARE: f64 = 0.35;

/// The share of refusals from which capacity is reserved for a whole job.
const FULL_RESERVE_REFUSED_SHARE: f64 = 0.7;

/// The weight of a new job in the means of its priority. About the last ten jobs count, since the shapes of jobs differ
/// by a factor of two.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The time constant with which the refused share decays while no jobs of that priority arrive. Bursts last some
/// seconds.
const REFUSAL_MEMORY: Duration = Duration::from_millis(1_500);

/// Priorities without a job for this long do not count for the typical task.
const TYPICAL_TASK_MEMORY: Duration = Duration::from_secs(10);

/// A job that arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ArrivedJob {
    pub(crate) priority: u32,
    /// The number of tasks that can start at once.
    pub(crate) tasks: u32,
    /// The CPU demand of one task, in thousandths of a core.
    pub(crate) cpu: u64,
    /// The predicted run time of one task.
    pub(crate) run_time: Duration,
    /// The time within which the job has to end to be in time.
    pub(crate) objective: Duration,
    /// Whether the job was refused because it would not have been in time.
    pub(crate) refused: bool,
}

/// Moving averages over the jobs of one priority.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ArrivalMean {
    last: Instant,
    tasks: f64,
    cpu: f64,
    /// In seconds.
    run_time: f64,
    /// In seconds.
    objective: f64,
    /// The share of refused jobs, as of `last`.
    refused: f64,
}

/// An expected job for which capacity is reserved.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ExpectedJob {
    pub(crate) tasks: usize,
    pub(crate) cpu: u64,
    pub(crate) run_time: Duration,
    pub(crate) objective: Duration,
    /// The time from now at which the job is expected.
    pub(crate) earliest: Duration,
}

/// Statistics of arrived jobs, by priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct ArrivalStats {
    means: FastMap<u32, ArrivalMean>,
}

impl ArrivalStats {
    /// Records an arrival.
    pub(crate) fn record(&mut self, now: Instant, job: &ArrivedJob) {
        let mean = self.means.entry(job.priority);
        let mean = mean.or_insert_with(|| ArrivalMean::new(now, job));
        mean.record(now, job);
    }

    /// The expected jobs of higher priority, for which capacity is reserved when a job of this priority is admitted. A
    /// lower number is a higher priority.
    pub(crate) fn expected_above(&self, now: Instant, priority: u32) -> Vec<ExpectedJob> {
        let higher = self.means.iter().filter(|(other, _)| **other < priority);
        let (usual, full) = (USUAL_REFUSED_SHARE, FULL_RESERVE_REFUSED_SHARE);
        let expected = higher.map(|(_, mean)| mean.expected(now, usual, full));
        expected.filter(|job| job.tasks > 0).collect()
    }

    /// The mean CPU demand of the tasks of recent jobs, in thousandths of a core. None if there were none.
    pub(crate) fn typical_cpu(&self, now: Instant) -> Option<u64> {
        let (mut tasks, mut cpu) = (0.0, 0.0);
        for mean in self.means.values() {
            if now >= mean.last + TYPICAL_TASK_MEMORY {
                continue;
            }
            tasks += mean.tasks;
            cpu += mean.tasks * mean.cpu;
        }
        // The cast saturates.
        (tasks > 0.0).then(|| (cpu / tasks) as u64)
    }
}

impl ArrivalMean {
    /// Means that consist of one job, which still has to be recorded.
    pub(crate) fn new(now: Instant, job: &ArrivedJob) -> Self {
        Self {
            last: now,
            tasks: f64::from(job.tasks),
            cpu: job.cpu as f64,
            run_time: job.run_time.as_secs_f64(),
            objective: job.objective.as_secs_f64(),
            refused: 0.0,
        }
    }

    /// Records an arrival.
    pub(crate) fn record(&mut self, now: Instant, job: &ArrivedJob) {
        self.refused = self.refused_share_at(now);
        self.last = now;
        let refused = f64::from(u8::from(job.refused));
        for (mean, new) in [
            (&mut self.tasks, f64::from(job.tasks)),
            (&mut self.cpu, job.cpu as f64),
            (&mut self.run_time, job.run_time.as_secs_f64()),
            (&mut self.objective, job.objective.as_secs_f64()),
            (&mut self.refused, refused),
        ] {
            *mean += SAMPLE_WEIGHT * (new - *mean);
        }
    }

    /// The refused share as of now.
    pub(crate) fn refused_share_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.last).as_secs_f64();
        self.refused * (-passed / REFUSAL_MEMORY.as_secs_f64()).exp()
    }

    /// The job for which capacity is kept free, with a part of its tasks that grows with the refused share.
    /// It has none up to the share `usual` and all from `full` on.
    pub(crate) fn expected(&self, now: Instant, usual: f64, full: f64) -> ExpectedJob {
        let beyond = self.refused_share_at(now) - usual;
        let share = (beyond / (full - usual)).clamp(0.0, 1.0);
        // The casts saturate.
        ExpectedJob {
            tasks: (share * self.tasks).round() as usize,
            cpu: self.cpu as u64,
            run_time: Duration::from_secs_f64(self.run_time),
            objective: Duration::from_secs_f64(self.objective),
            earliest: Duration::ZERO,
        }
    }
}
