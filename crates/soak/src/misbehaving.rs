//! Clients that do not behave, beside the ordinary customers: the promises are checked for these, and none of the others'
//! requests ever ends, so that nothing of them may run.

use std::{net::SocketAddr, time::Duration};

use fastrand::Rng;
use tokio::{
    io::AsyncWriteExt as _,
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::fleet::{HOST, PREFIX};

/// The length that is stated of a body that does not end, in bytes. The stand-in's configuration allows as much.
const STATED_LENGTH: usize = 4_096;

/// The requests that a client sends at once whose answers it does not read.
const UNREAD_REQUESTS: usize = 500;

/// Bounds of the time for which a client keeps a connection, in milliseconds.
const HOLD_MS: (u64, u64) = (50, 3_000);

/// How long a client tries to send.
const SEND_TIME: Duration = Duration::from_millis(500);

/// What a client sends on a connection.
#[derive(Clone, Copy)]
enum Misbehaviour {
    /// Nothing.
    Idle,
    /// A head without an end.
    EndlessHead,
    /// A body that lacks its last byte.
    UnfinishedBody,
    /// Chunks of one byte without an end.
    TinyChunks,
    /// Requests whose answers are not read.
    UnreadAnswers,
}

impl Misbehaviour {
    const ALL: [Self; 5] = [
        Self::Idle,
        Self::EndlessHead,
        Self::UnfinishedBody,
        Self::TinyChunks,
        Self::UnreadAnswers,
    ];

    fn bytes(self, id: u64) -> Vec<u8> {
        let head = format!("POST {PREFIX}{id:016x} HTTP/1.1\r\nHost: {HOST}\r\n");
        let text = match self {
            Self::Idle => String::new(),
            Self::EndlessHead => head,
            Self::UnfinishedBody => {
                let body = " ".repeat(STATED_LENGTH - 1);
                format!("{head}Content-Length: {STATED_LENGTH}\r\n\r\n{body}")
            }
            Self::TinyChunks => {
                let chunks = "1\r\n \r\n".repeat(STATED_LENGTH - 1);
                format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunks}")
            }
            Self::UnreadAnswers => {
                format!("GET /unknown HTTP/1.1\r\nHost: {HOST}\r\n\r\n").repeat(UNREAD_REQUESTS)
            }
        };
        text.into_bytes()
    }
}

/// Connects to one node after the other, misbehaves, and leaves, for as long as the future is polled.
pub(crate) async fn run_client(nodes: Vec<SocketAddr>, mut rng: Rng) {
    loop {
        let node = nodes[rng.usize(..nodes.len())];
        let misbehaviour = Misbehaviour::ALL[rng.usize(..Misbehaviour::ALL.len())];
        let bytes = misbehaviour.bytes(rng.u64(..));
        let hold = Duration::from_millis(rng.u64(HOLD_MS.0..HOLD_MS.1));
        if let Ok(Ok(mut stream)) = timeout(SEND_TIME, TcpStream::connect(node)).await {
            // A node that is stopped or refuses the client breaks the connection.
            let _sent = timeout(SEND_TIME, stream.write_all(&bytes)).await;
            sleep(hold).await;
        } else {
            sleep(SEND_TIME).await;
        }
    }
}
