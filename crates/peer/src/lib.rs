//! The protocol between the system's own processes over capnp-rpc.

#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::use_self, rust_2018_idioms, unreachable_pub, clippy::ptr_as_ptr)]
pub mod peer_capnp;
