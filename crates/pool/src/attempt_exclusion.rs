//! What keeps the attempts at one job apart when nobody hears that the customer has left one of them.
//!
//! A customer whose connection breaks submits its job again after a pause. Its entry may never learn of the break: a proxy
//! may keep the connection open. Nothing then ends the attempt, so its runs end by themselves: no lease lasts until the
//! customer can come again. Jobs that may take longer than that register their attempts in the store before that time,
//! and their owners look for registrations of other attempts before they start anything.

use std::time::{Duration, Instant};

use jobs::{critical_path, JobAttemptId, JobId, JobRequest};

/// A registration of an attempt in the store, which other owners find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptRegistration {
    /// The job.
    pub job: JobId,
    /// The attempt. None if its id is not known.
    pub attempt: Option<JobAttemptId>,
    /// Tells this admission of the job from earlier ones at the same pool. The caller returns it with the answer.
    pub admission: u64,
    /// How long runs of the job may be left.
    pub lifetime: Duration,
}

/// What is known of other attempts at a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptLookup {
    /// No run of another attempt is left, and none can begin.
    Clear,
    /// Runs of another attempt may be left until this time.
    Until(Instant),
    /// Neither the store nor the owners of all pools have answered.
    Unknown,
}

/// Whether a pool may have runs of another attempt at a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptPresence {
    /// The pool has no run of another attempt.
    Absent,
    /// The pool has another attempt at the job, or a run that may be of one.
    Present,
    /// Workers of the pool may have runs of the job that a former owner ordered.
    Unknown,
}

/// The longest time for which a request is under way to the process that reads it, and for which a run outlives its
/// lease.
const DELIVERY_TIME: Duration = Duration::from_millis(30);

/// How long before the leases end the runs of an attempt are ordered to stop. The runs beside them would lose the lease
/// too if the stops were not answered by then.
const STOP_LEAD: Duration = Duration::from_millis(100);

/// How long before the leases would end an attempt with a waiting task is registered. Longer than the longest lease and
/// two calls to the store, since the task fits only on workers whose leases end before.
const WAITING_REGISTRATION_LEAD: Duration = Duration::from_millis(900);

/// The same for an attempt whose tasks all run. Longer than a call to a slow store; most runs are over before.
const RUNNING_REGISTRATION_LEAD: Duration = Duration::from_millis(700);

/// The time after which a registration without an answer is tried again.
const REGISTRATION_RETRY: Duration = Duration::from_millis(250);

/// How long a registration lasts. If the owner of the attempt is lost, the customer's next attempt waits for that long.
const REGISTRATION_LIFETIME: Duration = Duration::from_millis(2_000);

/// How long an attempt waits for the runs of another one to be over. A customer that is told to come again waits longer
/// than that.
pub(crate) const MAX_ATTEMPT_WAIT: Duration = Duration::from_millis(700);

/// The part of the customers' pause from which on a job, by its customer's estimate, may outlast the pause: its run may take
/// twice the estimate and wait before. Shorter jobs lose more by the wait for a lookup under overload than by the limit.
const LONG_JOB_SHARE: f64 = 0.4;

/// Whether a job may take longer than its customer's pause. All owners have to answer alike for all attempts at a job, so
/// only what the customer has sent counts.
pub(crate) fn may_outlast_retry(request: &JobRequest, customer_retry: Duration) -> bool {
    let chain = critical_path(&request.steps, |_, step| step.estimate);
    !request.kept && chain >= customer_retry.mul_f64(LONG_JOB_SHARE)
}

/// The time until all runs of an attempt have to be over if the customer does not come again within `retry_in`.
pub(crate) fn run_time_limit(retry_in: Duration) -> Duration {
    retry_in.saturating_sub(DELIVERY_TIME)
}

/// Until when the runs of a job may last, and what is known of other attempts at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunLimit {
    /// No lease of the job's runs lasts longer.
    pub(crate) until: Instant,
    pub(crate) state: ExclusionState,
    /// The number of the job's admission.
    pub(crate) admission: u64,
}

/// What an owner knows of other attempts at a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExclusionState {
    /// The job does not outlast its customer's pause, so the runs of other attempts are over.
    Short,
    /// A lookup is under way.
    LookingUp,
    /// Runs of another attempt may be left until this time. Then it is looked up again.
    Waiting(Instant),
    /// No other attempt has runs. The time is that of the last try to register this one.
    Clear(Option<Instant>),
}

impl RunLimit {
    /// Whether tasks may be placed.
    pub(crate) fn may_place(&self) -> bool {
        matches!(self.state, ExclusionState::Short | ExclusionState::Clear(_))
    }

    /// When the runs of the job are ordered to stop.
    pub(crate) fn stop_at(&self) -> Instant {
        self.until.checked_sub(STOP_LEAD).unwrap_or(self.until)
    }

    /// Whether an attempt whose customer waits until `deadline` has to be registered now. `waits` tells whether it has tasks
    /// that are not placed.
    pub(crate) fn needs_registration(&self, now: Instant, deadline: Instant, waits: bool) -> bool {
        let ExclusionState::Clear(tried) = self.state else {
            return false;
        };
        let lead = match waits {
            true => WAITING_REGISTRATION_LEAD,
            false => RUNNING_REGISTRATION_LEAD,
        };
        // A registration never lasts longer than the customer waits, so another one would gain nothing.
        let is_due = self.until < deadline && now + lead >= self.until;
        is_due && tried.is_none_or(|tried| now >= tried + REGISTRATION_RETRY)
    }

    /// The lifetime of a registration of a job that its customer awaits until `deadline`.
    pub(crate) fn registration_lifetime(now: Instant, deadline: Instant) -> Duration {
        let left = deadline.saturating_duration_since(now) + STOP_LEAD;
        left.min(REGISTRATION_LIFETIME)
    }
}

/// The time that the runs of a job have until they are ordered to stop.
pub(crate) fn time_until_stop(retry_in: Duration) -> Duration {
    run_time_limit(retry_in).saturating_sub(STOP_LEAD)
}
