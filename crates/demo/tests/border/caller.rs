//! A fleet with contracts, and an HTTP client that sends exactly the given bytes.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base64::{engine::general_purpose::STANDARD, Engine as _};
use demo::{DemoFleet, FleetSettings};
use model::CustomerId;
use serde_json::{json, Value};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::timeout,
};

/// Timeout of each wait. It is far longer than any wait takes, so only a hang reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The customer whose contract is in force.
pub(crate) const CUSTOMER: &str = "border-school";

/// Another customer with a contract in force.
pub(crate) const OTHER_CUSTOMER: &str = "other-school";

/// A customer whose contract is retired.
pub(crate) const RETIRED_CUSTOMER: &str = "retired-school";

/// An HTTP answer.
#[derive(Clone, Debug)]
pub(crate) struct HttpReply {
    /// Status code.
    pub(crate) status: u16,
    /// Status line.
    pub(crate) status_line: String,
    /// Status line and headers in lower case.
    pub(crate) head: String,
    /// Body as text.
    pub(crate) body: String,
    /// Body as JSON, or null if the body is not JSON.
    pub(crate) json: Value,
}

impl HttpReply {
    /// A text field of the JSON body, empty if absent.
    pub(crate) fn text(&self, field: &str) -> &str {
        self.json[field].as_str().unwrap_or_default()
    }

    /// The decoded result of a request.
    pub(crate) fn result(&self) -> Vec<u8> {
        STANDARD
            .decode(self.text("result"))
            .expect("a result is base64")
    }
}

/// Starts a fleet and waits until every entry knows the contracts: those of [`CUSTOMER`] and [`OTHER_CUSTOMER`] in
/// force, that of [`RETIRED_CUSTOMER`] retired.
pub(crate) async fn start_fleet(settings: FleetSettings) -> DemoFleet {
    let fleet = DemoFleet::start(settings).await.expect("fleet");
    fleet.wait_until_ready().await.expect("ready");
    for name in [CUSTOMER, OTHER_CUSTOMER, RETIRED_CUSTOMER] {
        let customer: CustomerId = name.parse().expect("customer");
        fleet.create_contract(&customer).await.expect("contract");
        fleet
            .wait_until_in_force(&customer)
            .await
            .expect("contract in force");
    }
    let retired: CustomerId = RETIRED_CUSTOMER.parse().expect("customer");
    fleet.retire_contract(&retired).await.expect("retired");
    for address in fleet.caller_addresses() {
        let body = json!({ "customer": RETIRED_CUSTOMER });
        wait_for(async || post(address, "/v1/tickets", &body).await.status == 403).await;
    }
    fleet
}

/// Waits until a condition holds.
pub(crate) async fn wait_for(mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "the condition never held");
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

/// The body of a request.
pub(crate) fn request(payload: &[u8]) -> Value {
    json!({ "customer": CUSTOMER, "task": task(payload) })
}

/// The body of a job.
pub(crate) fn job(payloads: &[&[u8]]) -> Value {
    let tasks: Vec<Value> = payloads.iter().map(|payload| task(payload)).collect();
    json!({ "customer": CUSTOMER, "tasks": tasks })
}

/// A task of a request or job body.
pub(crate) fn task(payload: &[u8]) -> Value {
    json!({ "kind": "border", "payload": STANDARD.encode(payload) })
}

/// Gets a ticket from an entry.
pub(crate) async fn issue_ticket(entry: SocketAddr) -> Value {
    let body = json!({ "customer": CUSTOMER });
    let reply = post(entry, "/v1/tickets", &body).await;
    assert_eq!(reply.status, 201, "{reply:?}");
    reply.json["ticket"].clone()
}

/// Posts JSON.
pub(crate) async fn post(entry: SocketAddr, path: &str, body: &Value) -> HttpReply {
    post_with(entry, path, "", body).await
}

/// Posts JSON with additional header lines.
pub(crate) async fn post_with(
    entry: SocketAddr,
    path: &str,
    headers: &str,
    body: &Value,
) -> HttpReply {
    send(
        entry,
        &http_message("POST", path, headers, body.to_string().as_bytes()),
    )
    .await
}

/// Sends a message without a body.
pub(crate) async fn call(entry: SocketAddr, method: &str, path: &str) -> HttpReply {
    send(entry, &http_message(method, path, "", b"")).await
}

/// Builds an HTTP/1.1 request message.
pub(crate) fn http_message(method: &str, path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Sends bytes and reads the answer until the connection ends.
pub(crate) async fn send(entry: SocketAddr, bytes: &[u8]) -> HttpReply {
    timeout(TEST_TIMEOUT, exchange(entry, bytes))
        .await
        .expect("an answer in time")
}

async fn exchange(entry: SocketAddr, bytes: &[u8]) -> HttpReply {
    let mut stream = TcpStream::connect(entry).await.expect("connection");
    // The server may answer and close the connection before it has read everything.
    let _closed = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _reset = stream.read_to_end(&mut answer).await;
    let head_end = answer
        .windows(4)
        .position(|part| part == b"\r\n\r\n")
        .expect("a whole head");
    let head = String::from_utf8_lossy(&answer[..head_end]).into_owned();
    let status_line = head.lines().next().unwrap_or_default().to_owned();
    let head = head.to_lowercase();
    let body = String::from_utf8_lossy(&answer[head_end + 4..]).into_owned();
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .expect("a status line");
    let json = serde_json::from_slice(&answer[head_end + 4..]).unwrap_or(Value::Null);
    HttpReply {
        status,
        status_line,
        head,
        body,
        json,
    }
}
