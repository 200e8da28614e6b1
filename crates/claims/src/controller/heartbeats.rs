//! How often processes tell each other that they live, and how long one may be silent.
//!
//! Load it is made for: hundreds of processes, of which a few dozen own pools. Harm prevented: told ten times a second to each
//! other process of a data centre, signs of life grow with the square of the processes, and most of what a large fleet's
//! processors do is to hear who is still there. Only two silences have to be noticed at once: an owner's, whose pool stands
//! still, and that of an entry whose jobs an owner runs. So owners tell and are told often, and the others seldom.

use std::time::{Duration, Instant};

use model::FastMap;

use super::{ClaimController, HeardPeer, MAX_MISSED_FAR_HEARTBEATS};
use crate::{
    rows::MemberRow,
    view::{NodeDigest, NodeId},
};

/// Processes of a data centre among which those without pools tell each other as often as owners do.
const FULL_RATE_MEMBERS: u32 = 4;

/// Signs of life between processes without pools that may go missing before one counts as silent.
const MAX_MISSED_IDLE_HEARTBEATS: u32 = 3;

/// How often one process tells another that it lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatClass {
    /// In one data centre, and one of the two owns a pool.
    Owner,
    /// In one data centre, and none does.
    Idle,
    /// In another data centre.
    Far,
}

impl HeartbeatClass {
    /// All, in the order of their numbers.
    pub const ALL: [Self; 3] = [Self::Owner, Self::Idle, Self::Far];
}

impl ClaimController {
    /// The time between two signs of life.
    pub fn heartbeat_interval(&self, class: HeartbeatClass) -> Duration {
        match class {
            HeartbeatClass::Owner => self.settings.near_heartbeat_interval,
            HeartbeatClass::Idle => self.idle_heartbeat_interval(),
            HeartbeatClass::Far => self.far_heartbeat_interval(),
        }
    }

    /// The other members, and how often each is told.
    pub fn peers(&self) -> impl Iterator<Item = (&MemberRow, HeartbeatClass)> + '_ {
        let is_owner = self.owners.contains_key(&self.own_row.node);
        self.members.values().map(move |member| {
            let row = &member.row;
            let class = if row.data_centre != self.own_row.data_centre {
                HeartbeatClass::Far
            } else if is_owner || self.owners.contains_key(&row.node) {
                HeartbeatClass::Owner
            } else {
                HeartbeatClass::Idle
            };
            (row, class)
        })
    }

    /// The owners that this process hears: others ask for nobody else.
    pub fn heard_owners(&self, now: Instant) -> Vec<NodeDigest> {
        let heard = self.heard_peers.iter();
        let heard = heard
            .filter(|(node, peer)| self.owners.contains_key(*node) && self.is_fresh(now, peer));
        heard.map(|(node, _)| node.digest()).collect()
    }

    /// Whether no other process is heard: then the rows of the store alone tell who lives.
    pub fn is_isolated(&self, now: Instant) -> bool {
        !self
            .heard_peers
            .values()
            .any(|peer| self.is_fresh(now, peer))
    }

    /// With many processes less often: each one hears all others.
    fn far_heartbeat_interval(&self) -> Duration {
        let members = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        self.settings
            .far_heartbeat_interval
            .max(self.settings.far_heartbeat_interval_per_member * members)
    }

    /// How long a process of another data centre may be silent.
    pub(super) fn far_silence_timeout(&self) -> Duration {
        self.far_heartbeat_interval() * MAX_MISSED_FAR_HEARTBEATS
            + self.settings.near_heartbeat_interval
    }

    fn idle_heartbeat_interval(&self) -> Duration {
        let settings = &self.settings;
        let interval = settings.near_heartbeat_interval * self.near_members / FULL_RATE_MEMBERS;
        interval.clamp(
            settings.near_heartbeat_interval,
            settings.max_idle_heartbeat_interval,
        )
    }

    /// How long a process may be silent.
    pub(super) fn silence_timeout(&self, now: Instant, peer: &HeardPeer) -> Duration {
        let settings = &self.settings;
        if peer.heartbeat.data_centre != self.own_row.data_centre {
            return self.far_silence_timeout();
        }
        let idle = self.idle_heartbeat_interval();
        // Whoever has just become an owner is told often only once the others know.
        let is_settled_owner = |node: &NodeId| {
            self.owners
                .get(node)
                .is_some_and(|since| now >= *since + idle * 2)
        };
        let owner_rate =
            is_settled_owner(&self.own_row.node) || is_settled_owner(&peer.heartbeat.node);
        match owner_rate {
            true => settings.near_silence_timeout,
            false => settings.near_silence_timeout + idle * MAX_MISSED_IDLE_HEARTBEATS,
        }
    }

    /// Finds out again who owns pools, and since when.
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

    pub(super) fn count_near_members(&mut self) {
        let rows = self.members.values().map(|member| &member.row);
        let near = rows.filter(|row| row.data_centre == self.own_row.data_centre);
        self.near_members = u32::try_from(near.count()).unwrap_or(u32::MAX);
    }
}
