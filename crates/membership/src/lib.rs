//! Membership of dispatchers, endpoint ownership by rendezvous hashing, and leased grants, without I/O.
//!
//! Everything here is a state machine: `now: Instant` and messages go in, messages and actions come out. `now` is the
//! caller's own monotonic clock. Readings of two processes are never compared, only lengths of time.
//!
//! - [`MemberTable`]: which dispatchers are live, from heartbeats.
//! - [`OwnershipMap`]: which dispatcher owns which endpoint.
//! - [`GrantAllocator`] and [`GrantHolder`]: the home's and the entry's side of a lease on a part of a customer's
//!   concurrency.
//! - [`CentreView`]: the state of a data centre that dispatchers report to entries.
//! - [`HandoverReport`]: the running tasks that a leaving owner reports to the new owners.

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
