//! Times of heartbeats and claims.

use std::time::Duration;

/// Times of heartbeats and claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// The time between two heartbeats to processes of the same data centre.
    pub near_heartbeat_interval: Duration,
    /// The most that the time grows to between two heartbeats of processes without pools, as processes become more.
    pub max_idle_heartbeat_interval: Duration,
    /// The time between two heartbeats to other data centres, whose bytes are paid for.
    pub far_heartbeat_interval: Duration,
    /// Added to `far_heartbeat_interval` for each process beyond what it covers: at 32 processes one hears 28 heartbeats a second from
    /// other data centres.
    pub far_heartbeat_interval_per_member: Duration,
    /// How long a process of the same data centre may be silent before it counts as gone: three heartbeats, and the
    /// time that a slowed process takes.
    pub near_silence_timeout: Duration,
    /// How long after its start a process takes all members for candidates, heard or not.
    pub startup_time: Duration,
    /// How long a process that has just started listens before it takes a pool from an owner that it does not hear.
    /// Others learn of it with its first heartbeat, and owners of other data centres send theirs within `far_heartbeat_interval`.
    pub startup_listen_time: Duration,
    /// How long after a pool has changed hands an owner is left alone that any process hears.
    pub settle_time: Duration,
    /// How long after workers could not be reached they are tried again.
    pub probe_retry_delay: Duration,
    /// How long after the store has turned a claim away the next one goes out; doubled each time in a row.
    pub min_claim_backoff: Duration,
    /// The most that it is doubled to: outages last seconds, and a pool must not lack an owner for much longer than they do.
    pub max_claim_backoff: Duration,
    /// How much later each further candidate claims, so that usually one does: two round trips to the store.
    pub rank_delay: Duration,
    /// How much later candidates of other data centres claim. They reach the workers over longer ways.
    pub far_delay: Duration,
    /// How long a member's row must stand still before a process that hears nobody takes its pool: such a process is
    /// more likely to be cut off itself.
    pub isolated_claim_delay: Duration,
    /// The time between two refreshes of a process's own row.
    pub row_refresh_interval: Duration,
    /// How long an attempt to claim may be under way before the next one.
    pub attempt_timeout: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            near_heartbeat_interval: Duration::from_millis(100),
            max_idle_heartbeat_interval: Duration::from_millis(1_000),
            far_heartbeat_interval: Duration::from_millis(400),
            far_heartbeat_interval_per_member: Duration::from_millis(25),
            near_silence_timeout: Duration::from_millis(420),
            startup_time: Duration::from_millis(1_300),
            startup_listen_time: Duration::from_millis(1_500),
            settle_time: Duration::from_millis(4_000),
            probe_retry_delay: Duration::from_millis(1_000),
            min_claim_backoff: Duration::from_millis(100),
            max_claim_backoff: Duration::from_millis(800),
            rank_delay: Duration::from_millis(120),
            far_delay: Duration::from_millis(700),
            isolated_claim_delay: Duration::from_millis(9_500),
            row_refresh_interval: Duration::from_millis(4_000),
            attempt_timeout: Duration::from_millis(600),
        }
    }
}
