//! The plan of a run: every call with the time at which it is meant to be sent.

use std::time::Duration;

use fastrand::Rng;

use crate::shape::LoadShape;

/// How many times the usual rate comes in the morning rush.
pub const RUSH_FACTOR: f64 = 10.0;
/// The rush, as parts of the run.
const RUSH: (f64, f64) = (0.4, 0.5);

/// What load to make.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Whose load.
    pub shape: LoadShape,
    /// The same seed plans the same calls.
    pub seed: u64,
    /// Task starts a second, outside a rush.
    pub task_rate: f64,
    /// How long calls are sent.
    pub duration: Duration,
    /// How many customers call.
    pub customers: usize,
    /// Whether a tenth of the run has ten times the rate.
    pub burst: bool,
    /// Added to the longest task's run time to give the ideal response: the round trips from caller to endpoint.
    pub round_trips: Duration,
    /// How long an answer is waited for before the call counts as lost.
    pub patience: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            shape: LoadShape::default(),
            seed: 1,
            task_rate: 20.0,
            duration: Duration::from_secs(10),
            customers: 3,
            burst: false,
            round_trips: Duration::from_millis(2),
            patience: Duration::from_secs(20),
        }
    }
}

/// What a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Parallel tasks with one answer.
    Job,
    /// One non-idempotent task.
    Request,
}

/// A call of the plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedCall {
    /// When it is meant to be sent, from the start of the run.
    pub at: Duration,
    /// The index of its customer.
    pub customer: usize,
    /// What it is.
    pub kind: CallKind,
    /// The run time of each task, in milliseconds.
    pub run_ms: Vec<u64>,
}

impl PlannedCall {
    /// The response of a system without queues.
    pub fn ideal(&self, round_trips: Duration) -> Duration {
        let longest = self.run_ms.iter().copied().max().unwrap_or(0);
        Duration::from_millis(longest) + round_trips
    }

    /// The slot time of all its tasks.
    pub fn slot_time(&self) -> Duration {
        Duration::from_millis(self.run_ms.iter().sum())
    }
}

/// Plans every call of a run, in the order of their times. Arrivals are a Poisson process.
pub fn plan_load(settings: &LoadSettings) -> Vec<PlannedCall> {
    let table = settings.shape.table();
    let mut rng = Rng::with_seed(settings.seed);
    let usual = settings.task_rate / table.mean_tasks();
    let end = settings.duration.as_secs_f64();
    let mut calls = Vec::new();
    if usual <= 0.0 || settings.customers == 0 {
        return calls;
    }
    let most = if settings.burst {
        usual * RUSH_FACTOR
    } else {
        usual
    };
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.f64()).ln() / most;
        if at >= end {
            return calls;
        }
        // Thinning: candidates come at the highest rate, and outside the rush only a part of them is taken.
        if rng.f64() >= rate_at(settings, usual, at / end) / most {
            continue;
        }
        let request = table.is_request(&mut rng);
        let count = if request {
            1
        } else {
            table.job_tasks(&mut rng)
        };
        let customer = table.customer(&mut rng, settings.customers);
        let run_ms = (0..count).map(|_| table.run_ms(&mut rng)).collect();
        calls.push(PlannedCall {
            at: Duration::from_secs_f64(at),
            customer,
            kind: if request {
                CallKind::Request
            } else {
                CallKind::Job
            },
            run_ms,
        });
    }
}

fn rate_at(settings: &LoadSettings, usual: f64, part: f64) -> f64 {
    if settings.burst && part >= RUSH.0 && part < RUSH.1 {
        return usual * RUSH_FACTOR;
    }
    usual
}
