//! Offers waiting tasks to dispatchers.

use std::{collections::BTreeMap, time::Instant};

use decisions::{PlacementQuery, SlotsHint};
use model::{split_into_messages, AttemptId, CustomerId, TaskOffer};

use crate::{
    action::{AuthorityAction, AuthorityEvent},
    authority::TaskAuthority,
    flight::{FlightPhase, FlightRecord},
    record::TaskPhase,
    session::DispatcherKey,
    waiting::WaitingTask,
};

impl TaskAuthority {
    /// Whether any reachable dispatcher takes work.
    pub fn has_capacity(&self) -> bool {
        self.sessions
            .values()
            .any(|session| session.open().is_some() && takes_work(session))
    }

    /// Whether slots are in reach or were a moment ago.
    pub(super) fn had_capacity(&mut self, now: Instant) -> bool {
        if self.has_capacity() {
            self.last_capacity = Some(now);
        }
        let grace = self.settings.capacity_grace;
        self.last_capacity
            .is_some_and(|last| now.saturating_duration_since(last) <= grace)
    }

    /// Offers what may be offered. Costs what changed since the last call, not what waits.
    pub(super) fn place(&mut self, now: Instant) {
        if !self.has_capacity() {
            return;
        }
        let mut batches = BTreeMap::new();
        for customer in self.waiting.take_changed() {
            if !self.place_customer(now, &customer, &mut batches) {
                // Nobody can be chosen just now. All wait for the next word of a dispatcher.
                self.unplaced = true;
                break;
            }
        }
        for (dispatcher, offers) in batches {
            self.send_batches(dispatcher, offers);
        }
    }

    /// Places what one customer may have in flight; `false` when there is nobody to choose.
    fn place_customer(
        &mut self,
        now: Instant,
        customer: &CustomerId,
        batches: &mut BTreeMap<DispatcherKey, Vec<TaskOffer>>,
    ) -> bool {
        while let Some(task) = self.waiting.pop(now, customer) {
            if !self.place_one(now, customer, task, batches) {
                return false;
            }
        }
        true
    }

    fn place_one(
        &mut self,
        now: Instant,
        customer: &CustomerId,
        task: WaitingTask,
        batches: &mut BTreeMap<DispatcherKey, Vec<TaskOffer>>,
    ) -> bool {
        let avoided = self.waiting.take_avoided(task);
        let wanted = self
            .records
            .get(&task.serial)
            .is_some_and(|record| record.is_open() && record.is_waiting(task.task));
        if !wanted {
            self.waiting.release(customer);
            return true;
        }
        if self.is_hopeless(now, task.serial, task.task) {
            self.waiting.release(customer);
            self.refuse_hopeless(now, task.serial);
            return true;
        }
        let Some(dispatcher) = self.choose(now, avoided) else {
            self.waiting.release(customer);
            self.waiting.push(customer, task);
            return false;
        };
        match self.take_off(now, task, dispatcher) {
            Some(offer) => batches.entry(dispatcher).or_default().push(offer),
            None => self.waiting.release(customer),
        }
        true
    }

    /// Marks a task as in flight to a dispatcher and makes its offer.
    fn take_off(
        &mut self,
        now: Instant,
        task: WaitingTask,
        dispatcher: DispatcherKey,
    ) -> Option<TaskOffer> {
        let submission = self.id(task.serial);
        let record = self
            .records
            .get_mut(&task.serial)
            .filter(|record| record.is_open() && record.is_waiting(task.task))?;
        let (customer, share) = (record.customer.clone(), record.share);
        let (first_attempt, retry_percent) = (record.first_attempt, record.retry_percent);
        let time_left = record.due.saturating_duration_since(now);
        let entry = record.task_mut(task.task)?;
        let attempt = AttemptId {
            submission,
            task: task.task,
            attempt: entry.attempts,
        };
        entry.attempts += 1;
        entry.phase = TaskPhase::InFlight;
        let body = entry.body.clone();
        let session = self.sessions.get_mut(&dispatcher)?;
        session.unanswered += 1;
        let (session, _) = session.open()?;
        let flight = FlightRecord {
            customer: customer.clone(),
            kind: body.kind.clone(),
            dispatcher,
            session,
            phase: FlightPhase::Offered,
        };
        self.flights.insert(attempt, flight);
        if attempt.attempt == first_attempt {
            self.budget.on_placed(now, &customer, 1, retry_percent);
        }
        self.note(AuthorityEvent::Offered(attempt, dispatcher));
        // Load: run times declared a hundred times too long or too short. Harm: by such a word the dispatcher's fair
        // queue bills the customer wrongly and keeps a slot's worth of work back for nothing.
        let expected = self
            .times
            .expect(now, &customer, &body.kind, body.declared_run_time);
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

    /// Load: jobs of large payloads, offered together when a session opens or a limit rises. Harm: in one message they
    /// would pass the reader's limit, and the call fail on each session again; below it, the first task would wait for
    /// the last one's bytes. Each part is a batch of its own, so that a withdrawal names the last part sent.
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

    /// Takes what a dispatcher said of its slots into the choice. One that is stopping or lost is not in the table.
    pub(super) fn hint(&mut self, now: Instant, dispatcher: DispatcherKey) {
        let Some(session) = self.sessions.get(&dispatcher) else {
            return;
        };
        let hint = SlotsHint {
            limit: session.slots.limit,
            running: session.slots.running,
            queued: session.slots.queued,
        };
        self.places
            .on_hint(now, dispatcher, hint, session.unanswered);
    }

    /// A dispatcher has answered an offer, in one way or another.
    pub(super) fn on_answered(&mut self, dispatcher: DispatcherKey) {
        if let Some(session) = self.sessions.get_mut(&dispatcher) {
            session.unanswered = session.unanswered.saturating_sub(1);
        }
        self.places.on_answer(dispatcher);
    }

    /// Load: bursts of jobs over dispatchers with unequal room. Harm: a task queued behind a full dispatcher while
    /// another has free slots answers late. Stopping dispatchers and those without an open session are not in the
    /// table; the one that has just turned the task away is passed over where there is another.
    fn choose(&mut self, now: Instant, avoided: Option<DispatcherKey>) -> Option<DispatcherKey> {
        let query = PlacementQuery {
            mean_run_time: self.mean_run_time,
        };
        match avoided {
            Some(avoided) => self.places.choose_other(now, query, avoided),
            None => self.places.choose(now, query),
        }
    }
}

fn takes_work(session: &crate::session::DispatcherSession) -> bool {
    !session.stopping && session.slots.limit > 0
}
