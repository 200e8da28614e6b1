//! Connections: one TCP connection is one two-party capnp-rpc network.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use capnp_rpc::{rpc_twoparty_capnp::Side, twoparty::VatNetwork, RpcSystem};
use kernel::serve_connections;
use telemetry::{TrafficBook, TrafficKind};
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

/// How long a connect may take. Within a region a connect takes milliseconds; more means that the path is cut.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// An open connection to a dispatcher. It is closed when this is dropped.
pub struct PeerLink {
    client: DispatcherClient,
    task: JoinHandle<()>,
}

impl PeerLink {
    /// The dispatcher at the other end.
    pub fn client(&self) -> &DispatcherClient {
        &self.client
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connects to a dispatcher. `on_closed` is called once when the connection breaks by itself.
///
/// # Errors
///
/// Refused when nobody listens, otherwise lost or timed out.
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

/// Opens a connection to another process.
pub(crate) async fn dial(address: SocketAddr) -> Result<TcpStream, PeerError> {
    match timeout(CONNECT_LIMIT, TcpStream::connect(address)).await {
        Err(_) => Err(PeerError::TimedOut),
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            Err(PeerError::Refused)
        }
        Ok(Err(error)) => Err(PeerError::Lost(error.to_string())),
        Ok(Ok(stream)) => Ok(stream),
    }
}

/// What serves one accepted connection.
pub struct AcceptedPort {
    /// The port that the other side gets.
    pub port: peer_capnp::dispatcher_port::Client,
    /// Called once when the connection has ended.
    pub on_closed: Box<dyn FnOnce()>,
}

/// Accepts connections for as long as the future is polled. `make` gives each one its port.
pub async fn serve(listener: TcpListener, make: impl Fn() -> AcceptedPort) {
    serve_each(listener, || {
        let AcceptedPort { port, on_closed } = make();
        (port.client, on_closed)
    })
    .await;
}

/// Gives each accepted connection a port of its own, and says when it has ended.
async fn serve_each(
    listener: TcpListener,
    make: impl Fn() -> (capnp::capability::Client, Box<dyn FnOnce()>),
) {
    serve_connections(listener, |stream| {
        let (port, on_closed) = make();
        let system = RpcSystem::new(Box::new(network(stream, Side::Server)), Some(port));
        async move {
            let _ended = system.await;
            on_closed();
        }
    })
    .await;
}

/// The largest message that is read, in bytes. What processes send in parts stays far below; an answer that one entry
/// passes on for another cannot be parted, and that of a job of 1000 results of 64 KiB is 84 MiB of base64. The
/// library's own limit, 64 MiB, would make such an answer fail each time that it is asked for. There still has to be a
/// limit, since a message's head names the memory to set aside for it.
const MAX_MESSAGE: usize = 128 * 1024 * 1024;

fn reader_options() -> capnp::message::ReaderOptions {
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE / size_of::<u64>()));
    options
}

type StreamNetwork<R> = VatNetwork<futures::io::BufReader<Compat<R>>>;

pub(crate) fn network(stream: TcpStream, side: Side) -> StreamNetwork<impl AsyncRead + Unpin> {
    let (reader, writer) = split(stream);
    half_network(reader, writer, side)
}

/// A network whose bytes are counted.
pub(crate) fn counted_network(
    stream: TcpStream,
    side: Side,
    book: Arc<TrafficBook>,
) -> StreamNetwork<impl AsyncRead + Unpin> {
    let (reader, writer) = split(stream);
    let received = book.clone();
    let reader = InspectReader::new(reader, move |bytes: &[u8]| {
        received.receive(TrafficKind::Peers, bytes.len());
    });
    let writer = InspectWriter::new(writer, move |bytes: &[u8]| {
        book.send(TrafficKind::Peers, bytes.len());
    });
    half_network(reader, writer, side)
}

fn split(stream: TcpStream) -> (OwnedReadHalf, OwnedWriteHalf) {
    // Messages are small and answers are waited for; without this the kernel holds them back for up to 40 ms.
    let _best_effort = stream.set_nodelay(true);
    stream.into_split()
}

fn half_network<R, W>(reader: R, writer: W, side: Side) -> StreamNetwork<R>
where
    R: AsyncRead + Unpin + 'static,
    W: AsyncWrite + Unpin + 'static,
{
    let reader = futures::io::BufReader::new(reader.compat());
    let writer = futures::io::BufWriter::new(writer.compat_write());
    VatNetwork::new(reader, writer, side, reader_options())
}
