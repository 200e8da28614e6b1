//! Handing a pool over to a process that suits it better.

use std::time::Instant;

use jobs::{LifeId, PoolId};

use super::ClaimController;
use crate::strength::VmStrength;

/// How many times as many pools a core a process owns before it hands one over. A handover costs some ten calls a
/// worker.
const UNEVEN: f64 = 1.5;

impl ClaimController {
    /// The workers of a pool that a former owner still uses while it hands it over. Once it is not heard, none.
    pub fn held_workers(&self, now: Instant, pool: &PoolId) -> Vec<LifeId> {
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

    /// Whether a former owner still has the pool, as far as it is heard: it finishes what runs there.
    pub fn is_shared(&self, now: Instant, pool: &PoolId) -> bool {
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

    /// A pool of this process that another process suits better: one of the pool's data centre if this one is
    /// elsewhere, or one that would own far fewer pools a core. After planned stops all pools would otherwise stay
    /// where they went, also in other data centres, which lose them when they are cut off.
    pub fn pool_to_yield(&self, now: Instant) -> Option<PoolId> {
        if self.leaving || now < self.started + self.settings.settle_time {
            return None;
        }
        let mut mine = Vec::new();
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
            mine.push(pool);
        }
        mine.sort();
        let owned = mine.len();
        mine.into_iter()
            .find(|pool| self.suits_another(now, pool, owned))
            .cloned()
    }

    fn suits_another(&self, now: Instant, pool: &PoolId, owned: usize) -> bool {
        let away = pool.data_centre != self.own_row.data_centre;
        let mine = owned as f64 / self.own_row.strength().0;
        self.heard_peers.values().any(|peer| {
            let heartbeat = &peer.heartbeat;
            let near = heartbeat.data_centre == pool.data_centre;
            let settled = now >= peer.heard_since + self.settings.settle_time;
            if !near || !settled || heartbeat.leaving || !self.is_fresh(now, peer) {
                return false;
            }
            let theirs = VmStrength::new(heartbeat.cores, heartbeat.link).0;
            let theirs = (heartbeat.pools.len() as f64 + 1.0) / theirs;
            away || theirs * UNEVEN < mine
        })
    }
}
