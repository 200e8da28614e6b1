//! Which process owns which pool of workers.
//!
//! A claim is a row in the platform's store; its version is the owner's fence. Nobody renews it: the processes watch
//! each other by heartbeats, and one that finds an owner gone replaces the row under the condition that it is still
//! the one it knows. The store decides between two that do so at once, and the workers turn away orders under a lower
//! fence, so a wrong suspicion costs a claim and never a task that runs twice.

mod action;
mod capacity;
mod controller;
mod rows;
mod settings;
mod view;

pub use crate::{
    action::{ClaimAction, ClaimEvent, ClaimOutcome, ClaimReason, OwnerView},
    capacity::{is_outgrown, plan_groups, VmCapacity},
    controller::{ClaimController, HeartbeatClass, KnownList, PollDecision},
    rows::{ClaimRow, GroupRow, GroupSpread, MemberRow, RouteWait},
    settings::ClaimSettings,
    view::{Heartbeat, LinkRate, ListReading, NodeDigest, NodeId, PoolNews},
};
