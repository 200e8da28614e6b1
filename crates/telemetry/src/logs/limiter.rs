//! Limits the rate of log messages per call site.
//!
//! Under overload or during a network partition, the same message can occur thousands of times a second. The lines
//! would fill the VM's log pipe, and writing them would cost time on threads that have none to spare. A limit per call
//! site keeps rare messages, which explain what happened, from being lost among frequent ones.

use std::time::{Duration, Instant};

use model::FastMap;

/// The window in which the messages of a call site are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// The maximum number of call sites with their own limit. Call sites are lines of code, so only a bug can exceed it;
/// further call sites then share one limit.
const MAX_CALL_SITES: usize = 4096;

/// The source location that logs a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallSite {
    /// The source file.
    pub file: &'static str,
    /// The line, from 1; 0 if unknown.
    pub line: u32,
}

/// Whether a message is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogDecision {
    /// The message is written.
    Write,
    /// The message is only counted.
    Suppress,
}

/// The number of suppressed messages of one call site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuppressedCount {
    /// The call site.
    pub site: CallSite,
    /// The messages suppressed since the last count of this call site.
    pub messages: u64,
}

/// Counts messages by call site and window.
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
    /// Creates a limiter that lets `per_second` messages of each call site pass per second.
    pub fn new(per_second: u32) -> Self {
        Self {
            max_per_window: per_second,
            sites: FastMap::default(),
            suppressed_total: 0,
            next_sweep: None,
        }
    }

    /// Counts a message and decides whether it is written.
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

    /// Takes the counts of call sites whose window is over, ordered by call site. Each count is returned once. A call
    /// less than one window after the last sweep returns nothing.
    pub fn take_due_counts(&mut self, now: Instant) -> Vec<SuppressedCount> {
        if self.next_sweep.is_some_and(|next| now < next) {
            return Vec::new();
        }
        self.next_sweep = Some(now + WINDOW);
        self.take_counts(|count| now.saturating_duration_since(count.window_start) >= WINDOW)
    }

    /// Takes every count that was not returned yet, for the end of the process.
    pub fn take_all_counts(&mut self) -> Vec<SuppressedCount> {
        self.take_counts(|_| true)
    }

    /// The number of messages suppressed since the start.
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
