//! This process's share of the platform's rates.

use std::{
    fmt,
    str::FromStr,
    time::{Duration, Instant},
};

use thiserror::Error;

/// Calls that may come at once after a quiet time, before the rate holds.
const MAX_BURST_CALLS: u32 = 10;

/// A rate in calls a second; at least 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallRate(u32);

/// A text that is no rate.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a rate in calls a second: {0:?}")]
pub struct InvalidRate(pub String);

impl CallRate {
    /// A rate; 0 counts as 1, so that a process is never shut off by its own settings.
    pub const fn per_second(calls: u32) -> Self {
        Self(if calls == 0 { 1 } else { calls })
    }

    /// The time from one call to the next at this rate.
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

/// Gives calls their turns so that a process keeps to its share.
///
/// Load: every VM of every data centre uses one store of several hundred writes and about 2,000 reads a second.
/// Harm prevented: one VM's burst of keys queues in the store in front of every other VM's writes, and all of them
/// time out with an uncertain outcome. Turned away here, a call has certainly had no effect.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    rate: CallRate,
    /// When the rate would be used up to the call, without a burst.
    theoretical_arrival: Instant,
}

impl RateLimiter {
    /// A pacer that has been quiet until now.
    pub fn new(rate: CallRate, now: Instant) -> Self {
        Self {
            rate,
            theoretical_arrival: now,
        }
    }

    /// Takes a turn and says how long to wait for it.
    ///
    /// # Errors
    ///
    /// Gives the wait and takes no turn when it is longer than `max_wait`.
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
