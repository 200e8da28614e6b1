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
    control::{ControlParts, EntryControl, StopBegun, StopState},
    EntryError,
};

/// The name under which an entry's control actor is found.
const CONTROL_SERVICE: ServiceName = ServiceName("entry.control");

/// The time between two looks at whether a stopping process may end.
const DRAIN_LOOK: Duration = Duration::from_millis(50);

/// The time that answers have to leave after the last submission has its answer, in seconds.
const LAST_ANSWERS_SECS: u64 = 5;

/// A running entry.
pub struct EntryProcess {
    control: Addr<EntryControl>,
    caller_address: SocketAddr,
    server: ServerHandle,
    drain: DrainSettings,
}

impl EntryProcess {
    /// Where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Leaves without cutting a request: says "not ready" while the listener still takes connections, so that the
    /// balancer turns away; then waits for the answers of what was accepted, at most for the drain limit. Returns how
    /// many submissions were cut, each answered with how it stood.
    pub async fn stop(self) -> usize {
        self.control.do_send(StopBegun);
        actix_rt::time::sleep(self.drain.notice_ms.duration()).await;
        let limit = Instant::now() + self.drain.limit_ms.duration();
        let mut open = usize::MAX;
        while open > 0 && Instant::now() < limit {
            open = self
                .control
                .send(StopState { cut: false })
                .await
                .unwrap_or(0);
            if open > 0 {
                actix_rt::time::sleep(DRAIN_LOOK).await;
            }
        }
        if open > 0 {
            log::warn!("entry: stop limit reached, {open} submissions cut");
            self.control.do_send(StopState { cut: true });
        }
        self.server.stop(true).await;
        open
    }

    /// Ends at once, as a killed process would.
    pub async fn end(self) {
        self.server.stop(false).await;
    }
}

/// Starts an entry within the running actix system. Port 0 takes any free port.
///
/// # Errors
///
/// The address cannot be listened on.
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
            .route("/metrics", web::get().to(show_metrics))
            .configure(move |config| caller_routes(config, api, max_body))
            .configure(move |config| operators::configure(config, operators))
    })
    .workers(threads)
    .disable_signals()
    .shutdown_timeout(LAST_ANSWERS_SECS)
    .listen(listener)?
    .run();
    let handle = server.handle();
    actix_rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!("entry: server failed: {error}");
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

async fn show_metrics(metrics: web::Data<MetricSet>) -> HttpResponse {
    match metrics.render() {
        Ok(page) => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(page),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

/// Runs an entry until a signal ends it.
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
            Some(0) => log::info!("entry: stopped, nothing cut"),
            Some(cut) => log::warn!("entry: stopped, {cut} submissions cut"),
            None => log::warn!("entry: second signal, stopped at once"),
        }
        Ok(())
    })
}
