//! Starts and stops an entry.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{atomic::AtomicBool, Arc},
    time::{Duration, Instant},
};

use actix::{Actor as _, Addr};
use actix_http::{body::BoxBody, header, Response, StatusCode};
use actix_web::{dev::ServerHandle, web, App, HttpResponse};
use caller_api::{
    caller_routes,
    operators::{self, OperatorLink},
    CallerApi,
};
use client_limits::ClientBudget;
use http_server::{
    spawn_sweeps, start_web_server, ClientGate, EventEffect, GateSnapshot, HalfClose, HttpLimits,
    ServerOptions, WebSettings,
};
use kernel::{
    descriptor_limit, ClockSource, ServiceDirectory, ServiceName, StopSignals, SystemClock,
};
use model::{ByteSize, IncarnationId};
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

/// The longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 128 * 1_024;

/// More than the largest answer has: 370 results of 64 KiB in base64. Answers of that size are delivered whatever the
/// settings.
const LARGEST_ANSWER: ByteSize = ByteSize(64 * 1_024 * 1_024);

/// The retry delay for requests for which there is no memory, in seconds.
const OVERLOAD_RETRY_AFTER_SECS: u64 = 1;

/// The body of the answer to a request for which there is no memory.
const OVERLOADED_BODY: &str = r#"{"status":"refused","reason":"overloaded"}"#;

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
    let gate = new_gate(&settings);
    let max_body = usize::try_from(settings.max_body_bytes.0).unwrap_or(usize::MAX);
    let incarnation = IncarnationId(fastrand::u64(..));
    let control = EntryControl::new(ControlParts {
        platform: PlatformClient::new(platform_settings, clock.clone()),
        settings,
        clock: clock.clone(),
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
    let web_settings = WebSettings {
        workers: threads,
        shutdown_timeout_s: SHUTDOWN_TIMEOUT_SECS,
        gate: gate.clone(),
        options: ServerOptions {
            half_close: HalfClose::Answer,
            refusal,
            clock,
        },
    };
    let reported_metrics = metrics.clone();
    spawn_sweeps(&gate, move |last, now| {
        report_clients(&reported_metrics, last, now)
    });
    let server = start_web_server(listener, web_settings, move || {
        let (api, operators) = (api.clone(), operators.clone());
        let metrics = web::Data::from(metrics.clone());
        App::new()
            .app_data(metrics)
            .route("/metrics", web::get().to(serve_metrics))
            .configure(move |config| caller_routes(config, api, max_body))
            .configure(move |config| operators::configure(config, operators))
    })?;
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

/// Creates the client gate of an entry.
fn new_gate(settings: &EntrySettings) -> Arc<ClientGate> {
    let descriptors = descriptor_limit().min(settings.max_descriptors);
    let budget = ClientBudget {
        connections: ClientBudget::connections_of(descriptors),
        requests: settings.max_open_bytes,
        answers: settings.max_open_bytes.max(LARGEST_ANSWER),
        // The authority counts the bytes of open submissions.
        jobs: settings.max_open_bytes,
    };
    let mut limits = HttpLimits {
        head_bytes: MAX_HEAD_BYTES,
        body_bytes: usize::try_from(settings.max_body_bytes.0).unwrap_or(usize::MAX),
        ..HttpLimits::default()
    };
    limits.times.body = settings.body_timeout_ms.duration();
    ClientGate::new(budget, limits)
}

/// The answer to a request for which there is no memory. Nothing of it has run.
fn refusal() -> Response<BoxBody> {
    Response::build(StatusCode::SERVICE_UNAVAILABLE)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .insert_header((header::RETRY_AFTER, OVERLOAD_RETRY_AFTER_SECS))
        .body(OVERLOADED_BODY)
        .map_into_boxed_body()
}

fn report_clients(metrics: &MetricSet, last: &GateSnapshot, now: &GateSnapshot) {
    metrics.count_clients(
        now.count_since(last, EventEffect::Refused),
        now.count_since(last, EventEffect::CutOff),
    );
    log::warn!("entry: clients limited: {}", now.describe_since(last));
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
