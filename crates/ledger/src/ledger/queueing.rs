//! Offers, reservations, claims and withdrawals.

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
    /// Handles tasks that an entry offers with their bodies. Returns one reply per offer, in the same order.
    pub fn offer(
        &mut self,
        now: Instant,
        entry: IncarnationId,
        session: SessionId,
        batch: u64,
        offers: Vec<TaskOffer>,
    ) -> Vec<OfferReply> {
        if !self.record_batch(now, entry, session, batch) {
            // The session is over. Since then the entry has counted these tasks as lost or withdrawn them, so starting
            // them now could run a task twice.
            return vec![OfferReply::NotRun(RetryReason::DispatcherLost); offers.len()];
        }
        let mut replies = Vec::with_capacity(offers.len());
        for offer in offers {
            replies.push(self.offer_one(now, entry, session, offer));
        }
        replies
    }

    /// Handles an entry's withdrawal of attempts. `NotRun` guarantees that the attempt was not started and never will
    /// be.
    pub fn withdraw(
        &mut self,
        now: Instant,
        entry: IncarnationId,
        session: SessionId,
        after_batch: u64,
        attempts: &[AttemptId],
    ) -> Vec<WithdrawalReply> {
        let all_received = self.has_received_all(entry, session, after_batch);
        let mut replies = Vec::with_capacity(attempts.len());
        for attempt in attempts {
            replies.push(self.withdraw_one(entry, *attempt, all_received));
        }
        self.fill_slots(now);
        replies
    }

    /// Handles an entry's answer to a claim: the body, or `None` if the entry no longer has the attempt.
    pub fn on_claim_answered(
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
            // The slot went to the next reservation, or the attempt was withdrawn. A body that arrives now must not
            // start: the task has certainly not run, which is reported to the entry.
            if body.is_some() {
                self.report_not_run(now, attempt, RetryReason::ClaimLate);
            }
            return;
        }
        let Some(pending) = self.claims.remove(&attempt) else {
            return;
        };
        self.release_slot(&pending.endpoint);
        let Some(payload) = body else {
            self.refund(&pending.reservation);
            self.fill_slots(now);
            return;
        };
        let Reservation { entry, offer, .. } = pending.reservation;
        self.start(now, entry, pending.endpoint, TaskOffer { payload, ..offer });
    }

    /// Handles a claim that could not be sent or whose answer was lost with the connection.
    pub fn on_claim_failed(&mut self, now: Instant, attempt: AttemptId, claim: ClaimNumber) {
        self.on_claim_answered(now, attempt, claim, None);
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
        // If the queue is empty, a free slot starts the task at once. Otherwise a new task joins the fair queue, as it
        // would take the slot of a customer whose turn it is.
        if self.queue.is_empty() {
            if let Some(endpoint) = self.endpoints.with_most_free_slots() {
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
        // Run times measured here take precedence over the entry's estimate, which may rest on a caller's declaration.
        let declared = Some(offer.expected_run_time);
        let expected = self
            .run_times
            .expected_run_time(now, &offer.customer, &offer.kind, declared)
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
        all_received: bool,
    ) -> WithdrawalReply {
        if self.drop_reservation(&attempt) {
            return WithdrawalReply::NotRun;
        }
        if let Some(pending) = self.claims.remove(&attempt) {
            // The body may be in flight; `on_claim_answered` will then find no claim and reject it.
            self.release_slot(&pending.endpoint);
            self.refund(&pending.reservation);
            return WithdrawalReply::NotRun;
        }
        let unconfirmed = self
            .links
            .get(&entry)
            .is_some_and(|link| link.unconfirmed.contains_key(&attempt));
        if unconfirmed || self.running.contains_key(&attempt) || !all_received {
            return WithdrawalReply::Running;
        }
        WithdrawalReply::NotRun
    }

    /// Assigns free slots to the next reservations in the queue.
    pub(super) fn fill_slots(&mut self, now: Instant) {
        if self.stopping {
            return;
        }
        while let Some(endpoint) = self.endpoints.with_most_free_slots() {
            let Some(next) = self.queue.pop(now) else {
                return;
            };
            let Some(reservation) = self.reservations.remove(&next.attempt) else {
                continue;
            };
            self.send_claim(now, endpoint, next.attempt, reservation);
        }
    }

    fn send_claim(
        &mut self,
        now: Instant,
        endpoint: EndpointId,
        attempt: AttemptId,
        reservation: Reservation,
    ) {
        let number = ClaimNumber(self.next_claim_number);
        self.next_claim_number += 1;
        self.endpoints
            .update(&endpoint, |record| record.running += 1);
        self.claim_deadlines
            .insert((now + self.settings.claim_timeout, number, attempt));
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

    /// Expires claims that were not answered in time. A frozen or disconnected entry whose tasks are next in the queue
    /// would otherwise keep slots idle. After the timeout the slot goes to the next reservation; a body that arrives
    /// later is rejected as not run.
    pub(super) fn expire_claims(&mut self, now: Instant) {
        while let Some((deadline, number, attempt)) = self.claim_deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.claim_deadlines.pop_first();
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
            self.release_slot(&pending.endpoint);
            self.refund(&pending.reservation);
        }
    }

    /// Drops reservations whose deadline has passed. No report is needed: the entry counts the same time from before it
    /// sent the offer, and has already given the tasks up.
    pub(super) fn drop_overdue(&mut self, now: Instant) {
        for entry in self.queue.take_overdue(now) {
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

    /// Returns every reservation to its entry, which can place the task elsewhere at once.
    pub(super) fn return_all_reservations(&mut self, now: Instant) {
        let mut attempts: Vec<_> = self.reservations.keys().copied().collect();
        attempts.sort_unstable();
        for attempt in attempts {
            self.drop_reservation(&attempt);
            self.report_not_run(now, attempt, RetryReason::DispatcherStopping);
        }
    }

    /// Refunds the queue charge of a customer that did not use its slot.
    fn refund(&mut self, reservation: &Reservation) {
        self.queue.correct_charge(
            &reservation.offer.customer,
            Duration::ZERO,
            reservation.offer.expected_run_time,
        );
    }

    pub(super) fn release_slot(&mut self, endpoint: &EndpointId) {
        self.endpoints.update(endpoint, |record| {
            record.running = record.running.saturating_sub(1)
        });
    }
}
