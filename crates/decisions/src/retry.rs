//! The budget of each customer for placing tasks again.

use std::time::{Duration, Instant};

use model::CustomerId;

use crate::lru_map::LruMap;

/// The limits of a [`RetryBudget`].
#[derive(Clone, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries a second that each customer has whatever it submits.
    ///
    /// Load: a customer with a request now and then. Harm: a percentage of so few placements is no retry at all,
    /// and one busy endpoint fails the request. Reason: one a second and customer is noise beside the traffic.
    pub floor_per_second: f64,
    /// The most retries saved up.
    ///
    /// Load: hours without trouble, then an endpoint with many tasks dies. Harm: savings without a limit are a
    /// storm of retries when everything is short. Reason: 40 are the tasks that one customer has running by
    /// default, so each of them may be placed once more.
    pub max_tokens: f64,
    /// Retries that a customer starts with; the floor where that is more.
    ///
    /// Load: a process that has just started, and then a dispatcher dies. Harm: a customer with much work elsewhere
    /// has saved up nothing here, and its tasks are refused while the endpoints change hands. Reason for none by
    /// default: whoever forgets customers often gives these retries often.
    pub initial_tokens: f64,
    /// Customers remembered. One that was forgotten starts anew.
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

/// Token buckets: first placements fill them by the contract's percentage, each retry takes one token.
///
/// Load: endpoints that are full or gone answer "not run" to everything. Harm: each such answer causes another
/// placement, so the fewer slots are left the more messages ask for them, and the overload feeds itself. With the
/// budget, placements are at most the first ones plus the contract's percentage and a small floor.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    customers: LruMap<CustomerId, TokenBucket>,
}

impl RetryBudget {
    /// A budget in which no customer has saved anything.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            customers: LruMap::new(settings.max_customers),
            settings,
        }
    }

    /// Notes `placements` first placements under a contract that allows `retry_percent`.
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

    /// Takes one retry out of the budget. `false` means that the budget is spent and the task must not be placed
    /// again.
    pub fn try_retry(&mut self, now: Instant, customer: &CustomerId) -> bool {
        let bucket = self.refilled_bucket(now, customer);
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// The number of customers remembered.
    pub fn customers(&self) -> usize {
        self.customers.len()
    }

    fn refilled_bucket(&mut self, now: Instant, customer: &CustomerId) -> &mut TokenBucket {
        let per_second = self.settings.floor_per_second;
        // A retry takes a whole token, so a smaller rate saves up for longer than a second.
        let floor = per_second.max(1.0);
        let initial = self.settings.initial_tokens.max(floor);
        let bucket = self.customers.touch_or_insert(customer, || TokenBucket {
            tokens: initial,
            refilled_at: now,
        });
        let elapsed: Duration = now.saturating_duration_since(bucket.refilled_at);
        bucket.refilled_at = bucket.refilled_at.max(now);
        // Time alone saves up no more than the floor, or an idle customer would come back with the whole bucket.
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
