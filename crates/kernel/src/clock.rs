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
    /// The current time. It stands still while the machine is suspended.
    fn now(&self) -> Instant;

    /// The time since the machine was booted, including time in which it was suspended.
    fn since_boot(&self) -> Duration;
}

/// The monotonic clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl ClockSource for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn since_boot(&self) -> Duration {
        let mut time = libc::timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        // SAFETY: `time` is a valid, writable timespec, and the clock's number is a constant of the platform.
        let result = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &raw mut time) };
        if result != 0 {
            // The call fails only for a clock that the kernel does not have.
            return Duration::ZERO;
        }
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
        Duration::new(seconds, nanos)
    }
}

/// A clock that moves only when a test advances it. Clones share the same time.
#[derive(Clone, Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed_micros: Arc<AtomicU64>,
    suspended_micros: Arc<AtomicU64>,
}

impl Default for ManualClock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            elapsed_micros: Arc::default(),
            suspended_micros: Arc::default(),
        }
    }
}

impl ManualClock {
    /// Moves the time forward by the given duration, in whole microseconds.
    pub fn advance(&self, by: Duration) {
        add_micros(&self.elapsed_micros, by);
    }

    /// Suspends the machine for the given duration, in whole microseconds.
    pub fn suspend(&self, by: Duration) {
        add_micros(&self.suspended_micros, by);
    }
}

fn add_micros(total: &AtomicU64, by: Duration) {
    let micros = u64::try_from(by.as_micros()).unwrap_or(u64::MAX);
    total.fetch_add(micros, Ordering::Relaxed);
}

impl ClockSource for ManualClock {
    fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.elapsed_micros.load(Ordering::Relaxed))
    }
    fn since_boot(&self) -> Duration {
        let elapsed = self.elapsed_micros.load(Ordering::Relaxed);
        let suspended = self.suspended_micros.load(Ordering::Relaxed);
        Duration::from_micros(elapsed + suspended)
    }
}
