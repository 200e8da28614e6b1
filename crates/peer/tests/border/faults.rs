//! The errors that a client sees when the peer process, the connection or the received bytes are faulty.

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

use crate::fakes::{self, FakeEntry, FakeState, ReceivedCall};

/// Timeout of each step. It is far longer than any step takes, so only a hang reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

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

async fn open(
    state: &Rc<FakeState>,
    address: SocketAddr,
    session: u64,
) -> (PeerLink, OpenedSession) {
    let link = peer::connect(address, || {}).await.expect("a connection");
    let opened = try_open(state, &link, session).await.expect("a session");
    (link, opened)
}

async fn try_open(
    state: &Rc<FakeState>,
    link: &PeerLink,
    session: u64,
) -> Result<OpenedSession, PeerError> {
    let port = peer::entry_port(FakeEntry(state.clone()));
    let opened = link
        .client()
        .open_session(port, IncarnationId(1), SessionId(session));
    timeout(TEST_TIMEOUT, opened)
        .await
        .expect("an answer in time")
}

async fn wait_for(holds: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "the condition never held");
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
}

// A client that speaks another protocol, or sends garbage, connects to the peer port. The entry's session must keep
// working: a port scan or an HTTP probe of the wrong port must not end all sessions of a VM.
#[actix_rt::test]
async fn garbage_closes_only_its_own_connection() {
    let state = FakeState::new();
    let (address, server) = fakes::serve(&state).await;
    let (link, opened) = open(&state, address, 1).await;
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
    for (case, bytes) in table {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        // The server may close the connection before it has read everything.
        let _closed = stream.write_all(bytes).await;
        let _closed = stream.shutdown().await;
        let mut rest = Vec::new();
        let read = timeout(TEST_TIMEOUT, stream.read_to_end(&mut rest)).await;
        assert!(read.is_ok(), "{case}: the connection stays");
        link.client().ping(0).await.expect(case);
        opened.session.offer(1, &[]).await.expect(case);
        let (other, _) = open_next(&state, address).await;
        other.client().ping(0).await.expect(case);
    }
    server.abort();
}

/// Opens a session with a higher number than all earlier ones.
async fn open_next(state: &Rc<FakeState>, address: SocketAddr) -> (PeerLink, OpenedSession) {
    thread_local! {
        static NEXT: Cell<u64> = const { Cell::new(100) };
    }
    let session = NEXT.with(|next| next.replace(next.get() + 1));
    open(state, address, session).await
}

// The dispatcher's process ends with an unanswered offer. The call must fail as lost and the connection be reported as
// closed exactly once: the task may have started, so the entry has to learn that no answer will follow.
#[actix_rt::test]
async fn a_connection_that_ends_during_a_call_is_reported_as_lost() {
    let state = FakeState::new();
    state.answers.borrow_mut().silent = true;
    let (address, server) = fakes::serve(&state).await;
    let closed = Rc::new(Cell::new(0));
    let count = closed.clone();
    let link = peer::connect(address, move || count.set(count.get() + 1));
    let link = link.await.expect("a connection");
    let opened = try_open(&state, &link, 1).await.expect("a session");
    let offered = opened.session.offer(1, &[offer(1, Payload::default())]);
    wait_for(|| state.received.borrow().len() == 2).await;
    server.abort();
    let lost = timeout(TEST_TIMEOUT, offered)
        .await
        .expect("an answer in time");
    assert!(matches!(lost, Err(PeerError::Lost(_))), "{lost:?}");
    wait_for(|| closed.get() > 0).await;
    let after = timeout(TEST_TIMEOUT, opened.session.offer(2, &[])).await;
    let after = after.expect("an answer in time");
    assert!(matches!(after, Err(PeerError::Lost(_))), "{after:?}");
    assert_eq!(closed.get(), 1);
}

#[actix_rt::test]
async fn a_port_without_listener_is_reported_as_refused() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let refused = peer::connect(address, || {}).await;
    assert_eq!(refused.err(), Some(PeerError::Refused));
}

// The peer's system drops connection attempts, as on an interrupted network path; here its accept queue is full. The
// connect must time out and be reported neither as refused nor as lost, since only "refused" proves that the process
// has ended.
#[actix_rt::test]
async fn a_port_that_drops_connection_attempts_times_out() {
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

// The peer's process is frozen: its system accepts the connection, but the process never reads from it. The call must
// stay open, without answer or error, until the entry's own timeout ends it: silence does not show what the peer did,
// so the call must not fail as refused or lost.
#[actix_rt::test]
async fn a_silent_peer_leaves_the_call_open() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let state = FakeState::new();
    let link = peer::connect(address, || {}).await.expect("a connection");
    let port = peer::entry_port(FakeEntry(state));
    let opened = link
        .client()
        .open_session(port, IncarnationId(1), SessionId(1));
    let answer = timeout(Duration::from_millis(200), opened).await;
    assert!(answer.is_err(), "an answer from nobody");
}

// A call that opens a session is delayed in a socket and read after a later one of the same entry. The older session
// must be refused and the newer one keep working: the entry has given up the tasks offered on the older session, so
// they must not start any more.
#[actix_rt::test]
async fn a_stale_session_is_refused_and_the_newer_one_stays_open() {
    let state = FakeState::new();
    let (address, server) = fakes::serve(&state).await;
    let (_link, newer) = open(&state, address, 5).await;
    let link = peer::connect(address, || {}).await.expect("a connection");
    let stale = try_open(&state, &link, 4).await.err();
    assert!(matches!(stale, Some(PeerError::Failed(_))), "{stale:?}");
    newer.session.offer(1, &[]).await.expect("the newer one");
    server.abort();
}

// 10,000 offers, many with a withdrawal, are sent without waiting for answers. Each withdrawal must arrive right after
// its offer: if it overtook the offer, it would be confirmed as "not run", and the offer would start afterwards.
#[actix_rt::test]
async fn calls_of_a_session_arrive_in_the_order_sent() {
    let state = FakeState::new();
    {
        let mut answers = state.answers.borrow_mut();
        answers.offer_replies = vec![OfferReply::Queued];
        answers.withdrawals = vec![WithdrawalReply::NotRun];
    }
    let (address, server) = fakes::serve(&state).await;
    let (_link, opened) = open(&state, address, 1).await;
    let mut rng = fastrand::Rng::with_seed(9);
    let (mut offers, mut withdrawals) = (Vec::new(), Vec::new());
    let mut sent = vec![ReceivedCall::Opened(IncarnationId(1), SessionId(1))];
    for serial in 1..=10_000 {
        let payload = Payload::from(vec![0; rng.usize(0..2_000)]);
        let offer = offer(serial, payload);
        offers.push(opened.session.offer(serial, std::slice::from_ref(&offer)));
        sent.push(ReceivedCall::Offers(serial, vec![offer]));
        if rng.bool() {
            let attempts = [attempt(serial)];
            withdrawals.push(opened.session.withdraw(serial, &attempts));
            sent.push(ReceivedCall::Withdrawals(serial, attempts.to_vec()));
        }
    }
    for answer in offers {
        answer.await.expect("an answer");
    }
    for answer in withdrawals {
        answer.await.expect("an answer");
    }
    assert!(state.take_received() == sent, "another order");
    server.abort();
}

// A caller requests the answer of its job through another entry: 1000 results of 64 KiB in one message, in base64. The
// whole answer must arrive: beyond the reader's size limit every such call would fail, and the caller could never get
// its answer.
#[actix_rt::test]
async fn the_largest_answer_is_forwarded() {
    let state = FakeState::new();
    let (address, server) = fakes::serve(&state).await;
    let (_link, _opened) = open(&state, address, 1).await;
    // On the connection that the entry itself opened, capnp-rpc would resolve the port locally and send nothing.
    let link = peer::connect(address, || {}).await.expect("a connection");
    let found = link
        .client()
        .find_entry(IncarnationId(1))
        .await
        .expect("find");
    let entry = found.expect("an entry");
    let largest = ForwardedAnswer {
        status: 200,
        json: vec![b'A'; 1_000 * 64 * 1024 * 4 / 3 + 100_000],
    };
    state.answers.borrow_mut().forwarded = Some(largest.clone());
    let passed = timeout(TEST_TIMEOUT, entry.outcome(1)).await;
    let passed = passed.expect("an answer in time");
    assert!(passed == Ok(Some(largest)), "cut or refused");
    server.abort();
}

// A session opens while jobs with the largest payloads wait, so all their tasks are offered in one batch. Batches as
// large as the largest job, and one that is larger, must be answered: beyond the reader's size limit the call would
// fail, the session be given up, and the same batch fail again on the next session.
#[actix_rt::test]
async fn large_batches_are_answered() {
    let state = FakeState::new();
    let (address, server) = fakes::serve(&state).await;
    let (_link, opened) = open(&state, address, 1).await;
    let payload = Payload::from(vec![7; 64 * 1024]);
    for tasks in [1, 370, 1_000, 1_100] {
        state.take_received();
        let offers: Vec<TaskOffer> = (0..tasks)
            .map(|serial| offer(serial, payload.clone()))
            .collect();
        let answer = timeout(TEST_TIMEOUT, opened.session.offer(1, &offers)).await;
        let answer = answer.expect("an answer in time");
        assert!(answer.is_ok(), "{tasks} tasks: {:?}", answer.err());
        let received = state.take_received();
        assert!(
            received == [ReceivedCall::Offers(1, offers)],
            "{tasks} tasks"
        );
    }
    server.abort();
}
