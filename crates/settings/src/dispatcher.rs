//! Settings of a dispatcher.

use std::net::SocketAddr;

use model::{DataCentreId, VmId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    error::RuleViolation,
    number::bounded,
    shared::{check_identity, loopback, unset_data_centre, unset_vm},
    DispatcherPeer, DrainSettings, DurationMs, LogSettings,
};

/// Settings of calls to endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointCallSettings {
    /// The timeout for establishing a connection. A task whose connection times out has definitely not run. Default
    /// 250.
    #[serde(deserialize_with = "bounded::<_, _, 1, 60_000>")]
    #[schemars(range(min = 1, max = 60_000))]
    pub connect_timeout_ms: DurationMs,
}

impl Default for EndpointCallSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: DurationMs(250),
        }
    }
}

/// Settings of a dispatcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct DispatcherSettings {
    /// The VM that the process runs on. A file must name it.
    pub vm: VmId,
    /// The data centre that the VM is in. A file must name it.
    pub data_centre: DataCentreId,
    /// The address that entries and other dispatchers connect to, as IP and port. Default `127.0.0.1:9080`.
    pub peer_listen: SocketAddr,
    /// The peer address that is announced to entries and other dispatchers if it differs from `peer_listen`, for
    /// example behind network address translation. Default none.
    pub peer_announce: Option<SocketAddr>,
    /// The address that serves metrics, status and readiness, as IP and port. Default `127.0.0.1:9081`.
    pub admin_listen: SocketAddr,
    /// The platform's address, as IP and port. Default `127.0.0.1:8070`.
    pub platform: SocketAddr,
    /// Dispatchers to connect to before the VM list is read. Default empty.
    pub peers: Vec<DispatcherPeer>,
    /// Threads that call endpoints. Default 2.
    #[serde(deserialize_with = "bounded::<_, _, 1, 256>")]
    #[schemars(range(min = 1, max = 256))]
    pub traffic_threads: usize,
    /// How long a free slot is kept for a queued task after the dispatcher has asked the entry for the task's body. A
    /// later body is refused as not run. Default 200.
    #[serde(deserialize_with = "bounded::<_, _, 1, 60_000>")]
    #[schemars(range(min = 1, max = 60_000))]
    pub claim_limit_ms: DurationMs,
    /// The most tasks in the queue. Further offers are refused as not run. Default 20000.
    #[serde(deserialize_with = "bounded::<_, _, 1, 10_000_000>")]
    #[schemars(range(min = 1, max = 10_000_000))]
    pub queue_limit: usize,
    /// The interval between heartbeats to peers. Default 100.
    #[serde(deserialize_with = "bounded::<_, _, 10, 60_000>")]
    #[schemars(range(min = 10, max = 60_000))]
    pub heartbeat_ms: DurationMs,
    /// How long a peer may be silent before it is considered gone and its endpoints get another owner. Default 1000; at
    /// least twice `heartbeat_ms`.
    #[serde(deserialize_with = "bounded::<_, _, 20, 600_000>")]
    #[schemars(range(min = 20, max = 600_000))]
    pub suspect_ms: DurationMs,
    /// The interval at which the VM list is read. Default 1000.
    #[serde(deserialize_with = "bounded::<_, _, 10, 60_000>")]
    #[schemars(range(min = 10, max = 60_000))]
    pub vm_list_ms: DurationMs,
    /// The interval at which the head row of the contracts is polled for changes. Default 1000.
    #[serde(deserialize_with = "bounded::<_, _, 10, 60_000>")]
    #[schemars(range(min = 10, max = 60_000))]
    pub refresh_ms: DurationMs,
    /// The term of a grant of a customer's concurrency. It has to be the same for all dispatchers of a data centre.
    /// Default 12000; at least twice `heartbeat_ms`.
    #[serde(deserialize_with = "bounded::<_, _, 20, 600_000>")]
    #[schemars(range(min = 20, max = 600_000))]
    pub grant_term_ms: DurationMs,
    /// The most descriptors that the process may have open; the limit of the operating system holds too. Half of them are
    /// for clients. Default 3075.
    #[serde(deserialize_with = "bounded::<_, _, 64, 16_777_216>")]
    #[schemars(range(min = 64, max = 16_777_216))]
    pub max_descriptors: u64,
    /// How the process shuts down.
    pub drain: DrainSettings,
    /// How endpoints are called.
    pub endpoint: EndpointCallSettings,
    /// What is logged.
    pub log: LogSettings,
}

impl Default for DispatcherSettings {
    fn default() -> Self {
        Self {
            vm: unset_vm(),
            data_centre: unset_data_centre(),
            peer_listen: loopback(9080),
            peer_announce: None,
            admin_listen: loopback(9081),
            platform: loopback(8070),
            peers: Vec::new(),
            traffic_threads: 2,
            claim_limit_ms: DurationMs(200),
            queue_limit: 20_000,
            heartbeat_ms: DurationMs(100),
            suspect_ms: DurationMs(1_000),
            vm_list_ms: DurationMs(1_000),
            refresh_ms: DurationMs(1_000),
            grant_term_ms: DurationMs(12_000),
            max_descriptors: 3_075,
            drain: DrainSettings::default(),
            endpoint: EndpointCallSettings::default(),
            log: LogSettings::default(),
        }
    }
}

impl DispatcherSettings {
    pub(crate) fn check(&self) -> Result<(), RuleViolation> {
        check_identity(&self.vm, &self.data_centre)?;
        let violation = |path, rule| Err(RuleViolation { path, rule });
        if self.suspect_ms.0 < 2 * self.heartbeat_ms.0 {
            return violation("suspect_ms", "must be at least twice heartbeat_ms");
        }
        if self.grant_term_ms.0 < 2 * self.heartbeat_ms.0 {
            return violation("grant_term_ms", "must be at least twice heartbeat_ms");
        }
        if self.peer_listen == self.admin_listen {
            return violation("admin_listen", "must differ from peer_listen");
        }
        Ok(())
    }
}
