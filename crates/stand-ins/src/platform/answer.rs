//! Answers, also the one that never comes.

use std::net::{Shutdown, TcpStream};

use actix_web::{http::StatusCode, HttpRequest, HttpResponse};

/// A second handle on the caller's connection.
pub(super) struct ConnectionHandle(pub(super) TcpStream);

/// Closes the caller's connection. The response that the handler has to give is written to the closed connection
/// and gets no further.
pub(super) fn close_connection(request: &HttpRequest) -> HttpResponse {
    if let Some(handle) = request.conn_data::<ConnectionHandle>() {
        // It fails only when the caller closed first, which comes to the same.
        let _ = handle.0.shutdown(Shutdown::Both);
    }
    HttpResponse::build(StatusCode::INTERNAL_SERVER_ERROR)
        .force_close()
        .finish()
}

/// The answer of a service that is down.
pub(super) fn unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable().body("unavailable")
}
