//! Sessions with entries: offers, claims, reports and withdrawals.

use std::time::Duration;

use actix::{ActorFutureExt as _, AsyncContext as _, Context, Handler, WrapFuture as _};
use ledger::ClaimNumber;
use model::{AttemptEnd, AttemptId, IncarnationId, SessionId};
use peer::PeerError;
use telemetry::CounterKind;

use super::{DispatcherControl, OfferRequest, SessionClosed, SessionRequest, WithdrawalRequest};

impl DispatcherControl {
    pub(super) fn request_body(
        &mut self,
        ctx: &mut Context<Self>,
        entry: IncarnationId,
        session: SessionId,
        attempt: AttemptId,
        claim: ClaimNumber,
    ) {
        let Some(client) = self.entries.get(entry, session) else {
            self.ledger
                .on_claim_failed(self.clock.now(), attempt, claim);
            return;
        };
        self.metrics.count(CounterKind::Messages, 1);
        let answer = client.claim(attempt).into_actor(self);
        ctx.spawn(answer.map(move |answer, control, ctx| {
            let now = control.clock.now();
            match answer {
                Ok(body) => control.ledger.on_claim_answered(now, attempt, claim, body),
                Err(error) => {
                    log::debug!("dispatcher: claim of {attempt} failed: {error}");
                    control.ledger.on_claim_failed(now, attempt, claim);
                }
            }
            control.flush(ctx);
        }));
    }

    pub(super) fn report_ends(
        &mut self,
        ctx: &mut Context<Self>,
        entry: IncarnationId,
        session: SessionId,
        ends: Vec<(AttemptId, AttemptEnd, Duration)>,
    ) {
        let Some(client) = self.entries.get(entry, session) else {
            return;
        };
        let confirmed = client
            .report_ends(&ends, self.ledger.slots())
            .into_actor(self);
        ctx.spawn(confirmed.map(move |confirmed, control, _| {
            if let Err(error) = confirmed {
                // The ledger repeats the reports on the entry's next session.
                log::debug!(
                    "dispatcher: {} ends not confirmed by entry {entry}: {error}",
                    ends.len()
                );
                return;
            }
            for (attempt, ..) in &ends {
                control.ledger.on_confirmed(entry, *attempt);
            }
        }));
    }
}

impl Handler<SessionRequest> for DispatcherControl {
    type Result = ();

    fn handle(&mut self, request: SessionRequest, ctx: &mut Context<Self>) {
        let SessionRequest {
            entry,
            session,
            reply,
        } = request;
        if let Err(error) = self.ledger.open_session(self.clock.now(), entry, session) {
            let _gone = reply.send(Err(PeerError::Failed(error.to_string())));
            return;
        }
        log::info!("dispatcher: session {session} of entry {entry} opened");
        let _gone = reply.send(Ok((self.incarnation, self.ledger.slots())));
        self.flush(ctx);
    }
}

impl Handler<SessionClosed> for DispatcherControl {
    type Result = ();

    fn handle(&mut self, closed: SessionClosed, ctx: &mut Context<Self>) {
        let SessionClosed { entry, session } = closed;
        self.entries.remove(entry, session);
        log::info!("dispatcher: session {session} of entry {entry} ended");
        self.ledger
            .on_session_lost(self.clock.now(), entry, session);
        self.flush(ctx);
    }
}

impl Handler<OfferRequest> for DispatcherControl {
    type Result = ();

    fn handle(&mut self, request: OfferRequest, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let replies = self.ledger.offer(
            now,
            request.entry,
            request.session,
            request.batch,
            request.offers,
        );
        let _gone = request.reply.send(Ok((replies, self.ledger.slots())));
        self.flush(ctx);
    }
}

impl Handler<WithdrawalRequest> for DispatcherControl {
    type Result = ();

    fn handle(&mut self, request: WithdrawalRequest, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let replies = self.ledger.withdraw(
            now,
            request.entry,
            request.session,
            request.after_batch,
            &request.attempts,
        );
        let _gone = request.reply.send(Ok((replies, self.ledger.slots())));
        self.flush(ctx);
    }
}
