//! Keeps the runs of a job apart from those of other attempts at it, of which nobody may have told this owner; see
//! [`crate::attempt_exclusion`].

use std::time::{Duration, Instant};

use jobs::{InstanceId, JobAttemptId, JobId, JobOutcome, JobRequest, JobTerms, RefusalKind};

use super::{WorkerPool, MIN_RETRY_AFTER};
use crate::{
    action::{PoolAction, PoolEvent},
    attempt_exclusion::{
        may_outlast_retry, run_time_limit, time_until_stop, AttemptLookup, AttemptPresence,
        AttemptRegistration, ExclusionState, RunLimit, MAX_ATTEMPT_WAIT,
    },
    job::TrackedJob,
    kept::TAKEOVER_HOLD_TIME,
    worker::{TrackedRun, MIN_LIMITED_LEASE},
};

impl WorkerPool {
    /// Handles what was found of other attempts at a job, in answer to [`PoolAction::FindAttempts`].
    pub fn on_attempt_lookup(&mut self, now: Instant, id: JobId, lookup: AttemptLookup) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(limit) = job.run_limit.as_mut() else {
            return;
        };
        if limit.state != ExclusionState::LookingUp {
            return;
        }
        let left = match lookup {
            AttemptLookup::Until(until) => until.saturating_duration_since(now),
            AttemptLookup::Clear | AttemptLookup::Unknown => Duration::ZERO,
        };
        self.events.push(PoolEvent::AttemptsLookedUp {
            job: id,
            lookup,
            left,
        });
        match lookup {
            AttemptLookup::Clear => limit.state = ExclusionState::Clear(None),
            AttemptLookup::Until(until) if left <= MAX_ATTEMPT_WAIT && until < limit.stop_at() => {
                limit.state = ExclusionState::Waiting(until);
            }
            AttemptLookup::Until(_) => self.finish(now, id, JobOutcome::GivenUp),
            AttemptLookup::Unknown => self.finish(now, id, NOT_KNOWN),
        }
        self.schedule(now);
    }

    /// Handles that an attempt was registered so that no other one starts before `until`, or that this failed. An answer to
    /// a registration of an earlier admission of the job does not count: its row is about to be removed.
    pub fn on_attempt_registered(
        &mut self,
        now: Instant,
        order: &AttemptRegistration,
        until: Option<Instant>,
    ) {
        match until {
            Some(_) => self.registration_backoff.record_success(),
            None => self.registration_backoff.record_failure(now),
        }
        let id = order.job;
        let job = self.jobs.get_mut(&id);
        let limit = job.and_then(|job| job.run_limit.as_mut());
        let Some(limit) = limit.filter(|limit| limit.admission == order.admission) else {
            return;
        };
        // Later, another attempt may have looked before the registration took effect.
        let in_time = until.filter(|_| now < limit.until);
        if let Some(until) = in_time {
            limit.until = limit.until.max(until);
        }
        let until = limit.until;
        self.events.push(PoolEvent::AttemptRegistered {
            job: id,
            registered: in_time.is_some(),
            left: until.saturating_duration_since(now),
        });
        let runs_until = self.owner_millis(until);
        for worker in self.workers.values_mut() {
            for run in worker.runs.iter_mut().filter(|run| run.task.job == id) {
                run.extend_limit(runs_until);
            }
        }
        self.schedule(now);
    }

    /// Whether this pool may have runs of a job that are not of `attempt`, for the owner of another pool that cannot ask the
    /// store.
    pub fn attempt_presence(
        &self,
        now: Instant,
        id: JobId,
        attempt: Option<JobAttemptId>,
    ) -> AttemptPresence {
        let is_tracked = self.jobs.contains_key(&id) || self.has_runs_of(id);
        let is_other = is_tracked && !JobAttemptId::is_same(self.tracked_attempt(id), attempt);
        if is_other || self.may_have_unknown_runs_of(now, id) {
            return AttemptPresence::Present;
        }
        self.presence_of_unknown_runs(now)
    }

    /// As [`Self::attempt_presence`], for the attempt that this pool itself has admitted and not begun.
    pub fn own_presence(&self, now: Instant, id: JobId) -> AttemptPresence {
        match self.may_have_runs_of(now, id) {
            true => AttemptPresence::Present,
            false => self.presence_of_unknown_runs(now),
        }
    }

    /// Absent if no run of a former owner can be left of which this owner does not know.
    fn presence_of_unknown_runs(&self, now: Instant) -> AttemptPresence {
        let all_listed =
            self.all_workers_known && self.workers.values().all(|worker| worker.has_listed());
        let leases_over = now >= self.sole_owner_since + TAKEOVER_HOLD_TIME;
        match !self.predecessor_active && (all_listed || leases_over) {
            true => AttemptPresence::Absent,
            false => AttemptPresence::Unknown,
        }
    }

    /// The attempt that the job and the runs of it belong to. None if it is not known.
    fn tracked_attempt(&self, id: JobId) -> Option<JobAttemptId> {
        match self.jobs.get(&id) {
            Some(job) => job.terms.attempt_id,
            None => self.ended_attempts.get(&id)?.attempt,
        }
    }

    /// Whether a worker of the pool, or one that has left it, may have a run of the job.
    pub(super) fn may_have_runs_of(&self, now: Instant, id: JobId) -> bool {
        self.may_have_unknown_runs_of(now, id) || self.has_runs_of(id)
    }

    /// Whether there may be a run of the job whose attempt is not known: one that another owner ordered, or one on a worker
    /// that has left the pool.
    fn may_have_unknown_runs_of(&self, now: Instant, id: JobId) -> bool {
        let mut workers = self.workers.values();
        let is_foreign = workers.any(|worker| {
            let mut foreign = worker.foreign_runs.iter();
            foreign.any(|(task, _)| task.job == id)
        });
        let is_lost = self.lost_runs.get(&id).is_some_and(|until| now < *until);
        is_foreign || is_lost
    }

    /// Limits the runs of a job that has just been admitted, and has other attempts looked up if it may outlast its
    /// customer's pause.
    pub(super) fn limit_runs(&mut self, now: Instant, job: &mut TrackedJob) {
        self.admissions += 1;
        let state = match may_outlast_retry(&job.request, self.settings.customer_retry) {
            true => {
                self.actions.push(PoolAction::FindAttempts {
                    job: job.request.id,
                    attempt: job.terms.attempt_id,
                });
                ExclusionState::LookingUp
            }
            false => ExclusionState::Short,
        };
        job.run_limit = Some(RunLimit {
            until: now + run_time_limit(self.retry_in(&job.terms)),
            state,
            admission: self.admissions,
        });
    }

    fn retry_in(&self, terms: &JobTerms) -> Duration {
        let since_arrival = self.settings.customer_retry.saturating_sub(terms.waited);
        terms.retry_in.unwrap_or(since_arrival)
    }

    /// The latest time after its arrival at which a job can end with an answer.
    pub(super) fn latest_end(
        &self,
        now: Instant,
        request: &JobRequest,
        terms: &JobTerms,
    ) -> Duration {
        let may_register = may_outlast_retry(request, self.settings.customer_retry)
            && !self.registration_backoff.is_active(now);
        let is_limited = !request.kept && !may_register;
        let left = match is_limited {
            true => terms.time_left.min(time_until_stop(self.retry_in(terms))),
            false => terms.time_left,
        };
        terms.waited + left
    }

    /// Whether the tasks of a job that is not kept may be placed.
    pub(super) fn may_run_attempt(&self, now: Instant, job: &TrackedJob) -> bool {
        job.run_limit
            .is_none_or(|limit| limit.may_place() && now + MIN_LIMITED_LEASE <= limit.until)
    }

    /// When the runs of a job have to be over, on the owner's clock in milliseconds.
    pub(super) fn runs_until(&self, job: &TrackedJob) -> Option<u64> {
        job.run_limit.map(|limit| self.owner_millis(limit.until))
    }

    /// Registers the attempts whose runs may outlast their customers' pause, and looks up again the attempts that another
    /// one waits for.
    pub(super) fn tick_exclusions(&mut self, now: Instant) {
        self.lost_runs.retain(|_, until| now < *until);
        for (id, job) in &mut self.jobs {
            let (attempt, waits) = (job.terms.attempt_id, job.has_unplaced());
            let Some(limit) = job.run_limit.as_mut() else {
                continue;
            };
            if matches!(limit.state, ExclusionState::Waiting(until) if now >= until) {
                limit.state = ExclusionState::LookingUp;
                self.actions
                    .push(PoolAction::FindAttempts { job: *id, attempt });
            }
            if !limit.needs_registration(now, job.deadline, waits) {
                continue;
            }
            limit.state = ExclusionState::Clear(Some(now));
            self.registered_jobs.insert(*id);
            self.actions
                .push(PoolAction::RegisterAttempt(AttemptRegistration {
                    job: *id,
                    attempt,
                    admission: limit.admission,
                    lifetime: RunLimit::registration_lifetime(now, job.deadline),
                }));
        }
    }

    /// Removes the registrations of a job whose runs are over.
    pub(super) fn remove_registrations(&mut self, id: JobId) {
        if self.registered_jobs.remove(&id) {
            self.actions.push(PoolAction::RemoveRegistrations(id));
        }
    }

    /// Notes the runs on a worker that leaves the pool. They last until their leases end, and so do their registrations.
    pub(super) fn note_lost_runs(&mut self, now: Instant, runs: &[TrackedRun]) {
        for run in runs {
            let limit = self.jobs.get(&run.task.job).and_then(|job| job.run_limit);
            let until = limit.map_or(now + self.settings.customer_retry, |limit| limit.until);
            self.lost_runs.insert(run.task.job, until);
            self.registered_jobs.remove(&run.task.job);
        }
    }

    /// Notes the longest lease that a former owner may have granted to a worker that has answered for the first time.
    pub(super) fn note_former_leases(&mut self, instance: &InstanceId) {
        let lease = self.settings.lease;
        if let Some(worker) = self.workers.get_mut(instance) {
            worker.former_lease_end = worker.listed_clock.plus(lease);
        }
    }
}

/// The refusal of a job of which no process could say whether another attempt has runs.
const NOT_KNOWN: JobOutcome = JobOutcome::Refused {
    kind: RefusalKind::NotServing,
    retry_after: MIN_RETRY_AFTER,
    fits: 0,
};
