//! A job as submitted by its customer, and its outcome.

use std::{sync::Arc, time::Duration};

use model::{text_enum, DataCentreId, UnknownVariant};
use serde::{Deserialize, Serialize};

use crate::{JobAttemptId, JobId, ResourceDemand, ServiceId};

/// The text that a task's worker gets. It is passed on without being parsed.
pub type TaskText = Arc<str>;

/// One step of a job: tasks with the same demand that may run at the same time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// The index of the first task: more than 0 in a part of a job that is divided among pools.
    pub first: u32,
    /// The demand of each task.
    pub demand: ResourceDemand,
    /// A rough estimate of a task's run time on a worker of mean speed.
    pub estimate: Duration,
    /// The earlier steps whose tasks must all be done before this step begins.
    pub after: Vec<u32>,
    /// A label that the worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub required_label: Option<Arc<str>>,
    /// The rack of the data; on workers elsewhere a task takes longer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<Arc<str>>,
    /// The most tasks of this step on one worker; `None` for no limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub most_per_worker: Option<u32>,
}

text_enum! {
    /// A need that this build does not serve. A job with such a need is refused before any of its tasks
    /// starts.
    UnsupportedNeed, "need", UnknownVariant {
        /// Tasks that run until the job is cancelled.
        LastingJob => "lasting_job",
        /// Occurrences at given times.
        TimedJob => "timed_job",
        /// Tasks that must run together.
        Gang => "gang",
        /// Tasks that run on resources that others leave unused.
        Filler => "filler",
        /// Tasks that may run only where an adviser allows it.
        Advice => "advice",
    }
}

/// A job, decoded where it enters the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobRequest {
    /// The job's id.
    pub id: JobId,
    /// The text that each task's worker gets.
    pub text: TaskText,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// Whether the job is stored when it is accepted, outlives the processes that run it, and is answered
    /// before its end.
    pub kept: bool,
    /// The first need of the job that is not served.
    pub unsupported: Option<UnsupportedNeed>,
}

impl JobRequest {
    /// The number of tasks in all steps.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// The memory that the job takes, in bytes, without what its owner records of each task.
    pub fn memory_bytes(&self) -> u64 {
        let steps = self.steps.iter().map(StepSpec::memory_bytes);
        (size_of::<Self>() + self.text.len()) as u64 + steps.sum::<u64>()
    }
}

impl StepSpec {
    fn memory_bytes(&self) -> u64 {
        let labels = [&self.required_label, &self.data_rack];
        let labels = labels.into_iter().flatten().map(|label| label.len());
        let after = self.after.len() * size_of::<u32>();
        (size_of::<Self>() + after + labels.sum::<usize>()) as u64
    }
}

/// The length of the critical path: the longest chain of predicted task times over the steps of a job.
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

/// The terms under which a job runs: what its route asks for, and how long its customer waits.
#[derive(Clone, Debug, PartialEq)]
pub struct JobTerms {
    /// The service whose workers run the tasks.
    pub service: ServiceId,
    /// The name of the route. Run times are learned per route.
    pub route: Arc<str>,
    /// The priority; 0 comes first.
    pub priority: u32,
    /// The number of failed runs of one task after which the job has failed.
    pub attempts: u32,
    /// The latency objective is the critical path times `stretch`, plus `goal`.
    pub stretch: f64,
    /// The constant part of the latency objective; see `stretch`.
    pub goal: Duration,
    /// The time that the customer still waits.
    pub time_left: Duration,
    /// The age of the customer's request, including the known part of the time for which the customer had been
    /// trying before the request arrived.
    pub waited: Duration,
    /// Whether this is a part of a job that is divided among pools. The other parts are already on their way,
    /// so this one is not refused because of its predicted end.
    pub firm: bool,
    /// The data centre whose entry sent the job. None stands for the data centre of the pool's owner.
    pub origin: Option<DataCentreId>,
    /// The time before which the customer does not submit the job again, even if its connection has broken unheard. None
    /// from older processes.
    pub retry_in: Option<Duration>,
    /// The attempt, which the parts of a divided job share. None from older processes, and for jobs that were read from the
    /// store.
    pub attempt_id: Option<JobAttemptId>,
}

text_enum! {
    /// Why a job was refused before anything of it ran.
    RefusalKind, "refusal", UnknownVariant {
        /// The predicted end is too late to be useful to the customer.
        TooLate => "too_late",
        /// The job's class has used its share of the pool, and other classes lack the capacity that the job would take.
        OverShare => "over_share",
        /// The queue is full.
        QueueFull => "queue_full",
        /// No worker can ever hold one of the tasks.
        NeverFits => "no_room_ever",
        /// The pool's owner is not ready, or it is about to stop.
        NotServing => "not_serving",
        /// The data centre is being evacuated, and no task starts there.
        Evacuated => "evacuated",
        /// No owner can be reached.
        Unreachable => "unreachable",
        /// The job has a need that is not served.
        Unsupported => "unsupported",
    }
}

/// The outcome of a job for its customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// All tasks are done.
    Completed,
    /// A task failed as often as the route allows.
    Failed,
    /// The job is stored and will run.
    Accepted,
    /// No task of the job has run or will run.
    Refused {
        /// The reason.
        kind: RefusalKind,
        /// The time after which the customer should try again.
        retry_after: Duration,
        /// The number of tasks that would have ended in time. The entry may divide the job among pools
        /// accordingly.
        fits: u32,
    },
    /// The job was given up after some of its tasks may have run. Running tasks are stopped by the
    /// pool's owner or end with their leases.
    GivenUp,
}
