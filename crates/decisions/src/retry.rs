//! The retry budget of each customer.

use std::time::{Duration, Instant};

use model::CustomerId;

use crate::lru_map::LruMap;

/// The limits of a [`RetryBudget`].
#[derive(Clone, Debug, PartialEq)]
pub struct RetrySettings {
    /// The retries per second that every customer gets, however little it submits.
    ///
    /// For a customer that only submits a request now and then, a percentage of its placements is no retry at all, and
    /// one busy endpoint would fail the request. One retry per second and customer is negligible beside the traffic.
    pub floor_per_second: f64,
    /// The maximum number of saved retries.
    ///
    /// Without a limit, hours without failures followed by the loss of an endpoint with many tasks would release a
    /// storm of retries just when capacity is short. One customer has 40 tasks running by default, so each of them may
    /// be placed once more.
    pub max_tokens: f64,
    /// The retries that a customer starts with, but at least the floor.
    ///
    /// If a dispatcher dies shortly after this process started, a customer with much work elsewhere has saved no
    /// retries here, and its tasks are refused while the endpoints change owners. The default is none, because a
    /// process that evicts customers often would also grant these retries often.
    pub initial_tokens: f64,
    /// The maximum number of customers in memory. An evicted customer starts anew.
    pub max_customers: usize,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            floor_per_second: 1.0,
            max_tokens: 40.0,
            initial_tokens: 0.0,
            max_customers: 4096,
        }
    }
}

/// A token bucket per customer: first placements add a percentage given by the contract, and each retry takes one
/// token.
///
/// Endpoints that are full or gone answer "not run" to every task. Each such answer causes another placement, so the
/// fewer slots are left, the more messages ask for them, and the overload feeds itself. The budget limits placements to
/// the first ones plus the percentage in the contract and a small floor.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    customers: LruMap<CustomerId, TokenBucket>,
}

impl RetryBudget {
    /// Creates a budget in which no customer has saved any retries.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            customers: LruMap::new(settings.max_customers),
            settings,
        }
    }

    /// Records `placements` first placements under a contract that allows `retry_percent` retries per hundred of them.
    pub fn on_placed(
        &mut self,
        now: Instant,
        customer: &CustomerId,
        placements: u32,
        retry_percent: u32,
    ) {
        let earned = f64::from(placements) * f64::from(retry_percent) / 100.0;
        let max_tokens = self.settings.max_tokens;
        let bucket = self.refilled_bucket(now, customer);
        bucket.tokens = (bucket.tokens + earned).min(max_tokens);
    }

    /// Takes one retry from the budget. `false` means that the budget is spent and the task must not be placed again.
    pub fn try_retry(&mut self, now: Instant, customer: &CustomerId) -> bool {
        let bucket = self.refilled_bucket(now, customer);
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// The number of customers in memory.
    pub fn customers(&self) -> usize {
        self.customers.len()
    }

    fn refilled_bucket(&mut self, now: Instant, customer: &CustomerId) -> &mut TokenBucket {
        let per_second = self.settings.floor_per_second;
        // A retry takes a whole token, so a rate below one per second has to accumulate for more than a second.
        let floor = per_second.max(1.0);
        let initial = self.settings.initial_tokens.max(floor);
        let bucket = self.customers.touch_or_insert(customer, || TokenBucket {
            tokens: initial,
            refilled_at: now,
        });
        let elapsed: Duration = now.saturating_duration_since(bucket.refilled_at);
        bucket.refilled_at = bucket.refilled_at.max(now);
        // Time alone refills no more than the floor; otherwise an idle customer would return with a full bucket.
        let refill = elapsed.as_secs_f64() * per_second;
        if bucket.tokens < floor {
            bucket.tokens = (bucket.tokens + refill).min(floor);
        }
        bucket
    }
}

#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}
