//! The queue of one dispatcher: fair between customers, earliest deadline first within one.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use model::{AttemptId, CustomerId, CustomerShare, FastMap, SubmissionId};
use thiserror::Error;

/// Slot time divided by the customer's share, in nanoseconds. It is as wide as `u128` because it is the sum over all
/// slots for the whole life of the process.
type VirtualTime = u128;

/// The order among customers: virtual time first, then who came to its place first. Without the second part equal
/// customers would always be served in the order of their names.
type CustomerRank = (VirtualTime, u64);

/// The limits of a [`FairQueue`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueSettings {
    /// The most entries that wait at once.
    ///
    /// Load: a burst far over what the slots can do. Harm: memory grows without bound and everything that waits is
    /// late. Reason: 20,000 tasks of 50 ms keep 136 slots busy for 7 s, about as long as an answer may take.
    pub max_entries: usize,
    /// The most slot time by which one customer can be ahead of its share, before the division by the share.
    ///
    /// Load: run times expected a hundred times too short, so that the bill comes after the burst. Harm: with the
    /// whole bill kept, the customer would get nothing for minutes. Reason: 5 s is the run time of a long task, so
    /// no customer pays for more than one of them at once.
    pub max_debt: Duration,
    /// The most slot time that a waiting customer can get back when its tasks ran shorter than expected.
    ///
    /// Load: run times expected a hundred times too long. Harm: without it the customer loses its share for good;
    /// without a limit it takes all slots at once when the bill is put right. Reason: 1 s is a slot or two for each
    /// other customer, which delays their tasks by no more than a usual task.
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
    /// The attempt. All attempts of one submission belong to one customer.
    pub attempt: AttemptId,
    /// Whose task.
    pub customer: CustomerId,
    /// The customer's weight. The newest one pushed counts for all that the customer has waiting.
    pub share: CustomerShare,
    /// The expected run time.
    pub expected: Duration,
    /// When the answer is due.
    pub due: Instant,
}

/// Why an entry was not queued. The entry comes back unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PushError {
    /// The queue holds [`QueueSettings::max_entries`].
    #[error("the queue is full")]
    Full(QueueEntry),
    /// The answer is due already.
    #[error("the answer is due already")]
    Overdue(QueueEntry),
    /// The attempt waits here already.
    #[error("the attempt waits already")]
    Duplicate(QueueEntry),
    /// Other tasks of the submission wait for another customer.
    #[error("the submission is another customer's")]
    OtherCustomer(QueueEntry),
}

/// Start-time fair queue over customers.
///
/// Load: one customer submits far more than its share while others submit little. Harm: first come, first served
/// lets the big one hold every slot and the small ones miss their deadlines. Each customer has a virtual time that
/// goes up by slot time over share with each of its tasks; the customer with the lowest one is served next.
///
/// Within a customer the job whose answer is due first goes first, and its tasks go one after another, since a job
/// answers with its last task: two jobs served in turns would both answer as late as the later one.
///
/// Each operation costs O(log n) in waiting tasks and customers for each entry that it touches.
#[derive(Debug)]
pub struct FairQueue {
    settings: QueueSettings,
    entries: BTreeMap<AttemptId, QueueEntry>,
    jobs: FastMap<SubmissionId, QueuedJob>,
    customers: FastMap<CustomerId, QueuedCustomer>,
    /// Customers with waiting tasks, by whose turn it is.
    waiting: BTreeMap<CustomerRank, CustomerId>,
    /// Customers without waiting tasks that are still ahead of their share.
    idle: BTreeMap<CustomerRank, CustomerId>,
    due_times: BTreeSet<(Instant, AttemptId)>,
    /// Entries that came due and were not collected yet. They stay removable, so that none is lost in between.
    overdue: BTreeMap<AttemptId, QueueEntry>,
    virtual_now: VirtualTime,
    next_sequence: u64,
    queued_work: Duration,
    waiting_share: u64,
}

impl FairQueue {
    /// An empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        // Far above zero, so that credit can be given from the start.
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
            // The rank of a new customer has turn 0, so no placed customer may have it.
            next_sequence: 1,
            queued_work: Duration::ZERO,
            waiting_share: 0,
        }
    }

    /// Queues an entry.
    ///
    /// # Errors
    ///
    /// Gives the entry back when the queue is full, the answer is due already, the attempt waits already or the
    /// submission is another customer's.
    pub fn push(&mut self, now: Instant, entry: QueueEntry) -> Result<(), PushError> {
        let is_duplicate =
            self.entries.contains_key(&entry.attempt) || self.overdue.contains_key(&entry.attempt);
        if is_duplicate {
            return Err(PushError::Duplicate(entry));
        }
        if entry.due <= now {
            return Err(PushError::Overdue(entry));
        }
        // A job in the order of two customers would leave one of them an empty place, at which the queue stops.
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

    /// Takes the entry whose turn it is and bills its expected run time to the customer. An entry that came due
    /// while it waited is never given out: a slot spent on it would only delay answers that can still be in time.
    pub fn pop(&mut self, now: Instant) -> Option<QueueEntry> {
        self.move_overdue(now);
        let (rank, customer) = self.waiting.first_key_value()?;
        self.virtual_now = self.virtual_now.max(rank.0);
        let queued = self.customers.get(customer)?;
        let (_, submission) = *queued.jobs.first()?;
        let (first, last) = attempt_range(submission);
        let attempt = *self.entries.range(first..=last).next()?.0;
        let entry = self.take(&attempt)?;
        // The expected time may be off by a hundredfold, so one task is billed no more than the debt limit.
        let cost = entry.expected.min(self.settings.max_debt);
        self.adjust_virtual_time(&entry.customer, cost, Duration::ZERO);
        self.remove_idle_customers();
        Some(entry)
    }

    /// Withdraws one entry. `None` means that it does not wait here: it was popped, collected or never queued.
    pub fn remove(&mut self, attempt: &AttemptId) -> Option<QueueEntry> {
        let entry = self.take(attempt).or_else(|| self.overdue.remove(attempt));
        self.remove_idle_customers();
        entry
    }

    /// Withdraws what waits of a submission. The cost follows the number withdrawn, not the length of the queue,
    /// so a wave of cancellations does not hold up the slots.
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

    /// Collects the entries whose answers are due, each once.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<QueueEntry> {
        self.move_overdue(now);
        std::mem::take(&mut self.overdue).into_values().collect()
    }

    /// Corrects the bill of a popped task by its measured run time; `ran` is zero for one that did not start.
    pub fn correct_charge(&mut self, customer: &CustomerId, ran: Duration, expected: Duration) {
        let charged = expected.min(self.settings.max_debt);
        self.adjust_virtual_time(customer, ran, charged);
    }

    /// The number of entries that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The number of customers that the queue holds state of.
    pub fn customers(&self) -> usize {
        self.customers.len()
    }

    /// The time until `slots` slots have run everything that waits, by the expected run times. With no slot it is
    /// [`Duration::MAX`].
    pub fn predicted_drain(&self, slots: u32) -> Duration {
        if slots == 0 {
            return Duration::MAX;
        }
        self.queued_work / slots
    }

    /// The time until a task that the customer queues now has its turn: its own waiting work, and what it is ahead
    /// of its share, at its share of the slots; at most the time to run everything that waits.
    ///
    /// Load: one customer with a long backlog. Harm: by the whole backlog alone, a customer with nothing waiting
    /// would be told that it is late and refused, though it is next in turn.
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
            // A customer that was idle starts at the present: slots that it left unused are gone, and credit for
            // them would let it hold every slot when it comes back.
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
        // The tasks of a job arrive a little apart and their due times differ by as much. The earliest counts for
        // all, so the job keeps one place.
        if entry.due < job.due {
            queued.jobs.remove(&(job.due, submission));
            job.due = entry.due;
        }
        queued.jobs.insert((job.due, submission));
    }

    /// Takes an entry out of everything but the virtual times.
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

    /// Moves a customer's virtual time up by `charged` and down by `refunded` slot time, within the limits.
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

    /// Forgets idle customers that are no longer ahead of their share: they would start at the present anyway.
    /// Without this the table would grow with every customer ever seen. What stays is at most
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

/// The first and the last attempt that a submission can have.
fn attempt_range(submission: SubmissionId) -> (AttemptId, AttemptId) {
    let attempt = |n| AttemptId {
        submission,
        task: n,
        attempt: n,
    };
    (attempt(u32::MIN), attempt(u32::MAX))
}
