//! The shapes of load that the two users have.

use std::{fmt, str::FromStr, time::Duration};

use fastrand::Rng;

/// The shortest and longest of the usual tasks; between them, run times are log-uniform.
const USUAL_MS: (f64, f64) = (50.0, 1_000.0);
/// The shortest and longest of the long tasks; between them, run times are uniform.
const LONG_MS: (f64, f64) = (2_000.0, 5_000.0);
/// The part of tasks that are long.
const LONG_PART: f64 = 0.03;
/// Tasks of a usual job, from one to this many.
const USUAL_TASKS: u32 = 40;
/// Tasks of the largest jobs.
const LARGEST_TASKS: u32 = 370;

/// Whose load it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadShape {
    /// Lesson diaries: many single holds among the jobs, customers alike.
    #[default]
    Trust,
    /// Supply teachers: mostly jobs, and the first customers have the most.
    Utility,
}

impl LoadShape {
    /// The figures of the shape.
    pub const fn table(self) -> ShapeTable {
        match self {
            Self::Trust => ShapeTable {
                request_part: 0.4,
                largest_part: 0.002,
                skewed: false,
            },
            Self::Utility => ShapeTable {
                request_part: 0.2,
                largest_part: 0.004,
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

/// The figures of a shape.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShapeTable {
    /// The part of calls that are single requests.
    pub request_part: f64,
    /// The part of jobs that have 370 tasks.
    pub largest_part: f64,
    /// Whether customer n has 1/n of the first one's calls; otherwise all have the same.
    pub skewed: bool,
}

impl ShapeTable {
    /// The mean number of tasks of a call.
    pub fn mean_tasks(&self) -> f64 {
        let usual = f64::from(1 + USUAL_TASKS) / 2.0;
        let largest = f64::from(LARGEST_TASKS);
        let job = self.largest_part * largest + (1.0 - self.largest_part) * usual;
        self.request_part + (1.0 - self.request_part) * job
    }

    /// The mean run time of a task.
    pub fn mean_run(&self) -> Duration {
        let (least, most) = USUAL_MS;
        let usual = (most - least) / (most / least).ln();
        let long = (LONG_MS.0 + LONG_MS.1) / 2.0;
        Duration::from_secs_f64((LONG_PART * long + (1.0 - LONG_PART) * usual) / 1e3)
    }

    /// The task starts a second that keep `percent` of `slots` busy.
    pub fn task_rate(&self, percent: f64, slots: u32) -> f64 {
        percent / 100.0 * f64::from(slots) / self.mean_run().as_secs_f64()
    }

    pub(crate) fn is_request(&self, rng: &mut Rng) -> bool {
        rng.f64() < self.request_part
    }

    pub(crate) fn job_tasks(&self, rng: &mut Rng) -> u32 {
        if rng.f64() < self.largest_part {
            return LARGEST_TASKS;
        }
        rng.u32(1..=USUAL_TASKS)
    }

    /// A run time in milliseconds.
    pub(crate) fn run_ms(&self, rng: &mut Rng) -> u64 {
        let ms = if rng.f64() < LONG_PART {
            LONG_MS.0 + rng.f64() * (LONG_MS.1 - LONG_MS.0)
        } else {
            USUAL_MS.0 * (USUAL_MS.1 / USUAL_MS.0).powf(rng.f64())
        };
        ms as u64
    }

    /// The index of a customer out of `count`.
    pub(crate) fn customer(&self, rng: &mut Rng, count: usize) -> usize {
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
