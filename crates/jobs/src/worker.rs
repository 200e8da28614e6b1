//! Workers: what the directory says of one, and what one says of itself.

use std::{fmt, net::SocketAddr, num::ParseIntError, str::FromStr, sync::Arc, time::Duration};

use model::{text_set, DataCentreId, WrongReason};
use serde::{Deserialize, Serialize};

use crate::{LifeId, ResourceDemand, RunNumber, ServiceId, TaskId};

/// What the directory says a worker does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkerState {
    /// It takes new runs.
    Ready,
    /// It will leave: it gets no new run.
    Draining,
}

/// When a worker's life began, in milliseconds since 1970 by a clock that may jump. It tells lives under one id apart; it does
/// not say which is later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BirthTime(pub u64);

impl fmt::Display for BirthTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for BirthTime {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, ParseIntError> {
        s.parse().map(Self)
    }
}

/// A worker's entry in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WorkerRecord {
    /// Which life of the worker this is.
    pub life: LifeId,
    /// Which life under that id, if it says so.
    pub born: Option<BirthTime>,
    /// Whose tasks it runs.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// Whether it takes new runs.
    pub state: WorkerState,
    /// What it can hold at the same time.
    pub room: ResourceDemand,
    /// Its kind and its rack, among others.
    pub labels: Vec<Arc<str>>,
}

/// A time on a worker's own steady clock, in milliseconds. Clocks of two workers cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerClock(pub u64);

impl WorkerClock {
    /// The time `span` later.
    pub fn plus(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

/// A run that is on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRun {
    /// The task, or none if its name is not one of a task.
    pub task: Option<TaskId>,
    /// The run.
    pub run: RunNumber,
    /// How much of its work is done, in percent.
    pub percent: u8,
}

text_set! {
    /// How a run ended.
    EndCause, "end of a run", WrongReason {
        /// Its work is done.
        Done => "done",
        /// It failed, by its own fault or the worker's.
        Failed => "failed",
        /// It was told to stop.
        Stopped => "stopped",
        /// Its lease ran out.
        Lapsed => "lapsed",
        /// It ended with its gang: another member ended, or the others did not come.
        Gang => "gang",
    }
}

/// A run that ended on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// The end's number within the worker's life, from 1.
    pub number: u64,
    /// The task, or none if its name is not one of a task.
    pub task: Option<TaskId>,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub cause: EndCause,
}

/// What a worker says of its runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerListing {
    /// The worker's clock when it answered.
    pub clock: WorkerClock,
    /// Which life under its id answered, if it says so.
    pub born: Option<BirthTime>,
    /// What runs.
    pub running: Vec<RunningRun>,
    /// What ended after the last end that was acknowledged.
    pub ended: Vec<EndedRun>,
}
