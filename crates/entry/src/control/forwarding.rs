//! Requests whose authority is another entry. Any dispatcher that has a session with both passes them on.

use actix::{Context, Handler};
use caller_api::{read_request, render_answer, CallerAnswer};
use model::{IncarnationId, KeyedRun, SubmissionId, SubmissionKind, TicketId};
use peer::{DispatcherClient, EntryClient, ForwardedAnswer, OutcomeAsk, PeerError};

use super::{
    callers::{unknown, AnswerFuture},
    EntryControl, LinkState, OutcomeAsked, TicketRun,
};

impl EntryControl {
    /// Passes a request on to the entry that issued its ticket.
    pub(super) fn forward_ticket(&self, ticket: TicketId, raw: Vec<u8>) -> AnswerFuture {
        let dispatchers = self.open_dispatchers();
        Box::pin(async move {
            let Some(entry) = find_entry(&dispatchers, ticket.0.incarnation).await else {
                return unknown(Some(ticket.0));
            };
            match entry.run_ticket(ticket.0.serial, &raw).await {
                Ok(answer) => forwarded(answer),
                // It may have run there before the connection broke.
                Err(_) => unknown(Some(ticket.0)),
            }
        })
    }

    /// Asks the entry of a submission for its answer.
    pub(super) fn forward_outcome(&self, id: SubmissionId, digest: Option<u64>) -> AnswerFuture {
        let dispatchers = self.open_dispatchers();
        Box::pin(async move {
            let Some(entry) = find_entry(&dispatchers, id.incarnation).await else {
                return unknown(Some(id));
            };
            match entry
                .outcome(OutcomeAsk {
                    serial: id.serial,
                    digest,
                })
                .await
            {
                Ok(Some(answer)) => forwarded(answer),
                Ok(None) | Err(_) => unknown(Some(id)),
            }
        })
    }

    fn open_dispatchers(&self) -> Vec<DispatcherClient> {
        let mut clients = Vec::new();
        for slot in self.dispatchers.values() {
            if let LinkState::Open(open) = &slot.link {
                clients.push(open.link.client().clone());
            }
        }
        clients
    }
}

impl Handler<OutcomeAsked> for EntryControl {
    type Result = ();

    fn handle(&mut self, asked: OutcomeAsked, _: &mut Context<Self>) {
        let OutcomeAsked { ask, reply } = asked;
        if self.authority.outcome(ask.serial).is_none() {
            let _gone = reply.send(Ok(None));
            return;
        }
        let answer = match ask.digest {
            Some(digest) => self.wait_for_same(ask.serial, digest),
            None => super::callers::ready(self.outcome_now(ask.serial)),
        };
        actix_rt::spawn(async move {
            let _gone = reply.send(Ok(Some(to_forward(&answer.await))));
        });
    }
}

impl Handler<TicketRun> for EntryControl {
    type Result = ();

    fn handle(&mut self, run: TicketRun, ctx: &mut Context<Self>) {
        let TicketRun {
            serial,
            json,
            reply,
        } = run;
        let (body, digest) = match read_request(&json, None) {
            Ok(read) => read,
            Err(error) => {
                let _gone = reply.send(Err(PeerError::BadMessage(error.to_string())));
                return;
            }
        };
        let id = SubmissionId {
            incarnation: self.authority.incarnation(),
            serial,
        };
        let ticket = TicketId(id);
        if body.kind != SubmissionKind::Request(KeyedRun::Ticket(ticket)) {
            let _gone = reply.send(Err(PeerError::BadMessage("another ticket".to_owned())));
            return;
        }
        let answer = self.run_ticket(ticket, body, digest);
        self.flush(ctx);
        actix_rt::spawn(async move {
            let _gone = reply.send(Ok(to_forward(&answer.await)));
        });
    }
}

/// Asks the dispatchers one after another. Each has sessions with all entries of its data centre, so the first one
/// of the right data centre knows.
async fn find_entry(
    dispatchers: &[DispatcherClient],
    incarnation: IncarnationId,
) -> Option<EntryClient> {
    for dispatcher in dispatchers {
        if let Ok(Some(entry)) = dispatcher.find(incarnation).await {
            return Some(entry);
        }
    }
    None
}

fn forwarded(answer: ForwardedAnswer) -> CallerAnswer {
    CallerAnswer::Forwarded {
        status: answer.status,
        json: answer.json,
    }
}

fn to_forward(answer: &CallerAnswer) -> ForwardedAnswer {
    let rendered = render_answer(answer);
    ForwardedAnswer {
        status: rendered.status,
        json: rendered.json,
    }
}
