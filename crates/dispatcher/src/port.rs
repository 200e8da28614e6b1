//! The peer port: converts calls from entries and dispatchers into messages to the control actor.

use std::{cell::Cell, rc::Rc};

use actix::{Addr, Handler};
use contracts::HeadNumber;
use membership::{AskBatch, HandoverReport, HeartbeatMessage, HeartbeatReply, ReplyBatch};
use model::{
    AttemptId, IncarnationId, OfferReply, SessionId, SlotCounts, TaskOffer, VmEntry,
    WithdrawalReply,
};
use peer::{
    AcceptedPort, ContractsReply, DispatcherService, EntryClient, PeerError, PingReply,
    ReplyFuture, SessionService,
};
use tokio::sync::oneshot;

use crate::{
    control::{
        ContractRequest, GrantRequest, HandoverRequest, HeartbeatRequest, OfferRequest,
        PingRequest, SessionClosed, SessionRequest, VmListRequest, WithdrawalRequest,
    },
    entry_directory::EntryDirectory,
    DispatcherControl,
};

/// The port of one connection.
struct ConnectionPort {
    control: Addr<DispatcherControl>,
    entries: EntryDirectory,
    session: Rc<Cell<Option<(IncarnationId, SessionId)>>>,
}

/// Creates the port of a new connection. Its session ends with the connection and not with the port object, because the
/// RPC library may keep the object of a broken connection alive.
pub(crate) fn accept(control: Addr<DispatcherControl>, entries: EntryDirectory) -> AcceptedPort {
    let session = Rc::<Cell<Option<_>>>::default();
    let opened = session.clone();
    let closing = control.clone();
    let port = peer::dispatcher_port(ConnectionPort {
        control,
        entries,
        session,
    });
    let on_closed = Box::new(move || {
        if let Some((entry, session)) = opened.get() {
            closing.do_send(SessionClosed { entry, session });
        }
    });
    AcceptedPort { port, on_closed }
}

/// The port of the session on a connection.
pub(crate) struct SessionPort {
    control: Addr<DispatcherControl>,
    entry: IncarnationId,
    session: SessionId,
}

impl DispatcherService for ConnectionPort {
    type Session = SessionPort;

    fn open_session(
        &self,
        client: EntryClient,
        entry: IncarnationId,
        session: SessionId,
    ) -> ReplyFuture<(SessionPort, IncarnationId, SlotCounts)> {
        let control = self.control.clone();
        self.session.set(Some((entry, session)));
        self.entries.register(entry, session, client);
        let answer = ask(&control, |reply| SessionRequest {
            entry,
            session,
            reply,
        });
        Box::pin(async move {
            let (dispatcher, slots) = answer.await?;
            Ok((
                SessionPort {
                    control,
                    entry,
                    session,
                },
                dispatcher,
                slots,
            ))
        })
    }

    fn find_entry(&self, entry: IncarnationId) -> ReplyFuture<Option<EntryClient>> {
        let client = self.entries.find(entry);
        Box::pin(std::future::ready(Ok(client)))
    }

    fn heartbeat(&self, message: HeartbeatMessage) -> ReplyFuture<HeartbeatReply> {
        ask(&self.control, |reply| HeartbeatRequest { message, reply })
    }

    fn ping(&self, revision: u64) -> ReplyFuture<PingReply> {
        let session = self.session.get();
        ask(&self.control, |reply| PingRequest {
            session,
            revision,
            reply,
        })
    }

    fn grant(&self, batch: AskBatch) -> ReplyFuture<Option<ReplyBatch>> {
        ask(&self.control, |reply| GrantRequest { batch, reply })
    }

    fn handover(&self, report: HandoverReport) -> ReplyFuture<()> {
        ask(&self.control, |reply| HandoverRequest { report, reply })
    }

    fn vms(&self) -> ReplyFuture<Vec<VmEntry>> {
        ask(&self.control, |reply| VmListRequest { reply })
    }

    fn contracts(&self, since: HeadNumber) -> ReplyFuture<ContractsReply> {
        ask(&self.control, |reply| ContractRequest { since, reply })
    }
}

impl SessionService for SessionPort {
    fn offer(
        &self,
        batch: u64,
        offers: Vec<TaskOffer>,
    ) -> ReplyFuture<(Vec<OfferReply>, SlotCounts)> {
        let (entry, session) = (self.entry, self.session);
        ask(&self.control, |reply| OfferRequest {
            entry,
            session,
            batch,
            offers,
            reply,
        })
    }

    fn withdraw(
        &self,
        after_batch: u64,
        attempts: Vec<AttemptId>,
    ) -> ReplyFuture<(Vec<WithdrawalReply>, SlotCounts)> {
        let (entry, session) = (self.entry, self.session);
        ask(&self.control, |reply| WithdrawalRequest {
            entry,
            session,
            after_batch,
            attempts,
            reply,
        })
    }
}

/// Sends a message immediately and returns a future of its answer. With `send` instead of `do_send`, a full mailbox
/// could put the message behind later ones, and a withdrawal could be handled before the offer it withdraws.
fn ask<M, T>(
    control: &Addr<DispatcherControl>,
    make: impl FnOnce(oneshot::Sender<Result<T, PeerError>>) -> M,
) -> ReplyFuture<T>
where
    M: actix::Message<Result = ()> + Send + 'static,
    DispatcherControl: Handler<M>,
    T: 'static,
{
    let (reply, answer) = oneshot::channel();
    control.do_send(make(reply));
    Box::pin(async move { answer.await.unwrap_or(Err(PeerError::TimedOut)) })
}
