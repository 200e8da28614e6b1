//! Sessions with entries: offers, asks, reports, withdrawals.

use std::time::Duration;

use actix::{ActorFutureExt as _, AsyncContext as _, Context, Handler, WrapFuture as _};
use ledger::ClaimNumber;
use model::{AttemptEnd, AttemptId, IncarnationId, SessionId};
use peer::PeerError;
use telemetry::CounterKind;

use super::{DispatcherControl, OffersMade, SessionEnded, SessionOpened, WithdrawalsMade};

impl DispatcherControl {
    pub(super) fn ask_for_body(
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
                    log::debug!("dispatcher: ask for {attempt} failed: {error}");
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
                // The ledger repeats them on the entry's next session.
                log::debug!(
                    "dispatcher: {} ends not confirmed by {entry}: {error}",
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

impl Handler<SessionOpened> for DispatcherControl {
    type Result = ();

    fn handle(&mut self, opened: SessionOpened, ctx: &mut Context<Self>) {
        let SessionOpened {
            entry,
            session,
            reply,
        } = opened;
        if let Err(error) = self.ledger.open_session(self.clock.now(), entry, session) {
            let _gone = reply.send(Err(PeerError::Failed(error.to_string())));
            return;
        }
        log::info!("dispatcher: session {session} of entry {entry} open");
        let _gone = reply.send(Ok((self.incarnation, self.ledger.slots())));
        self.flush(ctx);
    }
}

impl Handler<SessionEnded> for DispatcherControl {
    type Result = ();

    fn handle(&mut self, ended: SessionEnded, ctx: &mut Context<Self>) {
        let SessionEnded { entry, session } = ended;
        self.entries.remove(entry, session);
        log::info!("dispatcher: session {session} of entry {entry} ended");
        self.ledger
            .on_session_lost(self.clock.now(), entry, session);
        self.flush(ctx);
    }
}

impl Handler<OffersMade> for DispatcherControl {
    type Result = ();

    fn handle(&mut self, made: OffersMade, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let verdicts = self
            .ledger
            .offer(now, made.entry, made.session, made.batch, made.offers);
        let _gone = made.reply.send(Ok((verdicts, self.ledger.slots())));
        self.flush(ctx);
    }
}

impl Handler<WithdrawalsMade> for DispatcherControl {
    type Result = ();

    fn handle(&mut self, made: WithdrawalsMade, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let verdicts = self.ledger.withdraw(
            now,
            made.entry,
            made.session,
            made.after_batch,
            &made.attempts,
        );
        let _gone = made.reply.send(Ok((verdicts, self.ledger.slots())));
        self.flush(ctx);
    }
}
