//! Stores kept jobs for the pools of this node, and finds those of former owners. A kept job is recorded in the
//! store when it is accepted and outlives the processes that run it.
//!
//! Rows of jobs are spread over [`PARTITION_COUNT`] partitions of the store by the job's id, so that a job has one row
//! whichever pool received it. Pending writes of a partition are batched into one transaction: at the users' rates of
//! 150 transactions a second and partition, transactions of one write each would carry only a fifth of the users' jobs.

mod foreign_ends;
mod maintenance;
mod open_jobs;
mod pending;
mod read_back;
mod rehoming;

use std::{
    borrow::Cow,
    rc::Rc,
    time::{Duration, Instant},
};

use jobs::{FenceToken, JobId, KeptRow, KeptState, PoolId, WriteId};
use model::{FastMap, FastSet};
use platform::{RequestError, RowVersion};
use platform_adapter::{
    RowCheck, RowWrite, StoreError, StoreTable, StoredRow, Transaction, MAX_ROW_BYTES,
};
use pool::{FoundJob, KeptWrite, KeptWriteResult};
use telemetry::{EventKind, EventLine};
use xxhash_rust::xxh3::xxh3_64;

pub(crate) use self::foreign_ends::{store_foreign_end, ForeignEndQueue};
pub(crate) use self::maintenance::maintain_pools;
pub(crate) use self::open_jobs::{follow_open_jobs, KeptJobsView};
pub(crate) use self::pending::count_pending;
use self::read_back::{write_rows, WriteOutcome};
pub(crate) use self::rehoming::{apply_moved, reread_rows};
use crate::{owner::with_fenced_pool, state::NodeState};

/// The number of partitions of the store over which rows of jobs are spread. Fewer partitions make larger
/// transactions, more partitions let more transactions run in parallel. A transaction takes about 12 ms, so eight
/// partitions carry 600 a second.
const PARTITION_COUNT: u64 = 8;

/// The most jobs in one transaction. The store accepts 100 entries, and the end of a job needs four: two
/// conditions, a write and a removal. With one entry too many the store rejects the whole transaction, and does so
/// again on each retry.
const MAX_JOBS_PER_TRANSACTION: usize = 25;

/// The interval between two reads of the open jobs. Repeated reads find jobs whose write took effect seconds late, and
/// those of pools without an owner.
const JOBS_READ_INTERVAL: Duration = Duration::from_secs(5);

/// The most bytes of rows in one transaction. The store accepts 1 MB, of which the encoding in base64 takes a third.
const MAX_TRANSACTION_BYTES: usize = 700_000;

/// The bytes that the index of a task takes in a row once the task is done.
const DONE_TASK_BYTES: usize = 5;

/// The delay after a write that was rejected or got no answer, and between tries to read a pool's rows.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(80);

/// How long the write of a new job is retried before the job is refused, if the store rejects each try.
const NEW_JOB_RETRY_TIME: Duration = Duration::from_millis(400);

/// Pending writes by partition.
#[derive(Default)]
pub(crate) struct JobWriteQueue {
    waiting: FastMap<u64, Vec<JobWrite>>,
    /// Partitions with a transaction in progress.
    busy: FastSet<u64>,
}

/// A write that a pool has requested.
#[derive(Clone)]
struct JobWrite {
    pool: PoolId,
    fence: FenceToken,
    order: KeptWrite,
    /// The encoded row.
    value: Vec<u8>,
    requested_at: Instant,
    /// Whether an earlier try may have taken effect.
    in_doubt: bool,
}

/// Returns the partition that holds a job's row.
pub(crate) fn partition_of(job: JobId) -> String {
    partition_name(partition_number(job))
}

/// The names of all partitions.
pub(crate) fn partition_names() -> impl Iterator<Item = String> {
    (0..PARTITION_COUNT).map(partition_name)
}

fn partition_number(job: JobId) -> u64 {
    xxh3_64(&job.0.to_be_bytes()) % PARTITION_COUNT
}

fn partition_name(part: u64) -> String {
    format!("p{part}")
}

/// Queues a write that a pool has requested.
pub(crate) fn queue_write(
    state: &Rc<NodeState>,
    pool: &PoolId,
    fence: FenceToken,
    order: KeptWrite,
) {
    state.kept_view.record_seen();
    let partition = partition_number(order.job);
    let Some(value) = encode(state, &order) else {
        return refuse_new_job(state, pool, fence, order);
    };
    let write = JobWrite {
        value,
        pool: pool.clone(),
        fence,
        order,
        requested_at: state.now(),
        in_doubt: false,
    };
    let mut queue = state.job_writes.borrow_mut();
    queue.waiting.entry(partition).or_default().push(write);
    if queue.busy.insert(partition) {
        actix_rt::spawn(write_partition(state.clone(), partition));
    }
}

/// Writes the pending rows of a partition in successive transactions until none are left.
async fn write_partition(state: Rc<NodeState>, partition: u64) {
    loop {
        let batch = {
            let mut queue = state.job_writes.borrow_mut();
            let batch = take_batch(queue.waiting.entry(partition).or_default());
            if batch.is_empty() {
                queue.busy.remove(&partition);
                return;
            }
            batch
        };
        write_batch(&state, partition, batch).await;
    }
}

/// Takes the writes of the next transaction. A write in doubt goes alone: an earlier try may have stored its row, which
/// would then be taken for a sign that the whole transaction took effect.
fn take_batch(waiting: &mut Vec<JobWrite>) -> Vec<JobWrite> {
    let mut bytes = 0;
    let fresh = waiting.iter().take_while(|write| {
        bytes += write.value.len();
        !write.in_doubt && bytes <= MAX_TRANSACTION_BYTES
    });
    let count = fresh.count().clamp(1, MAX_JOBS_PER_TRANSACTION);
    waiting.drain(..count.min(waiting.len())).collect()
}

async fn write_batch(state: &Rc<NodeState>, partition: u64, batch: Vec<JobWrite>) {
    let mut transaction = Transaction {
        partition: partition_name(partition),
        ..Transaction::default()
    };
    for write in &batch {
        add_to_transaction(&mut transaction, &write.order, write.value.clone());
        let home = &write.order.row.home;
        if **home != *write.pool.to_string() {
            rehoming::add_notice(&mut transaction, home, write.order.job);
        }
    }
    let Some(first) = batch.first() else {
        return;
    };
    match write_rows(state, &transaction, &first.order).await {
        Ok(WriteOutcome::Stored { version, .. }) => {
            for write in batch {
                report_result(state, &write, KeptWriteResult::Stored(version));
            }
        }
        // A single conflicting or invalid write fails the whole transaction, so each write is tried alone.
        Ok(WriteOutcome::Conflict) | Err(StoreError::Invalid) if batch.len() > 1 => {
            for write in batch {
                Box::pin(write_batch(state, partition, vec![write])).await;
            }
        }
        Ok(WriteOutcome::Conflict) => {
            for write in batch {
                resolve_conflict(state, partition, write).await;
            }
        }
        Err(error) => {
            let rejected = matches!(error, StoreError::Rejected(_) | StoreError::Invalid);
            log_write_failure(state, &batch, &error);
            actix_rt::time::sleep(STORE_RETRY_DELAY).await;
            for write in batch {
                requeue_write(state, partition, write, rejected);
            }
        }
    }
}

fn log_write_failure(state: &NodeState, batch: &[JobWrite], error: &StoreError) {
    let line = EventLine::new("jobs_not_stored")
        .number("jobs", batch.len() as u64)
        .text("error", error);
    state.log(EventKind::Important, line);
}

/// Queues a write again. A new job that certainly was not stored is refused after [`NEW_JOB_RETRY_TIME`].
fn requeue_write(state: &Rc<NodeState>, partition: u64, write: JobWrite, rejected: bool) {
    let in_doubt = write.in_doubt || !rejected;
    let is_new = write.order.expected_version.is_none();
    let waited = state.now().saturating_duration_since(write.requested_at);
    if is_new && !in_doubt && waited >= NEW_JOB_RETRY_TIME {
        report_result(state, &write, KeptWriteResult::Rejected);
        return;
    }
    if !is_held(state, &write.pool, write.fence) {
        return;
    }
    let write = JobWrite { in_doubt, ..write };
    let mut queue = state.job_writes.borrow_mut();
    queue.waiting.entry(partition).or_default().push(write);
}

/// Whether this node still holds a pool under the fencing token of an earlier moment.
fn is_held(state: &NodeState, pool: &PoolId, fence: FenceToken) -> bool {
    let pools = state.pools.borrow();
    let owned = pools.get(pool);
    owned.is_some_and(|owned| owned.pool.fence() == fence)
}

fn report_result(state: &Rc<NodeState>, write: &JobWrite, result: KeptWriteResult) {
    with_fenced_pool(state, &write.pool, write.fence, |pool, now| {
        pool.on_store_answer(now, &write.order, result);
    });
}

/// Refuses a new job that the store cannot take, in a task of its own: the pool that requested the write is in use. Other
/// rows are always short enough, since a new one leaves room for what is added and cannot be left out.
fn refuse_new_job(state: &Rc<NodeState>, pool: &PoolId, fence: FenceToken, order: KeptWrite) {
    if order.expected_version.is_some() {
        return;
    }
    let (state, pool) = (state.clone(), pool.clone());
    actix_rt::spawn(async move {
        with_fenced_pool(&state, &pool, fence, |pool, now| {
            pool.on_store_answer(now, &order, KeptWriteResult::Rejected);
        });
    });
}

/// Encodes a row, without the least needed parts of its record if it is too long with them: a row that the store never takes
/// would hold back all later ends of the workers whose ends it records. None, with a log line, for a row that is too long
/// all the same, or that cannot be encoded.
fn encode(state: &NodeState, order: &KeptWrite) -> Option<Vec<u8>> {
    let reserved = match order.expected_version {
        None => order.row.task_count().saturating_mul(DONE_TASK_BYTES),
        Some(_) => 0,
    };
    let mut row = Cow::Borrowed(&order.row);
    loop {
        let value = match serde_json::to_vec(&*row) {
            Ok(value) => value,
            Err(error) => {
                let line = EventLine::new("job_not_encoded").text("job", order.job);
                state.log(EventKind::Important, line.text("error", error));
                return None;
            }
        };
        if value.len().saturating_add(reserved) <= MAX_ROW_BYTES {
            return Some(value);
        }
        let line = EventLine::new("job_row_too_long")
            .text("job", order.job)
            .number("bytes", value.len() as u64);
        let is_shorter = row.to_mut().shorten();
        let line = line.text("shortened", is_shorter);
        state.log(EventKind::Important, line);
        if !is_shorter {
            return None;
        }
    }
}

fn add_to_transaction(transaction: &mut Transaction, order: &KeptWrite, value: Vec<u8>) {
    let key = order.job.to_string();
    let replaced = RowVersion(order.expected_version.unwrap_or(0));
    let absent = RowVersion(0);
    if order.row.state.is_final() {
        transaction.removals.push(RowCheck {
            table: StoreTable::Jobs,
            key: key.clone(),
            expected: replaced,
        });
        transaction.writes.push(RowWrite {
            table: StoreTable::EndedJobs,
            key,
            value,
            expected: Some(absent),
        });
        return;
    }
    if order.expected_version.is_none() {
        // The same job may have been submitted before and have ended.
        transaction.checks.push(RowCheck {
            table: StoreTable::EndedJobs,
            key: key.clone(),
            expected: absent,
        });
    }
    transaction.writes.push(RowWrite {
        table: StoreTable::Jobs,
        key,
        value,
        expected: Some(replaced),
    });
}

/// Reads the row that conflicts with a write and reports to the pool what the conflict means.
async fn resolve_conflict(state: &Rc<NodeState>, partition: u64, write: JobWrite) {
    let job = write.order.job;
    match find_job(state, job).await {
        Ok(Some(found)) => {
            let result = write.order.classify_conflict(found);
            report_result(state, &write, result);
        }
        // The read returned an older state: the row must exist, since the write was rejected because of it.
        Ok(None) if write.order.expected_version.is_none() => {
            requeue_write(state, partition, write, true)
        }
        Ok(None) => report_result(state, &write, KeptWriteResult::Gone),
        Err(error) => {
            log_write_failure(state, std::slice::from_ref(&write), &error);
            actix_rt::time::sleep(STORE_RETRY_DELAY).await;
            requeue_write(state, partition, write, false);
        }
    }
}

/// Reads a job's row, whether the job has ended or not.
///
/// # Errors
///
/// The store did not answer, so the job's state is unknown.
pub(crate) async fn find_job(
    state: &NodeState,
    job: JobId,
) -> Result<Option<FoundJob>, StoreError> {
    let (partition, key) = (partition_of(job), job.to_string());
    for table in [StoreTable::Jobs, StoreTable::EndedJobs] {
        let row = state.store.get(table, &partition, &key).await?;
        if let Some(found) = row.and_then(|row| decode_row(state, &row)) {
            return Ok(Some(found));
        }
    }
    Ok(None)
}

fn decode_row(state: &NodeState, row: &StoredRow) -> Option<FoundJob> {
    let job = row.key.parse().ok()?;
    match serde_json::from_slice::<KeptRow>(&row.value) {
        Ok(kept) => Some(FoundJob {
            job,
            row: kept,
            version: row.version.0,
        }),
        Err(error) => {
            crate::feeds::log_unreadable_row(state, row, &error);
            None
        }
    }
}

/// Cancels a job in the store. Returns whether there is such a job.
///
/// # Errors
///
/// The store did not answer, so the job may or may not be cancelled; or the job's row could not be encoded.
pub(crate) async fn cancel_job(state: &NodeState, job: JobId) -> Result<bool, StoreError> {
    loop {
        let Some(found) = find_job(state, job).await? else {
            return Ok(false);
        };
        if found.row.state.is_final() {
            return Ok(true);
        }
        let order = KeptWrite {
            job,
            expected_version: Some(found.version),
            row: KeptRow {
                state: KeptState::Cancelled,
                write: Some(draw_write_id(state)),
                ..found.row
            },
        };
        let mut transaction = Transaction {
            partition: partition_of(job),
            ..Transaction::default()
        };
        let value = encode(state, &order).ok_or_else(unencodable_row)?;
        add_to_transaction(&mut transaction, &order, value);
        transaction.writes.push(RowWrite {
            table: StoreTable::CancelledJobs,
            key: job.to_string(),
            value: order.row.home.as_bytes().to_vec(),
            expected: None,
        });
        if let WriteOutcome::Stored { .. } = write_rows(state, &transaction, &order).await? {
            return Ok(true);
        }
        // The job's owner has written the row meanwhile, so the cancellation is tried again.
    }
}

/// Draws the id of a write that no pool has requested.
fn draw_write_id(state: &NodeState) -> WriteId {
    WriteId(state.rng.borrow_mut().u64(..))
}

fn unencodable_row() -> StoreError {
    RequestError::InvalidRequest("the job's row cannot be encoded".to_owned()).into()
}

/// Passes the cancellation of a job to the owned pools. Only the pool that has the job acts on it.
pub(crate) fn apply_cancelled(state: &Rc<NodeState>, row: &StoredRow) {
    let Ok(job) = row.key.parse::<JobId>() else {
        return;
    };
    let pools: Vec<PoolId> = state.pools.borrow().keys().cloned().collect();
    for pool in pools {
        crate::owner::with_pool(state, &pool, |pool, now| pool.cancel_kept(now, job));
    }
}
