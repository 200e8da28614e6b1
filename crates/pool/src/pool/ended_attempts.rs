//! How long the runs of ended attempts outlive them.
//!
//! A customer whose attempt has ended without an answer submits its job again elsewhere, so the time from the end of a
//! job to the end of its last run has to stay below the customer's pause. This owner is the only one that can measure
//! it.

use std::time::Instant;

use jobs::{JobAttemptId, JobId};

use super::WorkerPool;
use crate::action::PoolEvent;

/// An attempt that has ended before its runs.
pub(super) struct EndedAttempt {
    /// The attempt. None if its id is not known.
    pub(super) attempt: Option<JobAttemptId>,
    ended: Instant,
}

impl WorkerPool {
    /// Notes that a job has ended, if runs of it are left that have to stop.
    pub(super) fn watch_ended_attempt(
        &mut self,
        now: Instant,
        job: JobId,
        attempt: Option<JobAttemptId>,
    ) {
        if self.has_runs_of(job) {
            let ended = EndedAttempt {
                attempt,
                ended: now,
            };
            self.ended_attempts.insert(job, ended);
        } else {
            self.remove_registrations(job);
        }
    }

    /// Reports an ended job whose last run record has just been removed. Runs of other jobs cost one look-up.
    pub(super) fn report_attempt_over(&mut self, now: Instant, job: JobId) {
        let Some(ended) = self.ended_attempts.get(&job).map(|attempt| attempt.ended) else {
            return;
        };
        if self.has_runs_of(job) {
            return;
        }
        self.ended_attempts.remove(&job);
        self.remove_registrations(job);
        let took = now.saturating_duration_since(ended);
        self.events.push(PoolEvent::AttemptOver { job, took });
    }

    /// Reports the ended jobs whose last run records were removed together with their worker.
    pub(super) fn report_attempts_over(&mut self, now: Instant) {
        let watched: Vec<JobId> = self.ended_attempts.keys().copied().collect();
        for job in watched {
            self.report_attempt_over(now, job);
        }
    }

    /// Whether any worker has a run record of the job.
    pub(super) fn has_runs_of(&self, job: JobId) -> bool {
        let mut workers = self.workers.values();
        workers.any(|worker| worker.run_count_of(job) > 0)
    }
}
