//! Stand-in of an endpoint: runs tasks by sleeping, records every start and shows faults on demand.
//!
//! It serves the HTTP border of an endpoint (`POST /v1/tasks`) and two control calls: `GET /control/starts` gives an
//! [`EndpointRecord`], `POST /control/faults` takes a [`FaultRequest`]. What it records is the ground truth by which
//! tests judge that nothing started twice, so a run goes on and is recorded also when its caller has gone.

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
    /// Its name in the VM list.
    pub id: EndpointId,
    /// Where to listen; port 0 lets the system choose.
    pub address: SocketAddr,
    /// Tasks at once; one more is answered `busy`.
    pub slots: u32,
    /// Run time of a task whose payload names none.
    pub run_time: Duration,
    /// How long an idle connection is kept. A client must let go of it earlier.
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

/// A running stand-in. Dropping it closes its listener and its connections.
pub struct EndpointStandIn {
    state: Arc<EndpointState>,
    address: SocketAddr,
    handle: ServerHandle,
}

impl EndpointStandIn {
    /// Listens and serves on threads of its own. Call it inside an actix `System`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(settings: EndpointSettings) -> io::Result<Self> {
        let state = Arc::new(EndpointState::new(settings));
        let (address, handle) = server::serve(Arc::clone(&state))?;
        log::info!(
            "endpoint stand-in: {} listens on {address}",
            state.settings().id
        );
        Ok(Self {
            state,
            address,
            handle,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its address as the dispatcher keeps it.
    pub fn endpoint_address(&self) -> EndpointAddress {
        EndpointAddress {
            id: self.state.settings().id.clone(),
            address: self.address,
            slots: self.state.settings().slots,
        }
    }

    /// What it has run and turned away so far.
    pub fn record(&self) -> EndpointRecord {
        self.state.record()
    }

    /// Shows a fault from the next task on.
    pub fn set_fault(&self, request: FaultRequest) {
        self.state.set_fault(request);
    }

    /// Closes the listener and every connection, runs included, as when the process dies.
    pub async fn stop(&self) {
        self.state.cut_connections();
        self.handle.stop(false).await;
    }
}

impl Drop for EndpointStandIn {
    fn drop(&mut self) {
        self.state.cut_connections();
        // The stop message is sent here; nobody needs to wait for its answer.
        drop(self.handle.stop(false));
    }
}
