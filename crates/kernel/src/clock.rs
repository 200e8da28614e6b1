//! The clock, passed in wherever time decides something.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

/// A source of monotonic time. Wall clocks decide nothing: they jump, and they differ between VMs.
pub trait ClockSource: Send + Sync {
    /// The time now.
    fn now(&self) -> Instant;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl ClockSource for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// A clock that a test moves by hand. Clones share the same time.
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
    /// Moves the time forward.
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
