//! Settings and checks that several roles share.

use std::net::{Ipv4Addr, SocketAddr};

use model::{DataCentreId, VmId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{error::RuleViolation, number::bounded, DurationMs};

/// The placeholder for a VM or data centre that was not set. A file that omits the field or sets this name is rejected.
pub const UNSET_NAME: &str = "unset";

/// A dispatcher to connect to before the VM list is read.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DispatcherPeer {
    /// The dispatcher's peer address, as IP and port.
    pub address: SocketAddr,
    /// The data centre that the dispatcher is in.
    pub data_centre: DataCentreId,
}

/// How a process shuts down.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// How long the process reports "not ready" while it still accepts connections, so that the load balancer and the
    /// peers stop sending work before the listener closes. Default 5000.
    #[serde(deserialize_with = "bounded::<_, _, 0, 600_000>")]
    #[schemars(range(min = 0, max = 600_000))]
    pub notice_ms: DurationMs,
    /// How long accepted work may take to finish after the notice. Work that is unfinished then is answered as failed
    /// or unknown. Default 30000.
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

/// Checks that the VM and the data centre of a process are set.
pub(crate) fn check_identity(vm: &VmId, data_centre: &DataCentreId) -> Result<(), RuleViolation> {
    let rule = "must be set for this VM; there is no default";
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
