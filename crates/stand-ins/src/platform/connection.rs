//! Handles on the callers' connections, which let a fault close a connection without an answer.

use std::{
    any::Any,
    net::{Shutdown, TcpStream as StdTcpStream},
    os::fd::AsFd,
    sync::{Arc, Mutex, PoisonError, Weak},
};

use actix_web::{dev::Extensions, rt::net::TcpStream, HttpRequest, HttpResponse};

/// A duplicated handle on a connection.
struct ConnectionHandle(StdTcpStream);

impl ConnectionHandle {
    fn close(&self) {
        // Fails only if the caller has already closed the connection, which has the same effect.
        let _ = self.0.shutdown(Shutdown::Both);
    }
}

/// The open connections of a server. Clones share the same list.
#[derive(Clone, Default)]
pub(super) struct OpenConnections {
    handles: Arc<Mutex<Vec<Weak<ConnectionHandle>>>>,
}

impl OpenConnections {
    /// Registers a handle on a new connection.
    pub(super) fn register(&self, connection: &dyn Any, extensions: &mut Extensions) {
        let Some(stream) = connection.downcast_ref::<TcpStream>() else {
            return;
        };
        let Ok(fd) = stream.as_fd().try_clone_to_owned() else {
            return;
        };
        let handle = Arc::new(ConnectionHandle(StdTcpStream::from(fd)));
        let mut handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        handles.retain(|open| open.strong_count() > 0);
        handles.push(Arc::downgrade(&handle));
        extensions.insert(handle);
    }

    /// Closes every connection without an answer.
    pub(super) fn close_all(&self) {
        let handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        for handle in handles.iter().filter_map(Weak::upgrade) {
            handle.close();
        }
    }
}

/// Closes the caller's connection. The returned response, which a handler must give, is written to the closed
/// connection and never sent.
pub(super) fn close_connection(request: &HttpRequest) -> HttpResponse {
    if let Some(handle) = request.conn_data::<Arc<ConnectionHandle>>() {
        handle.close();
    }
    HttpResponse::InternalServerError().force_close().finish()
}
