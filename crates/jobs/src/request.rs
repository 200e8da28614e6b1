//! A job as its customer hands it in, and how it ends.

use std::{sync::Arc, time::Duration};

use model::{text_set, WrongReason};
use serde::{Deserialize, Serialize};

use crate::{JobId, ResourceDemand, ServiceId};

/// The text that a task's worker gets. It is passed on unread.
pub type TaskText = Arc<str>;

/// One step of a job: tasks of the same shape that may run at the same time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// The index of the first of them: more than 0 in a part of a job that is divided among pools.
    pub first: u32,
    /// What each task needs.
    pub demand: ResourceDemand,
    /// A rough estimate of a task's run time on a worker of mean speed.
    pub estimate: Duration,
    /// Earlier steps whose tasks all have to be done first.
    pub after: Vec<u32>,
    /// A label that the worker must have.
    pub required_label: Option<Arc<str>>,
    /// The rack where the data is; elsewhere a task takes longer.
    pub data_rack: Option<Arc<str>>,
    /// The most tasks of this step on one worker; none for no limit.
    pub most_per_worker: Option<u32>,
}

text_set! {
    /// A need that this build does not serve yet. Such a job is refused before anything of it starts.
    UnsupportedNeed, "need", WrongReason {
        /// Tasks that run until the job is cancelled.
        LastingJob => "lasting_job",
        /// Occurrences at given times.
        TimedJob => "timed_job",
        /// Tasks that work only together.
        Gang => "gang",
        /// Tasks that take the room that others leave unused.
        Filler => "filler",
        /// Tasks that may run only where an adviser allows it.
        Advice => "advice",
    }
}

/// A job, as decoded at the border.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobRequest {
    /// The job's id.
    pub id: JobId,
    /// What each task's worker gets.
    pub text: TaskText,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// Whether it is stored when it is accepted, outlives the processes that run it and is answered before its end.
    pub kept: bool,
    /// The first need that cannot be served.
    pub unsupported: Option<UnsupportedNeed>,
}

impl JobRequest {
    /// The number of tasks in all steps.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }
}

/// The longest chain of predicted task times over the steps of a job.
pub fn critical_path(
    steps: &[StepSpec],
    predict: impl Fn(usize, &StepSpec) -> Duration,
) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(steps.len());
    for (number, step) in steps.iter().enumerate() {
        let begin = step
            .after
            .iter()
            .filter_map(|before| ends.get(*before as usize))
            .max()
            .copied()
            .unwrap_or_default();
        ends.push(begin + predict(number, step));
    }
    ends.into_iter().max().unwrap_or_default()
}

/// What the route asks of a job, and how long its customer waits.
#[derive(Clone, Debug, PartialEq)]
pub struct JobTerms {
    /// Whose workers run the tasks.
    pub service: ServiceId,
    /// The name of the route. Run times are learned per route.
    pub route: Arc<str>,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs of one task after which the job has failed.
    pub attempts: u32,
    /// The latency objective is this many times the longest chain of work, and `goal` more.
    pub stretch: f64,
    /// See `stretch`.
    pub goal: Duration,
    /// The time that the customer still waits.
    pub time_left: Duration,
    /// The time since the customer's request arrived.
    pub waited: Duration,
    /// Whether it is a part of a job that is divided among pools: the others are on their way, so that it is not
    /// refused for its predicted end.
    pub firm: bool,
}

text_set! {
    /// Why a job was refused before anything of it ran.
    RefusalKind, "refusal", WrongReason {
        /// Its predicted end is too late to help its customer.
        TooLate => "too_late",
        /// The queue's bound is reached.
        QueueFull => "queue_full",
        /// No worker can ever hold one of its tasks.
        NoRoomEver => "no_room_ever",
        /// The pool's owner is not ready, or it is leaving.
        NotServing => "not_serving",
        /// Its data centre is evacuated: nothing starts there.
        Evacuated => "evacuated",
        /// No owner can be reached.
        Unreachable => "unreachable",
        /// The job needs something that is not served.
        Unsupported => "unsupported",
    }
}

/// How a job ended for its customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// All tasks are done.
    Completed,
    /// A task failed as often as the route allows.
    Failed,
    /// It is stored and will be run.
    Accepted,
    /// Nothing of it ran or ever will.
    Refused {
        /// Why.
        kind: RefusalKind,
        /// When to come back.
        retry_after: Duration,
        /// How many of its tasks would have been in time. The entry may divide the job among pools.
        fits: u32,
    },
    /// It was given up after something of it may have run, and what runs has been told to stop.
    GivenUp,
}
