//! Whether a submission is taken on.

use std::{fmt, num::ParseFloatError, str::FromStr, time::Duration};

use model::{Contract, ContractState, CustomerShare, RefusableWork, RefusalReason, SubmissionKind};

use crate::{
    drain_rate::DrainRate,
    run_time::{EstimateSource, RunTimeEstimate},
};

/// The limits of an [`AdmissionPolicy`].
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// The part of the time left that waiting may be predicted to take, as a percentage.
    ///
    /// Load: an overload that lasts. Harm: admission lets the wait grow to where an answer is only just in time, and
    /// half of the predictions are too short, so half of the answers come late. Reason: with a fifth kept back the
    /// unevenness between dispatchers and entries is covered.
    pub max_wait_percent: u32,
    /// How far off a run time that was not measured lately may be before it is believed.
    ///
    /// Load: run times declared a hundred times too long. Harm: refused by the declared time, such work would never
    /// run and never be measured. Reason: a hundredfold is what callers are known to be off by.
    pub unmeasured_discount: u32,
    /// The saturation from which a job of a customer with much running may be refused.
    ///
    /// Load: more work than slots for longer than a burst. Harm: everything that is accepted comes late. Reason: at
    /// two tasks a slot a new task waits one usual run time, which is twice its ideal answer.
    pub heavy_job_overload: Saturation,
    /// The saturation from which a job of a customer with little running may be refused.
    ///
    /// Load: the overload of one customer. Harm: the others' work is refused for it. Reason: the fair queue serves
    /// a customer with little running early, so its jobs are still in time at twice the saturation.
    pub light_job_overload: Saturation,
    /// The saturation from which a request may be refused. Reason: a caller waits for it at the roadside or at the
    /// school's door, so jobs go first.
    pub request_overload: Saturation,
    /// Up to this percentage of its granted concurrency a customer has little running.
    pub light_usage_percent: u32,
    /// The shortest time to come back in. Reason: sooner than a usual task ends nothing has changed.
    pub min_retry_after: Duration,
    /// The longest time to come back in. Reason: predictions beyond the longest usual answer are guesses.
    pub max_retry_after: Duration,
    /// The percentage by which the time to come back in is drawn out at random.
    ///
    /// Load: a burst of which a part was refused at one moment. Harm: it would come back as one burst. Reason: half
    /// the time spreads it over the time in which the slots get free.
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

/// Tasks that run or wait for each slot. At 1 every slot is in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Saturation(pub f64);

impl Saturation {
    /// The saturation of `slots` slots with `tasks` running or waiting.
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

/// What an entry knows of the competition for slots when a customer asks.
///
/// Load: one customer far over its share. Harm: by the whole backlog the others would be told that they are late and
/// be refused, though the fair queues serve them next; by its own backlog over all slots the big one would be told
/// that it is in time, though the others have their part of the slots. Reason for the entry's own sums: what a
/// customer's limit holds back waits at the entry, and no dispatcher's queue shows it.
#[derive(Clone, Copy, Debug)]
pub struct WaitEstimator {
    /// The customer's work that this entry accepted and that has not started.
    pub pending_work: Duration,
    /// The customer's share.
    pub share: CustomerShare,
    /// The shares of all customers with work in the last seconds, this one included. By those of this moment alone,
    /// a moment without the others would let a customer in for far more than its share.
    pub active_shares: u64,
    /// What the customer's backlog got lately.
    pub drain_rate: DrainRate,
    /// The slots that this entry's work competes for: those reachable, divided by the entries that place on them.
    pub slots: f64,
}

impl WaitEstimator {
    /// The time until the customer's own work has started: on its share of the slots, or on more if it got more
    /// lately.
    pub fn predicted_wait(&self) -> Duration {
        let share = f64::from(self.share.0.max(1));
        let active_shares = (self.active_shares as f64).max(share);
        let fair_slots = self.slots * share / active_shares;
        // The queues serve a customer's jobs by their deadlines, whichever entry they are from, so an entry may for
        // a while get far more than its part. Admitting by that would be late when the others' turn comes.
        let recent_slots = self.drain_rate.slots().min(self.slots);
        let slots = fair_slots.max(recent_slots).max(MIN_SLOTS);
        self.pending_work.div_f64(slots)
    }
}

/// The slots that a customer is taken to have at the least, so that a prediction stays finite.
const MIN_SLOTS: f64 = 0.01;

/// What kind of submission asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkClass {
    /// Parallel tasks with one answer.
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

/// A submission and the picture at its arrival.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionQuery<'a> {
    /// The customer's contract.
    pub contract: &'a Contract,
    /// Job or request.
    pub class: WorkClass,
    /// The number of tasks.
    pub tasks: u32,
    /// The largest run time expected of any of them.
    pub longest_estimate: RunTimeEstimate,
    /// The run time that one of the tasks may well take: a quantile that suits their number.
    pub tail_run_time: Duration,
    /// The sum of the expected run times.
    pub expected_work: Duration,
    /// The time within which the answer is due.
    pub deadline: Duration,
    /// The customer's tasks that were accepted and have not ended.
    pub open_tasks: u32,
    /// The sum of their expected run times.
    pub open_work: Duration,
    /// How many tasks of the customer may run at once, as granted to this entry.
    pub granted: u32,
    /// The time that a task of this customer would wait for a slot.
    pub predicted_wait: Duration,
    /// How full the reachable slots are.
    pub saturation: Saturation,
}

/// The decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The submission is taken on.
    Admit,
    /// Nothing of it is run.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When it is worth coming back. `None` where coming back does not help.
        retry_after: Option<Duration>,
    },
}

/// Decides on each submission before anything of it is placed.
///
/// Load: more work than the slots can do in time. Harm: work that is accepted and comes late takes its slots from
/// work that could have been in time, and the caller learns of it only at the deadline. What cannot be answered in
/// time is refused at once; under overload, what the contract lets be refused goes first.
///
/// What was admitted and comes due in the queue is dropped there.
#[derive(Clone, Debug, Default)]
pub struct AdmissionPolicy {
    settings: AdmissionSettings,
}

impl AdmissionPolicy {
    /// A policy with these limits.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self { settings }
    }

    /// Decides on one submission.
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

    /// Why the submission would be refused at any time.
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
        // With all that the contract allows to itself. A submission that fails this would fail after using slots
        // for as long as its caller waits.
        let shortest = self.makespan(query, Duration::ZERO, contract.concurrency);
        if shortest > query.deadline {
            return Some(RefusalReason::CanNeverRun);
        }
        None
    }

    /// Why the submission is refused at this time, and when that may have changed.
    fn temporary_refusal(&self, query: &AdmissionQuery<'_>) -> Option<(RefusalReason, Duration)> {
        if query.saturation.0.is_infinite() {
            return Some((RefusalReason::NoCapacity, self.settings.min_retry_after));
        }
        // The customer's own limit. The work of others has no part in it, so it is told apart from an overload.
        if query.granted == 0 {
            return Some((
                RefusalReason::OverConcurrency,
                self.settings.min_retry_after,
            ));
        }
        let own_makespan = self.makespan(query, query.open_work, query.granted);
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

    /// By how much a wait is longer than its part of the time left.
    fn excess_wait(&self, wait: Duration, query: &AdmissionQuery<'_>) -> Option<Duration> {
        let left = query.deadline.saturating_sub(self.reserved_run_time(query));
        let excess = wait.saturating_sub(left * self.settings.max_wait_percent / 100);
        (!excess.is_zero()).then_some(excess)
    }

    /// The time to keep for the last task to run. A rare run time that does not fit the deadline at all is left out:
    /// no wait is short enough for it, and by it every submission of the kind would be refused.
    fn reserved_run_time(&self, query: &AdmissionQuery<'_>) -> Duration {
        let longest = self.longest_run_time(query);
        match query.tail_run_time < query.deadline {
            true => longest.max(self.discounted(query, query.tail_run_time)),
            false => longest,
        }
    }

    /// The saturation from which the contract's word on refusable work is used; `None` where it allows none.
    fn overload_threshold(&self, query: &AdmissionQuery<'_>) -> Option<Saturation> {
        let granted = u64::from(query.granted) * u64::from(self.settings.light_usage_percent);
        let is_light = u64::from(query.open_tasks) * 100 <= granted;
        match (query.contract.may_refuse, query.class) {
            (RefusableWork::Nothing, _) => None,
            (RefusableWork::Jobs, WorkClass::Request) => None,
            (RefusableWork::Everything, WorkClass::Request) => Some(self.settings.request_overload),
            (_, WorkClass::Job) if is_light => Some(self.settings.light_job_overload),
            (_, WorkClass::Job) => Some(self.settings.heavy_job_overload),
        }
    }

    /// The shortest time in which `concurrency` tasks at once get through the work before and the submission's own.
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

    /// The part of an expected time that is certain enough to refuse by.
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
