//! Stand-in for an endpoint: runs tasks by sleeping, records every start and injects faults on request.
//!
//! It serves the HTTP interface of an endpoint (`POST /v1/tasks`) and two control calls: `GET /control/starts` returns
//! an [`EndpointRecord`], `POST /control/faults` takes a [`FaultRequest`]. The record is the ground truth by which
//! tests check that no task started twice, so a run continues and is recorded even if its caller disconnects.

mod answer;
mod fault;
mod record;
mod server;
mod state;
mod task;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use actix_web::dev::ServerHandle;
use model::{EndpointAddress, EndpointId};

use crate::endpoint::state::EndpointState;
pub use crate::endpoint::{
    fault::{Fault, FaultRequest},
    record::{EndpointRecord, RefusalCause, RefusalRecord, RunEnd, StartRecord},
    task::{digest, TaskScript},
};

/// Settings of an [`EndpointStandIn`].
#[derive(Clone, Debug)]
pub struct EndpointSettings {
    /// The id of the endpoint in the VM list.
    pub id: EndpointId,
    /// The address to listen on; with port 0 the operating system chooses a port.
    pub address: SocketAddr,
    /// The most concurrent tasks; further ones are answered `busy`.
    pub slots: u32,
    /// Run time of a task whose payload does not set one.
    pub run_time: Duration,
    /// How long an idle connection is kept open. Clients must close it earlier.
    pub keep_alive: Duration,
}

impl Default for EndpointSettings {
    fn default() -> Self {
        Self {
            id: "endpoint-1".parse().expect("a valid endpoint id"),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 8,
            run_time: Duration::from_millis(80),
            keep_alive: Duration::from_secs(30),
        }
    }
}

/// A running endpoint stand-in. Dropping it closes its listener and its connections.
pub struct EndpointStandIn {
    state: Arc<EndpointState>,
    address: SocketAddr,
    handle: ServerHandle,
}

impl EndpointStandIn {
    /// Starts listening and serves on its own threads. Must be called inside an actix `System`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(settings: EndpointSettings) -> io::Result<Self> {
        let state = Arc::new(EndpointState::new(settings));
        let (address, handle) = server::serve(Arc::clone(&state))?;
        log::info!(
            "endpoint stand-in: {} is listening on {address}",
            state.settings().id
        );
        Ok(Self {
            state,
            address,
            handle,
        })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its address in the form that the dispatcher uses.
    pub fn endpoint_address(&self) -> EndpointAddress {
        EndpointAddress {
            id: self.state.settings().id.clone(),
            address: self.address,
            slots: self.state.settings().slots,
        }
    }

    /// Returns the record of all tasks started and refused so far.
    pub fn record(&self) -> EndpointRecord {
        self.state.record()
    }

    /// Injects a fault from the next task on.
    pub fn set_fault(&self, request: FaultRequest) {
        self.state.set_fault(request);
    }

    /// Closes the listener and every connection, including those of running tasks, like a crash of the process.
    pub async fn stop(&self) {
        self.state.cut_connections();
        self.handle.stop(false).await;
    }
}

impl Drop for EndpointStandIn {
    fn drop(&mut self) {
        self.state.cut_connections();
        // `stop` sends its message right away; its future need not be awaited.
        drop(self.handle.stop(false));
    }
}
