//! Intervals of heartbeats, and how long a peer may be silent.
//!
//! Designed for hundreds of processes, a few dozen of which own pools. If each process sent ten heartbeats a
//! second to every other process of its data centre, heartbeats would grow with the square of the number of
//! processes, and receiving them would take most of a large fleet's processor time. Only the silence of an owner
//! has to be detected at once, because its pool stands still. So owners send and receive heartbeats often, and
//! other processes seldom. How long the jobs of a lost entry go on depends on leases, not on heartbeats.

use std::time::{Duration, Instant};

use model::FastMap;

use super::{ClaimController, HeardPeer, MAX_MISSED_REMOTE_HEARTBEATS};
use crate::{
    rows::MemberRow,
    view::{NodeDigest, NodeId},
};

/// Other members of a data centre up to which processes without pools send heartbeats as often as owners do.
const FULL_RATE_MEMBERS: u32 = 4;

/// Heartbeats between processes without pools that may be lost before the sender counts as silent.
const MAX_MISSED_IDLE_HEARTBEATS: u32 = 3;

/// The class of heartbeats between two processes, which determines their interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatClass {
    /// Both are in one data centre, and at least one owns a pool.
    Owner,
    /// Both are in one data centre, and neither owns a pool.
    Idle,
    /// They are in different data centres.
    Remote,
}

impl HeartbeatClass {
    /// All classes, in the order of their discriminants.
    pub const ALL: [Self; 3] = [Self::Owner, Self::Idle, Self::Remote];
}

impl ClaimController {
    /// The interval between two heartbeats of a class.
    pub fn heartbeat_interval(&self, class: HeartbeatClass) -> Duration {
        match class {
            HeartbeatClass::Owner => self.settings.local_heartbeat_interval,
            HeartbeatClass::Idle => self.idle_heartbeat_interval(),
            HeartbeatClass::Remote => self.remote_heartbeat_interval(),
        }
    }

    /// The other members, and the class of the heartbeats to each.
    pub fn peers(&self) -> impl Iterator<Item = (&MemberRow, HeartbeatClass)> + '_ {
        let is_owner = self.owners.contains_key(&self.own_row.node);
        self.members.values().map(move |member| {
            let row = &member.row;
            let class = if row.data_centre != self.own_row.data_centre {
                HeartbeatClass::Remote
            } else if is_owner || self.owners.contains_key(&row.node) {
                HeartbeatClass::Owner
            } else {
                HeartbeatClass::Idle
            };
            (row, class)
        })
    }

    /// The owners that this process hears. Heartbeats report only these, since a peer needs no reports on other
    /// processes.
    pub fn heard_owners(&self, now: Instant) -> Vec<NodeDigest> {
        let heard = self.heard_peers.iter();
        let heard = heard
            .filter(|(node, peer)| self.owners.contains_key(*node) && self.is_fresh(now, peer));
        heard.map(|(node, _)| node.digest()).collect()
    }

    /// Whether no other process is heard. Then only the rows in the store tell which processes are alive.
    pub fn is_isolated(&self, now: Instant) -> bool {
        !self
            .heard_peers
            .values()
            .any(|peer| self.is_fresh(now, peer))
    }

    /// The interval of heartbeats to other data centres. It grows with the number of members, because each
    /// process receives the heartbeats of all others.
    fn remote_heartbeat_interval(&self) -> Duration {
        let members = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        self.settings
            .remote_heartbeat_interval
            .max(self.settings.remote_heartbeat_interval_per_member * members)
    }

    /// How long a process of another data centre may be silent before it counts as gone.
    pub(super) fn remote_silence_timeout(&self) -> Duration {
        self.remote_heartbeat_interval() * MAX_MISSED_REMOTE_HEARTBEATS
            + self.settings.local_heartbeat_interval
    }

    fn idle_heartbeat_interval(&self) -> Duration {
        let settings = &self.settings;
        let interval = settings.local_heartbeat_interval * self.local_members / FULL_RATE_MEMBERS;
        interval.clamp(
            settings.local_heartbeat_interval,
            settings.max_idle_heartbeat_interval,
        )
    }

    /// How long a peer may be silent before it counts as gone.
    pub(super) fn silence_timeout(&self, now: Instant, peer: &HeardPeer) -> Duration {
        let settings = &self.settings;
        if peer.heartbeat.data_centre != self.own_row.data_centre {
            return self.remote_silence_timeout();
        }
        let idle = self.idle_heartbeat_interval();
        // Heartbeats of and to a new owner become frequent only once the other processes know that it is one.
        let is_settled_owner = |node: &NodeId| {
            self.owners
                .get(node)
                .is_some_and(|since| now >= *since + idle * 2)
        };
        let owner_rate =
            is_settled_owner(&self.own_row.node) || is_settled_owner(&peer.heartbeat.node);
        match owner_rate {
            true => settings.local_silence_timeout,
            false => settings.local_silence_timeout + idle * MAX_MISSED_IDLE_HEARTBEATS,
        }
    }

    /// Recomputes which processes own pools, and since when.
    pub(super) fn update_owners(&mut self) {
        let mut owners: FastMap<NodeId, Instant> = FastMap::default();
        for claim in self.pools.values().filter_map(|state| state.claim.as_ref()) {
            if claim.released {
                continue;
            }
            let since = owners.entry(claim.row.node.clone()).or_insert(claim.since);
            *since = claim.since.min(*since);
        }
        self.owners = owners;
    }

    pub(super) fn count_local_members(&mut self) {
        let rows = self.members.values().map(|member| &member.row);
        let local = rows.filter(|row| row.data_centre == self.own_row.data_centre);
        self.local_members = u32::try_from(local.count()).unwrap_or(u32::MAX);
    }
}
