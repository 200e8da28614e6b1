//! Starts and ends on endpoints, and which endpoints there are.

use std::time::{Duration, Instant};

use model::{
    AttemptEnd, AttemptId, EndpointAddress, EndpointId, EndpointState, FastSet, IncarnationId,
    RetryReason, TaskOffer,
};

use crate::{
    action::LedgerAction,
    endpoint::EndpointRecord,
    ledger::{RunningTask, SlotLedger},
};

impl SlotLedger {
    /// A start has ended on its endpoint.
    pub fn on_ran(&mut self, now: Instant, attempt: AttemptId, end: AttemptEnd) {
        let Some(task) = self.running.remove(&attempt) else {
            return;
        };
        let ran = now.saturating_duration_since(task.started);
        self.release(&task.endpoint);
        let billed = if matches!(end, AttemptEnd::NotRun(_)) {
            Duration::ZERO
        } else {
            ran
        };
        self.queue.charge(&task.customer, billed, task.expected);
        if matches!(end, AttemptEnd::NotRun(RetryReason::EndpointLeaving)) {
            // The endpoint knows better than the VM list, which lags.
            self.set_leaving(&task.endpoint);
        }
        self.report(now, task.entry, attempt, end, ran);
        self.fill_slots(now);
    }

    /// The endpoints that this dispatcher owns now. One that is no longer owned gets nothing new and is forgotten
    /// when its last task has ended.
    pub fn set_endpoints(&mut self, now: Instant, owned: &[(EndpointAddress, EndpointState)]) {
        let mut kept = FastSet::default();
        for (address, state) in owned {
            kept.insert(address.id.clone());
            self.put_endpoint(address, *state);
        }
        for id in self.endpoints.ids() {
            if !kept.contains(&id) {
                self.endpoints.update(&id, |record| record.owned = false);
            }
        }
        if self.endpoints.totals().0 == 0 {
            self.hand_back_no_endpoint(now);
        }
        self.fill_slots(now);
    }

    /// Sets how many slots of an endpoint may be used, as its health allows.
    pub fn set_limit(&mut self, now: Instant, endpoint: &EndpointId, limit: u32) {
        self.endpoints.update(endpoint, |record| {
            record.limit = limit.min(record.address.slots)
        });
        self.fill_slots(now);
    }

    /// Tasks that run on an endpoint, with slots held for asked bodies.
    pub fn running_on(&self, endpoint: &EndpointId) -> u32 {
        self.endpoints
            .get(endpoint)
            .map_or(0, |record| record.running)
    }

    /// The endpoint on which an attempt runs.
    pub fn endpoint_of(&self, attempt: &AttemptId) -> Option<&EndpointId> {
        self.running.get(attempt).map(|task| &task.endpoint)
    }

    pub(super) fn start(
        &mut self,
        now: Instant,
        entry: IncarnationId,
        endpoint: EndpointId,
        offer: TaskOffer,
    ) {
        let Some(address) = self
            .endpoints
            .get(&endpoint)
            .map(|record| record.address.clone())
        else {
            self.report(
                now,
                entry,
                offer.attempt,
                AttemptEnd::NotRun(RetryReason::NoEndpoint),
                Duration::ZERO,
            );
            return;
        };
        self.endpoints
            .update(&endpoint, |record| record.running += 1);
        let task = RunningTask {
            entry,
            endpoint,
            started: now,
            customer: offer.customer.clone(),
            expected: offer.expected_run_time,
        };
        self.running.insert(offer.attempt, task);
        self.actions.push(LedgerAction::Start {
            endpoint: address,
            offer,
        });
    }

    fn put_endpoint(&mut self, address: &EndpointAddress, state: EndpointState) {
        if self.endpoints.get(&address.id).is_none() {
            let (address, limit) = (address.clone(), address.slots);
            self.endpoints.insert(EndpointRecord {
                address,
                running: 0,
                state,
                owned: true,
                limit,
            });
            return;
        }
        self.endpoints.update(&address.id, |record| {
            if record.address != *address {
                record.limit = address.slots;
                // Another address under the same id is another process: it does not inherit the old one's word.
                record.state = EndpointState::Live;
            }
            record.address = address.clone();
            record.owned = true;
            // The endpoint's own word that it is leaving stands, although the list does not say so yet.
            if state == EndpointState::Leaving {
                record.state = state;
            }
        });
    }

    fn set_leaving(&mut self, endpoint: &EndpointId) {
        self.endpoints
            .update(endpoint, |record| record.state = EndpointState::Leaving);
    }

    /// Load: the last endpoint of this dispatcher went. Harm: tasks wait here for a slot that will not come while
    /// other dispatchers have some.
    fn hand_back_no_endpoint(&mut self, now: Instant) {
        let mut attempts: Vec<_> = self.reservations.keys().copied().collect();
        attempts.sort_unstable();
        for attempt in attempts {
            self.drop_reservation(&attempt);
            self.report_not_run(now, attempt, RetryReason::NoEndpoint);
        }
    }
}
