//! Connections between entries and dispatchers. Each TCP connection is one two-party capnp-rpc network.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use capnp_rpc::{rpc_twoparty_capnp::Side, twoparty::VatNetwork, RpcSystem};
use kernel::serve_connections;
use telemetry::{TrafficCounters, TrafficKind};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{
        tcp::{OwnedReadHalf, OwnedWriteHalf},
        TcpListener, TcpStream,
    },
    task::JoinHandle,
    time::timeout,
};
use tokio_util::{
    compat::{Compat, TokioAsyncReadCompatExt as _, TokioAsyncWriteCompatExt as _},
    io::{InspectReader, InspectWriter},
};

use crate::{client::DispatcherClient, peer_capnp, PeerError};

/// Timeout for opening a connection. Within a region this takes milliseconds, so a longer time means that the network
/// path is interrupted.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An open connection to a dispatcher. Dropping it closes the connection.
pub struct PeerLink {
    client: DispatcherClient,
    task: JoinHandle<()>,
}

impl PeerLink {
    /// The client for calls to the dispatcher.
    pub fn client(&self) -> &DispatcherClient {
        &self.client
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connects to a dispatcher. `on_closed` is called once if the connection ends before the link is dropped.
///
/// # Errors
///
/// [`PeerError::Refused`] if no process listens at the address, otherwise [`PeerError::Lost`] or
/// [`PeerError::TimedOut`].
pub async fn connect(
    address: SocketAddr,
    on_closed: impl FnOnce() + 'static,
) -> Result<PeerLink, PeerError> {
    let stream = dial(address).await?;
    let mut system = RpcSystem::new(Box::new(network(stream, Side::Client)), None);
    let port: peer_capnp::dispatcher_port::Client = system.bootstrap(Side::Server);
    let task = actix_rt::spawn(async move {
        let _ended = system.await;
        on_closed();
    });
    Ok(PeerLink {
        client: DispatcherClient::new(port),
        task,
    })
}

/// Opens a TCP connection to another process.
pub(crate) async fn dial(address: SocketAddr) -> Result<TcpStream, PeerError> {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Err(_) => Err(PeerError::TimedOut),
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            Err(PeerError::Refused)
        }
        Ok(Err(error)) => Err(PeerError::Lost(error.to_string())),
        Ok(Ok(stream)) => Ok(stream),
    }
}

/// The port and the close callback of an accepted connection.
pub struct AcceptedPort {
    /// The port offered to the process that connected.
    pub port: peer_capnp::dispatcher_port::Client,
    /// Called once after the connection has ended.
    pub on_closed: Box<dyn FnOnce()>,
}

/// Accepts connections for as long as the future is polled. `make_port` creates the port of each connection.
pub async fn serve(listener: TcpListener, make_port: impl Fn() -> AcceptedPort) {
    serve_ports(listener, || {
        let AcceptedPort { port, on_closed } = make_port();
        (port.client, on_closed)
    })
    .await;
}

/// Serves each accepted connection with its own port, and calls its callback after the connection has ended.
async fn serve_ports(
    listener: TcpListener,
    make_port: impl Fn() -> (capnp::capability::Client, Box<dyn FnOnce()>),
) {
    serve_connections(listener, |stream| {
        let (port, on_closed) = make_port();
        let system = RpcSystem::new(Box::new(network(stream, Side::Server)), Some(port));
        async move {
            let _ended = system.await;
            on_closed();
        }
    })
    .await;
}

/// The largest message that is read, in bytes. Most messages are far smaller, as their senders split them. An answer
/// that one entry forwards for another cannot be split: for a job of 1000 results of 64 KiB it is 84 MiB of base64, and
/// with the library's default limit of 64 MiB every request for it would fail. A limit is still needed, because the
/// header of a message states how much memory to allocate for it.
const MAX_MESSAGE_BYTES: usize = 128 * 1024 * 1024;

fn reader_options() -> capnp::message::ReaderOptions {
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_BYTES / size_of::<u64>()));
    options
}

type StreamNetwork<R> = VatNetwork<futures::io::BufReader<Compat<R>>>;

pub(crate) fn network(stream: TcpStream, side: Side) -> StreamNetwork<impl AsyncRead + Unpin> {
    let (reader, writer) = split_stream(stream);
    network_from_halves(reader, writer, side)
}

/// A network that counts the bytes sent and received.
pub(crate) fn counted_network(
    stream: TcpStream,
    side: Side,
    traffic: Arc<TrafficCounters>,
) -> StreamNetwork<impl AsyncRead + Unpin> {
    let (reader, writer) = split_stream(stream);
    let reader_traffic = traffic.clone();
    let reader = InspectReader::new(reader, move |bytes: &[u8]| {
        reader_traffic.record_received(TrafficKind::Peers, bytes.len());
    });
    let writer = InspectWriter::new(writer, move |bytes: &[u8]| {
        traffic.record_sent(TrafficKind::Peers, bytes.len());
    });
    network_from_halves(reader, writer, side)
}

fn split_stream(stream: TcpStream) -> (OwnedReadHalf, OwnedWriteHalf) {
    // Messages are small and callers wait for the answers. Without `TCP_NODELAY` the kernel delays them by up to 40 ms.
    let _best_effort = stream.set_nodelay(true);
    stream.into_split()
}

fn network_from_halves<R, W>(reader: R, writer: W, side: Side) -> StreamNetwork<R>
where
    R: AsyncRead + Unpin + 'static,
    W: AsyncWrite + Unpin + 'static,
{
    let reader = futures::io::BufReader::new(reader.compat());
    let writer = futures::io::BufWriter::new(writer.compat_write());
    VatNetwork::new(reader, writer, side, reader_options())
}
