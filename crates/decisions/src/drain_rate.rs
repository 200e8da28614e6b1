//! How fast a customer's backlog gets started.

use std::time::{Duration, Instant};

/// Starts are summed for this long before they change the rate: long enough for several at any usual share.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// The rate follows a change of the service within about this time. Half a usual deadline: what is admitted now is
/// started that much later, and a rate that follows faster than its own effect comes back swings.
const TIME_CONSTANT: Duration = Duration::from_secs(5);

/// The measured number of slots that work on one customer's backlog at one entry.
///
/// Load: one customer over its share, others now and then. Harm: predicted by its share the customer is refused work
/// that fits in what the others leave; predicted by all slots it is admitted work that comes late. What it got in the
/// last seconds says both.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainRate {
    slots: f64,
    started_work: Duration,
    interval_start: Option<Instant>,
}

impl DrainRate {
    /// Notes that a task started which is expected to take this long, and whether more of the customer's work waits.
    /// Without backlog the starts tell what was asked for, not what the slots could do, and do not count.
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
        self.interval_start = Some(now);
        self.started_work = Duration::ZERO;
    }

    /// Slots' worth of work started each second; 0 while there was no backlog yet.
    pub fn slots(&self) -> f64 {
        self.slots
    }
}
