//! Messages from dispatchers: replies to offers, claims of bodies, ends of attempts, replies to withdrawals, slot
//! counts.

use std::time::{Duration, Instant};

use model::{
    AttemptEnd, AttemptId, FailureReason, OfferReply, Payload, RefusalReason, RetryReason,
    SessionId, SlotCounts, SubmissionOutcome, TaskResult, UnknownReason, WithdrawalReply,
};

use crate::{
    action::AuthorityEvent,
    attempt::{AttemptPhase, InFlightAttempt},
    authority::{waiting_task, TaskAuthority},
    record::{SubmissionClass, TaskPhase},
    session::DispatcherKey,
};

/// Number of attempts of one task after which a refusal caused by overload is final, whatever its customer has saved up
/// in its retry budget. A task that was refused eight times, with growing backoff in between, meets an overload that
/// another try would only increase. Without the bound one such task could spend the budget of all others.
const MAX_OVERLOAD_ATTEMPTS: u32 = 8;

/// Number of tasks over which the mean run time is taken: about two usual jobs. The mean then follows a change of the
/// mix within a second, and one long task does not send the next ones to another data centre.
const MEAN_RUN_TIME_TASKS: u32 = 64;

/// Number of attempts of a task that may leave a queue for a free slot elsewhere.
const MAX_MOVES: u32 = 2;

impl TaskAuthority {
    /// Handles a dispatcher's replies to offers.
    pub fn on_offer_replies(&mut self, now: Instant, replies: &[(AttemptId, OfferReply)]) {
        // All refused tasks of a batch are set to waiting before any of them is decided on. A job that is given up at
        // its first task would otherwise count the others as possibly started, and be answered "failed" instead of
        // "refused".
        let mut not_run = Vec::new();
        let mut moved = Vec::new();
        for (attempt, reply) in replies {
            match reply {
                OfferReply::Queued if self.may_move(*attempt, moved.len()) => {
                    if let Some(in_flight) = self.remove_attempt(*attempt) {
                        self.set_waiting(*attempt);
                        moved.push(*attempt);
                        not_run.push((*attempt, RetryReason::SlotElsewhere, in_flight.dispatcher));
                    }
                }
                OfferReply::Started => self.on_accepted(now, *attempt, AttemptPhase::Running),
                OfferReply::Queued => self.on_accepted(now, *attempt, AttemptPhase::Queued),
                OfferReply::NotRun(reason) => {
                    if let Some(in_flight) = self.remove_attempt(*attempt) {
                        self.set_waiting(*attempt);
                        not_run.push((*attempt, *reason, in_flight.dispatcher));
                    }
                }
            }
        }
        if let Some((_, _, dispatcher)) = not_run.first().filter(|_| !moved.is_empty()) {
            self.withdraw_reservations(*dispatcher, moved);
        }
        for (attempt, reason, dispatcher) in not_run {
            self.on_not_run(now, attempt, reason, dispatcher);
        }
        self.place(now);
    }

    /// Handles a claim: a dispatcher has a slot for a queued attempt and asks for the body. `None` means that the
    /// attempt must not start.
    pub fn on_claim(
        &mut self,
        now: Instant,
        session: SessionId,
        attempt: AttemptId,
    ) -> Option<Payload> {
        let in_flight = self.attempts.get(&attempt)?;
        // A claim on an older session comes from a reservation that was given up when that session was lost, and the
        // body is sent only once. In any other phase the claim is valid, whatever arrived before: it may overtake the
        // reply to the offer, or follow a withdrawal that the dispatcher could not confirm, and only a dispatcher that
        // keeps no body claims one.
        if in_flight.session != session || in_flight.phase == AttemptPhase::Claimed {
            return None;
        }
        let record = self
            .records
            .get_mut(&attempt.submission.serial)
            .filter(|record| record.is_open());
        let Some(task) = record.and_then(|record| record.task_mut(attempt.task)) else {
            // The submission was answered. The dispatcher drops the attempt on this reply, so its concurrency is free.
            self.remove_attempt(attempt);
            return None;
        };
        let payload = task.body.payload.clone();
        self.set_phase(attempt, AttemptPhase::Claimed);
        self.mark_started(now, attempt);
        self.emit_event(AuthorityEvent::Claimed(attempt));
        Some(payload)
    }

    /// Handles the end of an attempt after the run time `ran`.
    pub fn on_ended(&mut self, now: Instant, attempt: AttemptId, end: AttemptEnd, ran: Duration) {
        let Some(in_flight) = self.remove_attempt(attempt) else {
            // The attempt was given up as unknown before, and stays so.
            return;
        };
        self.emit_event(AuthorityEvent::Ended(attempt, end.clone()));
        self.record_run_time(now, &in_flight, &end, ran);
        match end {
            AttemptEnd::Done(result) => self.on_done(now, attempt, result),
            AttemptEnd::Failed => self.finish_failed(now, attempt, FailureReason::TaskFailed),
            AttemptEnd::NotRun(reason) => {
                self.on_not_run(now, attempt, reason, in_flight.dispatcher)
            }
            AttemptEnd::Unknown(reason) => self.on_unknown(now, attempt, reason),
        }
        self.place(now);
    }

    /// Handles a dispatcher's replies to a withdrawal.
    pub fn on_withdrawn(&mut self, now: Instant, replies: &[(AttemptId, WithdrawalReply)]) {
        for (attempt, reply) in replies {
            match reply {
                WithdrawalReply::NotRun => {
                    if let Some(in_flight) = self.remove_attempt(*attempt) {
                        self.on_not_run(
                            now,
                            *attempt,
                            RetryReason::Withdrawn,
                            in_flight.dispatcher,
                        );
                    }
                }
                // This reply may only mean that the offer is still in transit. If it counted as a start, the reply to
                // the offer that comes next would be ignored, and the attempt would use its part of the concurrency for
                // ever.
                WithdrawalReply::Running => {}
            }
        }
        self.place(now);
    }

    /// Handles the slot counts that a dispatcher announces because they have changed.
    pub fn on_announced_slots(
        &mut self,
        now: Instant,
        dispatcher: DispatcherKey,
        slots: SlotCounts,
    ) {
        if let Some(session) = self.sessions.get_mut(&dispatcher) {
            session.announced_at = Some(now);
        }
        self.on_slots(now, dispatcher, slots);
    }

    /// Handles the slot counts in a dispatcher's answer to a call that was sent at `sent`.
    ///
    /// An announcement may overtake an answer that was written before it. The former counts would then hide the
    /// dispatcher's slots until the next ping, and tasks would queue elsewhere beside free slots. Counts older than the
    /// last announcement are dropped; each later change of the slots is announced as well.
    pub fn on_answered_slots(
        &mut self,
        now: Instant,
        sent: Instant,
        dispatcher: DispatcherKey,
        slots: SlotCounts,
    ) {
        let session = self.sessions.get(&dispatcher);
        let announced = session.and_then(|session| session.announced_at);
        if announced.is_some_and(|announced| sent <= announced) {
            return;
        }
        self.on_slots(now, dispatcher, slots);
    }

    /// Handles the slot counts that a dispatcher reports.
    pub fn on_slots(&mut self, now: Instant, dispatcher: DispatcherKey, slots: SlotCounts) {
        let Some(session) = self.sessions.get_mut(&dispatcher) else {
            return;
        };
        let gained = session.slots.limit == 0 && slots.limit > 0;
        session.slots = slots;
        self.update_placement(now, dispatcher);
        if gained || (self.unplaced && slots.limit > 0) {
            self.unplaced = false;
            self.waiting.mark_all_changed();
            self.place(now);
        }
    }

    /// Sets the phase of an attempt; `false` if the attempt is gone.
    fn set_phase(&mut self, attempt: AttemptId, phase: AttemptPhase) -> bool {
        let Some(in_flight) = self.attempts.get_mut(&attempt) else {
            return false;
        };
        let before = std::mem::replace(&mut in_flight.phase, phase);
        let dispatcher = in_flight.dispatcher;
        if before == AttemptPhase::Offered {
            self.on_offer_answered(dispatcher);
        }
        true
    }

    /// Records the run time of an attempt, even if its submission was answered: tasks that end after the deadline are
    /// the slow ones, and without them their kind would look fast.
    fn record_run_time(
        &mut self,
        now: Instant,
        in_flight: &InFlightAttempt,
        end: &AttemptEnd,
        ran: Duration,
    ) {
        let (customer, kind) = (&in_flight.customer, &in_flight.kind);
        match end {
            AttemptEnd::Done(_) => {
                self.run_times.record(now, customer, kind, ran);
                let others = self.mean_run_time * (MEAN_RUN_TIME_TASKS - 1);
                self.mean_run_time = (others + ran) / MEAN_RUN_TIME_TASKS;
            }
            AttemptEnd::Failed => self.run_times.record_failure(now, customer, kind),
            AttemptEnd::NotRun(_) | AttemptEnd::Unknown(_) => {}
        }
    }

    fn set_waiting(&mut self, attempt: AttemptId) {
        let record = self.records.get_mut(&attempt.submission.serial);
        if let Some(task) = record.and_then(|record| record.task_mut(attempt.task)) {
            task.phase = TaskPhase::Waiting;
        }
    }

    /// Whether a task that a dispatcher queued may move to a free slot elsewhere.
    ///
    /// Two entries may place tasks onto the same free slots without knowing of each other, and one of the tasks would
    /// wait for a whole run time while a slot at another dispatcher is free. A queued task has certainly not started
    /// and its claim will be refused, so it can move at the cost of an offer and a withdrawal. Only as many tasks move
    /// as there are free slots, and each at most twice, since the slot counts known of other dispatchers may be as old
    /// as their last report. With every slot in use nothing moves.
    fn may_move(&self, attempt: AttemptId, moved: usize) -> bool {
        let Some(in_flight) = self
            .attempts
            .get(&attempt)
            .filter(|in_flight| in_flight.phase == AttemptPhase::Offered)
        else {
            return false;
        };
        let Some(record) = self
            .records
            .get(&attempt.submission.serial)
            .filter(|record| record.is_open())
        else {
            return false;
        };
        let tries = attempt.attempt - record.first_attempt;
        record.move_queued
            && tries < MAX_MOVES
            && self.placement.free_slots_elsewhere(in_flight.dispatcher) > moved as u64
    }

    fn on_accepted(&mut self, now: Instant, attempt: AttemptId, phase: AttemptPhase) {
        let Some(in_flight) = self.attempts.get(&attempt) else {
            return;
        };
        // A reply that the claim or the end has overtaken contains nothing new.
        if in_flight.phase != AttemptPhase::Offered {
            return;
        }
        self.set_phase(attempt, phase);
        match phase {
            AttemptPhase::Queued => self.emit_event(AuthorityEvent::Queued(attempt)),
            _ => {
                self.mark_started(now, attempt);
                self.emit_event(AuthorityEvent::Started(attempt));
            }
        }
        self.withdraw_if_answered(attempt);
    }

    /// Removes an attempt from the table and releases its part of the concurrency.
    pub(super) fn remove_attempt(&mut self, attempt: AttemptId) -> Option<InFlightAttempt> {
        let in_flight = self.attempts.remove(&attempt)?;
        self.waiting.release(&in_flight.customer);
        if in_flight.phase == AttemptPhase::Offered {
            self.on_offer_answered(in_flight.dispatcher);
        }
        self.placement.on_end(in_flight.dispatcher);
        Some(in_flight)
    }

    fn on_done(&mut self, now: Instant, attempt: AttemptId, result: TaskResult) {
        self.mark_started(now, attempt);
        let serial = attempt.submission.serial;
        let Some(record) = self
            .records
            .get_mut(&serial)
            .filter(|record| record.is_open())
        else {
            return;
        };
        let Some(task) = record.task_mut(attempt.task) else {
            return;
        };
        task.phase = TaskPhase::Done(result);
        let expected = task.expected_run_time;
        record.done += 1;
        self.load.end(now, &record.customer, expected, true);
        if record.done as usize == record.tasks.len() {
            let results = record.results();
            self.finish(now, serial, SubmissionOutcome::Complete(results));
        }
    }

    /// Makes a task ready for another attempt, in this one place only: every caller knows that the attempt definitely
    /// did not run.
    pub(super) fn on_not_run(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        reason: RetryReason,
        dispatcher: DispatcherKey,
    ) {
        let serial = attempt.submission.serial;
        let Some(record) = self
            .records
            .get_mut(&serial)
            .filter(|record| record.is_open())
        else {
            return;
        };
        let (customer, waiting) = (
            record.customer.clone(),
            waiting_task(record, serial, attempt.task),
        );
        let first_attempt = record.first_attempt;
        let Some(task) = record.task_mut(attempt.task) else {
            return;
        };
        task.phase = TaskPhase::Waiting;
        if std::mem::take(&mut task.started) {
            self.load
                .mark_not_started(&customer, task.expected_run_time);
        }
        let attempts = task.attempt_count - first_attempt;
        self.emit_event(AuthorityEvent::Retried(attempt, reason));
        self.waiting.set_avoided(serial, attempt.task, dispatcher);
        if !signals_overload(reason) {
            self.waiting.push(&customer, waiting);
            return;
        }
        // If the endpoints refuse every task, each refusal causes another placement, and the overload feeds itself. The
        // budget bounds placements to the first ones plus the contract's percentage.
        let granted = !consumes_retry_budget(reason) || self.retry_budget.try_retry(now, &customer);
        if attempts >= MAX_OVERLOAD_ATTEMPTS || !granted {
            self.finish_not_placed(now, serial, RefusalReason::RetryBudgetSpent);
            return;
        }
        let backoff = self.backoff(attempts);
        self.waiting.back_off(&customer, now + backoff, waiting);
    }

    fn on_unknown(&mut self, now: Instant, attempt: AttemptId, reason: UnknownReason) {
        let serial = attempt.submission.serial;
        let Some(record) = self.records.get(&serial).filter(|record| record.is_open()) else {
            return;
        };
        let outcome = match record.class {
            SubmissionClass::Job => SubmissionOutcome::Failed(FailureReason::TaskUnknown),
            SubmissionClass::Request => SubmissionOutcome::Unknown(reason),
        };
        self.finish(now, serial, outcome);
    }

    pub(super) fn abandon_attempt(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        reason: UnknownReason,
    ) {
        if self.remove_attempt(attempt).is_some() {
            self.on_unknown(now, attempt, reason);
        }
    }

    fn finish_failed(&mut self, now: Instant, attempt: AttemptId, reason: FailureReason) {
        let serial = attempt.submission.serial;
        if self
            .records
            .get(&serial)
            .is_some_and(|record| record.is_open())
        {
            self.finish(now, serial, SubmissionOutcome::Failed(reason));
        }
    }

    /// Backoff that doubles with each attempt, with jitter so that tasks refused together do not come back together.
    fn backoff(&mut self, attempts: u32) -> Duration {
        let doubled = self.settings.initial_retry_backoff * 2u32.saturating_pow(attempts.min(10));
        let longest = doubled.min(self.settings.max_retry_backoff);
        longest.mul_f64(0.5 + self.rng.f64() / 2.0)
    }
}

/// Whether a retry is charged to the customer's budget. A dispatcher hands back its waiting tasks when its last
/// endpoint gets another owner. That is a change in the system and not overload, and since the dispatcher reports it
/// with its slot counts, it gets no more offers. The task still backs off, or it would be placed again before the new
/// owner is known.
fn consumes_retry_budget(reason: RetryReason) -> bool {
    signals_overload(reason) && reason != RetryReason::NoEndpoint
}

/// Whether a refusal is caused by overload, so that another try adds to it. The other refusals come from a change in
/// the system, and the task goes elsewhere at once.
fn signals_overload(reason: RetryReason) -> bool {
    match reason {
        RetryReason::EndpointBusy
        | RetryReason::EndpointUnreachable
        | RetryReason::NoEndpoint
        | RetryReason::ClaimLate
        | RetryReason::QueueFull => true,
        RetryReason::EndpointLeaving
        | RetryReason::DispatcherStopping
        | RetryReason::DispatcherLost
        | RetryReason::Withdrawn
        | RetryReason::SlotElsewhere => false,
    }
}
