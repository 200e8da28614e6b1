//! Entries of the platform's VM list, and endpoints.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{DataCentreId, EndpointId, VmId};

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// A VM of the system, which runs one entry and one dispatcher.
    System,
    /// An endpoint, which executes tasks of the customer-facing service. No process of the system runs there.
    Endpoint,
}

/// Whether a VM accepts new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// The VM accepts new work.
    #[default]
    Live,
    /// The VM finishes its running tasks and accepts no new ones.
    Leaving,
}

/// The address and the slots of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EndpointAddress {
    /// The endpoint's id.
    pub id: EndpointId,
    /// The endpoint's HTTP address.
    pub address: SocketAddr,
    /// The most tasks that the endpoint runs at once.
    pub slots: u32,
}

/// One entry of the platform's VM list. The list lags: a VM may be leaving or gone for a while before the list shows
/// it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// The VM's id. For the VM of an endpoint this is also the endpoint's id.
    pub id: VmId,
    /// The data centre that the VM is in.
    pub data_centre: DataCentreId,
    /// What runs on the VM.
    pub role: VmRole,
    /// The dispatcher's peer address for a system VM, the HTTP address for an endpoint.
    pub address: SocketAddr,
    /// The most tasks that the endpoint runs at once; 0 for a system VM.
    #[serde(default)]
    pub slots: u32,
    /// Whether the VM accepts new work.
    #[serde(default)]
    pub state: EndpointState,
}
