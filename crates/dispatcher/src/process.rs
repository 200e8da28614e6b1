//! Starts and stops a dispatcher.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{atomic::AtomicBool, Arc},
    time::{Duration, Instant},
};

use actix::{Actor as _, Addr, Arbiter};
use actix_web::dev::ServerHandle;
use endpoint_client::ClientSettings;
use kernel::{ClockSource, ServiceDirectory, StopSignals, SystemClock};
use model::IncarnationId;
use platform::PlatformClient;
use settings::DispatcherSettings;
use telemetry::MetricSet;
use tokio::task::JoinHandle;

use crate::{
    admin,
    control::{ControlParts, DispatcherControl, StopQuery, StopRequest, CONTROL_SERVICE},
    entry_directory::EntryDirectory,
    port::accept,
    traffic::EndpointTraffic,
    DispatcherError,
};

/// Interval at which a stopping process checks whether its tasks have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running dispatcher.
pub struct DispatcherProcess {
    control: Addr<DispatcherControl>,
    peer_address: SocketAddr,
    admin_address: SocketAddr,
    admin: ServerHandle,
    port: JoinHandle<()>,
    arbiters: Vec<Arbiter>,
    drain: settings::DrainSettings,
}

impl DispatcherProcess {
    /// The address that entries and dispatchers connect to.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// The address of the admin server: readiness, liveness and metrics.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Stops gracefully: accepts nothing new, hands back queued tasks and waits for running tasks, at most for the
    /// drain limit. Returns the number of tasks that were cut off at the limit.
    pub async fn stop(self) -> usize {
        self.control.do_send(StopRequest);
        let limit = Instant::now() + self.drain.limit_ms.duration();
        let mut left = usize::MAX;
        while left > 0 && Instant::now() < limit {
            actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
            left = self.control.send(StopQuery).await.unwrap_or(0);
        }
        if left > 0 {
            log::warn!("dispatcher: drain limit reached, {left} tasks cut off");
        }
        self.abort().await;
        left
    }

    /// Stops at once, as a killed process would.
    pub async fn abort(self) {
        self.port.abort();
        self.admin.stop(false).await;
        for arbiter in self.arbiters {
            arbiter.stop();
        }
    }
}

/// Starts a dispatcher within the running actix system. Port 0 selects any free port.
///
/// # Errors
///
/// A listener cannot be bound to its address, or a thread, listener or the metrics cannot be set up.
pub fn start(
    settings: DispatcherSettings,
    clock: Arc<dyn ClockSource>,
) -> Result<DispatcherProcess, DispatcherError> {
    let peer_listener = listen(settings.peer_listen)?;
    let admin_listener = listen(settings.admin_listen)?;
    let peer_address = peer_listener.local_addr()?;
    let own_address = settings.peer_announce.unwrap_or(peer_address);
    let admin_address = admin_listener.local_addr()?;
    let ready = Arc::new(AtomicBool::new(true));
    let services = ServiceDirectory::default();
    let (arbiters, traffic) = start_traffic(&settings, &services);
    let platform_settings = platform::ClientSettings {
        address: settings.platform,
        ..platform::ClientSettings::default()
    };
    let metrics = Arc::new(MetricSet::new()?);
    let drain = settings.drain.clone();
    let max_descriptors = settings.max_descriptors;
    let entries = EntryDirectory::default();
    let control = DispatcherControl::new(ControlParts {
        platform: PlatformClient::new(platform_settings, clock.clone()),
        settings,
        clock: clock.clone(),
        incarnation: IncarnationId(fastrand::u64(..)),
        own_address,
        traffic,
        ready: ready.clone(),
        entries: entries.clone(),
        metrics: metrics.clone(),
    })
    .start();
    services.register(CONTROL_SERVICE, control.clone());
    let admin = admin::start(admin_listener, max_descriptors, ready, metrics, clock)?;
    peer_listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(peer_listener)?;
    let port_control = control.clone();
    let port = actix_rt::spawn(async move {
        peer::serve(listener, move || {
            accept(port_control.clone(), entries.clone())
        })
        .await;
    });
    log::info!("dispatcher: listening for peers on {peer_address}, admin on {admin_address}");
    Ok(DispatcherProcess {
        control,
        peer_address,
        admin_address,
        admin,
        port,
        arbiters,
        drain,
    })
}

/// Runs a dispatcher until a signal stops it.
///
/// # Errors
///
/// The process could not be set up.
pub fn run(settings: DispatcherSettings) -> eyre::Result<()> {
    actix::System::new().block_on(async move {
        let mut signals = StopSignals::install()?;
        let process = start(settings, Arc::new(SystemClock))?;
        signals.wait().await;
        match signals.run_until_signal(process.stop()).await {
            Some(0) => log::info!("dispatcher: stopped, all tasks finished"),
            Some(cut) => log::warn!("dispatcher: stopped, {cut} tasks cut off"),
            None => log::warn!("dispatcher: stopped at once on a second signal"),
        }
        Ok(())
    })
}

fn start_traffic(
    settings: &DispatcherSettings,
    services: &ServiceDirectory,
) -> (Vec<Arbiter>, Vec<Addr<EndpointTraffic>>) {
    let client = ClientSettings {
        connect_timeout: settings.endpoint.connect_timeout_ms.duration(),
        ..ClientSettings::default()
    };
    let mut arbiters = Vec::new();
    let mut traffic = Vec::new();
    for _ in 0..settings.traffic_threads {
        let arbiter = Arbiter::new();
        let (client, services) = (client.clone(), services.clone());
        traffic.push(EndpointTraffic::start_in_arbiter(
            &arbiter.handle(),
            move |_| EndpointTraffic::new(client, services),
        ));
        arbiters.push(arbiter);
    }
    (arbiters, traffic)
}

fn listen(address: SocketAddr) -> Result<TcpListener, DispatcherError> {
    TcpListener::bind(address).map_err(|cause| DispatcherError::Listen { address, cause })
}
