//! What dispatchers say: verdicts, asks for bodies, ends, confirmed withdrawals.

use std::time::{Duration, Instant};

use model::{
    AttemptEnd, AttemptId, FailureReason, OfferReply, Payload, RefusalReason, RetryReason,
    SessionId, SlotCounts, SubmissionOutcome, TaskResult, UnknownReason, WithdrawalReply,
};

use crate::{
    action::AuthorityEvent,
    authority::{waiting_task, TaskAuthority},
    flight::{FlightPhase, FlightRecord},
    record::{SubmissionShape, TaskPhase},
    session::DispatcherKey,
};

/// Tries of one task after refusals that tell of load, before it is given up, whatever its customer has saved up in
/// its budget. A task that eight dispatchers have turned away, with growing pauses between, meets an overload that
/// another try would only feed; without the bound one unlucky task could spend the budget of all others.
const MAX_LOAD_RETRIES: u32 = 8;

/// The tasks over which the mean run time is taken: about two usual jobs, so that it follows a change of the mix within
/// a second and one long task does not send the next ones to another data centre.
const MEAN_OVER: u32 = 64;

/// The tries of a task among which it may leave a queue for a free slot elsewhere.
const MAX_MOVES: u32 = 2;

impl TaskAuthority {
    /// A dispatcher has answered an offer.
    pub fn on_verdicts(&mut self, now: Instant, verdicts: &[(AttemptId, OfferReply)]) {
        // All that a refused batch turned away is noted before any of it is decided on: a job that is given up at its
        // first task would otherwise count the others as perhaps started, and be answered "failed" for "refused".
        let mut turned_away = Vec::new();
        let mut moved = Vec::new();
        for (attempt, verdict) in verdicts {
            match verdict {
                OfferReply::Queued if self.may_move(*attempt, moved.len()) => {
                    if let Some(flight) = self.land(*attempt) {
                        self.set_waiting(*attempt);
                        moved.push(*attempt);
                        turned_away.push((*attempt, RetryReason::SlotElsewhere, flight.dispatcher));
                    }
                }
                OfferReply::Started => self.on_taken(now, *attempt, FlightPhase::Running),
                OfferReply::Queued => self.on_taken(now, *attempt, FlightPhase::Queued),
                OfferReply::NotRun(reason) => {
                    if let Some(flight) = self.land(*attempt) {
                        self.set_waiting(*attempt);
                        turned_away.push((*attempt, *reason, flight.dispatcher));
                    }
                }
            }
        }
        if let Some((_, _, dispatcher)) = turned_away.first().filter(|_| !moved.is_empty()) {
            self.take_back_reservations(*dispatcher, moved);
        }
        for (attempt, reason, dispatcher) in turned_away {
            self.on_not_run(now, attempt, reason, dispatcher);
        }
        self.place(now);
    }

    /// A dispatcher has a slot for a queued attempt and asks for the body. `None` means that the attempt is gone
    /// and must not start.
    pub fn on_claim(
        &mut self,
        now: Instant,
        session: SessionId,
        attempt: AttemptId,
    ) -> Option<Payload> {
        let flight = self.flights.get(&attempt)?;
        // An ask of an older session comes from a reservation that was given up when that session was lost, and the
        // body goes out once only. In any other phase the ask is good, whatever was heard before: it may overtake the
        // verdict, or follow a withdrawal that the dispatcher could not confirm, and only a dispatcher that keeps no
        // body asks.
        if flight.session != session || flight.phase == FlightPhase::Claimed {
            return None;
        }
        let record = self
            .records
            .get_mut(&attempt.submission.serial)
            .filter(|record| record.is_open());
        let Some(task) = record.and_then(|record| record.task_mut(attempt.task)) else {
            // Its submission has its answer. The dispatcher forgets the attempt on hearing so, and its part of the
            // concurrency is free.
            self.land(attempt);
            return None;
        };
        let payload = task.body.payload.clone();
        self.set_phase(attempt, FlightPhase::Claimed);
        self.mark_started(now, attempt);
        self.note(AuthorityEvent::Claimed(attempt));
        Some(payload)
    }

    /// An attempt has ended after `ran`.
    pub fn on_ended(&mut self, now: Instant, attempt: AttemptId, end: AttemptEnd, ran: Duration) {
        let Some(flight) = self.land(attempt) else {
            // Nobody waits for it: the attempt was given up as unknown before, and stays so.
            return;
        };
        self.note(AuthorityEvent::Ended(attempt, end.clone()));
        self.learn(now, &flight, &end, ran);
        match end {
            AttemptEnd::Done(result) => self.on_done(now, attempt, result),
            AttemptEnd::Failed => self.finish_failed(now, attempt, FailureReason::TaskFailed),
            AttemptEnd::NotRun(reason) => self.on_not_run(now, attempt, reason, flight.dispatcher),
            AttemptEnd::Unknown(reason) => self.on_unknown(now, attempt, reason),
        }
        self.place(now);
    }

    /// A dispatcher has said what became of withdrawn attempts.
    pub fn on_withdrawn(&mut self, now: Instant, replies: &[(AttemptId, WithdrawalReply)]) {
        for (attempt, reply) in replies {
            match reply {
                WithdrawalReply::NotRun => {
                    if let Some(flight) = self.land(*attempt) {
                        self.on_not_run(now, *attempt, RetryReason::Withdrawn, flight.dispatcher);
                    }
                }
                // It may only mean that the offer is still on its way there. Taken for a start, it would hide the
                // verdict that comes next, and the attempt would hold its part of the concurrency for ever.
                WithdrawalReply::Running => {}
            }
        }
        self.place(now);
    }

    /// A dispatcher has said how its slots stand.
    pub fn on_slots(&mut self, now: Instant, dispatcher: DispatcherKey, slots: SlotCounts) {
        let Some(session) = self.sessions.get_mut(&dispatcher) else {
            return;
        };
        let gained = session.slots.limit == 0 && slots.limit > 0;
        session.slots = slots;
        self.hint(now, dispatcher);
        if gained || (self.unplaced && slots.limit > 0) {
            self.unplaced = false;
            self.waiting.mark_all();
            self.place(now);
        }
    }

    /// Notes how far an attempt has come; `false` when it is gone.
    fn set_phase(&mut self, attempt: AttemptId, phase: FlightPhase) -> bool {
        let Some(flight) = self.flights.get_mut(&attempt) else {
            return false;
        };
        let before = std::mem::replace(&mut flight.phase, phase);
        let dispatcher = flight.dispatcher;
        if before == FlightPhase::Offered {
            self.on_answered(dispatcher);
        }
        true
    }

    /// Takes the run time of what ran, also of a task whose submission has its answer: those that come after the
    /// deadline are the slow ones, and without them their kind would look fast.
    fn learn(&mut self, now: Instant, flight: &FlightRecord, end: &AttemptEnd, ran: Duration) {
        let (customer, kind) = (&flight.customer, &flight.kind);
        match end {
            AttemptEnd::Done(_) => {
                self.times.record(now, customer, kind, ran);
                let others = self.mean_run_time * (MEAN_OVER - 1);
                self.mean_run_time = (others + ran) / MEAN_OVER;
            }
            AttemptEnd::Failed => self.times.record_failure(now, customer, kind),
            AttemptEnd::NotRun(_) | AttemptEnd::Unknown(_) => {}
        }
    }

    fn set_waiting(&mut self, attempt: AttemptId) {
        let record = self.records.get_mut(&attempt.submission.serial);
        if let Some(task) = record.and_then(|record| record.task_mut(attempt.task)) {
            task.phase = TaskPhase::Waiting;
        }
    }

    /// Load: two entries that place onto the same free slots without knowing of each other. Harm: one of them waits for a
    /// whole run time while a slot stands free at another dispatcher. A queued task has certainly not started and its ask
    /// will be turned away, so it can go there at the price of an offer and a withdrawal. Only as many move as there are
    /// free slots, and each task twice at most, since what is known of other dispatchers may be as old as their last
    /// word; with every slot in use nothing moves.
    fn may_move(&self, attempt: AttemptId, moved: usize) -> bool {
        let Some(flight) = self
            .flights
            .get(&attempt)
            .filter(|flight| flight.phase == FlightPhase::Offered)
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
            && self.places.free_beside(flight.dispatcher) > moved as u64
    }

    fn on_taken(&mut self, now: Instant, attempt: AttemptId, phase: FlightPhase) {
        let Some(flight) = self.flights.get(&attempt) else {
            return;
        };
        // A verdict that was overtaken by the ask or the end says nothing new.
        if flight.phase != FlightPhase::Offered {
            return;
        }
        self.set_phase(attempt, phase);
        match phase {
            FlightPhase::Queued => self.note(AuthorityEvent::Queued(attempt)),
            _ => {
                self.mark_started(now, attempt);
                self.note(AuthorityEvent::Started(attempt));
            }
        }
        self.withdraw_if_answered(attempt);
    }

    /// Takes an attempt out of the air and gives its part of the concurrency back.
    pub(super) fn land(&mut self, attempt: AttemptId) -> Option<FlightRecord> {
        let flight = self.flights.remove(&attempt)?;
        self.waiting.release(&flight.customer);
        if flight.phase == FlightPhase::Offered {
            self.on_answered(flight.dispatcher);
        }
        self.places.on_end(flight.dispatcher);
        Some(flight)
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
        let expected = task.expected;
        record.done += 1;
        self.load.end(now, &record.customer, expected, true);
        if record.done as usize == record.tasks.len() {
            let results = record.results();
            self.finish(now, serial, SubmissionOutcome::Complete(results));
        }
    }

    /// The one place where a task becomes ready for another attempt: each way here is a definite not-run.
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
            self.load.put_back(&customer, task.expected);
        }
        let attempts = task.attempts - first_attempt;
        self.note(AuthorityEvent::Retried(attempt, reason));
        self.waiting.avoid(serial, attempt.task, dispatcher);
        if !tells_of_load(reason) {
            self.waiting.push(&customer, waiting);
            return;
        }
        // Load: endpoints that turn everything away. Harm: each refusal causes another placement, and the overload
        // feeds itself. The budget bounds placements to the first ones plus the contract's percentage.
        let granted = !costs_budget(reason) || self.budget.try_retry(now, &customer);
        if attempts >= MAX_LOAD_RETRIES || !granted {
            self.finish_not_placed(now, serial, RefusalReason::RetryBudgetSpent);
            return;
        }
        let pause = self.pause(attempts);
        self.waiting.pause(&customer, now + pause, waiting);
    }

    fn on_unknown(&mut self, now: Instant, attempt: AttemptId, reason: UnknownReason) {
        let serial = attempt.submission.serial;
        let Some(record) = self.records.get(&serial).filter(|record| record.is_open()) else {
            return;
        };
        let outcome = match record.shape {
            SubmissionShape::Job => SubmissionOutcome::Failed(FailureReason::TaskUnknown),
            SubmissionShape::Request => SubmissionOutcome::Unknown(reason),
        };
        self.finish(now, serial, outcome);
    }

    pub(super) fn give_up_attempt(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        reason: UnknownReason,
    ) {
        if self.land(attempt).is_some() {
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

    /// Doubles with each attempt, with a random part so that tasks refused together do not come back together.
    fn pause(&mut self, attempts: u32) -> Duration {
        let doubled = self.settings.retry_pause * 2u32.saturating_pow(attempts.min(10));
        let longest = doubled.min(self.settings.max_retry_pause);
        longest.mul_f64(0.5 + self.rng.f64() / 2.0)
    }
}

/// Whether another try is taken out of the customer's budget. A dispatcher hands back what waits for it when its last
/// endpoint gets another owner: that tells of a change, and since it says so with its slots it gets no more offers.
/// The task still pauses, or it would come back before the new owner is known.
fn costs_budget(reason: RetryReason) -> bool {
    tells_of_load(reason) && reason != RetryReason::NoEndpoint
}

/// Whether a refusal comes from load, so that trying again adds to it. The others come from a change in the
/// system, and the task goes elsewhere at once.
fn tells_of_load(reason: RetryReason) -> bool {
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
