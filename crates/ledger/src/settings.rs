//! Limits of the dispatcher's state.

use std::time::Duration;

use decisions::HealthSettings;

/// Limits of the dispatcher's state.
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    /// How endpoints are judged.
    pub health: HealthSettings,
    /// Reservations at once. One more is turned away as not run, so that memory and waits stay bounded.
    pub max_queue: usize,
    /// How long an entry has to answer an ask before the slot goes to the next in line. An entry answers within a
    /// round trip; one that does not is frozen or cut off, and must not hold a slot meanwhile.
    pub claim_timeout: Duration,
    /// The silence after which an entry's session is over. An entry with an open session pings several times a second,
    /// with 60 sessions each 3 s; one that is frozen or cut off silently would hold up this process's stop and its
    /// reservations the queue.
    pub session_timeout: Duration,
    /// How long the end of an attempt is kept for an entry that is out of reach.
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
