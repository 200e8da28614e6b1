//! Which dispatcher of a data centre owns which endpoint.

use std::net::SocketAddr;

use model::{EndpointId, FastMap};

use crate::hashing::{score, StableHash};

/// A change of an endpoint's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipMove {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The previous owner; `None` for a new endpoint, or if no dispatcher was live.
    pub from: Option<SocketAddr>,
    /// The new owner; `None` for a removed endpoint, or if no dispatcher is live.
    pub to: Option<SocketAddr>,
}

/// The owner of each endpoint, by rendezvous hashing over the live dispatchers of the data centre.
///
/// Two processes with different views may name different owners for a while. That can overfill an endpoint, which then
/// answers busy, a definite "not run". It never runs a task twice, as no safeguard depends on ownership.
///
/// [`OwnershipMap::update`] compares both sets, and only if one changed computes one hash mix per pair of endpoint and
/// dispatcher (23,000 for 383 endpoints and 60 dispatchers). A look-up of an owner is one hash look-up.
#[derive(Clone, Debug, Default)]
pub struct OwnershipMap {
    members: Vec<SocketAddr>,
    owners: FastMap<EndpointId, Option<SocketAddr>>,
}

impl OwnershipMap {
    /// Sets the current members and endpoints and returns the changes of owner, sorted by endpoint id.
    ///
    /// `members` are the live dispatchers that are not stopping. A stopping dispatcher owns nothing, so that its
    /// endpoints have their new owner while it still hands over its counts.
    pub fn update(
        &mut self,
        members: impl IntoIterator<Item = SocketAddr>,
        endpoints: impl IntoIterator<Item = EndpointId>,
    ) -> Vec<OwnershipMove> {
        let mut members: Vec<SocketAddr> = members.into_iter().collect();
        members.sort_unstable();
        members.dedup();
        let mut endpoints: Vec<EndpointId> = endpoints.into_iter().collect();
        endpoints.sort_unstable();
        endpoints.dedup();
        if members == self.members && self.has_exactly(&endpoints) {
            return Vec::new();
        }
        self.members = members;
        self.reassign(endpoints)
    }

    /// Returns the owner of an endpoint; `None` if the endpoint is unknown or no dispatcher is live.
    pub fn owner(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        self.owners.get(endpoint).copied().flatten()
    }

    /// The endpoints that a dispatcher owns, in arbitrary order.
    pub fn owned_by(&self, member: SocketAddr) -> impl Iterator<Item = &EndpointId> {
        self.owners
            .iter()
            .filter(move |(_, owner)| **owner == Some(member))
            .map(|(endpoint, _)| endpoint)
    }

    /// The dispatchers of the last update, sorted.
    pub fn members(&self) -> &[SocketAddr] {
        &self.members
    }

    fn has_exactly(&self, endpoints: &[EndpointId]) -> bool {
        endpoints.len() == self.owners.len()
            && endpoints.iter().all(|e| self.owners.contains_key(e))
    }

    fn reassign(&mut self, endpoints: Vec<EndpointId>) -> Vec<OwnershipMove> {
        let hashes: Vec<u64> = self.members.iter().map(SocketAddr::stable_hash).collect();
        let mut before = std::mem::take(&mut self.owners);
        let mut moves = Vec::new();
        for endpoint in endpoints {
            let to = highest_scoring(endpoint.stable_hash(), &hashes).map(|i| self.members[i]);
            let known = before.remove(&endpoint);
            self.owners.insert(endpoint.clone(), to);
            let from = known.flatten();
            if from != to {
                moves.push(OwnershipMove { endpoint, from, to });
            }
        }
        for (endpoint, from) in before {
            moves.push(OwnershipMove {
                endpoint,
                from,
                to: None,
            });
        }
        moves.sort_unstable_by(|a, b| a.endpoint.cmp(&b.endpoint));
        moves
    }
}

/// Returns the index of the member hash with the highest score. The later one wins a tie, as in [`crate::rendezvous`].
fn highest_scoring(key: u64, members: &[u64]) -> Option<usize> {
    (0..members.len()).max_by_key(|&i| (score(key, members[i]), i))
}
