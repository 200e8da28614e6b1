//! Counts the calls and bytes of a process by purpose.
//!
//! A VM's network link can be the bottleneck of a fleet. The platform counts bytes per VM only, so these counters are
//! the only source that shows which purpose uses the link.

use std::sync::atomic::{AtomicU64, Ordering};

use model::{text_enum, UnknownVariant};

text_enum! {
    /// The purpose of a call or of bytes on the network.
    TrafficKind, "kind of traffic", UnknownVariant {
        /// Calls that start runs on workers.
        Starts => "starts",
        /// Calls that stop runs on workers.
        Stops => "stops",
        /// Polls of workers.
        Polls => "looks",
        /// Jobs sent between entries and pool owners.
        Peers => "peers",
        /// Heartbeats between processes.
        Heartbeats => "heartbeats",
        /// Store: rows written by operators.
        StoreOperator => "store_operator",
        /// Store: the list of workers.
        StoreWorkers => "store_workers",
        /// Store: the processes of the system.
        StoreMembers => "store_members",
        /// Store: claims of pools by their owners.
        StoreClaims => "store_claims",
        /// Store: kept jobs.
        StoreJobs => "store_jobs",
        /// Requests of customers.
        Customers => "customers",
    }
}

/// Calls and bytes of one kind since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Calls, datagrams or requests of customers. Calls between entries and pool owners share connections and are not
    /// counted.
    pub calls: u64,
    /// Bytes sent: bodies and headers, without those of TCP and UDP.
    pub sent: u64,
    /// Bytes received, counted in the same way.
    pub received: u64,
}

#[derive(Debug, Default)]
struct KindCounters {
    calls: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
}

/// Calls and bytes of one process, by kind. Safe to update from any thread.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    by_kind: [KindCounters; TrafficKind::ALL.len()],
}

impl TrafficCounters {
    /// Counts a call.
    pub fn record_call(&self, kind: TrafficKind) {
        self.by_kind[kind as usize]
            .calls
            .fetch_add(1, Ordering::Relaxed);
    }

    /// Counts sent bytes.
    pub fn record_sent(&self, kind: TrafficKind, bytes: usize) {
        self.by_kind[kind as usize]
            .sent
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts received bytes.
    pub fn record_received(&self, kind: TrafficKind, bytes: usize) {
        self.by_kind[kind as usize]
            .received
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// The counts of one kind so far.
    pub fn count(&self, kind: TrafficKind) -> TrafficCount {
        let counters = &self.by_kind[kind as usize];
        TrafficCount {
            calls: counters.calls.load(Ordering::Relaxed),
            sent: counters.sent.load(Ordering::Relaxed),
            received: counters.received.load(Ordering::Relaxed),
        }
    }

    /// The sum of the counts of all kinds.
    pub fn total(&self) -> TrafficCount {
        let mut total = TrafficCount::default();
        for kind in TrafficKind::ALL {
            let count = self.count(*kind);
            total.calls += count.calls;
            total.sent += count.sent;
            total.received += count.received;
        }
        total
    }
}
