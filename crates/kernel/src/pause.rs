//! Notices that the process has stood still: it was frozen, its machine was suspended, or it got no processor time.

use std::time::Duration;

/// How many pauses of the process were noticed. What began under another count was held up by a pause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PauseCount(u64);

/// Notices pauses by the time since the last tick of the process.
///
/// All times are times since boot ([`ClockSource::since_boot`](crate::ClockSource::since_boot)), which include
/// suspensions of the machine.
#[derive(Debug)]
pub struct PauseMonitor {
    threshold: Duration,
    last_tick: Duration,
    count: PauseCount,
    /// Whether there was a tick since the last pause was noticed.
    has_ticked: bool,
}

impl PauseMonitor {
    /// Creates the monitor of a process that starts now. More than `threshold` without a tick is a pause.
    pub fn new(threshold: Duration, now: Duration) -> Self {
        Self {
            threshold,
            last_tick: now,
            count: PauseCount::default(),
            has_ticked: true,
        }
    }

    /// Returns how long the process has paused, once for each pause: the caller has to handle it now.
    pub fn notice(&mut self, now: Duration) -> Option<Duration> {
        let pause = self.since_tick(now);
        if pause <= self.threshold {
            return None;
        }
        self.last_tick = now;
        self.count.0 += 1;
        self.has_ticked = false;
        Some(pause)
    }

    /// Records a tick.
    pub fn tick(&mut self, now: Duration) {
        self.last_tick = now;
        self.has_ticked = true;
    }

    /// How many pauses were noticed.
    pub fn count(&self) -> PauseCount {
        self.count
    }

    /// Returns whether the process has paused and did not tick since, whether or not the pause was noticed.
    pub fn has_paused(&self, now: Duration) -> bool {
        !self.has_ticked || self.since_tick(now) > self.threshold
    }

    /// The time since the last tick, or since a pause was noticed after it.
    pub fn since_tick(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_tick)
    }
}
