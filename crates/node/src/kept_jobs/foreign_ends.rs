//! Adds ends of runs to the rows of other pools' jobs. Workers that have changed their pool list such ends.

use std::{cell::RefCell, rc::Rc, time::Duration};

use jobs::{FenceToken, JobId, PoolId};
use model::FastMap;
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

/// Ends that wait to be added to rows of other pools' jobs, by the fencing token of the pool that found them and by job.
pub(crate) type ForeignEndQueue = RefCell<FastMap<(FenceToken, JobId), Vec<ForeignEnd>>>;

/// Has an end added to the row of another pool's job, and then tells the pool that found it. Ends of one job that are found
/// while another write of its row is under way go into the next one together: written one by one, each would wait for the
/// others and read the row anew.
pub(crate) fn store_foreign_end(
    state: &Rc<NodeState>,
    id: &PoolId,
    fence: FenceToken,
    end: ForeignEnd,
) {
    let job = end.task.job;
    let mut queue = state.foreign_ends.borrow_mut();
    if let Some(waiting) = queue.get_mut(&(fence, job)) {
        waiting.push(end);
        return;
    }
    queue.insert((fence, job), vec![end]);
    actix_rt::spawn(store_ends_of_job(state.clone(), id.clone(), fence, job));
}

/// Stores the waiting ends of a job until there are none, or the pool is lost: its next owner finds the ends again.
async fn store_ends_of_job(state: Rc<NodeState>, id: PoolId, fence: FenceToken, job: JobId) {
    loop {
        let ends = {
            let mut queue = state.foreign_ends.borrow_mut();
            let waiting = queue.get_mut(&(fence, job));
            let ends = waiting.map(std::mem::take).unwrap_or_default();
            if ends.is_empty() {
                queue.remove(&(fence, job));
                return;
            }
            ends
        };
        let Some(outcome) = store_ends(&state, &id, fence, job, &ends).await else {
            state.foreign_ends.borrow_mut().remove(&(fence, job));
            return;
        };
        for end in &ends {
            log_outcome(&state, &id, fence, end, outcome);
        }
        with_fenced_pool(&state, &id, fence, |pool, _| {
            for end in &ends {
                pool.on_foreign_end_stored(end, outcome.result());
            }
        });
    }
}

/// Adds ends to a job's row. Tries until this succeeds or the job has ended. `None` if the pool is lost.
async fn store_ends(
    state: &NodeState,
    id: &PoolId,
    fence: FenceToken,
    job: JobId,
    ends: &[ForeignEnd],
) -> Option<EndOutcome> {
    let found = state.now();
    while is_held(state, id, fence) {
        // Without kept jobs no row can lack the end. After a change of owner, hundreds of ends are found at once, and looking
        // each up would use up the rate of calls that the store accepts; one read of the open jobs serves them all. A job's
        // row is stored before anything of it starts, so a read that begins now has it.
        if state.kept_view.is_empty_since(found) {
            return Some(EndOutcome::NoKeptJob);
        }
        if !state.kept_view.has_seen() {
            actix_rt::time::sleep(OPEN_JOBS_POLL_INTERVAL).await;
            continue;
        }
        match add_to_row(state, fence, job, ends).await {
            Ok(Some(outcome)) => return Some(outcome),
            // The job's owner has written the row meanwhile.
            Ok(None) => (),
            Err(error) => {
                let line = EventLine::new("foreign_end_not_stored").text("job", job);
                let line = line.number("ends", ends.len() as u64);
                state.log(EventKind::Important, line.text("error", error));
                actix_rt::time::sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
    None
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

/// Adds ends to their job's row. `None` if the row was changed meanwhile, so that it has to be tried again.
async fn add_to_row(
    state: &NodeState,
    fence: FenceToken,
    job: JobId,
    ends: &[ForeignEnd],
) -> Result<Option<EndOutcome>, StoreError> {
    let Some(found) = find_job(state, job).await? else {
        return Ok(Some(EndOutcome::NoKeptJob));
    };
    let version = found.version;
    let write = draw_write_id(state);
    let Some(order) = KeptWrite::of_foreign_ends(found, ends, fence, write) else {
        return Ok(Some(EndOutcome::Contained(version)));
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
