//! The clock, which is passed in wherever a decision depends on time.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

/// A source of monotonic time. Decisions never depend on wall clocks, which jump and differ between VMs.
pub trait ClockSource: Send + Sync {
    /// The current time.
    fn now(&self) -> Instant;
}

/// The monotonic clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl ClockSource for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// A clock that moves only when a test advances it. Clones share the same time.
#[derive(Clone, Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed_micros: Arc<AtomicU64>,
}

impl Default for ManualClock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            elapsed_micros: Arc::default(),
        }
    }
}

impl ManualClock {
    /// Moves the time forward by the given duration, in whole microseconds.
    pub fn advance(&self, by: Duration) {
        let micros = u64::try_from(by.as_micros()).unwrap_or(u64::MAX);
        self.elapsed_micros.fetch_add(micros, Ordering::Relaxed);
    }
}

impl ClockSource for ManualClock {
    fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.elapsed_micros.load(Ordering::Relaxed))
    }
}
