//! The listening side of a link: open, refusing, or hanging.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::timeout,
};

/// The most connections waiting to be accepted on an open link.
const BACKLOG: u32 = 1024;
/// If a filler connection takes longer than this to connect, the queue is full.
const FILLER_TIMEOUT: Duration = Duration::from_millis(30);
/// The most filler connections tried. The smallest accept queue of the kernel takes one or two.
const MAX_FILLERS: usize = 8;

/// The socket that holds the port of a link.
pub(super) enum LinkListener {
    /// Accepts connections.
    Open(TcpListener),
    /// Binds the port without listening, so that connects are refused and no other process gets the port.
    Refusing(#[expect(dead_code, reason = "held for its port")] TcpSocket),
    /// Listens with a full accept queue that is never drained: the kernel drops further connects, so they hang.
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

    /// Returns the next connection; waits forever unless the listener is open.
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
    // Connections accepted by the previous listener are still open on this port.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
