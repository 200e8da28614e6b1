//! Task offers and an endpoint without an HTTP library for the contract tests.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc,
    },
    time::Duration,
};

use model::{
    AttemptId, CustomerShare, EndpointAddress, IncarnationId, Payload, SubmissionId, TaskOffer,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

/// An offer for submission `serial` with the given payload and a time left of two seconds.
pub(crate) fn offer(serial: u64, payload: &str) -> TaskOffer {
    TaskOffer {
        attempt: AttemptId {
            submission: SubmissionId {
                incarnation: IncarnationId(7),
                serial,
            },
            task: 0,
            attempt: 0,
        },
        customer: "trust".parse().unwrap(),
        share: CustomerShare(1),
        kind: "lesson-hold".parse().unwrap(),
        time_left: Duration::from_secs(2),
        expected_run_time: Duration::from_millis(10),
        payload: Payload::from(payload.as_bytes()),
    }
}

/// An endpoint with eight slots at the given address.
pub(crate) fn endpoint_at(address: SocketAddr) -> EndpointAddress {
    EndpointAddress {
        id: "endpoint-1".parse().unwrap(),
        address,
        slots: 8,
    }
}

/// What a [`RawEndpoint`] does after it has read one whole request.
#[derive(Clone, Copy)]
pub(crate) enum RawAnswer {
    /// Sends a complete answer and keeps the connection open.
    Whole,
    /// Sends a complete answer and closes the connection, which the answer does not announce.
    WholeThenClose,
    /// Closes the connection without an answer.
    Close,
    /// Resets the connection without an answer.
    Reset,
    /// Sends bytes that are not HTTP and closes the connection.
    Garbage,
}

/// An endpoint without an HTTP library. It counts requests and connections and answers from a list.
pub(crate) struct RawEndpoint {
    pub(crate) address: SocketAddr,
    pub(crate) requests: Arc<AtomicU32>,
    pub(crate) connections: Arc<AtomicU32>,
}

impl RawEndpoint {
    /// Starts an endpoint that answers requests with `answers` in order and closes the connection on each further
    /// request.
    pub(crate) async fn start(answers: &'static [RawAnswer]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = Self {
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            connections: Arc::default(),
        };
        let requests = Arc::clone(&endpoint.requests);
        let connections = Arc::clone(&endpoint.connections);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::SeqCst);
                actix_rt::spawn(serve(stream, Arc::clone(&requests), answers));
            }
        });
        endpoint
    }

    /// The number of requests read completely and of connections accepted.
    pub(crate) fn counts(&self) -> (u32, u32) {
        (
            self.requests.load(Ordering::SeqCst),
            self.connections.load(Ordering::SeqCst),
        )
    }
}

async fn serve(mut stream: TcpStream, requests: Arc<AtomicU32>, answers: &'static [RawAnswer]) {
    while let Some(attempt) = read_request(&mut stream).await {
        let count = requests.fetch_add(1, Ordering::SeqCst) as usize;
        let answer = answers.get(count).copied().unwrap_or(RawAnswer::Close);
        let whole = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\ntask-status: done\r\ncontent-length: 2\r\n\r\nok"
        );
        match answer {
            RawAnswer::Whole => stream.write_all(whole.as_bytes()).await.unwrap(),
            RawAnswer::WholeThenClose => {
                stream.write_all(whole.as_bytes()).await.unwrap();
                return;
            }
            RawAnswer::Close => return,
            RawAnswer::Reset => {
                stream.set_zero_linger().unwrap();
                return;
            }
            RawAnswer::Garbage => {
                stream.write_all(b"SSH-2.0-other\r\n\r\n").await.unwrap();
                return;
            }
        }
    }
}

/// Reads one request with its body and returns its attempt id, or `None` when the connection ends.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let mut chunk = [0; 4096];
        let count = stream.read(&mut chunk).await.ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&chunk[..count]);
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let header = |name: &str| {
            let line = head.lines().find(|line| line.starts_with(name))?;
            Some(line.split_once(':')?.1.trim().to_owned())
        };
        let size = header("content-length").map_or(0, |text| text.parse().unwrap());
        if body.len() >= size {
            return header("attempt-id");
        }
    }
}
