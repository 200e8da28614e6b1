//! Stored state of kept jobs. A kept job outlives the processes that run it.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    EndCause, EndedRun, InstanceId, JobId, JobRequest, JobTerms, RunNumber, ServiceId, StepSpec,
    TaskId, TaskText, WorkerStartTime, WriteId,
};

/// The state of a kept job, as reported to its customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeptState {
    /// No task has begun, according to the last stored row.
    Queued,
    /// Some tasks have begun.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed as often as the route allows.
    Failed,
    /// The customer has cancelled the job.
    Cancelled,
}

impl KeptState {
    /// The text form, for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }

    /// Whether no part of the job runs any more.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Queued | Self::Running)
    }
}

/// The death of a worker while it ran a task. The worker's incarnation is recorded so that no death counts twice,
/// whichever process saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskDeath {
    /// The index of the task within its step.
    pub task: u32,
    /// The id of the worker instance that died.
    pub life: InstanceId,
    /// The start time of the worker process, which tells incarnations with the same id apart; `None` if the worker
    /// did not report it.
    pub born: Option<WorkerStartTime>,
}

/// The progress of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// The indexes of the tasks that are done.
    pub done: Vec<u32>,
    /// Failed runs of tasks that are not done, each as the task's index and the run's number, so that none counts twice.
    pub failed: Vec<(u32, u64)>,
    /// Workers that died while they ran tasks that are not done.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub deaths: Vec<TaskDeath>,
    /// Workers that died when they may have run tasks that are not done. These deaths identify no task as the cause, but
    /// bound how often it is started.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub possible_deaths: Vec<TaskDeath>,
}

impl StepRecord {
    /// Records that a task is done. What else was recorded of it is dropped: it would only lengthen the row.
    pub fn record_done(&mut self, task: u32) {
        if !self.done.contains(&task) {
            self.done.push(task);
        }
        self.retain_records(|other| other != task);
    }

    /// Records a failed run of a task, unless the task is done or the run is recorded.
    pub fn record_failure(&mut self, task: u32, run: RunNumber) {
        let failed = (task, run.0);
        if !self.done.contains(&task) && !self.failed.contains(&failed) {
            self.failed.push(failed);
        }
    }

    /// Keeps the failed runs and deaths of some tasks only.
    fn retain_records(&mut self, is_kept: impl Fn(u32) -> bool) {
        self.failed.retain(|(task, _)| is_kept(*task));
        self.deaths.retain(|death| is_kept(death.task));
        self.possible_deaths.retain(|death| is_kept(death.task));
    }

    /// Records that a worker died while it ran a task. Returns whether this was new.
    pub fn record_death(&mut self, death: TaskDeath) -> bool {
        add_death(&mut self.deaths, death)
    }

    /// Replaces the recorded deaths. Returns whether they differ, apart from their order.
    pub fn replace_deaths(&mut self, deaths: Vec<TaskDeath>) -> bool {
        replace_deaths(&mut self.deaths, deaths)
    }

    /// As [`Self::replace_deaths`], for the possible deaths.
    pub fn replace_possible_deaths(&mut self, deaths: Vec<TaskDeath>) -> bool {
        replace_deaths(&mut self.possible_deaths, deaths)
    }

    /// Whether the end of a run of a task is recorded, or leaves no trace, as each end of a task that is done.
    pub fn contains(&self, task: u32, end: &EndedRun) -> bool {
        let is_done = self.done.contains(&task);
        match end.cause {
            EndCause::Done => is_done,
            EndCause::Failed => is_done || self.failed.contains(&(task, end.run.0)),
            EndCause::Stopped | EndCause::Lapsed | EndCause::Gang => true,
        }
    }

    /// Adds what another record of the same step contains.
    pub fn merge(&mut self, other: &Self) {
        for done in &other.done {
            self.record_done(*done);
        }
        for death in &other.deaths {
            self.record_death(death.clone());
        }
        for death in &other.possible_deaths {
            add_death(&mut self.possible_deaths, death.clone());
        }
        for (task, run) in &other.failed {
            self.record_failure(*task, RunNumber(*run));
        }
        let done = std::mem::take(&mut self.done);
        self.retain_records(|task| !done.contains(&task));
        self.done = done;
    }

    /// The number of failed runs of a task.
    pub fn failures(&self, task: u32) -> u32 {
        let of_task = self.failed.iter().filter(|(failed, _)| *failed == task);
        u32::try_from(of_task.count()).unwrap_or(u32::MAX)
    }
}

fn add_death(deaths: &mut Vec<TaskDeath>, death: TaskDeath) -> bool {
    let is_new = !deaths.contains(&death);
    if is_new {
        deaths.push(death);
    }
    is_new
}

fn replace_deaths(known: &mut Vec<TaskDeath>, deaths: Vec<TaskDeath>) -> bool {
    let same_count = known.len() == deaths.len();
    let differs = !same_count || deaths.iter().any(|death| !known.contains(death));
    if differs {
        *known = deaths;
    }
    differs
}

/// The stored row of a kept job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeptRow {
    /// The pool whose owner runs the job.
    pub home: Arc<str>,
    /// The fencing token of the owner that wrote the row last.
    pub writer: u64,
    /// The number of this version among the writer's versions of the job. Ends that the owner of another pool adds leave it
    /// as it is.
    pub revision: u64,
    /// The write that stored the row. None if it was stored by a build without these ids, which also takes them out of rows
    /// that it writes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub write: Option<WriteId>,
    /// Runs of the job with lower numbers were ordered before its present owner let it run, so their tasks may have been
    /// started again since. 0 in rows of builds without this number.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub first_run: u64,
    /// The state of the job.
    pub state: KeptState,
    /// The text that each task's worker gets.
    pub text: TaskText,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// The progress of each step.
    pub progress: Vec<StepRecord>,
    /// The service whose workers run the tasks.
    pub service: ServiceId,
    /// The name of the route.
    pub route: Arc<str>,
    /// The priority; 0 comes first.
    pub priority: u32,
    /// The number of failed runs of one task after which the job has failed.
    pub attempts: u32,
    /// See [`JobTerms::stretch`].
    pub stretch: f64,
    /// See [`JobTerms::goal`].
    pub goal: Duration,
}

impl KeptRow {
    /// Leaves out a part of the record, the least needed first, from a row that would be too long. Returns whether there was
    /// any. The next owner then counts fewer failed runs and deaths; what is done is never left out.
    pub fn shorten(&mut self) -> bool {
        let parts: [fn(&mut StepRecord) -> bool; 3] = [
            |record| take_all(&mut record.possible_deaths),
            |record| take_all(&mut record.deaths),
            |record| take_all(&mut record.failed),
        ];
        for take_part in parts {
            let mut is_shorter = false;
            for record in &mut self.progress {
                is_shorter |= take_part(record);
            }
            if is_shorter {
                return true;
            }
        }
        false
    }

    /// The number of the job's tasks.
    pub fn task_count(&self) -> usize {
        let counts = self.steps.iter().map(|step| step.count as usize);
        counts.fold(0, usize::saturating_add)
    }

    /// Records the end of a run of one of the job's tasks. Returns whether it changes the record: the job may have the end
    /// already, and a run that was stopped leaves no trace.
    pub fn record_end(&mut self, task: TaskId, end: &EndedRun) -> bool {
        let Some(record) = self.progress.get_mut(task.step as usize) else {
            return false;
        };
        let known = record.clone();
        record.merge(&match end.cause {
            EndCause::Done => StepRecord {
                done: vec![task.index],
                ..StepRecord::default()
            },
            EndCause::Failed => StepRecord {
                failed: vec![(task.index, end.run.0)],
                ..StepRecord::default()
            },
            EndCause::Stopped | EndCause::Lapsed | EndCause::Gang => return false,
        });
        *record != known
    }

    /// The job's request.
    pub fn request(&self, id: JobId) -> JobRequest {
        JobRequest {
            id,
            text: self.text.clone(),
            steps: self.steps.clone(),
            kept: true,
            unsupported: None,
        }
    }

    /// The terms of the route when the job was accepted. They contain no waiting time, because no customer
    /// waits for the end of a kept job.
    pub fn terms(&self) -> JobTerms {
        JobTerms {
            service: self.service.clone(),
            route: self.route.clone(),
            priority: self.priority,
            attempts: self.attempts,
            stretch: self.stretch,
            goal: self.goal,
            time_left: Duration::ZERO,
            waited: Duration::ZERO,
            firm: false,
            origin: None,
            retry_in: None,
            attempt_id: None,
        }
    }
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Empties a list. Returns whether it had entries.
fn take_all<T>(list: &mut Vec<T>) -> bool {
    !std::mem::take(list).is_empty()
}
