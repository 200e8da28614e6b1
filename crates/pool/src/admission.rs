//! Whether a job is admitted.
//!
//! Load it is made for: more work than the pool's workers can do, for seconds. Harm prevented: without a refusal every
//! job waits longer, until all end too late to help anybody, while the work done on them is lost. A job whose
//! predicted end is too late is refused at once, so that its customer can turn elsewhere and the places serve jobs
//! that will be in time. So is one that would make a job late that was admitted before: what was promised goes first.

use std::{cell::OnceCell, time::Duration};

use crate::{
    arrivals::ExpectedJob,
    forecast::{PoolForecast, WaitingGroup},
};

/// What a pool can take, as published to the entries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Processor room of usable workers, in thousandths of a core.
    pub capacity: u64,
    /// The part of it that is free.
    pub free: u64,
    /// How long the waiting work takes on all usable workers.
    pub backlog: Duration,
}

/// A step of a job that waits.
#[derive(Clone, Debug)]
pub(crate) struct ForecastStep {
    /// Its tasks without a place, also while the steps before it are not done.
    pub(crate) waiting: WaitingGroup,
    /// The time from now until the last of its tasks that run now ends.
    pub(crate) running: Duration,
    /// Earlier steps whose tasks all have to be done first.
    pub(crate) after: Vec<u32>,
}

/// A job in the order in which places will be given.
#[derive(Clone, Debug)]
pub(crate) struct ForecastJob {
    pub(crate) steps: Vec<ForecastStep>,
    /// How long from now its end is still worth something in full. None if it is late already.
    pub(crate) limit: Option<Duration>,
}

/// What the forecast says about a new job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AdmissionForecast {
    /// The time from now to the new job's end.
    pub(crate) end: Duration,
    /// Whether a job that was admitted before would be late because of it.
    pub(crate) delays_admitted: bool,
    /// Whether a job for which it has to leave room would be late because of it.
    pub(crate) takes_reserved: bool,
}

impl AdmissionForecast {
    /// That of a job before which more wait than are tried out.
    pub(crate) const QUEUE_TOO_LONG: Self = Self {
        end: Duration::MAX,
        delays_admitted: false,
        takes_reserved: false,
    };
}

/// The jobs that wait with a new one among them, to be tried out on the pool's workers.
///
/// Jobs before the new one are tried out once, and those behind it without it once: what differs from one number of its tasks
/// to the next is only what follows from them.
#[derive(Debug)]
pub(crate) struct AdmissionSimulation {
    /// The pool with the jobs before the new one in their places.
    before: PoolForecast,
    /// The new one.
    new: ForecastJob,
    /// Those behind it, in the order in which places will be given.
    behind: Vec<ForecastJob>,
    /// Their ends without the new one, once that is asked for.
    ends_without: OnceCell<Vec<Duration>>,
    /// Jobs for which the new one has to leave room.
    expected: Vec<ExpectedJob>,
}

impl AdmissionSimulation {
    /// Tries out the jobs before the new one.
    pub(crate) fn new(
        mut pool: PoolForecast,
        before: &[ForecastJob],
        new: ForecastJob,
        behind: Vec<ForecastJob>,
        expected: Vec<ExpectedJob>,
    ) -> Self {
        for job in before {
            place_job(&mut pool, job);
        }
        Self {
            before: pool,
            new,
            behind,
            ends_without: OnceCell::new(),
            expected,
        }
    }

    /// Tries out the new job as a whole.
    pub(crate) fn forecast(&self) -> AdmissionForecast {
        self.forecast_of(&self.new)
    }

    /// Tries out so many tasks of each of its steps.
    pub(crate) fn forecast_tasks_per_step(&self, count: usize) -> AdmissionForecast {
        let mut part = self.new.clone();
        for step in &mut part.steps {
            step.waiting.count = count;
        }
        self.forecast_of(&part)
    }

    fn forecast_of(&self, job: &ForecastJob) -> AdmissionForecast {
        let mut with = self.before.clone();
        let end = place_job(&mut with, job);
        let crowds = self.takes_reserved(&with);
        let harms = self.delays_admitted(with);
        AdmissionForecast {
            end,
            delays_admitted: harms,
            takes_reserved: crowds,
        }
    }

    /// Whether a job behind the new one would be late because of it.
    fn delays_admitted(&self, mut with: PoolForecast) -> bool {
        let alone = self.ends_without.get_or_init(|| {
            let mut without = self.before.clone();
            let ends = self.behind.iter().map(|job| place_job(&mut without, job));
            ends.collect()
        });
        for (job, alone) in self.behind.iter().zip(alone) {
            let ends = place_job(&mut with, job);
            if job
                .limit
                .is_some_and(|limit| ends > limit && *alone <= limit)
            {
                return true;
            }
        }
        false
    }

    /// Whether a job for which room is kept would be late on places as they are given up to the new one.
    fn takes_reserved(&self, placed: &PoolForecast) -> bool {
        let late = |job: &ExpectedJob| job.is_late_on(&mut placed.clone());
        self.expected.iter().any(late)
    }
}

impl ExpectedJob {
    fn is_late_on(&self, pool: &mut PoolForecast) -> bool {
        let group = WaitingGroup {
            count: self.tasks,
            cpu: self.cpu,
            work: self.work,
        };
        let end = pool.place(&group, Duration::ZERO);
        end.is_none_or(|end| end > self.objective)
    }
}

/// Places what waits of a job, step by step, and gives its end.
fn place_job(forecast: &mut PoolForecast, job: &ForecastJob) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(job.steps.len());
    for step in &job.steps {
        let before = step.after.iter();
        let before = before.filter_map(|step| ends.get(*step as usize));
        let earliest = before.max().copied().unwrap_or_default();
        let Some(end) = forecast.place(&step.waiting, earliest) else {
            return Duration::MAX;
        };
        ends.push(end.max(step.running));
    }
    ends.into_iter().max().unwrap_or_default()
}
