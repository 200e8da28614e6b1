//! Why a process claims a pool.
//!
//! An unnecessary claim costs the pool's jobs, and a late one costs the jobs that arrive in the meantime. So
//! a silent owner is replaced only if no peer whose report counts hears it, and only by a process that hears
//! other processes or finds the owner's row unchanged for long.

use std::time::Instant;

use jobs::PoolId;

use super::{Claim, ClaimController};
use crate::action::ClaimReason;

impl ClaimController {
    /// The reason for which a pool can be claimed now; `None` if its owner is to keep it.
    pub(super) fn claim_reason(&self, now: Instant, pool: &PoolId) -> Option<ClaimReason> {
        let Some(claim) = self.pools.get(pool).and_then(|state| state.claim.as_ref()) else {
            return Some(ClaimReason::Unowned);
        };
        if self.is_own_claim(claim) {
            return None;
        }
        let owner = &claim.row.node;
        // An earlier incarnation of this process, or this one after it has released the pool.
        if *owner == self.own_row.node {
            return Some(ClaimReason::OwnerRestarted);
        }
        let heard = self.heard_peers.get(owner);
        let latest = heard.map(|peer| peer.heartbeat.incarnation);
        let latest = latest.max(self.members.get(owner).map(|member| member.row.incarnation));
        if latest.is_some_and(|latest| latest > claim.row.incarnation) {
            return Some(ClaimReason::OwnerRestarted);
        }
        if heard.is_some_and(|peer| peer.refused) {
            return Some(ClaimReason::OwnerGone);
        }
        if let Some(peer) = heard.filter(|peer| self.is_fresh(now, peer)) {
            let news = peer.heartbeat.pools.iter().find(|news| news.pool == *pool);
            let is_yielding = peer.heartbeat.leaving || news.is_some_and(|news| news.yielding);
            return is_yielding.then_some(ClaimReason::OwnerYields);
        }
        let is_listening = now < self.started + self.settings.startup_listen_time;
        if is_listening || self.is_heard_by_others(now, claim) || self.may_be_cut_off(now, claim) {
            return None;
        }
        Some(ClaimReason::OwnerSilent)
    }

    /// Whether peers hear an owner that this process does not hear. For an owner in this data centre, reports
    /// from other data centres are out of date, since few heartbeats travel there, so they count only while
    /// the pool has just changed hands. Without them, two processes that do not hear each other would keep
    /// taking the pool from each other.
    fn is_heard_by_others(&self, now: Instant, claim: &Claim) -> bool {
        let is_settling = now < claim.since + self.settings.settle_time;
        let owner = &claim.row.node;
        let digest = owner.digest();
        let owner_centre = self
            .members
            .get(owner)
            .map(|member| &member.row.data_centre);
        self.heard_peers.values().any(|peer| {
            let in_owner_centre = owner_centre == Some(&peer.heartbeat.data_centre);
            let is_relevant =
                in_owner_centre || is_settling || owner_centre != Some(&self.own_row.data_centre);
            is_relevant && self.is_fresh(now, peer) && peer.heartbeat.hears.contains(&digest)
        })
    }

    /// Whether this process may be cut off itself: it hears no peer while the owner refreshes its row.
    fn may_be_cut_off(&self, now: Instant, claim: &Claim) -> bool {
        let member = self.members.get(&claim.row.node);
        // A claim counts like a refresh of the owner's row: a process that has just become an owner may not
        // have written its row lately.
        let last_seen = member.map(|member| member.refreshed).max(Some(claim.since));
        let fresh_row = last_seen.is_some_and(|at| now < at + self.settings.isolated_claim_delay);
        fresh_row && self.is_isolated(now)
    }
}
