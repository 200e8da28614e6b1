//! Settings of a node, the process that accepts jobs from customers and owns pools of workers.

use std::net::SocketAddr;

use model::{DataCentreId, LoadPolicies, Mechanism, VmId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    error::RuleViolation,
    shared::{check_identity, loopback, unset_data_centre, unset_vm},
    DurationMs,
};

/// Settings of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct NodeSettings {
    /// The VM that the process runs on. A file must name it.
    pub vm: VmId,
    /// The data centre that the VM is in. A file must name it.
    pub data_centre: DataCentreId,
    /// The address that customers connect to, as IP and port. Default `127.0.0.1:8181`.
    pub customer_listen: SocketAddr,
    /// The address that serves readiness and metrics, as IP and port. Default `127.0.0.1:8182`.
    pub ready_listen: SocketAddr,
    /// The address that other nodes connect to and send heartbeats to, over TCP and UDP, as IP and port. Default
    /// `127.0.0.1:8183`.
    pub peer_listen: SocketAddr,
    /// The address of the platform's store, as IP and port. Default `127.0.0.1:8070`.
    pub store: SocketAddr,
    /// How long the process may take to stop after SIGTERM, in seconds. Default 6.
    pub stop_grace_s: f64,
    /// The longest lease that workers grant. Default 1000.
    pub longest_lease_ms: DurationMs,
    /// How long a customer waits after an attempt without an answer before it submits the job again. Default 1300.
    pub customer_retry_ms: DurationMs,
    /// The time within which configuration that operators write has to be in force. Default 2000.
    pub config_limit_ms: DurationMs,
    /// The factor by which the run time of a task grows on a worker outside the rack of the task's data. Default 2.
    pub far_factor: f64,
    /// The CPU capacity of the VM, in cores. VMs with more cores own more pools. Default 1.
    pub cores: f64,
    /// The bandwidth of the VM's network link in each direction, in megabits per second. VMs with less bandwidth own
    /// smaller pools. Default 1000.
    pub link_mbps: f64,
    /// The memory that the process may use, in megabytes of 1,000,000 bytes. Connections, requests that are being read,
    /// answers that are not taken, and open jobs get shares of it. Default 120.
    pub memory_mb: u64,
    /// The most descriptors that the process may have open; the limit of the operating system holds too. Half of them are
    /// for clients. Default 3075.
    pub max_descriptors: u64,
    /// The longest time that the body of a request may take, not counting time in which the process stood still. Default
    /// 60000.
    pub body_timeout_ms: DurationMs,
    /// How orders to start and stop tasks reach the workers. Default `call`.
    pub orders: OrderPath,
    /// The policies for decisions under load. Default: those that are the default of each policy.
    pub load: LoadPolicies,
    /// Mechanisms that are disabled, to measure the effect of each in experiments. Default none; production disables
    /// none.
    pub switched_off: Vec<Mechanism>,
}

/// How orders to start and stop tasks reach the workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum OrderPath {
    /// The owner of a pool sends the orders in calls to the workers.
    #[default]
    Call,
    /// The orders are sent in the answers to the workers' heartbeats. The platform does not specify this path, so
    /// settings that choose it are rejected.
    Heartbeat,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            vm: unset_vm(),
            data_centre: unset_data_centre(),
            customer_listen: loopback(8181),
            ready_listen: loopback(8182),
            peer_listen: loopback(8183),
            store: loopback(8070),
            stop_grace_s: 6.0,
            longest_lease_ms: DurationMs(1_000),
            customer_retry_ms: DurationMs(1_300),
            config_limit_ms: DurationMs(2_000),
            far_factor: 2.0,
            cores: 1.0,
            link_mbps: 1_000.0,
            memory_mb: 120,
            max_descriptors: 3_075,
            body_timeout_ms: DurationMs(60_000),
            orders: OrderPath::Call,
            load: LoadPolicies::default(),
            switched_off: Vec::new(),
        }
    }
}

impl NodeSettings {
    pub(crate) fn check(&self) -> Result<(), RuleViolation> {
        check_identity(&self.vm, &self.data_centre)?;
        let violation = |path, rule| Err(RuleViolation { path, rule });
        if !(self.stop_grace_s > 0.0 && self.stop_grace_s <= 3_600.0) {
            return violation("stop_grace_s", "must be more than 0 and at most 3600");
        }
        if !(self.far_factor >= 1.0 && self.far_factor <= 1_000.0) {
            return violation("far_factor", "must be at least 1 and at most 1000");
        }
        if !(self.cores > 0.0 && self.cores <= 10_000.0) {
            return violation("cores", "must be more than 0 and at most 10000");
        }
        if !(self.link_mbps > 0.0 && self.link_mbps <= 10_000_000.0) {
            return violation("link_mbps", "must be more than 0 and at most 10000000");
        }
        if self.longest_lease_ms.0 < 100 {
            return violation("longest_lease_ms", "must be at least 100");
        }
        if !(500..=600_000).contains(&self.config_limit_ms.0) {
            return violation("config_limit_ms", "must be at least 500 and at most 600000");
        }
        if !(16..=1_048_576).contains(&self.memory_mb) {
            return violation("memory_mb", "must be at least 16 and at most 1048576");
        }
        if !(64..=16_777_216).contains(&self.max_descriptors) {
            return violation(
                "max_descriptors",
                "must be at least 64 and at most 16777216",
            );
        }
        if !(1_000..=3_600_000).contains(&self.body_timeout_ms.0) {
            return violation(
                "body_timeout_ms",
                "must be at least 1000 and at most 3600000",
            );
        }
        if self.orders == OrderPath::Heartbeat {
            return violation("orders", "`heartbeat` is not supported; use `call`");
        }
        Ok(())
    }
}
