//! How long the service takes: writes one after the other, reads at a bounded rate.

use std::time::{Duration, Instant};

/// The times of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceTimes {
    /// One transaction, from its turn to its synced effect. Transactions take turns, so 4 ms are 250 a second.
    pub write: Duration,
    /// Added for each row of a transaction after the first.
    pub write_row: Duration,
    /// One read, and one for each full hundred rows of a list. Reads take turns, so 0.5 ms are 2,000 a second.
    pub read: Duration,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        Self {
            write: Duration::from_millis(4),
            write_row: Duration::from_micros(5),
            read: Duration::from_micros(500),
        }
    }
}

/// When the next write and the next read get their turn.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceQueue {
    times: ServiceTimes,
    write_free: Instant,
    read_free: Instant,
}

impl ServiceQueue {
    pub(super) fn new(times: ServiceTimes, now: Instant) -> Self {
        Self {
            times,
            write_free: now,
            read_free: now,
        }
    }

    /// When a transaction that came now takes effect.
    pub(super) fn write_end(&mut self, now: Instant, rows: usize) -> Instant {
        let extra_rows = u32::try_from(rows.saturating_sub(1)).unwrap_or(u32::MAX);
        let time = self.times.write + self.times.write_row * extra_rows;
        self.write_free = self.write_free.max(now) + time;
        self.write_free
    }

    /// When a read that came now gets its answer.
    pub(super) fn read_end(&mut self, now: Instant, rows: usize) -> Instant {
        let read_units = u32::try_from(1 + rows / 100).unwrap_or(u32::MAX);
        self.read_free = self.read_free.max(now) + self.times.read * read_units;
        self.read_free
    }
}
