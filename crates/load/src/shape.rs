//! Load shapes of the two users: the mix of calls, job sizes and run times.

use std::{fmt, str::FromStr, time::Duration};

use fastrand::Rng;

/// Shortest and longest run time of a usual task, in milliseconds. Run times between them are log-uniform.
const USUAL_TASK_MS: (f64, f64) = (50.0, 1_000.0);
/// Shortest and longest run time of a long task, in milliseconds. Run times between them are uniform.
const LONG_TASK_MS: (f64, f64) = (2_000.0, 5_000.0);
/// The fraction of tasks that are long.
const LONG_TASK_FRACTION: f64 = 0.03;
/// A usual job has from one to this many tasks.
const MAX_USUAL_JOB_TASKS: u32 = 40;
/// Number of tasks of the largest jobs.
const LARGEST_JOB_TASKS: u32 = 370;

/// The user whose load is imitated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadShape {
    /// The Trust, with lesson diaries: many single requests (holds) among the jobs, and customers of equal size.
    #[default]
    Trust,
    /// The Utility, with supply teachers: mostly jobs, and the first customers send the most calls.
    Utility,
}

impl LoadShape {
    /// The parameters of the shape.
    pub const fn parameters(self) -> ShapeParameters {
        match self {
            Self::Trust => ShapeParameters {
                request_fraction: 0.4,
                largest_job_fraction: 0.002,
                skewed: false,
            },
            Self::Utility => ShapeParameters {
                request_fraction: 0.2,
                largest_job_fraction: 0.004,
                skewed: true,
            },
        }
    }
}

impl fmt::Display for LoadShape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Trust => "trust",
            Self::Utility => "utility",
        })
    }
}

impl FromStr for LoadShape {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "trust" => Ok(Self::Trust),
            "utility" => Ok(Self::Utility),
            _ => Err("expected trust or utility".to_owned()),
        }
    }
}

/// Parameters of a load shape.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShapeParameters {
    /// The fraction of calls that are single requests.
    pub request_fraction: f64,
    /// The fraction of jobs that have 370 tasks.
    pub largest_job_fraction: f64,
    /// Whether customer n sends 1/n of the calls of the first customer. Otherwise all customers send equally many.
    pub skewed: bool,
}

impl ShapeParameters {
    /// Mean number of tasks per call.
    pub fn mean_tasks(&self) -> f64 {
        let usual = f64::from(1 + MAX_USUAL_JOB_TASKS) / 2.0;
        let largest = f64::from(LARGEST_JOB_TASKS);
        let job = self.largest_job_fraction * largest + (1.0 - self.largest_job_fraction) * usual;
        self.request_fraction + (1.0 - self.request_fraction) * job
    }

    /// Mean run time of a task.
    pub fn mean_run(&self) -> Duration {
        let (least, most) = USUAL_TASK_MS;
        let usual = (most - least) / (most / least).ln();
        let long = (LONG_TASK_MS.0 + LONG_TASK_MS.1) / 2.0;
        Duration::from_secs_f64(
            (LONG_TASK_FRACTION * long + (1.0 - LONG_TASK_FRACTION) * usual) / 1e3,
        )
    }

    /// Task starts per second that keep `percent` of `slots` busy.
    pub fn task_rate(&self, percent: f64, slots: u32) -> f64 {
        percent / 100.0 * f64::from(slots) / self.mean_run().as_secs_f64()
    }

    pub(crate) fn sample_is_request(&self, rng: &mut Rng) -> bool {
        rng.f64() < self.request_fraction
    }

    pub(crate) fn sample_job_tasks(&self, rng: &mut Rng) -> u32 {
        if rng.f64() < self.largest_job_fraction {
            return LARGEST_JOB_TASKS;
        }
        rng.u32(1..=MAX_USUAL_JOB_TASKS)
    }

    /// Samples a run time, in milliseconds.
    pub(crate) fn sample_run_ms(&self, rng: &mut Rng) -> u64 {
        let ms = if rng.f64() < LONG_TASK_FRACTION {
            LONG_TASK_MS.0 + rng.f64() * (LONG_TASK_MS.1 - LONG_TASK_MS.0)
        } else {
            USUAL_TASK_MS.0 * (USUAL_TASK_MS.1 / USUAL_TASK_MS.0).powf(rng.f64())
        };
        ms as u64
    }

    /// Samples the index of a customer out of `count`.
    pub(crate) fn sample_customer(&self, rng: &mut Rng, count: usize) -> usize {
        if !self.skewed {
            return rng.usize(..count);
        }
        let total: f64 = (1..=count).map(|n| 1.0 / n as f64).sum();
        let mut left = rng.f64() * total;
        for index in 0..count {
            left -= 1.0 / (index + 1) as f64;
            if left < 0.0 {
                return index;
            }
        }
        count - 1
    }
}
