//! The saturation of the slots, averaged over the last seconds.

use std::time::{Duration, Instant};

use crate::admission::Saturation;

/// The time constant of the moving average, half a usual deadline.
///
/// By the saturation of the moment, jobs would be refused as overload in a burst onto a few free slots, or while slots
/// are briefly busy because their owner changes, though all the work would be done within a second or two. A backlog
/// that is gone within this time makes no answer late, and work that would be late sooner is refused by its predicted
/// wait.
const TIME_CONSTANT: Duration = Duration::from_secs(5);

/// The exponentially weighted moving average of the saturation. It distinguishes a lasting overload from a burst.
#[derive(Clone, Copy, Debug, Default)]
pub struct SmoothedSaturation {
    mean: f64,
    sampled_at: Option<Instant>,
}

impl SmoothedSaturation {
    /// Records the present saturation. Call it several times a second.
    pub fn record(&mut self, now: Instant, saturation: Saturation) {
        // Without slots the saturation is infinite, and submissions are refused for the missing capacity instead.
        if saturation.0.is_infinite() {
            return;
        }
        let elapsed = self
            .sampled_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.sampled_at = Some(now);
        let weight = 1.0 - (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.mean += weight * (saturation.0 - self.mean);
    }

    /// The average so far; 0 before the first sample takes effect.
    pub fn mean(&self) -> Saturation {
        Saturation(self.mean)
    }
}
