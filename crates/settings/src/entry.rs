//! Settings of an entry.

use std::net::SocketAddr;

use model::{ByteSize, DataCentreId, VmId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    error::RuleViolation,
    number::{bounded, bounded_size},
    shared::{check_identity, loopback, unset_data_centre, unset_vm},
    DispatcherPeer, DrainSettings, DurationMs, LogSettings,
};

/// How an entry chooses the dispatcher of a task. Deployments use the default; the other policies exist for
/// comparison in experiments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// By free slots: those last reported by each dispatcher, minus the tasks sent to it since.
    #[default]
    FreeSlots,
    /// A random dispatcher of the data centre. For experiments only.
    RandomOwner,
    /// The less loaded of two random dispatchers. For experiments only.
    TwoChoices,
}

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct EntrySettings {
    /// The VM that the process runs on. A file must name it.
    pub vm: VmId,
    /// The data centre that the VM is in. A file must name it.
    pub data_centre: DataCentreId,
    /// The address that callers and operators connect to, as IP and port. Default `127.0.0.1:8080`.
    pub caller_listen: SocketAddr,
    /// The platform's address, as IP and port. Default `127.0.0.1:8070`.
    pub platform: SocketAddr,
    /// Dispatchers to connect to before the VM list is read. Default empty.
    pub dispatchers: Vec<DispatcherPeer>,
    /// Threads that serve callers. Default 2.
    #[serde(deserialize_with = "bounded::<_, _, 1, 256>")]
    #[schemars(range(min = 1, max = 256))]
    pub caller_threads: usize,
    /// How long before its deadline a submission is answered, even if ends of its tasks are still unconfirmed. Default
    /// 20.
    #[serde(deserialize_with = "bounded::<_, _, 0, 60_000>")]
    #[schemars(range(min = 0, max = 60_000))]
    pub answer_margin_ms: DurationMs,
    /// The largest request body, in bytes. The default, 33554432, fits a job of 370 tasks of 64 KiB in base64.
    #[serde(deserialize_with = "bounded_size::<_, 1_024, 1_073_741_824>")]
    #[schemars(with = "u64", range(min = 1_024, max = 1_073_741_824))]
    pub max_body_bytes: ByteSize,
    /// The most open submissions, which bounds memory. Further submissions are refused. Default 20000.
    #[serde(deserialize_with = "bounded::<_, _, 1, 10_000_000>")]
    #[schemars(range(min = 1, max = 10_000_000))]
    pub max_submissions: usize,
    /// The most payload bytes of open submissions; the same again holds for bodies that are being read, and for answers
    /// that callers have not taken. A submission or body that would exceed the limit is refused as overloaded, with a time
    /// to retry after. Default 268435456; at least `max_body_bytes`, so that an idle process accepts any
    /// allowed body.
    #[serde(deserialize_with = "bounded_size::<_, 1_024, 1_099_511_627_776>")]
    #[schemars(with = "u64", range(min = 1_024, max = 1_099_511_627_776_u64))]
    pub max_open_bytes: ByteSize,
    /// The most bytes of results kept for repeated requests. Above the limit the oldest results are dropped before
    /// `outcome_keep_ms`, and a repeated request is answered "unknown". Default 268435456.
    #[serde(deserialize_with = "bounded_size::<_, 1_024, 1_099_511_627_776>")]
    #[schemars(with = "u64", range(min = 1_024, max = 1_099_511_627_776_u64))]
    pub max_kept_bytes: ByteSize,
    /// How long an outcome is kept in case the same request is repeated. Default 300000.
    #[serde(deserialize_with = "bounded::<_, _, 1_000, 86_400_000>")]
    #[schemars(range(min = 1_000, max = 86_400_000))]
    pub outcome_keep_ms: DurationMs,
    /// The most descriptors that the process may have open; the limit of the operating system holds too. Half of them are
    /// for clients. Default 3075.
    #[serde(deserialize_with = "bounded::<_, _, 64, 16_777_216>")]
    #[schemars(range(min = 64, max = 16_777_216))]
    pub max_descriptors: u64,
    /// The longest time that the body of a request may take, not counting time in which the process stood still. Default
    /// 60000.
    #[serde(deserialize_with = "bounded::<_, _, 1_000, 3_600_000>")]
    #[schemars(range(min = 1_000, max = 3_600_000))]
    pub body_timeout_ms: DurationMs,
    /// How the process shuts down.
    pub drain: DrainSettings,
    /// The interval between heartbeats to dispatchers. Default 100.
    #[serde(deserialize_with = "bounded::<_, _, 10, 60_000>")]
    #[schemars(range(min = 10, max = 60_000))]
    pub heartbeat_ms: DurationMs,
    /// How long a dispatcher may be silent before the session with it is considered lost. Default 1000; at least twice
    /// `heartbeat_ms`.
    #[serde(deserialize_with = "bounded::<_, _, 20, 600_000>")]
    #[schemars(range(min = 20, max = 600_000))]
    pub session_timeout_ms: DurationMs,
    /// The age from which contracts are considered stale, so that answers are marked as given under old contracts.
    /// Default 10000; longer than `heartbeat_ms`, because the contracts' age is learnt from the answers to
    /// heartbeats.
    #[serde(deserialize_with = "bounded::<_, _, 20, 600_000>")]
    #[schemars(range(min = 20, max = 600_000))]
    pub freshness_ms: DurationMs,
    /// How dispatchers are chosen. Default `free_slots`; the others are for experiments.
    pub placement: PlacementPolicy,
    /// What is logged.
    pub log: LogSettings,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            vm: unset_vm(),
            data_centre: unset_data_centre(),
            caller_listen: loopback(8080),
            platform: loopback(8070),
            dispatchers: Vec::new(),
            caller_threads: 2,
            answer_margin_ms: DurationMs(20),
            max_body_bytes: ByteSize(32 * 1024 * 1024),
            max_submissions: 20_000,
            max_open_bytes: ByteSize(256 * 1024 * 1024),
            max_kept_bytes: ByteSize(256 * 1024 * 1024),
            outcome_keep_ms: DurationMs(300_000),
            max_descriptors: 3_075,
            body_timeout_ms: DurationMs(60_000),
            drain: DrainSettings::default(),
            heartbeat_ms: DurationMs(100),
            session_timeout_ms: DurationMs(1_000),
            freshness_ms: DurationMs(10_000),
            placement: PlacementPolicy::default(),
            log: LogSettings::default(),
        }
    }
}

impl EntrySettings {
    pub(crate) fn check(&self) -> Result<(), RuleViolation> {
        check_identity(&self.vm, &self.data_centre)?;
        let violation = |path, rule| Err(RuleViolation { path, rule });
        if self.session_timeout_ms.0 < 2 * self.heartbeat_ms.0 {
            return violation("session_timeout_ms", "must be at least twice heartbeat_ms");
        }
        if self.max_open_bytes < self.max_body_bytes {
            return violation("max_open_bytes", "must be at least max_body_bytes");
        }
        if self.freshness_ms <= self.heartbeat_ms {
            return violation("freshness_ms", "must be more than heartbeat_ms");
        }
        Ok(())
    }
}
