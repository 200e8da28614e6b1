//! Looks up a single TCP socket in the kernel's table.
//!
//! The table's text in `/proc` has a line for each socket of the machine. Reading it takes tens of milliseconds once
//! other processes have left thousands of closed connections there, and a line's own address alone does not tell a
//! socket from a closed one of the same port.

use std::io;

use netlink_packet_core::{NetlinkHeader, NetlinkMessage, NetlinkPayload, NLM_F_REQUEST};
use netlink_packet_sock_diag::{
    constants::{AF_INET, AF_INET6, IPPROTO_TCP},
    inet::{ExtensionFlags, InetRequest, SocketId, StateFlags},
    SockDiagMessage,
};
use netlink_sys::{protocols::NETLINK_SOCK_DIAG, Socket, SocketAddr as NetlinkAddress};
use stand_ins::forwarder::ConnectionEnds;

/// More than the answer about one socket takes, in bytes.
const ANSWER_BYTES: usize = 4_096;

/// Stands for any cookie: the number by which the kernel tells a socket from a later one with the same addresses.
const ANY_COOKIE: [u8; 8] = [0xff; 8];

/// Returns the inode of the connecting side's socket, or `None` if that socket is closed.
pub(crate) fn find_inode(ends: ConnectionEnds) -> io::Result<Option<u32>> {
    let socket = Socket::new(NETLINK_SOCK_DIAG)?;
    socket.connect(&NetlinkAddress::new(0, 0))?;
    socket.send(&encode_request(ends), 0)?;
    let mut answer = vec![0; ANSWER_BYTES];
    let size = socket.recv(&mut answer.as_mut_slice(), 0)?;
    let answer = NetlinkMessage::<SockDiagMessage>::deserialize(&answer[..size]);
    match answer.map_err(io::Error::other)?.payload {
        NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(response)) => {
            // A closed connection that the kernel still remembers has no inode.
            Ok(Some(response.header.inode).filter(|inode| *inode != 0))
        }
        NetlinkPayload::Error(error) if error.to_io().kind() == io::ErrorKind::NotFound => Ok(None),
        NetlinkPayload::Error(error) => Err(error.to_io()),
        other => Err(io::Error::other(format!("unexpected answer: {other:?}"))),
    }
}

fn encode_request(ends: ConnectionEnds) -> Vec<u8> {
    let ConnectionEnds { from, to } = ends;
    let socket_id = SocketId {
        source_address: from.ip(),
        source_port: from.port(),
        destination_address: to.ip(),
        destination_port: to.port(),
        cookie: ANY_COOKIE,
        ..SocketId::new_v4()
    };
    let request = InetRequest {
        family: if from.is_ipv4() { AF_INET } else { AF_INET6 },
        protocol: IPPROTO_TCP,
        extensions: ExtensionFlags::empty(),
        states: StateFlags::all(),
        socket_id,
    };
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST;
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(request).into());
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    bytes
}
