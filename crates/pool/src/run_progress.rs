//! What the progress of a run shows: how long it has left, whether it is stalled, and whether its worker has changed its
//! speed.
//!
//! Progress is better evidence than time. A task that takes seven times as long as usual is neither stalled nor does it
//! show that its worker is slow, and a mean would call it both. Workers list progress in whole percent, some list none.

use std::time::{Duration, Instant};

use jobs::{RunNumber, TaskId};

use crate::{
    action::StallEvidence,
    run_times::{times_ratio, RouteDistribution},
    worker::{RunPhase, TrackedRun, TrackedWorker, SLOWNESS_SAMPLE_WEIGHT},
};

/// The minimum progress from which a run's pace is computed, in percent. Below it, most of the time is the transit time
/// of the start and the listing.
const MIN_PROGRESS_PERCENT: u8 = 10;

/// The minimum time over which a pace is computed, about ten round trips.
const MIN_PACE_TIME: Duration = Duration::from_millis(30);

/// The minimum remaining time of a run, as a share of the time that its pace gives for the whole. The last percent may
/// include work that does not count as progress.
const MIN_REMAINING_SHARE: f64 = 0.02;

/// The shortest time without progress that counts as a stall. Workers of a shared machine stand still for some tens of
/// milliseconds.
const MIN_STALL_TIME: Duration = Duration::from_millis(110);

/// The shortest time without progress that counts as a stall, as a share of the predicted run time. Stopping a run loses
/// all its work, so the loss by waiting is kept in proportion.
const MIN_STALL_SHARE: f64 = 0.25;

/// The multiple of the time per percent that a run may go without progress. A worker at a tenth of its speed still
/// advances by one percent in that time.
const STALLED_PACES: f64 = 10.0;

/// The multiple of the slowest expected time per percent that a run of unknown pace may go without progress.
const STALLED_SLOWEST_PACES: f64 = 2.0;

/// The multiple of the longest expected run time after which a run without listed progress counts as stalled.
const OVERLONG_FACTOR: f64 = 1.5;

/// The multiple of the predicted time from which a run is polled often enough to find a stall.
const CHECK_FACTOR: f64 = 1.5;

/// A change of pace below this factor, up or down, is not taken as a change of the worker's speed.
const MIN_PACE_CHANGE: f64 = 2.0;

/// The weight of a sample that is within `MIN_PACE_CHANGE` of the known slowness. Estimates that are off by 40% account
/// for such a difference, and if single samples counted for more, the worker that seems fastest would mostly be one that
/// is overrated.
const STEADY_SAMPLE_WEIGHT: f64 = 0.05;

/// The bounds of a sample of slowness. Workers of 2.4 times the median speed are common, and if they counted as slower
/// than they are, jobs would be refused that they could run in time.
const SAMPLE_BOUNDS: (f64, f64) = (0.2, 12.0);

/// When the run began, as far as it is known.
fn began_at(run: &TrackedRun) -> Instant {
    run.confirmed_at.unwrap_or(run.placed_at)
}

/// The time for the whole run at its pace so far. None if too little progress is listed.
fn projected_time(run: &TrackedRun) -> Option<Duration> {
    let worked = run.progressed_at.saturating_duration_since(began_at(run));
    if run.percent < MIN_PROGRESS_PERCENT || worked < MIN_PACE_TIME {
        return None;
    }
    Some(worked.mul_f64(100.0 / f64::from(run.percent)))
}

/// The remaining time of a run that is not being stopped: by its progress if it lists enough, and otherwise the mean of
/// what runs of the route had left that lasted as long.
pub(crate) fn remaining_time(
    run: &TrackedRun,
    distribution: &RouteDistribution,
    slowness: f64,
    now: Instant,
) -> Duration {
    if let Some(projected) = projected_time(run) {
        let worked = now.saturating_duration_since(began_at(run));
        let least = projected.mul_f64(MIN_REMAINING_SHARE);
        return projected.saturating_sub(worked).max(least);
    }
    let unit = run.estimate.mul_f64(slowness);
    if unit.is_zero() {
        return Duration::ZERO;
    }
    let took = now.saturating_duration_since(run.placed_at);
    let elapsed = took.as_secs_f64() / unit.as_secs_f64();
    times_ratio(unit, distribution.mean_remaining(elapsed))
}

/// Why a run counts as stalled now, after its listed progress was updated. None if it does not.
pub(crate) fn stall_evidence(
    run: &TrackedRun,
    distribution: &RouteDistribution,
    worker: &WorkerPace,
    now: Instant,
) -> Option<StallEvidence> {
    if run.phase != RunPhase::Running {
        return None;
    }
    let longest = times_ratio(
        run.estimate.mul_f64(worker.slowness),
        distribution.longest(),
    );
    if !worker.lists_progress {
        let took = now.saturating_duration_since(run.placed_at);
        let limit = longest.mul_f64(OVERLONG_FACTOR) + MIN_STALL_TIME;
        return (took >= limit).then_some(StallEvidence::Overlong);
    }
    let (needed, evidence) = match projected_time(run) {
        Some(projected) => (projected.mul_f64(STALLED_PACES), StallEvidence::Stopped),
        None => (
            longest.mul_f64(STALLED_SLOWEST_PACES),
            StallEvidence::NeverAdvanced,
        ),
    };
    let least = run.predicted.mul_f64(MIN_STALL_SHARE).max(MIN_STALL_TIME);
    let limit = (needed / 100).max(least);
    let stalled_for = now.saturating_duration_since(run.progressed_at);
    (stalled_for >= limit).then_some(evidence)
}

/// The time until a run should be listed again so that a stall is found.
pub(crate) fn next_check(run: &TrackedRun, slowness: f64, now: Instant) -> Duration {
    let usual = run.predicted.mul_f64(slowness * CHECK_FACTOR);
    let left = (run.placed_at + usual).saturating_duration_since(now);
    left.max(MIN_STALL_TIME)
}

/// The factor by which a run advances more slowly since its last listed progress than before, if it has changed. To be
/// called before `percent` is recorded.
pub(crate) fn pace_change(run: &TrackedRun, percent: u8, now: Instant) -> Option<f64> {
    let before = projected_time(run)?;
    let (since, advanced) = (
        now.saturating_duration_since(run.progressed_at),
        percent.saturating_sub(run.percent),
    );
    if since < MIN_PACE_TIME || advanced < MIN_PROGRESS_PERCENT {
        return None;
    }
    let present = since.mul_f64(100.0 / f64::from(advanced));
    let change = present.as_secs_f64() / before.as_secs_f64();
    is_pace_change(change).then_some(change)
}

fn is_pace_change(change: f64) -> bool {
    !(1.0 / MIN_PACE_CHANGE..=MIN_PACE_CHANGE).contains(&change)
}

/// What a stall of a run depends on at its worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerPace {
    /// The worker's slowness.
    pub(crate) slowness: f64,
    /// Whether the worker has ever listed progress of a run.
    pub(crate) lists_progress: bool,
}

/// The maximum number of times that the pause before a slow worker is tried again doubles, to 16 times its first value.
/// A worker that has recovered is then found within some ten seconds.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// A task that takes this multiple of the usual time confirms that its worker is slow.
const SLOW_FACTOR: f64 = 2.0;

/// Lengthens the pause before a slow worker is tried again, each time that it proves to be slow.
///
/// Some workers are slow for good, and most jobs with a task there end late. If each of them were tried as often as one
/// that was slowed by a fault, a pool of a third of such workers would lose a tenth of its jobs to the trials.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlowWorkerPause {
    doublings: u32,
}

impl SlowWorkerPause {
    /// Notes how many times longer than usual a task took.
    fn record(&mut self, sample: f64) {
        self.doublings = match sample > SLOW_FACTOR {
            true => (self.doublings + 1).min(MAX_PAUSE_DOUBLINGS),
            false => 0,
        };
    }

    /// The pause that follows from the first one.
    pub(crate) fn of(self, first: Duration) -> Duration {
        first * 2_u32.pow(self.doublings)
    }
}

/// Tells slow workers from long tasks: a slow worker takes long for several tasks in a row.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LongTaskFilter {
    /// The last task, if it took long for its worker.
    last_long: Option<TaskId>,
}

impl LongTaskFilter {
    /// Whether a run's time says something about its worker's speed. `limit` is the time above which a task on this
    /// worker counts as long. With 3% long tasks, one run in a thousand is wrongly taken for a sign of a slow worker.
    pub(crate) fn accepts(&mut self, task: TaskId, took: Duration, limit: Duration) -> bool {
        if took <= limit {
            self.last_long = None;
            return true;
        }
        let other = self.last_long.is_some_and(|last| last != task);
        self.last_long = Some(task);
        other
    }
}

impl TrackedWorker {
    /// Learns from a completed run how fast the worker is, unless its task is long or the run was used before it ended.
    pub(crate) fn learn_from_run(
        &mut self,
        now: Instant,
        distribution: &RouteDistribution,
        run: &TrackedRun,
        took: Duration,
    ) {
        if run.pace_learned {
            return;
        }
        let limit = self.long_task_time(distribution, run.estimate);
        if self.long_tasks.accepts(run.task, took, limit) {
            let typical = times_ratio(run.estimate, distribution.typical());
            let sample = took.as_secs_f64() / typical.as_secs_f64();
            self.slow_pause.record(sample);
            self.sample_slowness(now, sample);
        }
    }

    /// Learns from a run as soon as its progress shows that it takes long, and only once: otherwise two long tasks side
    /// by side would count again with each listing.
    pub(crate) fn learn_from_running(
        &mut self,
        now: Instant,
        distribution: &RouteDistribution,
        task: TaskId,
        number: RunNumber,
    ) {
        let Some(run) = self.run_mut(task, number) else {
            return;
        };
        let Some(projected) = projected_time(run) else {
            return;
        };
        let run = run.clone();
        if projected <= self.long_task_time(distribution, run.estimate) {
            return;
        }
        self.learn_from_run(now, distribution, &run, projected);
        if let Some(run) = self.run_mut(task, number) {
            run.pace_learned = true;
        }
    }

    /// Learns that the worker runs slower than before by a factor, from the pace of a single run.
    pub(crate) fn scale_slowness(&mut self, now: Instant, change: f64) {
        self.sample_slowness(now, self.slowness * change);
    }

    fn sample_slowness(&mut self, now: Instant, sample: f64) {
        if !sample.is_finite() {
            return;
        }
        self.slowness_updated = now;
        let sample = sample.clamp(SAMPLE_BOUNDS.0, SAMPLE_BOUNDS.1);
        let weight = match is_pace_change(sample / self.slowness) {
            true => SLOWNESS_SAMPLE_WEIGHT,
            false => STEADY_SAMPLE_WEIGHT,
        };
        self.slowness += weight * (sample - self.slowness);
    }

    /// The time above which a task counts as long on this worker.
    fn long_task_time(&self, distribution: &RouteDistribution, estimate: Duration) -> Duration {
        times_ratio(estimate, distribution.long_limit() * self.slowness)
    }
}
