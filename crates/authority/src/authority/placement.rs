//! Placement: offers waiting tasks to dispatchers.

use std::{collections::BTreeMap, time::Instant};

use decisions::{PlacementQuery, SlotsHint};
use model::{split_into_messages, AttemptId, CustomerId, TaskOffer};

use crate::{
    action::{AuthorityAction, AuthorityEvent},
    attempt::{AttemptPhase, InFlightAttempt},
    authority::TaskAuthority,
    record::TaskPhase,
    session::DispatcherKey,
    waiting::WaitingTask,
};

impl TaskAuthority {
    /// Whether any reachable dispatcher accepts tasks.
    pub fn has_capacity(&self) -> bool {
        self.sessions
            .values()
            .any(|session| session.open_session().is_some() && takes_work(session))
    }

    /// Whether a reachable dispatcher accepts tasks or did within the capacity grace. Has to be called at every tick,
    /// since it records the last time at which a dispatcher accepted tasks.
    pub(super) fn had_recent_capacity(&mut self, now: Instant) -> bool {
        if self.has_capacity() {
            self.last_capacity_at = Some(now);
        }
        let grace = self.settings.capacity_grace;
        self.last_capacity_at
            .is_some_and(|last| now.saturating_duration_since(last) <= grace)
    }

    /// Offers the tasks that may be offered. The cost grows with the changes since the last call, not with the waiting
    /// tasks.
    pub(super) fn place(&mut self, now: Instant) {
        if !self.has_capacity() {
            return;
        }
        let mut batches = BTreeMap::new();
        for customer in self.waiting.take_changed() {
            if !self.place_customer(now, &customer, &mut batches) {
                // No dispatcher can be chosen at present. All tasks wait for the next report of a dispatcher.
                self.unplaced = true;
                break;
            }
        }
        for (dispatcher, offers) in batches {
            self.send_batches(dispatcher, offers);
        }
    }

    /// Places the tasks that one customer may have in flight; `false` if no dispatcher can be chosen.
    fn place_customer(
        &mut self,
        now: Instant,
        customer: &CustomerId,
        batches: &mut BTreeMap<DispatcherKey, Vec<TaskOffer>>,
    ) -> bool {
        while let Some(task) = self.waiting.pop(now, customer) {
            if !self.place_task(now, customer, task, batches) {
                return false;
            }
        }
        true
    }

    fn place_task(
        &mut self,
        now: Instant,
        customer: &CustomerId,
        task: WaitingTask,
        batches: &mut BTreeMap<DispatcherKey, Vec<TaskOffer>>,
    ) -> bool {
        let avoided = self.waiting.take_avoided(task);
        let is_placeable = self
            .records
            .get(&task.serial)
            .is_some_and(|record| record.is_open() && record.is_waiting(task.task));
        if !is_placeable {
            self.waiting.release(customer);
            return true;
        }
        if self.is_predicted_late(now, task.serial, task.task) {
            self.waiting.release(customer);
            self.refuse_predicted_late(now, task.serial);
            return true;
        }
        let Some(dispatcher) = self.choose_dispatcher(now, avoided) else {
            self.waiting.release(customer);
            self.waiting.push(customer, task);
            return false;
        };
        match self.create_offer(now, task, dispatcher) {
            Some(offer) => batches.entry(dispatcher).or_default().push(offer),
            None => self.waiting.release(customer),
        }
        true
    }

    /// Marks a task as in flight to a dispatcher and creates its offer.
    fn create_offer(
        &mut self,
        now: Instant,
        task: WaitingTask,
        dispatcher: DispatcherKey,
    ) -> Option<TaskOffer> {
        let submission = self.submission_id(task.serial);
        let record = self
            .records
            .get_mut(&task.serial)
            .filter(|record| record.is_open() && record.is_waiting(task.task))?;
        let (customer, share) = (record.customer.clone(), record.share);
        let (first_attempt, retry_percent) = (record.first_attempt, record.retry_percent);
        let time_left = record.due.saturating_duration_since(now);
        let task_record = record.task_mut(task.task)?;
        let attempt = AttemptId {
            submission,
            task: task.task,
            attempt: task_record.attempt_count,
        };
        task_record.attempt_count += 1;
        task_record.phase = TaskPhase::InFlight;
        let body = task_record.body.clone();
        let session = self.sessions.get_mut(&dispatcher)?;
        session.unanswered_offers += 1;
        let (session, _) = session.open_session()?;
        let in_flight = InFlightAttempt {
            customer: customer.clone(),
            kind: body.kind.clone(),
            dispatcher,
            session,
            phase: AttemptPhase::Offered,
        };
        self.attempts.insert(attempt, in_flight);
        if attempt.attempt == first_attempt {
            self.retry_budget
                .on_placed(now, &customer, 1, retry_percent);
        }
        self.emit_event(AuthorityEvent::Offered(attempt, dispatcher));
        // The offer carries the estimate, because callers may declare run times a hundred times too long or too short.
        // With such a value the dispatcher's fair queue would charge the customer wrongly and hold back a slot's worth
        // of work for nothing.
        let expected =
            self.run_times
                .expected_run_time(now, &customer, &body.kind, body.declared_run_time);
        Some(TaskOffer {
            attempt,
            customer,
            share,
            kind: body.kind,
            time_left,
            expected_run_time: expected.run_time,
            payload: body.payload,
        })
    }

    /// Sends offers in batches of bounded size.
    ///
    /// Jobs of large payloads are offered together when a session opens or a limit rises. In one message they would
    /// exceed the reader's limit, and the call would fail on each session again; just below that limit, the first task
    /// would wait for the bytes of the last one. Each part is a batch of its own, so that a withdrawal names the last
    /// part sent.
    fn send_batches(&mut self, dispatcher: DispatcherKey, offers: Vec<TaskOffer>) {
        for part in split_into_messages(offers, |offer| offer.payload.size()) {
            self.send_batch(dispatcher, part);
        }
    }

    fn send_batch(&mut self, dispatcher: DispatcherKey, offers: Vec<TaskOffer>) {
        let Some((session, batch)) = self
            .sessions
            .get_mut(&dispatcher)
            .and_then(|session| session.next_batch())
        else {
            return;
        };
        self.actions.push(AuthorityAction::Offer {
            dispatcher,
            session,
            batch,
            offers,
        });
    }

    /// Passes the last slot counts of a dispatcher to the placement table, which contains no stopping or lost
    /// dispatchers.
    pub(super) fn update_placement(&mut self, now: Instant, dispatcher: DispatcherKey) {
        let Some(session) = self.sessions.get(&dispatcher) else {
            return;
        };
        let hint = SlotsHint {
            limit: session.slots.limit,
            running: session.slots.running,
            queued: session.slots.queued,
        };
        self.placement
            .on_hint(now, dispatcher, hint, session.unanswered_offers);
    }

    /// Counts an offer to the dispatcher as answered, whatever the answer.
    pub(super) fn on_offer_answered(&mut self, dispatcher: DispatcherKey) {
        if let Some(session) = self.sessions.get_mut(&dispatcher) {
            session.unanswered_offers = session.unanswered_offers.saturating_sub(1);
        }
        self.placement.on_answer(dispatcher);
    }

    /// Chooses a dispatcher for a task.
    ///
    /// In bursts of jobs over dispatchers of unequal size, a task queued behind a full dispatcher is answered late
    /// although another has free slots. Stopping dispatchers and those without an open session are not in the table.
    /// `avoided`, which has just refused the task, is chosen only if there is no other.
    fn choose_dispatcher(
        &mut self,
        now: Instant,
        avoided: Option<DispatcherKey>,
    ) -> Option<DispatcherKey> {
        let query = PlacementQuery {
            mean_run_time: self.mean_run_time,
        };
        match avoided {
            Some(avoided) => self.placement.choose_avoiding(now, query, avoided),
            None => self.placement.choose(now, query),
        }
    }
}

fn takes_work(session: &crate::session::DispatcherSession) -> bool {
    !session.stopping && session.slots.limit > 0
}
