//! Rows that the processes keep in the platform's store.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use jobs::InstanceId;
use model::{DataCentreId, FastMap};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::view::{LinkRate, NodeId};

/// The row of a process in the table of members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// The process's name, which its VM keeps across restarts.
    pub node: NodeId,
    /// The incarnation of the process; a later one is greater.
    pub incarnation: u64,
    /// The data centre of the process.
    pub data_centre: DataCentreId,
    /// Its processor share, in cores.
    pub cores: f64,
    /// The rate of its network link.
    #[serde(default)]
    pub link: LinkRate,
    /// The address where it listens for other processes, over TCP and UDP.
    pub address: SocketAddr,
    /// Increases with each refresh of the row.
    pub refreshes: u64,
    /// The time budgets of new requests that this process has learned, by route.
    #[serde(default)]
    pub waits: Vec<PublishedBudget>,
}

/// The time budget with which new requests of a route arrive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedBudget {
    /// The route.
    pub route: Arc<str>,
    /// The least time that nearly all of these requests have left when they arrive, in milliseconds.
    pub least_ms: u64,
}

/// The run times that the owner of a pool has learned for a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedRunTimes {
    /// The route.
    pub route: Arc<str>,
    /// The distribution of the ratio of run time to estimate, in the text form of `model::LogHistogram`.
    pub ratios: String,
}

/// A member row as it is written, with what its process has learned for the next owners of its pools. Readers take it
/// apart: the member from [`MemberRow`], and the rest from [`PublishedRunTimes::read`], so that a process whose rest is
/// damaged still counts as a member.
#[derive(Clone, Debug, Serialize)]
pub struct PublishedMember {
    /// The row of the process.
    #[serde(flatten)]
    pub member: MemberRow,
    /// What the process has learned of run times.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub run_times: Vec<PublishedRunTimes>,
}

impl PublishedRunTimes {
    /// Reads what a member row publishes of run times, which is nothing in rows of older processes.
    ///
    /// # Errors
    ///
    /// If that part of the row has another form.
    pub fn read(row: &[u8]) -> Result<Vec<Self>, serde_json::Error> {
        #[derive(Deserialize)]
        struct LearnedPart {
            #[serde(default)]
            run_times: Vec<PublishedRunTimes>,
        }
        serde_json::from_slice::<LearnedPart>(row).map(|part| part.run_times)
    }
}

/// A claim: the row that says which process owns a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The owner.
    pub node: NodeId,
    /// The incarnation of the owner. A later incarnation knows nothing about the pool.
    pub incarnation: u64,
    /// The address where the owner listens for other processes.
    pub address: SocketAddr,
}

/// How the workers of a data centre are divided into groups, one pool each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRow {
    /// The number of groups.
    pub groups: u32,
    /// The property of a worker that determines its group.
    #[serde(default)]
    pub spread: GroupSpread,
}

/// The property of a worker that determines its group. Every process computes the same group from the
/// worker's own entry.
///
/// By hash, 24 workers in four groups came out as 2, 5, 8 and 9, and the link of the largest group's owner
/// was the first to fill up. Addresses are mostly consecutive and divide evenly; where they do not, hashes
/// divide better.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupSpread {
    /// The hash of the worker's instance id.
    #[default]
    Life,
    /// The IP address as a number.
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
    pub fn group_of(&self, instance: &InstanceId, address: SocketAddr) -> u32 {
        let number = match (self.spread, address.ip()) {
            (GroupSpread::Address, IpAddr::V4(ip)) => u64::from(ip.to_bits()),
            (GroupSpread::Address, IpAddr::V6(ip)) => ip.to_bits() as u64,
            (GroupSpread::Life, _) => xxh3_64(instance.as_str().as_bytes()),
        };
        u32::try_from(number % u64::from(self.groups.max(1))).unwrap_or(0)
    }

    /// Divides the workers into `groups` groups by the property whose largest group is smaller; by hash if both
    /// are equal.
    pub fn balanced<'a>(
        groups: u32,
        workers: impl Iterator<Item = (&'a InstanceId, SocketAddr)> + Clone,
    ) -> Self {
        let largest = |spread| {
            let row = Self { groups, spread };
            let mut sizes: FastMap<u32, usize> = FastMap::default();
            for (instance, address) in workers.clone() {
                *sizes.entry(row.group_of(instance, address)).or_default() += 1;
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
