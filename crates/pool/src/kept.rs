//! Kept jobs: what of them is stored, and what has to be stored before it may be acknowledged.
//!
//! A kept job runs only once its row is stored. An end of one of its runs is acknowledged to the worker only once the
//! row says so: until then the worker itself remembers it for the next owner.

use std::time::Duration;

use jobs::{JobId, KeptRow, KeptState, LifeId, RunNumber, StepRecord};

/// How long an owner goes on with kept jobs without a sign of the store. Beyond that it may have been replaced without
/// knowing it, and a second run of a task could begin: its successor waits for this time, a lease and some more.
pub(crate) const STORE_CONTACT_LIMIT: Duration = Duration::from_millis(1_000);

/// How long a new owner holds back the kept jobs that it found, if it cannot see that no run of its predecessor is left:
/// the time above, a lease of 0.8 s, 50 ms for a stop and 350 ms for drift and late timers.
pub(crate) const TAKEOVER_HOLD_TIME: Duration = Duration::from_millis(2_200);

/// The pause between looks at a worker with ends that are being stored: it lists them again at once.
pub(crate) const STORING_POLL_PAUSE: Duration = Duration::from_millis(10);

/// What is to be done with a kept job's row.
#[derive(Clone, Debug, PartialEq)]
pub struct KeptWrite {
    /// The job.
    pub job: JobId,
    /// The row to write. Its state says whether the job has ended.
    pub row: KeptRow,
    /// The version that is replaced; none for a new job.
    pub expected_version: Option<u64>,
}

/// What became of it.
#[derive(Clone, Debug, PartialEq)]
pub enum KeptWriteResult {
    /// It took effect, as this version.
    Stored(u64),
    /// Surely not: the store turned it away. Only for new jobs; others are tried again.
    Rejected,
    /// A new job's id is taken: it was accepted before.
    AlreadyExists,
    /// Somebody else wrote the row meanwhile.
    Conflict(KeptRow, u64),
    /// The job was cancelled, or another owner has seen its end.
    Gone,
}

/// A kept job as found in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct FoundJob {
    /// The job.
    pub job: JobId,
    /// Its row.
    pub row: KeptRow,
    /// The row's version.
    pub version: u64,
}

/// An end that is known and not stored yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UnstoredEnd {
    pub(crate) life: LifeId,
    pub(crate) number: u64,
    /// The revision of the row that has it.
    pub(crate) revision: u64,
}

/// What a pool knows of one kept job beside its tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeptJobState {
    /// The version of its row; none until it is stored.
    pub(crate) version: Option<u64>,
    /// Counts changes that have to be stored. It begins at a number that this owner uses once, so that a row tells which
    /// write it came from, also where the same job is handed in anew.
    pub(crate) revision: u64,
    /// The revision that is stored.
    pub(crate) stored_revision: u64,
    /// The revision that is being written.
    pub(crate) writing_revision: Option<u64>,
    pub(crate) progress: Vec<StepRecord>,
    pub(crate) unstored_ends: Vec<UnstoredEnd>,
    /// How it ended, once it has.
    pub(crate) final_state: Option<KeptState>,
    /// Found in the store after a predecessor: it may still have runs.
    pub(crate) may_have_runs: bool,
}

impl KeptJobState {
    /// The state to be stored.
    pub(crate) fn state(&self, begun: bool) -> KeptState {
        let running = if begun {
            KeptState::Running
        } else {
            KeptState::Queued
        };
        self.final_state.unwrap_or(running)
    }

    /// Notes a failed run of a task, and gives how many there are.
    pub(crate) fn record_failure(&mut self, step: usize, index: u32, run: RunNumber) -> u32 {
        let Some(record) = self.progress.get_mut(step) else {
            return 0;
        };
        let failed = (index, run.0);
        if !record.failed.contains(&failed) {
            record.failed.push(failed);
        }
        record.failures(index)
    }

    /// Whether the store has all that is known.
    pub(crate) fn is_fully_stored(&self) -> bool {
        self.version.is_some()
            && self.writing_revision.is_none()
            && self.stored_revision >= self.revision
    }
}
