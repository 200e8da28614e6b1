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
const MAX_CALL_SITES: usize = 4096;

/// The place of a message in the code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallSite {
    /// The source file.
    pub file: &'static str,
    /// The line, from 1; 0 where the compiler gave none.
    pub line: u32,
}

/// Whether a message is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogDecision {
    /// It is written.
    Write,
    /// It is only counted.
    Suppress,
}

/// How many messages of one place were left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuppressedCount {
    /// The site.
    pub site: CallSite,
    /// The messages left out since the last such count.
    pub messages: u64,
}

/// Counts messages by place and window.
#[derive(Debug)]
pub struct LogLimiter {
    max_per_window: u32,
    sites: FastMap<CallSite, SiteCount>,
    suppressed_total: u64,
    next_sweep: Option<Instant>,
}

#[derive(Debug)]
struct SiteCount {
    window_start: Instant,
    written: u32,
    suppressed: u64,
}

impl LogLimiter {
    /// Lets `per_second` messages of each place pass in a second.
    pub fn new(per_second: u32) -> Self {
        Self {
            max_per_window: per_second,
            sites: FastMap::default(),
            suppressed_total: 0,
            next_sweep: None,
        }
    }

    /// Takes one message in.
    pub fn admit(&mut self, site: CallSite, now: Instant) -> LogDecision {
        let site = self.tracked_site(site);
        let count = self.sites.entry(site).or_insert(SiteCount {
            window_start: now,
            written: 0,
            suppressed: 0,
        });
        if now.saturating_duration_since(count.window_start) >= WINDOW {
            count.window_start = now;
            count.written = 0;
        }
        if count.written < self.max_per_window {
            count.written += 1;
            return LogDecision::Write;
        }
        count.suppressed += 1;
        self.suppressed_total += 1;
        LogDecision::Suppress
    }

    /// The counts of places whose window is over, at most once a window, in the order of sites. They are told once.
    pub fn take_due_counts(&mut self, now: Instant) -> Vec<SuppressedCount> {
        if self.next_sweep.is_some_and(|next| now < next) {
            return Vec::new();
        }
        self.next_sweep = Some(now + WINDOW);
        self.take_counts(|count| now.saturating_duration_since(count.window_start) >= WINDOW)
    }

    /// Every count not told yet, for the end of the process.
    pub fn take_all_counts(&mut self) -> Vec<SuppressedCount> {
        self.take_counts(|_| true)
    }

    /// The messages left out since the start.
    pub fn suppressed_total(&self) -> u64 {
        self.suppressed_total
    }

    fn tracked_site(&self, site: CallSite) -> CallSite {
        if self.sites.len() < MAX_CALL_SITES || self.sites.contains_key(&site) {
            return site;
        }
        CallSite { file: "", line: 0 }
    }

    fn take_counts(&mut self, due: impl Fn(&SiteCount) -> bool) -> Vec<SuppressedCount> {
        let mut counts = Vec::new();
        for (site, count) in &mut self.sites {
            if count.suppressed == 0 || !due(count) {
                continue;
            }
            counts.push(SuppressedCount {
                site: *site,
                messages: std::mem::take(&mut count.suppressed),
            });
        }
        counts.sort_by_key(|count| count.site);
        counts
    }
}
