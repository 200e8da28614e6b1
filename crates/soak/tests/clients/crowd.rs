//! Crowds of clients that do not behave. Each client sends what it is given on a connection of its own, and then keeps the
//! connection open without reading from it.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{io::AsyncWriteExt as _, net::TcpStream, task::JoinHandle, time::timeout};

/// How long a client goes on sending. A process that reads no further stops it before.
const SEND_TIME: Duration = Duration::from_secs(10);

/// How long the clients may take to connect and send before the checks begin.
const CROWD_TIME: Duration = Duration::from_secs(15);

/// The pieces that a client sends one after the other.
pub(crate) type Pieces = Rc<Vec<Vec<u8>>>;

/// Clients that stay connected until the value is dropped.
pub(crate) struct Crowd {
    clients: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Connects `count` clients that send the same pieces, and waits until all have sent them or cannot go on.
    pub(crate) async fn send(address: SocketAddr, count: usize, pieces: Vec<Vec<u8>>) -> Self {
        let pieces = Rc::new(pieces);
        let sending = Rc::new(Cell::new(count));
        let mut clients = Vec::new();
        for _ in 0..count {
            let client = run_client(address, pieces.clone(), sending.clone());
            clients.push(actix_rt::spawn(client));
        }
        let all_sent = async {
            while sending.get() > 0 {
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let _still_sending = timeout(CROWD_TIME, all_sent).await;
        Self { clients }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for client in &self.clients {
            client.abort();
        }
    }
}

async fn run_client(address: SocketAddr, pieces: Pieces, sending: Rc<Cell<usize>>) {
    let mut stream = None;
    let _still_sending = timeout(SEND_TIME, send_pieces(address, &pieces, &mut stream)).await;
    sending.set(sending.get() - 1);
    // The connection stays open until the crowd leaves.
    std::future::pending::<()>().await;
    drop(stream);
}

async fn send_pieces(address: SocketAddr, pieces: &[Vec<u8>], stream: &mut Option<TcpStream>) {
    let Ok(connected) = TcpStream::connect(address).await else {
        return;
    };
    let stream = stream.insert(connected);
    for piece in pieces {
        if stream.write_all(piece).await.is_err() {
            return;
        }
    }
}

/// A request with a body of a stated length.
pub(crate) fn sized_request(path: &str, host: &str, length: usize) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: 60000\r\nContent-Length: {length}\r\n\r\n"
    );
    head.into_bytes()
}

/// The head of a request with a body in chunks.
pub(crate) fn chunked_request(path: &str, host: &str) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: 60000\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    head.into_bytes()
}

/// Chunks of `size` bytes each that carry `bytes`.
pub(crate) fn chunks(bytes: &[u8], size: usize) -> Vec<u8> {
    let mut sent = Vec::new();
    for chunk in bytes.chunks(size) {
        sent.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        sent.extend_from_slice(chunk);
        sent.extend_from_slice(b"\r\n");
    }
    sent
}

/// A request without a body, `count` times.
pub(crate) fn questions(path: &str, host: &str, count: usize) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n")
        .repeat(count)
        .into_bytes()
}
