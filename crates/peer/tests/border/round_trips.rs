//! Every call carries its arguments and its reply unchanged.

use std::rc::Rc;

use model::{IncarnationId, SessionId};
use peer::{PeerLink, PingReply};
use proptest::{
    collection::vec,
    option,
    prelude::{any, Strategy},
    strategy::ValueTree as _,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use crate::{
    fakes::{self, FakeEntry, FakeState, ReceivedCall},
    values,
};

/// The number of random values that each call is tested with.
const ROUNDS: u64 = 200;

/// A source of random values that is the same in every run.
struct ValueSource(TestRunner);

impl ValueSource {
    fn new() -> Self {
        let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
        Self(TestRunner::new_with_rng(Config::default(), rng))
    }

    fn next<S: Strategy>(&mut self, strategy: S) -> S::Value {
        let tree = strategy.new_tree(&mut self.0).expect("a value");
        tree.current()
    }
}

async fn check_dispatcher_calls(state: &Rc<FakeState>, link: &PeerLink, values: &mut ValueSource) {
    let client = link.client();
    {
        let mut answers = state.answers.borrow_mut();
        answers.view = values.next(values::view());
        answers.slots = values.next(values::slots());
        answers.contracts = values.next(values::contracts_reply());
        answers.centre = values.next(option::of(values::centre()));
        answers.grants = values.next(option::of(values::reply_batch()));
        answers.vms = values.next(vec(values::vm(), 0..8));
    }
    let view = values.next(values::view());
    // The reply does not carry `since`: the client fills in the value that it requested.
    let since = state.answers.borrow().contracts.update.since;
    let message = membership::HeartbeatMessage { view: view.clone() };
    let answer = client.heartbeat(&message).await.expect("beat");
    let (revision, ask, report) = (
        values.next(any::<u64>()),
        values.next(values::ask_batch()),
        values.next(values::report()),
    );
    let ping = client.ping(revision).await.expect("ping");
    let grants = client.grant(&ask).await.expect("grant");
    client.handover(&report).await.expect("handover");
    let contracts = client.contracts(since).await.expect("contracts");
    let vms = client.vms().await.expect("vms");
    let answers = state.answers.borrow();
    assert_eq!(answer.view, answers.view);
    let (dispatcher_view, slots) = (answers.view.clone(), answers.slots);
    assert_eq!(
        ping,
        PingReply {
            view: dispatcher_view,
            slots,
            centre: answers.centre.clone()
        }
    );
    assert_eq!(grants, answers.grants);
    assert_eq!(contracts, answers.contracts);
    assert_eq!(vms, answers.vms);
    let received = [
        ReceivedCall::Beat(view),
        ReceivedCall::Ping(revision),
        ReceivedCall::Grant(ask),
        ReceivedCall::Handover(report),
        ReceivedCall::Contracts(since),
    ];
    assert_eq!(state.take_received(), received);
}

async fn check_session_calls(
    state: &Rc<FakeState>,
    link: &PeerLink,
    values: &mut ValueSource,
    session: SessionId,
) {
    let incarnation = IncarnationId(values.next(any::<u64>()));
    let port = peer::entry_port(FakeEntry(state.clone()));
    let opened = link.client().open_session(port, incarnation, session);
    let opened = opened.await.expect("open");
    {
        let mut answers = state.answers.borrow_mut();
        assert_eq!(opened.dispatcher, answers.view.incarnation);
        assert_eq!(opened.slots, answers.slots);
        answers.offer_replies = values.next(vec(values::offer_reply(), 0..8));
        answers.withdrawals = values.next(vec(values::withdrawal(), 0..8));
    }
    let (batch, after) = values.next(any::<(u64, u64)>());
    let offers = values.next(vec(values::offer(), 0..8));
    let attempts = values.next(vec(values::attempt(), 0..8));
    let offered = opened.session.offer(batch, &offers).await.expect("offer");
    let withdrawn = opened.session.withdraw(after, &attempts);
    let withdrawn = withdrawn.await.expect("withdraw");
    let answers = state.answers.borrow();
    assert_eq!(offered, (answers.offer_replies.clone(), answers.slots));
    assert_eq!(withdrawn, (answers.withdrawals.clone(), answers.slots));
    let received = [
        ReceivedCall::Opened(incarnation, session),
        ReceivedCall::Offers(batch, offers),
        ReceivedCall::Withdrawals(after, attempts),
    ];
    assert_eq!(state.take_received(), received);
}

/// Checks the calls to an entry. The port is found over a second connection: on the connection that the entry itself
/// opened, capnp-rpc would resolve the port locally and send nothing.
async fn check_entry_calls(state: &Rc<FakeState>, link: &PeerLink, values: &mut ValueSource) {
    let found = link
        .client()
        .find_entry(IncarnationId(1))
        .await
        .expect("find");
    let entry = found.expect("an entry");
    {
        let mut answers = state.answers.borrow_mut();
        answers.body = values.next(proptest::option::of(values::payload()));
        answers.forwarded = values.next(proptest::option::of(values::forwarded()));
    }
    let attempt = values.next(values::attempt());
    let ends = values.next(vec(values::end(), 0..8));
    let slots = values.next(values::slots());
    let serial = values.next(any::<u64>());
    let json = values.next(values::bytes());
    let body = entry.claim(attempt).await.expect("claim");
    entry.report_ends(&ends, slots).await.expect("ended");
    entry.report_slots(slots).await.expect("slots");
    let outcome = entry.outcome(serial).await.expect("outcome");
    let run = entry.run(serial, &json).await.expect("run");
    let answers = state.answers.borrow();
    assert_eq!(body, answers.body);
    assert_eq!(outcome, answers.forwarded);
    if answers.forwarded.is_some() {
        assert_eq!(Some(run), answers.forwarded);
    }
    let received = [
        ReceivedCall::Claim(attempt),
        ReceivedCall::Ends(ends, slots),
        ReceivedCall::Slots(slots),
        ReceivedCall::Outcome(serial),
        ReceivedCall::Run(serial, json),
    ];
    assert_eq!(state.take_received(), received);
}

#[actix_rt::test]
async fn every_call_carries_its_values_unchanged() {
    let state = FakeState::new();
    let (address, server) = fakes::serve(&state).await;
    let link = peer::connect(address, || {}).await.expect("a connection");
    let none = link
        .client()
        .find_entry(IncarnationId(1))
        .await
        .expect("find");
    assert!(none.is_none());
    let finder = peer::connect(address, || {}).await.expect("a connection");
    let mut values = ValueSource::new();
    for round in 1..=ROUNDS {
        check_dispatcher_calls(&state, &link, &mut values).await;
        check_session_calls(&state, &link, &mut values, SessionId(round)).await;
        check_entry_calls(&state, &finder, &mut values).await;
    }
    server.abort();
}
