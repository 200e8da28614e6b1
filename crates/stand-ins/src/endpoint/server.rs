//! HTTP server of the endpoint stand-in.

use std::{
    any::Any,
    io,
    net::{Shutdown, SocketAddr, TcpStream},
    os::fd::AsFd,
    sync::Arc,
    time::Duration,
};

use actix_web::{
    dev::{Extensions, ServerHandle},
    web::{self, Bytes, Data, Json, PayloadConfig},
    App, HttpRequest, HttpResponse, HttpServer,
};
use model::MAX_PAYLOAD_BYTES;

use crate::endpoint::{
    answer::{self, TaskAnswer},
    fault::{Fault, FaultRequest},
    record::{EndpointRecord, RunEnd},
    state::{EndpointState, ReceivedTask, StartedRun},
    task::TaskScript,
};

/// A duplicated handle on a connection, by which a fault can close it without going through the HTTP library.
#[derive(Clone)]
struct OpenConnection(Arc<TcpStream>);

/// Binds the address, serves on a separate thread, and returns the bound address and a handle to stop the server.
pub(super) fn serve(state: Arc<EndpointState>) -> io::Result<(SocketAddr, ServerHandle)> {
    let data = Data::from(Arc::clone(&state));
    let settings = state.settings().clone();
    let limit = usize::try_from(MAX_PAYLOAD_BYTES.0).unwrap_or(usize::MAX);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(PayloadConfig::new(limit))
            .route("/v1/tasks", web::post().to(run_task))
            .route("/control/starts", web::get().to(show_record))
            .route("/control/faults", web::post().to(set_fault))
    })
    .on_connect(move |connection, extensions| keep_connection(&state, connection, extensions))
    .workers(1)
    .keep_alive(settings.keep_alive)
    .disable_signals()
    .bind(settings.address)?;
    let address = server.addrs()[0];
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(async move {
        if let Err(error) = server.await {
            log::warn!("endpoint stand-in: server failed: {error}");
        }
    });
    Ok((address, handle))
}

fn keep_connection(state: &EndpointState, connection: &dyn Any, extensions: &mut Extensions) {
    let Some(connection) = connection.downcast_ref::<actix_rt::net::TcpStream>() else {
        return;
    };
    match connection.as_fd().try_clone_to_owned() {
        Ok(fd) => {
            let connection = Arc::new(TcpStream::from(fd));
            state.add_connection(&connection);
            extensions.insert(OpenConnection(connection));
        }
        Err(error) => log::warn!("endpoint stand-in: connection not duplicated: {error}"),
    }
}

async fn show_record(state: Data<EndpointState>) -> Json<EndpointRecord> {
    Json(state.record())
}

async fn set_fault(state: Data<EndpointState>, request: Json<FaultRequest>) -> HttpResponse {
    state.set_fault(request.into_inner());
    HttpResponse::NoContent().finish()
}

async fn run_task(state: Data<EndpointState>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let Some(received) = read_task(&request, &body) else {
        return HttpResponse::BadRequest().finish();
    };
    let Some(connection) = request.conn_data::<OpenConnection>().cloned() else {
        return HttpResponse::InternalServerError().finish();
    };
    let attempt = received.attempt;
    let started = match state.admit(&received) {
        Ok(started) => started,
        Err(cause) => return answer::refuse_task(attempt, cause),
    };
    let fault = started.fault;
    // Spawned, since the library drops this handler when the caller disconnects, but a started run must continue.
    let run = actix_rt::spawn(run_to_end(Arc::clone(&state), received, started));
    if fault == Fault::CloseAtStart {
        return close_silently(&connection).await;
    }
    match run.await {
        Ok(answer) => answer_with_fault(&state, answer, fault, &connection).await,
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

async fn run_to_end(
    state: Arc<EndpointState>,
    received: ReceivedTask,
    started: StartedRun,
) -> TaskAnswer {
    let script = TaskScript::read(&received.payload);
    let factor = match started.fault {
        Fault::Slow { factor } => factor,
        _ => 1.0,
    };
    let run_time = script.run_time(state.settings().run_time);
    actix_rt::time::sleep(run_time.mul_f64(factor)).await;
    let end = if script.fail || started.fault == Fault::FailAll {
        RunEnd::Failed
    } else {
        RunEnd::Done
    };
    state.finish(started.start_index, end);
    TaskAnswer {
        attempt: received.attempt,
        end,
        body: script.result(&received.payload),
    }
}

async fn answer_with_fault(
    state: &EndpointState,
    answer: TaskAnswer,
    fault: Fault,
    connection: &OpenConnection,
) -> HttpResponse {
    match fault {
        Fault::CloseAfterStart => close_silently(connection).await,
        Fault::Silent { ms } => {
            actix_rt::time::sleep(Duration::from_millis(ms)).await;
            close_silently(connection).await
        }
        Fault::Late { ms } => {
            actix_rt::time::sleep(Duration::from_millis(ms)).await;
            answer.into_response()
        }
        Fault::Crossed { ms } => {
            let answer = state.swap_answer(answer, Duration::from_millis(ms)).await;
            answer.into_response()
        }
        other => answer.into_faulty_response(other, &connection.0),
    }
}

/// Closes the connection. The returned answer cannot be sent any more.
async fn close_silently(connection: &OpenConnection) -> HttpResponse {
    let _ = connection.0.shutdown(Shutdown::Both);
    HttpResponse::InternalServerError().finish()
}

fn read_task(request: &HttpRequest, body: &Bytes) -> Option<ReceivedTask> {
    let text = |name: &str| request.headers().get(name)?.to_str().ok();
    Some(ReceivedTask {
        attempt: text(answer::ATTEMPT_ID.as_str())?.parse().ok()?,
        customer: text("customer")?.parse().ok()?,
        kind: text("task-kind")?.parse().ok()?,
        payload: body.to_vec(),
    })
}
