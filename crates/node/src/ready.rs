//! Serves the readiness check of the platform's balancer, and the metrics.

use std::rc::Rc;

use actix_http::{body::BoxBody, header, Request, Response, StatusCode};
use http_server::HalfClose;
use kernel::AcceptDrain;
use platform_adapter::READY_PATH;
use telemetry::{EventKind, EventLine};
use tokio::net::TcpListener;

use crate::{clients, entry::can_serve, state::NodeState};

/// The path of the metrics page.
const METRICS_PATH: &str = "/metrics";

/// Answers requests for as long as the future is polled.
pub(crate) async fn serve(state: Rc<NodeState>, listener: TcpListener) {
    let server_state = state.clone();
    let handler =
        move |request: Request| std::future::ready(handle_request(&server_state, &request));
    let drain = AcceptDrain::default();
    clients::serve(&state, listener, &drain, HalfClose::Answer, handler).await;
}

fn handle_request(state: &NodeState, request: &Request) -> Response<BoxBody> {
    if request.path() == METRICS_PATH {
        return metrics_page(state);
    }
    if request.path() != READY_PATH {
        return Response::new(StatusCode::NOT_FOUND).map_into_boxed_body();
    }
    let status = if is_ready(state) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    Response::new(status).map_into_boxed_body()
}

fn metrics_page(state: &NodeState) -> Response<BoxBody> {
    crate::metrics::set_traffic(&state.metrics, &state.traffic);
    crate::metrics::set_clients(&state.metrics, &state.clients.snapshot());
    match state.metrics.render() {
        Ok(page) => Response::build(StatusCode::OK)
            .insert_header((header::CONTENT_TYPE, "text/plain; version=0.0.4"))
            .body(page)
            .map_into_boxed_body(),
        Err(error) => {
            let line = EventLine::new("metrics_not_written").text("error", error);
            state.log(EventKind::Important, line);
            Response::new(StatusCode::INTERNAL_SERVER_ERROR).map_into_boxed_body()
        }
    }
}

/// Returns whether this node should get new connections: it has the configuration, can reach a pool to run a job,
/// and is not stopping.
fn is_ready(state: &NodeState) -> bool {
    state.route_table.borrow().is_some() && !state.leaving.get() && can_serve(state)
}
