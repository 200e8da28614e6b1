//! Learned corrections of the run times that customers estimate.

use std::{sync::Arc, time::Duration};

use model::{FastMap, InvalidHistogram, RunTimePolicy};

use crate::run_times::{times_ratio, RouteDistribution, RouteRunTimes, RunTimeDistributions};

/// The minimum weight of a new sample. The tasks of a job share the error of its estimate, which is up to 40% either
/// way; 100 samples are about 25 jobs of four tasks, whose mean is off by 8%.
const MIN_SAMPLE_WEIGHT: f64 = 0.01;

/// The number of samples for which the customer's own estimate counts. The weight of a new sample is one divided by the
/// number of samples so far, in which this number is included, but at least `MIN_SAMPLE_WEIGHT`.
const ESTIMATE_PRIOR_SAMPLES: f64 = 10.0;

/// The bounds of a sample: a ratio outside them says more about the worker than about the route.
const SAMPLE_BOUNDS: (f64, f64) = (0.2, 5.0);

/// The learned ratio of run time to estimate for one route.
#[derive(Clone, Copy, Debug)]
struct RouteRatio {
    ratio: f64,
    samples: f64,
}

impl Default for RouteRatio {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            samples: ESTIMATE_PRIOR_SAMPLES,
        }
    }
}

/// The ratios of measured to estimated run times, by route.
#[derive(Clone, Debug, Default)]
pub(crate) struct EstimateCorrections {
    policy: RunTimePolicy,
    routes: FastMap<Arc<str>, RouteRatio>,
    distributions: RunTimeDistributions,
}

impl EstimateCorrections {
    pub(crate) fn new(policy: RunTimePolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// The distribution of a route's run times. None if the policy does not use it, or too few runs are known.
    pub(crate) fn distribution(&self, route: &str) -> Option<&RouteDistribution> {
        match self.policy {
            RunTimePolicy::Mean => None,
            RunTimePolicy::Distribution => self.distributions.get(route),
        }
    }

    /// Predicts the run time of a task of this route on a worker of mean speed.
    pub(crate) fn predict(&self, route: &Arc<str>, estimate: Duration) -> Duration {
        if let Some(distribution) = self.distribution(route) {
            return times_ratio(estimate, distribution.mean());
        }
        let known = self.routes.get(route).copied().unwrap_or_default();
        estimate.mul_f64(known.ratio)
    }

    /// Predicts the run time of a task of this route that is not a long one, on a worker of mean speed.
    pub(crate) fn predict_typical(&self, route: &Arc<str>, estimate: Duration) -> Duration {
        match self.distribution(route) {
            Some(distribution) => times_ratio(estimate, distribution.typical()),
            None => self.predict(route, estimate),
        }
    }

    /// Predicts the run time of the slowest of `count` tasks of this route on a worker of mean speed.
    pub(crate) fn predict_slowest(
        &self,
        route: &Arc<str>,
        estimate: Duration,
        count: u32,
    ) -> Duration {
        match self.distribution(route) {
            Some(distribution) => times_ratio(estimate, distribution.slowest_of(count)),
            None => self.predict(route, estimate),
        }
    }

    /// Records the run time of a completed run. `relative_slowness` is that of its worker compared with the median of
    /// the pool.
    ///
    /// For the mean, the run time is not divided by the worker's slowness, since slowness is itself measured against the
    /// predictions made here, and the two would drift apart without bound. The distribution divides it by the slowness
    /// relative to the median, which does not change if the slowness of all workers drifts.
    pub(crate) fn record_run(
        &mut self,
        route: &Arc<str>,
        estimate: Duration,
        took: Duration,
        relative_slowness: f64,
    ) {
        if estimate.is_zero() {
            return;
        }
        let ratio = took.as_secs_f64() / estimate.as_secs_f64();
        if self.policy == RunTimePolicy::Distribution {
            self.distributions.record(route, ratio / relative_slowness);
        }
        let sample = ratio.clamp(SAMPLE_BOUNDS.0, SAMPLE_BOUNDS.1);
        let known = self.routes.entry(route.clone()).or_default();
        known.samples += 1.0;
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / known.samples);
        known.ratio += weight * (sample - known.ratio);
    }

    /// Takes over a distribution that a former owner has published.
    ///
    /// # Errors
    ///
    /// If it cannot be read.
    pub(crate) fn adopt(&mut self, published: &RouteRunTimes) -> Result<(), InvalidHistogram> {
        self.distributions.adopt(published)
    }

    /// The distributions for the next owner.
    pub(crate) fn published(&self) -> Vec<RouteRunTimes> {
        self.distributions.published()
    }
}
