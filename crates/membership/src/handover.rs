//! Reports of running tasks from a leaving owner of endpoints to the new owners.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{EndpointId, FastMap, IncarnationId};

/// The tasks that a leaving owner still runs on endpoints that pass to one new owner.
///
/// An owner may leave while its tasks run to their ends. Without this report the new owner would count all slots as
/// free and overfill the endpoints. Their busy answers are definite, but each costs a message and delays a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverReport {
    /// The leaving owner.
    pub from: SocketAddr,
    /// The incarnation of that owner.
    pub incarnation: IncarnationId,
    /// Increases with each report of that incarnation. Each report replaces the previous one.
    pub serial: u64,
    /// One count for each endpoint with running tasks.
    pub counts: Vec<HandoverCount>,
}

/// Running tasks at one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverCount {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The time left until the deadline of each running task when the report is sent. These are lengths of time, since
    /// the clocks of two processes cannot be compared.
    pub time_left: Vec<Duration>,
}

/// The new owner's record of slots that previous owners still use.
///
/// A slot counts as used until a later report omits it or the deadline of its task has passed. The leaving owner may be
/// gone before its last task ends, and a record without an expiry would occupy the slot for ever. A task that outlives
/// its deadline costs at most a busy answer.
#[derive(Clone, Debug, Default)]
pub struct HandoverTracker {
    reports: FastMap<IncarnationId, ReportRecord>,
}

#[derive(Clone, Debug)]
struct ReportRecord {
    serial: u64,
    deadlines: FastMap<EndpointId, Vec<Instant>>,
}

impl HandoverTracker {
    /// Records a report. A report that is no newer than the last one of the same incarnation is ignored.
    pub fn on_report(&mut self, now: Instant, report: HandoverReport) {
        let record = self.reports.get(&report.incarnation);
        if record.is_some_and(|record| report.serial <= record.serial) {
            return;
        }
        let mut deadlines: FastMap<EndpointId, Vec<Instant>> = FastMap::default();
        for count in report.counts {
            let task_deadlines = deadlines.entry(count.endpoint).or_default();
            task_deadlines.extend(count.time_left.into_iter().map(|left| now + left));
        }
        let serial = report.serial;
        self.reports
            .insert(report.incarnation, ReportRecord { serial, deadlines });
    }

    /// The number of slots of the endpoint that previous owners use at `now`.
    pub fn used_slots_of(&self, now: Instant, endpoint: &EndpointId) -> usize {
        let mut used = 0;
        for report in self.reports.values() {
            let Some(deadlines) = report.deadlines.get(endpoint) else {
                continue;
            };
            used += deadlines.iter().filter(|deadline| now < **deadline).count();
        }
        used
    }

    /// The number of slots that previous owners use at `now`, for every endpoint with at least one.
    pub fn used_slots(&self, now: Instant) -> FastMap<EndpointId, u32> {
        let mut used: FastMap<EndpointId, u32> = FastMap::default();
        for report in self.reports.values() {
            for (endpoint, deadlines) in &report.deadlines {
                let unexpired = deadlines.iter().filter(|deadline| now < **deadline).count();
                *used.entry(endpoint.clone()).or_default() += unexpired as u32;
            }
        }
        used.retain(|_, count| *count > 0);
        used
    }

    /// Removes expired deadlines and empty reports. Returns `true` if no report is left.
    pub fn tick(&mut self, now: Instant) -> bool {
        for report in self.reports.values_mut() {
            report.deadlines.retain(|_, deadlines| {
                deadlines.retain(|deadline| now < *deadline);
                !deadlines.is_empty()
            });
        }
        self.reports
            .retain(|_, report| !report.deadlines.is_empty());
        self.reports.is_empty()
    }
}
