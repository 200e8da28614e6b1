//! Learned corrections of the run times that customers estimate.

use std::{sync::Arc, time::Duration};

use model::FastMap;

/// The weight of a new sample. About 20 samples matter: estimates of single jobs are off by 40% either way, and a
/// route sees tens of ends a second.
const SAMPLE_WEIGHT: f64 = 0.05;

/// A sample outside these bounds says more about its worker than about its route.
const SAMPLE_BOUNDS: (f64, f64) = (0.2, 5.0);

/// Measured run times against estimated ones, per route.
#[derive(Clone, Debug, Default)]
pub(crate) struct EstimateBook {
    ratios: FastMap<Arc<str>, f64>,
}

impl EstimateBook {
    /// What a task of this route takes on a worker of mean speed.
    pub(crate) fn predict(&self, route: &Arc<str>, estimate: Duration) -> Duration {
        estimate.mul_f64(self.ratio(route))
    }

    /// Learns from a run that was done.
    pub(crate) fn learn(&mut self, route: &Arc<str>, estimate: Duration, took: Duration) {
        if estimate.is_zero() {
            return;
        }
        let sample = took.as_secs_f64() / estimate.as_secs_f64();
        let sample = sample.clamp(SAMPLE_BOUNDS.0, SAMPLE_BOUNDS.1);
        let ratio = self.ratio(route);
        self.ratios
            .insert(route.clone(), ratio + SAMPLE_WEIGHT * (sample - ratio));
    }

    fn ratio(&self, route: &Arc<str>) -> f64 {
        self.ratios.get(route).copied().unwrap_or(1.0)
    }
}
