//! How full the slots were over the last seconds.

use std::time::{Duration, Instant};

use crate::admission::Saturation;

/// The time over which the mean is taken.
///
/// Load: a burst of jobs onto a few free slots, or slots that are busy for a moment while their owner changes. Harm: by
/// the saturation of the moment the rest is refused as overload, though all of it would be done within a second or two.
/// Reason: half a usual deadline. A backlog that is gone by then makes nobody late, and what would be late before is
/// refused by its predicted wait.
const TIME_CONSTANT: Duration = Duration::from_secs(5);

/// The mean saturation of the last seconds, by which lasting overload is told from a burst.
#[derive(Clone, Copy, Debug, Default)]
pub struct SmoothedSaturation {
    mean: f64,
    sampled_at: Option<Instant>,
}

impl SmoothedSaturation {
    /// Notes how full the slots are now. To be called several times in a second.
    pub fn record(&mut self, now: Instant, saturation: Saturation) {
        // Without slots there is no saturation, and another refusal speaks for it.
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

    /// The mean.
    pub fn mean(&self) -> Saturation {
        Saturation(self.mean)
    }
}
