//! Small services at both ends of a loopback connection: they note what they get and give what they are told to.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::task::JoinHandle;
use contracts::HeadNumber;
use membership::{
    AskBatch, BeatMessage, BeatReply, CentreView, HandoverReport, MemberView, ReplyBatch,
};
use model::{
    AttemptEnd, AttemptId, IncarnationId, OfferReply, Payload, SessionId, SlotCounts, TaskOffer,
    VmEntry, WithdrawalReply,
};
use peer::{
    AcceptedPort, ContractNews, DispatcherService, EntryClient, EntryService, ForwardedAnswer,
    PeerError, PingReply, ReplyFuture, SessionService,
};
use tokio::net::TcpListener;

/// What a side was called with, in order.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum SeenCall {
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

/// What both sides answer.
pub(crate) struct Answers {
    pub(crate) view: MemberView,
    pub(crate) slots: SlotCounts,
    pub(crate) verdicts: Vec<OfferReply>,
    pub(crate) withdrawals: Vec<WithdrawalReply>,
    pub(crate) news: ContractNews,
    pub(crate) centre: Option<CentreView>,
    pub(crate) grants: Option<ReplyBatch>,
    pub(crate) vms: Vec<VmEntry>,
    pub(crate) body: Option<Payload>,
    pub(crate) forwarded: Option<ForwardedAnswer>,
    /// Offers get no answer at all.
    pub(crate) silent: bool,
}

/// What the two ends share with the test.
pub(crate) struct Shared {
    pub(crate) seen: RefCell<Vec<SeenCall>>,
    pub(crate) answers: RefCell<Answers>,
    pub(crate) entry: RefCell<Option<EntryClient>>,
    latest: RefCell<Option<SessionId>>,
}

impl Shared {
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
            verdicts: Vec::new(),
            withdrawals: Vec::new(),
            news: ContractNews::default(),
            centre: None,
            grants: None,
            vms: Vec::new(),
            body: None,
            forwarded: None,
            silent: false,
        };
        Rc::new(Self {
            seen: RefCell::default(),
            answers: RefCell::new(answers),
            entry: RefCell::default(),
            latest: RefCell::default(),
        })
    }

    pub(crate) fn take_seen(&self) -> Vec<SeenCall> {
        self.seen.take()
    }

    fn see(&self, call: SeenCall) {
        self.seen.borrow_mut().push(call);
    }
}

/// Serves fake dispatchers on a port of the system's choice until the handle is aborted.
pub(crate) async fn serve(shared: &Rc<Shared>) -> (SocketAddr, JoinHandle<()>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let shared = shared.clone();
    let server = actix_rt::spawn(peer::serve(listener, move || AcceptedPort {
        port: peer::dispatcher_port(FakeDispatcher(shared.clone())),
        on_closed: Box::new(|| {}),
    }));
    (address, server)
}

fn ready<T: 'static>(value: T) -> ReplyFuture<T> {
    Box::pin(std::future::ready(Ok(value)))
}

struct FakeDispatcher(Rc<Shared>);

impl DispatcherService for FakeDispatcher {
    type Session = FakeSession;

    fn open(
        &self,
        entry: EntryClient,
        incarnation: IncarnationId,
        session: SessionId,
    ) -> ReplyFuture<(FakeSession, IncarnationId, SlotCounts)> {
        self.0.see(SeenCall::Opened(incarnation, session));
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

    fn find(&self, _: IncarnationId) -> ReplyFuture<Option<EntryClient>> {
        ready(self.0.entry.borrow().clone())
    }

    fn beat(&self, message: BeatMessage) -> ReplyFuture<BeatReply> {
        self.0.see(SeenCall::Beat(message.view));
        let view = self.0.answers.borrow().view.clone();
        ready(BeatReply { view })
    }

    fn ping(&self, revision: u64) -> ReplyFuture<PingReply> {
        self.0.see(SeenCall::Ping(revision));
        let answers = self.0.answers.borrow();
        let (view, slots) = (answers.view.clone(), answers.slots);
        ready(PingReply {
            view,
            slots,
            centre: answers.centre.clone(),
        })
    }

    fn grant(&self, batch: AskBatch) -> ReplyFuture<Option<ReplyBatch>> {
        self.0.see(SeenCall::Grant(batch));
        ready(self.0.answers.borrow().grants.clone())
    }

    fn handover(&self, report: HandoverReport) -> ReplyFuture<()> {
        self.0.see(SeenCall::Handover(report));
        ready(())
    }

    fn contracts(&self, since: HeadNumber) -> ReplyFuture<ContractNews> {
        self.0.see(SeenCall::Contracts(since));
        ready(self.0.answers.borrow().news.clone())
    }

    fn vms(&self) -> ReplyFuture<Vec<VmEntry>> {
        ready(self.0.answers.borrow().vms.clone())
    }
}

pub(crate) struct FakeSession(Rc<Shared>);

impl SessionService for FakeSession {
    fn offer(
        &self,
        batch: u64,
        offers: Vec<TaskOffer>,
    ) -> ReplyFuture<(Vec<OfferReply>, SlotCounts)> {
        self.0.see(SeenCall::Offers(batch, offers));
        let answers = self.0.answers.borrow();
        if answers.silent {
            return Box::pin(std::future::pending());
        }
        ready((answers.verdicts.clone(), answers.slots))
    }

    fn withdraw(
        &self,
        after_batch: u64,
        attempts: Vec<AttemptId>,
    ) -> ReplyFuture<(Vec<WithdrawalReply>, SlotCounts)> {
        self.0.see(SeenCall::Withdrawals(after_batch, attempts));
        let answers = self.0.answers.borrow();
        ready((answers.withdrawals.clone(), answers.slots))
    }
}

pub(crate) struct FakeEntry(pub(crate) Rc<Shared>);

impl EntryService for FakeEntry {
    fn claim(&self, attempt: AttemptId) -> ReplyFuture<Option<Payload>> {
        self.0.see(SeenCall::Claim(attempt));
        ready(self.0.answers.borrow().body.clone())
    }

    fn ended(
        &self,
        ends: Vec<(AttemptId, AttemptEnd, Duration)>,
        slots: SlotCounts,
    ) -> ReplyFuture<()> {
        self.0.see(SeenCall::Ends(ends, slots));
        ready(())
    }

    fn slots(&self, slots: SlotCounts) -> ReplyFuture<()> {
        self.0.see(SeenCall::Slots(slots));
        ready(())
    }

    fn outcome(&self, serial: u64) -> ReplyFuture<Option<ForwardedAnswer>> {
        self.0.see(SeenCall::Outcome(serial));
        ready(self.0.answers.borrow().forwarded.clone())
    }

    fn run(&self, serial: u64, json: Vec<u8>) -> ReplyFuture<ForwardedAnswer> {
        self.0.see(SeenCall::Run(serial, json));
        let forwarded = self.0.answers.borrow().forwarded.clone();
        ready(forwarded.unwrap_or(ForwardedAnswer {
            status: 0,
            json: Vec::new(),
        }))
    }
}
