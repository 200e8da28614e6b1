//! What processes tell each other.

use std::{fmt, sync::Arc, time::Duration};

use jobs::{FenceToken, LifeId, PoolId};
use model::DataCentreId;
use pool::PoolLoad;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The name of a process of the system.
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
    /// A short stand-in for the name, where many are listed.
    pub fn digest(&self) -> NodeDigest {
        // The cut keeps the low half; among 720 names two share one once in 17,000 fleets.
        NodeDigest(xxh3_64(self.0.as_bytes()) as u32)
    }
}

/// A digest of a process's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NodeDigest(pub u32);

/// What a VM's link carries each way, in bytes a second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LinkRate(pub f64);

impl Default for LinkRate {
    /// A link of 1 Gbit/s, which is taken where nothing is said.
    fn default() -> Self {
        Self::from_megabits(1_000.0)
    }
}

impl LinkRate {
    /// A rate in megabits a second.
    pub fn from_megabits(megabits: f64) -> Self {
        Self(megabits * 1_000_000.0 / 8.0)
    }
}

/// What an owner publishes about a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolNews {
    /// The pool.
    pub pool: PoolId,
    /// The owner's fence.
    pub fence: FenceToken,
    /// What it can take.
    pub load: PoolLoad,
    /// Whether its owner hands it over: because it is about to stop, or because another suits it better.
    pub yielding: bool,
    /// The workers that it still uses while it hands the pool over. Its successor takes the others already.
    pub held: Vec<LifeId>,
}

/// What a process has read of the list of workers in the store, itself and not by another's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListReading {
    /// The version of the store up to which it was read.
    pub version: u64,
    /// How long ago.
    pub age: Duration,
    /// A digest of what lasts of all entries, which leaves out that workers live.
    pub digest: u64,
}

/// A sign of life.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Who sends it.
    pub node: NodeId,
    /// Which life of it.
    pub incarnation: u64,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// Its processor share, in cores.
    pub cores: f64,
    /// What its link carries.
    pub link: LinkRate,
    /// Whether it is about to stop. It keeps its pools until their jobs have ended.
    pub leaving: bool,
    /// What it has read of the list of workers, if it follows that.
    pub reading: Option<ListReading>,
    /// Whom it hears.
    pub hears: Vec<NodeDigest>,
    /// The pools that it owns.
    pub pools: Vec<PoolNews>,
}
