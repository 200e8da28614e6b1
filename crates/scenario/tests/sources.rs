//! The VM of a connection is found whatever other sockets the machine has.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    process,
};

use scenario::sources::SourceList;
use socket2::{Domain, Socket, Type};
use stand_ins::forwarder::ConnectionEnds;

/// Enough closed connections, each to another address, that some come before the open ones in the kernel's table.
const CLOSED_CONNECTIONS: usize = 32;

/// Connects from a local address, which may be that of another connection.
fn connect(from: SocketAddr, to: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("the option");
    socket.bind(&from.into()).expect("the address");
    socket.connect(&to.into()).expect("a connection");
    socket.into()
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("the address");
    (listener, address)
}

/// Guards against a cut that connections cross: a closed connection with the same local address hid the VM of an open
/// one.
#[test]
fn a_closed_connection_from_the_same_port_hides_no_vm() {
    let list = SourceList::default();
    list.add_process(process::id(), "east-vm1");
    let find = list.finder();
    let (present, to) = listen();
    for _ in 0..CLOSED_CONNECTIONS {
        let (former, former_address) = listen();
        let closed = connect(SocketAddr::from(([127, 0, 0, 1], 0)), former_address);
        let from = closed.local_addr().expect("the address");
        let accepted = former.accept().expect("the connection");
        drop(closed);
        drop(accepted);
        let open = connect(from, to);
        let accepted = present.accept().expect("the connection");
        let found = find(ConnectionEnds { from, to });
        assert_eq!(found.as_deref(), Some("east-vm1"), "from {from}");
        drop((open, accepted));
    }
}

/// Guards against a search that takes another process's connection for one of a VM.
#[test]
fn a_connection_of_another_process_has_no_vm() {
    let list = SourceList::default();
    let (listener, to) = listen();
    let open = TcpStream::connect(to).expect("a connection");
    let from = open.local_addr().expect("the address");
    let accepted = listener.accept().expect("the connection");
    assert_eq!(list.finder()(ConnectionEnds { from, to }), None);
    drop((open, accepted));
}
