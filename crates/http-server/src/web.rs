//! Serves web applications on worker threads.

use std::{
    fmt::Debug,
    io,
    net::TcpListener,
    rc::Rc,
    sync::{Arc, Weak},
    time::Instant,
};

use actix_http::{
    body::{BoxBody, MessageBody},
    Request, Response,
};
use actix_server::Server;
use actix_service::{
    fn_factory, fn_service, map_config, IntoServiceFactory, Service, ServiceFactory,
};
use actix_web::dev::AppConfig;
use tokio::net::TcpStream;

use crate::{
    connection::{HttpServer, ServerOptions},
    gate::{ClientGate, GateSnapshot},
    serve::{bound_socket_buffers, serve_stream},
};

/// How many more connections each worker accepts than its part of the budget, so that others can give way to them.
const EVICTION_MARGIN: usize = 16;

/// How a web application is served.
#[derive(Clone)]
pub struct WebSettings {
    /// The number of worker threads.
    pub workers: usize,
    /// How long a graceful stop waits for open connections, in seconds.
    pub shutdown_timeout_s: u64,
    /// The client gate of the process.
    pub gate: Arc<ClientGate>,
    /// How the listener treats its clients.
    pub options: ServerOptions,
}

/// Starts a server on `listener`. `make_app` is called once on each worker thread.
///
/// # Errors
///
/// The listener cannot be used.
pub fn start_web_server<F, I, S, B>(
    listener: TcpListener,
    settings: WebSettings,
    make_app: F,
) -> io::Result<Server>
where
    F: Fn() -> I + Send + Clone + 'static,
    I: IntoServiceFactory<S, Request> + 'static,
    S: ServiceFactory<Request, Config = AppConfig> + 'static,
    S::Response: Into<Response<B>>,
    S::Error: Into<Response<BoxBody>>,
    S::InitError: Debug,
    B: MessageBody + 'static,
{
    bound_socket_buffers(&listener);
    let WebSettings {
        workers,
        shutdown_timeout_s,
        gate,
        options,
    } = settings;
    let connections = gate.budget().connections;
    let max_per_worker = connections.div_ceil(workers) + EVICTION_MARGIN;
    let server = Server::build()
        .workers(workers)
        .max_concurrent_connections(max_per_worker)
        .disable_signals()
        .shutdown_timeout(shutdown_timeout_s)
        .listen("web", listener, move || {
            let app = map_config(make_app(), |()| AppConfig::default());
            let (gate, options) = (gate.clone(), options.clone());
            fn_factory(move || {
                let service = app.new_service(());
                let (gate, options) = (gate.clone(), options.clone());
                async move {
                    let service = service
                        .await
                        .map_err(|error| log::error!("http-server: cannot start: {error:?}"))?;
                    let server = HttpServer::new(
                        move |request| {
                            let answer = service.call(request);
                            async move { boxed_response(answer.await) }
                        },
                        options,
                    );
                    Ok::<_, ()>(fn_service(move |stream| {
                        serve_worker_stream(server.clone(), gate.clone(), stream)
                    }))
                }
            })
        })?;
    Ok(server.run())
}

async fn serve_worker_stream<H, F, B>(
    server: Rc<HttpServer<H>>,
    gate: Arc<ClientGate>,
    stream: TcpStream,
) -> Result<(), ()>
where
    H: Fn(Request) -> F,
    F: std::future::Future<Output = Response<B>>,
    B: MessageBody,
{
    // Answers are small and their clients wait for them.
    let _best_effort = stream.set_nodelay(true);
    serve_stream(server, stream, gate.open()).await;
    Ok(())
}

fn boxed_response<R, E, B>(answer: Result<R, E>) -> Response<BoxBody>
where
    R: Into<Response<B>>,
    E: Into<Response<BoxBody>>,
    B: MessageBody + 'static,
{
    match answer {
        Ok(response) => response.into().map_into_boxed_body(),
        Err(error) => error.into(),
    }
}

/// Sweeps a gate on this thread until it is dropped, and passes on what it has done, once a second at most: `report`
/// gets the state before and now.
pub fn spawn_sweeps(
    gate: &Arc<ClientGate>,
    report: impl Fn(&GateSnapshot, &GateSnapshot) + 'static,
) {
    let gate = Arc::downgrade(gate);
    actix_rt::spawn(run_sweeps(gate, report));
}

async fn run_sweeps(gate: Weak<ClientGate>, report: impl Fn(&GateSnapshot, &GateSnapshot)) {
    let mut reported: Option<(Instant, GateSnapshot)> = None;
    loop {
        actix_rt::time::sleep(ClientGate::SWEEP_INTERVAL).await;
        let Some(gate) = gate.upgrade() else {
            return;
        };
        let now = Instant::now();
        gate.sweep(now);
        let snapshot = gate.snapshot();
        let Some((at, last)) = &reported else {
            reported = Some((now, snapshot));
            continue;
        };
        if now >= *at + ClientGate::REPORT_INTERVAL && snapshot.events != last.events {
            report(last, &snapshot);
            reported = Some((now, snapshot));
        }
    }
}
