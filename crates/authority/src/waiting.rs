//! Tasks that wait at the entry for room in their customer's concurrency.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use model::{CustomerId, FastMap, FastSet, TaskIndex};

use crate::DispatcherKey;

/// A waiting task in the order of placement: the earliest deadline first, and tasks of one submission together,
/// since a job answers with its last task.
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
    /// The most that the limit can grow to, where that is known.
    max_limit: Option<u32>,
    /// When the limit lapses; then nothing may be placed.
    limit_expires_at: Option<Instant>,
    in_flight: u32,
}

/// Waiting tasks by customer. A customer is looked at again only when something about it changed, so a pass costs
/// what changed and not what waits.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingTable {
    customers: FastMap<CustomerId, CustomerQueue>,
    changed: FastSet<CustomerId>,
    backing_off: BTreeMap<WaitingTask, CustomerId>,
    avoid: FastMap<(u64, TaskIndex), DispatcherKey>,
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

    /// The most that a customer can have at dispatchers at once: its share, or its limit where no share is known.
    pub(crate) fn max_limit(&self, customer: &CustomerId) -> u32 {
        let queue = self.customers.get(customer);
        queue.map_or(0, |queue| queue.max_limit.unwrap_or(queue.limit))
    }

    pub(crate) fn push(&mut self, customer: &CustomerId, task: WaitingTask) {
        let queue = self.customers.entry(customer.clone()).or_default();
        queue.tasks.insert(task);
        self.changed.insert(customer.clone());
    }

    /// Puts a task aside until `until`; the pause is keyed by time so that waking costs what wakes.
    pub(crate) fn back_off(&mut self, customer: &CustomerId, until: Instant, task: WaitingTask) {
        let key = WaitingTask { due: until, ..task };
        self.backing_off.insert(key, customer.clone());
    }

    /// Takes the tasks whose pause is over, as (customer, serial, task).
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
        self.avoid.remove(&(task.serial, task.task));
    }

    pub(crate) fn avoid(&mut self, serial: u64, task: TaskIndex, dispatcher: DispatcherKey) {
        self.avoid.insert((serial, task), dispatcher);
    }

    pub(crate) fn take_avoided(&mut self, task: WaitingTask) -> Option<DispatcherKey> {
        self.avoid.remove(&(task.serial, task.task))
    }

    /// Takes the next task of a customer that has room.
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

    /// An attempt of the customer has ended or was withdrawn.
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

    /// Customers to look at, in a fixed order so that a run can be repeated.
    pub(crate) fn take_changed(&mut self) -> Vec<CustomerId> {
        let mut customers: Vec<_> = self.changed.drain().collect();
        customers.sort_unstable();
        customers
    }

    /// Attempts in flight and tasks waiting, of one customer.
    pub(crate) fn usage(&self, customer: &CustomerId) -> (u32, usize) {
        self.customers
            .get(customer)
            .map_or((0, 0), |queue| (queue.in_flight, queue.tasks.len()))
    }

    pub(crate) fn customers(&self) -> impl Iterator<Item = &CustomerId> {
        self.customers.keys()
    }
}
