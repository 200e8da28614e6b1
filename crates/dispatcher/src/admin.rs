//! Readiness, liveness and metrics of the dispatcher, for the balancer and operators.

use std::{
    net::TcpListener,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
};

use actix_web::{dev::ServerHandle, web, App, HttpResponse, HttpServer};

use telemetry::MetricSet;

use crate::DispatcherError;

/// Starts the admin server with one worker thread.
pub(crate) fn start(
    listener: TcpListener,
    ready: Arc<AtomicBool>,
    metrics: Arc<MetricSet>,
) -> Result<ServerHandle, DispatcherError> {
    let state = web::Data::from(ready);
    let metrics = web::Data::from(metrics);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(state.clone())
            .app_data(metrics.clone())
            .route("/metrics", web::get().to(serve_metrics))
            .route("/ready", web::get().to(serve_readiness))
            .route("/live", web::get().to(HttpResponse::NoContent))
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(1)
    .listen(listener)?
    .run();
    let handle = server.handle();
    actix_rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!("dispatcher: admin server failed: {error}");
        }
    });
    Ok(handle)
}

async fn serve_readiness(ready: web::Data<AtomicBool>) -> HttpResponse {
    if ready.load(Ordering::Relaxed) {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("not ready\n")
}

async fn serve_metrics(metrics: web::Data<MetricSet>) -> HttpResponse {
    match metrics.render() {
        Ok(page) => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(page),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}
