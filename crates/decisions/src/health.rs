//! What one endpoint shows of its health, and how much it is given to do.

use std::time::{Duration, Instant};

use model::{AttemptEnd, RetryReason};

use crate::run_time::FailureRate;

/// The weight of one end in the latency of an endpoint: after five the older ones count for a third.
const LATENCY_WEIGHT: f64 = 0.2;

/// The limits of an [`EndpointHealth`].
#[derive(Clone, Debug, PartialEq)]
pub struct HealthSettings {
    /// Weight of failures in a row, without an answer between them, that brings quarantine. An ordinary failure
    /// weighs up to 1.
    ///
    /// Load: an endpoint that fails everything at once has free slots all the time, so it draws the tasks of all
    /// the others. Harm: most jobs fail through one endpoint. Reason: 4 in a row happen by chance in one of a
    /// million rows when one task in thirty fails, and cost less than one filling of the slots.
    pub quarantine_failures: f32,
    /// Weight of a connection that did not come about. Reason: no task is lost by it, but each costs a connect
    /// timeout, so two are enough.
    pub unreachable_weight: f32,
    /// The slowdown from which an endpoint gets fewer tasks at once.
    ///
    /// Load: one endpoint on a throttled VM. Harm: a job answers with its last task, so one slow slot in seventeen
    /// makes most jobs late. Reason: a factor of 2 is within what a mix of short and long tasks shows by chance.
    pub throttle_slowdown: f64,
    /// The slowdown from which an endpoint is quarantined. Reason: at 8 times a usual task takes as long as the
    /// rare long ones, and the whole endpoint is worth one slot.
    pub quarantine_slowdown: f64,
    /// Ends seen before latency counts. Reason: one long task among fewer than five is not told from a slow
    /// endpoint.
    pub min_samples: u32,
    /// The first quarantine. Reason: long enough for a process to restart, and a probe every second costs nothing.
    pub initial_quarantine: Duration,
    /// The longest quarantine; each failed probe doubles it. Reason: a probe is a real task that a caller waits
    /// for, so a dead endpoint may cost at most two a minute.
    pub max_quarantine: Duration,
    /// The pause after a busy answer while nothing of ours runs there; doubles up to `max_busy_backoff`.
    ///
    /// Load: the slots are held by another owner for a moment. Harm: without a pause the same task goes back and
    /// forth as fast as the network can. Reason: 20 ms is less than the shortest task.
    pub initial_busy_backoff: Duration,
    /// The longest pause. Reason: a usual task has ended by then.
    pub max_busy_backoff: Duration,
    /// The time between raises of a limit that a busy answer lowered. Reason: a tenth of a second for each slot
    /// gives eight slots back within a second, with at most ten wasted messages in it.
    pub limit_raise_interval: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            quarantine_failures: 4.0,
            unreachable_weight: 2.0,
            throttle_slowdown: 2.0,
            quarantine_slowdown: 8.0,
            min_samples: 5,
            initial_quarantine: Duration::from_secs(1),
            max_quarantine: Duration::from_secs(30),
            initial_busy_backoff: Duration::from_millis(20),
            max_busy_backoff: Duration::from_millis(640),
            limit_raise_interval: Duration::from_millis(100),
        }
    }
}

/// How a task ended, as far as it says something about the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// It gave an answer.
    Done,
    /// It said that the task failed.
    Failed,
    /// It said that it has no free slot.
    Busy,
    /// It said that it is leaving.
    Leaving,
    /// No connection came about.
    Unreachable,
    /// The connection broke, the answer was broken or did not come.
    Unknown,
    /// The task did not start for a reason that is not the endpoint's.
    NotStarted,
}

impl From<&AttemptEnd> for EndKind {
    fn from(end: &AttemptEnd) -> Self {
        match end {
            AttemptEnd::Done(_) => Self::Done,
            AttemptEnd::Failed => Self::Failed,
            AttemptEnd::NotRun(RetryReason::EndpointBusy) => Self::Busy,
            AttemptEnd::NotRun(RetryReason::EndpointLeaving) => Self::Leaving,
            AttemptEnd::NotRun(RetryReason::EndpointUnreachable) => Self::Unreachable,
            AttemptEnd::NotRun(_) => Self::NotStarted,
            AttemptEnd::Unknown(_) => Self::Unknown,
        }
    }
}

/// What an ended task says about its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndReport {
    /// How it ended.
    pub kind: EndKind,
    /// How long it ran.
    pub ran: Duration,
    /// How long such tasks run on the other endpoints: what [`crate::RunTimeTable`] expects, scaled by
    /// [`FleetLatency::scale`].
    pub expected: Duration,
    /// How many such tasks fail over all endpoints, as [`crate::RunTimeTable`] has seen it.
    pub failure_rate: FailureRate,
}

/// The state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// It gets tasks up to its limit.
    Active,
    /// It gets nothing until then, and after that one task to show what it does.
    Quarantined {
        /// When the probe may start.
        until: Instant,
    },
    /// The one task runs.
    Probing,
    /// It said that it is leaving and gets nothing again. The platform's list lags, so its word counts for more.
    Leaving,
}

/// How many tasks one endpoint may have at once, by what its tasks show.
///
/// The dispatcher starts a task where fewer run than [`Self::capacity`]. A limit comes down at once by a busy
/// answer, in proportion by latency against the other endpoints, and to nothing by failures in a row; it comes back
/// slot by slot. Each call is O(1).
#[derive(Clone, Debug)]
pub struct EndpointHealth {
    settings: HealthSettings,
    state: HealthState,
    running: u32,
    failure_weight: f32,
    next_quarantine: Duration,
    /// The limit that busy answers and probes leave; `None` while nothing limits.
    limit: Option<u32>,
    limit_changed_at: Option<Instant>,
    busy_backoff: Duration,
    backoff_until: Option<Instant>,
    latency: LatencyRatio,
}

impl EndpointHealth {
    /// An endpoint of which nothing bad is known.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            next_quarantine: settings.initial_quarantine,
            busy_backoff: settings.initial_busy_backoff,
            settings,
            state: HealthState::Active,
            running: 0,
            failure_weight: 0.0,
            limit: None,
            limit_changed_at: None,
            backoff_until: None,
            latency: LatencyRatio::default(),
        }
    }

    /// How many tasks may run there at once, of the `slots` that it has.
    pub fn capacity(&self, now: Instant, slots: u32) -> u32 {
        match self.state {
            HealthState::Leaving => 0,
            _ if self.backoff_until.is_some_and(|until| now < until) => 0,
            HealthState::Quarantined { until } if now < until => 0,
            HealthState::Quarantined { .. } | HealthState::Probing => slots.min(1),
            HealthState::Active => self
                .limit
                .unwrap_or(slots)
                .min(self.latency_limit(slots))
                .min(slots),
        }
    }

    /// Notes that a task was sent there.
    pub fn on_start(&mut self, now: Instant) {
        self.running += 1;
        match self.state {
            HealthState::Quarantined { until } if until <= now => {
                self.state = HealthState::Probing;
            }
            _ => {}
        }
    }

    /// Notes the end of a task that was sent there.
    pub fn on_end(&mut self, now: Instant, report: EndReport) {
        self.running = self.running.saturating_sub(1);
        match report.kind {
            EndKind::Done => self.on_done(now, report),
            EndKind::Failed | EndKind::Unknown => {
                // A task of a kind that fails everywhere says little about this endpoint. Without this a customer
                // with broken tasks, or with deadlines too short for them, would have all endpoints quarantined
                // for everyone.
                let weight = 1.0 - report.failure_rate.0.clamp(0.0, 1.0);
                self.on_failure(now, weight);
            }
            EndKind::Unreachable => self.on_failure(now, self.settings.unreachable_weight),
            EndKind::Busy => self.on_busy(now),
            EndKind::Leaving => self.state = HealthState::Leaving,
            // Nothing was shown. While probing, the next task is the probe.
            EndKind::NotStarted => {}
        }
    }

    /// The state.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Tasks sent there that have not ended.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// How many times longer than elsewhere its tasks take; 1 while too few are known. Of the endpoints with a free
    /// slot the dispatcher takes the one with the lowest.
    pub fn slowdown(&self) -> f64 {
        match self.latency.samples < self.settings.min_samples {
            true => 1.0,
            false => self.latency.ratio(),
        }
    }

    fn latency_limit(&self, slots: u32) -> u32 {
        let slowdown = self.slowdown();
        if slowdown < self.settings.throttle_slowdown {
            return slots;
        }
        // In proportion, so that the endpoint holds as much work as a healthy one with that many slots less.
        ((f64::from(slots) / slowdown) as u32).max(1)
    }

    fn on_done(&mut self, now: Instant, report: EndReport) {
        self.failure_weight = 0.0;
        self.busy_backoff = self.settings.initial_busy_backoff;
        self.latency
            .add(report.ran, report.expected, LATENCY_WEIGHT);
        match self.state {
            HealthState::Active if self.slowdown() >= self.settings.quarantine_slowdown => {
                self.enter_quarantine(now);
            }
            HealthState::Active => self.raise_limit(now),
            HealthState::Probing if self.probe_is_slow(&report) => self.enter_quarantine(now),
            HealthState::Probing => self.reopen(now),
            // An old task that ends during quarantine proves nothing about new ones.
            HealthState::Quarantined { .. } | HealthState::Leaving => {}
        }
    }

    fn on_failure(&mut self, now: Instant, weight: f32) {
        self.failure_weight += weight;
        match self.state {
            HealthState::Active if self.failure_weight >= self.settings.quarantine_failures => {
                self.enter_quarantine(now);
            }
            HealthState::Probing => self.enter_quarantine(now),
            HealthState::Active | HealthState::Quarantined { .. } | HealthState::Leaving => {}
        }
    }

    fn on_busy(&mut self, now: Instant) {
        self.limit = Some(self.running.max(1));
        self.limit_changed_at = Some(now);
        if self.running == 0 {
            self.backoff_until = Some(now + self.busy_backoff);
            self.busy_backoff = (self.busy_backoff * 2).min(self.settings.max_busy_backoff);
        }
    }

    fn raise_limit(&mut self, now: Instant) {
        let Some(limit) = self.limit else {
            return;
        };
        let due = self
            .limit_changed_at
            .is_none_or(|at| now >= at + self.settings.limit_raise_interval);
        if due {
            self.limit = Some(limit.saturating_add(1));
            self.limit_changed_at = Some(now);
        }
    }

    fn probe_is_slow(&self, report: &EndReport) -> bool {
        let ratio = LatencyRatio::log_ratio(report.ran, report.expected).exp();
        // A short task on a lagging endpoint takes as long as a usual one elsewhere, so one probe has to show more than
        // that it does not lag.
        ratio >= self.settings.throttle_slowdown
    }

    fn enter_quarantine(&mut self, now: Instant) {
        let until = now + self.next_quarantine;
        self.state = HealthState::Quarantined { until };
        self.next_quarantine = (self.next_quarantine * 2).min(self.settings.max_quarantine);
        self.failure_weight = 0.0;
    }

    /// Opens with one slot: an endpoint that ran one task well may still fail under eight.
    fn reopen(&mut self, now: Instant) {
        self.state = HealthState::Active;
        self.next_quarantine = self.settings.initial_quarantine;
        self.limit = Some(1);
        self.limit_changed_at = Some(now);
        self.latency = LatencyRatio::default();
    }
}

/// How the run times of all endpoints of one dispatcher stand to the expected ones just now.
///
/// Load: a rush that slows down all endpoints alike, by a table or a network that they share. Harm: each looks slow
/// against the run times learned before, all limits come down together and the rush meets half the slots. Scaled
/// by this, an endpoint is slow only where it is slower than the others.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetLatency(LatencyRatio);

impl FleetLatency {
    /// One end counts for a thirtieth, so that two ends from each of 17 endpoints are enough and one slow endpoint
    /// among them is not.
    const WEIGHT: f64 = 1.0 / 32.0;

    /// Notes a task that ran on any endpoint.
    pub fn on_done(&mut self, ran: Duration, expected: Duration) {
        self.0.add(ran, expected, Self::WEIGHT);
    }

    /// An expected run time as it would be over all endpoints just now.
    pub fn scale(&self, expected: Duration) -> Duration {
        expected.mul_f64(self.0.ratio())
    }
}

/// A moving geometric mean of run time over expected run time. Geometric, because a rare long task among short ones
/// would rule an arithmetic mean.
#[derive(Clone, Copy, Debug, Default)]
struct LatencyRatio {
    log_mean: f64,
    samples: u32,
}

impl LatencyRatio {
    /// One task counts for at most this much in the logarithm, a factor of 20.
    const MAX_LOG: f64 = 3.0;

    fn log_ratio(ran: Duration, expected: Duration) -> f64 {
        let floor = Duration::from_millis(1);
        let ratio = ran.max(floor).as_secs_f64() / expected.max(floor).as_secs_f64();
        ratio.ln().clamp(-Self::MAX_LOG, Self::MAX_LOG)
    }

    fn add(&mut self, ran: Duration, expected: Duration, weight: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = weight.max(1.0 / f64::from(self.samples));
        self.log_mean += weight * (Self::log_ratio(ran, expected) - self.log_mean);
    }

    fn ratio(&self) -> f64 {
        self.log_mean.exp()
    }
}
