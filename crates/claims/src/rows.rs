//! Rows that the processes keep in the platform's store.

use std::net::SocketAddr;

use model::DataCentreId;
use serde::{Deserialize, Serialize};

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
}
