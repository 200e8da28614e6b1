//! The content of the heartbeats that processes exchange.

use std::{fmt, sync::Arc, time::Duration};

use jobs::{FenceToken, InstanceId, PoolId};
use model::DataCentreId;
use pool::{PoolLoad, PublishedProfile};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The name of a process of the system, which its VM keeps across restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(pub Arc<str>);

impl From<&str> for NodeId {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl NodeId {
    /// A 32-bit digest of the name, for lists of many processes.
    pub fn digest(&self) -> NodeDigest {
        // The cast keeps the low 32 bits. Among 720 names two share a digest in one of 17,000 fleets.
        NodeDigest(xxh3_64(self.0.as_bytes()) as u32)
    }
}

/// A digest of a process's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NodeDigest(pub u32);

/// The rate of a VM's network link in each direction, in bytes a second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LinkRate(pub f64);

impl Default for LinkRate {
    /// 1 Gbit/s, which is assumed where no rate is given.
    fn default() -> Self {
        Self::from_megabits(1_000.0)
    }
}

impl LinkRate {
    /// Converts a rate from megabits a second.
    pub fn from_megabits(megabits: f64) -> Self {
        Self(megabits * 1_000_000.0 / 8.0)
    }
}

/// The status of a pool in the heartbeats of its owner.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolNews {
    /// The pool.
    pub pool: PoolId,
    /// The owner's fencing token.
    pub fence: FenceToken,
    /// The pool's capacity, how much of it is free, and the backlog.
    pub load: PoolLoad,
    /// How many tasks could start in the pool how soon.
    pub start_profile: PublishedProfile,
    /// Whether the owner hands the pool over, because the owner is about to stop or another process suits the
    /// pool better.
    pub yielding: bool,
    /// The workers that the owner still uses while it hands the pool over. Its successor already takes the
    /// others.
    pub held: Vec<InstanceId>,
}

/// A process's own reading of the list of workers in the store, as opposed to a confirmation by a peer's
/// reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListReading {
    /// The version of the store up to which the list was read.
    pub version: u64,
    /// The time since that reading.
    pub age: Duration,
    /// A digest of all entries without the fields that each heartbeat of a worker changes.
    pub digest: u64,
}

/// A heartbeat of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The sender.
    pub node: NodeId,
    /// The incarnation of the sender.
    pub incarnation: u64,
    /// The sender's data centre.
    pub data_centre: DataCentreId,
    /// The sender's processor share, in cores.
    pub cores: f64,
    /// The rate of the sender's network link.
    pub link: LinkRate,
    /// Whether the sender is about to stop. It keeps its pools until their jobs have ended.
    pub leaving: bool,
    /// The sender's time since boot, including time in which its machine was suspended.
    pub clock: Duration,
    /// The sender's last reading of the list of workers, if it has a recent one.
    pub reading: Option<ListReading>,
    /// The pool owners that the sender hears.
    pub hears: Vec<NodeDigest>,
    /// The pools that the sender owns.
    pub pools: Vec<PoolNews>,
}
