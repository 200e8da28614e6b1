//! The protocol between the system's own processes over capnp-rpc.
//!
//! `schema/peer.capnp` is the protocol of entries and dispatchers, `schema/pool.capnp` that of entries and pool owners.
//! `cargo run -p xtask -- codegen` generates `peer_capnp.rs` and `pool_capnp.rs` from them. The processes use only the
//! ports of the generated types: this crate converts all other messages to and from the types of the system.

mod client;
mod convert;
mod convert_grants;
mod link;
mod pool_link;
mod pool_message;
mod service;

#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::use_self, rust_2018_idioms, unreachable_pub, clippy::ptr_as_ptr)]
#[allow(clippy::ignored_unit_patterns, clippy::cast_lossless, clippy::ref_as_ptr, clippy::mut_mut)]
pub mod peer_capnp;

#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::use_self, rust_2018_idioms, unreachable_pub, clippy::ptr_as_ptr)]
#[allow(clippy::ignored_unit_patterns, clippy::cast_lossless, clippy::ref_as_ptr, clippy::mut_mut)]
pub mod pool_capnp;

pub use crate::{
    client::{DispatcherClient, EntryClient, OpenedSession, SessionClient},
    link::{connect, serve, AcceptedPort, PeerLink},
    pool_link::{connect_pool, serve_pool, JobCall, PoolLink, PoolService},
    pool_message::{decode_heartbeat, encode_heartbeat},
    service::{
        dispatcher_port, entry_port, ContractsReply, DispatcherService, EntryService,
        ForwardedAnswer, PingReply, ReplyFuture, SessionService,
    },
};

use thiserror::Error;

/// An error in the communication between two processes of the system.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PeerError {
    /// No process listens at the address: the other process has ended.
    #[error("connection refused")]
    Refused,
    /// The connection could not be opened, or it broke.
    #[error("connection lost: {0}")]
    Lost(String),
    /// The other process rejected the call.
    #[error("call failed: {0}")]
    Failed(String),
    /// A message could not be decoded or has invalid content.
    #[error("bad message: {0}")]
    BadMessage(String),
    /// No answer arrived in time.
    #[error("no answer in time")]
    TimedOut,
}

impl From<capnp::Error> for PeerError {
    fn from(error: capnp::Error) -> Self {
        match error.kind {
            capnp::ErrorKind::Disconnected => Self::Lost(error.extra),
            capnp::ErrorKind::Failed
            | capnp::ErrorKind::Overloaded
            | capnp::ErrorKind::Unimplemented => Self::Failed(error.extra),
            _ => Self::BadMessage(error.to_string()),
        }
    }
}

impl From<PeerError> for capnp::Error {
    fn from(error: PeerError) -> Self {
        Self::failed(error.to_string())
    }
}
