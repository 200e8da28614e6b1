//! Bytes and calls of a process by what they are for.
//!
//! A VM's link can be the narrowest part of a fleet. Which purpose fills it shows only here: the platform counts bytes
//! of a VM, not of a purpose.

use std::sync::atomic::{AtomicU64, Ordering};

use model::{text_enum, UnknownVariant};

text_enum! {
    /// What bytes are sent or received for.
    TrafficKind, "kind of traffic", UnknownVariant {
        /// Starts of runs at workers.
        Starts => "starts",
        /// Stops of runs at workers.
        Stops => "stops",
        /// Looks at workers.
        Looks => "looks",
        /// Jobs between entries and owners of pools.
        Peers => "peers",
        /// Heartbeats between processes.
        Heartbeats => "heartbeats",
        /// The store: what operators write.
        StoreOperator => "store_operator",
        /// The store: the list of workers.
        StoreWorkers => "store_workers",
        /// The store: the processes of the system.
        StoreMembers => "store_members",
        /// The store: who owns which pool.
        StoreClaims => "store_claims",
        /// The store: kept jobs.
        StoreJobs => "store_jobs",
        /// Customers' requests.
        Customers => "customers",
    }
}

/// Bytes and calls of one kind since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Calls, datagrams or customers' requests. Those between entries and owners share connections and are not counted.
    pub calls: u64,
    /// Bytes sent: bodies and heads, without those of TCP and UDP.
    pub sent: u64,
    /// Bytes received, likewise.
    pub received: u64,
}

#[derive(Debug, Default)]
struct TrafficCells {
    calls: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
}

/// The bytes and calls of one process.
#[derive(Debug, Default)]
pub struct TrafficBook {
    cells: [TrafficCells; TrafficKind::ALL.len()],
}

impl TrafficBook {
    /// Counts a call.
    pub fn call(&self, kind: TrafficKind) {
        self.cells[kind as usize]
            .calls
            .fetch_add(1, Ordering::Relaxed);
    }

    /// Counts sent bytes.
    pub fn send(&self, kind: TrafficKind, bytes: usize) {
        self.cells[kind as usize]
            .sent
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts received bytes.
    pub fn receive(&self, kind: TrafficKind, bytes: usize) {
        self.cells[kind as usize]
            .received
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// What was counted so far.
    pub fn count(&self, kind: TrafficKind) -> TrafficCount {
        let cells = &self.cells[kind as usize];
        TrafficCount {
            calls: cells.calls.load(Ordering::Relaxed),
            sent: cells.sent.load(Ordering::Relaxed),
            received: cells.received.load(Ordering::Relaxed),
        }
    }

    /// What was counted of all kinds.
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
