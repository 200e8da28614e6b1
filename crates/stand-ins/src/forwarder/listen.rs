//! The listening side of a link: open, refusing, or hanging.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::timeout,
};

/// Connections that may wait to be accepted on an open link.
const BACKLOG: u32 = 1024;
/// A filler that takes longer than this to connect has found the queue full.
const FILLER_TIMEOUT: Duration = Duration::from_millis(30);
/// The most fillers tried. The smallest queue that the kernel makes takes one or two.
const MAX_FILLERS: usize = 8;

/// A socket on the link's port.
pub(super) enum LinkListener {
    /// Takes connections.
    Open(TcpListener),
    /// Holds the port without listening, so that connects are refused and nobody else gets the port.
    Refusing(#[expect(dead_code, reason = "held for its port")] TcpSocket),
    /// Listens with a full queue that nobody empties: the kernel drops further connects, which hang.
    Hanging(
        #[expect(dead_code, reason = "held for its queue")] TcpListener,
        #[expect(dead_code, reason = "held to fill the queue")] Vec<TcpStream>,
    ),
}

impl LinkListener {
    pub(super) fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::Open(bind(address)?.listen(BACKLOG)?))
    }

    pub(super) fn refusing(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::Refusing(bind(address)?))
    }

    pub(super) async fn hanging(address: SocketAddr) -> io::Result<Self> {
        let listener = bind(address)?.listen(0)?;
        let mut fillers = Vec::new();
        for _ in 0..MAX_FILLERS {
            match timeout(FILLER_TIMEOUT, TcpStream::connect(address)).await {
                Ok(Ok(filler)) => fillers.push(filler),
                _ => break,
            }
        }
        Ok(Self::Hanging(listener, fillers))
    }

    /// The next connection; never one unless the listener is open.
    pub(super) async fn accept(&self) -> io::Result<TcpStream> {
        match self {
            Self::Open(listener) => Ok(listener.accept().await?.0),
            Self::Refusing(_) | Self::Hanging(..) => std::future::pending().await,
        }
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Connections of the listener before are still open on this port.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
