//! Serves the connections of a listener.

use std::{future::Future, os::fd::AsFd, rc::Rc};

use actix_http::{body::MessageBody, Request, Response};
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::{connection::HttpServer, gate::ClientConnection};

/// The size of a connection's buffers in the operating system, in each direction, in bytes. By default they grow to
/// several megabytes for a client that sends without being read, or does not read its answers.
const SOCKET_BUFFER_BYTES: usize = 32 * 1_024;

/// Bounds the operating system's buffers of connections that `listener` accepts from now on.
pub fn bound_socket_buffers(listener: &impl AsFd) {
    let socket = SockRef::from(listener);
    // If the system has no such option, its own limits hold.
    let _best_effort = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _best_effort = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
}

/// Serves one connection to its end. `client` is None if the gate does not let it in: it is then closed unread.
pub async fn serve_stream<H, F, B>(
    server: Rc<HttpServer<H>>,
    stream: TcpStream,
    client: Option<ClientConnection>,
) where
    H: Fn(Request) -> F,
    F: Future<Output = Response<B>>,
    B: MessageBody,
{
    if let Some(client) = client {
        server.serve(stream, client).await;
    }
}
