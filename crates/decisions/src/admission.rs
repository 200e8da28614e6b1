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
    pub wait_percent: u32,
    /// How far off a run time that was not measured lately may be before it is believed.
    ///
    /// Load: run times declared a hundred times too long. Harm: refused by the declared time, such work would never
    /// run and never be measured. Reason: a hundredfold is what callers are known to be off by.
    pub unmeasured_slack: u32,
    /// The saturation from which a job of a customer with much running may be refused.
    ///
    /// Load: more work than slots for longer than a burst. Harm: everything that is accepted comes late. Reason: at
    /// two tasks a slot a new task waits one usual run time, which is twice its ideal answer.
    pub heavy_jobs_from: Saturation,
    /// The saturation from which a job of a customer with little running may be refused.
    ///
    /// Load: the overload of one customer. Harm: the others' work is refused for it. Reason: the fair queue serves
    /// a customer with little running early, so its jobs are still in time at twice the saturation.
    pub light_jobs_from: Saturation,
    /// The saturation from which a request may be refused. Reason: a caller waits for it at the roadside or at the
    /// school's door, so jobs go first.
    pub requests_from: Saturation,
    /// Up to this percentage of its granted concurrency a customer has little running.
    pub light_percent: u32,
    /// The shortest time to come back in. Reason: sooner than a usual task ends nothing has changed.
    pub shortest_retry: Duration,
    /// The longest time to come back in. Reason: predictions beyond the longest usual answer are guesses.
    pub longest_retry: Duration,
    /// The percentage by which the time to come back in is drawn out at random.
    ///
    /// Load: a burst of which a part was refused at one moment. Harm: it would come back as one burst. Reason: half
    /// the time spreads it over the time in which the slots get free.
    pub retry_spread_percent: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            wait_percent: 80,
            unmeasured_slack: 100,
            heavy_jobs_from: Saturation(2.0),
            light_jobs_from: Saturation(4.0),
            requests_from: Saturation(6.0),
            light_percent: 25,
            shortest_retry: Duration::from_millis(200),
            longest_retry: Duration::from_secs(30),
            retry_spread_percent: 50,
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
pub struct WaitPicture {
    /// The customer's work that this entry accepted and that has not started.
    pub own_work: Duration,
    /// The customer's share.
    pub share: CustomerShare,
    /// The shares of all customers with work in the last seconds, this one included. By those of this moment alone,
    /// a moment without the others would let a customer in for far more than its share.
    pub all_shares: u64,
    /// What the customer's backlog got lately.
    pub drain: DrainRate,
    /// The slots that this entry's work competes for: those reachable, divided by the entries that place on them.
    pub slots: f64,
}

impl WaitPicture {
    /// The time until the customer's own work has started: on its share of the slots, or on more if it got more
    /// lately.
    pub fn predicted_wait(&self) -> Duration {
        let share = f64::from(self.share.0.max(1));
        let all_shares = (self.all_shares as f64).max(share);
        let fair = self.slots * share / all_shares;
        // The queues serve a customer's jobs by their deadlines, whichever entry they are from, so an entry may for
        // a while get far more than its part. Admitting by that would be late when the others' turn comes.
        let lately = self.drain.slots().min(self.slots);
        let slots = fair.max(lately).max(MIN_SLOTS);
        self.own_work.div_f64(slots)
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
    pub largest: RunTimeEstimate,
    /// The run time that one of the tasks may well take: a quantile that suits their number.
    pub slowest: Duration,
    /// The sum of the expected run times.
    pub expected_work: Duration,
    /// The time within which the answer is due.
    pub deadline: Duration,
    /// The customer's tasks that were accepted and have not ended.
    pub running: u32,
    /// The sum of their expected run times.
    pub running_work: Duration,
    /// How many tasks of the customer may run at once, as granted to this entry.
    pub granted: u32,
    /// The time that a task of this customer would wait for a slot.
    pub predicted_wait: Duration,
    /// How full the reachable slots are.
    pub saturation: Saturation,
}

/// The decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict {
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
    pub fn decide(&self, query: &AdmissionQuery<'_>, rng: &mut fastrand::Rng) -> AdmissionVerdict {
        if let Some(reason) = self.never(query) {
            return AdmissionVerdict::Refuse {
                reason,
                retry_after: None,
            };
        }
        let Some((reason, come_back)) = self.not_now(query) else {
            return AdmissionVerdict::Admit;
        };
        AdmissionVerdict::Refuse {
            reason,
            retry_after: Some(self.spread(come_back, rng)),
        }
    }

    /// Why the submission would be refused at any time.
    fn never(&self, query: &AdmissionQuery<'_>) -> Option<RefusalReason> {
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
        let alone = self.span(query, Duration::ZERO, contract.concurrency);
        if alone > query.deadline {
            return Some(RefusalReason::CanNeverRun);
        }
        None
    }

    /// Why the submission is refused at this time, and when that may have changed.
    fn not_now(&self, query: &AdmissionQuery<'_>) -> Option<(RefusalReason, Duration)> {
        if query.saturation.0.is_infinite() {
            return Some((RefusalReason::NoCapacity, self.settings.shortest_retry));
        }
        // The customer's own limit. The work of others has no part in it, so it is told apart from an overload.
        if query.granted == 0 {
            return Some((RefusalReason::OverConcurrency, self.settings.shortest_retry));
        }
        let own = self.span(query, query.running_work, query.granted);
        let own_wait = own.saturating_sub(self.largest(query));
        if let Some(excess) = self.excess(own_wait, query) {
            return Some((RefusalReason::OverConcurrency, excess));
        }
        if let Some(excess) = self.excess(query.predicted_wait, query) {
            return Some((RefusalReason::PredictedLate, excess));
        }
        if query.saturation >= self.overload_from(query)? {
            return Some((RefusalReason::Overloaded, query.predicted_wait));
        }
        None
    }

    /// By how much a wait is longer than its part of the time left.
    fn excess(&self, wait: Duration, query: &AdmissionQuery<'_>) -> Option<Duration> {
        let left = query.deadline.saturating_sub(self.tail(query));
        let excess = wait.saturating_sub(left * self.settings.wait_percent / 100);
        (!excess.is_zero()).then_some(excess)
    }

    /// The time to keep for the last task to run. A rare run time that does not fit the deadline at all is left out:
    /// no wait is short enough for it, and by it every submission of the kind would be refused.
    fn tail(&self, query: &AdmissionQuery<'_>) -> Duration {
        let largest = self.largest(query);
        match query.slowest < query.deadline {
            true => largest.max(self.believed(query, query.slowest)),
            false => largest,
        }
    }

    /// The saturation from which the contract's word on refusable work is used; `None` where it allows none.
    fn overload_from(&self, query: &AdmissionQuery<'_>) -> Option<Saturation> {
        let granted = u64::from(query.granted) * u64::from(self.settings.light_percent);
        let light = u64::from(query.running) * 100 <= granted;
        match (query.contract.may_refuse, query.class) {
            (RefusableWork::Nothing, _) => None,
            (RefusableWork::Jobs, WorkClass::Request) => None,
            (RefusableWork::Everything, WorkClass::Request) => Some(self.settings.requests_from),
            (_, WorkClass::Job) if light => Some(self.settings.light_jobs_from),
            (_, WorkClass::Job) => Some(self.settings.heavy_jobs_from),
        }
    }

    /// The shortest time in which `lanes` tasks at once get through the work before and the submission's own.
    fn span(&self, query: &AdmissionQuery<'_>, before: Duration, lanes: u32) -> Duration {
        let lanes = lanes.max(1);
        let work = self.believed(query, query.expected_work);
        let all = before.saturating_add(work) / lanes;
        all.max(self.largest(query))
    }

    fn largest(&self, query: &AdmissionQuery<'_>) -> Duration {
        self.believed(query, query.largest.run_time)
    }

    /// The part of an expected time that is certain enough to refuse by.
    fn believed(&self, query: &AdmissionQuery<'_>, expected: Duration) -> Duration {
        match query.largest.source {
            EstimateSource::Measured => expected,
            EstimateSource::Assumed | EstimateSource::Declared | EstimateSource::Stale => {
                expected / self.settings.unmeasured_slack.max(1)
            }
        }
    }

    fn spread(&self, come_back: Duration, rng: &mut fastrand::Rng) -> Duration {
        let come_back = come_back.clamp(self.settings.shortest_retry, self.settings.longest_retry);
        let spread = f64::from(self.settings.retry_spread_percent) / 100.0;
        come_back.mul_f64(1.0 + rng.f64() * spread)
    }
}
