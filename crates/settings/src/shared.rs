//! Parts that both roles have.

use std::net::{Ipv4Addr, SocketAddr};

use model::{DataCentreId, VmId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{error::RuleViolation, number::bounded, DurationMs};

/// The name that stands for a VM or data centre that was not named. A file may not leave or write it.
pub const UNSET_NAME: &str = "unset";

/// A dispatcher known before the VM list is read.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DispatcherPeer {
    /// Its peer address, as IP and port.
    pub address: SocketAddr,
    /// Where it is.
    pub data_centre: DataCentreId,
}

/// How a process leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// How long the process says "not ready" and still takes new connections, so that the balancer and the peers
    /// turn away before the listener closes. Default 5000.
    #[serde(deserialize_with = "bounded::<_, _, 0, 600_000>")]
    #[schemars(range(min = 0, max = 600_000))]
    pub notice_ms: DurationMs,
    /// How long accepted work may take to end after that. What is left then is answered as failed or unknown.
    /// Default 30000.
    #[serde(deserialize_with = "bounded::<_, _, 1, 3_600_000>")]
    #[schemars(range(min = 1, max = 3_600_000))]
    pub limit_ms: DurationMs,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            notice_ms: DurationMs(5_000),
            limit_ms: DurationMs(30_000),
        }
    }
}

pub(crate) fn unset_vm() -> VmId {
    UNSET_NAME.parse().expect("a plain word is a VM id")
}

pub(crate) fn unset_data_centre() -> DataCentreId {
    UNSET_NAME
        .parse()
        .expect("a plain word is a data centre id")
}

pub(crate) fn loopback(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

/// Checks what names a process.
pub(crate) fn check_identity(vm: &VmId, data_centre: &DataCentreId) -> Result<(), RuleViolation> {
    let rule = "must name this VM's own; there is no default for it";
    if vm.as_str() == UNSET_NAME {
        return Err(RuleViolation { path: "vm", rule });
    }
    if data_centre.as_str() == UNSET_NAME {
        return Err(RuleViolation {
            path: "data_centre",
            rule,
        });
    }
    Ok(())
}
