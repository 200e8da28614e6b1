//! The task queue of one dispatcher: fair between customers, earliest deadline first within a customer.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use model::{AttemptId, CustomerId, CustomerShare, FastMap, SubmissionId};
use thiserror::Error;

/// Slot time divided by the customer's share, in nanoseconds. It is a `u128` because it sums up over all slots for the
/// whole life of the process.
type VirtualTime = u128;

/// The order between customers: virtual time first, then a sequence number. Without the second part, customers with
/// equal virtual times would always be served in the order of their names.
type CustomerRank = (VirtualTime, u64);

/// The limits of a [`FairQueue`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueSettings {
    /// The maximum number of waiting entries.
    ///
    /// During a burst far above the capacity of the slots, memory would otherwise grow without bound and every waiting
    /// task would be late. 20,000 tasks of 50 ms keep 136 slots busy for 7 s, about as long as an answer may take.
    pub max_entries: usize,
    /// The maximum slot time by which a customer can be ahead of its share, before the division by the share.
    ///
    /// If run times are expected a hundred times too short, the customer is charged only after the burst. Charged in
    /// full, it would get no slots for minutes. 5 s is the run time of a long task, so no customer pays for more than
    /// one of them at once.
    pub max_debt: Duration,
    /// The maximum slot time that a waiting customer can be credited when its tasks ran shorter than expected.
    ///
    /// If run times are expected a hundred times too long, a customer without credit would lose its share for good;
    /// with unlimited credit it would take all slots at once when the charge is corrected. 1 s is a slot or two for
    /// each other customer, which delays their tasks by no more than a usual task.
    pub max_credit: Duration,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            max_entries: 20_000,
            max_debt: Duration::from_secs(5),
            max_credit: Duration::from_secs(1),
        }
    }
}

/// A task that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueEntry {
    /// The attempt to run the task. All attempts of one submission belong to one customer.
    pub attempt: AttemptId,
    /// The customer that submitted the task.
    pub customer: CustomerId,
    /// The customer's weight. The share of the newest entry applies to all waiting tasks of the customer.
    pub share: CustomerShare,
    /// The expected run time.
    pub expected: Duration,
    /// The time at which the answer is due.
    pub due: Instant,
}

/// Why an entry was not queued. Each variant returns the entry unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PushError {
    /// The queue already holds [`QueueSettings::max_entries`].
    #[error("the queue is full")]
    Full(QueueEntry),
    /// The answer was due at or before the time of the push.
    #[error("the answer is already due")]
    Overdue(QueueEntry),
    /// The attempt is already queued.
    #[error("the attempt is already queued")]
    Duplicate(QueueEntry),
    /// Tasks of the same submission are queued for another customer.
    #[error("the submission belongs to another customer")]
    OtherCustomer(QueueEntry),
}

/// A start-time fair queue over customers.
///
/// First come, first served would let a customer that submits far more than its share hold every slot, and customers
/// that submit little would miss their deadlines. Each customer therefore has a virtual time that advances, with each
/// of its tasks, by slot time divided by share; the customer with the lowest virtual time is served next.
///
/// Within a customer, the job with the earliest deadline goes first, and its tasks run one after another. A job answers
/// with its last task, so two jobs served alternately would both answer as late as the later one.
///
/// Each operation costs O(log n) in waiting tasks and customers for each entry that it touches.
#[derive(Debug)]
pub struct FairQueue {
    settings: QueueSettings,
    entries: BTreeMap<AttemptId, QueueEntry>,
    jobs: FastMap<SubmissionId, QueuedJob>,
    customers: FastMap<CustomerId, QueuedCustomer>,
    /// Customers with waiting tasks, in the order in which they are served.
    waiting: BTreeMap<CustomerRank, CustomerId>,
    /// Customers without waiting tasks that are still ahead of their share.
    idle: BTreeMap<CustomerRank, CustomerId>,
    due_times: BTreeSet<(Instant, AttemptId)>,
    /// Entries that became overdue and were not yet returned by [`Self::take_overdue`]. They can still be removed, so
    /// none is lost in between.
    overdue: BTreeMap<AttemptId, QueueEntry>,
    /// The highest virtual time at which a customer was served. A customer that was idle starts there.
    virtual_now: VirtualTime,
    next_sequence: u64,
    /// The sum of the expected run times of all waiting tasks.
    queued_work: Duration,
    /// The sum of the shares of the customers with waiting tasks.
    waiting_share: u64,
}

impl FairQueue {
    /// An empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        // Far above zero, so that credit can lower a virtual time from the start.
        let virtual_now = VirtualTime::from(u64::MAX);
        Self {
            settings,
            entries: BTreeMap::new(),
            jobs: FastMap::default(),
            customers: FastMap::default(),
            waiting: BTreeMap::new(),
            idle: BTreeMap::new(),
            due_times: BTreeSet::new(),
            overdue: BTreeMap::new(),
            virtual_now,
            // The rank of a new customer has sequence number 0, so no queued customer may have it.
            next_sequence: 1,
            queued_work: Duration::ZERO,
            waiting_share: 0,
        }
    }

    /// Queues an entry.
    ///
    /// # Errors
    ///
    /// Returns the entry if the queue is full, the answer is already due, the attempt is already queued, or the
    /// submission belongs to another customer.
    pub fn push(&mut self, now: Instant, entry: QueueEntry) -> Result<(), PushError> {
        let is_duplicate =
            self.entries.contains_key(&entry.attempt) || self.overdue.contains_key(&entry.attempt);
        if is_duplicate {
            return Err(PushError::Duplicate(entry));
        }
        if entry.due <= now {
            return Err(PushError::Overdue(entry));
        }
        // A job listed under two customers would stay listed under one of them after its last task was removed, and
        // `pop` would then find no task and return nothing, although other tasks wait.
        let job = self.jobs.get(&entry.attempt.submission);
        if job.is_some_and(|job| job.customer != entry.customer) {
            return Err(PushError::OtherCustomer(entry));
        }
        if self.entries.len() >= self.settings.max_entries {
            return Err(PushError::Full(entry));
        }
        self.add_to_customer(&entry);
        self.add_to_job(&entry);
        self.queued_work = self.queued_work.saturating_add(entry.expected);
        self.due_times.insert((entry.due, entry.attempt));
        self.entries.insert(entry.attempt, entry);
        Ok(())
    }

    /// Takes the next entry and charges its expected run time to the customer. An entry that became overdue while it
    /// waited is never returned here: a slot spent on it would only delay answers that can still be in time.
    pub fn pop(&mut self, now: Instant) -> Option<QueueEntry> {
        self.move_overdue(now);
        let (rank, customer) = self.waiting.first_key_value()?;
        self.virtual_now = self.virtual_now.max(rank.0);
        let queued = self.customers.get(customer)?;
        let (_, submission) = *queued.jobs.first()?;
        let (first, last) = attempt_range(submission);
        let attempt = *self.entries.range(first..=last).next()?.0;
        let entry = self.take(&attempt)?;
        // The expected run time may be off by a factor of a hundred, so one task is charged no more than the debt
        // limit.
        let cost = entry.expected.min(self.settings.max_debt);
        self.adjust_virtual_time(&entry.customer, cost, Duration::ZERO);
        self.remove_idle_customers();
        Some(entry)
    }

    /// Removes one entry. `None` means that the queue does not hold the attempt: it was popped, taken as overdue, or
    /// never queued.
    pub fn remove(&mut self, attempt: &AttemptId) -> Option<QueueEntry> {
        let entry = self.take(attempt).or_else(|| self.overdue.remove(attempt));
        self.remove_idle_customers();
        entry
    }

    /// Removes the waiting entries of a submission. The cost depends on the number of removed entries, not on the
    /// length of the queue, so a wave of cancellations does not stall the slots.
    pub fn remove_submission(&mut self, submission: SubmissionId) -> Vec<QueueEntry> {
        let (first, last) = attempt_range(submission);
        let mut attempts = Vec::new();
        for (attempt, _) in self.entries.range(first..=last) {
            attempts.push(*attempt);
        }
        for (attempt, _) in self.overdue.range(first..=last) {
            attempts.push(*attempt);
        }
        let mut removed = Vec::with_capacity(attempts.len());
        for attempt in attempts {
            removed.extend(self.remove(&attempt));
        }
        removed
    }

    /// Takes the entries whose answers are due. Each one is returned once.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<QueueEntry> {
        self.move_overdue(now);
        std::mem::take(&mut self.overdue).into_values().collect()
    }

    /// Replaces the charge of a popped task by its measured run time; `ran` is zero for a task that did not start.
    pub fn correct_charge(&mut self, customer: &CustomerId, ran: Duration, expected: Duration) {
        let charged = expected.min(self.settings.max_debt);
        self.adjust_virtual_time(customer, ran, charged);
    }

    /// The number of waiting entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The number of customers that the queue holds state for.
    pub fn customers(&self) -> usize {
        self.customers.len()
    }

    /// The time until `slots` slots have run all waiting entries, by their expected run times. Without slots it is
    /// [`Duration::MAX`].
    pub fn predicted_drain(&self, slots: u32) -> Duration {
        if slots == 0 {
            return Duration::MAX;
        }
        self.queued_work / slots
    }

    /// Predicts how long a task that the customer queues now waits for one of `slots` slots: the time in which the
    /// customer's share of the slots runs its waiting work plus the work by which it is ahead of its share, at most
    /// [`Self::predicted_drain`].
    ///
    /// If the whole backlog were used alone, one customer with a long backlog would cause submissions of another one
    /// with nothing waiting to be refused as late, though that customer is served next.
    pub fn predicted_wait(
        &self,
        customer: &CustomerId,
        share: CustomerShare,
        slots: u32,
    ) -> Duration {
        let drain = self.predicted_drain(slots);
        if slots == 0 {
            return drain;
        }
        let Some(queued) = self.customers.get(customer) else {
            return Duration::ZERO;
        };
        let own = u64::from(share.0.max(1));
        let others = self.waiting_share.saturating_sub(queued.waiting_share());
        let factor = (own + others) as f64 / own as f64 / f64::from(slots);
        let ahead = queued.rank.0.saturating_sub(self.virtual_now) * u128::from(queued.share);
        let ahead = Duration::from_nanos(u64::try_from(ahead).unwrap_or(u64::MAX));
        drain.min(queued.queued_work.saturating_add(ahead).mul_f64(factor))
    }

    fn add_to_customer(&mut self, entry: &QueueEntry) {
        let queued = self.customers.entry(entry.customer.clone()).or_default();
        self.waiting_share -= queued.waiting_share();
        if queued.tasks == 0 {
            self.idle.remove(&queued.rank);
            // A customer that was idle starts at the present virtual time. The slots that it left unused are gone, and
            // credit for them would let it hold every slot when it returns.
            queued.rank = (queued.rank.0.max(self.virtual_now), self.next_sequence);
            self.next_sequence += 1;
            self.waiting.insert(queued.rank, entry.customer.clone());
        }
        queued.share = entry.share.0.max(1);
        queued.tasks += 1;
        queued.queued_work = queued.queued_work.saturating_add(entry.expected);
        self.waiting_share += queued.waiting_share();
    }

    fn add_to_job(&mut self, entry: &QueueEntry) {
        let submission = entry.attempt.submission;
        let Some(queued) = self.customers.get_mut(&entry.customer) else {
            return;
        };
        let job = self.jobs.entry(submission).or_insert_with(|| QueuedJob {
            customer: entry.customer.clone(),
            due: entry.due,
            tasks: 0,
        });
        job.tasks += 1;
        // The tasks of a job arrive slightly apart, so their due times differ as much. The earliest one applies to the
        // whole job, which keeps a single place in the order.
        if entry.due < job.due {
            queued.jobs.remove(&(job.due, submission));
            job.due = entry.due;
        }
        queued.jobs.insert((job.due, submission));
    }

    /// Removes a waiting entry from all tables and totals. Does not change the customer's virtual time.
    fn take(&mut self, attempt: &AttemptId) -> Option<QueueEntry> {
        let entry = self.entries.remove(attempt)?;
        self.due_times.remove(&(entry.due, entry.attempt));
        self.queued_work = self.queued_work.saturating_sub(entry.expected);
        let queued = self.customers.get_mut(&entry.customer)?;
        let submission = attempt.submission;
        if let Some(job) = self.jobs.get_mut(&submission) {
            job.tasks -= 1;
            if job.tasks == 0 {
                queued.jobs.remove(&(job.due, submission));
                self.jobs.remove(&submission);
            }
        }
        queued.queued_work = queued.queued_work.saturating_sub(entry.expected);
        queued.tasks -= 1;
        if queued.tasks == 0 {
            self.waiting_share -= u64::from(queued.share);
            self.waiting.remove(&queued.rank);
            self.idle.insert(queued.rank, entry.customer.clone());
        }
        Some(entry)
    }

    /// Adds `charged` to a customer's virtual time and subtracts `refunded`, both in slot time, within the debt and
    /// credit limits.
    fn adjust_virtual_time(
        &mut self,
        customer: &CustomerId,
        charged: Duration,
        refunded: Duration,
    ) {
        let Some(queued) = self.customers.get_mut(customer) else {
            return;
        };
        let share = u128::from(queued.share);
        let time = (queued.rank.0 + charged.as_nanos() / share)
            .saturating_sub(refunded.as_nanos() / share);
        let highest = self.virtual_now + self.settings.max_debt.as_nanos() / share;
        let lowest = self
            .virtual_now
            .saturating_sub(self.settings.max_credit.as_nanos() / share);
        let ranks = match queued.tasks {
            0 => &mut self.idle,
            _ => &mut self.waiting,
        };
        ranks.remove(&queued.rank);
        queued.rank = (time.clamp(lowest, highest), self.next_sequence);
        self.next_sequence += 1;
        ranks.insert(queued.rank, customer.clone());
    }

    /// Removes idle customers that are no longer ahead of their share: they would start at the present virtual time
    /// anyway. Otherwise the table would grow with every customer ever seen. The remaining ones are at most
    /// [`QueueSettings::max_debt`] ahead.
    fn remove_idle_customers(&mut self) {
        while let Some(first) = self.idle.first_entry() {
            if first.key().0 > self.virtual_now {
                break;
            }
            self.customers.remove(&first.remove());
        }
    }

    fn move_overdue(&mut self, now: Instant) {
        while let Some((due, attempt)) = self.due_times.first().copied() {
            if due > now {
                break;
            }
            self.due_times.pop_first();
            if let Some(entry) = self.take(&attempt) {
                self.overdue.insert(attempt, entry);
            }
        }
        self.remove_idle_customers();
    }
}

#[derive(Debug)]
struct QueuedJob {
    customer: CustomerId,
    due: Instant,
    tasks: usize,
}

#[derive(Debug, Default)]
struct QueuedCustomer {
    rank: CustomerRank,
    share: u32,
    tasks: usize,
    queued_work: Duration,
    jobs: BTreeSet<(Instant, SubmissionId)>,
}

impl QueuedCustomer {
    fn waiting_share(&self) -> u64 {
        match self.tasks {
            0 => 0,
            _ => u64::from(self.share),
        }
    }
}

/// The first and the last possible attempt of a submission, in the order of attempts.
fn attempt_range(submission: SubmissionId) -> (AttemptId, AttemptId) {
    let attempt = |n| AttemptId {
        submission,
        task: n,
        attempt: n,
    };
    (attempt(u32::MIN), attempt(u32::MAX))
}
