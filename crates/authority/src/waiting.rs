//! Tasks that wait at the entry for free concurrency of their customer.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use model::{CustomerId, FastMap, FastSet, TaskIndex};

use crate::DispatcherKey;

/// A waiting task. The order is that of placement: the earliest deadline first, and tasks of one submission together,
/// since a job is answered with its last task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaitingTask {
    pub(crate) due: Instant,
    pub(crate) serial: u64,
    pub(crate) task: TaskIndex,
}

#[derive(Clone, Debug, Default)]
struct CustomerQueue {
    tasks: BTreeSet<WaitingTask>,
    limit: u32,
    /// The most that the limit can grow to, if known.
    max_limit: Option<u32>,
    /// When the limit lapses. From then on nothing of the customer may be placed.
    limit_expires_at: Option<Instant>,
    in_flight: u32,
}

/// Waiting tasks by customer. A placement pass visits only customers for which something changed, so its cost grows
/// with the changes and not with the waiting tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingTable {
    customers: FastMap<CustomerId, CustomerQueue>,
    changed: FastSet<CustomerId>,
    /// Tasks in backoff; `due` in their key is the end of the backoff instead of the deadline.
    backing_off: BTreeMap<WaitingTask, CustomerId>,
    /// The dispatcher that last refused a task, by the serial and index of the task.
    avoided: FastMap<(u64, TaskIndex), DispatcherKey>,
}

impl WaitingTable {
    pub(crate) fn set_limit(&mut self, customer: &CustomerId, limit: u32, until: Option<Instant>) {
        let queue = self.customers.entry(customer.clone()).or_default();
        queue.limit = limit;
        queue.limit_expires_at = until;
        self.changed.insert(customer.clone());
    }

    pub(crate) fn set_max_limit(&mut self, customer: &CustomerId, max_limit: u32) {
        self.customers
            .entry(customer.clone())
            .or_default()
            .max_limit = Some(max_limit);
    }

    /// The most attempts that a customer can have at dispatchers at once: the maximum of its limit, or its limit while
    /// no maximum is known.
    pub(crate) fn max_limit(&self, customer: &CustomerId) -> u32 {
        let queue = self.customers.get(customer);
        queue.map_or(0, |queue| queue.max_limit.unwrap_or(queue.limit))
    }

    pub(crate) fn push(&mut self, customer: &CustomerId, task: WaitingTask) {
        let queue = self.customers.entry(customer.clone()).or_default();
        queue.tasks.insert(task);
        self.changed.insert(customer.clone());
    }

    /// Keeps a task in backoff until `until`. Such tasks are ordered by time, so that resuming costs only as much as
    /// the tasks that resume.
    pub(crate) fn back_off(&mut self, customer: &CustomerId, until: Instant, task: WaitingTask) {
        let key = WaitingTask { due: until, ..task };
        self.backing_off.insert(key, customer.clone());
    }

    /// Removes and returns the tasks whose backoff is over, as (customer, serial, task).
    pub(crate) fn take_resumed(&mut self, now: Instant) -> Vec<(CustomerId, u64, TaskIndex)> {
        let mut resumed = Vec::new();
        while let Some(first) = self.backing_off.first_entry() {
            if first.key().due > now {
                break;
            }
            let (task, customer) = first.remove_entry();
            resumed.push((customer, task.serial, task.task));
        }
        resumed
    }

    pub(crate) fn next_resume(&self) -> Option<Instant> {
        self.backing_off.first_key_value().map(|(task, _)| task.due)
    }

    pub(crate) fn remove(&mut self, customer: &CustomerId, task: WaitingTask) {
        if let Some(queue) = self.customers.get_mut(customer) {
            queue.tasks.remove(&task);
        }
        self.avoided.remove(&(task.serial, task.task));
    }

    pub(crate) fn set_avoided(&mut self, serial: u64, task: TaskIndex, dispatcher: DispatcherKey) {
        self.avoided.insert((serial, task), dispatcher);
    }

    pub(crate) fn take_avoided(&mut self, task: WaitingTask) -> Option<DispatcherKey> {
        self.avoided.remove(&(task.serial, task.task))
    }

    /// Removes and returns the next task of a customer whose limit allows another attempt, and counts it as in flight.
    pub(crate) fn pop(&mut self, now: Instant, customer: &CustomerId) -> Option<WaitingTask> {
        let queue = self.customers.get_mut(customer)?;
        let lapsed = queue.limit_expires_at.is_some_and(|until| until <= now);
        if lapsed || queue.in_flight >= queue.limit {
            return None;
        }
        let task = queue.tasks.pop_first()?;
        queue.in_flight += 1;
        Some(task)
    }

    /// Releases the concurrency that an attempt of the customer used.
    pub(crate) fn release(&mut self, customer: &CustomerId) {
        if let Some(queue) = self.customers.get_mut(customer) {
            queue.in_flight = queue.in_flight.saturating_sub(1);
            self.changed.insert(customer.clone());
        }
    }

    pub(crate) fn mark_all_changed(&mut self) {
        for (customer, queue) in &self.customers {
            if !queue.tasks.is_empty() {
                self.changed.insert(customer.clone());
            }
        }
    }

    /// Removes and returns the customers for which something changed, sorted so that runs are deterministic.
    pub(crate) fn take_changed(&mut self) -> Vec<CustomerId> {
        let mut customers: Vec<_> = self.changed.drain().collect();
        customers.sort_unstable();
        customers
    }

    /// Number of attempts in flight and of waiting tasks of one customer.
    pub(crate) fn usage(&self, customer: &CustomerId) -> (u32, usize) {
        self.customers
            .get(customer)
            .map_or((0, 0), |queue| (queue.in_flight, queue.tasks.len()))
    }

    pub(crate) fn customers(&self) -> impl Iterator<Item = &CustomerId> {
        self.customers.keys()
    }
}
