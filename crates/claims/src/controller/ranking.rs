//! Which process claims which pool.
//!
//! Designed for the start of all processes at once and for the loss of a process that owned several pools:
//! several pools then have no owner. If they were claimed one after another, each after a pause for the
//! store's answer, the last pool would lack an owner for as long as all others took. So every process divides
//! all claimable pools among all candidates in the same way, and claims those that are assigned to it at
//! once.

use std::time::Instant;

use jobs::PoolId;
use model::{DataCentreId, FastMap};
use xxhash_rust::xxh3::xxh3_64;

use super::ClaimController;
use crate::{rows::MemberRow, view::NodeId};

/// A process that could own pools.
struct ClaimCandidate<'a> {
    node: &'a NodeId,
    data_centre: &'a DataCentreId,
    /// Its capacity, in runs a second.
    capacity: f64,
    /// The number of pools that it owns or that are assigned to it.
    pools: f64,
}

/// Sort key of a candidate, lowest first: whether the candidate is in another data centre than the pool, the
/// number of its pools per capacity including this one, and a hash that breaks ties. The capacities of
/// machines differ fourfold and more.
type CandidateOrder = (bool, u64, u64);

impl ClaimCandidate<'_> {
    fn order(&self, pool: &PoolId) -> CandidateOrder {
        let tie_break = xxh3_64(format!("{pool}/{}", self.node).as_bytes());
        let share = (self.pools + 1.0) / self.capacity;
        // The cast saturates. Millionths are fine enough to tell machines of different capacity apart.
        let share = (share * 1_000_000.0) as u64;
        (*self.data_centre != pool.data_centre, share, tie_break)
    }
}

impl ClaimController {
    /// This process's rank among the candidates for each of the claimable pools, 0 for the first. Processes with the
    /// same knowledge compute the same division; where their knowledge differs, the store decides between two
    /// claims.
    pub(super) fn claim_ranks(&self, now: Instant, claimable: &[PoolId]) -> FastMap<PoolId, u32> {
        let mut candidates = self.candidates(now);
        let mut ranks = FastMap::default();
        for pool in claimable {
            let orders = candidates.iter().map(|candidate| candidate.order(pool));
            let orders: Vec<CandidateOrder> = orders.collect();
            // The first candidate is this process.
            let rank = orders.iter().filter(|order| **order < orders[0]).count();
            ranks.insert(pool.clone(), u32::try_from(rank).unwrap_or(u32::MAX));
            let first = (0..orders.len()).min_by_key(|index| orders[*index]);
            if let Some(first) = first {
                candidates[first].pools += 1.0;
            }
        }
        ranks
    }

    /// The candidates, this process first.
    fn candidates(&self, now: Instant) -> Vec<ClaimCandidate<'_>> {
        let owned = self.pools.values().filter_map(|state| state.claim.as_ref());
        let owned = owned.filter(|claim| self.is_own_claim(claim)).count();
        let mut candidates = vec![candidate(&self.own_row, owned)];
        for member in self.members.values() {
            let heard = self.live_peer(now, &member.row.node);
            // While this process is starting, all members count, so that one process claims and not all of
            // them.
            if heard.is_none() && !self.is_starting(now) {
                continue;
            }
            let owned = heard.map_or(0, |peer| peer.heartbeat.pools.len());
            candidates.push(candidate(&member.row, owned));
        }
        candidates
    }
}

fn candidate(row: &MemberRow, owned: usize) -> ClaimCandidate<'_> {
    ClaimCandidate {
        node: &row.node,
        data_centre: &row.data_centre,
        capacity: row.capacity().0,
        pools: owned as f64,
    }
}
