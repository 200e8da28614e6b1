//! What each customer has accepted and not ended here: the picture that admission decides by.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use decisions::DrainRate;
use model::{CustomerId, CustomerShare, FastMap};

/// How long a customer whose tasks do not move counts as one that competes for slots. By those of one moment alone, a
/// moment without the others would let a customer in for far more than its share.
const ACTIVE_WINDOW: Duration = Duration::from_secs(2);

/// Moves this close together are noted once: the index by time then costs one change for many tasks.
const ACTIVITY_RESOLUTION: Duration = Duration::from_millis(100);

/// The accepted work of one customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct CustomerLoad {
    /// Tasks that were accepted and have not ended.
    pub(crate) tasks: u32,
    /// The sum of their expected run times.
    pub(crate) expected_work: Duration,
    /// The part of it that has not started.
    pub(crate) waiting_work: Duration,
    /// What its backlog got lately.
    pub(crate) drain_rate: DrainRate,
    share: CustomerShare,
    /// Its place in the index by time, while it counts as active.
    indexed_at: Option<Instant>,
}

/// The accepted work by customer.
///
/// Load: thousands of submissions a second of many customers. Harm: sums taken anew for each would cost what is open.
/// They are kept along with each move of a task, O(log n) in the active customers. A customer without open tasks is
/// forgotten once it is no longer active, so memory is bounded by what is open and by what came in the last seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadTable {
    customers: FastMap<CustomerId, CustomerLoad>,
    active: BTreeSet<(Instant, CustomerId)>,
    active_shares: u64,
}

impl LoadTable {
    /// Tasks with this work in all were accepted.
    pub(crate) fn accept(
        &mut self,
        now: Instant,
        customer: &CustomerId,
        share: CustomerShare,
        tasks: u32,
        work: Duration,
    ) {
        let load = self.customers.entry(customer.clone()).or_default();
        load.tasks += tasks;
        load.expected_work = load.expected_work.saturating_add(work);
        load.waiting_work = load.waiting_work.saturating_add(work);
        if load.indexed_at.is_some() {
            self.active_shares = self.active_shares - u64::from(load.share.0) + u64::from(share.0);
        }
        load.share = share;
        self.record_activity(now, customer);
    }

    /// A task has started.
    pub(crate) fn start(&mut self, now: Instant, customer: &CustomerId, expected: Duration) {
        let Some(load) = self.customers.get_mut(customer) else {
            return;
        };
        load.waiting_work = load.waiting_work.saturating_sub(expected);
        let backlog = !load.waiting_work.is_zero();
        load.drain_rate.on_start(now, expected, backlog);
        self.record_activity(now, customer);
    }

    /// A task that was taken to have started certainly has not.
    pub(crate) fn mark_not_started(&mut self, customer: &CustomerId, expected: Duration) {
        if let Some(load) = self.customers.get_mut(customer) {
            load.waiting_work = load.waiting_work.saturating_add(expected);
        }
    }

    /// A task has ended, or nobody waits for it any more.
    pub(crate) fn end(
        &mut self,
        now: Instant,
        customer: &CustomerId,
        expected: Duration,
        started: bool,
    ) {
        let Some(load) = self.customers.get_mut(customer) else {
            return;
        };
        load.tasks = load.tasks.saturating_sub(1);
        load.expected_work = load.expected_work.saturating_sub(expected);
        if !started {
            load.waiting_work = load.waiting_work.saturating_sub(expected);
        }
        self.record_activity(now, customer);
    }

    /// The load of a customer.
    pub(crate) fn get(&self, customer: &CustomerId) -> CustomerLoad {
        self.customers.get(customer).cloned().unwrap_or_default()
    }

    /// The shares of all active customers, this one included, which may come with a new share.
    pub(crate) fn active_shares_with(
        &mut self,
        now: Instant,
        customer: &CustomerId,
        share: CustomerShare,
    ) -> u64 {
        self.expire(now);
        let indexed = self
            .customers
            .get(customer)
            .filter(|load| load.indexed_at.is_some());
        let own = indexed.map_or(0, |load| u64::from(load.share.0));
        self.active_shares - own + u64::from(share.0)
    }

    fn record_activity(&mut self, now: Instant, customer: &CustomerId) {
        let Some(load) = self.customers.get_mut(customer) else {
            return;
        };
        match load.indexed_at {
            Some(at) if now.saturating_duration_since(at) < ACTIVITY_RESOLUTION => return,
            Some(at) => {
                self.active.remove(&(at, customer.clone()));
            }
            None => self.active_shares += u64::from(load.share.0),
        }
        load.indexed_at = Some(now);
        self.active.insert((now, customer.clone()));
    }

    fn expire(&mut self, now: Instant) {
        while let Some((at, _)) = self.active.first() {
            if now.saturating_duration_since(*at) <= ACTIVE_WINDOW {
                return;
            }
            let Some((_, customer)) = self.active.pop_first() else {
                return;
            };
            let Some(load) = self.customers.get_mut(&customer) else {
                continue;
            };
            load.indexed_at = None;
            self.active_shares -= u64::from(load.share.0);
            if load.tasks == 0 {
                self.customers.remove(&customer);
            }
        }
    }
}
