//! Whether a worker gets new runs.
//!
//! Load it is made for: a worker that fails all that it starts is free at once and would draw every waiting task; one
//! on which tasks stand still keeps its places and makes late whatever is put there. Harm prevented: jobs that use up
//! their attempts, or wait for a run that never ends. The limits are small because a false suspicion only costs a
//! pause of one worker among dozens.

use std::time::{Duration, Instant};

use jobs::JobId;

/// Failed runs of different jobs in a row that make a worker suspect. One in 500 runs fails by its own fault, so two
/// in a row on one worker are that in one of 250,000 pairs.
const FAILURES_TO_SUSPEND: u32 = 2;

/// The first pause. Troubles of workers last seconds.
const INITIAL_PAUSE: Duration = Duration::from_millis(1_000);

/// The longest pause, so that a sound worker is back soon after its trouble.
const MAX_PAUSE: Duration = Duration::from_millis(4_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HealthState {
    Healthy,
    Suspended { until: Instant },
}

/// What a worker's runs say about it.
#[derive(Clone, Debug)]
pub(crate) struct WorkerHealth {
    state: HealthState,
    failures: u32,
    last_failed: Option<JobId>,
    pause: Duration,
}

impl Default for WorkerHealth {
    fn default() -> Self {
        Self {
            state: HealthState::Healthy,
            failures: 0,
            last_failed: None,
            pause: INITIAL_PAUSE,
        }
    }
}

impl WorkerHealth {
    /// Whether it may get a run beside the `running` ones. After a pause one run at a time tries it out.
    pub(crate) fn allows_run(&self, now: Instant, running: usize) -> bool {
        match self.state {
            HealthState::Healthy => true,
            HealthState::Suspended { until } => now >= until && running == 0,
        }
    }

    /// Whether nothing speaks against it.
    pub(crate) fn is_healthy(&self) -> bool {
        self.state == HealthState::Healthy && self.failures == 0
    }

    /// Whether its pause is over and a run has to show whether it is sound again.
    pub(crate) fn needs_probe_run(&self, now: Instant) -> bool {
        matches!(self.state, HealthState::Suspended { until } if now >= until)
    }

    /// A run was done.
    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// A run failed. Says whether the worker should be suspended. Several failures of one job count once: a job that can
    /// never be done must not cost a sound worker its runs.
    pub(crate) fn record_failure(&mut self, job: JobId) -> bool {
        if self.last_failed != Some(job) {
            self.failures += 1;
            self.last_failed = Some(job);
        }
        let suspended = self.state != HealthState::Healthy;
        suspended || self.failures >= FAILURES_TO_SUSPEND
    }

    /// Suspends it, each time in a row for longer.
    pub(crate) fn suspend(&mut self, now: Instant) -> Duration {
        let pause = self.pause;
        self.state = HealthState::Suspended { until: now + pause };
        self.pause = (pause * 2).min(MAX_PAUSE);
        pause
    }
}
