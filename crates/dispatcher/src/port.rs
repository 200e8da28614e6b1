//! The peer port: turns calls of entries and dispatchers into messages to the control actor.

use std::{cell::Cell, rc::Rc};

use actix::{Addr, Handler};
use contracts::HeadNumber;
use membership::{AskBatch, BeatMessage, BeatReply, HandoverReport, ReplyBatch};
use model::{
    AttemptId, IncarnationId, OfferReply, SessionId, SlotCounts, TaskOffer, VmEntry,
    WithdrawalReply,
};
use peer::{
    AcceptedPort, ContractNews, DispatcherService, EntryClient, PeerError, PingReply, ReplyFuture,
    SessionService,
};
use tokio::sync::oneshot;

use crate::{
    control::{
        BeatTaken, ContractsAsked, GrantsAsked, HandoverTaken, OffersMade, PingTaken, SessionEnded,
        SessionOpened, VmsAsked, WithdrawalsMade,
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

/// Makes the port of a new connection. The session on it ends with the connection, and not with the port object: what
/// the library still holds of a broken connection would keep that alive.
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
            closing.do_send(SessionEnded { entry, session });
        }
    });
    AcceptedPort { port, on_closed }
}

/// A session of one connection.
pub(crate) struct SessionPort {
    control: Addr<DispatcherControl>,
    entry: IncarnationId,
    session: SessionId,
}

impl DispatcherService for ConnectionPort {
    type Session = SessionPort;

    fn open(
        &self,
        client: EntryClient,
        entry: IncarnationId,
        session: SessionId,
    ) -> ReplyFuture<(SessionPort, IncarnationId, SlotCounts)> {
        let control = self.control.clone();
        self.session.set(Some((entry, session)));
        self.entries.put(entry, session, client);
        let answer = ask(&control, |reply| SessionOpened {
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

    fn find(&self, entry: IncarnationId) -> ReplyFuture<Option<EntryClient>> {
        let client = self.entries.find(entry);
        Box::pin(std::future::ready(Ok(client)))
    }

    fn beat(&self, message: BeatMessage) -> ReplyFuture<BeatReply> {
        ask(&self.control, |reply| BeatTaken { message, reply })
    }

    fn ping(&self, revision: u64) -> ReplyFuture<PingReply> {
        let session = self.session.get();
        ask(&self.control, |reply| PingTaken {
            session,
            revision,
            reply,
        })
    }

    fn grant(&self, batch: AskBatch) -> ReplyFuture<Option<ReplyBatch>> {
        ask(&self.control, |reply| GrantsAsked { batch, reply })
    }

    fn handover(&self, report: HandoverReport) -> ReplyFuture<()> {
        ask(&self.control, |reply| HandoverTaken { report, reply })
    }

    fn vms(&self) -> ReplyFuture<Vec<VmEntry>> {
        ask(&self.control, |reply| VmsAsked { reply })
    }

    fn contracts(&self, since: HeadNumber) -> ReplyFuture<ContractNews> {
        ask(&self.control, |reply| ContractsAsked { since, reply })
    }
}

impl SessionService for SessionPort {
    fn offer(
        &self,
        batch: u64,
        offers: Vec<TaskOffer>,
    ) -> ReplyFuture<(Vec<OfferReply>, SlotCounts)> {
        let (entry, session) = (self.entry, self.session);
        ask(&self.control, |reply| OffersMade {
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
        ask(&self.control, |reply| WithdrawalsMade {
            entry,
            session,
            after_batch,
            attempts,
            reply,
        })
    }
}

/// Sends a message now and gives a future of its answer. `do_send` and not `send`: a full mailbox would otherwise
/// put the message behind later ones, and a withdrawal could be handled before the offer it withdraws.
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
