//! The plan of a load run: every call with its planned send time.

use std::time::Duration;

use fastrand::Rng;

use crate::shape::LoadShape;

/// The rate during a burst, which imitates the morning rush, as a multiple of the base rate.
pub const BURST_FACTOR: f64 = 10.0;
/// Start and end of the burst, as fractions of the run.
const BURST_WINDOW: (f64, f64) = (0.4, 0.5);

/// Settings of a load run.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Shape of the load.
    pub shape: LoadShape,
    /// Seed of the plan; the same seed gives the same calls.
    pub seed: u64,
    /// Task starts per second outside a burst.
    pub task_rate: f64,
    /// How long calls are sent for.
    pub duration: Duration,
    /// Number of customers that submit calls.
    pub customers: usize,
    /// Whether a tenth of the run is a burst with ten times the rate.
    pub burst: bool,
    /// Time of the round trips from caller to endpoint, which is added to the run time of the longest task to give the
    /// ideal response.
    pub round_trips: Duration,
    /// How long to wait for an answer before the call counts as lost.
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

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A job: parallel tasks with one answer.
    Job,
    /// A request: one non-idempotent task.
    Request,
}

/// A planned call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedCall {
    /// Planned send time, from the start of the run.
    pub send_at: Duration,
    /// Index of the customer.
    pub customer: usize,
    /// Kind of the call.
    pub kind: CallKind,
    /// Run time of each task, in milliseconds.
    pub run_ms: Vec<u64>,
}

impl PlannedCall {
    /// Response time of a system without queues: the longest run time plus the round trips.
    pub fn ideal(&self, round_trips: Duration) -> Duration {
        let longest = self.run_ms.iter().copied().max().unwrap_or(0);
        Duration::from_millis(longest) + round_trips
    }

    /// Total slot time of the tasks.
    pub fn slot_time(&self) -> Duration {
        Duration::from_millis(self.run_ms.iter().sum())
    }
}

/// Plans every call of a run, ordered by send time. Arrivals follow a Poisson process.
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
        // Thinning: candidates arrive at the peak rate, and only a fraction of them is kept outside the burst.
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
            send_at: Duration::from_secs_f64(at),
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
