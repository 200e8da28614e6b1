//! The platform's VM list and the endpoints in it.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{DataCentreId, EndpointId, VmId};

/// What a VM carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// A VM of the system: one entry and one dispatcher.
    System,
    /// An executor of the customer-facing service. Nothing of the system runs there.
    Endpoint,
}

/// Whether a VM takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Takes new work.
    #[default]
    Live,
    /// Finishes what runs and takes nothing new.
    Leaving,
}

/// Where an endpoint takes tasks and how many at once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EndpointAddress {
    /// The endpoint.
    pub id: EndpointId,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Tasks at once.
    pub slots: u32,
}

/// One line of the platform's VM list. The list lags: a VM may be gone or leaving for a while before it says so.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// The VM. For an endpoint its id is also the endpoint's id.
    pub id: VmId,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// What it carries.
    pub role: VmRole,
    /// For a system VM its dispatcher's peer address, for an endpoint its HTTP address.
    pub address: SocketAddr,
    /// Tasks at once; 0 for a system VM.
    #[serde(default)]
    pub slots: u32,
    /// Live or leaving.
    #[serde(default)]
    pub state: EndpointState,
}
