//! What is stored of a job that outlives the processes which run it.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{BirthTime, JobId, JobRequest, JobTerms, LifeId, ServiceId, StepSpec, TaskText};

/// How far a kept job is, as its customer may be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeptState {
    /// Nothing of it has begun, as far as was stored.
    Queued,
    /// Some of it has begun.
    Running,
    /// All its tasks are done.
    Completed,
    /// A task failed as often as the route allows.
    Failed,
    /// Its customer has cancelled it.
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

    /// Whether nothing of it runs any more.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Queued | Self::Running)
    }
}

/// A worker that died under a task. The life is named, so that no death counts twice, whoever saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskDeath {
    /// The task.
    pub task: u32,
    /// The worker.
    pub life: LifeId,
    /// Which life under its id, if it said so.
    pub born: Option<BirthTime>,
}

/// How far a step is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// The tasks that are done.
    pub done: Vec<u32>,
    /// Failed runs, each by its task and its number, so that none counts twice.
    pub failed: Vec<(u32, u64)>,
    /// Workers that died under tasks which are not done.
    #[serde(default)]
    pub deaths: Vec<TaskDeath>,
}

impl StepRecord {
    /// Notes that a worker died under a task. Says whether that was not known.
    pub fn record_death(&mut self, death: TaskDeath) -> bool {
        let is_new = !self.deaths.contains(&death);
        if is_new {
            self.deaths.push(death);
        }
        is_new
    }

    /// How often a task has failed.
    pub fn failures(&self, task: u32) -> u32 {
        let of_task = self.failed.iter().filter(|(failed, _)| *failed == task);
        u32::try_from(of_task.count()).unwrap_or(u32::MAX)
    }
}

/// A kept job's row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeptRow {
    /// The pool whose owner runs it.
    pub home: Arc<str>,
    /// The fence of the owner that wrote the row last.
    pub writer: u64,
    /// Numbers what this writer wrote of the job. With `writer` it tells whose write took effect.
    pub revision: u64,
    /// How far it is.
    pub state: KeptState,
    /// What each task's worker gets.
    pub text: TaskText,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// How far each step is.
    pub progress: Vec<StepRecord>,
    /// Whose workers run the tasks.
    pub service: ServiceId,
    /// The name of the route.
    pub route: Arc<str>,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs of one task after which the job has failed.
    pub attempts: u32,
    /// See [`JobTerms::stretch`].
    pub stretch: f64,
    /// See [`JobTerms::goal`].
    pub goal: Duration,
}

impl KeptRow {
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

    /// What the route asked when the job was accepted. Nobody waits for a job's end.
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
        }
    }
}
