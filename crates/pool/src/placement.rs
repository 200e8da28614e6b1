//! Chooses the worker on which a task runs.
//!
//! Workers differ in speed and size, some have turned slow, and the load may occupy most of the capacity. A short task
//! on a worker that is several times slower is certain to be late. Since a job ends with its last task, one such worker
//! among sixteen makes most wide jobs late.

use std::time::{Duration, Instant};

use jobs::{InstanceId, JobId, ServiceId, StepSpec, WorkerRecord};

use crate::{crash::TaskRestriction, worker::TrackedWorker};

/// A worker above this multiple of its pool's median slowness gets only one run at a time, to see whether it has
/// recovered. Healthy workers differ by a factor of 1.6 from slowest to fastest. Estimates add as much again for single
/// jobs, which the mean evens out. The bound is relative to the pool because estimates that are far too low make all
/// workers look slow at once.
const SLUGGISH_FACTOR: f64 = 2.2;

/// The pause between two such probe runs on a sluggish worker.
const SLUGGISH_PROBE_PAUSE: Duration = Duration::from_millis(700);

/// A task to place.
pub(crate) struct PlacementRequest<'a> {
    pub(crate) job: JobId,
    pub(crate) step: u32,
    pub(crate) spec: &'a StepSpec,
    pub(crate) service: &'a ServiceId,
    /// The workers on which the task failed before.
    pub(crate) failed_on: &'a [InstanceId],
    /// The factor by which the task takes longer outside the rack of its data.
    pub(crate) far_factor: f64,
    /// The median slowness of the pool's workers.
    pub(crate) median_slowness: f64,
    /// The slowness above which the task would make its job late, although it can be in time elsewhere.
    pub(crate) max_slowness: f64,
    /// What the task may share a worker with, because workers died under it.
    pub(crate) restriction: TaskRestriction,
    /// Whether the worker has to be watched, because workers may have died under the task.
    pub(crate) watched: bool,
    /// Workers that are being emptied for tasks that run alone.
    pub(crate) reserved: &'a [InstanceId],
    /// The owner's clock, in milliseconds.
    pub(crate) owner_millis: u64,
    /// When the run has to be over on that clock.
    pub(crate) runs_until: Option<u64>,
}

/// Whether a worker can ever hold a task of the step, whatever runs on it now.
pub(crate) fn can_hold(worker: &WorkerRecord, spec: &StepSpec, service: &ServiceId) -> bool {
    let label = spec.required_label.as_ref();
    worker.service == *service
        && worker.capacity.holds(&spec.demand)
        && label.is_none_or(|label| worker.labels.contains(label))
}

/// The best worker for a task. None if no worker may take it now.
pub(crate) fn choose_worker<'a>(
    workers: impl Iterator<Item = &'a TrackedWorker>,
    request: &PlacementRequest<'_>,
    now: Instant,
) -> Option<&'a TrackedWorker> {
    let mut best: Option<(PlacementScore, &TrackedWorker)> = None;
    for worker in workers {
        if !may_place(worker, request, now) {
            continue;
        }
        let score = PlacementScore::of(worker, request);
        if best
            .as_ref()
            .is_none_or(|(best, _)| score.is_better_than(best))
        {
            best = Some((score, worker));
        }
    }
    best.map(|(_, worker)| worker)
}

/// Whether a worker is too slow to count as usable.
pub(crate) fn is_sluggish(worker: &TrackedWorker, median: f64) -> bool {
    worker.slowness > SLUGGISH_FACTOR * median
}

fn may_place(worker: &TrackedWorker, request: &PlacementRequest<'_>, now: Instant) -> bool {
    if !can_hold(&worker.record, request.spec, request.service) || !worker.may_get_run(now) {
        return false;
    }
    // A lease never gets shorter, so the run could last as long as the one that the worker has.
    let runs_until = request.runs_until;
    if runs_until.is_some_and(|limit| !worker.leases_end_by(request.owner_millis, limit)) {
        return false;
    }
    if worker.slowness > request.max_slowness {
        return false;
    }
    let pause = worker.slow_pause.of(SLUGGISH_PROBE_PAUSE);
    if is_sluggish(worker, request.median_slowness)
        && (!worker.runs.is_empty() || now < worker.last_end_time + pause)
    {
        return false;
    }
    if !worker.free_capacity().holds(&request.spec.demand) {
        return false;
    }
    if !fits_beside(worker, request, now) {
        return false;
    }
    let beside = worker.runs.iter();
    let beside = beside.filter(|run| run.task.job == request.job && run.task.step == request.step);
    let beside = u32::try_from(beside.count()).unwrap_or(u32::MAX);
    request
        .spec
        .most_per_worker
        .is_none_or(|most| beside < most)
}

/// Whether the task may share the worker with what runs there and with what the worker is kept for.
fn fits_beside(worker: &TrackedWorker, request: &PlacementRequest<'_>, now: Instant) -> bool {
    let is_kept_free = request.reserved.contains(&worker.record.instance) || worker.is_watched(now);
    let mut restrictions = worker.runs.iter().map(|run| run.restriction);
    match request.restriction {
        TaskRestriction::None => {
            !is_kept_free && !restrictions.any(|other| other == TaskRestriction::Alone)
        }
        TaskRestriction::Apart => !is_kept_free && !restrictions.any(TaskRestriction::is_suspect),
        TaskRestriction::Alone => {
            worker.runs.is_empty() && (!request.watched || worker.is_watch_ready(now))
        }
        TaskRestriction::Hold => false,
    }
}

/// Ranks workers for a task. Lower is better.
struct PlacementScore {
    failed_there: bool,
    /// The runs that a suspect would take down if it caused the loss of a worker. They do not count for other tasks.
    runs_at_risk: usize,
    slowness: f64,
    leftover_cpu: u64,
}

/// Slowness values this close count as equal, so that the tighter fit decides: leftover capacity that is too small for
/// any task is wasted.
const EQUAL_SLOWNESS_MARGIN: f64 = 0.08;

impl PlacementScore {
    fn of(worker: &TrackedWorker, request: &PlacementRequest<'_>) -> Self {
        let far_factor = match &request.spec.data_rack {
            Some(rack) if !worker.record.labels.contains(rack) => request.far_factor,
            _ => 1.0,
        };
        Self {
            failed_there: request.failed_on.contains(&worker.record.instance),
            runs_at_risk: match request.restriction.is_suspect() {
                true => worker.runs.len(),
                false => 0,
            },
            slowness: worker.slowness * far_factor,
            leftover_cpu: worker.free_capacity().minus(&request.spec.demand).cpu.0,
        }
    }

    fn is_better_than(&self, other: &Self) -> bool {
        if self.failed_there != other.failed_there {
            return other.failed_there;
        }
        if self.runs_at_risk != other.runs_at_risk {
            return self.runs_at_risk < other.runs_at_risk;
        }
        if (self.slowness - other.slowness).abs() > EQUAL_SLOWNESS_MARGIN {
            return self.slowness < other.slowness;
        }
        self.leftover_cpu < other.leftover_cpu
    }
}
