//! The bound on how much is logged.
//!
//! Load: under overload or a cut, one cause repeats thousands of times a second. Harm: the lines fill the VM's log
//! pipe, and writing them takes the threads' time just when it is short. A limit for each place in the code keeps the
//! rare messages, which tell what happened, from being lost among the frequent ones.

use std::time::{Duration, Instant};

use model::FastMap;

/// The window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// The most places that are told apart. Places are lines of code, so only a fault would go beyond; those share one
/// limit then.
const MAX_PLACES: usize = 4096;

/// The place of a message in the code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPlace {
    /// The source file.
    pub file: &'static str,
    /// The line, from 1; 0 where the compiler gave none.
    pub line: u32,
}

/// Whether a message is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogVerdict {
    /// It is written.
    Write,
    /// It is only counted.
    Suppress,
}

/// How many messages of one place were left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuppressedCount {
    /// The place.
    pub place: LogPlace,
    /// The messages left out since the last such count.
    pub messages: u64,
}

/// Counts messages by place and window.
#[derive(Debug)]
pub struct LogLimiter {
    per_window: u32,
    places: FastMap<LogPlace, PlaceCount>,
    suppressed_total: u64,
    next_sweep: Option<Instant>,
}

#[derive(Debug)]
struct PlaceCount {
    window_start: Instant,
    written: u32,
    suppressed: u64,
}

impl LogLimiter {
    /// Lets `per_second` messages of each place pass in a second.
    pub fn new(per_second: u32) -> Self {
        Self {
            per_window: per_second,
            places: FastMap::default(),
            suppressed_total: 0,
            next_sweep: None,
        }
    }

    /// Takes one message in.
    pub fn admit(&mut self, place: LogPlace, now: Instant) -> LogVerdict {
        let place = self.known_place(place);
        let count = self.places.entry(place).or_insert(PlaceCount {
            window_start: now,
            written: 0,
            suppressed: 0,
        });
        if now.saturating_duration_since(count.window_start) >= WINDOW {
            count.window_start = now;
            count.written = 0;
        }
        if count.written < self.per_window {
            count.written += 1;
            return LogVerdict::Write;
        }
        count.suppressed += 1;
        self.suppressed_total += 1;
        LogVerdict::Suppress
    }

    /// The counts of places whose window is over, at most once a window, in the order of places. They are told once.
    pub fn due_counts(&mut self, now: Instant) -> Vec<SuppressedCount> {
        if self.next_sweep.is_some_and(|next| now < next) {
            return Vec::new();
        }
        self.next_sweep = Some(now + WINDOW);
        self.take_counts(|count| now.saturating_duration_since(count.window_start) >= WINDOW)
    }

    /// Every count not told yet, for the end of the process.
    pub fn all_counts(&mut self) -> Vec<SuppressedCount> {
        self.take_counts(|_| true)
    }

    /// The messages left out since the start.
    pub fn suppressed_total(&self) -> u64 {
        self.suppressed_total
    }

    fn known_place(&self, place: LogPlace) -> LogPlace {
        if self.places.len() < MAX_PLACES || self.places.contains_key(&place) {
            return place;
        }
        LogPlace { file: "", line: 0 }
    }

    fn take_counts(&mut self, due: impl Fn(&PlaceCount) -> bool) -> Vec<SuppressedCount> {
        let mut counts = Vec::new();
        for (place, count) in &mut self.places {
            if count.suppressed == 0 || !due(count) {
                continue;
            }
            counts.push(SuppressedCount {
                place: *place,
                messages: std::mem::take(&mut count.suppressed),
            });
        }
        counts.sort_by_key(|count| count.place);
        counts
    }
}
