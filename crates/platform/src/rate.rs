//! Rate limits that keep this process within its share of the platform's rates.

use std::{
    fmt,
    str::FromStr,
    time::{Duration, Instant},
};

use thiserror::Error;

/// The most calls that an idle rate limiter permits at once.
const MAX_BURST_CALLS: u32 = 10;

/// A rate in calls per second, at least 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallRate(u32);

/// The error for a text that is not a rate.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a rate in calls per second: {0:?}")]
pub struct InvalidRate(pub String);

impl CallRate {
    /// Creates a rate of `calls` per second. 0 counts as 1, so that settings cannot cut a process off completely.
    pub const fn per_second(calls: u32) -> Self {
        Self(if calls == 0 { 1 } else { calls })
    }

    /// The interval between calls at this rate.
    pub fn interval(self) -> Duration {
        Duration::from_secs(1) / self.0
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for CallRate {
    type Err = InvalidRate;

    fn from_str(s: &str) -> Result<Self, InvalidRate> {
        let digits = s.strip_suffix("/s").unwrap_or(s);
        match digits.parse() {
            Ok(calls) if calls > 0 => Ok(Self(calls)),
            _ => Err(InvalidRate(s.to_owned())),
        }
    }
}

/// Limits the rate of calls so that a process keeps to its share, with the generic cell rate algorithm (GCRA).
///
/// The VMs of all data centres share one store with a capacity of several hundred writes and about 2,000 reads per
/// second. Without the limit, one VM's burst of idempotency keys would queue in the store ahead of every other VM's
/// writes, and all of them would time out with an uncertain outcome. A call that is refused here has definitely had no
/// effect.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    rate: CallRate,
    /// The theoretical arrival time of GCRA: when the next call would be due if the calls so far were spaced at the
    /// rate.
    theoretical_arrival: Instant,
}

impl RateLimiter {
    /// Creates a limiter that has been idle until `now`.
    pub fn new(rate: CallRate, now: Instant) -> Self {
        Self {
            rate,
            theoretical_arrival: now,
        }
    }

    /// Acquires a permit and returns how long to wait before using it.
    ///
    /// # Errors
    ///
    /// Returns the wait and acquires no permit if the wait is longer than `max_wait`.
    pub fn acquire(&mut self, now: Instant, max_wait: Duration) -> Result<Duration, Duration> {
        let interval = self.rate.interval();
        let theoretical_arrival = self.theoretical_arrival.max(now) + interval;
        let wait = theoretical_arrival
            .duration_since(now)
            .saturating_sub(interval * MAX_BURST_CALLS);
        if wait > max_wait {
            return Err(wait);
        }
        self.theoretical_arrival = theoretical_arrival;
        Ok(wait)
    }
}
