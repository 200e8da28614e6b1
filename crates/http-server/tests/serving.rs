//! A server and single connections to it, byte by byte.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_http::{body::BoxBody, header, HttpMessage as _, Method, Request, Response, StatusCode};
use client_limits::ClientBudget;
use futures::StreamExt as _;
use http_server::{
    serve_stream, ClientGate, GateEvent, HalfClose, HeldSince, HttpLimits, HttpServer,
    ServerOptions,
};
use kernel::{serve_connections, SystemClock};
use model::ByteSize;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::JoinHandle,
    time::timeout,
};

/// How long a test waits for what must come.
const WAIT: Duration = Duration::from_secs(10);

/// A share that holds one request of 100 KiB, not two.
const BUDGET: ClientBudget = ClientBudget {
    connections: 8,
    requests: ByteSize(150 * 1_024),
    answers: ByteSize(150 * 1_024),
    jobs: ByteSize(150 * 1_024),
};

const LARGE: usize = 100 * 1_024;

/// What the handler of the test server sees and does.
#[derive(Default)]
struct HandlerRecord {
    /// The lengths of the bodies that were read whole.
    bodies: RefCell<Vec<usize>>,
    /// Whether each request carried a [`HeldSince`].
    held: RefCell<Vec<bool>>,
    /// Lets requests to `/wait` end.
    go: Notify,
    /// The number of requests whose handlers have begun and not ended.
    open: Cell<usize>,
}

struct OpenHandler(Rc<HandlerRecord>);

impl Drop for OpenHandler {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

async fn handle(record: Rc<HandlerRecord>, mut request: Request) -> Response<BoxBody> {
    record.open.set(record.open.get() + 1);
    let _open = OpenHandler(record.clone());
    let held = request.extensions().get::<HeldSince>().is_some();
    record.held.borrow_mut().push(held);
    let text = |text: String| Response::ok().set_body(BoxBody::new(text));
    if request.method() == Method::GET {
        if request.path() == "/wait" {
            record.go.notified().await;
        }
        if request.path() == "/large" {
            return text("x".repeat(LARGE));
        }
        return text(request.path().to_owned());
    }
    if request.path() == "/unread" {
        return Response::build(StatusCode::NOT_FOUND)
            .body("no")
            .map_into_boxed_body();
    }
    let mut payload = request.take_payload();
    let mut length = 0;
    while let Some(chunk) = payload.next().await {
        match chunk {
            Ok(chunk) => length += chunk.len(),
            Err(_) => return Response::new(StatusCode::BAD_REQUEST),
        }
    }
    record.bodies.borrow_mut().push(length);
    text(length.to_string())
}

fn refusal() -> Response<BoxBody> {
    Response::build(StatusCode::SERVICE_UNAVAILABLE)
        .insert_header((header::RETRY_AFTER, 1))
        .body("{}")
        .map_into_boxed_body()
}

struct TestServer {
    address: SocketAddr,
    gate: Arc<ClientGate>,
    record: Rc<HandlerRecord>,
    task: JoinHandle<()>,
}

impl Drop for TestServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl TestServer {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let gate = ClientGate::new(BUDGET, HttpLimits::default());
        let record = Rc::<HandlerRecord>::default();
        let handler_record = record.clone();
        let options = ServerOptions {
            half_close: HalfClose::Drop,
            refusal,
            clock: Arc::new(SystemClock),
        };
        let handler = move |request| handle(handler_record.clone(), request);
        let server = HttpServer::new(handler, options);
        let server_gate = gate.clone();
        let task = actix_rt::spawn(serve_connections(listener, move |stream| {
            serve_stream(server.clone(), stream, server_gate.open())
        }));
        Self {
            address,
            gate,
            record,
            task,
        }
    }

    async fn connect(&self) -> TestClient {
        TestClient {
            stream: TcpStream::connect(self.address).await.unwrap(),
            received: String::new(),
        }
    }

    /// Lets time pass for the gate, in steps that each count whole.
    fn pass(&self, from: Instant, time: Duration) -> Instant {
        let steps = u32::try_from(time.as_millis() / 100).unwrap();
        for step in 0..=steps {
            self.gate.sweep(from + Duration::from_millis(100) * step);
        }
        from + time
    }

    fn events(&self, event: GateEvent) -> u64 {
        self.gate.snapshot().events[event as usize]
    }

    async fn wait_until(&self, what: &str, is_done: impl Fn() -> bool) {
        for _ in 0..1_000 {
            if is_done() {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("waited in vain: {what}");
    }
}

struct TestClient {
    stream: TcpStream,
    received: String,
}

impl TestClient {
    async fn send(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).await.unwrap();
    }

    /// Sends as much as the server takes. The rest may meet a closed connection.
    async fn try_send(&mut self, bytes: &str) {
        let _sent = self.stream.write_all(bytes.as_bytes()).await;
    }

    /// Reads until the answers so far contain a text.
    async fn expect(&mut self, text: &str) {
        while !self.received.contains(text) {
            assert!(self.read().await > 0, "closed after {:?}", self.received);
        }
        let end = self.received.find(text).unwrap() + text.len();
        self.received.drain(..end);
    }

    /// Reads until the server closes the connection.
    async fn expect_close(&mut self) -> &str {
        while self.read().await > 0 {}
        &self.received
    }

    async fn read(&mut self) -> usize {
        let mut bytes = [0; 4_096];
        let read = timeout(WAIT, self.stream.read(&mut bytes)).await;
        let read = read.expect("an answer in time").unwrap();
        self.received
            .push_str(&String::from_utf8_lossy(&bytes[..read]));
        read
    }
}

fn post(length: usize) -> String {
    format!("POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n")
}

const CHUNKED: &str = "POST /body HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A client inside the limits that is as slow as it likes must be served in calm.
#[actix_rt::test]
async fn a_body_in_the_smallest_pieces_is_served() {
    let server = TestServer::start().await;
    let mut client = server.connect().await;
    client.send(CHUNKED).await;
    for _ in 0..50 {
        client.send("1\r\nx\r\n").await;
    }
    client.send("0\r\n\r\n").await;
    client.expect("\r\n\r\n50").await;
    client.send(&post(LARGE)).await;
    let body = "x".repeat(LARGE);
    for piece in body.as_bytes().chunks(1_000) {
        client.send(std::str::from_utf8(piece).unwrap()).await;
    }
    client.expect(&format!("\r\n\r\n{LARGE}")).await;
    assert_eq!(*server.record.bodies.borrow(), [50, LARGE]);
    assert_eq!(server.gate.snapshot().shares[0].used, 0);
}

/// The head tells that there is no memory, so the body must not be waited for. Small requests go on.
#[actix_rt::test]
async fn a_large_request_is_refused_by_its_head_and_small_ones_are_served() {
    let server = TestServer::start().await;
    let mut first = server.connect().await;
    first.send(&post(LARGE)).await;
    first.send("x").await;
    server
        .wait_until("memory is reserved", || {
            server.gate.snapshot().shares[0].used > 0
        })
        .await;
    let mut second = server.connect().await;
    second.send(&post(LARGE)).await;
    second.expect("503 Service Unavailable").await;
    second.expect("retry-after: 1").await;
    let mut small = server.connect().await;
    small.send(&format!("{}0123456789", post(10))).await;
    small.expect("\r\n\r\n10").await;
    first.send(&"x".repeat(LARGE - 1)).await;
    first.expect(&format!("\r\n\r\n{LARGE}")).await;
}

/// A refusal that is lost with a reset connection would leave the client without knowing that nothing ran.
#[actix_rt::test]
async fn a_refusal_reaches_a_client_that_goes_on_sending() {
    let server = TestServer::start().await;
    let mut first = server.connect().await;
    first.send(&post(LARGE)).await;
    server
        .wait_until("memory is reserved", || {
            server.gate.snapshot().shares[0].used > 0
        })
        .await;
    let mut second = server.connect().await;
    second.send(&post(LARGE)).await;
    second.try_send(&"x".repeat(LARGE)).await;
    second.expect("503 Service Unavailable").await;
}

/// Without the end of its body nothing of a request may be handed on, and its memory goes to others.
#[actix_rt::test]
async fn a_stalled_body_gives_way_and_is_refused() {
    let server = TestServer::start().await;
    let mut stalled = server.connect().await;
    stalled.send(&post(LARGE)).await;
    server
        .wait_until("memory is reserved", || {
            server.gate.snapshot().shares[0].used > 0
        })
        .await;
    server.pass(Instant::now(), Duration::from_secs(1));
    let mut newcomer = server.connect().await;
    newcomer
        .send(&format!("{}{}", post(LARGE), "x".repeat(LARGE)))
        .await;
    newcomer.expect(&format!("\r\n\r\n{LARGE}")).await;
    stalled.try_send(&"x".repeat(LARGE)).await;
    stalled.expect("503 Service Unavailable").await;
    assert_eq!(*server.record.bodies.borrow(), [LARGE]);
    assert_eq!(server.events(GateEvent::StalledEvicted), 1);
}

/// A frozen machine reads nothing, which is not the client's fault.
#[actix_rt::test]
async fn a_body_has_a_time_limit_that_leaves_out_pauses() {
    let server = TestServer::start().await;
    let mut client = server.connect().await;
    client.send(CHUNKED).await;
    client.send("1\r\nx\r\n").await;
    server
        .wait_until("the body is being read", || server.record.open.get() == 1)
        .await;
    let began = Instant::now();
    server.gate.sweep(began);
    let thawed = began + Duration::from_secs(600);
    server.gate.sweep(thawed);
    client.send("1\r\nx\r\n").await;
    let passed = server.pass(thawed, Duration::from_secs(59));
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(server.record.open.get(), 1);
    server.pass(passed, Duration::from_secs(2));
    client.expect("408 Request Timeout").await;
    assert_eq!(server.events(GateEvent::BodyTimeout), 1);
    assert!(server.record.bodies.borrow().is_empty());
}

#[actix_rt::test]
async fn a_client_that_waits_for_leave_gets_it_before_the_body() {
    let server = TestServer::start().await;
    let mut client = server.connect().await;
    let head = post(3).replacen("Host", "Expect: 100-continue\r\nHost", 1);
    client.send(&head).await;
    client.expect("100 Continue").await;
    client.send("abc").await;
    client.expect("\r\n\r\n3").await;
}

/// Requests that follow on a connection are answered in order. What was held unread is marked as such: its client may
/// have given up on it.
#[actix_rt::test]
async fn requests_behind_another_wait_for_it_and_are_marked() {
    let server = TestServer::start().await;
    let mut client = server.connect().await;
    client
        .send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n")
        .await;
    server
        .wait_until("the first request runs", || server.record.open.get() == 1)
        .await;
    server.record.go.notify_one();
    client.expect("/wait").await;
    client.expect("/b").await;
    client.send("GET /c HTTP/1.1\r\nHost: a\r\n\r\n").await;
    client.expect("/c").await;
    assert_eq!(*server.record.held.borrow(), [false, true, false]);
}

/// A request whose client has left would run for nobody; its client may run it elsewhere.
#[actix_rt::test]
async fn a_request_ends_with_its_client_whatever_is_unread() {
    for unread in [0, 100_000] {
        let server = TestServer::start().await;
        let mut client = server.connect().await;
        client.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n").await;
        let rest = "x".repeat(unread);
        let _sent = timeout(Duration::from_millis(200), client.send(&rest)).await;
        server
            .wait_until("the request runs", || server.record.open.get() == 1)
            .await;
        drop(client);
        server
            .wait_until("the request has ended", || server.record.open.get() == 0)
            .await;
    }
}

/// Nothing is read while answers are not taken, so that none pile up.
#[actix_rt::test]
async fn answers_that_are_not_taken_stop_the_connection() {
    let server = TestServer::start().await;
    let mut client = server.connect().await;
    let questions = "GET /large HTTP/1.1\r\nHost: a\r\n\r\n".repeat(20_000);
    let _sent = timeout(Duration::from_millis(500), client.try_send(&questions)).await;
    let asked = || server.record.held.borrow().len();
    server
        .wait_until("the first is answered", || asked() > 0)
        .await;
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let asked = asked();
    assert!(asked < 200, "{asked} answers for a client that reads none");
    server.pass(Instant::now(), Duration::from_secs(16));
    server
        .wait_until("the connection is closed", || {
            server.gate.snapshot().connections == 0
        })
        .await;
    assert_eq!(server.events(GateEvent::AnswerTimeout), 1);
}

#[actix_rt::test]
async fn an_unread_body_is_discarded_behind_the_answer() {
    let server = TestServer::start().await;
    let mut client = server.connect().await;
    client
        .send(&post(LARGE).replacen("/body", "/unread", 1))
        .await;
    client.try_send(&"x".repeat(LARGE)).await;
    client.expect("404 Not Found").await;
    client.expect_close().await;
    // A body that has arrived with its head does not cost the connection.
    let mut client = server.connect().await;
    let small = post(3).replacen("/body", "/unread", 1);
    client.send(&format!("{small}abc")).await;
    client.expect("404 Not Found").await;
    client.send("GET /next HTTP/1.1\r\nHost: a\r\n\r\n").await;
    client.expect("/next").await;
}

#[actix_rt::test]
async fn a_stop_closes_idle_connections_and_lets_requests_end() {
    let server = TestServer::start().await;
    let mut idle = server.connect().await;
    idle.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n").await;
    idle.expect("/a").await;
    let mut busy = server.connect().await;
    busy.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n").await;
    server
        .wait_until("the request runs", || server.record.open.get() == 1)
        .await;
    server.gate.close_idle();
    idle.expect_close().await;
    server.record.go.notify_one();
    busy.expect("/wait").await;
}

#[actix_rt::test]
async fn slow_heads_time_out_and_malformed_ones_are_answered() {
    let server = TestServer::start().await;
    let mut slow = server.connect().await;
    slow.send("GET /a HTTP/1.1\r\nHost").await;
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    server.pass(Instant::now(), Duration::from_secs(6));
    slow.expect("408 Request Timeout").await;
    let mut malformed = server.connect().await;
    malformed.send("what\r\n\r\n").await;
    malformed.expect("400 Bad Request").await;
    let mut long = server.connect().await;
    long.try_send(&format!("GET /{} HTTP/1.1\r\n", "x".repeat(20_000)))
        .await;
    long.expect("431 Request Header Fields Too Large").await;
}

/// A full table must not lock out ordinary clients: an idle connection gives way.
#[actix_rt::test]
async fn an_idle_connection_gives_way_to_a_new_one() {
    let server = TestServer::start().await;
    let mut idle = Vec::new();
    for _ in 0..BUDGET.connections {
        idle.push(server.connect().await);
    }
    server
        .wait_until("all are connected", || {
            server.gate.snapshot().connections == BUDGET.connections
        })
        .await;
    let mut newcomer = server.connect().await;
    newcomer.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n").await;
    newcomer.expect("/a").await;
    assert_eq!(server.events(GateEvent::ConnectionEvicted), 1);
    assert_eq!(idle[0].expect_close().await, "");
}
