//! Accepted work of each customer that has not ended, on which admission bases its predictions.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use decisions::DrainRate;
use model::{CustomerId, CustomerShare, FastMap};

/// How long a customer counts as competing for slots after its last activity. If only the activity of the present
/// moment counted, a moment without the other customers would admit far more of one customer than its share.
const ACTIVE_WINDOW: Duration = Duration::from_secs(2);

/// Activity of a customer within this time is recorded once, so that many tasks cost one change of the index by time.
const ACTIVITY_RESOLUTION: Duration = Duration::from_millis(100);

/// Accepted work of one customer that has not ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct CustomerLoad {
    /// Number of tasks that were accepted and have not ended.
    pub(crate) tasks: u32,
    /// The sum of their expected run times.
    pub(crate) expected_work: Duration,
    /// The part of `expected_work` that has not started.
    pub(crate) waiting_work: Duration,
    /// The number of slots that lately worked on its backlog.
    pub(crate) drain_rate: DrainRate,
    share: CustomerShare,
    /// Time under which the customer is listed in the index by time, while it counts as active.
    indexed_at: Option<Instant>,
}

/// Accepted work by customer.
///
/// Thousands of submissions arrive each second from many customers. Sums computed anew for each submission would cost
/// as much as there is open work, so they are updated with each change of a task, in O(log n) of the active customers.
/// A customer without open tasks is dropped once it is no longer active, so memory is bounded by the open work and the
/// arrivals of the last seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadTable {
    customers: FastMap<CustomerId, CustomerLoad>,
    active: BTreeSet<(Instant, CustomerId)>,
    active_shares: u64,
}

impl LoadTable {
    /// Adds accepted tasks; `work` is the sum of their expected run times.
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

    /// Counts a task as started.
    pub(crate) fn start(&mut self, now: Instant, customer: &CustomerId, expected: Duration) {
        let Some(load) = self.customers.get_mut(customer) else {
            return;
        };
        load.waiting_work = load.waiting_work.saturating_sub(expected);
        let backlog = !load.waiting_work.is_zero();
        load.drain_rate.on_start(now, expected, backlog);
        self.record_activity(now, customer);
    }

    /// Takes back [`Self::start`] for a task that certainly has not started.
    pub(crate) fn mark_not_started(&mut self, customer: &CustomerId, expected: Duration) {
        if let Some(load) = self.customers.get_mut(customer) {
            load.waiting_work = load.waiting_work.saturating_add(expected);
        }
    }

    /// Removes a task that has ended or whose submission was answered.
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

    /// Sum of the shares of all active customers including this one, which counts with the given share.
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
