//! Measures how fast work is started or arrives.

use std::time::{Duration, Instant};

/// The length of one sample. It has to hold several task starts at any usual share.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// The time constant of the moving average, half a usual deadline. Work that is admitted now starts that much later,
/// and a rate that adapts faster than its own effects appear would oscillate.
const TIME_CONSTANT: Duration = Duration::from_secs(5);

/// A smoothed rate of work: the work per second is a number of slots, or of cores if the work is core time.
///
/// At an entry it is the number of slots that work on one customer's backlog. It predicts the wait of a customer that is over its share while others submit only now and then. A prediction from
/// the customer's share alone would refuse work that fits into the slots that the others leave free; a prediction from
/// all slots would admit work that comes late. The slots that the customer got in the last seconds avoid both errors.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainRate {
    slots: f64,
    started_work: Duration,
    interval_start: Option<Instant>,
    /// The total length of all samples.
    sampled: Duration,
}

impl DrainRate {
    /// Records that a task with the given expected run time started, and whether more of the customer's work waits.
    /// Starts without a backlog are ignored: they reflect the demand, not the capacity of the slots.
    pub fn on_start(&mut self, now: Instant, expected: Duration, has_backlog: bool) {
        let Some(interval_start) = self.interval_start.filter(|_| has_backlog) else {
            self.interval_start = has_backlog.then_some(now);
            self.started_work = Duration::ZERO;
            return;
        };
        self.started_work = self.started_work.saturating_add(expected);
        let elapsed = now.saturating_duration_since(interval_start);
        if elapsed < SAMPLE_INTERVAL {
            return;
        }
        let sample = self.started_work.as_secs_f64() / elapsed.as_secs_f64();
        let weight = 1.0 - (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.slots += weight * (sample - self.slots);
        self.sampled = self.sampled.saturating_add(elapsed);
        self.interval_start = Some(now);
        self.started_work = Duration::ZERO;
    }

    /// The smoothed amount of expected run time started per second, which is a number of slots; 0 until there was a
    /// backlog.
    pub fn slots(&self) -> f64 {
        self.slots
    }

    /// As [`Self::slots`], without the bias towards 0 of a moving average that has just begun.
    pub fn unbiased_slots(&self) -> f64 {
        let weight = 1.0 - (-self.sampled.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        if weight > 0.0 {
            self.slots / weight
        } else {
            0.0
        }
    }
}
