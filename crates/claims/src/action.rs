//! Actions and events of the claim controller, and its view of a pool's owner.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jobs::{FenceToken, PoolId};
use model::{text_enum, UnknownVariant};
use pool::{PoolLoad, StartProfile};

use crate::{peer_clock::PeerClock, view::NodeId};

/// An action that the claim controller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Probe whether a worker of the pool can be reached, and report the result to `on_probe_result`.
    Probe(PoolId),
    /// Write the claim row if it still has this version, and report the outcome to `on_claim_outcome`.
    Claim {
        /// The pool to claim.
        pool: PoolId,
        /// The version that the claim row must have; 0 if there must be no row.
        expected: u64,
    },
}

/// The outcome of an attempt to claim a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The store decided: this process or another one got the pool.
    Decided,
    /// The store did not decide, or its answer is unknown.
    Undecided,
}

/// A change in what this process knows about its peers and the pools' owners, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// A heartbeat arrived from a process that has not been heard before, or that was silent.
    PeerHeard(NodeId),
    /// No heartbeat of a process has arrived within the silence timeout, or the process refuses connections.
    PeerSilent {
        /// The process.
        node: NodeId,
        /// The age of its last heartbeat.
        age: Duration,
    },
    /// A pool has a new owner.
    OwnerChanged {
        /// The pool.
        pool: PoolId,
        /// The owner.
        node: NodeId,
        /// The owner's fencing token.
        fence: FenceToken,
    },
    /// This process tries to claim a pool.
    Claiming {
        /// The pool.
        pool: PoolId,
        /// Why the pool can be claimed.
        why: ClaimReason,
        /// The version of the claim row to replace; 0 if there is none.
        expected: u64,
    },
}

text_enum! {
    /// Why a pool can be claimed.
    ClaimReason, "reason of a claim", UnknownVariant {
        /// The pool has no owner.
        Unowned => "unowned",
        /// The owner has restarted and no longer knows about the pool.
        OwnerRestarted => "owner_restarted",
        /// The owner hands the pool over. It finishes its jobs on the workers that they use and leaves the
        /// other workers to its successor.
        OwnerYields => "owner_yields",
        /// Connections to the owner are refused, so its process is gone.
        OwnerGone => "owner_gone",
        /// The owner is silent, and no peer whose report counts hears it.
        OwnerSilent => "owner_silent",
    }
}

/// A pool's owner, as this process knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerView {
    /// The owner.
    pub node: NodeId,
    /// The address where it listens for other processes.
    pub address: SocketAddr,
    /// The owner's fencing token.
    pub fence: FenceToken,
    /// Whether the owner is this process.
    pub here: bool,
    /// Whether the owner can be used: it is this process, or it is heard and does not hand the pool over.
    pub alive: bool,
    /// The load of the pool, from the owner's last heartbeat; the default if none was heard.
    pub load: PoolLoad,
    /// The start profile of the pool, from the same heartbeat, if there was one that could be read.
    pub start_profile: Option<StartProfile>,
    /// When the owner's last heartbeat arrived; `None` for this process and for a silent owner.
    pub heard_at: Option<Instant>,
    /// What is known of the owner's clock; `None` for this process and for a silent owner.
    pub clock: Option<PeerClock>,
}
