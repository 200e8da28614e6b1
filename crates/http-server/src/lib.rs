//! HTTP/1.1 for clients that need not behave.
//!
//! Parsing and encoding are the HTTP library's. Its own server reads ahead, queues requests that follow on a connection
//! and keeps all answers that are not taken, so that one connection can hold megabytes. Here a connection has one
//! request at a time, and whatever it holds is counted by the [`ClientGate`] of the process:
//!
//! - a head is read into a small buffer;
//! - a body is read only as its consumer takes it, after memory for it was reserved;
//! - nothing more is read before the answer is taken.

mod body;
mod connection;
mod gate;
mod inbound;
mod serve;
mod web;

pub use crate::{
    connection::{HalfClose, HeldSince, HttpServer, ServerOptions},
    gate::{
        ClientConnection, ClientGate, CloseCause, EventEffect, GateEvent, GateSnapshot, HttpLimits,
    },
    inbound::stated_length,
    serve::{bound_socket_buffers, serve_stream},
    web::{spawn_sweeps, start_web_server, WebSettings},
};
