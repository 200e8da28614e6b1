//! What a leaving owner of endpoints tells the new ones.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{EndpointId, FastMap, IncarnationId};

/// The tasks that a leaving owner still has running at endpoints that go to one new owner.
///
/// Failure: an owner leaves while its tasks run to their ends. Symptom without this: the new owner takes all slots for
/// free and overfills the endpoints; the busy answers are definite, but each costs a message and a caller's time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverReport {
    /// The leaving owner.
    pub from: SocketAddr,
    /// The life of that owner.
    pub incarnation: IncarnationId,
    /// Goes up with each report of that life. Each report replaces the one before.
    pub serial: u64,
    /// One for each endpoint with running tasks.
    pub counts: Vec<HandoverCount>,
}

/// Running tasks at one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverCount {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The time left of each running task until its deadline, as of when the report is sent: lengths of time, since
    /// clocks of two processes do not compare.
    pub time_left: Vec<Duration>,
}

/// The new owner's record of slots that earlier owners still use.
///
/// A slot counts as used until a later report leaves it out or its task's deadline has passed: the leaving owner may be
/// gone before its last task ends, and a record without an end would keep the slot for ever. A task that outlives its
/// deadline costs at most a busy answer.
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
    /// Takes a report. One that is no newer than the last of the same owner is ignored.
    pub fn on_report(&mut self, now: Instant, report: HandoverReport) {
        let record = self.reports.get(&report.incarnation);
        if record.is_some_and(|record| report.serial <= record.serial) {
            return;
        }
        let mut deadlines: FastMap<EndpointId, Vec<Instant>> = FastMap::default();
        for count in report.counts {
            let until = deadlines.entry(count.endpoint).or_default();
            until.extend(count.time_left.into_iter().map(|left| now + left));
        }
        let serial = report.serial;
        self.reports
            .insert(report.incarnation, ReportRecord { serial, deadlines });
    }

    /// The slots of the endpoint that earlier owners use now.
    pub fn outstanding(&self, now: Instant, endpoint: &EndpointId) -> usize {
        let mut used = 0;
        for report in self.reports.values() {
            let Some(deadlines) = report.deadlines.get(endpoint) else {
                continue;
            };
            used += deadlines.iter().filter(|at| now < **at).count();
        }
        used
    }

    /// The slots that earlier owners use now, of every endpoint with any.
    pub fn used(&self, now: Instant) -> FastMap<EndpointId, u32> {
        let mut used: FastMap<EndpointId, u32> = FastMap::default();
        for report in self.reports.values() {
            for (endpoint, deadlines) in &report.deadlines {
                let record = deadlines.iter().filter(|at| now < **at).count();
                *used.entry(endpoint.clone()).or_default() += record as u32;
            }
        }
        used.retain(|_, count| *count > 0);
        used
    }

    /// Drops what has expired. Returns true when nothing is left.
    pub fn tick(&mut self, now: Instant) -> bool {
        for report in self.reports.values_mut() {
            report.deadlines.retain(|_, deadlines| {
                deadlines.retain(|at| now < *at);
                !deadlines.is_empty()
            });
        }
        self.reports
            .retain(|_, report| !report.deadlines.is_empty());
        self.reports.is_empty()
    }
}
