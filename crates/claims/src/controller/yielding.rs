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
        for peer in self.heard.values().filter(|peer| self.is_fresh(now, peer)) {
            let news = peer.beat.pools.iter().filter(|news| news.pool == *pool);
            held.extend(news.flat_map(|news| news.held.iter().cloned()));
        }
        held
    }

    /// Whether a former owner still has the pool, as far as it is heard: it finishes what runs there.
    pub fn is_shared(&self, now: Instant, pool: &PoolId) -> bool {
        let version = self.pools.get(pool).and_then(|watch| watch.claim.as_ref());
        let Some(version) = version.map(|claim| claim.version) else {
            return false;
        };
        let fresh = self.heard.values().filter(|peer| self.is_fresh(now, peer));
        let mut news = fresh.flat_map(|peer| &peer.beat.pools);
        news.any(|news| news.pool == *pool && news.fence.0 < version)
    }

    /// A pool of this process that another process suits better: one of the pool's data centre if this one is
    /// elsewhere, or one that would own far fewer pools a core. After planned stops all pools would otherwise stay
    /// where they went, also in other data centres, which lose them when they are cut off.
    pub fn pool_to_yield(&self, now: Instant) -> Option<PoolId> {
        if self.leaving || now < self.started + self.settings.settle {
            return None;
        }
        let mut mine = Vec::new();
        for (pool, watch) in &self.pools {
            let Some(claim) = watch.claim.as_ref().filter(|claim| self.is_mine(claim)) else {
                continue;
            };
            if now < claim.since + self.settings.settle {
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
        let away = pool.data_centre != self.me.data_centre;
        let mine = owned as f64 / self.me.strength().0;
        self.heard.values().any(|peer| {
            let beat = &peer.beat;
            let near = beat.data_centre == pool.data_centre;
            let settled = now >= peer.since + self.settings.settle;
            if !near || !settled || beat.leaving || !self.is_fresh(now, peer) {
                return false;
            }
            let theirs = VmStrength::new(beat.cores, beat.link).0;
            let theirs = (beat.pools.len() as f64 + 1.0) / theirs;
            away || theirs * UNEVEN < mine
        })
    }
}
