//! What a keeper of claims asks for, notes, and knows of an owner.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jobs::{FenceToken, PoolId};
use model::{text_set, WrongReason};
use pool::PoolLoad;

use crate::view::NodeId;

/// What has to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Find out whether a worker of the pool can be reached, and tell `on_probe_result`.
    Probe(PoolId),
    /// Write the claim if its row still has this version; tell `on_claim_outcome`.
    Claim {
        /// The pool.
        pool: PoolId,
        /// The version that the row must have; 0 for none.
        expected: u64,
    },
}

/// How an attempt to claim ended at the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The store decided: the claim is won, or another was faster.
    Decided,
    /// The store did not decide, or its answer is not known.
    Undecided,
}

/// A change of belief, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// A process was heard for the first time, or again.
    PeerHeard(NodeId),
    /// A process is not heard any more.
    PeerSilent {
        /// Which.
        node: NodeId,
        /// The age of its last sign of life.
        age: Duration,
    },
    /// A pool has another owner.
    OwnerChanged {
        /// The pool.
        pool: PoolId,
        /// The owner.
        node: NodeId,
        /// Its fence.
        fence: FenceToken,
    },
    /// This process tries to become a pool's owner.
    Claiming {
        /// The pool.
        pool: PoolId,
        /// Why the known owner does not count.
        why: ClaimReason,
        /// The version of the row that is to be replaced.
        expected: u64,
    },
}

text_set! {
    /// Why a pool can be claimed.
    ClaimReason, "reason of a claim", WrongReason {
        /// Nobody owns it.
        Unowned => "unowned",
        /// Its owner has started again and forgotten it.
        OwnerRestarted => "owner_restarted",
        /// Its owner hands it over. It finishes its jobs on the workers that they use, and leaves the others.
        OwnerYields => "owner_yields",
        /// Connections to its owner are refused: the process is gone.
        OwnerGone => "owner_gone",
        /// Nobody hears its owner.
        OwnerSilent => "owner_silent",
    }
}

/// A pool's owner, as this process knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerView {
    /// The owner.
    pub node: NodeId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its fence.
    pub fence: FenceToken,
    /// Whether it is this process.
    pub here: bool,
    /// Whether it gives signs of life and is not about to stop.
    pub alive: bool,
    /// What its pool can take, as last heard.
    pub load: PoolLoad,
    /// When that was heard, if it was.
    pub heard_at: Option<Instant>,
}
