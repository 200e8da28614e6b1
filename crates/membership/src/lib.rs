//! Live dispatchers, ownership by rendezvous hashing, and leased grants, without I/O.
//!
//! Everything here is a state machine: `now: Instant` and messages in, messages and actions out. The clock is the
//! caller's own monotonic one; no two processes compare their readings, only lengths of time.
//!
//! - [`MemberTable`]: which dispatchers are live, from heartbeats.
//! - [`OwnershipMap`]: which dispatcher owns which endpoint.
//! - [`GrantAllocator`] and [`GrantHolder`]: the two sides of a lease on a part of a customer's concurrency.
//! - [`CentreView`]: what entries hear of all that.
//! - [`HandoverReport`]: what a leaving owner tells the new ones.

mod centre;
mod grant;
mod handover;
mod hashing;
mod member;
mod ownership;

pub use crate::{
    centre::CentreView,
    grant::{
        base_share, fair_target, split_shares, AskBatch, GrantAllocator, GrantAsk, GrantDecision,
        GrantHolder, GrantReply, GrantSettings, ReplyBatch, StartRefusal,
    },
    handover::{HandoverCount, HandoverReport, HandoverTracker},
    hashing::{rendezvous, StableHash},
    member::{
        HeartbeatMessage, HeartbeatReply, LiveOwner, MemberAction, MemberSettings, MemberTable,
        MemberView, OwnMember,
    },
    ownership::{OwnershipMap, OwnershipMove},
};
