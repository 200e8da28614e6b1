//! Limits of the dispatcher's state.

use std::time::Duration;

use decisions::HealthSettings;

/// Limits of the dispatcher's state.
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    /// How the health of endpoints limits their slots.
    pub health: HealthSettings,
    /// The maximum number of reservations. Further tasks are rejected as not run, so that memory and waiting times stay
    /// bounded.
    pub max_queue: usize,
    /// How long an entry may take to answer a claim before the slot goes to the next reservation. An entry answers
    /// within a round trip; one that does not is frozen or cut off, and must not occupy a slot meanwhile.
    pub claim_timeout: Duration,
    /// The silence after which an entry's session is closed. An entry with an open session sends several pings a
    /// second, which with 60 sessions is one every 3 s on each. An entry that is frozen or silently cut off would
    /// otherwise delay the stop of this process, and its reservations would delay the queue.
    pub session_timeout: Duration,
    /// How long the end of an attempt is kept for an entry that does not confirm it.
    pub end_retention: Duration,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            health: HealthSettings::default(),
            max_queue: 20_000,
            claim_timeout: Duration::from_millis(200),
            session_timeout: Duration::from_secs(10),
            end_retention: Duration::from_secs(60),
        }
    }
}
