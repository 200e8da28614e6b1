//! Fake services for both ends of a loopback connection. They record received calls and return the answers set by the
//! test.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::task::JoinHandle;
use contracts::HeadNumber;
use membership::{
    AskBatch, CentreView, HandoverReport, HeartbeatMessage, HeartbeatReply, MemberView, ReplyBatch,
};
use model::{
    AttemptEnd, AttemptId, IncarnationId, OfferReply, Payload, SessionId, SlotCounts, TaskOffer,
    VmEntry, WithdrawalReply,
};
use peer::{
    AcceptedPort, ContractsReply, DispatcherService, EntryClient, EntryService, ForwardedAnswer,
    PeerError, PingReply, ReplyFuture, SessionService,
};
use tokio::net::TcpListener;

/// A received call with its arguments.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ReceivedCall {
    Opened(IncarnationId, SessionId),
    Beat(MemberView),
    Ping(u64),
    Grant(AskBatch),
    Handover(HandoverReport),
    Contracts(HeadNumber),
    Offers(u64, Vec<TaskOffer>),
    Withdrawals(u64, Vec<AttemptId>),
    Claim(AttemptId),
    Ends(Vec<(AttemptId, AttemptEnd, Duration)>, SlotCounts),
    Slots(SlotCounts),
    Outcome(u64),
    Run(u64, Vec<u8>),
}

/// The answers that the fakes return.
pub(crate) struct Answers {
    pub(crate) view: MemberView,
    pub(crate) slots: SlotCounts,
    pub(crate) offer_replies: Vec<OfferReply>,
    pub(crate) withdrawals: Vec<WithdrawalReply>,
    pub(crate) contracts: ContractsReply,
    pub(crate) centre: Option<CentreView>,
    pub(crate) grants: Option<ReplyBatch>,
    pub(crate) vms: Vec<VmEntry>,
    pub(crate) body: Option<Payload>,
    pub(crate) forwarded: Option<ForwardedAnswer>,
    /// Whether offers are never answered.
    pub(crate) silent: bool,
}

/// The state that the fakes share with the test.
pub(crate) struct FakeState {
    pub(crate) received: RefCell<Vec<ReceivedCall>>,
    pub(crate) answers: RefCell<Answers>,
    pub(crate) entry: RefCell<Option<EntryClient>>,
    latest: RefCell<Option<SessionId>>,
}

impl FakeState {
    pub(crate) fn new() -> Rc<Self> {
        let answers = Answers {
            view: MemberView {
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                data_centre: "hall".parse().expect("an id"),
                incarnation: IncarnationId(1),
                stopping: false,
                head: 0,
            },
            slots: SlotCounts::default(),
            offer_replies: Vec::new(),
            withdrawals: Vec::new(),
            contracts: ContractsReply::default(),
            centre: None,
            grants: None,
            vms: Vec::new(),
            body: None,
            forwarded: None,
            silent: false,
        };
        Rc::new(Self {
            received: RefCell::default(),
            answers: RefCell::new(answers),
            entry: RefCell::default(),
            latest: RefCell::default(),
        })
    }

    pub(crate) fn take_received(&self) -> Vec<ReceivedCall> {
        self.received.take()
    }

    fn record(&self, call: ReceivedCall) {
        self.received.borrow_mut().push(call);
    }
}

/// Serves fake dispatchers on a free port until the returned task is aborted.
pub(crate) async fn serve(state: &Rc<FakeState>) -> (SocketAddr, JoinHandle<()>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let state = state.clone();
    let server = actix_rt::spawn(peer::serve(listener, move || AcceptedPort {
        port: peer::dispatcher_port(FakeDispatcher(state.clone())),
        on_closed: Box::new(|| {}),
    }));
    (address, server)
}

fn ready<T: 'static>(value: T) -> ReplyFuture<T> {
    Box::pin(std::future::ready(Ok(value)))
}

struct FakeDispatcher(Rc<FakeState>);

impl DispatcherService for FakeDispatcher {
    type Session = FakeSession;

    fn open_session(
        &self,
        entry: EntryClient,
        incarnation: IncarnationId,
        session: SessionId,
    ) -> ReplyFuture<(FakeSession, IncarnationId, SlotCounts)> {
        self.0.record(ReceivedCall::Opened(incarnation, session));
        let mut latest = self.0.latest.borrow_mut();
        if latest.is_some_and(|latest| latest >= session) {
            let stale = PeerError::Failed("stale session".to_owned());
            return Box::pin(std::future::ready(Err(stale)));
        }
        *latest = Some(session);
        *self.0.entry.borrow_mut() = Some(entry);
        let answers = self.0.answers.borrow();
        let session = FakeSession(self.0.clone());
        ready((session, answers.view.incarnation, answers.slots))
    }

    fn find_entry(&self, _: IncarnationId) -> ReplyFuture<Option<EntryClient>> {
        ready(self.0.entry.borrow().clone())
    }

    fn heartbeat(&self, message: HeartbeatMessage) -> ReplyFuture<HeartbeatReply> {
        self.0.record(ReceivedCall::Beat(message.view));
        let view = self.0.answers.borrow().view.clone();
        ready(HeartbeatReply { view })
    }

    fn ping(&self, revision: u64) -> ReplyFuture<PingReply> {
        self.0.record(ReceivedCall::Ping(revision));
        let answers = self.0.answers.borrow();
        let (view, slots) = (answers.view.clone(), answers.slots);
        ready(PingReply {
            view,
            slots,
            centre: answers.centre.clone(),
        })
    }

    fn grant(&self, batch: AskBatch) -> ReplyFuture<Option<ReplyBatch>> {
        self.0.record(ReceivedCall::Grant(batch));
        ready(self.0.answers.borrow().grants.clone())
    }

    fn handover(&self, report: HandoverReport) -> ReplyFuture<()> {
        self.0.record(ReceivedCall::Handover(report));
        ready(())
    }

    fn contracts(&self, since: HeadNumber) -> ReplyFuture<ContractsReply> {
        self.0.record(ReceivedCall::Contracts(since));
        ready(self.0.answers.borrow().contracts.clone())
    }

    fn vms(&self) -> ReplyFuture<Vec<VmEntry>> {
        ready(self.0.answers.borrow().vms.clone())
    }
}

pub(crate) struct FakeSession(Rc<FakeState>);

impl SessionService for FakeSession {
    fn offer(
        &self,
        batch: u64,
        offers: Vec<TaskOffer>,
    ) -> ReplyFuture<(Vec<OfferReply>, SlotCounts)> {
        self.0.record(ReceivedCall::Offers(batch, offers));
        let answers = self.0.answers.borrow();
        if answers.silent {
            return Box::pin(std::future::pending());
        }
        ready((answers.offer_replies.clone(), answers.slots))
    }

    fn withdraw(
        &self,
        after_batch: u64,
        attempts: Vec<AttemptId>,
    ) -> ReplyFuture<(Vec<WithdrawalReply>, SlotCounts)> {
        self.0
            .record(ReceivedCall::Withdrawals(after_batch, attempts));
        let answers = self.0.answers.borrow();
        ready((answers.withdrawals.clone(), answers.slots))
    }
}

pub(crate) struct FakeEntry(pub(crate) Rc<FakeState>);

impl EntryService for FakeEntry {
    fn claim(&self, attempt: AttemptId) -> ReplyFuture<Option<Payload>> {
        self.0.record(ReceivedCall::Claim(attempt));
        ready(self.0.answers.borrow().body.clone())
    }

    fn report_ends(
        &self,
        ends: Vec<(AttemptId, AttemptEnd, Duration)>,
        slots: SlotCounts,
    ) -> ReplyFuture<()> {
        self.0.record(ReceivedCall::Ends(ends, slots));
        ready(())
    }

    fn report_slots(&self, slots: SlotCounts) -> ReplyFuture<()> {
        self.0.record(ReceivedCall::Slots(slots));
        ready(())
    }

    fn outcome(&self, serial: u64) -> ReplyFuture<Option<ForwardedAnswer>> {
        self.0.record(ReceivedCall::Outcome(serial));
        ready(self.0.answers.borrow().forwarded.clone())
    }

    fn run(&self, serial: u64, json: Vec<u8>) -> ReplyFuture<ForwardedAnswer> {
        self.0.record(ReceivedCall::Run(serial, json));
        let forwarded = self.0.answers.borrow().forwarded.clone();
        ready(forwarded.unwrap_or(ForwardedAnswer {
            status: 0,
            json: Vec::new(),
        }))
    }
}
