//! Adds ends of runs to the rows of other pools' jobs. Workers that have changed their pool list such ends.

use std::{rc::Rc, time::Duration};

use jobs::{FenceToken, PoolId};
use platform_adapter::{StoreError, Transaction};
use pool::{ForeignEnd, ForeignEndResult, KeptWrite};
use telemetry::{EventKind, EventLine};

use super::{
    add_to_transaction, draw_write_id, encode, find_job, is_held, partition_of,
    read_back::{write_rows, WriteEvidence, WriteOutcome},
    unencodable_row, STORE_RETRY_DELAY,
};
use crate::{owner::with_fenced_pool, state::NodeState};

/// The interval at which an end that may be of a kept job checks whether the open jobs have been read.
const OPEN_JOBS_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What became of an end of another pool's job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndOutcome {
    /// There is no kept job to which it could belong.
    NoKeptJob,
    /// The job's row has had it, or the job has ended, as of this version.
    Contained(u64),
    /// It was added to the job's row, as this version.
    Added(u64, WriteEvidence),
}

impl EndOutcome {
    const fn as_str(self) -> &'static str {
        match self {
            Self::NoKeptJob => "no_kept_job",
            Self::Contained(_) => "contained",
            Self::Added(_, WriteEvidence::Answer) => "added",
            Self::Added(_, WriteEvidence::ReadBack) => "read_back",
        }
    }

    const fn result(self) -> ForeignEndResult {
        match self {
            Self::NoKeptJob => ForeignEndResult::NoKeptJob,
            Self::Contained(_) | Self::Added(..) => ForeignEndResult::Stored,
        }
    }

    const fn version(self) -> u64 {
        match self {
            Self::NoKeptJob => 0,
            Self::Contained(version) | Self::Added(version, _) => version,
        }
    }
}

/// Adds an end to the row of another pool's job, and tells the pool that found it. Tries until this succeeds, the job has
/// ended or the pool is lost: its next owner finds the end again.
pub(crate) async fn store_foreign_end(
    state: Rc<NodeState>,
    id: PoolId,
    fence: FenceToken,
    end: ForeignEnd,
) {
    let found = state.now();
    // Without kept jobs no row can lack the end. After a change of owner, hundreds of ends are found at once, and looking
    // each up would use up the rate of calls that the store accepts; one read of the open jobs serves them all. A job's
    // row is stored before anything of it starts, so a read that begins now has it.
    let outcome = loop {
        if state.kept_view.is_empty_since(found) {
            break EndOutcome::NoKeptJob;
        }
        if !state.kept_view.has_seen() {
            actix_rt::time::sleep(OPEN_JOBS_POLL_INTERVAL).await;
        } else {
            match add_foreign_end(&state, fence, &end).await {
                Ok(Some(outcome)) => break outcome,
                // The job's owner has written the row meanwhile.
                Ok(None) => (),
                Err(error) => {
                    let line = EventLine::new("foreign_end_not_stored").text("task", end.task);
                    state.log(EventKind::Important, line.text("error", error));
                    actix_rt::time::sleep(STORE_RETRY_DELAY).await;
                }
            }
        }
        if !is_held(&state, &id, fence) {
            return;
        }
    };
    log_outcome(&state, &id, fence, &end, outcome);
    with_fenced_pool(&state, &id, fence, |pool, _| {
        pool.on_foreign_end_stored(&end, outcome.result());
    });
}

fn log_outcome(
    state: &NodeState,
    id: &PoolId,
    fence: FenceToken,
    end: &ForeignEnd,
    outcome: EndOutcome,
) {
    let kind = match outcome {
        EndOutcome::NoKeptJob => EventKind::Routine,
        EndOutcome::Contained(_) | EndOutcome::Added(..) => EventKind::Important,
    };
    let line = EventLine::new("foreign_end_stored")
        .text("task", end.task)
        .number("run", end.end.run.0)
        .text("worker", &end.instance)
        .text("outcome", outcome.as_str())
        .number("version", outcome.version())
        .text("pool", id)
        .number("fence", fence.0);
    state.log(kind, line);
}

/// Adds an end to its job's row. `None` if the row was changed meanwhile, so that it has to be tried again.
async fn add_foreign_end(
    state: &NodeState,
    fence: FenceToken,
    end: &ForeignEnd,
) -> Result<Option<EndOutcome>, StoreError> {
    let job = end.task.job;
    let Some(found) = find_job(state, job).await? else {
        return Ok(Some(EndOutcome::NoKeptJob));
    };
    let mut row = found.row;
    if row.state.is_final() || !row.record_end(end.task, &end.end) {
        return Ok(Some(EndOutcome::Contained(found.version)));
    }
    row.writer = fence.0;
    row.write = Some(draw_write_id(state));
    let order = KeptWrite {
        job,
        row,
        expected_version: Some(found.version),
    };
    let value = encode(state, &order).ok_or_else(unencodable_row)?;
    let mut transaction = Transaction {
        partition: partition_of(job),
        ..Transaction::default()
    };
    add_to_transaction(&mut transaction, &order, value);
    Ok(match write_rows(state, &transaction, &order).await? {
        WriteOutcome::Stored { version, evidence } => Some(EndOutcome::Added(version, evidence)),
        WriteOutcome::Conflict => None,
    })
}
