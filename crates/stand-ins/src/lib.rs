//! Lightweight stand-ins for the platform, endpoints and the network, for tests and the demo.

pub mod endpoint;
pub mod forwarder;
pub mod platform;
