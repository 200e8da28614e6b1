//! Forwards requests to the entry that has authority over them, through any dispatcher that has a session with both.

use actix::{Context, Handler};
use caller_api::{read_request, render_answer, CallerAnswer};
use model::{DuplicateDetection, IncarnationId, SubmissionBody, SubmissionId, SubmissionKind};
use peer::{DispatcherClient, EntryClient, ForwardedAnswer, PeerError};

use super::{
    callers::{unknown_answer, AnswerFuture},
    EntryControl, ForwardedRequest, LinkState, OutcomeRequest,
};

impl EntryControl {
    /// Forwards a request to the entry that has authority over its ticket or key.
    pub(super) fn forward_request(&self, id: SubmissionId, raw: Vec<u8>) -> AnswerFuture {
        let dispatchers = self.open_dispatchers();
        Box::pin(async move {
            let Some(entry) = find_entry(&dispatchers, id.incarnation).await else {
                return unknown_answer(Some(id));
            };
            match entry.run(id.serial, &raw).await {
                Ok(answer) => forwarded(answer),
                // The request may have run there before the connection broke.
                Err(_) => unknown_answer(Some(id)),
            }
        })
    }

    /// Asks the entry that owns a submission for its outcome.
    pub(super) fn forward_outcome(&self, id: SubmissionId) -> AnswerFuture {
        let dispatchers = self.open_dispatchers();
        Box::pin(async move {
            let Some(entry) = find_entry(&dispatchers, id.incarnation).await else {
                return unknown_answer(Some(id));
            };
            match entry.outcome(id.serial).await {
                Ok(Some(answer)) => forwarded(answer),
                Ok(None) | Err(_) => unknown_answer(Some(id)),
            }
        })
    }

    fn open_dispatchers(&self) -> Vec<DispatcherClient> {
        let mut clients = Vec::new();
        for record in self.dispatchers.values() {
            if let LinkState::Open(open) = &record.link {
                clients.push(open.link.client().clone());
            }
        }
        clients
    }
}

impl Handler<OutcomeRequest> for EntryControl {
    type Result = ();

    fn handle(&mut self, request: OutcomeRequest, _: &mut Context<Self>) {
        let known = self.authority.outcome(request.serial).is_some();
        let answer = known.then(|| to_forward(&self.outcome_now(request.serial)));
        let _gone = request.reply.send(Ok(answer));
    }
}

impl Handler<ForwardedRequest> for EntryControl {
    type Result = ();

    fn handle(&mut self, request: ForwardedRequest, ctx: &mut Context<Self>) {
        let ForwardedRequest {
            serial,
            json,
            reply,
        } = request;
        let answer = match read_request(&json, None) {
            Ok((body, digest)) => self.run_forwarded(serial, body, digest),
            Err(error) => {
                let _gone = reply.send(Err(PeerError::BadMessage(error.to_string())));
                return;
            }
        };
        self.flush(ctx);
        actix_rt::spawn(async move {
            let _gone = reply.send(Ok(to_forward(&answer.await)));
        });
    }
}

impl EntryControl {
    fn run_forwarded(&mut self, serial: u64, body: SubmissionBody, digest: u64) -> AnswerFuture {
        match &body.kind {
            SubmissionKind::Request(DuplicateDetection::Ticket(ticket)) => {
                self.run_ticket(*ticket, body, digest)
            }
            // A request with a key: its first arrival came here, otherwise its record would not name this entry.
            SubmissionKind::Request(_) | SubmissionKind::Job => {
                self.run_duplicate(serial, body, digest)
            }
        }
    }
}

/// Asks the dispatchers one after another for the entry. Each has sessions with all entries of its data centre, so the
/// first one of the right data centre finds it.
async fn find_entry(
    dispatchers: &[DispatcherClient],
    incarnation: IncarnationId,
) -> Option<EntryClient> {
    for dispatcher in dispatchers {
        if let Ok(Some(entry)) = dispatcher.find_entry(incarnation).await {
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
