//! Stand-in for the platform's HTTP service: tables, objects and the VM list, all in memory, with faults that a test
//! can enable and disable.
//!
//! The interfaces are specified in `docs/design/0001-interfaces.md`. Faults are set in process or by
//! `PUT /control/faults`; calls under `/control/` are never delayed, cut or counted.

mod connection;
mod control;
mod faults;
mod routes;
mod state;
mod table;
mod timing;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use actix_web::{dev::ServerHandle, web, App, HttpServer};
use model::VmEntry;

use self::{connection::OpenConnections, state::PlatformState};

pub use self::{
    faults::{AnswerLoss, DownMode, FaultSettings, LossTime, RacingWrite},
    state::PlatformStats,
    table::{ExpectedVersion, RowConflict, TableRow, WriteRequest},
    timing::ServiceTimes,
};

/// The largest request body, in bytes. The largest that the system sends is a group commit of keys.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Settings of a [`PlatformStandIn`].
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The address to listen on; with port 0 the operating system chooses a port.
    pub address: SocketAddr,
    /// How long reads and writes take.
    pub times: ServiceTimes,
    /// The VM list at the start.
    pub vms: Vec<VmEntry>,
    /// The faults at the start.
    pub faults: FaultSettings,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            times: ServiceTimes::default(),
            vms: Vec::new(),
            faults: FaultSettings::default(),
        }
    }
}

/// A running platform stand-in. It keeps running after it is dropped, until the actix system ends; [`Self::stop`] ends
/// it.
pub struct PlatformStandIn {
    address: SocketAddr,
    handle: ServerHandle,
    state: Arc<PlatformState>,
    connections: OpenConnections,
}

impl PlatformStandIn {
    /// Starts a stand-in within the running actix system.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start(settings: PlatformSettings) -> io::Result<Self> {
        let address = settings.address;
        let state = Arc::new(PlatformState::new(settings));
        Self::serve(address, state)
    }

    /// Restarts after [`Self::stop`] at the same address with the same rows, like a store after an outage.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn restart(&self) -> io::Result<Self> {
        Self::serve(self.address, Arc::clone(&self.state))
    }

    fn serve(address: SocketAddr, state: Arc<PlatformState>) -> io::Result<Self> {
        let shared = web::Data::from(Arc::clone(&state));
        let connections = OpenConnections::default();
        let registry = connections.clone();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(shared.clone())
                .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
                .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
                .configure(routes::configure)
                .configure(control::configure)
        })
        .on_connect(move |connection, extensions| registry.register(connection, extensions))
        .workers(1)
        .disable_signals()
        .shutdown_timeout(1)
        .bind(address)?;
        let address = server.addrs()[0];
        let server = server.run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(Self {
            address,
            handle,
            state,
            connections,
        })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and closes every connection at once. Later connections are refused.
    pub async fn stop(&self) {
        self.handle.stop(false).await;
        // The server does not wait for its workers here, so a keep-alive connection could still answer one more
        // request.
        self.connections.close_all();
    }

    /// Replaces every fault.
    pub fn set_faults(&self, faults: FaultSettings) {
        self.state.set_faults(faults);
    }

    /// Returns the faults with their remaining counts.
    pub fn faults(&self) -> FaultSettings {
        self.state.faults()
    }

    /// Replaces the VM list.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        self.state.set_vms(vms);
    }

    /// Returns the counts since the start.
    pub fn stats(&self) -> PlatformStats {
        self.state.stats()
    }

    /// Returns the current row, bypassing all faults.
    pub fn row(&self, table: &str, key: &str) -> Option<TableRow> {
        self.state.peek(table, key)
    }

    /// Commits writes immediately, bypassing all faults and service times, like another writer.
    pub fn write_now(&self, writes: Vec<WriteRequest>) -> Result<Vec<u64>, Vec<RowConflict>> {
        self.state.write_now(&writes)
    }
}
