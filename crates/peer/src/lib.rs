//! The protocol between the system's own processes over capnp-rpc.
//!
//! The schema is in `schema/peer.capnp`; `cargo run -p xtask -- codegen` makes `peer_capnp.rs` from it. No type of
//! the generated code leaves this crate except the ports themselves: everything else is turned into the model's
//! types at this border.

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

/// What can go wrong between two processes of the system.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PeerError {
    /// Nobody listens there: the process is gone.
    #[error("connection refused")]
    Refused,
    /// The connection could not be made or broke.
    #[error("connection lost: {0}")]
    Lost(String),
    /// The other side turned the call away.
    #[error("call failed: {0}")]
    Failed(String),
    /// A message does not hold what it should.
    #[error("bad message: {0}")]
    BadMessage(String),
    /// No answer came in time.
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
