//! The work of scheduled returns over time.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The length of an interval. Callers that are refused at different times within a second return at different times
/// within a later one, so intervals shorter than a second keep the returns evenly spread.
const INTERVAL: Duration = Duration::from_millis(100);

/// The maximum number of intervals over which the work of one return is spread. The longest usual tasks run that long.
const SPREAD_INTERVALS: u64 = 10;

/// A rate of work, in core-milliseconds per second, which are thousandths of a core.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) struct WorkRate(pub(crate) f64);

impl WorkRate {
    /// The work in one interval, in core-milliseconds.
    fn per_interval(self) -> f64 {
        self.0 * INTERVAL.as_secs_f64()
    }
}

/// The booked work by interval, in core-milliseconds. A return occupies capacity for some time, so its work is spread
/// over the intervals from its time on.
#[derive(Clone, Debug)]
pub(crate) struct ReturnBookings {
    origin: Instant,
    booked: BTreeMap<u64, f64>,
}

impl ReturnBookings {
    /// Creates empty bookings. `now` is not after any time that is booked.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            origin: now,
            booked: BTreeMap::new(),
        }
    }

    /// Whether work can be booked from a time on without exceeding the rate. Work that exceeds it alone fits where
    /// nothing else is booked.
    pub(crate) fn has_room(&self, due: Instant, work: f64, rate: WorkRate) -> bool {
        let limit = rate.per_interval();
        let room = |interval| (limit - self.booked_in(interval)).max(0.0);
        let total: f64 = self.intervals(due).map(room).sum();
        let most = limit * SPREAD_INTERVALS as f64;
        room(self.interval(due)) > 0.0 && total >= work.min(most)
    }

    /// Books work from a time on, in each interval up to the rate, and what is left in the last one.
    pub(crate) fn book(&mut self, due: Instant, work: f64, rate: WorkRate) {
        let limit = rate.per_interval();
        let mut left = work;
        let mut last = 0;
        for interval in self.intervals(due) {
            let booked = self.booked.entry(interval).or_default();
            let part = (limit - *booked).clamp(0.0, left);
            *booked += part;
            left -= part;
            last = interval;
        }
        *self.booked.entry(last).or_default() += left;
    }

    /// Cancels a booking. Where others are booked in the same intervals, the earliest intervals become free first.
    pub(crate) fn cancel(&mut self, due: Instant, work: f64) {
        let mut left = work;
        for interval in self.intervals(due) {
            let Some(booked) = self.booked.get_mut(&interval) else {
                continue;
            };
            let part = booked.min(left);
            *booked -= part;
            left -= part;
        }
    }

    /// The work booked in the intervals over which a return at this time would be spread.
    pub(crate) fn booked_from(&self, due: Instant) -> f64 {
        let intervals = self.intervals(due);
        intervals.map(|interval| self.booked_in(interval)).sum()
    }

    /// Forgets the bookings of intervals that have passed.
    pub(crate) fn remove_before(&mut self, now: Instant) {
        let current = self.interval(now);
        self.booked = self.booked.split_off(&current);
    }

    fn booked_in(&self, interval: u64) -> f64 {
        self.booked.get(&interval).copied().unwrap_or_default()
    }

    fn intervals(&self, due: Instant) -> std::ops::Range<u64> {
        let first = self.interval(due);
        first..first + SPREAD_INTERVALS
    }

    fn interval(&self, time: Instant) -> u64 {
        let passed = time.saturating_duration_since(self.origin).as_millis();
        let interval = passed / INTERVAL.as_millis();
        u64::try_from(interval).unwrap_or(u64::MAX)
    }
}
