//! Why a process claims a pool, and how long it leaves that to others.
//!
//! A claim that is not needed costs its pool's jobs, one that comes late costs those that arrive meanwhile. So a silent
//! owner is replaced only by a process that hears others, or hears of nobody who hears the owner.

use std::time::{Duration, Instant};

use jobs::PoolId;
use xxhash_rust::xxh3::xxh3_64;

use super::{Claim, ClaimKeeper};
use crate::{action::ClaimReason, rows::MemberRow, view::NodeId};

impl ClaimKeeper {
    pub(super) fn claim_reason(&self, now: Instant, pool: &PoolId) -> Option<ClaimReason> {
        let Some(claim) = self.pools.get(pool).and_then(|watch| watch.claim.as_ref()) else {
            return Some(ClaimReason::Unowned);
        };
        if self.is_mine(claim) {
            return None;
        }
        let owner = &claim.row.node;
        // An earlier life of this very process.
        if *owner == self.me.node {
            return Some(ClaimReason::OwnerRestarted);
        }
        let heard = self.heard.get(owner);
        let latest = heard.map(|peer| peer.beat.incarnation);
        let latest = latest.max(self.members.get(owner).map(|member| member.row.incarnation));
        if latest.is_some_and(|latest| latest > claim.row.incarnation) {
            return Some(ClaimReason::OwnerRestarted);
        }
        if heard.is_some_and(|peer| peer.refused) {
            return Some(ClaimReason::OwnerGone);
        }
        if let Some(peer) = heard.filter(|peer| self.is_fresh(now, peer)) {
            let news = peer.beat.pools.iter().find(|news| news.pool == *pool);
            let yields = peer.beat.leaving || news.is_some_and(|news| news.yielding);
            return yields.then_some(ClaimReason::OwnerYields);
        }
        let listening = now < self.started + self.settings.listen_first;
        if listening || self.heard_by_others(now, claim) || self.may_be_cut_off(now, owner) {
            return None;
        }
        Some(ClaimReason::OwnerSilent)
    }

    /// Whether others hear an owner that this process does not hear. What processes of other data centres say is old,
    /// since few heartbeats travel there, so it counts only while the pool has just changed hands: without it two
    /// processes that do not hear each other would take the pool from each other all the time.
    fn heard_by_others(&self, now: Instant, claim: &Claim) -> bool {
        let settling = now < claim.since + self.settings.settle;
        let owner = &claim.row.node;
        let digest = owner.digest();
        let owner_centre = self
            .members
            .get(owner)
            .map(|member| &member.row.data_centre);
        self.heard.values().any(|peer| {
            let near = owner_centre == Some(&peer.beat.data_centre);
            let counts = near || settling || owner_centre != Some(&self.me.data_centre);
            counts && self.is_fresh(now, peer) && peer.beat.hears.contains(&digest)
        })
    }

    /// Whether this process hears nobody while the owner refreshes its row: then this process is the one cut off.
    fn may_be_cut_off(&self, now: Instant, owner: &NodeId) -> bool {
        let refreshed = self.members.get(owner).map(|member| member.refreshed);
        let fresh_row = refreshed.is_some_and(|at| now < at + self.settings.isolated_delay);
        fresh_row && self.heard_nodes(now).is_empty()
    }

    /// How long after a pool could be claimed this process does so: candidates come one after another, those of the
    /// pool's data centre first.
    pub(super) fn claim_delay(&self, now: Instant, pool: &PoolId) -> Duration {
        let mut rank = 0;
        let owned = self.pools.values().filter_map(|watch| watch.claim.as_ref());
        let owned = owned.filter(|claim| self.is_mine(claim)).count();
        let mine = candidate_order(pool, &self.me, owned);
        for member in self.members.values() {
            let candidate = self.heard.get(&member.row.node);
            let candidate = candidate.filter(|p| self.is_fresh(now, p) && !p.beat.leaving);
            // Before the first heartbeats all members count, so that one claims and not all.
            let starting = now < self.started + self.settings.far_limit;
            if candidate.is_none() && !starting {
                continue;
            }
            let owned = candidate.map_or(0, |peer| peer.beat.pools.len());
            rank += u32::from(candidate_order(pool, &member.row, owned) < mine);
        }
        let far = self.me.data_centre != pool.data_centre;
        let far_delay = if far {
            self.settings.far_delay
        } else {
            Duration::ZERO
        };
        self.settings.rank_delay * rank + far_delay
    }
}

/// The order in which processes claim a pool: those of its data centre first, then by how much of
/// what they can carry their pools would take, then by hash. Machines differ fourfold and more.
fn candidate_order(pool: &PoolId, row: &MemberRow, owned: usize) -> (bool, u64, u64) {
    let weight = xxh3_64(format!("{pool}/{}", row.node).as_bytes());
    let share = (owned as f64 + 1.0) / row.strength().0;
    // The cast saturates; millionths tell any two machines apart that differ.
    let share = (share * 1_000_000.0) as u64;
    (row.data_centre != pool.data_centre, share, weight)
}
