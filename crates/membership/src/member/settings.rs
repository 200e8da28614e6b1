//! Times and limits of membership.

use std::time::Duration;

/// Times and limits of the heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    /// The shortest interval between two heartbeats of one pair within the data centre.
    pub heartbeat_interval: Duration,
    /// The maximum heartbeats per second, sent and received, that a process exchanges within its data centre. With more
    /// members the period grows instead: it is 4.2 s at 59 peers and 14 heartbeats. A heartbeat and its answer take 608
    /// bytes, so the full mesh stays below 9 of the 27 KB/s that a node may spend on control traffic; with 8 VMs the
    /// limit does not bind.
    pub max_heartbeats_per_second: u32,
    /// The interval between two heartbeats to the contacts of another data centre.
    pub remote_heartbeat_interval: Duration,
    /// The number of contacts in each other data centre. Two, so that one remains known if the other dies.
    pub contacts_per_data_centre: usize,
    /// The silence after an unanswered heartbeat after which a member of the data centre counts as dead: four
    /// heartbeats at the shortest interval. Long enough that an ordinary pause of a process does not move its endpoints
    /// to others and back.
    pub suspect_after: Duration,
    /// The same as `suspect_after`, for contacts in other data centres. It is longer than the interval to the second
    /// heartbeat, as one heartbeat may be lost with its connection.
    pub remote_suspect_after: Duration,
    /// The silence after which a member that no list names is removed.
    pub remove_after: Duration,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            max_heartbeats_per_second: 14,
            remote_heartbeat_interval: Duration::from_secs(10),
            contacts_per_data_centre: 2,
            suspect_after: Duration::from_secs(2),
            remote_suspect_after: Duration::from_secs(12),
            remove_after: Duration::from_secs(60),
        }
    }
}

impl MemberSettings {
    /// The interval between two heartbeats of one pair among `members` peers.
    pub(crate) fn period(&self, members: u32) -> Duration {
        let spread = Duration::from_secs(1) * members / self.max_heartbeats_per_second.max(1);
        self.heartbeat_interval.max(spread)
    }
}
