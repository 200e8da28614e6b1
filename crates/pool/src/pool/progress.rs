//! What listings show of the progress of runs, under [`RunTimePolicy::Distribution`].

use std::time::{Duration, Instant};

use jobs::{InstanceId, JobId, RunNumber, RunningRun, StepSpec, TaskId, WorkerListing};
use model::{Mechanism, RunTimePolicy};

use super::{polls::is_overdue, WorkerPool};
use crate::{
    action::{RunBeginning, StallEvidence},
    job::TrackedJob,
    run_progress::{pace_change, remaining_time, stall_evidence, WorkerPace},
    run_times::{RouteDistribution, RouteRunTimes},
    worker::{RunPhase, TrackedRun},
};

/// A run that is stalled.
pub(super) struct StalledRun {
    pub(super) task: TaskId,
    pub(super) run: RunNumber,
    pub(super) took: Duration,
    pub(super) percent: u8,
    pub(super) evidence: StallEvidence,
}

impl WorkerPool {
    /// Takes over the distributions of run times that a former owner has published, and returns how many of them could
    /// not be read.
    pub fn adopt_run_times(&mut self, published: &[RouteRunTimes]) -> usize {
        let mut damaged = 0;
        for route in published {
            damaged += usize::from(self.estimates.adopt(route).is_err());
        }
        damaged
    }

    /// The distributions of run times for the next owner. Empty unless the policy uses them.
    pub fn published_run_times(&self) -> Vec<RouteRunTimes> {
        self.estimates.published()
    }

    /// The distribution of run times of a job's route. None if the policy does not use it.
    pub(super) fn distribution_of(&self, job: JobId) -> Option<&RouteDistribution> {
        if !self.is_enabled(Mechanism::RunTimes) {
            return None;
        }
        let route = &self.jobs.get(&job)?.terms.route;
        self.estimates.distribution(route)
    }

    /// The remaining time of a run by the distribution. None if it is not used for the run.
    pub(super) fn remaining_by_distribution(
        &self,
        run: &TrackedRun,
        slowness: f64,
        now: Instant,
    ) -> Option<Duration> {
        let distribution = self.distribution_of(run.task.job)?;
        Some(remaining_time(run, distribution, slowness, now))
    }

    /// A worker's slowness compared with the pool's median.
    pub(super) fn relative_slowness(&self, instance: &InstanceId) -> f64 {
        let slowness = self.workers.get(instance).map(|worker| worker.slowness);
        let relative = slowness.unwrap_or(1.0) / self.median_slowness;
        // The median is infinite while sluggish workers are not told apart.
        match relative.is_normal() {
            true => relative,
            false => 1.0,
        }
    }

    /// The slowness of a worker above which a task makes its job late. Infinite if the job is late on a worker of median
    /// speed too, or the policy does not use distributions.
    ///
    /// With workers at a third of the median speed, a task that takes the first free place mostly ends later than if it
    /// waits for the next fast worker, and admission counts on the latter.
    pub(super) fn max_slowness(&self, now: Instant, job: &TrackedJob, spec: &StepSpec) -> f64 {
        if self.distribution_of(job.request.id).is_none() {
            return f64::INFINITY;
        }
        let limit = job.arrived + job.objective.mul_f64(self.settings.refusal_factor);
        let usual = self.predict_typical(&job.terms, spec);
        let excess = self.predict_slowest(&job.terms, spec).saturating_sub(usual);
        let left = limit.saturating_duration_since(now + excess);
        let max = left.as_secs_f64() / usual.as_secs_f64();
        match max.is_finite() && max >= self.median_slowness {
            true => max,
            false => f64::INFINITY,
        }
    }

    /// Learns from a completed run how fast its worker is. Returns whether the distribution was used for that.
    pub(super) fn learn_pace(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        run: &TrackedRun,
        took: Duration,
    ) -> bool {
        let Some(distribution) = self.distribution_of(run.task.job).cloned() else {
            return false;
        };
        if let Some(worker) = self.workers.get_mut(instance) {
            worker.learn_from_run(now, &distribution, run, took);
        }
        true
    }

    /// Updates the progress of a worker's runs from a listing and returns the stalled ones. None if the policy is
    /// another one.
    pub(super) fn update_progress_by_distribution(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        listing: &WorkerListing,
    ) -> Option<Vec<StalledRun>> {
        if self.settings.policies.run_times != RunTimePolicy::Distribution {
            return None;
        }
        let mut stalled = Vec::new();
        for running in &listing.running {
            let Some(task) = running.task else {
                continue;
            };
            stalled.extend(self.update_run_progress(now, instance, task, running));
        }
        Some(stalled)
    }

    fn update_run_progress(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        task: TaskId,
        running: &RunningRun,
    ) -> Option<StalledRun> {
        let distribution = self.distribution_of(task.job).cloned();
        let learning_enabled = self.is_enabled(Mechanism::Speeds);
        let worker = self.workers.get_mut(instance)?;
        worker.lists_progress |= running.percent > 0;
        let pace = WorkerPace {
            slowness: worker.slowness,
            lists_progress: worker.lists_progress,
        };
        let run = worker.run_mut(task, running.run)?;
        let change = record_progress(run, running.percent, now);
        let took = now.saturating_duration_since(run.placed_at);
        let evidence = match &distribution {
            Some(distribution) => stall_evidence(run, distribution, &pace, now),
            None => is_overdue(run, &self.settings, now).then_some(StallEvidence::Overdue),
        };
        let stalled = evidence.map(|evidence| StalledRun {
            task,
            run: run.run,
            took,
            percent: run.percent,
            evidence,
        });
        if let Some(distribution) = distribution.filter(|_| learning_enabled) {
            match change {
                Some(change) => worker.scale_slowness(now, change),
                None => worker.learn_from_running(now, &distribution, task, running.run),
            }
        }
        stalled
    }
}

/// Records that a listing shows the run, and returns the change of its pace.
fn record_progress(run: &mut TrackedRun, percent: u8, now: Instant) -> Option<f64> {
    run.beginning = RunBeginning::Begun;
    if run.phase == RunPhase::Ordered {
        run.phase = RunPhase::Running;
        // The start may have been on its way for long.
        run.progressed_at = now;
    }
    let change = pace_change(run, percent, now);
    if percent > run.percent {
        run.percent = percent;
        run.progressed_at = now;
    }
    change
}
