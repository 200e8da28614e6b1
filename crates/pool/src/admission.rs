//! Whether a job is admitted.
//!
//! Load it is made for: more work than the pool's workers can do, for seconds. Harm prevented: without a refusal every
//! job waits longer, until all end too late to help anybody, while the work done on them is lost. A job whose
//! predicted end is too late is refused at once, so that its customer can turn elsewhere and the places serve jobs
//! that will be in time.

use std::time::Duration;

/// What a pool can take, as published to the entries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Processor room of usable workers, in thousandths of a core.
    pub capacity: u64,
    /// The part of it that is free.
    pub free: u64,
    /// How long the waiting work takes on all usable workers.
    pub backlog: Duration,
}

/// The state of the pool that a new job meets. Work is processor share times run time, in core-milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct AdmissionView {
    /// Processor room of usable workers that tasks fill, in cores.
    pub(crate) capacity: f64,
    /// Its free part, in cores.
    pub(crate) free: f64,
    /// Work that waits and would get places first.
    pub(crate) work_ahead: f64,
    /// Processor share of the tasks that wait and would get places first, in cores.
    pub(crate) cores_ahead: f64,
}

/// What a job asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct AdmissionAsk {
    /// The work of the tasks that can start at once.
    pub(crate) work: f64,
    /// Their processor share, in cores.
    pub(crate) cores: f64,
    /// The longest chain of predicted run times.
    pub(crate) chain: Duration,
    /// The time since the customer's request came.
    pub(crate) waited: Duration,
}

/// The predicted time from the customer's request to the job's end.
///
/// While places are free for all that is ahead and for the job, nothing waits. Otherwise places come free as fast as
/// the workers do work, so the last task starts when what is ahead of it has been done.
pub(crate) fn predict_end(view: &AdmissionView, ask: &AdmissionAsk) -> Duration {
    let wait = if view.cores_ahead + ask.cores <= view.free {
        0.0
    } else if view.capacity <= 0.0 {
        f64::INFINITY
    } else {
        let share_waiting =
            (view.cores_ahead + ask.cores - view.free) / (view.cores_ahead + ask.cores);
        (view.work_ahead + ask.work) * share_waiting / view.capacity
    };
    let wait = Duration::try_from_secs_f64(wait / 1000.0).unwrap_or(Duration::MAX);
    ask.waited.saturating_add(wait).saturating_add(ask.chain)
}
