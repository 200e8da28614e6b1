//! Kept jobs: what is stored of them, and what has to be stored before it may be acknowledged.
//!
//! A kept job is a durable job: it is stored when it is accepted, outlives the processes that run it, and is answered
//! before its end. It runs only once its row is in the store. The end of one of its runs is acknowledged to the worker
//! only once the row contains it: until then the worker keeps the end for the next owner.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jobs::{
    EndedRun, FenceToken, InstanceId, JobId, KeptRow, KeptState, RunNumber, ServiceId, StepRecord,
    StepSpec, TaskId, WorkerStartTime, WriteId,
};

/// How long an owner continues kept jobs without contact to the store. After that it may have been replaced without
/// knowing it, and a second run of a task could begin. Its successor waits for this time plus a lease and a margin.
pub(crate) const STORE_CONTACT_LIMIT: Duration = Duration::from_millis(1_000);

/// How long a new owner holds back the kept jobs that it found if it cannot see that no run of its predecessor is left:
/// the sum of `STORE_CONTACT_LIMIT`, a lease of 0.8 s, 50 ms for a stop and 350 ms for clock drift and late timers.
pub(crate) const TAKEOVER_HOLD_TIME: Duration = Duration::from_millis(2_200);

/// The pause between polls of a worker with ends that are being stored. The worker lists those ends in each answer and
/// so does not wait for a run to end before it answers.
pub(crate) const STORING_POLL_PAUSE: Duration = Duration::from_millis(10);

/// A write of a kept job's row.
#[derive(Clone, Debug, PartialEq)]
pub struct KeptWrite {
    /// The job whose row is written.
    pub job: JobId,
    /// The row to write. Its state says whether the job has ended.
    pub row: KeptRow,
    /// The version of the row that is replaced. None for a new job.
    pub expected_version: Option<u64>,
}

impl KeptWrite {
    /// The write that adds ends of runs to the row of another pool's job, as it was read. `None` if there is nothing to add:
    /// the row has them, or the job has ended.
    pub fn of_foreign_ends(
        found: FoundJob,
        ends: &[ForeignEnd],
        writer: FenceToken,
        write: WriteId,
    ) -> Option<Self> {
        let FoundJob {
            job,
            mut row,
            version,
        } = found;
        if row.state.is_final() {
            return None;
        }
        let mut is_changed = false;
        for end in ends {
            is_changed |= row.record_end(end.task, &end.end);
        }
        row.writer = writer.0;
        row.write = Some(write);
        is_changed.then_some(Self {
            job,
            row,
            expected_version: Some(version),
        })
    }

    /// Whether a row is the one that this write stores. Writes that look alike in all else may be different ones: an owner
    /// that adds several ends to a row of another pool's job does not change its revision.
    pub fn is_stored_as(&self, row: &KeptRow) -> bool {
        self.row.write.is_some() && self.row.write == row.write
    }

    /// What it means for this write that the job's row is another one than it expected.
    pub fn classify_conflict(&self, found: FoundJob) -> KeptWriteResult {
        let FoundJob { row, version, .. } = found;
        if self.is_stored_as(&row) {
            // An earlier try of the same write took effect.
            return KeptWriteResult::Stored(version);
        }
        if self.expected_version.is_none() {
            return KeptWriteResult::AlreadyExists(row, version);
        }
        if row.state.is_final() {
            return match row.first_run > self.row.first_run {
                true => KeptWriteResult::Superseded,
                false => KeptWriteResult::Gone,
            };
        }
        KeptWriteResult::Conflict(row, version)
    }
}

/// The result of writing a kept job's row.
#[derive(Clone, Debug, PartialEq)]
pub enum KeptWriteResult {
    /// The write took effect, as this version.
    Stored(u64),
    /// The write certainly did not take effect: the store rejected it. Only for new jobs; other writes are retried.
    Rejected,
    /// The id of a new job has a row already, this one at this version: the job was accepted before.
    AlreadyExists(KeptRow, u64),
    /// The row was changed by another write meanwhile, to this row and version.
    Conflict(KeptRow, u64),
    /// The job has ended in the store, as its customer has cancelled it.
    Gone,
    /// The job has ended in the store, and a later owner of the pool had let it run before.
    Superseded,
}

/// A kept job found in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct FoundJob {
    /// The job that was found.
    pub job: JobId,
    /// The job's row as it was read.
    pub row: KeptRow,
    /// The version of the row in the store.
    pub version: u64,
}

/// All open kept jobs of all pools, as read from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct KeptSnapshot {
    /// When the read began.
    pub began: Instant,
    /// The store's version that every part of the read includes: a job that was open before and is missing has ended.
    pub version: u64,
    /// The jobs.
    pub jobs: Vec<FoundJob>,
    /// Jobs that are open, but whose rows cannot be read.
    pub unreadable: Vec<JobId>,
}

/// A kept job that no worker of its pool can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct StrandedJob {
    /// The job.
    pub job: JobId,
    /// The steps with tasks that may start now.
    pub steps: Vec<StepSpec>,
    /// The service whose workers run the tasks.
    pub service: ServiceId,
}

/// The end of a run of another pool's kept job, listed by a worker that belonged to that pool before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForeignEnd {
    /// The worker that lists the end.
    pub instance: InstanceId,
    /// When the worker's incarnation began that lists the end.
    pub born: Option<WorkerStartTime>,
    /// The task whose run has ended.
    pub task: TaskId,
    /// The end.
    pub end: EndedRun,
}

/// What became of the end of a run that may be of another pool's kept job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForeignEndResult {
    /// There is no such kept job.
    NoKeptJob,
    /// The job's row has the end, or the job has ended.
    Stored,
}

/// The end of a run that is known but not stored yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UnstoredEnd {
    pub(crate) instance: InstanceId,
    pub(crate) number: u64,
    /// The revision of the row that contains it.
    pub(crate) revision: u64,
}

/// The storage state of one kept job.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeptJobState {
    /// The version of its row. None until it is stored.
    pub(crate) version: Option<u64>,
    /// Counts the changes that have to be stored.
    pub(crate) revision: u64,
    /// The revision that is stored.
    pub(crate) stored_revision: u64,
    /// See [`KeptRow::first_run`].
    pub(crate) first_run: u64,
    /// The revision of the first row with this owner's `first_run`; the maximum until the owner lets the job run.
    pub(crate) resumed_revision: u64,
    /// The write that is in progress.
    pub(crate) writing: Option<WriteId>,
    pub(crate) progress: Vec<StepRecord>,
    pub(crate) unstored_ends: Vec<UnstoredEnd>,
    /// The final state, once the job has ended.
    pub(crate) final_state: Option<KeptState>,
    /// Whether the job was found in the store and may still have runs of the former owner.
    pub(crate) may_have_runs: bool,
    /// The pool to which the job is being moved.
    pub(crate) new_home: Option<Arc<str>>,
    /// Since when no worker of the pool can hold the job.
    pub(crate) stranded_since: Option<Instant>,
}

impl KeptJobState {
    /// The state to store. `begun` tells whether a task is known to have begun.
    pub(crate) fn state(&self, begun: bool) -> KeptState {
        let running = if begun {
            KeptState::Running
        } else {
            KeptState::Queued
        };
        self.final_state.unwrap_or(running)
    }

    /// Records a failed run of a task and returns the number of its failed runs.
    pub(crate) fn record_failure(&mut self, step: usize, index: u32, run: RunNumber) -> u32 {
        let Some(record) = self.progress.get_mut(step) else {
            return 0;
        };
        record.record_failure(index, run);
        record.failures(index)
    }

    /// Whether the row has yet to be written with this owner's `first_run`. Before that a former owner's write of the row may
    /// still take effect, and the next owner would not see that tasks may have been started again.
    pub(crate) fn is_unfenced(&self) -> bool {
        self.stored_revision < self.resumed_revision
    }

    /// Whether the store has every change.
    pub(crate) fn is_fully_stored(&self) -> bool {
        self.version.is_some() && self.writing.is_none() && self.stored_revision >= self.revision
    }
}
