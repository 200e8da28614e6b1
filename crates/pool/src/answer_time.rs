//! How long workers' answers take, and how long an owner waits for one.
//!
//! Load it is made for: an owner whose link or processor is too narrow for what it sends, so that every answer is late
//! by the same queue. Harm prevented: with a fixed limit every order is then sent again, each copy lengthens the queue
//! that made it late, and the pool serves nothing for as long as the load lasts, and after. The limit follows the
//! answers that come, also those after it, so that it is never shorter than what the path shows now.

use std::time::Duration;

/// The weights of a new sample in the smoothed time and in its variation, and how many variations are added, as
/// RFC 6298 has them.
const SMOOTHED_WEIGHT: f64 = 0.125;
const VARIATION_WEIGHT: f64 = 0.25;
const VARIATION_FACTOR: f64 = 4.0;

/// How many times the least time ever seen answers take when the path to them counts as strained, beside `MIN_CONGESTED_TIME`:
/// on a quiet path answers take 1 to 3 ms.
const CONGESTION_FACTOR: f64 = 4.0;

/// What answers take at least on a strained path. Slowed processes and collections of answers add some milliseconds.
const MIN_CONGESTED_TIME: Duration = Duration::from_millis(25);

/// Answer times of one owner's calls, in seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerTimes {
    smoothed: Option<f64>,
    variation: f64,
    minimum: Option<f64>,
    /// Overdue calls since the last answer.
    overdue: u32,
    congested: bool,
}

impl AnswerTimes {
    /// Takes the time of an answered call.
    pub(crate) fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.overdue = 0;
        self.add_sample(took);
        let bound = self.congestion_bound();
        // Half of the bound before it counts as quiet again, so that it does not change with each answer.
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

    /// A call was not answered within the limit: each one since the last answer doubles it.
    pub(crate) fn record_timeout(&mut self) {
        self.overdue = self.overdue.saturating_add(1);
    }

    /// How long to wait for an answer, between `least` and `most`.
    pub(crate) fn timeout(&self, least: Duration, most: Duration) -> Duration {
        let expected = self.smoothed.unwrap_or(0.0) + VARIATION_FACTOR * self.variation;
        let expected = Duration::try_from_secs_f64(expected).unwrap_or(most);
        let doubled = 2_u32.saturating_pow(self.overdue.min(16));
        expected.max(least).saturating_mul(doubled).min(most)
    }

    /// What an answer takes at present.
    pub(crate) fn smoothed(&self) -> Duration {
        Duration::try_from_secs_f64(self.smoothed.unwrap_or(0.0)).unwrap_or_default()
    }

    /// What an answer has taken at least.
    pub(crate) fn minimum(&self) -> Duration {
        Duration::try_from_secs_f64(self.minimum.unwrap_or(0.0)).unwrap_or_default()
    }

    /// Whether answers come so late that something on the owner's own side is full, and not a worker gone.
    pub(crate) fn is_congested(&self) -> bool {
        self.congested
    }

    fn congestion_bound(&self) -> Duration {
        self.minimum()
            .mul_f64(CONGESTION_FACTOR)
            .max(MIN_CONGESTED_TIME)
    }
}
