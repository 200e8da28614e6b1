//! Admission control: the forecast by which a job is admitted or refused.
//!
//! Refusals are needed under overload, when for some seconds more work arrives than the pool's workers can do. Without
//! them every job waits longer, until all end too late to be of use and the work done on them is lost. A job whose
//! predicted end is too late is therefore refused at once, so that its customer can turn elsewhere and the capacity
//! serves jobs that end in time. A job that would make an already admitted job late is refused too: admitted jobs take
//! precedence.

use std::{cell::OnceCell, time::Duration};

use crate::{
    arrivals::ExpectedJob,
    forecast::{PoolForecast, WaitingGroup},
};

/// The load of a pool, as published to the entries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// The CPU capacity of usable workers, in thousandths of a core.
    pub capacity: u64,
    /// The free part of `capacity`, in thousandths of a core.
    pub free: u64,
    /// The time that the waiting work takes on all usable workers.
    pub backlog: Duration,
}

/// A step of a job in the forecast.
#[derive(Clone, Debug)]
pub(crate) struct ForecastStep {
    /// The tasks that are not placed yet, including those that wait for earlier steps.
    pub(crate) waiting: WaitingGroup,
    /// How much longer the slowest task of the step takes than the mean.
    pub(crate) slowest_extra: Duration,
    /// The time from now until the last running task of the step ends.
    pub(crate) running: Duration,
    /// Earlier steps whose tasks all have to be done first.
    pub(crate) after: Vec<u32>,
}

/// A job in the forecast. The forecast places jobs in the order in which they will be placed on workers.
#[derive(Clone, Debug)]
pub(crate) struct ForecastJob {
    pub(crate) steps: Vec<ForecastStep>,
    /// The time from now by which the job has to end to be in time. None if it is late already.
    pub(crate) limit: Option<Duration>,
}

/// The forecast for a new job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AdmissionForecast {
    /// The time from now to the end of the new job.
    pub(crate) end: Duration,
    /// Whether the new job would make an already admitted job late.
    pub(crate) delays_admitted: bool,
    /// Whether the new job would make a job late for which capacity is reserved.
    pub(crate) takes_reserved: bool,
}

impl AdmissionForecast {
    /// The forecast of a job that has more jobs before it than are simulated.
    pub(crate) const QUEUE_TOO_LONG: Self = Self {
        end: Duration::MAX,
        delays_admitted: false,
        takes_reserved: false,
    };
}

/// Simulates how the waiting jobs, with a new one among them, are placed on the pool's workers.
///
/// The jobs before the new one are simulated once, and so are the jobs behind it without the new one. Only the new job
/// and its effect on the jobs behind it are simulated again for each number of its tasks.
#[derive(Debug)]
pub(crate) struct AdmissionSimulation {
    /// The pool once the jobs before the new one are placed.
    before: PoolForecast,
    /// The new job.
    new: ForecastJob,
    /// The jobs behind the new one, in the order in which they will be placed.
    behind: Vec<ForecastJob>,
    /// The ends of the jobs behind without the new one, computed on first use.
    ends_without: OnceCell<Vec<Duration>>,
    /// The expected jobs for which capacity is reserved.
    expected: Vec<ExpectedJob>,
}

impl AdmissionSimulation {
    /// Simulates the jobs before the new one.
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

    /// Simulates the whole new job.
    pub(crate) fn forecast(&self) -> AdmissionForecast {
        self.forecast_of(&self.new)
    }

    /// Simulates the new job with `count` tasks in each step.
    pub(crate) fn forecast_tasks_per_step(&self, count: usize) -> AdmissionForecast {
        let mut part = self.new.clone();
        for step in &mut part.steps {
            step.waiting.count = count;
        }
        self.forecast_of(&part)
    }

    /// Whether one of the expected jobs would be late if it were placed after the new job.
    pub(crate) fn displaces(&self, expected: &[ExpectedJob]) -> bool {
        if expected.is_empty() {
            return false;
        }
        let mut with = self.before.clone();
        place_job(&mut with, &self.new);
        let late = |job: &ExpectedJob| job.is_late_on(&mut with.clone());
        expected.iter().any(late)
    }

    fn forecast_of(&self, job: &ForecastJob) -> AdmissionForecast {
        let mut with = self.before.clone();
        let end = place_job(&mut with, job);
        let takes_reserved = self.takes_reserved(&with);
        let delays_admitted = self.delays_admitted(with);
        AdmissionForecast {
            end,
            delays_admitted,
            takes_reserved,
        }
    }

    /// Whether the new job, placed in `with`, makes a job behind it late.
    fn delays_admitted(&self, mut with: PoolForecast) -> bool {
        let ends_without = self.ends_without.get_or_init(|| {
            let mut without = self.before.clone();
            let ends = self.behind.iter().map(|job| place_job(&mut without, job));
            ends.collect()
        });
        for (job, end_without) in self.behind.iter().zip(ends_without) {
            let end = place_job(&mut with, job);
            if job
                .limit
                .is_some_and(|limit| end > limit && *end_without <= limit)
            {
                return true;
            }
        }
        false
    }

    /// Whether a job for which capacity is reserved would be late if it were placed after the new job.
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
            run_time: self.run_time,
        };
        let end = pool.place(&group, self.earliest);
        end.is_none_or(|end| end > self.earliest.saturating_add(self.objective))
    }
}

/// Places the waiting tasks of a job step by step and returns the time from now to the job's end.
fn place_job(forecast: &mut PoolForecast, job: &ForecastJob) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(job.steps.len());
    for step in &job.steps {
        let before = step.after.iter();
        let before = before.filter_map(|step| ends.get(*step as usize));
        let earliest = before.max().copied().unwrap_or_default();
        let Some(end) = forecast.place(&step.waiting, earliest) else {
            return Duration::MAX;
        };
        let slowest_end = match step.waiting.count {
            0 => end,
            _ => end.saturating_add(step.slowest_extra),
        };
        ends.push(slowest_end.max(step.running));
    }
    ends.into_iter().max().unwrap_or_default()
}
