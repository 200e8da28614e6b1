//! Notices that the process has stood still: it was frozen, its machine was suspended, or it got no processor time.

use std::time::Duration;

/// The ticks after the accept queue was found empty until all that waited in sockets has been read.
///
/// Connections accepted by the first of them have a task each. Between two ticks the process waits for a timer, and
/// so polls its sockets: every socket with unread bytes wakes its task before the timer wakes the tick, and tasks run
/// in the order in which they woke. So at the second tick all these bytes have been read. Ticks serve better than a
/// time, which a process that gets too little processor time may spend without reading.
const READING_TICKS: u32 = 2;

/// How many pauses of the process were noticed. What began under another count was held up by a pause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PauseCount(u64);

/// Notices pauses by the time since the last tick of the process, and when all that waited in sockets meanwhile has
/// been read.
///
/// All times are times since boot ([`ClockSource::since_boot`](crate::ClockSource::since_boot)), which include
/// suspensions of the machine.
#[derive(Debug)]
pub struct PauseMonitor {
    threshold: Duration,
    last_tick: Duration,
    /// The tick before the last one.
    earlier_tick: Duration,
    count: PauseCount,
    /// The ticks, with an empty accept queue, after which all that waited in sockets has been read.
    reading_ticks: u32,
}

impl PauseMonitor {
    /// Creates the monitor of a process that starts now. More than `threshold` without a tick is a pause.
    pub fn new(threshold: Duration, now: Duration) -> Self {
        Self {
            threshold,
            last_tick: now,
            earlier_tick: now,
            count: PauseCount::default(),
            reading_ticks: 0,
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
        self.reading_ticks = READING_TICKS;
        Some(pause)
    }

    /// Records a tick. `is_draining` tells whether the accept queue has not been found empty since the last pause.
    pub fn tick(&mut self, now: Duration, is_draining: bool) {
        self.earlier_tick = self.last_tick;
        self.last_tick = self.last_tick.max(now);
        if !is_draining {
            self.reading_ticks = self.reading_ticks.saturating_sub(1);
        }
    }

    /// How many pauses were noticed.
    pub fn count(&self) -> PauseCount {
        self.count
    }

    /// Returns whether what is read now may have been sent before the end of a pause, whether or not the pause was
    /// noticed.
    pub fn has_paused(&self, now: Duration) -> bool {
        self.reading_ticks > 0 || self.since_tick(now) > self.threshold
    }

    /// The longest time for which what is read now may have waited in its socket or in the accept queue, if the process has
    /// not paused: the time since the tick before the last one. What a connection that was accepted after a late tick has
    /// sent may be read only after that tick.
    pub fn longest_unread(&self, now: Duration) -> Duration {
        now.saturating_sub(self.earlier_tick)
    }

    /// The time since the last tick, or since a pause was noticed after it.
    pub fn since_tick(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_tick)
    }
}
