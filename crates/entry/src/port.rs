//! The port that this entry gives to a dispatcher: converts its calls into messages to the control actor.

use std::time::Duration;

use actix::{Addr, Handler};
use authority::DispatcherKey;
use model::{AttemptEnd, AttemptId, Payload, SessionId, SlotCounts};
use peer::{EntryService, ForwardedAnswer, PeerError, ReplyFuture};
use tokio::sync::oneshot;

use crate::{
    control::{AttemptReport, ClaimRequest, ForwardedRequest, OutcomeRequest, SlotUpdate},
    EntryControl,
};

/// The port of one session with one dispatcher.
pub(crate) struct EntryPort {
    control: Addr<EntryControl>,
    dispatcher: DispatcherKey,
    session: SessionId,
}

impl EntryPort {
    pub(crate) fn new(
        control: Addr<EntryControl>,
        dispatcher: DispatcherKey,
        session: SessionId,
    ) -> Self {
        Self {
            control,
            dispatcher,
            session,
        }
    }
}

impl EntryService for EntryPort {
    fn claim(&self, attempt: AttemptId) -> ReplyFuture<Option<Payload>> {
        let session = self.session;
        ask(&self.control, |reply| ClaimRequest {
            session,
            attempt,
            reply,
        })
    }

    fn report_ends(
        &self,
        ends: Vec<(AttemptId, AttemptEnd, Duration)>,
        slots: SlotCounts,
    ) -> ReplyFuture<()> {
        let dispatcher = self.dispatcher;
        ask(&self.control, |reply| AttemptReport {
            dispatcher,
            ends,
            slots,
            reply,
        })
    }

    fn report_slots(&self, slots: SlotCounts) -> ReplyFuture<()> {
        self.control.do_send(SlotUpdate {
            dispatcher: self.dispatcher,
            session: self.session,
            slots,
        });
        Box::pin(std::future::ready(Ok(())))
    }

    fn outcome(&self, serial: u64) -> ReplyFuture<Option<ForwardedAnswer>> {
        ask(&self.control, |reply| OutcomeRequest { serial, reply })
    }

    fn run(&self, serial: u64, json: Vec<u8>) -> ReplyFuture<ForwardedAnswer> {
        ask(&self.control, |reply| ForwardedRequest {
            serial,
            json,
            reply,
        })
    }
}

/// Sends a message immediately and returns a future of its answer. With `send` instead of `do_send`, a full mailbox
/// could put the message behind later ones.
fn ask<M, T>(
    control: &Addr<EntryControl>,
    make: impl FnOnce(oneshot::Sender<Result<T, PeerError>>) -> M,
) -> ReplyFuture<T>
where
    M: actix::Message<Result = ()> + Send + 'static,
    EntryControl: Handler<M>,
    T: 'static,
{
    let (reply, answer) = oneshot::channel();
    control.do_send(make(reply));
    Box::pin(async move { answer.await.unwrap_or(Err(PeerError::TimedOut)) })
}
