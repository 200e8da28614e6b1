//! What a process knows of a peer's clock.

use std::time::{Duration, Instant};

/// The part of the elapsed time by which a peer's clock may fall behind this process's clock.
const MAX_CLOCK_DRIFT: f64 = 0.02;

/// A lower bound of a peer's time since boot, from a message that told it.
///
/// The peer's clock goes on while the message is under way and while either machine is suspended, and this process's
/// steady clock stands still while its own machine is. So a late message or a suspension only makes the bound lower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerClock {
    heard_at: Instant,
    clock: Duration,
}

impl PeerClock {
    /// Records the clock that a message told, which arrived at `now`.
    pub fn new(now: Instant, clock: Duration) -> Self {
        Self {
            heard_at: now,
            clock,
        }
    }

    /// The peer's time since boot at `now`, or less.
    pub fn lower_bound(&self, now: Instant) -> Duration {
        let elapsed = now.saturating_duration_since(self.heard_at);
        self.clock + elapsed.mul_f64(1.0 - MAX_CLOCK_DRIFT)
    }

    /// The one of two bounds that is higher at `now`.
    #[must_use]
    pub fn later(self, other: Self, now: Instant) -> Self {
        match other.lower_bound(now) >= self.lower_bound(now) {
            true => other,
            false => self,
        }
    }
}
