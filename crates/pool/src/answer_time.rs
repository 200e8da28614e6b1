//! Measures how long workers take to answer, and derives the timeout for an answer from it.
//!
//! If the owner's link or CPU is too slow for what the owner sends, one queue delays every answer. With a fixed timeout
//! every order would then be sent again and each copy would lengthen the queue further, so that the pool would serve
//! nothing while the load lasts and for a time after it. The timeout therefore follows the measured answer times,
//! including those of answers that arrive after the timeout, so that it is never shorter than what the path takes at
//! present.

use std::time::Duration;

/// The weights of a new sample in the smoothed time and in its variation, and the factor of the variation in the
/// timeout, as in RFC 6298.
const SMOOTHED_WEIGHT: f64 = 0.125;
const VARIATION_WEIGHT: f64 = 0.25;
const VARIATION_FACTOR: f64 = 4.0;

/// The path counts as congested when the smoothed answer time exceeds both this multiple of the shortest time seen and
/// `MIN_CONGESTED_TIME`. On an idle path answers take 1 to 3 ms.
const CONGESTION_FACTOR: f64 = 4.0;

/// The smoothed answer time up to which a path never counts as congested: slowed processes and the batching of answers
/// add some milliseconds.
const MIN_CONGESTED_TIME: Duration = Duration::from_millis(25);

/// The answer times of one owner's calls, in seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerTimes {
    smoothed: Option<f64>,
    variation: f64,
    minimum: Option<f64>,
    /// The number of calls that timed out since the last answer.
    overdue: u32,
    congested: bool,
}

impl AnswerTimes {
    /// Records the time of an answered call.
    pub(crate) fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.overdue = 0;
        self.add_sample(took);
        let bound = self.congestion_bound();
        // The path counts as congested until the time falls below 80% of the bound, so that the state does not change
        // with each answer.
        let bound = if self.congested {
            bound.mul_f64(0.8)
        } else {
            bound
        };
        self.congested = self.smoothed() > bound;
    }

    fn add_sample(&mut self, took: f64) {
        self.minimum = Some(self.minimum.map_or(took, |least| least.min(took)));
        let Some(smoothed) = self.smoothed else {
            self.smoothed = Some(took);
            self.variation = took / 2.0;
            return;
        };
        self.variation += VARIATION_WEIGHT * ((smoothed - took).abs() - self.variation);
        self.smoothed = Some(smoothed + SMOOTHED_WEIGHT * (took - smoothed));
    }

    /// Records that a call was not answered within the timeout. Each one since the last answer doubles the timeout.
    pub(crate) fn record_timeout(&mut self) {
        self.overdue = self.overdue.saturating_add(1);
    }

    /// The timeout for an answer, between `least` and `most`.
    pub(crate) fn timeout(&self, least: Duration, most: Duration) -> Duration {
        let expected = self.smoothed.unwrap_or(0.0) + VARIATION_FACTOR * self.variation;
        let expected = Duration::try_from_secs_f64(expected).unwrap_or(most);
        let doubled = 2_u32.saturating_pow(self.overdue.min(16));
        expected.max(least).saturating_mul(doubled).min(most)
    }

    /// The smoothed time that an answer takes at present.
    pub(crate) fn smoothed(&self) -> Duration {
        Duration::try_from_secs_f64(self.smoothed.unwrap_or(0.0)).unwrap_or_default()
    }

    /// The shortest time that an answer has taken.
    pub(crate) fn minimum(&self) -> Duration {
        Duration::try_from_secs_f64(self.minimum.unwrap_or(0.0)).unwrap_or_default()
    }

    /// Whether answers are so late that the owner's own link or CPU must be overloaded, rather than a worker lost.
    pub(crate) fn is_congested(&self) -> bool {
        self.congested
    }

    fn congestion_bound(&self) -> Duration {
        self.minimum()
            .mul_f64(CONGESTION_FACTOR)
            .max(MIN_CONGESTED_TIME)
    }
}
