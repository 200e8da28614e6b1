//! Offers, reservations, asks and withdrawals.

use std::time::{Duration, Instant};

use decisions::{FairQueue, QueueEntry, QueueSettings};
use model::{
    AttemptId, EndpointId, IncarnationId, OfferReply, Payload, RetryReason, SessionId, TaskOffer,
    WithdrawalReply,
};

use crate::{
    action::LedgerAction,
    ledger::{ClaimNumber, PendingClaim, Reservation, SlotLedger},
    settings::LedgerSettings,
};

pub(super) fn new_queue(settings: &LedgerSettings) -> FairQueue {
    FairQueue::new(QueueSettings {
        max_entries: settings.max_queue,
        ..QueueSettings::default()
    })
}

impl SlotLedger {
    /// An entry offers tasks with their bodies. The verdicts come in the order of the offers.
    pub fn offer(
        &mut self,
        now: Instant,
        entry: IncarnationId,
        session: SessionId,
        batch: u64,
        offers: Vec<TaskOffer>,
    ) -> Vec<OfferReply> {
        if !self.see_batch(now, entry, session, batch) {
            // The session is over: the entry has counted these as lost or asked for their withdrawal since, so
            // starting them now could run a task twice.
            return vec![OfferReply::NotRun(RetryReason::DispatcherLost); offers.len()];
        }
        let mut verdicts = Vec::with_capacity(offers.len());
        for offer in offers {
            verdicts.push(self.offer_one(now, entry, session, offer));
        }
        verdicts
    }

    /// An entry takes attempts back. `NotRun` is a promise: the attempt was not started and never will be.
    pub fn withdraw(
        &mut self,
        now: Instant,
        entry: IncarnationId,
        session: SessionId,
        after_batch: u64,
        attempts: &[AttemptId],
    ) -> Vec<WithdrawalReply> {
        let seen_all = self.has_seen(entry, session, after_batch);
        let mut verdicts = Vec::with_capacity(attempts.len());
        for attempt in attempts {
            verdicts.push(self.withdraw_one(entry, *attempt, seen_all));
        }
        self.fill_slots(now);
        verdicts
    }

    /// An entry has answered an ask: with the body, or that the attempt is gone.
    pub fn on_claimed(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        claim: ClaimNumber,
        body: Option<Payload>,
    ) {
        let current = self
            .claims
            .get(&attempt)
            .is_some_and(|pending| pending.number == claim);
        if !current {
            // The slot went to the next in line, or the attempt was withdrawn. A body that comes now must not
            // start: it is certainly not run, and the entry is told so.
            if body.is_some() {
                self.report_not_run(now, attempt, RetryReason::ClaimLate);
            }
            return;
        }
        let Some(pending) = self.claims.remove(&attempt) else {
            return;
        };
        self.release(&pending.endpoint);
        let Some(payload) = body else {
            self.refund(&pending.reservation);
            self.fill_slots(now);
            return;
        };
        let Reservation { entry, offer, .. } = pending.reservation;
        self.start(now, entry, pending.endpoint, TaskOffer { payload, ..offer });
    }

    /// An ask could not be sent or its answer was lost with the connection.
    pub fn on_claim_failed(&mut self, now: Instant, attempt: AttemptId, claim: ClaimNumber) {
        self.on_claimed(now, attempt, claim, None);
    }

    fn offer_one(
        &mut self,
        now: Instant,
        entry: IncarnationId,
        session: SessionId,
        offer: TaskOffer,
    ) -> OfferReply {
        if self.stopping {
            return OfferReply::NotRun(RetryReason::DispatcherStopping);
        }
        if self.endpoints.totals().0 == 0 {
            return OfferReply::NotRun(RetryReason::NoEndpoint);
        }
        // A free slot with an empty queue starts the task at once. While others wait, a new task goes behind them
        // in the fair order; it would otherwise take the slot of a customer whose turn it is.
        if self.queue.is_empty() {
            if let Some(endpoint) = self.endpoints.roomiest() {
                self.start(now, entry, endpoint, offer);
                return OfferReply::Started;
            }
        }
        self.reserve(now, entry, session, offer)
    }

    fn reserve(
        &mut self,
        now: Instant,
        entry: IncarnationId,
        session: SessionId,
        offer: TaskOffer,
    ) -> OfferReply {
        let due = now + offer.time_left;
        // What was measured here counts for more than what the entry expects, which may rest on a caller's word.
        let declared = Some(offer.expected_run_time);
        let expected = self
            .run_times
            .expect(now, &offer.customer, &offer.kind, declared)
            .run_time;
        let offer = TaskOffer {
            expected_run_time: expected,
            ..offer
        };
        let queued = QueueEntry {
            attempt: offer.attempt,
            customer: offer.customer.clone(),
            share: offer.share,
            expected: offer.expected_run_time,
            due,
        };
        if self.queue.push(now, queued).is_err() {
            return OfferReply::NotRun(RetryReason::QueueFull);
        }
        let offer = TaskOffer {
            payload: Payload::default(),
            ..offer
        };
        self.reservations.insert(
            offer.attempt,
            Reservation {
                entry,
                session,
                offer,
            },
        );
        self.fill_slots(now);
        OfferReply::Queued
    }

    fn withdraw_one(
        &mut self,
        entry: IncarnationId,
        attempt: AttemptId,
        seen_all: bool,
    ) -> WithdrawalReply {
        if self.drop_reservation(&attempt) {
            return WithdrawalReply::NotRun;
        }
        if let Some(pending) = self.claims.remove(&attempt) {
            // The body may be on its way; `on_claimed` will find no ask and turn it away.
            self.release(&pending.endpoint);
            self.refund(&pending.reservation);
            return WithdrawalReply::NotRun;
        }
        let unconfirmed = self
            .links
            .get(&entry)
            .is_some_and(|link| link.unconfirmed.contains_key(&attempt));
        if unconfirmed || self.running.contains_key(&attempt) || !seen_all {
            return WithdrawalReply::Running;
        }
        WithdrawalReply::NotRun
    }

    /// Gives free slots to the next in line.
    pub(super) fn fill_slots(&mut self, now: Instant) {
        if self.stopping {
            return;
        }
        while let Some(endpoint) = self.endpoints.roomiest() {
            let Some(next) = self.queue.pop(now) else {
                return;
            };
            let Some(reservation) = self.reservations.remove(&next.attempt) else {
                continue;
            };
            self.ask(now, endpoint, next.attempt, reservation);
        }
    }

    fn ask(
        &mut self,
        now: Instant,
        endpoint: EndpointId,
        attempt: AttemptId,
        reservation: Reservation,
    ) {
        let number = ClaimNumber(self.next_claim);
        self.next_claim += 1;
        self.endpoints
            .update(&endpoint, |record| record.running += 1);
        self.claim_limits
            .insert((now + self.settings.claim_limit, number, attempt));
        let (entry, session) = (reservation.entry, reservation.session);
        self.claims.insert(
            attempt,
            PendingClaim {
                number,
                endpoint,
                reservation,
            },
        );
        self.actions.push(LedgerAction::Claim {
            entry,
            session,
            attempt,
            claim: number,
        });
    }

    /// Load: an entry that is frozen or cut off while its tasks are next in line. Harm: slots stand still for its
    /// sake. Reason: after the limit the slot goes on; the body, should it still come, is turned away as not run.
    pub(super) fn end_late_claims(&mut self, now: Instant) {
        while let Some((limit, number, attempt)) = self.claim_limits.first().copied() {
            if limit > now {
                return;
            }
            self.claim_limits.pop_first();
            let current = self
                .claims
                .get(&attempt)
                .is_some_and(|pending| pending.number == number);
            if !current {
                continue;
            }
            let Some(pending) = self.claims.remove(&attempt) else {
                continue;
            };
            self.release(&pending.endpoint);
            self.refund(&pending.reservation);
        }
    }

    /// Drops reservations whose answers are due. The entry gave them up by its own clock before, which started
    /// earlier, so nothing has to be told.
    pub(super) fn drop_overdue(&mut self, now: Instant) {
        for entry in self.queue.drop_overdue(now) {
            self.reservations.remove(&entry.attempt);
        }
    }

    pub(super) fn drop_reservation(&mut self, attempt: &AttemptId) -> bool {
        if self.reservations.remove(attempt).is_none() {
            return false;
        }
        self.queue.remove(attempt);
        true
    }

    /// Everything that waits goes back to its entry, which can place it elsewhere at once.
    pub(super) fn hand_back_all(&mut self, now: Instant) {
        let mut attempts: Vec<_> = self.reservations.keys().copied().collect();
        attempts.sort_unstable();
        for attempt in attempts {
            self.drop_reservation(&attempt);
            self.report_not_run(now, attempt, RetryReason::DispatcherStopping);
        }
    }

    /// The customer was billed for a slot that it did not use.
    fn refund(&mut self, reservation: &Reservation) {
        self.queue.charge(
            &reservation.offer.customer,
            Duration::ZERO,
            reservation.offer.expected_run_time,
        );
    }

    pub(super) fn release(&mut self, endpoint: &EndpointId) {
        self.endpoints.update(endpoint, |record| {
            record.running = record.running.saturating_sub(1)
        });
    }
}
