//! Serves customers' connections under the limits of the configuration.
//!
//! The HTTP library takes its limits when a server is built, so a new server is built when the configuration
//! changes them. Open connections keep the limits under which they were accepted.

use std::{cell::RefCell, convert::Infallible, future::Future, rc::Rc};

use actix_http::{body::BoxBody, HttpService, Request, Response};
use actix_service::{Service as _, ServiceFactory as _};
use futures::future::LocalBoxFuture;
use jobs::RequestLimits;
use kernel::serve_with_drain;
use telemetry::{EventKind, EventLine};
use tokio::net::{TcpListener, TcpStream};

use crate::{state::NodeState, NodeError};

/// Serves one connection to its end.
type ConnectionServer = Rc<dyn Fn(TcpStream) -> LocalBoxFuture<'static, ()>>;

/// Answers requests on the connections that `listener` accepts, for as long as the future is polled.
///
/// # Errors
///
/// The HTTP server cannot be built.
pub(crate) async fn serve<F, Fut>(
    state: Rc<NodeState>,
    listener: TcpListener,
    answer: F,
) -> Result<(), NodeError>
where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<BoxBody>> + 'static,
{
    let limits = limits(&state);
    let first = build(&state, limits, answer.clone()).await?;
    let current = Rc::new(RefCell::new((limits, first)));
    let drain = &state.accept_drain;
    serve_with_drain(listener, drain, |stream| {
        let (state, current, answer) = (state.clone(), current.clone(), answer.clone());
        async move {
            rebuild_if_changed(&state, &current, answer).await;
            let server = current.borrow().1.clone();
            server(stream).await;
        }
    })
    .await;
    Ok(())
}

fn limits(state: &NodeState) -> RequestLimits {
    let table = state.route_table.borrow();
    table.as_ref().map(|table| table.limits).unwrap_or_default()
}

/// Builds a new server if the configuration's limits have changed. If that fails, the current server stays in use.
async fn rebuild_if_changed<F, Fut>(
    state: &Rc<NodeState>,
    current: &RefCell<(RequestLimits, ConnectionServer)>,
    answer: F,
) where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<BoxBody>> + 'static,
{
    let wanted = limits(state);
    if current.borrow().0 == wanted {
        return;
    }
    match build(state, wanted, answer).await {
        Ok(server) => *current.borrow_mut() = (wanted, server),
        Err(error) => {
            let line = EventLine::new("limits_not_taken").text("error", error);
            state.log(EventKind::Important, line);
        }
    }
}

async fn build<F, Fut>(
    state: &Rc<NodeState>,
    limits: RequestLimits,
    answer: F,
) -> Result<ConnectionServer, NodeError>
where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<BoxBody>> + 'static,
{
    let handler = move |request: Request| {
        let answer = answer(request);
        async move { Ok::<_, Infallible>(answer.await) }
    };
    let close_idle = state.close_idle.clone();
    let signal = move || {
        let close_idle = close_idle.clone();
        async move { close_idle.notified().await }
    };
    // One thread serves all connections; the library's own server would add an accepting thread and a worker
    // thread.
    let factory = HttpService::<TcpStream, _, _, _, _>::build()
        .keep_alive(limits.idle_time)
        .graceful_shutdown_signal(signal)
        .client_request_timeout(limits.head_time)
        .h1_allow_half_closed(false)
        .h1(actix_service::fn_service(handler))
        .tcp();
    let service = factory
        .new_service(())
        .await
        .map_err(|()| NodeError::Server)?;
    let service = Rc::new(service);
    Ok(Rc::new(move |stream| {
        // A broken connection ends its own requests; nothing else needs to be done.
        let connection = service.call(stream);
        Box::pin(async move {
            let _ended = connection.await;
        })
    }))
}
