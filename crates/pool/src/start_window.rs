//! How many starts an owner has under way at a time.
//!
//! Load it is made for: more starts than the owner's link or processor can send. Harm prevented: what is sent all the
//! same stands in the link's queue, where no deadline counts and nothing can be taken back, and makes looks, stops and
//! heartbeats late too. So tasks wait in the owner's queue for a place among the starts under way; their number grows
//! while answers come quickly and shrinks when they come late.

use std::time::{Duration, Instant};

/// Starts under way at first: a job of the widest class, and some more.
const INITIAL_WINDOW_STARTS: f64 = 48.0;

/// The fewest: with fewer a job's tasks would go one after another.
const MIN_WINDOW_STARTS: f64 = 6.0;

/// The most, beyond what a pool of a few dozen workers has places for.
const MAX_WINDOW_STARTS: f64 = 512.0;

/// By how much it shrinks at once, as in TCP's congestion avoidance with its gentler factor (RFC 9438).
const SHRINK_FACTOR: f64 = 0.7;

/// The number of starts that may be under way.
#[derive(Clone, Debug)]
pub(crate) struct StartWindow {
    size: f64,
    /// Until when it does not shrink again: what was sent before the last time still comes late.
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
    /// How many starts may be under way.
    pub(crate) fn size(&self) -> usize {
        // The cast saturates, and the value is bounded.
        self.size as usize
    }

    /// Takes an answer that came after the usual time of `smoothed`, while `under_way` starts were.
    pub(crate) fn on_answer(
        &mut self,
        now: Instant,
        strained: bool,
        smoothed: Duration,
        under_way: usize,
    ) {
        if !strained {
            // A window that is not used says nothing about what the path bears.
            if under_way as f64 >= self.size / 2.0 {
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
