//! Suspends unhealthy workers, which then get no new runs for a while.
//!
//! A worker that fails every run has free capacity again at once and would attract every waiting task, so that jobs use
//! up their attempts. A worker on which runs stall keeps its capacity occupied and makes every task placed there late,
//! so that jobs wait for a run that never ends. The limits are low because a false suspicion only costs a pause of one
//! worker among dozens.

use std::time::{Duration, Instant};

use jobs::JobId;

/// The number of successive failed runs, of different jobs, that suspend a worker. One in 500 runs fails by its own
/// fault, so two in a row on one worker have that cause in one of 250,000 pairs.
const FAILURES_TO_SUSPEND: u32 = 2;

/// The duration of the first suspension. Faults of workers last seconds.
const INITIAL_SUSPENSION: Duration = Duration::from_millis(1_000);

/// The maximum duration of a suspension, so that a healthy worker is used again soon after its fault ends.
const MAX_SUSPENSION: Duration = Duration::from_millis(4_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HealthState {
    Healthy,
    Suspended { until: Instant },
}

/// The health of a worker, as its runs show it.
#[derive(Clone, Debug)]
pub(crate) struct WorkerHealth {
    state: HealthState,
    failures: u32,
    last_failed: Option<JobId>,
    suspension: Duration,
}

impl Default for WorkerHealth {
    fn default() -> Self {
        Self {
            state: HealthState::Healthy,
            failures: 0,
            last_failed: None,
            suspension: INITIAL_SUSPENSION,
        }
    }
}

impl WorkerHealth {
    /// Whether the worker may get another run beside `running` ones. After a suspension it gets one run at a time as a
    /// probe.
    pub(crate) fn allows_run(&self, now: Instant, running: usize) -> bool {
        match self.state {
            HealthState::Healthy => true,
            HealthState::Suspended { until } => now >= until && running == 0,
        }
    }

    /// Whether the worker is neither suspended nor has had a failure since its last success.
    pub(crate) fn is_healthy(&self) -> bool {
        self.state == HealthState::Healthy && self.failures == 0
    }

    /// Records a successful run, which makes the worker healthy.
    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failed run. Returns whether the worker should be suspended. Successive failures of one job count once,
    /// so that a job that always fails does not suspend a healthy worker.
    pub(crate) fn record_failure(&mut self, job: JobId) -> bool {
        if self.last_failed != Some(job) {
            self.failures += 1;
            self.last_failed = Some(job);
        }
        let suspended = self.state != HealthState::Healthy;
        suspended || self.failures >= FAILURES_TO_SUSPEND
    }

    /// Suspends the worker and returns for how long. The duration doubles with each suspension in a row.
    pub(crate) fn suspend(&mut self, now: Instant) -> Duration {
        let suspension = self.suspension;
        self.state = HealthState::Suspended {
            until: now + suspension,
        };
        self.suspension = (suspension * 2).min(MAX_SUSPENSION);
        suspension
    }
}
