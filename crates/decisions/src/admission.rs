//! Admission control: decides whether a submission is accepted.

use std::{fmt, num::ParseFloatError, str::FromStr, time::Duration};

use model::{
    Contract, ContractState, CustomerShare, DrainRate, RefusableWork, RefusalReason, SubmissionKind,
};

use crate::run_time::{EstimateSource, RunTimeEstimate};

/// The limits of an [`AdmissionPolicy`].
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// The largest percentage of the remaining time that the predicted wait may take.
    ///
    /// During a lasting overload, admission lets the wait grow until answers are only just in time, and half of the
    /// predictions are too short, so without a margin half of the answers would be late. Keeping a fifth in reserve
    /// covers the unevenness between dispatchers and entries.
    pub max_wait_percent: u32,
    /// The divisor applied to a run time that was not measured recently before a submission is refused because of it.
    ///
    /// Callers are known to declare run times that are up to a hundred times too long. If such work were refused
    /// because of its declared run time, it would never run and so never be measured.
    pub unmeasured_discount: u32,
    /// The saturation from which a job of a customer with many open tasks may be refused.
    ///
    /// When there is more work than slots for longer than a burst, everything that is accepted comes late. At two tasks
    /// a slot a new task waits one usual run time, which doubles its ideal response time.
    pub heavy_job_overload: Saturation,
    /// The saturation from which a job of a customer with few open tasks may be refused.
    ///
    /// Other customers must not be refused for the overload that one customer causes. The fair queue serves a customer
    /// with few open tasks early, so its jobs are still in time at twice the saturation.
    pub light_job_overload: Saturation,
    /// The saturation from which a request may be refused. Jobs are refused earlier, because a person waits for the
    /// answer to a request, at the roadside or at a school's door.
    pub request_overload: Saturation,
    /// The largest percentage of its granted concurrency at which a customer counts as having few open tasks.
    pub light_usage_percent: u32,
    /// The shortest retry-after time. Until a usual task has ended nothing has changed.
    pub min_retry_after: Duration,
    /// The longest retry-after time. Predictions beyond the longest usual response time are guesses.
    pub max_retry_after: Duration,
    /// The largest random addition to the retry-after time, as a percentage of it.
    ///
    /// Submissions of one burst that are refused at the same moment would otherwise come back as one burst. Half of the
    /// time spreads them over the period in which slots become free.
    pub retry_jitter_percent: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_wait_percent: 80,
            unmeasured_discount: 100,
            heavy_job_overload: Saturation(2.0),
            light_job_overload: Saturation(4.0),
            request_overload: Saturation(6.0),
            light_usage_percent: 25,
            min_retry_after: Duration::from_millis(200),
            max_retry_after: Duration::from_secs(30),
            retry_jitter_percent: 50,
        }
    }
}

/// The number of running and waiting tasks per slot. At 1 every slot is in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Saturation(pub f64);

impl Saturation {
    /// The saturation of `slots` slots with `tasks` tasks running or waiting; infinite without slots.
    pub fn new(tasks: u64, slots: u64) -> Self {
        match slots {
            0 => Self(f64::INFINITY),
            _ => Self(tasks as f64 / slots as f64),
        }
    }
}

impl fmt::Display for Saturation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Saturation {
    type Err = ParseFloatError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}

/// Predicts how long a customer's tasks wait for slots at one entry.
///
/// When one customer is far over its share, neither the total backlog nor the total number of slots predicts the wait.
/// With the total backlog, the other customers would be refused as late, though the fair queues serve them next. With
/// its own backlog divided by all slots, the large customer would be admitted, though the others get their share of the
/// slots. The sums are kept by the entry because work held back by a customer's concurrency limit waits at the entry
/// and appears in no dispatcher's queue.
#[derive(Clone, Copy, Debug)]
pub struct WaitEstimator {
    /// The expected run time of the customer's work that this entry has accepted and that has not started.
    pub pending_work: Duration,
    /// The customer's fair-queueing weight.
    pub share: CustomerShare,
    /// The sum of the shares of all customers with work in the last seconds, including this one. Counting only the
    /// customers with work at this moment would admit far more than a customer's share whenever the others pause.
    pub active_shares: u64,
    /// The rate at which the customer's backlog was started recently.
    pub drain_rate: DrainRate,
    /// The number of slots that this entry can expect to use: the reachable ones divided by the number of entries that
    /// place tasks on them.
    pub slots: f64,
}

impl WaitEstimator {
    /// The time until the customer's pending work has started, on its share of the slots or on more if it recently got
    /// more.
    pub fn predicted_wait(&self) -> Duration {
        let share = f64::from(self.share.0.max(1));
        let active_shares = (self.active_shares as f64).max(share);
        let fair_slots = self.slots * share / active_shares;
        // The queues serve a customer's jobs by deadline regardless of the entry, so an entry may temporarily get far
        // more than its part. Work admitted at that rate would be late once the other entries' turn comes.
        let recent_slots = self.drain_rate.slots().min(self.slots);
        let slots = fair_slots.max(recent_slots).max(MIN_SLOTS);
        self.pending_work.div_f64(slots)
    }
}

/// A lower bound on the number of slots of a customer, so that the predicted wait stays finite.
const MIN_SLOTS: f64 = 0.01;

/// The class of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkClass {
    /// Parallel tasks with one combined answer.
    Job,
    /// One non-idempotent task.
    Request,
}

impl From<&SubmissionKind> for WorkClass {
    fn from(kind: &SubmissionKind) -> Self {
        match kind {
            SubmissionKind::Job => Self::Job,
            SubmissionKind::Request(_) => Self::Request,
        }
    }
}

/// A submission and the load at its arrival.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionQuery<'a> {
    /// The customer's contract.
    pub contract: &'a Contract,
    /// Whether the submission is a job or a request.
    pub class: WorkClass,
    /// The number of tasks.
    pub tasks: u32,
    /// The longest expected run time of its tasks.
    pub longest_estimate: RunTimeEstimate,
    /// A quantile of the run time that grows with the number of tasks, so that one of them may well take that long.
    pub tail_run_time: Duration,
    /// The sum of the expected run times of its tasks.
    pub expected_work: Duration,
    /// The time from now within which the answer is due.
    pub deadline: Duration,
    /// The number of the customer's tasks that were accepted and have not ended.
    pub open_tasks: u32,
    /// The sum of the expected run times of the open tasks.
    pub open_work: Duration,
    /// The number of tasks that the customer may run at once through this entry.
    pub granted_concurrency: u32,
    /// The predicted time that a task of this customer waits for a slot.
    pub predicted_wait: Duration,
    /// The saturation of the reachable slots.
    pub saturation: Saturation,
}

/// The result of [`AdmissionPolicy::decide`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The submission is accepted.
    Admit,
    /// The submission is refused and none of its tasks run.
    Refuse {
        /// Why it is refused.
        reason: RefusalReason,
        /// The time after which a retry may succeed, with jitter. `None` if no retry can succeed.
        retry_after: Option<Duration>,
    },
}

/// Decides on each submission before any of its tasks is placed.
///
/// When there is more work than the slots can finish in time, accepted work that comes late takes slots from work that
/// could have been in time, and its caller learns of it only at the deadline. Work that cannot be answered in time is
/// therefore refused at once. Under overload, the work that its contract allows to be refused goes first.
///
/// Admitted work that becomes overdue while it waits is dropped by the queue.
#[derive(Clone, Debug, Default)]
pub struct AdmissionPolicy {
    settings: AdmissionSettings,
}

impl AdmissionPolicy {
    /// Creates a policy with the given limits.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self { settings }
    }

    /// Decides on one submission. Draws from `rng` only for the jitter of a retry-after time.
    pub fn decide(&self, query: &AdmissionQuery<'_>, rng: &mut fastrand::Rng) -> AdmissionDecision {
        if let Some(reason) = self.permanent_refusal(query) {
            return AdmissionDecision::Refuse {
                reason,
                retry_after: None,
            };
        }
        let Some((reason, retry_after)) = self.temporary_refusal(query) else {
            return AdmissionDecision::Admit;
        };
        AdmissionDecision::Refuse {
            reason,
            retry_after: Some(self.add_jitter(retry_after, rng)),
        }
    }

    /// Returns why the submission would be refused at any time, whatever the load.
    fn permanent_refusal(&self, query: &AdmissionQuery<'_>) -> Option<RefusalReason> {
        let contract = query.contract;
        if contract.state == ContractState::Retired {
            return Some(RefusalReason::RetiredCustomer);
        }
        if query.tasks > contract.max_tasks {
            return Some(RefusalReason::TooManyTasks);
        }
        if query.deadline.is_zero() || query.deadline > contract.answer_within() {
            return Some(RefusalReason::WrongDeadline);
        }
        // Assumes that the customer uses all of its concurrency for this submission alone. A submission that is too
        // long even so would use slots for as long as its caller waits and then fail.
        let shortest = self.makespan(query, Duration::ZERO, contract.concurrency);
        if shortest > query.deadline {
            return Some(RefusalReason::CanNeverRun);
        }
        None
    }

    /// Returns why the submission is refused now, and the retry-after time without jitter.
    fn temporary_refusal(&self, query: &AdmissionQuery<'_>) -> Option<(RefusalReason, Duration)> {
        if query.saturation.0.is_infinite() {
            return Some((RefusalReason::NoCapacity, self.settings.min_retry_after));
        }
        // The customer's own limit. Other customers' work does not matter here, so the reason differs from that of an
        // overload.
        if query.granted_concurrency == 0 {
            return Some((
                RefusalReason::OverConcurrency,
                self.settings.min_retry_after,
            ));
        }
        let own_makespan = self.makespan(query, query.open_work, query.granted_concurrency);
        let own_wait = own_makespan.saturating_sub(self.longest_run_time(query));
        if let Some(excess) = self.excess_wait(own_wait, query) {
            return Some((RefusalReason::OverConcurrency, excess));
        }
        if let Some(excess) = self.excess_wait(query.predicted_wait, query) {
            return Some((RefusalReason::PredictedLate, excess));
        }
        if query.saturation >= self.overload_threshold(query)? {
            return Some((RefusalReason::Overloaded, query.predicted_wait));
        }
        None
    }

    /// Returns by how much `wait` exceeds the permitted part of the remaining time.
    fn excess_wait(&self, wait: Duration, query: &AdmissionQuery<'_>) -> Option<Duration> {
        let left = query.deadline.saturating_sub(self.reserved_run_time(query));
        let excess = wait.saturating_sub(left * self.settings.max_wait_percent / 100);
        (!excess.is_zero()).then_some(excess)
    }

    /// The time reserved for the last task to run. A tail run time that is not shorter than the whole deadline is
    /// ignored: no wait would be short enough for it, so every submission of that kind would be refused.
    fn reserved_run_time(&self, query: &AdmissionQuery<'_>) -> Duration {
        let longest = self.longest_run_time(query);
        match query.tail_run_time < query.deadline {
            true => longest.max(self.discounted(query, query.tail_run_time)),
            false => longest,
        }
    }

    /// The saturation from which the submission may be refused under its contract; `None` if the contract does not
    /// allow it.
    fn overload_threshold(&self, query: &AdmissionQuery<'_>) -> Option<Saturation> {
        let light_limit =
            u64::from(query.granted_concurrency) * u64::from(self.settings.light_usage_percent);
        let is_light = u64::from(query.open_tasks) * 100 <= light_limit;
        match (query.contract.may_refuse, query.class) {
            (RefusableWork::Nothing, _) => None,
            (RefusableWork::Jobs, WorkClass::Request) => None,
            (RefusableWork::Everything, WorkClass::Request) => Some(self.settings.request_overload),
            (_, WorkClass::Job) if is_light => Some(self.settings.light_job_overload),
            (_, WorkClass::Job) => Some(self.settings.heavy_job_overload),
        }
    }

    /// The shortest time in which `concurrency` parallel tasks finish `earlier_work` and the work of the submission.
    fn makespan(
        &self,
        query: &AdmissionQuery<'_>,
        earlier_work: Duration,
        concurrency: u32,
    ) -> Duration {
        let concurrency = concurrency.max(1);
        let work = self.discounted(query, query.expected_work);
        let all = earlier_work.saturating_add(work) / concurrency;
        all.max(self.longest_run_time(query))
    }

    fn longest_run_time(&self, query: &AdmissionQuery<'_>) -> Duration {
        self.discounted(query, query.longest_estimate.run_time)
    }

    /// Returns the part of an expected run time that is certain enough to refuse by: a run time that was not measured
    /// recently is divided by the discount.
    fn discounted(&self, query: &AdmissionQuery<'_>, expected: Duration) -> Duration {
        match query.longest_estimate.source {
            EstimateSource::Measured => expected,
            EstimateSource::Assumed | EstimateSource::Declared | EstimateSource::Stale => {
                expected / self.settings.unmeasured_discount.max(1)
            }
        }
    }

    fn add_jitter(&self, retry_after: Duration, rng: &mut fastrand::Rng) -> Duration {
        let retry_after =
            retry_after.clamp(self.settings.min_retry_after, self.settings.max_retry_after);
        let jitter = f64::from(self.settings.retry_jitter_percent) / 100.0;
        retry_after.mul_f64(1.0 + rng.f64() * jitter)
    }
}
