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
struct ArrivalMean {
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
        let (tasks, cpu) = (f64::from(job.tasks), job.cpu as f64);
        let (run_time, objective) = (job.run_time.as_secs_f64(), job.objective.as_secs_f64());
        let mean = self.means.entry(job.priority).or_insert(ArrivalMean {
            last: now,
            tasks,
            cpu,
            run_time,
            objective,
            refused: 0.0,
        });
        mean.refused = mean.refused_share_at(now);
        mean.last = now;
        let refused = f64::from(u8::from(job.refused));
        for (mean, new) in [
            (&mut mean.tasks, tasks),
            (&mut mean.cpu, cpu),
            (&mut mean.run_time, run_time),
            (&mut mean.objective, objective),
            (&mut mean.refused, refused),
        ] {
            *mean += SAMPLE_WEIGHT * (new - *mean);
        }
    }

    /// The expected jobs of higher priority, for which capacity is reserved when a job of this priority is admitted. A
    /// lower number is a higher priority.
    pub(crate) fn expected_above(&self, now: Instant, priority: u32) -> Vec<ExpectedJob> {
        let higher = self.means.iter().filter(|(other, _)| **other < priority);
        let expected = higher.map(|(_, mean)| mean.expected(now));
        expected.filter(|job| job.tasks > 0).collect()
    }
}

impl ArrivalMean {
    fn refused_share_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.last).as_secs_f64();
        self.refused * (-passed / REFUSAL_MEMORY.as_secs_f64()).exp()
    }

    fn expected(&self, now: Instant) -> ExpectedJob {
        let beyond = self.refused_share_at(now) - USUAL_REFUSED_SHARE;
        let share = (beyond / (FULL_RESERVE_REFUSED_SHARE - USUAL_REFUSED_SHARE)).clamp(0.0, 1.0);
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
