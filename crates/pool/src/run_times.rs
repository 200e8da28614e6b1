//! Distributions of the ratio of run time to the customer's estimate, by route.
//!
//! A few tasks of a route take several times as long as the others. One mean for all of them is wrong for nearly every
//! task: it says too little of what a long task has left, and too much of a usual one. The ratios are those on a worker
//! of the pool's median speed. Without that normalisation, a pool of uneven workers would seem to have long tasks.

use std::{sync::Arc, time::Duration};

use model::{FastMap, HistogramScale, InvalidHistogram, LogHistogram};

/// The number of buckets. They reach up to a ratio of 64: seven times the usual work, an estimate that is 40% too low,
/// and a worker that is several times slower than known.
const BUCKET_COUNT: usize = 40;

/// The buckets of the ratios, each 19% wide.
const SCALE: HistogramScale = HistogramScale {
    first: 0.0625,
    buckets_per_doubling: 4.0,
    sample_weight: 16,
};

/// The number of runs after which the weight of the older ones is halved. With 3% long tasks, 256 to 512 runs have 8 to
/// 15 of them.
const WINDOW: u32 = 512;

/// The number of runs from which a distribution is used.
const MIN_SAMPLES: u32 = 32;

/// The maximum number of routes in memory, at some 100 bytes each.
const MAX_ROUTES: usize = 256;

/// The maximum number of routes that are published, since the row is written every few seconds.
const MAX_PUBLISHED_ROUTES: usize = 32;

/// A task counts as long above this multiple of its route's median. Estimates that are 40% off either way account for a
/// factor of 1.7.
const LONG_TASK_FACTOR: f64 = 3.0;

/// The share of a long run's time so far that it is expected to have left if no run of the route has lasted longer.
const UNKNOWN_REMAINING_SHARE: f64 = 0.25;

/// The distribution of run times of a route, in the form in which an owner publishes it for the next one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRunTimes {
    /// The route.
    pub route: Arc<str>,
    /// The text form of the histogram, at most 64 bytes.
    pub ratios: String,
}

impl RouteRunTimes {
    /// Checks that the distribution can be adopted.
    ///
    /// # Errors
    ///
    /// If the text is damaged, oversized or of an unknown version.
    pub fn check(&self) -> Result<(), InvalidHistogram> {
        self.read().map(drop)
    }

    fn read(&self) -> Result<LogHistogram<BUCKET_COUNT>, InvalidHistogram> {
        LogHistogram::from_text(SCALE, &self.ratios)
    }
}

/// The distribution of one route. All results are multiples of the customer's estimate on a worker of median speed.
#[derive(Clone, Debug)]
pub(crate) struct RouteDistribution {
    ratios: LogHistogram<BUCKET_COUNT>,
    /// The number of the last run that was recorded here, in the order of all runs.
    last_run: u64,
}

impl RouteDistribution {
    /// The mean, including long tasks.
    pub(crate) fn mean(&self) -> f64 {
        self.ratios.mean()
    }

    /// The ratio above which a task counts as long.
    pub(crate) fn long_limit(&self) -> f64 {
        self.ratios.quantile(0.5) * LONG_TASK_FACTOR
    }

    /// The mean of the tasks that are not long.
    pub(crate) fn typical(&self) -> f64 {
        let typical = self.ratios.mean_up_to(self.long_limit());
        typical.unwrap_or_else(|| self.mean())
    }

    /// The median of the slowest of `count` tasks, and at least the mean.
    pub(crate) fn slowest_of(&self, count: u32) -> f64 {
        let fraction = 0.5_f64.powf(1.0 / f64::from(count.max(1)));
        self.ratios.quantile(fraction).max(self.mean())
    }

    /// The mean of what runs had left that lasted longer than `elapsed`.
    pub(crate) fn mean_remaining(&self, elapsed: f64) -> f64 {
        let remaining = self.ratios.mean_excess(elapsed);
        remaining.unwrap_or(elapsed * UNKNOWN_REMAINING_SHARE)
    }

    /// The upper bound of all recent runs.
    pub(crate) fn longest(&self) -> f64 {
        self.ratios.quantile(1.0)
    }
}

/// The distributions of all routes.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimeDistributions {
    routes: FastMap<Arc<str>, RouteDistribution>,
    runs: u64,
}

impl RunTimeDistributions {
    /// The distribution of a route, if enough runs are known.
    pub(crate) fn get(&self, route: &str) -> Option<&RouteDistribution> {
        let known = self.routes.get(route);
        known.filter(|known| known.ratios.samples() >= MIN_SAMPLES)
    }

    /// Records the ratio of a completed run.
    pub(crate) fn record(&mut self, route: &Arc<str>, ratio: f64) {
        self.runs += 1;
        let runs = self.runs;
        let known = self.entry(route);
        known.ratios.add(ratio, WINDOW);
        known.last_run = runs;
    }

    /// Takes over a distribution that a former owner has published, unless as many runs are known here.
    ///
    /// # Errors
    ///
    /// If the text is damaged or of an unknown version.
    pub(crate) fn adopt(&mut self, published: &RouteRunTimes) -> Result<(), InvalidHistogram> {
        let ratios = published.read()?;
        let known = self.entry(&published.route);
        if known.ratios.samples() < ratios.samples() {
            known.ratios = ratios;
        }
        Ok(())
    }

    /// The distributions to publish, those with the latest runs first.
    pub(crate) fn published(&self) -> Vec<RouteRunTimes> {
        let known = self.routes.iter();
        let known = known.filter(|(_, known)| known.ratios.samples() >= MIN_SAMPLES);
        let mut known: Vec<_> = known.collect();
        known.sort_by(|(route, a), (other, b)| {
            b.last_run.cmp(&a.last_run).then_with(|| route.cmp(other))
        });
        known.truncate(MAX_PUBLISHED_ROUTES);
        let published = known.into_iter().map(|(route, known)| RouteRunTimes {
            route: route.clone(),
            ratios: known.ratios.to_text(),
        });
        published.collect()
    }

    /// The entry of a route. If there are too many, the one without a run for longest is dropped.
    fn entry(&mut self, route: &Arc<str>) -> &mut RouteDistribution {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            let oldest = self.routes.iter().min_by_key(|(_, known)| known.last_run);
            if let Some(oldest) = oldest.map(|(oldest, _)| oldest.clone()) {
                self.routes.remove(&oldest);
            }
        }
        let last_run = self.runs;
        let known = self.routes.entry(route.clone());
        known.or_insert_with(|| RouteDistribution {
            ratios: LogHistogram::new(SCALE),
            last_run,
        })
    }
}

/// `estimate` times a ratio, saturating.
pub(crate) fn times_ratio(estimate: Duration, ratio: f64) -> Duration {
    Duration::try_from_secs_f64(estimate.as_secs_f64() * ratio).unwrap_or(Duration::MAX)
}
