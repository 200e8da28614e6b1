//! How old the routing configuration of a process can be.

use std::time::Duration;

/// When the routing configuration was last known to be the newest one.
///
/// Times are those of a clock that goes on while the machine is suspended. A steady clock that stands still would make a
/// configuration from before a suspension look recent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableFreshness {
    read_begun: Option<Duration>,
}

impl TableFreshness {
    /// Records that a read of the configuration was answered, and when it was sent. The answer may have been under way
    /// for seconds, so the configuration is only known to have been the newest one when the read was sent.
    pub fn record_read(&mut self, begun: Duration) {
        self.read_begun = self.read_begun.max(Some(begun));
    }

    /// The greatest possible age of the configuration, None if it was never read.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.read_begun.map(|begun| now.saturating_sub(begun))
    }

    /// Whether every configuration that was written at least `limit` ago is known.
    pub fn is_within(&self, limit: Duration, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }
}
