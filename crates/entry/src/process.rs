//! Starts and stops an entry.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{atomic::AtomicBool, Arc},
    time::{Duration, Instant},
};

use actix::{Actor as _, Addr};
use actix_web::{dev::ServerHandle, web, App, HttpResponse, HttpServer};
use caller_api::{
    caller_routes,
    operators::{self, OperatorLink},
    CallerApi,
};
use kernel::{ClockSource, ServiceDirectory, ServiceName, StopSignals, SystemClock};
use model::IncarnationId;
use platform::PlatformClient;
use settings::{DrainSettings, EntrySettings};
use telemetry::MetricSet;

use crate::{
    control::{ControlParts, EntryControl, StopQuery, StopRequest},
    EntryError,
};

/// The name under which the entry's control actor is registered.
const CONTROL_SERVICE: ServiceName = ServiceName("entry.control");

/// Interval at which a stopping process checks whether all submissions have been answered.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time for the HTTP server to send the last answers once every submission has been answered, in seconds.
const SHUTDOWN_TIMEOUT_SECS: u64 = 5;

/// A running entry.
pub struct EntryProcess {
    control: Addr<EntryControl>,
    caller_address: SocketAddr,
    server: ServerHandle,
    drain: DrainSettings,
}

impl EntryProcess {
    /// The address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Stops gracefully: reports "not ready" while the listener still accepts connections, so that the load balancer
    /// stops sending requests, and then waits for accepted submissions to be answered, at most for the drain limit.
    /// Returns the number of submissions that were cut off at the limit; each is answered with its state at that time.
    pub async fn stop(self) -> usize {
        self.control.do_send(StopRequest);
        actix_rt::time::sleep(self.drain.notice_ms.duration()).await;
        let limit = Instant::now() + self.drain.limit_ms.duration();
        let mut open = usize::MAX;
        while open > 0 && Instant::now() < limit {
            open = self
                .control
                .send(StopQuery { answer_open: false })
                .await
                .unwrap_or(0);
            if open > 0 {
                actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        }
        if open > 0 {
            log::warn!("entry: drain limit reached, {open} submissions cut off");
            self.control.do_send(StopQuery { answer_open: true });
        }
        self.server.stop(true).await;
        open
    }

    /// Stops at once, as a killed process would.
    pub async fn abort(self) {
        self.server.stop(false).await;
    }
}

/// Starts an entry within the running actix system. Port 0 selects any free port.
///
/// # Errors
///
/// The listener cannot be bound to its address, or the server or the metrics cannot be set up.
pub fn start(
    settings: EntrySettings,
    clock: Arc<dyn ClockSource>,
) -> Result<EntryProcess, EntryError> {
    let address = settings.caller_listen;
    let listener =
        TcpListener::bind(address).map_err(|cause| EntryError::Listen { address, cause })?;
    let caller_address = listener.local_addr()?;
    let ready = Arc::new(AtomicBool::new(false));
    let leaving = Arc::new(AtomicBool::new(false));
    let platform_settings = platform::ClientSettings {
        address: settings.platform,
        ..platform::ClientSettings::default()
    };
    let metrics = Arc::new(MetricSet::new()?);
    let drain = settings.drain.clone();
    let threads = settings.caller_threads;
    let max_body = usize::try_from(settings.max_body_bytes.0).unwrap_or(usize::MAX);
    let incarnation = IncarnationId(fastrand::u64(..));
    let control = EntryControl::new(ControlParts {
        platform: PlatformClient::new(platform_settings, clock.clone()),
        settings,
        clock,
        incarnation,
        ready: ready.clone(),
        leaving: leaving.clone(),
        metrics: metrics.clone(),
    })
    .start();
    let services = ServiceDirectory::default();
    services.register(CONTROL_SERVICE, control.clone());
    let api = CallerApi {
        control: services.find::<EntryControl>(CONTROL_SERVICE)?,
        ready,
        leaving,
    };
    let operators = OperatorLink::new(services.find::<EntryControl>(CONTROL_SERVICE)?.recipient());
    let server = HttpServer::new(move || {
        let (api, operators) = (api.clone(), operators.clone());
        let metrics = web::Data::from(metrics.clone());
        App::new()
            .app_data(metrics)
            .route("/metrics", web::get().to(serve_metrics))
            .configure(move |config| caller_routes(config, api, max_body))
            .configure(move |config| operators::configure(config, operators))
    })
    .workers(threads)
    .disable_signals()
    .shutdown_timeout(SHUTDOWN_TIMEOUT_SECS)
    .listen(listener)?
    .run();
    let handle = server.handle();
    actix_rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!("entry: HTTP server failed: {error}");
        }
    });
    log::info!("entry: incarnation {incarnation} listening for callers on {caller_address}");
    Ok(EntryProcess {
        control,
        caller_address,
        server: handle,
        drain,
    })
}

async fn serve_metrics(metrics: web::Data<MetricSet>) -> HttpResponse {
    match metrics.render() {
        Ok(page) => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(page),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

/// Runs an entry until a signal stops it.
///
/// # Errors
///
/// The process could not be set up.
pub fn run(settings: EntrySettings) -> eyre::Result<()> {
    actix::System::new().block_on(async move {
        let mut signals = StopSignals::install()?;
        let process = start(settings, Arc::new(SystemClock))?;
        signals.wait().await;
        match signals.run_until_signal(process.stop()).await {
            Some(0) => log::info!("entry: stopped, all submissions answered"),
            Some(cut) => log::warn!("entry: stopped, {cut} submissions cut off"),
            None => log::warn!("entry: stopped at once on a second signal"),
        }
        Ok(())
    })
}
