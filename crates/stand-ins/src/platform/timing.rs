//! Service times of the platform: writes are executed one after another, reads at a bounded rate.

use std::time::{Duration, Instant};

/// Service times of reads and writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceTimes {
    /// Time of one transaction until it is synced. Transactions are executed one after another, so 4 ms allow 250 per
    /// second.
    pub write: Duration,
    /// Additional time for each row of a transaction after the first.
    pub write_row: Duration,
    /// Time of one read; a list takes one more for each full hundred rows. Reads are executed one after another, so
    /// 0.5 ms allow 2,000 per second.
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

/// Tracks when the service is free for the next write and the next read.
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

    /// Queues a transaction that arrives at `now` and returns when it takes effect.
    pub(super) fn write_end(&mut self, now: Instant, rows: usize) -> Instant {
        let extra_rows = u32::try_from(rows.saturating_sub(1)).unwrap_or(u32::MAX);
        let time = self.times.write + self.times.write_row * extra_rows;
        self.write_free = self.write_free.max(now) + time;
        self.write_free
    }

    /// Queues a read that arrives at `now` and returns when it is answered.
    pub(super) fn read_end(&mut self, now: Instant, rows: usize) -> Instant {
        let read_units = u32::try_from(1 + rows / 100).unwrap_or(u32::MAX);
        self.read_free = self.read_free.max(now) + self.times.read * read_units;
        self.read_free
    }
}
