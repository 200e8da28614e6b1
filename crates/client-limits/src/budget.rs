//! The limits of a process, derived from its machine.

use model::{text_enum, ByteSize, UnknownVariant};

/// The bytes that each connection may hold without a reservation. An ordinary request with its head fits.
pub const CONNECTION_BYTES: usize = 4 * 1_024;

/// The memory of the smallest machines on which the processes run. It holds where settings do not state the memory.
pub const SMALLEST_MEMORY: ByteSize = ByteSize(120_000_000);

/// What a connection takes of the share of connections, in bytes: [`CONNECTION_BYTES`], and as much again for the
/// connection's task, its buffers and the operating system's record of it.
const CONNECTION_COST: u64 = 8 * 1_024;

/// The share of the descriptors that clients may take. The store, workers and other nodes need the rest.
const DESCRIPTOR_DIVISOR: u64 = 2;

/// The share of the memory for all connections, for requests that are being read, and for open jobs, each.
const MEMORY_DIVISOR: u64 = 8;

/// The share of the memory for answers that clients have not taken.
const ANSWER_DIVISOR: u64 = 16;

text_enum! {
    /// A share of the memory that clients may take.
    MemoryShare, "memory share", UnknownVariant {
        /// Heads and bodies that are being read.
        Requests => "requests",
        /// Answers that clients have not taken.
        Answers => "answers",
        /// Jobs that are open.
        Jobs => "jobs",
    }
}

/// What all clients of a process may take together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientBudget {
    /// The most connections.
    pub connections: usize,
    /// The most bytes of requests that are being read, beyond what each connection may hold.
    pub requests: ByteSize,
    /// The most bytes of answers that clients have not taken, beyond what each connection may hold.
    pub answers: ByteSize,
    /// The most bytes of open jobs, beyond what each connection may hold.
    pub jobs: ByteSize,
}

impl ClientBudget {
    /// The budget of a process that may take this much memory and this many descriptors.
    pub fn for_machine(memory: ByteSize, descriptors: u64) -> Self {
        let share = memory.0 / MEMORY_DIVISOR;
        let fitting = usize::try_from(share / CONNECTION_COST).unwrap_or(usize::MAX);
        Self {
            connections: Self::connections_of(descriptors).min(fitting).max(1),
            requests: ByteSize(share),
            answers: ByteSize(memory.0 / ANSWER_DIVISOR),
            jobs: ByteSize(share),
        }
    }

    /// The most connections of a process that may have this many descriptors open.
    pub fn connections_of(descriptors: u64) -> usize {
        let connections = descriptors / DESCRIPTOR_DIVISOR;
        usize::try_from(connections).unwrap_or(usize::MAX).max(1)
    }

    /// The limit of a share.
    pub fn limit(&self, share: MemoryShare) -> ByteSize {
        match share {
            MemoryShare::Requests => self.requests,
            MemoryShare::Answers => self.answers,
            MemoryShare::Jobs => self.jobs,
        }
    }
}

/// How much of a share is in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareCount {
    /// The bytes in use.
    pub used: u64,
    /// The most bytes that were in use at once.
    pub peak: u64,
}

impl ShareCount {
    /// Takes bytes if the limit allows it. Returns whether it does.
    pub(crate) fn take(&mut self, bytes: u64, limit: ByteSize) -> bool {
        let used = self.used.saturating_add(bytes);
        if used > limit.0 {
            return false;
        }
        self.used = used;
        self.peak = self.peak.max(used);
        true
    }

    pub(crate) fn give_back(&mut self, bytes: u64) {
        self.used = self.used.saturating_sub(bytes);
    }
}
