//! For which jobs room is kept, by their priority.
//!
//! Load it is made for: more work than the workers can do, for long. Harm prevented: whatever comes free is promised at
//! once to jobs that can wait for it, which their contracts put last. A short wide job that its contract puts first
//! then finds every place of the next tenth of a second promised, and is refused.
//!
//! Room is kept only while jobs of that priority are being refused, and the more, the larger the share of them: kept
//! always, it would cost other jobs in every short burst.

use std::time::{Duration, Instant};

use model::FastMap;

/// The share of refusals that is usual: a job wider than one pool is refused by each, then divided among them.
const USUAL_REFUSED_SHARE: f64 = 0.35;

/// The share of refusals from which on room is kept for a whole job.
const FULL_RESERVE_REFUSED_SHARE: f64 = 0.7;

/// The weight of a new job in the means of its priority: shapes differ by a factor of two, so about ten matter.
const SAMPLE_WEIGHT: f64 = 0.1;

/// How fast refusals are forgotten while no more jobs of that priority come. Bursts last some seconds.
const REFUSAL_MEMORY: Duration = Duration::from_millis(1_500);

/// A job that arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ArrivedJob {
    pub(crate) priority: u32,
    /// Tasks that can start at once.
    pub(crate) tasks: u32,
    /// What one of them takes, in thousandths of a core.
    pub(crate) cpu: u64,
    /// The predicted time of one of them.
    pub(crate) work: Duration,
    /// How long it may take to be in time.
    pub(crate) objective: Duration,
    /// Whether it was refused, since it would not have been in time.
    pub(crate) refused: bool,
}

/// What is known of the jobs of one priority.
#[derive(Clone, Copy, Debug)]
struct ArrivalMean {
    last: Instant,
    tasks: f64,
    cpu: f64,
    /// In seconds.
    work: f64,
    /// In seconds.
    objective: f64,
    /// The share that was refused.
    refused: f64,
}

/// Tasks for which room is kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ExpectedJob {
    pub(crate) tasks: usize,
    pub(crate) cpu: u64,
    pub(crate) work: Duration,
    pub(crate) objective: Duration,
}

/// Arrivals by priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct ArrivalStats {
    means: FastMap<u32, ArrivalMean>,
}

impl ArrivalStats {
    /// Notes an arrival.
    pub(crate) fn record(&mut self, now: Instant, job: &ArrivedJob) {
        let (tasks, cpu) = (f64::from(job.tasks), job.cpu as f64);
        let (work, objective) = (job.work.as_secs_f64(), job.objective.as_secs_f64());
        let mean = self.means.entry(job.priority).or_insert(ArrivalMean {
            last: now,
            tasks,
            cpu,
            work,
            objective,
            refused: 0.0,
        });
        mean.refused = mean.refused_share_at(now);
        mean.last = now;
        let refused = f64::from(u8::from(job.refused));
        for (mean, new) in [
            (&mut mean.tasks, tasks),
            (&mut mean.cpu, cpu),
            (&mut mean.work, work),
            (&mut mean.objective, objective),
            (&mut mean.refused, refused),
        ] {
            *mean += SAMPLE_WEIGHT * (new - *mean);
        }
    }

    /// The tasks for which a job of this priority has to leave room.
    pub(crate) fn expected_above(&self, now: Instant, priority: u32) -> Vec<ExpectedJob> {
        let before = self.means.iter().filter(|(other, _)| **other < priority);
        let expected = before.map(|(_, mean)| mean.expected(now));
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
            work: Duration::from_secs_f64(self.work),
            objective: Duration::from_secs_f64(self.objective),
        }
    }
}
