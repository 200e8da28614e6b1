//! Rows that the processes keep in the platform's store.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use jobs::LifeId;
use model::{DataCentreId, FastMap};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::view::{LinkRate, NodeId};

/// A process of the system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Its name, which its VM keeps over restarts.
    pub node: NodeId,
    /// Which life of it this is; later ones are greater.
    pub incarnation: u64,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// Its processor share, in cores.
    pub cores: f64,
    /// What its link carries.
    #[serde(default)]
    pub link: LinkRate,
    /// Where it listens for others, over TCP and UDP.
    pub address: SocketAddr,
    /// Rises with each refresh.
    pub refreshes: u64,
    /// With how much time requests come to it, as it has learnt.
    #[serde(default)]
    pub waits: Vec<RouteWait>,
}

/// With how much time a route's requests come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteWait {
    /// The route.
    pub route: Arc<str>,
    /// What nearly all have at least, in milliseconds.
    pub least_ms: u64,
}

/// Who owns a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The owner.
    pub node: NodeId,
    /// Which life of it. A later life knows nothing of the pool.
    pub incarnation: u64,
    /// Where it listens for others.
    pub address: SocketAddr,
}

/// Into how many groups the workers of a data centre are divided, one pool each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRow {
    /// The number of groups.
    pub groups: u32,
    /// What decides to which of them a worker belongs.
    #[serde(default)]
    pub spread: GroupSpread,
}

/// What decides to which group a worker belongs. Every process finds the same from the worker's own entry.
///
/// Harm prevented: by hash 24 workers in four groups came out as 2, 5, 8 and 9, and the owner of the largest was the first
/// whose link was full. Addresses mostly follow each other and divide evenly; where they do not, hashes do better.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupSpread {
    /// The hash of its life's name.
    #[default]
    Life,
    /// The number that its address is.
    Address,
}

impl GroupSpread {
    /// The text form, as in the row.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Life => "life",
            Self::Address => "address",
        }
    }
}

impl GroupRow {
    /// The group of a worker.
    pub fn group_of(&self, life: &LifeId, address: SocketAddr) -> u32 {
        let number = match (self.spread, address.ip()) {
            (GroupSpread::Address, IpAddr::V4(ip)) => u64::from(ip.to_bits()),
            (GroupSpread::Address, IpAddr::V6(ip)) => ip.to_bits() as u64,
            (GroupSpread::Life, _) => xxh3_64(life.as_str().as_bytes()),
        };
        u32::try_from(number % u64::from(self.groups.max(1))).unwrap_or(0)
    }

    /// The row for so many groups that makes the largest one smallest.
    pub fn balanced<'a>(
        groups: u32,
        workers: impl Iterator<Item = (&'a LifeId, SocketAddr)> + Clone,
    ) -> Self {
        let largest = |spread| {
            let row = Self { groups, spread };
            let mut sizes: FastMap<u32, usize> = FastMap::default();
            for (life, address) in workers.clone() {
                *sizes.entry(row.group_of(life, address)).or_default() += 1;
            }
            sizes.into_values().max()
        };
        let by_address = largest(GroupSpread::Address) < largest(GroupSpread::Life);
        let spread = match by_address {
            true => GroupSpread::Address,
            false => GroupSpread::Life,
        };
        Self { groups, spread }
    }
}
