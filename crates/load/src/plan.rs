//! The plan of a run: every call with the time at which it is meant to be sent.

use std::time::Duration;

use fastrand::Rng;

use crate::shape::LoadShape;

/// How many times the usual rate comes in the morning rush.
pub const BURST_FACTOR: f64 = 10.0;
/// The rush, as parts of the run.
const BURST_WINDOW: (f64, f64) = (0.4, 0.5);

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
    pub answer_timeout: Duration,
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
            answer_timeout: Duration::from_secs(20),
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
    let parameters = settings.shape.parameters();
    let mut rng = Rng::with_seed(settings.seed);
    let base_rate = settings.task_rate / parameters.mean_tasks();
    let end = settings.duration.as_secs_f64();
    let mut calls = Vec::new();
    if base_rate <= 0.0 || settings.customers == 0 {
        return calls;
    }
    let peak_rate = if settings.burst {
        base_rate * BURST_FACTOR
    } else {
        base_rate
    };
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.f64()).ln() / peak_rate;
        if at >= end {
            return calls;
        }
        // Thinning: candidates come at the highest rate, and outside the rush only a part of them is taken.
        if rng.f64() >= rate_at(settings, base_rate, at / end) / peak_rate {
            continue;
        }
        let is_request = parameters.sample_is_request(&mut rng);
        let count = if is_request {
            1
        } else {
            parameters.sample_job_tasks(&mut rng)
        };
        let customer = parameters.sample_customer(&mut rng, settings.customers);
        let run_ms = (0..count)
            .map(|_| parameters.sample_run_ms(&mut rng))
            .collect();
        calls.push(PlannedCall {
            at: Duration::from_secs_f64(at),
            customer,
            kind: if is_request {
                CallKind::Request
            } else {
                CallKind::Job
            },
            run_ms,
        });
    }
}

fn rate_at(settings: &LoadSettings, base_rate: f64, run_fraction: f64) -> f64 {
    if settings.burst && run_fraction >= BURST_WINDOW.0 && run_fraction < BURST_WINDOW.1 {
        return base_rate * BURST_FACTOR;
    }
    base_rate
}
