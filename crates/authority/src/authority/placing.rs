//! Offers waiting tasks to dispatchers.

use std::{collections::BTreeMap, time::Instant};

use model::{AttemptId, CustomerId, TaskOffer};

use crate::{
    action::{AuthorityAction, AuthorityEvent},
    authority::TaskAuthority,
    flight::{FlightPhase, FlightRecord},
    record::TaskPhase,
    session::DispatcherKey,
    waiting::WaitingTask,
};

/// The run time expected of a task about which nothing is known, in milliseconds: the middle of what the users
/// call usual.
const USUAL_RUN_MS: u64 = 200;

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
            while let Some(task) = self.waiting.pop(now, &customer) {
                self.place_one(now, &customer, task, &mut batches);
            }
        }
        for (dispatcher, offers) in batches {
            self.send_batch(dispatcher, offers);
        }
    }

    fn place_one(
        &mut self,
        now: Instant,
        customer: &CustomerId,
        task: WaitingTask,
        batches: &mut BTreeMap<DispatcherKey, Vec<TaskOffer>>,
    ) {
        let avoided = self.waiting.take_avoided(task);
        let Some(dispatcher) = self.choose(avoided) else {
            // The last dispatcher went while this pass ran. The task waits for the next one.
            self.waiting.release(customer);
            self.waiting.push(customer, task);
            return;
        };
        let Some(offer) = self.take_off(now, task, dispatcher) else {
            self.waiting.release(customer);
            return;
        };
        batches.entry(dispatcher).or_default().push(offer);
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
        session.sent_since += 1;
        let (session, _) = session.open()?;
        let flight = FlightRecord {
            customer: customer.clone(),
            dispatcher,
            session,
            phase: FlightPhase::Offered,
        };
        self.flights.insert(attempt, flight);
        self.note(AuthorityEvent::Offered(attempt, dispatcher));
        let usual = std::time::Duration::from_millis(USUAL_RUN_MS);
        Some(TaskOffer {
            attempt,
            customer,
            share,
            kind: body.kind,
            time_left,
            expected_run_time: body.declared_run_time.unwrap_or(usual),
            payload: body.payload,
        })
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

    /// Load: bursts of jobs over dispatchers with unequal room. Harm: a task queued behind a full dispatcher while
    /// another has free slots answers late. The most free slots after what was just sent wins, a local dispatcher
    /// before one in another data centre; ties by lot, so that entries with the same view do not herd.
    fn choose(&mut self, avoided: Option<DispatcherKey>) -> Option<DispatcherKey> {
        let mut best: Option<(PlaceScore, DispatcherKey)> = None;
        let mut keys: Vec<_> = self.sessions.keys().copied().collect();
        keys.sort_unstable();
        for key in keys {
            let session = &self.sessions[&key];
            if session.open().is_none() || !takes_work(session) {
                continue;
            }
            let taken = session.slots.running + session.slots.queued + session.sent_since;
            let limit = session.slots.limit;
            let score = PlaceScore {
                other: avoided != Some(key),
                has_free: limit > taken,
                local: session.data_centre == self.data_centre,
                free: limit.saturating_sub(taken),
                // Per thousand of the limit: a queue of ten at a large dispatcher is shorter than at a small one.
                spare: -(i64::from(taken) * 1000 / i64::from(limit.max(1))),
                lot: self.rng.u16(..),
            };
            if best.as_ref().is_none_or(|(top, _)| score > *top) {
                best = Some((score, key));
            }
        }
        best.map(|(_, key)| key)
    }
}

/// Compared field by field, the greatest wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlaceScore {
    other: bool,
    has_free: bool,
    local: bool,
    free: u32,
    spare: i64,
    lot: u16,
}

fn takes_work(session: &crate::session::DispatcherSession) -> bool {
    !session.stopping && session.slots.limit > 0
}
