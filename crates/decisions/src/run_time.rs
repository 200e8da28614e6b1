//! Run times by customer and kind, learned from what ran.

use std::{
    fmt,
    num::ParseFloatError,
    str::FromStr,
    time::{Duration, Instant},
};

use model::{CustomerId, TaskKind};

use crate::lru_map::LruMap;

/// Buckets double every second one, so a quantile is at most 42% too long. From 1 ms they reach past 600 s, the
/// longest time within which a contract may promise an answer.
const BUCKET_COUNT: usize = 40;
const BUCKETS_PER_DOUBLING: f64 = 2.0;
const FIRST_BUCKET_START: Duration = Duration::from_millis(1);

/// The limits of a [`RunTimeTable`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunTimeSettings {
    /// Customers remembered. Reason: three times the contracts of the target, so none is forgotten in use.
    pub max_customers: usize,
    /// Kinds remembered of one customer.
    ///
    /// Load: a customer that puts a new name on each task. Harm: it would push out what is known of everyone.
    /// Reason: at about 250 bytes a kind the table stays near 64 MB even if all customers did so.
    pub max_kinds: usize,
    /// Measured run times after which the declared one no longer counts.
    ///
    /// Load: run times declared a hundred times too long or too short. Harm: queueing and refusing by them is wrong
    /// for as long as they are believed. Reason: three measured times cannot all be flukes of 3% long tasks.
    pub min_samples: u32,
    /// Measured run times after which the older ones count half.
    ///
    /// Load: a kind whose run time changes during the day. Harm: a whole morning's history would hide it. Reason:
    /// 128 to 256 samples still tell a 95% quantile from six tasks above it, and a busy kind renews them in seconds.
    pub window: u32,
    /// The age from which measured run times are no longer proof that a task cannot run in time.
    ///
    /// Load: a kind that was slow for a while, with all its submissions refused since. Harm: nothing runs, so
    /// nothing new is measured, and the refusals never end. Reason: one late job a minute is the price of trying.
    pub stale_after: Duration,
    /// What is expected of a kind without measured or declared run time: a usual task.
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

/// Where an expected run time comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EstimateSource {
    /// Nothing is known; it is the usual task.
    Assumed,
    /// The caller's word, which may be off by a hundredfold.
    Declared,
    /// Measured, but not lately.
    Stale,
    /// Measured lately.
    Measured,
}

/// An expected run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunTimeEstimate {
    /// How long the task is expected to hold its slot.
    pub run_time: Duration,
    /// What it rests on.
    pub source: EstimateSource,
}

/// The share of tasks that fail, from 0 to 1.
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

/// What the tasks of each customer and kind did lately, over all endpoints.
#[derive(Debug)]
pub struct RunTimeTable {
    settings: RunTimeSettings,
    customers: LruMap<CustomerId, LruMap<TaskKind, KindHistory>>,
}

impl RunTimeTable {
    /// An empty table.
    pub fn new(settings: RunTimeSettings) -> Self {
        Self {
            customers: LruMap::new(settings.max_customers),
            settings,
        }
    }

    /// Notes a task that ran for `ran` and gave its answer. A task that was given up at its deadline is noted too,
    /// with the time until then: leaving it out would make a kind look fast because its slow tasks never end.
    pub fn record(&mut self, now: Instant, customer: &CustomerId, kind: &TaskKind, ran: Duration) {
        let window = self.settings.window;
        let history = self.history_mut(now, customer, kind);
        history.histogram.add(ran, window);
        history.measured_at = now;
        history.failures.add(false, window);
    }

    /// Notes a task that failed or whose answer did not come. Its run time is not noted: a task that fails at once says nothing of how long
    /// those take that succeed.
    pub fn record_failure(&mut self, now: Instant, customer: &CustomerId, kind: &TaskKind) {
        let window = self.settings.window;
        let history = self.history_mut(now, customer, kind);
        history.failures.add(true, window);
    }

    /// The mean run time to expect: measured after a few samples, before that declared. The mean, because the time
    /// to drain a queue is a sum.
    pub fn expected_run_time(
        &self,
        now: Instant,
        customer: &CustomerId,
        kind: &TaskKind,
        declared: Option<Duration>,
    ) -> RunTimeEstimate {
        self.estimate(now, customer, kind, declared, RunTimeHistogram::mean)
    }

    /// A quantile of the run time, `fraction` from 0 to 1, otherwise like [`Self::expected_run_time`].
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

    /// The share of tasks of this customer and kind that failed lately. It tells a customer whose tasks fail
    /// everywhere from an endpoint that fails everyone's.
    pub fn failure_rate(&self, customer: &CustomerId, kind: &TaskKind) -> FailureRate {
        self.history(customer, kind)
            .map(|history| history.failures.failure_rate())
            .unwrap_or_default()
    }

    /// The number of customers remembered.
    pub fn customers(&self) -> usize {
        self.customers.len()
    }

    fn estimate(
        &self,
        now: Instant,
        customer: &CustomerId,
        kind: &TaskKind,
        declared: Option<Duration>,
        statistic: impl FnOnce(&RunTimeHistogram) -> Duration,
    ) -> RunTimeEstimate {
        if let Some(history) = self.history(customer, kind) {
            if history.histogram.total >= self.settings.min_samples {
                let age = now.saturating_duration_since(history.measured_at);
                let source = match age > self.settings.stale_after {
                    true => EstimateSource::Stale,
                    false => EstimateSource::Measured,
                };
                let run_time = statistic(&history.histogram);
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
    histogram: RunTimeHistogram,
    failures: FailureCounter,
    measured_at: Instant,
}

impl KindHistory {
    fn new(now: Instant) -> Self {
        Self {
            histogram: RunTimeHistogram::default(),
            failures: FailureCounter::default(),
            measured_at: now,
        }
    }
}

/// A histogram with buckets of equal width in the logarithm.
#[derive(Debug)]
struct RunTimeHistogram {
    counts: [u16; BUCKET_COUNT],
    total: u32,
    sum: Duration,
}

impl Default for RunTimeHistogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKET_COUNT],
            total: 0,
            sum: Duration::ZERO,
        }
    }
}

impl RunTimeHistogram {
    fn add(&mut self, ran: Duration, window: u32) {
        if self.total >= window.min(u32::from(u16::MAX)) {
            self.halve();
        }
        self.counts[bucket_index(ran)] += 1;
        self.total += 1;
        self.sum = self.sum.saturating_add(ran);
    }

    fn mean(&self) -> Duration {
        self.sum / self.total.max(1)
    }

    fn quantile(&self, fraction: f64) -> Duration {
        let rank = (fraction.clamp(0.0, 1.0) * f64::from(self.total))
            .ceil()
            .max(1.0);
        let mut count_so_far = 0;
        for (n, count) in self.counts.iter().enumerate() {
            count_so_far += u32::from(*count);
            if f64::from(count_so_far) >= rank {
                return bucket_upper_bound(n);
            }
        }
        bucket_upper_bound(BUCKET_COUNT - 1)
    }

    /// Halves all counts. Rounding down lets single outliers go.
    fn halve(&mut self) {
        let mean = self.mean();
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += u32::from(*count);
        }
        self.sum = mean * self.total;
    }
}

/// Counts of ends, halved like the run times.
#[derive(Debug, Default)]
struct FailureCounter {
    failed: u32,
    total: u32,
}

impl FailureCounter {
    /// Ends without failure that every kind starts with, so that the first failed task of a kind does not count as
    /// proof that the kind always fails.
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

fn bucket_index(ran: Duration) -> usize {
    let doublings = (ran.as_secs_f64() / FIRST_BUCKET_START.as_secs_f64())
        .max(1.0)
        .log2();
    let n = (doublings * BUCKETS_PER_DOUBLING) as usize;
    n.min(BUCKET_COUNT - 1)
}

/// The longest run time of a bucket: an estimate that is too short admits work that then comes late.
fn bucket_upper_bound(n: usize) -> Duration {
    FIRST_BUCKET_START.mul_f64(((n + 1) as f64 / BUCKETS_PER_DOUBLING).exp2())
}
