//! Weighs the deaths under a task against how often workers die without it.
//!
//! Where racks fail and machines are reclaimed, two workers die under one task by chance. A death that no task caused
//! shows how often that happens: the worker was idle, it died together with many others, or all that ran on it has
//! completed elsewhere since.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use jobs::{InstanceId, WorkerStartTime};

/// The time before and after a death in which the other deaths are counted.
const RATE_WINDOW: Duration = Duration::from_secs(10);

/// The deaths that count in addition to those seen, so that none seen is not taken for a rate of zero.
const PRIOR_DEATHS: f64 = 0.1;

/// The share of tasks that crash their workers: a few in a thousand.
const CULPRIT_SHARE: f64 = 0.002;

/// How much likelier it has to be that a task crashes its workers than that they died without it.
const MIN_ODDS: f64 = 10.0;

/// The maximum number of deaths that are remembered.
const MAX_REMEMBERED_DEATHS: usize = 1_024;

/// The death of a worker that no task caused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WorkerDeath {
    pub(crate) instance: InstanceId,
    pub(crate) born: Option<WorkerStartTime>,
    pub(crate) died_at: Instant,
}

/// The deaths of a pool's workers that no task caused.
#[derive(Clone, Debug, Default)]
pub(crate) struct DeathRate {
    deaths: VecDeque<WorkerDeath>,
}

impl DeathRate {
    /// Records a death that no task caused. Each incarnation dies once.
    pub(crate) fn record(&mut self, death: WorkerDeath) {
        let is_same =
            |other: &WorkerDeath| other.instance == death.instance && other.born == death.born;
        if self.deaths.iter().any(is_same) {
            return;
        }
        if self.deaths.len() == MAX_REMEMBERED_DEATHS {
            self.deaths.pop_front();
        }
        self.deaths.push_back(death);
    }

    /// The probability that one of `workers` workers died about `died_at` within `exposure`, without any task's doing.
    fn chance(&self, now: Instant, died_at: Instant, exposure: Duration, workers: usize) -> f64 {
        let is_near = |other: &&WorkerDeath| {
            other.died_at + RATE_WINDOW >= died_at && died_at + RATE_WINDOW >= other.died_at
        };
        let deaths = self.deaths.iter().filter(is_near).count() as f64 + PRIOR_DEATHS;
        let after = now.saturating_duration_since(died_at).min(RATE_WINDOW);
        let watched = (RATE_WINDOW + after).as_secs_f64() * workers.max(1) as f64;
        1.0 - (-deaths / watched * exposure.as_secs_f64()).exp()
    }

    /// The odds that a task crashes its workers, given when each died and how long the task was exposed on it.
    pub(crate) fn culprit_odds(
        &self,
        now: Instant,
        workers: usize,
        deaths: impl Iterator<Item = (Instant, Duration)>,
    ) -> CulpritOdds {
        let chances =
            deaths.map(|(died_at, exposure)| self.chance(now, died_at, exposure, workers));
        let by_chance: f64 = chances.product();
        CulpritOdds(CULPRIT_SHARE / by_chance.max(f64::MIN_POSITIVE))
    }
}

/// How much likelier it is that a task crashes its workers than that they died without it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CulpritOdds(f64);

impl CulpritOdds {
    /// Whether the odds are high enough to fail the task's job.
    pub(crate) fn is_sufficient(self) -> bool {
        self.0 >= MIN_ODDS
    }
}
