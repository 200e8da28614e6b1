//! The times that keep two attempts of one customer apart.
//!
//! A customer whose connection breaks, or who gets no answer, submits its job again at any process. No process knows of
//! both attempts, so everything that the first one started has to be over by then, whichever process or path failed.
//! Each part of a chain therefore acts only as long as the part before it has confirmed it, and the leases together
//! are shorter than the customer's pause.

use std::time::Duration;

/// The longest lease of the runs on a worker. Longer than three polls.
const MAX_WORKER_LEASE: Duration = Duration::from_millis(800);

/// The shortest lease of the runs on a worker, unless workers grant no longer one: a poll with its wait, and one answer
/// that is late.
const MIN_WORKER_LEASE: Duration = Duration::from_millis(500);

/// The longest lease of an attempt at the owner of a pool. A lost entry's runs occupy capacity for that long.
const MAX_ENTRY_LEASE: Duration = Duration::from_millis(450);

/// The shortest lease of an attempt: several round trips between data centres on a congested path.
const MIN_ENTRY_LEASE: Duration = Duration::from_millis(250);

/// The part of its rate by which a worker's clock may be slow.
pub(crate) const WORKER_CLOCK_DRIFT: f64 = 0.02;

/// The time that an owner takes to act on the end of a lease: one tick and the work of a slowed process.
const REACTION_TIME: Duration = Duration::from_millis(40);

/// The number of confirmations that an entry sends within a lease, so that one may be lost or late.
const CONFIRMATIONS_PER_LEASE: u32 = 3;

/// The times that keep two attempts of one customer apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTimes {
    /// How long a customer waits after an attempt without an answer before it submits the job again.
    pub customer_retry: Duration,
    /// How long an owner runs an attempt without a confirmation by its entry.
    pub entry_lease: Duration,
    /// How long a worker continues runs without a renewal by the owner.
    pub worker_lease: Duration,
}

impl AttemptTimes {
    /// Derives the leases from the customers' pause and the longest lease that workers grant. None if the pause is too
    /// short for any lease.
    pub fn derive(customer_retry: Duration, longest_worker_lease: Duration) -> Option<Self> {
        let rest = customer_retry.checked_sub(REACTION_TIME + MIN_ENTRY_LEASE)?;
        let worker_lease = longest_worker_lease
            .min(MAX_WORKER_LEASE)
            .min(rest.div_f64(1.0 + WORKER_CLOCK_DRIFT));
        let shortest = longest_worker_lease.min(MIN_WORKER_LEASE);
        if worker_lease < shortest {
            return None;
        }
        let rest = customer_retry - worker_time(worker_lease) - REACTION_TIME;
        Some(Self {
            customer_retry,
            entry_lease: rest.min(MAX_ENTRY_LEASE),
            worker_lease,
        })
    }

    /// The longest time between two confirmations of an attempt by its entry.
    pub fn confirmation_interval(&self) -> Duration {
        self.entry_lease / CONFIRMATIONS_PER_LEASE
    }

    /// The longest time from an entry's last confirmation of an attempt to the end of its last run, if the owner reaches
    /// neither the entry nor the worker any more.
    pub fn longest_overrun(&self) -> Duration {
        self.entry_lease + REACTION_TIME + worker_time(self.worker_lease)
    }
}

/// The longest time that a lease takes on a worker's clock.
fn worker_time(lease: Duration) -> Duration {
    lease.mul_f64(1.0 + WORKER_CLOCK_DRIFT)
}
