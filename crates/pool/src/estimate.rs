//! Learned corrections of the run times that customers estimate.

use std::{sync::Arc, time::Duration};

use model::FastMap;

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
    routes: FastMap<Arc<str>, RouteRatio>,
}

impl EstimateCorrections {
    /// Predicts the run time of a task of this route on a worker of mean speed.
    pub(crate) fn predict(&self, route: &Arc<str>, estimate: Duration) -> Duration {
        let known = self.routes.get(route).copied().unwrap_or_default();
        estimate.mul_f64(known.ratio)
    }

    /// Records the run time of a completed run on any worker. It is not divided by the worker's slowness, since
    /// slowness is itself measured against the predictions made here, and the two would drift apart without bound.
    pub(crate) fn record_run(&mut self, route: &Arc<str>, estimate: Duration, took: Duration) {
        if estimate.is_zero() {
            return;
        }
        let sample = took.as_secs_f64() / estimate.as_secs_f64();
        let sample = sample.clamp(SAMPLE_BOUNDS.0, SAMPLE_BOUNDS.1);
        let known = self.routes.entry(route.clone()).or_default();
        known.samples += 1.0;
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / known.samples);
        known.ratio += weight * (sample - known.ratio);
    }
}
