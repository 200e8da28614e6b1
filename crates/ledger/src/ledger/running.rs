//! Starts and ends of tasks on endpoints, and the set of endpoints.

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
    /// Handles the end of a task on its endpoint.
    pub fn on_task_ended(&mut self, now: Instant, attempt: AttemptId, end: AttemptEnd) {
        let Some(task) = self.running.remove(&attempt) else {
            return;
        };
        let ran = now.saturating_duration_since(task.started);
        self.record_run(now, &task, &end, ran);
        self.release_slot(&task.endpoint);
        let charged = if matches!(end, AttemptEnd::NotRun(_)) {
            Duration::ZERO
        } else {
            ran
        };
        self.queue
            .correct_charge(&task.customer, charged, task.expected);
        if matches!(end, AttemptEnd::NotRun(RetryReason::EndpointLeaving)) {
            // The endpoint's own report takes precedence over the VM list, which lags.
            self.set_leaving(&task.endpoint);
        }
        self.report(now, task.entry, attempt, end, ran);
        self.fill_slots(now);
    }

    /// Sets the endpoints that this dispatcher owns. An endpoint that is no longer owned gets no new tasks and is
    /// removed when its last task has ended.
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

    /// Sets how many slots previous owners still use. The counts also apply to endpoints that are added later, since
    /// the report may arrive before the endpoint.
    ///
    /// When an owner leaves with its slots full, a start on a slot that is not free would be rejected, which costs a
    /// message and delays the caller.
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

    /// The running tasks on endpoints that this dispatcher does not own, each with the time left until its deadline.
    /// Covers all endpoints if this dispatcher is stopping.
    pub fn unowned_tasks(&self, now: Instant) -> FastMap<EndpointId, Vec<Duration>> {
        let mut tasks: FastMap<EndpointId, Vec<Duration>> = FastMap::default();
        for task in self.running.values() {
            let record = self.endpoints.get(&task.endpoint);
            if !self.stopping && record.is_some_and(|record| record.owned) {
                continue;
            }
            let left = task.deadline.saturating_duration_since(now);
            tasks.entry(task.endpoint.clone()).or_default().push(left);
        }
        tasks
    }

    /// The number of tasks that run on an endpoint, including slots held for claimed bodies.
    pub fn running_on(&self, endpoint: &EndpointId) -> u32 {
        self.endpoints
            .get(endpoint)
            .map_or(0, |record| record.running)
    }

    /// Returns the endpoint on which an attempt runs.
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
            deadline: now + offer.time_left,
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
                // Another address under the same id is another process, which does not inherit the health of the old
                // one.
                record.health = EndpointHealth::new(health);
                record.limit = address.slots;
                record.state = EndpointState::Live;
            }
            record.address = address.clone();
            record.owned = true;
            // An endpoint that has itself reported that it is leaving stays so, although the list may still show it as
            // live.
            if state == EndpointState::Leaving {
                record.state = state;
            }
        });
    }

    /// Records the end of a task and updates the health of its endpoint. An endpoint that fails or slows down
    /// everything it starts is always free, so it would attract more work than the healthy ones. The results of its
    /// tasks, compared with those of such tasks elsewhere, set its limit.
    fn record_run(&mut self, now: Instant, task: &RunningTask, end: &AttemptEnd, ran: Duration) {
        let expected = self
            .run_times
            .expected_run_time(now, &task.customer, &task.kind, None)
            .run_time;
        let report = EndReport {
            kind: EndKind::from(end),
            ran,
            expected: self.fleet.scale(expected),
            failure_rate: self.run_times.failure_rate(&task.customer, &task.kind),
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

    /// Recomputes the limits, which recover with time as a quarantine or pause ends. A dispatcher owns a few dozen
    /// endpoints at most.
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

    /// Returns every reservation to its entry after the last endpoint was lost. The tasks would otherwise wait here for
    /// a slot that will not come while other dispatchers have free ones.
    fn return_reservations_without_endpoint(&mut self, now: Instant) {
        let mut attempts: Vec<_> = self.reservations.keys().copied().collect();
        attempts.sort_unstable();
        for attempt in attempts {
            self.drop_reservation(&attempt);
            self.report_not_run(now, attempt, RetryReason::NoEndpoint);
        }
    }
}
