//! The congestion window of an owner: the number of starts it may have in flight.
//!
//! The window matters when there are more starts than the owner's link or CPU can send. Without it, they would wait in
//! the link's queue, where deadlines have no effect and nothing can be withdrawn, and would delay polls, stops and
//! heartbeats too. Tasks therefore wait in the owner's queue until a start may be sent. The window grows while answers
//! come quickly and shrinks when they are late.

use std::time::{Duration, Instant};

/// The initial window: one job of the widest class, and some more.
const INITIAL_WINDOW_STARTS: f64 = 48.0;

/// The minimum window: with fewer starts the tasks of a job would be sent one after another.
const MIN_WINDOW_STARTS: f64 = 6.0;

/// The maximum window, which is more than a pool of a few dozen workers has capacity for.
const MAX_WINDOW_STARTS: f64 = 512.0;

/// The factor by which the window shrinks: that of CUBIC (RFC 9438), which shrinks less than other TCP congestion
/// control.
const SHRINK_FACTOR: f64 = 0.7;

/// The number of starts that may be in flight.
#[derive(Clone, Debug)]
pub(crate) struct StartWindow {
    size: f64,
    /// The time until which the window does not shrink again: answers to starts sent before it last shrank are still
    /// late.
    no_shrink_until: Option<Instant>,
}

impl Default for StartWindow {
    fn default() -> Self {
        Self {
            size: INITIAL_WINDOW_STARTS,
            no_shrink_until: None,
        }
    }
}

impl StartWindow {
    /// The maximum number of starts in flight.
    pub(crate) fn size(&self) -> usize {
        // The cast saturates, and the value is bounded.
        self.size as usize
    }

    /// Adjusts the window after an answer, where `smoothed` is the present answer time and `in_flight` the number of
    /// starts in flight.
    pub(crate) fn on_answer(
        &mut self,
        now: Instant,
        congested: bool,
        smoothed: Duration,
        in_flight: usize,
    ) {
        if !congested {
            // A window that is not used up does not show what the path can carry.
            if in_flight as f64 >= self.size / 2.0 {
                self.size = (self.size + 1.0 / self.size).min(MAX_WINDOW_STARTS);
            }
            return;
        }
        if self.no_shrink_until.is_none_or(|until| now >= until) {
            self.size = (self.size * SHRINK_FACTOR).max(MIN_WINDOW_STARTS);
            self.no_shrink_until = Some(now + smoothed);
        }
    }
}
