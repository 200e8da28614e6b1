//! On which worker a task runs.
//!
//! Load it is made for: workers of unequal speed and size, some of which have turned slow, at loads at which most
//! places are taken. Harm prevented: a short task on a worker that is several times slower is late for certain, and
//! since a job ends with its last task, one such worker among sixteen makes most wide jobs late.

use std::time::{Duration, Instant};

use jobs::{JobId, LifeId, StepSpec};

use crate::worker::TrackedWorker;

/// From this many times the median slowness of its pool on a worker is used only by one run at a time, to see whether it
/// has recovered. Sound workers differ by 1.6 from slowest to fastest; estimates add as much again for single jobs, which
/// the mean evens out. Against the pool, since estimates that are far too low make all workers look slow at once.
const SLUGGISH_FACTOR: f64 = 2.2;

/// How long a sluggish worker is left alone between two such runs.
const SLUGGISH_TRIAL_PAUSE: Duration = Duration::from_millis(700);

/// What is to be placed.
pub(crate) struct PlacementRequest<'a> {
    pub(crate) job: JobId,
    pub(crate) step: u32,
    pub(crate) spec: &'a StepSpec,
    pub(crate) service: &'a jobs::ServiceId,
    /// Workers on which it failed before.
    pub(crate) failed_on: &'a [LifeId],
    /// How many times as long it takes away from its data.
    pub(crate) far_factor: f64,
    /// The median slowness of the pool's workers.
    pub(crate) median_slowness: f64,
    /// Whether nothing may run beside it: workers died under it.
    pub(crate) exclusive: bool,
    /// Workers that are being emptied for such tasks.
    pub(crate) reserved: &'a [LifeId],
}

/// Whether a worker can ever hold the task.
pub(crate) fn can_hold(worker: &TrackedWorker, ask: &PlacementRequest<'_>) -> bool {
    let label = ask.spec.required_label.as_ref();
    worker.record.service == *ask.service
        && worker.record.room.holds(&ask.spec.demand)
        && label.is_none_or(|label| worker.record.labels.contains(label))
}

/// The best worker for a task, if one is free.
pub(crate) fn choose_worker<'a>(
    workers: impl Iterator<Item = &'a TrackedWorker>,
    ask: &PlacementRequest<'_>,
    now: Instant,
) -> Option<&'a TrackedWorker> {
    let mut best: Option<(PlacementScore, &TrackedWorker)> = None;
    for worker in workers {
        if !may_place(worker, ask, now) {
            continue;
        }
        let score = PlacementScore::of(worker, ask);
        if best
            .as_ref()
            .is_none_or(|(best, _)| score.is_better_than(best))
        {
            best = Some((score, worker));
        }
    }
    best.map(|(_, worker)| worker)
}

/// Whether a worker is so slow that nothing is expected of it.
pub(crate) fn is_sluggish(worker: &TrackedWorker, median: f64) -> bool {
    worker.slowness > SLUGGISH_FACTOR * median
}

fn may_place(worker: &TrackedWorker, ask: &PlacementRequest<'_>, now: Instant) -> bool {
    if !can_hold(worker, ask) || !worker.accepts_runs() {
        return false;
    }
    if !worker.health.allows_run(now, worker.runs.len()) {
        return false;
    }
    if is_sluggish(worker, ask.median_slowness)
        && (!worker.runs.is_empty() || now < worker.last_end_time + SLUGGISH_TRIAL_PAUSE)
    {
        return false;
    }
    if !worker.free_room().holds(&ask.spec.demand) {
        return false;
    }
    let shares = match ask.exclusive {
        true => worker.runs.is_empty(),
        false => {
            !ask.reserved.contains(&worker.record.life)
                && !worker.runs.iter().any(|run| run.exclusive)
        }
    };
    if !shares {
        return false;
    }
    let beside = worker.runs.iter();
    let beside = beside.filter(|run| run.task.job == ask.job && run.task.step == ask.step);
    let beside = u32::try_from(beside.count()).unwrap_or(u32::MAX);
    ask.spec.most_per_worker.is_none_or(|most| beside < most)
}

/// Lower is better.
struct PlacementScore {
    failed_there: bool,
    slowness: f64,
    leftover_cpu: u64,
}

/// Speeds this near count as equal, so that the fit decides: a place that is left too small serves nobody.
const EQUAL_SLOWNESS_MARGIN: f64 = 0.08;

impl PlacementScore {
    fn of(worker: &TrackedWorker, ask: &PlacementRequest<'_>) -> Self {
        let far = match &ask.spec.data_rack {
            Some(rack) if !worker.record.labels.contains(rack) => ask.far_factor,
            _ => 1.0,
        };
        Self {
            failed_there: ask.failed_on.contains(&worker.record.life),
            slowness: worker.slowness * far,
            leftover_cpu: worker.free_room().minus(&ask.spec.demand).cpu.0,
        }
    }

    fn is_better_than(&self, other: &Self) -> bool {
        if self.failed_there != other.failed_there {
            return other.failed_there;
        }
        if (self.slowness - other.slowness).abs() > EQUAL_SLOWNESS_MARGIN {
            return self.slowness < other.slowness;
        }
        self.leftover_cpu < other.leftover_cpu
    }
}
