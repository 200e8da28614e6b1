//! Limits what clients can take of this process: its memory, its descriptors and its time.

use std::{
    future::Future,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_http::{body::BoxBody, header, Request, Response, StatusCode};
use client_limits::{ClientBudget, MemoryShare};
use http_server::{
    bound_socket_buffers, serve_stream, ClientGate, GateSnapshot, HalfClose, HttpLimits,
    HttpServer, ServerOptions,
};
use jobs::RequestLimits;
use kernel::{descriptor_limit, serve_with_drain, AcceptDrain};
use model::ByteSize;
use settings::NodeSettings;
use telemetry::{EventKind, EventLine};
use tokio::net::TcpListener;

use crate::state::NodeState;

/// What a head may have beyond the configuration's limit, which counts names and values: the request line, separators
/// and line ends, in bytes.
const HEAD_SEPARATOR_BYTES: usize = 4 * 1_024;

/// The retry delay for requests for which there is no memory.
pub(crate) const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Creates the gate of this process.
pub(crate) fn new_gate(settings: &NodeSettings) -> Arc<ClientGate> {
    let limits = http_limits(settings, RequestLimits::default());
    ClientGate::new(budget(settings), limits)
}

/// What all clients of this process may take.
pub(crate) fn budget(settings: &NodeSettings) -> ClientBudget {
    let descriptors = descriptor_limit().min(settings.max_descriptors);
    let memory = ByteSize(settings.memory_mb * 1_000_000);
    ClientBudget::for_machine(memory, descriptors)
}

/// The limits on requests under a configuration.
pub(crate) fn http_limits(settings: &NodeSettings, limits: RequestLimits) -> HttpLimits {
    let defaults = HttpLimits::default();
    let mut times = defaults.times;
    times.idle = limits.idle_time;
    times.head = limits.head_time;
    times.body = settings.body_timeout_ms.duration();
    HttpLimits {
        times,
        head_bytes: limits.head_bytes + HEAD_SEPARATOR_BYTES,
        body_bytes: limits.body_bytes,
    }
}

/// Answers requests on the connections that `listener` accepts, for as long as the future is polled.
pub(crate) async fn serve<F, Fut>(
    state: &NodeState,
    listener: TcpListener,
    drain: &AcceptDrain,
    half_close: HalfClose,
    answer: F,
) where
    F: Fn(Request) -> Fut + 'static,
    Fut: Future<Output = Response<BoxBody>> + 'static,
{
    bound_socket_buffers(&listener);
    let options = ServerOptions {
        half_close,
        refusal,
        clock: state.clock.clone(),
    };
    let server = HttpServer::new(answer, options);
    serve_with_drain(listener, drain, |stream| {
        serve_stream(server.clone(), stream, state.clients.open())
    })
    .await;
}

/// The answer to a request for which there is no memory. Nothing of it has run.
fn refusal() -> Response<BoxBody> {
    let seconds = OVERLOAD_RETRY_AFTER.as_secs();
    Response::build(StatusCode::SERVICE_UNAVAILABLE)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .insert_header((header::RETRY_AFTER, seconds))
        .body("{}")
        .map_into_boxed_body()
}

/// Logs what the gate has done since the last line.
pub(crate) struct ClientLogger {
    logged_at: Instant,
    logged: GateSnapshot,
}

impl ClientLogger {
    pub(crate) fn new(state: &NodeState) -> Self {
        Self {
            logged_at: state.now(),
            logged: state.clients.snapshot(),
        }
    }

    /// Writes a line when one is due.
    pub(crate) fn tick(&mut self, state: &Rc<NodeState>, now: Instant) {
        if now.saturating_duration_since(self.logged_at) < ClientGate::REPORT_INTERVAL {
            return;
        }
        self.logged_at = now;
        let snapshot = state.clients.snapshot();
        if snapshot.events == self.logged.events {
            return;
        }
        let mut line = EventLine::new("clients_limited")
            .number("connections", snapshot.connections as u64)
            .number("peak_connections", snapshot.peak_connections as u64);
        for (share, count) in MemoryShare::ALL.iter().zip(&snapshot.shares) {
            line = line.number(share.as_str(), count.used);
        }
        for (event, count) in snapshot.events_since(&self.logged) {
            line = line.number(event.as_str(), count);
        }
        state.log(EventKind::Important, line);
        self.logged = snapshot;
    }
}
