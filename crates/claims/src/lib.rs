//! Ownership of worker pools: which process owns which pool, and when another process takes it over.
//!
//! A claim is a row in the platform's store, and its version is the owner's fencing token. Claims are not
//! renewed: the processes monitor each other by heartbeats, and a process that finds an owner gone replaces
//! the row on the condition that its version is unchanged. The store decides between concurrent claims, and
//! workers reject orders with a lower fencing token, so a false suspicion costs a claim and never runs a task
//! twice.
//!
//! A process hears a peer while the peer's heartbeats arrive within the silence timeout. Local processes are in
//! the same data centre, remote ones in another.

mod action;
mod capacity;
mod controller;
mod peer_clock;
mod rows;
mod settings;
mod view;

pub use crate::{
    action::{ClaimAction, ClaimEvent, ClaimOutcome, ClaimReason, OwnerView},
    capacity::{is_outgrown, plan_groups, VmCapacity},
    controller::{ClaimController, HeartbeatClass, KnownList, PollDecision},
    peer_clock::PeerClock,
    rows::{
        ClaimRow, GroupRow, GroupSpread, MemberRow, PublishedBudget, PublishedMember,
        PublishedRunTimes,
    },
    settings::ClaimSettings,
    view::{Heartbeat, LinkRate, ListReading, NodeDigest, NodeId, PoolNews},
};
