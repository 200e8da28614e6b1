//! Run times of tasks by customer and task kind, learned from completed tasks.

use std::{
    fmt,
    num::ParseFloatError,
    str::FromStr,
    time::{Duration, Instant},
};

use model::{CustomerId, HistogramScale, LogHistogram, TaskKind};

use crate::lru_map::LruMap;

/// Bucket bounds double every second bucket, so a quantile is at most 42% too long. From 1 ms the buckets reach beyond
/// 600 s, the longest answer time that a contract may set.
const BUCKET_COUNT: usize = 40;

/// The buckets of the run times, in seconds.
const SCALE: HistogramScale = HistogramScale {
    first: 0.001,
    buckets_per_doubling: 2.0,
    sample_weight: 1,
};

/// The limits of a [`RunTimeTable`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunTimeSettings {
    /// The maximum number of customers in memory: three times the number of contracts of the target workload, so that
    /// no customer in use is evicted.
    pub max_customers: usize,
    /// The maximum number of task kinds in memory per customer.
    ///
    /// A customer that gives each task a new kind would otherwise evict what is known of everyone. At about 250 bytes
    /// per kind, the table stays near 64 MB even if all customers do so.
    pub max_kinds: usize,
    /// The number of measured run times from which the declared one is ignored.
    ///
    /// Declared run times may be a hundred times too long or too short, and queueing and refusals that rely on them are
    /// wrong for as long as they are used. With 3% long tasks, three measurements are not all outliers.
    pub min_samples: u32,
    /// The number of measured run times after which the weight of the older ones is halved.
    ///
    /// If the run time of a kind changes during the day, the full history of a morning would hide it. 128 to 256
    /// samples still determine a 95% quantile, with six tasks above it, and a busy kind replaces them within seconds.
    pub window: u32,
    /// The age from which measured run times no longer prove that a task cannot run in time.
    ///
    /// If a kind was slow for a while and all its submissions are refused since, nothing runs, so nothing new is
    /// measured and the refusals would never end. The price of trying is one late job a minute.
    pub stale_after: Duration,
    /// The expected run time of a kind that was neither measured nor declared: that of a usual task.
    pub assumed: Duration,
}

impl Default for RunTimeSettings {
    fn default() -> Self {
        Self {
            max_customers: 4096,
            max_kinds: 64,
            min_samples: 3,
            window: 256,
            stale_after: Duration::from_secs(60),
            assumed: Duration::from_millis(300),
        }
    }
}

/// The source of an expected run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EstimateSource {
    /// Nothing is known; the run time of a usual task is assumed.
    Assumed,
    /// Declared by the caller, and possibly off by a factor of a hundred.
    Declared,
    /// Measured, but not recently.
    Stale,
    /// Measured recently.
    Measured,
}

/// An expected run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunTimeEstimate {
    /// How long the task is expected to occupy its slot.
    pub run_time: Duration,
    /// What the expectation is based on.
    pub source: EstimateSource,
}

/// The fraction of tasks that fail, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct FailureRate(pub f32);

impl fmt::Display for FailureRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for FailureRate {
    type Err = ParseFloatError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}

/// The recent run times and failures of each customer and task kind, over all endpoints.
#[derive(Debug)]
pub struct RunTimeTable {
    settings: RunTimeSettings,
    customers: LruMap<CustomerId, LruMap<TaskKind, KindHistory>>,
}

impl RunTimeTable {
    /// Creates an empty table.
    pub fn new(settings: RunTimeSettings) -> Self {
        Self {
            customers: LruMap::new(settings.max_customers),
            settings,
        }
    }

    /// Records a task that ran for `ran` and returned an answer. Tasks that end after their deadline are to be recorded
    /// too: they are the slow ones, and without them a kind would look fast.
    pub fn record(&mut self, now: Instant, customer: &CustomerId, kind: &TaskKind, ran: Duration) {
        let window = self.settings.window;
        let history = self.history_mut(now, customer, kind);
        history.histogram.add(ran.as_secs_f64(), window);
        history.measured_at = now;
        history.failures.add(false, window);
    }

    /// Records a task that failed, without its run time: a task that fails immediately says nothing about the run time
    /// of successful ones.
    pub fn record_failure(&mut self, now: Instant, customer: &CustomerId, kind: &TaskKind) {
        let window = self.settings.window;
        let history = self.history_mut(now, customer, kind);
        history.failures.add(true, window);
    }

    /// The expected run time: the measured mean if there are enough samples, otherwise the declared time. The mean is
    /// used because the time to drain a queue is a sum of run times.
    pub fn expected_run_time(
        &self,
        now: Instant,
        customer: &CustomerId,
        kind: &TaskKind,
        declared: Option<Duration>,
    ) -> RunTimeEstimate {
        self.estimate(now, customer, kind, declared, LogHistogram::mean)
    }

    /// Like [`Self::expected_run_time`], but with a quantile of the measured run times; `fraction` ranges from 0 to 1.
    /// The quantile is rounded up to the end of its bucket: one that is too short would admit work that then comes late.
    pub fn quantile(
        &self,
        now: Instant,
        customer: &CustomerId,
        kind: &TaskKind,
        declared: Option<Duration>,
        fraction: f64,
    ) -> RunTimeEstimate {
        self.estimate(now, customer, kind, declared, |h| h.quantile(fraction))
    }

    /// The recent failure rate of tasks of this customer and kind. It distinguishes a customer whose tasks fail
    /// everywhere from an endpoint that fails the tasks of all customers.
    pub fn failure_rate(&self, customer: &CustomerId, kind: &TaskKind) -> FailureRate {
        self.history(customer, kind)
            .map(|history| history.failures.failure_rate())
            .unwrap_or_default()
    }

    /// The number of customers in memory.
    pub fn customers(&self) -> usize {
        self.customers.len()
    }

    fn estimate(
        &self,
        now: Instant,
        customer: &CustomerId,
        kind: &TaskKind,
        declared: Option<Duration>,
        statistic: impl FnOnce(&LogHistogram<BUCKET_COUNT>) -> f64,
    ) -> RunTimeEstimate {
        if let Some(history) = self.history(customer, kind) {
            if history.histogram.samples() >= self.settings.min_samples {
                let age = now.saturating_duration_since(history.measured_at);
                let source = match age > self.settings.stale_after {
                    true => EstimateSource::Stale,
                    false => EstimateSource::Measured,
                };
                let seconds = statistic(&history.histogram);
                let run_time = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
                return RunTimeEstimate { run_time, source };
            }
        }
        match declared {
            Some(run_time) => RunTimeEstimate {
                run_time,
                source: EstimateSource::Declared,
            },
            None => RunTimeEstimate {
                run_time: self.settings.assumed,
                source: EstimateSource::Assumed,
            },
        }
    }

    fn history(&self, customer: &CustomerId, kind: &TaskKind) -> Option<&KindHistory> {
        self.customers.get(customer)?.get(kind)
    }

    fn history_mut(
        &mut self,
        now: Instant,
        customer: &CustomerId,
        kind: &TaskKind,
    ) -> &mut KindHistory {
        let max_kinds = self.settings.max_kinds;
        self.customers
            .touch_or_insert(customer, || LruMap::new(max_kinds))
            .touch_or_insert(kind, || KindHistory::new(now))
    }
}

#[derive(Debug)]
struct KindHistory {
    histogram: LogHistogram<BUCKET_COUNT>,
    failures: FailureCounter,
    measured_at: Instant,
}

impl KindHistory {
    fn new(now: Instant) -> Self {
        Self {
            histogram: LogHistogram::new(SCALE),
            failures: FailureCounter::default(),
            measured_at: now,
        }
    }
}

/// Counts of failed and of all tasks, halved like those of the run times.
#[derive(Debug, Default)]
struct FailureCounter {
    failed: u32,
    total: u32,
}

impl FailureCounter {
    /// The number of successful tasks that every kind starts with, so that a first failed task does not count as proof
    /// that the kind always fails.
    const PRIOR_SUCCESSES: f32 = 2.0;

    fn add(&mut self, failed: bool, window: u32) {
        if self.total >= window {
            self.failed /= 2;
            self.total /= 2;
        }
        self.failed += u32::from(failed);
        self.total += 1;
    }

    fn failure_rate(&self) -> FailureRate {
        FailureRate(self.failed as f32 / (self.total as f32 + Self::PRIOR_SUCCESSES))
    }
}
