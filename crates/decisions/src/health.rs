//! Tracks the health of one endpoint from the outcomes of its tasks and limits how many tasks it runs at once.

use std::time::{Duration, Instant};

use model::{AttemptEnd, RetryReason};

use crate::run_time::FailureRate;

/// The weight of one task in the moving average of the latency of an endpoint: after five newer tasks the older ones
/// count for a third.
const LATENCY_WEIGHT: f64 = 0.2;

/// The limits of an [`EndpointHealth`].
#[derive(Clone, Debug, PartialEq)]
pub struct HealthSettings {
    /// The total weight of consecutive failures, without an answer between them, that leads to quarantine. An ordinary
    /// failure weighs at most 1.
    ///
    /// An endpoint that fails every task immediately always has free slots, so it attracts the tasks of the other
    /// endpoints and most jobs fail because of it. With one task in thirty failing, 4 consecutive failures happen by
    /// chance in one of a million sequences, and they cost less than filling the slots of the endpoint once.
    pub quarantine_failures: f32,
    /// The weight of a failed connection attempt. It loses no task, but each one costs a connect timeout, so two are
    /// enough for quarantine.
    pub unreachable_weight: f32,
    /// The slowdown from which an endpoint is throttled to fewer tasks at once.
    ///
    /// A job answers with its last task, so one slow slot in seventeen, such as an endpoint on a throttled VM, makes
    /// most jobs late. A factor of up to 2 occurs by chance in a mix of short and long tasks.
    pub throttle_slowdown: f64,
    /// The slowdown from which an endpoint is quarantined. At 8 a usual task takes as long as the rare long ones, and
    /// the whole endpoint is worth one slot.
    pub quarantine_slowdown: f64,
    /// The number of answered tasks before latency is taken into account. Among fewer than five, one long task cannot
    /// be told from a slow endpoint.
    pub min_samples: u32,
    /// The length of the first quarantine. It leaves a process time to restart, and one probe a second costs almost
    /// nothing.
    pub initial_quarantine: Duration,
    /// The longest quarantine; each failed probe doubles its length. A probe is a real task that a caller waits for, so
    /// a dead endpoint may cost at most two tasks a minute.
    pub max_quarantine: Duration,
    /// The first backoff after a busy answer while none of this dispatcher's tasks run there. It doubles up to
    /// `max_busy_backoff`.
    ///
    /// Another owner may hold the slots for a moment. Without a backoff the same task would go back and forth as fast
    /// as the network allows. 20 ms is less than the shortest task.
    pub initial_busy_backoff: Duration,
    /// The longest backoff after busy answers. A usual task has ended by then.
    pub max_busy_backoff: Duration,
    /// The interval between increments of a limit that a busy answer or a probe lowered. A tenth of a second per slot
    /// restores eight slots within a second, at the cost of at most ten wasted messages.
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

/// How a task ended, as far as it says something about the health of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The endpoint returned an answer.
    Done,
    /// The endpoint reported that the task failed.
    Failed,
    /// The endpoint reported that it has no free slot.
    Busy,
    /// The endpoint reported that it is leaving.
    Leaving,
    /// The connection could not be established.
    Unreachable,
    /// The connection broke, or the answer was malformed or missing.
    Unknown,
    /// The task did not start, for a reason unrelated to the endpoint.
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

/// The end of a task, as input to the health of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndReport {
    /// How the task ended.
    pub kind: EndKind,
    /// How long the task ran.
    pub ran: Duration,
    /// How long such tasks run on other endpoints at present: the expectation of [`crate::RunTimeTable`], scaled by
    /// [`FleetLatency::scale`].
    pub expected: Duration,
    /// The failure rate of such tasks over all endpoints, from [`crate::RunTimeTable`].
    pub failure_rate: FailureRate,
}

/// The health state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// The endpoint gets tasks up to its limit.
    Active,
    /// The endpoint gets no tasks until the given time, and then a single task as a probe.
    Quarantined {
        /// When the probe may start.
        until: Instant,
    },
    /// The probe is running.
    Probing,
    /// The endpoint reported that it is leaving and gets no more tasks. Its report overrides the platform's list, which
    /// lags behind.
    Leaving,
}

/// Limits how many tasks one endpoint may run at once, depending on the outcomes of its tasks.
///
/// The dispatcher starts a task only where fewer tasks run than [`Self::capacity`]. A busy answer lowers the limit at
/// once, latency above that of the other endpoints lowers it in proportion, and consecutive failures lower it to zero.
/// It recovers slot by slot. Each call is O(1).
#[derive(Clone, Debug)]
pub struct EndpointHealth {
    settings: HealthSettings,
    state: HealthState,
    running: u32,
    failure_weight: f32,
    next_quarantine: Duration,
    /// The limit set by busy answers and probes; `None` while there is none.
    limit: Option<u32>,
    limit_changed_at: Option<Instant>,
    busy_backoff: Duration,
    backoff_until: Option<Instant>,
    latency: LatencyRatio,
}

impl EndpointHealth {
    /// Creates the state of an endpoint without any known problem.
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

    /// Returns how many of the `slots` slots of the endpoint may be used at once.
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

    /// Records that a task was sent to the endpoint.
    pub fn on_start(&mut self, now: Instant) {
        self.running += 1;
        match self.state {
            HealthState::Quarantined { until } if until <= now => {
                self.state = HealthState::Probing;
            }
            _ => {}
        }
    }

    /// Records the end of a task that was sent to the endpoint.
    pub fn on_end(&mut self, now: Instant, report: EndReport) {
        self.running = self.running.saturating_sub(1);
        match report.kind {
            EndKind::Done => self.on_done(now, report),
            EndKind::Failed | EndKind::Unknown => {
                // A task of a kind that fails everywhere says little about this endpoint. Without this weight, a
                // customer with broken tasks, or with deadlines too short for them, would get all endpoints quarantined
                // for everyone.
                let weight = 1.0 - report.failure_rate.0.clamp(0.0, 1.0);
                self.on_failure(now, weight);
            }
            EndKind::Unreachable => self.on_failure(now, self.settings.unreachable_weight),
            EndKind::Busy => self.on_busy(now),
            EndKind::Leaving => self.state = HealthState::Leaving,
            // Says nothing about the endpoint. If the task was the probe, the next task becomes the probe.
            EndKind::NotStarted => {}
        }
    }

    /// The health state.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// The number of tasks sent to the endpoint that have not ended.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// How many times longer tasks take here than on other endpoints; 1 while there are too few samples. Of the
    /// endpoints with a free slot the dispatcher chooses the one with the lowest slowdown.
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
        // Inversely proportional to the slowdown, so that the endpoint holds as much work as a healthy one with fewer
        // slots.
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
            // A task that started before the quarantine says nothing about new ones.
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
        // A short task on an endpoint slow enough for quarantine takes as long as a usual task elsewhere, so the probe
        // has to meet the stricter throttling limit.
        ratio >= self.settings.throttle_slowdown
    }

    fn enter_quarantine(&mut self, now: Instant) {
        let until = now + self.next_quarantine;
        self.state = HealthState::Quarantined { until };
        self.next_quarantine = (self.next_quarantine * 2).min(self.settings.max_quarantine);
        self.failure_weight = 0.0;
    }

    /// Leaves quarantine with a limit of one slot: an endpoint that completed one task may still fail under eight at
    /// once.
    fn reopen(&mut self, now: Instant) {
        self.state = HealthState::Active;
        self.next_quarantine = self.settings.initial_quarantine;
        self.limit = Some(1);
        self.limit_changed_at = Some(now);
        self.latency = LatencyRatio::default();
    }
}

/// The ratio of present to expected run times over all endpoints of one dispatcher.
///
/// A load peak may slow down all endpoints alike, through a table or a network that they share. Measured against the
/// run times learned before, each endpoint would look slow, all limits would fall together, and the peak would meet
/// half the slots. With expectations scaled by this ratio, an endpoint is slow only if it is slower than the others.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetLatency(LatencyRatio);

impl FleetLatency {
    /// One task counts for about a thirtieth, so that two tasks from each of 17 endpoints shift the average and one
    /// slow endpoint among them does not.
    const WEIGHT: f64 = 1.0 / 32.0;

    /// Records a completed task of any endpoint.
    pub fn on_done(&mut self, ran: Duration, expected: Duration) {
        self.0.add(ran, expected, Self::WEIGHT);
    }

    /// Scales an expected run time to the present latency of all endpoints.
    pub fn scale(&self, expected: Duration) -> Duration {
        expected.mul_f64(self.0.ratio())
    }
}

/// A moving geometric mean of the ratio of run time to expected run time. An arithmetic mean would be dominated by a
/// rare long task among short ones.
#[derive(Clone, Copy, Debug, Default)]
struct LatencyRatio {
    log_mean: f64,
    samples: u32,
}

impl LatencyRatio {
    /// The limit of one task's contribution to the logarithm, a factor of 20.
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
