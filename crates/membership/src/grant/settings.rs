//! Times and limits of grants.

use std::time::Duration;

/// Times and limits of grants. `term` and `margin` must be the same in every process of a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantSettings {
    /// How long a grant holds. It bounds how long a dead entry's part is lost to the others, how long a new home must
    /// wait and how long an overrun may last; a shorter one costs more renewals. It is longer than it takes to find a
    /// dead home (8.3 s at 60 VMs), so that most holders still have their grant to show to the next one.
    pub term: Duration,
    /// How much longer the home waits, by its own clock, before it takes a lapsed grant back. The holder's term starts
    /// earlier, so this only has to cover clocks that run at different speeds: 5% of the term, where machines differ by
    /// less than 0.1%.
    pub margin: Duration,
    /// The time from a grant to its renewal. A renewal can fail three times before the term ends; a shorter time would
    /// break the budget at 60 VMs.
    pub renewal_interval: Duration,
    /// The time to the next ask when one went unanswered or brought less than wanted.
    pub retry_interval: Duration,
    /// How long a part of a grant goes unused before it is given back.
    pub return_unused_after: Duration,
    /// How long the home must have been silent before an entry without a grant falls back to its base share.
    pub base_share_after: Duration,
    /// A gap in the home's own inputs after which others may have taken another for the home. At most the suspect time
    /// of membership.
    pub max_input_gap: Duration,
    /// The most bytes a second that an entry spends on asks and their answers, headers included. Under full saturation
    /// of every customer each entry is short everywhere, and retries alone would break the 27 KB/s of a node. Beats
    /// need 11.6 KB/s, and the VM that is home of most customers hears 9.3 KB/s. Those due first go first.
    pub max_bytes_per_second: u32,
    /// How much more than it has use for an entry asks, in percent and at least 1, so that the next task need not wait
    /// for a round trip.
    pub headroom_percent: u32,
    /// The least that an entry asks for when it holds nothing, and at most its base share. Load: a few tasks come close
    /// together after a pause. Harm: each waits for a round trip of its own. Never more than the base share, since
    /// others need the rest, and few, since a busy entry elsewhere is cut by it until the unused part goes back.
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
    /// How long the home keeps a debit after the ask that made or confirmed it.
    pub fn reclaim_after(&self) -> Duration {
        self.term + self.margin
    }
}
