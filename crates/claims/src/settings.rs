//! Intervals, timeouts and delays of heartbeats and claims.

use std::time::Duration;

/// Intervals, timeouts and delays of heartbeats and claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// The interval of heartbeats between processes of a data centre of which at least one owns a pool; the
    /// shortest interval between processes without pools.
    pub local_heartbeat_interval: Duration,
    /// The longest interval of heartbeats between processes of a data centre without pools. The interval
    /// grows with the number of processes.
    pub max_idle_heartbeat_interval: Duration,
    /// The shortest interval of heartbeats to other data centres. Traffic between data centres is charged for.
    pub remote_heartbeat_interval: Duration,
    /// The interval of heartbeats to other data centres is at least this for each other member: with 32
    /// processes, each receives 28 heartbeats a second from other data centres.
    pub remote_heartbeat_interval_per_member: Duration,
    /// How long a process of the same data centre may be silent before it counts as gone: three heartbeats
    /// and the delay of a slowed process.
    pub local_silence_timeout: Duration,
    /// How long after its start a process treats all members as candidates, heard or not.
    pub startup_time: Duration,
    /// How long a process listens after its start before it takes a pool from an owner that it does not hear.
    /// Other processes learn about it from its first heartbeat, and owners in other data centres send theirs
    /// within `remote_heartbeat_interval`.
    pub startup_listen_time: Duration,
    /// The time after a pool's change of owner in which no process claims the pool while any of its peers hears
    /// the owner. Pools are handed over only after the same time.
    pub settle_time: Duration,
    /// The delay before a pool's workers are probed again after none of them could be reached.
    pub probe_retry_delay: Duration,
    /// The backoff after the store has left a claim undecided; doubled with each such claim in a row.
    pub initial_claim_backoff: Duration,
    /// The longest backoff. Outages last seconds, and a pool must not lack an owner for much longer than an
    /// outage.
    pub max_claim_backoff: Duration,
    /// The delay of a claim for each rank among the candidates, so that usually one process claims: two round
    /// trips to the store.
    pub rank_delay: Duration,
    /// The additional delay of claims by processes of other data centres, which reach the workers over longer
    /// paths.
    pub remote_claim_delay: Duration,
    /// How long an owner's row must stay unchanged before an isolated process takes its pool: a process that
    /// hears no other one is more likely to be cut off itself.
    pub isolated_claim_delay: Duration,
    /// The interval between two refreshes of an owner's member row, and the shortest one for other processes.
    pub row_refresh_interval: Duration,
    /// How long a pool counts as having open kept jobs after a read that found some: two intervals of such reads and some
    /// more.
    pub open_jobs_memory: Duration,
    /// How long a probe or a write of a claim may take before the attempt starts over.
    pub attempt_timeout: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            local_heartbeat_interval: Duration::from_millis(100),
            max_idle_heartbeat_interval: Duration::from_millis(1_000),
            remote_heartbeat_interval: Duration::from_millis(400),
            remote_heartbeat_interval_per_member: Duration::from_millis(25),
            local_silence_timeout: Duration::from_millis(420),
            startup_time: Duration::from_millis(1_300),
            startup_listen_time: Duration::from_millis(1_500),
            settle_time: Duration::from_millis(4_000),
            probe_retry_delay: Duration::from_millis(1_000),
            initial_claim_backoff: Duration::from_millis(100),
            max_claim_backoff: Duration::from_millis(800),
            rank_delay: Duration::from_millis(120),
            remote_claim_delay: Duration::from_millis(700),
            isolated_claim_delay: Duration::from_millis(9_500),
            row_refresh_interval: Duration::from_millis(4_000),
            open_jobs_memory: Duration::from_millis(12_000),
            attempt_timeout: Duration::from_millis(600),
        }
    }
}
