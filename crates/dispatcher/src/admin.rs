//! Readiness, liveness and metrics of the dispatcher, for the balancer and operators.

use std::{
    net::TcpListener,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
};

use actix_http::{body::BoxBody, Response, StatusCode};
use actix_web::{dev::ServerHandle, web, App, HttpResponse};
use client_limits::{ClientBudget, SMALLEST_MEMORY};
use http_server::{
    spawn_sweeps, start_web_server, ClientGate, EventEffect, GateSnapshot, HalfClose, HttpLimits,
    ServerOptions, WebSettings,
};
use kernel::{descriptor_limit, ClockSource};
use telemetry::MetricSet;

use crate::DispatcherError;

/// Starts the admin server with one worker thread.
pub(crate) fn start(
    listener: TcpListener,
    max_descriptors: u64,
    ready: Arc<AtomicBool>,
    metrics: Arc<MetricSet>,
    clock: Arc<dyn ClockSource>,
) -> Result<ServerHandle, DispatcherError> {
    let gate = new_gate(max_descriptors);
    let reported_metrics = metrics.clone();
    spawn_sweeps(&gate, move |last, now| {
        report_clients(&reported_metrics, last, now)
    });
    let web_settings = WebSettings {
        workers: 1,
        shutdown_timeout_s: 1,
        gate,
        options: ServerOptions {
            half_close: HalfClose::Answer,
            refusal,
            clock,
        },
    };
    let state = web::Data::from(ready);
    let metrics = web::Data::from(metrics);
    let server = start_web_server(listener, web_settings, move || {
        App::new()
            .app_data(state.clone())
            .app_data(metrics.clone())
            .route("/metrics", web::get().to(serve_metrics))
            .route("/ready", web::get().to(serve_readiness))
            .route("/live", web::get().to(HttpResponse::NoContent))
    })?;
    let handle = server.handle();
    actix_rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!("dispatcher: admin server failed: {error}");
        }
    });
    Ok(handle)
}

fn new_gate(max_descriptors: u64) -> Arc<ClientGate> {
    let descriptors = descriptor_limit().min(max_descriptors);
    let budget = ClientBudget::for_machine(SMALLEST_MEMORY, descriptors);
    ClientGate::new(budget, HttpLimits::default())
}

/// The answer to a request for which there is no memory.
fn refusal() -> Response<BoxBody> {
    Response::new(StatusCode::SERVICE_UNAVAILABLE)
}

fn report_clients(metrics: &MetricSet, last: &GateSnapshot, now: &GateSnapshot) {
    metrics.count_clients(
        now.count_since(last, EventEffect::Refused),
        now.count_since(last, EventEffect::CutOff),
    );
    log::warn!("dispatcher: clients limited: {}", now.describe_since(last));
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
