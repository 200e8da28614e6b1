//! Starts and ends on endpoints, and which endpoints there are.

use std::time::{Duration, Instant};

use decisions::{EndKind, EndReport, EndpointHealth};
use model::{
    AttemptEnd, AttemptId, EndpointAddress, EndpointId, EndpointState, FastMap, FastSet,
    IncarnationId, RetryReason, TaskOffer,
};

use crate::{
    action::LedgerAction,
    endpoint::EndpointRecord,
    ledger::{RunningTask, SlotLedger},
};

impl SlotLedger {
    /// A start has ended on its endpoint.
    pub fn on_task_ended(&mut self, now: Instant, attempt: AttemptId, end: AttemptEnd) {
        let Some(task) = self.running.remove(&attempt) else {
            return;
        };
        let ran = now.saturating_duration_since(task.started);
        self.record_run(now, &task, &end, ran);
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
            self.insert_or_update_endpoint(address, *state);
        }
        for id in self.endpoints.ids() {
            if !kept.contains(&id) {
                self.endpoints.update(&id, |record| record.owned = false);
            }
        }
        if self.endpoints.totals().0 == 0 {
            self.return_reservations_without_endpoint(now);
        }
        self.fill_slots(now);
    }

    /// Sets how many slots earlier owners still use. It holds for endpoints that come later as well: the report may be
    /// here before the endpoint is.
    ///
    /// Load: an owner leaves with its slots full. Harm: a start at a slot that is not free is turned away, and costs a
    /// message and the caller's time.
    pub fn set_previous_owner_slots(&mut self, now: Instant, used: FastMap<EndpointId, u32>) {
        if used == self.previous_owner_slots {
            return;
        }
        let before = std::mem::replace(&mut self.previous_owner_slots, used);
        for endpoint in before.keys().chain(self.previous_owner_slots.keys()) {
            let used = self
                .previous_owner_slots
                .get(endpoint)
                .copied()
                .unwrap_or_default();
            self.endpoints
                .update(endpoint, |record| record.previous_owner_slots = used);
        }
        self.fill_slots(now);
    }

    /// The tasks that run at endpoints which this dispatcher does not own, with the time left of each until its
    /// deadline. All endpoints when it stops.
    pub fn unowned_tasks(&self, now: Instant) -> FastMap<EndpointId, Vec<Duration>> {
        let mut tasks: FastMap<EndpointId, Vec<Duration>> = FastMap::default();
        for task in self.running.values() {
            let record = self.endpoints.get(&task.endpoint);
            if !self.stopping && record.is_some_and(|record| record.owned) {
                continue;
            }
            let left = task.due.saturating_duration_since(now);
            tasks.entry(task.endpoint.clone()).or_default().push(left);
        }
        tasks
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
        self.endpoints.update(&endpoint, |record| {
            record.running += 1;
            record.health.on_start(now);
            record.refresh_limit(now);
        });
        let task = RunningTask {
            entry,
            endpoint,
            started: now,
            due: now + offer.time_left,
            customer: offer.customer.clone(),
            kind: offer.kind.clone(),
            expected: offer.expected_run_time,
        };
        self.running.insert(offer.attempt, task);
        self.actions.push(LedgerAction::Start {
            endpoint: address,
            offer,
        });
    }

    fn insert_or_update_endpoint(&mut self, address: &EndpointAddress, state: EndpointState) {
        if self.endpoints.get(&address.id).is_none() {
            let mut record = EndpointRecord::new(address.clone(), state, &self.settings.health);
            record.previous_owner_slots = self
                .previous_owner_slots
                .get(&address.id)
                .copied()
                .unwrap_or_default();
            self.endpoints.insert(record);
            return;
        }
        let health = self.settings.health.clone();
        self.endpoints.update(&address.id, |record| {
            if record.address != *address {
                // Another address under the same id is another process: it does not inherit what the old one showed.
                record.health = EndpointHealth::new(health);
                record.limit = address.slots;
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

    /// Load: one endpoint that fails or drags everything it starts. Harm: it is always free, so it draws more work than
    /// the healthy ones. What its tasks show, against what such tasks do elsewhere, sets its limit.
    fn record_run(&mut self, now: Instant, task: &RunningTask, end: &AttemptEnd, ran: Duration) {
        let expected = self
            .run_times
            .expect(now, &task.customer, &task.kind, None)
            .run_time;
        let report = EndReport {
            kind: EndKind::from(end),
            ran,
            expected: self.fleet.scale(expected),
            failure_share: self.run_times.failure_share(&task.customer, &task.kind),
        };
        match report.kind {
            EndKind::Done => {
                self.fleet.on_done(ran, expected);
                self.run_times.record(now, &task.customer, &task.kind, ran);
            }
            EndKind::Failed => self
                .run_times
                .record_failure(now, &task.customer, &task.kind),
            _ => {}
        }
        self.endpoints.update(&task.endpoint, |record| {
            record.health.on_end(now, report);
            record.refresh_limit(now);
        });
    }

    /// Limits come back with time: a quarantine ends, a pause is over. A dispatcher owns a few dozen endpoints at most.
    pub(super) fn refresh_limits(&mut self, now: Instant) {
        for id in self.endpoints.ids() {
            self.endpoints
                .update(&id, |record| record.refresh_limit(now));
        }
    }

    fn set_leaving(&mut self, endpoint: &EndpointId) {
        self.endpoints
            .update(endpoint, |record| record.state = EndpointState::Leaving);
    }

    /// Load: the last endpoint of this dispatcher went. Harm: tasks wait here for a slot that will not come while
    /// other dispatchers have some.
    fn return_reservations_without_endpoint(&mut self, now: Instant) {
        let mut attempts: Vec<_> = self.reservations.keys().copied().collect();
        attempts.sort_unstable();
        for attempt in attempts {
            self.drop_reservation(&attempt);
            self.report_not_run(now, attempt, RetryReason::NoEndpoint);
        }
    }
}
