//! The listening side of a link: open, refusing, or hanging.

use std::{
    io,
    net::{IpAddr, Shutdown, SocketAddr},
    time::Duration,
};

use socket2::{Domain, Socket, Type};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// The most connections waiting to be accepted on an open link.
const BACKLOG: i32 = 1024;
/// If a filler connection takes longer than this to connect, the queue is full.
const FILLER_TIMEOUT: Duration = Duration::from_millis(30);
/// The most filler connections tried. The smallest accept queue of the kernel takes one or two.
const MAX_FILLERS: usize = 8;

/// What a link does with new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenMode {
    /// Accepts them.
    Open,
    /// Refuses them.
    Refusing,
    /// Lets them hang.
    Hanging,
}

/// The socket that holds the port of a link.
///
/// The socket is never closed and bound again: a process that is being started holds a copy of the closed one until its
/// program is loaded, and the port would be in use until then. The link would refuse all connections for good.
pub(super) struct LinkListener {
    socket: Socket,
    address: SocketAddr,
    state: ListenState,
}

enum ListenState {
    /// The port is bound without listening, so that connects are refused and no other process gets the port.
    Refusing,
    Open(TcpListener),
    /// Listens with a full accept queue that is never drained: the kernel drops further connects, so they hang.
    Hanging(#[expect(dead_code, reason = "held to fill the queue")] Vec<TcpStream>),
}

impl LinkListener {
    /// Takes a socket of [`listen_on_free_port`] and its address.
    pub(super) fn new(socket: Socket, address: SocketAddr) -> io::Result<Self> {
        let state = accept_on(&socket)?;
        Ok(Self {
            socket,
            address,
            state,
        })
    }

    /// Sets what happens to new connections. Refuses them if this fails.
    pub(super) async fn set_mode(&mut self, mode: ListenMode) -> io::Result<()> {
        if mode == self.mode() {
            return Ok(());
        }
        if self.mode() != ListenMode::Refusing {
            self.state = ListenState::Refusing;
            // Ends the listening also where another process holds a copy of the socket.
            self.socket.shutdown(Shutdown::Read)?;
        }
        self.state = match mode {
            ListenMode::Open => {
                self.socket.listen(BACKLOG)?;
                accept_on(&self.socket)?
            }
            ListenMode::Refusing => ListenState::Refusing,
            ListenMode::Hanging => {
                self.socket.listen(0)?;
                ListenState::Hanging(fill_queue(self.address).await)
            }
        };
        Ok(())
    }

    fn mode(&self) -> ListenMode {
        match self.state {
            ListenState::Refusing => ListenMode::Refusing,
            ListenState::Open(_) => ListenMode::Open,
            ListenState::Hanging(_) => ListenMode::Hanging,
        }
    }

    /// Returns the next connection; waits forever unless the listener is open.
    pub(super) async fn accept(&self) -> io::Result<TcpStream> {
        match &self.state {
            ListenState::Open(listener) => Ok(listener.accept().await?.0),
            ListenState::Refusing | ListenState::Hanging(_) => std::future::pending().await,
        }
    }
}

/// Listens on a free port of an address. The system keeps the port for the socket also while it does not listen.
pub(super) fn listen_on_free_port(ip: IpAddr) -> io::Result<(Socket, SocketAddr)> {
    let first = bind(SocketAddr::new(ip, 0))?;
    let address = first
        .local_addr()?
        .as_socket()
        .ok_or(io::ErrorKind::AddrNotAvailable)?;
    // The system takes back a port that it chose itself once the socket stops listening, but not one that was named.
    let socket = bind(address)?;
    socket.listen(BACKLOG)?;
    Ok((socket, address))
}

fn accept_on(socket: &Socket) -> io::Result<ListenState> {
    let copy = socket.try_clone()?;
    Ok(ListenState::Open(TcpListener::from_std(copy.into())?))
}

fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    // Connections that an earlier listening accepted may still be open on the port.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Connects until the accept queue at `address` is full, and returns the connections.
async fn fill_queue(address: SocketAddr) -> Vec<TcpStream> {
    let mut fillers = Vec::new();
    for _ in 0..MAX_FILLERS {
        match timeout(FILLER_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(filler)) => fillers.push(filler),
            _ => break,
        }
    }
    fillers
}
