//! Handing a pool over to a process that suits it better.

use std::time::Instant;

use jobs::{InstanceId, PoolId};

use super::ClaimController;
use crate::capacity::VmCapacity;

/// A pool whose owner is in the pool's data centre is handed over only if the owner has more than this many
/// times as many pools per capacity as the other process would have with it. A handover costs about ten calls
/// per worker.
const MIN_IMBALANCE_RATIO: f64 = 1.5;

impl ClaimController {
    /// The workers that a former owner still uses while it hands the pool over; none once the former owner is
    /// silent.
    pub fn held_workers(&self, now: Instant, pool: &PoolId) -> Vec<InstanceId> {
        let mut held = Vec::new();
        for peer in self
            .heard_peers
            .values()
            .filter(|peer| self.is_fresh(now, peer))
        {
            let news = peer
                .heartbeat
                .pools
                .iter()
                .filter(|news| news.pool == *pool);
            held.extend(news.flat_map(|news| news.held.iter().cloned()));
        }
        held
    }

    /// Whether a former owner that this process hears still has the pool, because it finishes the jobs there.
    pub fn is_held_by_former_owner(&self, now: Instant, pool: &PoolId) -> bool {
        let version = self.pools.get(pool).and_then(|state| state.claim.as_ref());
        let Some(version) = version.map(|claim| claim.version) else {
            return false;
        };
        let fresh = self
            .heard_peers
            .values()
            .filter(|peer| self.is_fresh(now, peer));
        let mut news = fresh.flat_map(|peer| &peer.heartbeat.pools);
        news.any(|news| news.pool == *pool && news.fence.0 < version)
    }

    /// A pool of this process that suits another process better: one in the pool's data centre if this
    /// process is elsewhere, or one that would own far fewer pools per capacity. Otherwise pools would stay
    /// where planned stops moved them, also with owners in other data centres, which lose them in a network
    /// partition.
    pub fn pool_to_hand_over(&self, now: Instant) -> Option<PoolId> {
        if self.leaving || now < self.started + self.settings.settle_time {
            return None;
        }
        let mut own_pools = Vec::new();
        for (pool, state) in &self.pools {
            let Some(claim) = state
                .claim
                .as_ref()
                .filter(|claim| self.is_own_claim(claim))
            else {
                continue;
            };
            if now < claim.since + self.settings.settle_time {
                return None;
            }
            // Nobody would claim it, and its kept jobs, which stand still during a handover, could not be moved.
            if !state.has_workers {
                continue;
            }
            own_pools.push(pool);
        }
        own_pools.sort();
        let owned = own_pools.len();
        own_pools
            .into_iter()
            .find(|pool| self.has_better_owner(now, pool, owned))
            .cloned()
    }

    fn has_better_owner(&self, now: Instant, pool: &PoolId, owned: usize) -> bool {
        let is_remote = pool.data_centre != self.own_row.data_centre;
        let own_ratio = owned as f64 / self.own_row.capacity().0;
        self.heard_peers.values().any(|peer| {
            let heartbeat = &peer.heartbeat;
            let in_pool_centre = heartbeat.data_centre == pool.data_centre;
            let settled = now >= peer.heard_since + self.settings.settle_time;
            if !in_pool_centre || !settled || heartbeat.leaving || !self.is_fresh(now, peer) {
                return false;
            }
            let peer_capacity = VmCapacity::new(heartbeat.cores, heartbeat.link).0;
            let peer_ratio = (heartbeat.pools.len() as f64 + 1.0) / peer_capacity;
            is_remote || peer_ratio * MIN_IMBALANCE_RATIO < own_ratio
        })
    }
}
