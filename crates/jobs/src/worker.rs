//! Workers: their entries in the directory, and what they report about themselves.

use std::{fmt, net::SocketAddr, num::ParseIntError, str::FromStr, sync::Arc, time::Duration};

use model::{text_enum, DataCentreId, UnknownVariant};
use serde::{Deserialize, Serialize};

use crate::{InstanceId, ResourceDemand, RunNumber, ServiceId, TaskId};

/// The state of a worker, according to the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkerState {
    /// The worker takes new runs.
    Ready,
    /// The worker is about to leave and gets no new runs.
    Draining,
}

/// The start time of a worker process, in milliseconds since 1970 by a clock that may jump. It tells incarnations
/// with the same id apart, but not which of them is later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkerStartTime(pub u64);

impl fmt::Display for WorkerStartTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for WorkerStartTime {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, ParseIntError> {
        s.parse().map(Self)
    }
}

/// A worker's entry in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WorkerRecord {
    /// The id of the worker instance.
    pub instance: InstanceId,
    /// The start time of the worker process, which tells incarnations with the same id apart; `None` if the worker
    /// does not report it.
    pub born: Option<WorkerStartTime>,
    /// The service whose tasks it runs.
    pub service: ServiceId,
    /// The address where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it takes new runs.
    pub state: WorkerState,
    /// The resources that its runs can use at the same time.
    pub capacity: ResourceDemand,
    /// Labels, among them its kind and its rack.
    pub labels: Vec<Arc<str>>,
}

/// A time on a worker's own monotonic clock, in milliseconds. Times of two workers cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerClock(pub u64);

impl WorkerClock {
    /// The time `span` later.
    pub fn plus(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

/// A run that is active on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRun {
    /// The task; `None` if the run's name is not a task id.
    pub task: Option<TaskId>,
    /// The number of the run.
    pub run: RunNumber,
    /// The progress of the run, in percent.
    pub percent: u8,
}

text_enum! {
    /// The cause of a run's end.
    EndCause, "end of a run", UnknownVariant {
        /// The work is done.
        Done => "done",
        /// The run failed, through its own fault or the worker's.
        Failed => "failed",
        /// The run ended because of an order to stop it.
        Stopped => "stopped",
        /// The run's lease expired.
        Lapsed => "lapsed",
        /// The run ended with its gang: another member ended, or the others did not arrive.
        Gang => "gang",
    }
}

impl EndCause {
    /// Whether the end is recorded with its job, if that is a kept job. Other ends leave a task as it was before the run.
    pub const fn is_recorded(self) -> bool {
        match self {
            Self::Done | Self::Failed => true,
            Self::Stopped | Self::Lapsed | Self::Gang => false,
        }
    }
}

/// A run that ended on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// The number of the end within the worker's incarnation, from 1.
    pub number: u64,
    /// The task; `None` if the run's name is not a task id.
    pub task: Option<TaskId>,
    /// The number of the run.
    pub run: RunNumber,
    /// How it ended.
    pub cause: EndCause,
}

/// The most ended runs that a worker lists at once. It lists the first ones by number, and further ones once those are
/// acknowledged.
pub const MAX_LISTED_ENDS: usize = 500;

/// The ended runs in a listing, in the order of their numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndList {
    /// All ends that were not acknowledged.
    Complete(Vec<EndedRun>),
    /// The first ends that were not acknowledged; there may be more. A run that is missing here may have ended.
    Partial(Vec<EndedRun>),
}

impl EndList {
    /// The ends that a worker listed, which are only a part of them if there are [`MAX_LISTED_ENDS`].
    pub fn from_listed(ends: Vec<EndedRun>) -> Self {
        match ends.len() < MAX_LISTED_ENDS {
            true => Self::Complete(ends),
            false => Self::Partial(ends),
        }
    }

    /// The listed ends.
    pub fn as_slice(&self) -> &[EndedRun] {
        match self {
            Self::Complete(ends) | Self::Partial(ends) => ends,
        }
    }

    /// Whether all ends that were not acknowledged are listed.
    pub fn is_complete(&self) -> bool {
        matches!(self, Self::Complete(_))
    }
}

impl Default for EndList {
    fn default() -> Self {
        Self::Complete(Vec::new())
    }
}

/// A worker's report on its runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerListing {
    /// The worker's clock when it answered.
    pub clock: WorkerClock,
    /// The start time of the worker process that answered, which tells incarnations with the same id apart; `None`
    /// if it did not report it.
    pub born: Option<WorkerStartTime>,
    /// The active runs.
    pub running: Vec<RunningRun>,
    /// The runs that ended after the last acknowledged end.
    pub ended: EndList,
}

impl WorkerListing {
    /// The listing as evidence of what is not on the worker. `None` if not all ended runs are listed.
    pub fn complete(&self) -> Option<CompleteListing<'_>> {
        let is_complete = self.ended.is_complete();
        is_complete.then_some(CompleteListing { listing: self })
    }
}

/// A listing with all active runs and all ends that were not acknowledged: a run that is missing is over or has not begun.
#[derive(Clone, Copy, Debug)]
pub struct CompleteListing<'a> {
    listing: &'a WorkerListing,
}

impl CompleteListing<'_> {
    /// The worker's clock when it answered.
    pub fn clock(&self) -> WorkerClock {
        self.listing.clock
    }

    /// Whether a run is active.
    pub fn is_active(&self, task: TaskId, run: RunNumber) -> bool {
        let mut running = self.listing.running.iter();
        running.any(|active| active.task == Some(task) && active.run == run)
    }
}
