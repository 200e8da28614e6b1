//! Times and limits of grants.

use std::time::Duration;

/// Times and limits of grants. `term` and `margin` must be the same in every process of a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantSettings {
    /// How long a grant is valid. This bounds how long the part of a dead entry is lost to the others, how long a new
    /// home must wait and how long an overrun may last; a shorter term costs more renewals. It is longer than the time
    /// to detect a dead home (8.3 s at 60 VMs), so that most holders still have a grant to report to the next home.
    pub term: Duration,
    /// How much longer than the term the home waits, by its own clock, before it frees an expired grant. The holder's
    /// term starts earlier, so the margin only has to cover clocks that run at different speeds: it is 5% of the term,
    /// and machines differ by less than 0.1%.
    pub margin: Duration,
    /// The time from a grant to its renewal. A renewal can fail three times before the term ends; a shorter interval
    /// would exceed the byte budget at 60 VMs.
    pub renewal_interval: Duration,
    /// The time to the next ask after one that was not answered or brought less than wanted.
    pub retry_interval: Duration,
    /// How long more than half of a grant stays unused before the unused part is returned.
    pub return_unused_after: Duration,
    /// How long the home must have left asks unanswered before an entry without a grant falls back to its base share.
    pub base_share_after: Duration,
    /// A longer gap than this between inputs of the home means that other processes may have chosen another home. At
    /// most [`crate::MemberSettings::suspect_after`].
    pub max_input_gap: Duration,
    /// The maximum bytes per second that an entry spends on asks and their answers, headers included. If every customer
    /// is saturated, each entry is short of all grants, and retries alone would exceed the 27 KB/s that a node may
    /// spend on control traffic. Heartbeats need 11.6 KB/s of these, and the VM that is home of the most customers
    /// receives 9.3 KB/s. The asks that have been due for longest go out first.
    pub max_bytes_per_second: u32,
    /// The percentage, at least 1, by which an entry asks for more than it has use for, so that the next task need not
    /// wait for a round trip.
    pub headroom_percent: u32,
    /// The minimum that an entry asks for when it holds nothing, capped at its base share. When a few tasks arrive
    /// shortly after a pause, each would otherwise wait for a round trip of its own. It is never more than the base
    /// share, since other entries need the rest, and it is small, since it reduces the grant of a busy entry elsewhere
    /// until the unused part is returned.
    pub min_initial_ask: u32,
}

impl Default for GrantSettings {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(12),
            margin: Duration::from_millis(600),
            renewal_interval: Duration::from_secs(8),
            retry_interval: Duration::from_secs(1),
            return_unused_after: Duration::from_millis(500),
            base_share_after: Duration::from_secs(2),
            max_input_gap: Duration::from_secs(2),
            max_bytes_per_second: 6000,
            headroom_percent: 25,
            min_initial_ask: 4,
        }
    }
}

impl GrantSettings {
    /// How long the home keeps a lease after the ask that made or confirmed it.
    pub fn reclaim_after(&self) -> Duration {
        self.term + self.margin
    }
}
