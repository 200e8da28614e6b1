//! What a caller of the border sees when the other side, the connection or the bytes on it are not as they should be.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use model::{
    AttemptId, CustomerShare, IncarnationId, OfferReply, Payload, SessionId, SubmissionId,
    TaskOffer, WithdrawalReply,
};
use peer::{ForwardedAnswer, OpenedSession, PeerError, PeerLink};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpSocket, TcpStream},
    time::timeout,
};

use crate::fakes::{self, FakeEntry, SeenCall, Shared};

/// How long anything here may take. Far more than it does, so that only a hang reaches it.
const LIMIT: Duration = Duration::from_secs(30);

fn attempt(serial: u64) -> AttemptId {
    AttemptId {
        submission: SubmissionId {
            incarnation: IncarnationId(1),
            serial,
        },
        task: 0,
        attempt: 0,
    }
}

fn offer(serial: u64, payload: Payload) -> TaskOffer {
    TaskOffer {
        attempt: attempt(serial),
        customer: "school".parse().expect("a name"),
        share: CustomerShare(1),
        kind: "hold".parse().expect("a name"),
        time_left: Duration::from_secs(1),
        expected_run_time: Duration::from_millis(50),
        payload,
    }
}

async fn open(shared: &Rc<Shared>, address: SocketAddr, session: u64) -> (PeerLink, OpenedSession) {
    let link = peer::connect(address, || {}).await.expect("a connection");
    let opened = try_open(shared, &link, session).await.expect("a session");
    (link, opened)
}

async fn try_open(
    shared: &Rc<Shared>,
    link: &PeerLink,
    session: u64,
) -> Result<OpenedSession, PeerError> {
    let port = peer::entry_port(FakeEntry(shared.clone()));
    let opened = link
        .client()
        .open(port, IncarnationId(1), SessionId(session));
    timeout(LIMIT, opened).await.expect("an answer in time")
}

async fn wait_for(holds: impl Fn() -> bool) {
    let limit = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < limit, "the condition never held");
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
}

// What the entry sees: its session answers as before.
// What happens: something that speaks another protocol, or nothing sensible, connects to the peer port.
// Why: a port scan, or an HTTP probe of the wrong port, must not end the sessions of a whole VM.
#[actix_rt::test]
async fn garbage_ends_only_its_own_connection() {
    let shared = Shared::new();
    let (address, server) = fakes::serve(&shared).await;
    let (link, opened) = open(&shared, address, 1).await;
    let table: [(&str, &[u8]); 8] = [
        ("nothing", b""),
        ("HTTP", b"GET / HTTP/1.1\r\nhost: peer\r\n\r\n"),
        ("zeros", &[0; 4096]),
        ("ones", &[0xff; 4096]),
        ("a huge segment", &[0, 0, 0, 0, 0xff, 0xff, 0xff, 0x0f]),
        ("half a head", &[0, 0, 0]),
        ("half a body", &[0, 0, 0, 0, 2, 0, 0, 0, 1, 2, 3, 4]),
        (
            "a wrong pointer",
            &[0, 0, 0, 0, 1, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f, 1, 0, 9, 0],
        ),
    ];
    for (what, bytes) in table {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        // The other side may close before it has read everything.
        let _closed = stream.write_all(bytes).await;
        let _closed = stream.shutdown().await;
        let mut rest = Vec::new();
        let read = timeout(LIMIT, stream.read_to_end(&mut rest)).await;
        assert!(read.is_ok(), "{what}: the connection stays");
        link.client().ping(0).await.expect(what);
        opened.session.offer(1, &[]).await.expect(what);
        let (other, _) = open_next(&shared, address).await;
        other.client().ping(0).await.expect(what);
    }
    server.abort();
}

/// Opens a session with a number above all before.
async fn open_next(shared: &Rc<Shared>, address: SocketAddr) -> (PeerLink, OpenedSession) {
    thread_local! {
        static NEXT: Cell<u64> = const { Cell::new(100) };
    }
    let session = NEXT.with(|next| next.replace(next.get() + 1));
    open(shared, address, session).await
}

// What the entry sees: its call is lost, and the connection is told to be closed, once.
// What happens: the dispatcher's process ends while it has an offer that it did not answer.
// Why: the task may have started, so the entry has to learn that nothing more will come.
#[actix_rt::test]
async fn a_connection_that_ends_during_a_call_gives_lost() {
    let shared = Shared::new();
    shared.answers.borrow_mut().silent = true;
    let (address, server) = fakes::serve(&shared).await;
    let closed = Rc::new(Cell::new(0));
    let count = closed.clone();
    let link = peer::connect(address, move || count.set(count.get() + 1));
    let link = link.await.expect("a connection");
    let opened = try_open(&shared, &link, 1).await.expect("a session");
    let offered = opened.session.offer(1, &[offer(1, Payload::default())]);
    wait_for(|| shared.seen.borrow().len() == 2).await;
    server.abort();
    let lost = timeout(LIMIT, offered).await.expect("an answer in time");
    assert!(matches!(lost, Err(PeerError::Lost(_))), "{lost:?}");
    wait_for(|| closed.get() > 0).await;
    let after = timeout(LIMIT, opened.session.offer(2, &[])).await;
    let after = after.expect("an answer in time");
    assert!(matches!(after, Err(PeerError::Lost(_))), "{after:?}");
    assert_eq!(closed.get(), 1);
}

#[actix_rt::test]
async fn a_port_without_listener_gives_refused() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let refused = peer::connect(address, || {}).await;
    assert_eq!(refused.err(), Some(PeerError::Refused));
}

// What the entry sees: the connect times out, which is neither refused nor lost.
// What happens: the peer's system drops what comes, as behind a cut path; here its queue of connections is full.
// Why: only "refused" tells that the process is gone, so a cut path must not look like it.
#[actix_rt::test]
async fn a_port_that_drops_connects_times_out() {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any).expect("a port");
    let listener = socket.listen(1).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut waiting = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(200), TcpStream::connect(address)).await {
        waiting.push(stream.expect("a place in the queue"));
    }
    let timed_out = peer::connect(address, || {}).await;
    assert_eq!(timed_out.err(), Some(PeerError::TimedOut));
}

// What the entry sees: no answer, for as long as it cares to wait, and no error either; its own limit ends it.
// What happens: the peer's process is frozen: its system accepts the connection and nobody reads it.
// Why: silence tells nothing of what the peer did, so it must not look like a refusal or a lost connection.
#[actix_rt::test]
async fn a_silent_peer_leaves_the_call_open() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let shared = Shared::new();
    let link = peer::connect(address, || {}).await.expect("a connection");
    let port = peer::entry_port(FakeEntry(shared));
    let opened = link.client().open(port, IncarnationId(1), SessionId(1));
    let answer = timeout(Duration::from_millis(200), opened).await;
    assert!(answer.is_err(), "an answer from nobody");
}

// What the entry sees: the open of the older session fails, the newer session goes on.
// What happens: an open that lay in a socket is read after a later one of the same entry.
// Why: what is offered on the older session was given up; it must not start now.
#[actix_rt::test]
async fn a_stale_session_is_refused_and_the_newer_stays() {
    let shared = Shared::new();
    let (address, server) = fakes::serve(&shared).await;
    let (_link, newer) = open(&shared, address, 5).await;
    let link = peer::connect(address, || {}).await.expect("a connection");
    let stale = try_open(&shared, &link, 4).await.err();
    assert!(matches!(stale, Some(PeerError::Failed(_))), "{stale:?}");
    newer.session.offer(1, &[]).await.expect("the newer one");
    server.abort();
}

// What the dispatcher sees: each withdrawal right after the offer that it takes back.
// What happens: 10,000 offers and withdrawals leave without waiting for answers.
// Why: a withdrawal that overtook its offer would be confirmed as "not run", and the offer would start afterwards.
#[actix_rt::test]
async fn calls_of_a_session_come_in_the_order_of_sending() {
    let shared = Shared::new();
    {
        let mut answers = shared.answers.borrow_mut();
        answers.verdicts = vec![OfferReply::Queued];
        answers.withdrawals = vec![WithdrawalReply::NotRun];
    }
    let (address, server) = fakes::serve(&shared).await;
    let (_link, opened) = open(&shared, address, 1).await;
    let mut rng = fastrand::Rng::with_seed(9);
    let (mut offers, mut withdrawals) = (Vec::new(), Vec::new());
    let mut sent = vec![SeenCall::Opened(IncarnationId(1), SessionId(1))];
    for serial in 1..=10_000 {
        let payload = Payload::from(vec![0; rng.usize(0..2_000)]);
        let offer = offer(serial, payload);
        offers.push(opened.session.offer(serial, std::slice::from_ref(&offer)));
        sent.push(SeenCall::Offers(serial, vec![offer]));
        if rng.bool() {
            let attempts = [attempt(serial)];
            withdrawals.push(opened.session.withdraw(serial, &attempts));
            sent.push(SeenCall::Withdrawals(serial, attempts.to_vec()));
        }
    }
    for answer in offers {
        answer.await.expect("an answer");
    }
    for answer in withdrawals {
        answer.await.expect("an answer");
    }
    assert!(shared.take_seen() == sent, "another order");
    server.abort();
}

// What the caller sees: the whole answer of its job, asked for through another entry.
// What happens: 1000 results of 64 KiB go in one message, in base64.
// Why: over the reader's limit the call would fail each time, and the caller could never have its answer.
#[actix_rt::test]
async fn the_largest_answer_is_passed_on() {
    let shared = Shared::new();
    let (address, server) = fakes::serve(&shared).await;
    let (_link, _opened) = open(&shared, address, 1).await;
    // On the connection of the entry itself the port would be found at home, and nothing sent.
    let link = peer::connect(address, || {}).await.expect("a connection");
    let found = link.client().find(IncarnationId(1)).await.expect("find");
    let entry = found.expect("an entry");
    let largest = ForwardedAnswer {
        status: 200,
        json: vec![b'A'; 1_000 * 64 * 1024 * 4 / 3 + 100_000],
    };
    shared.answers.borrow_mut().forwarded = Some(largest.clone());
    let passed = timeout(LIMIT, entry.outcome(1)).await;
    let passed = passed.expect("an answer in time");
    assert!(passed == Ok(Some(largest)), "cut or refused");
    server.abort();
}

// What the entry sees: verdicts for a batch as large as any job, and for one that is larger.
// What happens: a session opens while jobs of the largest payloads wait; they leave together.
// Why: over the reader's limit the call fails, the session is given up, and the same batch fails on the next one.
#[actix_rt::test]
async fn large_batches_pass() {
    let shared = Shared::new();
    let (address, server) = fakes::serve(&shared).await;
    let (_link, opened) = open(&shared, address, 1).await;
    let payload = Payload::from(vec![7; 64 * 1024]);
    for tasks in [1, 370, 1_000, 1_100] {
        shared.take_seen();
        let offers: Vec<TaskOffer> = (0..tasks)
            .map(|serial| offer(serial, payload.clone()))
            .collect();
        let answer = timeout(LIMIT, opened.session.offer(1, &offers)).await;
        let answer = answer.expect("an answer in time");
        assert!(answer.is_ok(), "{tasks} tasks: {:?}", answer.err());
        let seen = shared.take_seen();
        assert!(seen == [SeenCall::Offers(1, offers)], "{tasks} tasks");
    }
    server.abort();
}
