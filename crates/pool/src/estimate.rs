//! Learned corrections of the run times that customers estimate.

use std::{sync::Arc, time::Duration};

use model::FastMap;

/// The least weight of a new sample. Tasks of one job share its estimate's error, which is 40% either way; 100 samples
/// are some 25 jobs of four tasks, whose mean is off by 8%.
const MIN_SAMPLE_WEIGHT: f64 = 0.01;

/// The weight of the first sample, and of each next one as long as it is the greater: with few samples the customer's
/// own estimate counts as ten.
const ESTIMATE_PRIOR_SAMPLES: f64 = 10.0;

/// A sample outside these bounds says more about its worker than about its route.
const SAMPLE_BOUNDS: (f64, f64) = (0.2, 5.0);

/// What is known of one route.
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

/// Measured run times against estimated ones, per route.
#[derive(Clone, Debug, Default)]
pub(crate) struct EstimateCorrections {
    routes: FastMap<Arc<str>, RouteRatio>,
}

impl EstimateCorrections {
    /// What a task of this route takes on a worker of mean speed.
    pub(crate) fn predict(&self, route: &Arc<str>, estimate: Duration) -> Duration {
        let known = self.routes.get(route).copied().unwrap_or_default();
        estimate.mul_f64(known.ratio)
    }

    /// Learns from a run that was done, on whichever worker. Dividing by the worker's own slowness would tie both to
    /// each other: slowness is measured against what is predicted here, and the two would drift apart without bound.
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
