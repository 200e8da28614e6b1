//! Pings, grants and handover reports over a TCP connection.

use std::{cell::RefCell, rc::Rc, time::Duration};

use contracts::HeadNumber;
use membership::{
    AskBatch, CentreView, GrantAsk, GrantDecision, GrantReply, HandoverCount, HandoverReport,
    HeartbeatMessage, HeartbeatReply, MemberView, ReplyBatch,
};
use model::{
    AttemptId, IncarnationId, OfferReply, SessionId, SlotCounts, TaskOffer, VmEntry,
    WithdrawalReply,
};
use peer::{
    AcceptedPort, ContractsReply, DispatcherService, EntryClient, PeerError, PeerLink, PingReply,
    ReplyFuture, SessionService,
};
use tokio::net::TcpListener;

/// The batches and reports that a fake dispatcher received.
#[derive(Default)]
struct ReceivedCalls {
    batches: Vec<AskBatch>,
    reports: Vec<HandoverReport>,
}

/// A dispatcher that only answers the grant request with serial 1.
struct FakeDispatcher(Rc<RefCell<ReceivedCalls>>);

struct NoSession;

fn ready<T: 'static>(answer: T) -> ReplyFuture<T> {
    Box::pin(std::future::ready(Ok(answer)))
}

fn unused<T: 'static>() -> ReplyFuture<T> {
    Box::pin(std::future::ready(Err(PeerError::Failed(
        "unused".to_owned(),
    ))))
}

fn own_view() -> MemberView {
    MemberView {
        address: ([10, 0, 0, 1], 7000).into(),
        data_centre: "dc1".parse().unwrap(),
        incarnation: IncarnationId(4),
        stopping: true,
        head: 9,
    }
}

fn centre() -> CentreView {
    let mut centre = CentreView::default();
    let (one, two) = (([10, 0, 0, 1], 7000).into(), ([10, 0, 0, 2], 7001).into());
    let slots = vec![("dc1".parse().unwrap(), 8), ("dc2".parse().unwrap(), 1)];
    centre.update(vec![one], vec![one, two], slots);
    centre
}

fn reply() -> ReplyBatch {
    let granted = GrantDecision::Granted { count: 3, share: 7 };
    let replies = [("c1", granted), ("c2", GrantDecision::NotHome)];
    let replies = replies.map(|(customer, decision)| GrantReply {
        customer: customer.parse().unwrap(),
        decision,
    });
    ReplyBatch {
        serial: 1,
        term: Duration::from_millis(12_000),
        replies: replies.to_vec(),
    }
}

fn batch(serial: u64) -> AskBatch {
    AskBatch {
        home: ([10, 0, 0, 1], 7000).into(),
        holder: IncarnationId(5),
        holder_address: ([10, 0, 0, 2], 7001).into(),
        serial,
        asks: vec![GrantAsk {
            customer: "c1".parse().unwrap(),
            want: 4,
            held: 3,
            in_use: 2,
        }],
    }
}

impl DispatcherService for FakeDispatcher {
    type Session = NoSession;

    fn open_session(
        &self,
        _: EntryClient,
        _: IncarnationId,
        _: SessionId,
    ) -> ReplyFuture<(NoSession, IncarnationId, SlotCounts)> {
        unused()
    }

    fn find_entry(&self, _: IncarnationId) -> ReplyFuture<Option<EntryClient>> {
        unused()
    }

    fn heartbeat(&self, _: HeartbeatMessage) -> ReplyFuture<HeartbeatReply> {
        unused()
    }

    fn ping(&self, revision: u64) -> ReplyFuture<PingReply> {
        let centre = centre();
        ready(PingReply {
            view: own_view(),
            slots: SlotCounts {
                limit: 3,
                running: 2,
                queued: 1,
            },
            centre: (centre.revision != revision).then_some(centre),
        })
    }

    fn grant(&self, batch: AskBatch) -> ReplyFuture<Option<ReplyBatch>> {
        let first = batch.serial == 1;
        self.0.borrow_mut().batches.push(batch);
        ready(first.then(reply))
    }

    fn handover(&self, report: HandoverReport) -> ReplyFuture<()> {
        self.0.borrow_mut().reports.push(report);
        ready(())
    }

    fn contracts(&self, _: HeadNumber) -> ReplyFuture<ContractsReply> {
        unused()
    }

    fn vms(&self) -> ReplyFuture<Vec<VmEntry>> {
        unused()
    }
}

impl SessionService for NoSession {
    fn offer(&self, _: u64, _: Vec<TaskOffer>) -> ReplyFuture<(Vec<OfferReply>, SlotCounts)> {
        unused()
    }

    fn withdraw(
        &self,
        _: u64,
        _: Vec<AttemptId>,
    ) -> ReplyFuture<(Vec<WithdrawalReply>, SlotCounts)> {
        unused()
    }
}

async fn connect() -> (PeerLink, Rc<RefCell<ReceivedCalls>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let received = Rc::<RefCell<ReceivedCalls>>::default();
    let service = received.clone();
    actix_rt::spawn(peer::serve(listener, move || AcceptedPort {
        port: peer::dispatcher_port(FakeDispatcher(service.clone())),
        on_closed: Box::new(|| {}),
    }));
    (peer::connect(address, || {}).await.unwrap(), received)
}

#[actix_rt::test]
async fn a_ping_returns_the_centre_view_only_if_it_has_changed() {
    let (link, _) = connect().await;
    let first = link.client().ping(0).await.unwrap();
    assert_eq!(first.view, own_view());
    assert_eq!(first.centre, Some(centre()));
    let second = link.client().ping(centre().revision).await.unwrap();
    assert_eq!(second.centre, None);
    assert_eq!(second.slots, first.slots);
}

#[actix_rt::test]
async fn grant_requests_and_replies_arrive_as_sent() {
    let (link, received) = connect().await;
    assert_eq!(link.client().grant(&batch(1)).await.unwrap(), Some(reply()));
    assert_eq!(link.client().grant(&batch(2)).await.unwrap(), None);
    assert_eq!(received.borrow().batches, [batch(1), batch(2)]);
}

#[actix_rt::test]
async fn a_handover_report_arrives_as_sent() {
    let (link, received) = connect().await;
    let report = HandoverReport {
        from: ([10, 0, 0, 1], 7000).into(),
        incarnation: IncarnationId(4),
        serial: 2,
        counts: vec![HandoverCount {
            endpoint: "e1".parse().unwrap(),
            time_left: vec![Duration::from_millis(20), Duration::ZERO],
        }],
    };
    link.client().handover(&report).await.unwrap();
    assert_eq!(received.borrow().reports, [report]);
}
