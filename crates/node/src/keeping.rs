//! Stores kept jobs for the pools of this node, and finds them after a predecessor.
//!
//! Rows of jobs are in [`PARTS`] parts of the store, by the job's id, so that a job has one row whichever pool it came
//! to. Writes of a part that wait go together in one transaction: at the users' rates of 150 transactions a second and
//! part, one write each would carry a fifth of their jobs.

mod care;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use jobs::{FenceToken, JobId, KeptRow, KeptState, PoolId};
use model::{FastMap, FastSet};
use platform::{CallFailure, RowVersion};
use platform_adapter::{
    RowCheck, RowWrite, StoreError, StoreTable, StoredRow, Transaction, TransactionEnd,
};
use pool::{FoundJob, KeepAnswer, KeepOrder};
use telemetry::{EventKind, EventLine};
use xxhash_rust::xxh3::xxh3_64;

pub(crate) use self::care::{look_after, pending};
use crate::{owner::with_fenced, state::NodeState};

/// The parts of the store over which rows of jobs are spread. Fewer make larger transactions, more let more of them run
/// beside each other; a transaction takes about 12 ms, so eight carry 600 a second.
const PARTS: u64 = 8;

/// The most jobs of one transaction. The store takes 100 entries, and the end of a job is four: two conditions, a write and
/// a removal. One entry too many turns all of them away, again at each try.
const MOST_WRITES: usize = 25;

/// The pause after a write that was not answered or was turned away.
const RETRY_PAUSE: Duration = Duration::from_millis(80);

/// How long a new job that the store turns away is tried again before it is refused.
const PATIENCE: Duration = Duration::from_millis(400);

/// Writes that wait, by part.
#[derive(Default)]
pub(crate) struct KeepQueue {
    waiting: FastMap<u64, Vec<KeepCall>>,
    /// Parts with a transaction under way.
    busy: FastSet<u64>,
}

/// A write that a pool has asked for.
#[derive(Clone)]
struct KeepCall {
    pool: PoolId,
    fence: FenceToken,
    order: KeepOrder,
    /// The row's bytes.
    value: Vec<u8>,
    asked: Instant,
    /// Whether an earlier try may have taken effect.
    in_doubt: bool,
}

/// The part that has a job's row.
pub(crate) fn part_of(job: JobId) -> String {
    part_name(part_number(job))
}

fn part_number(job: JobId) -> u64 {
    xxh3_64(&job.0.to_be_bytes()) % PARTS
}

fn part_name(part: u64) -> String {
    format!("p{part}")
}

/// Takes a write that a pool asks for.
pub(crate) fn keep(state: &Rc<NodeState>, pool: &PoolId, fence: FenceToken, order: KeepOrder) {
    state.keeps_jobs.set(true);
    let part = part_number(order.job);
    let Some(value) = encode(state, &order) else {
        return;
    };
    let call = KeepCall {
        value,
        pool: pool.clone(),
        fence,
        order,
        asked: state.now(),
        in_doubt: false,
    };
    let mut queue = state.keeping.borrow_mut();
    queue.waiting.entry(part).or_default().push(call);
    if queue.busy.insert(part) {
        actix_rt::spawn(write_part(state.clone(), part));
    }
}

/// Writes what waits for a part, transaction after transaction, until nothing does.
async fn write_part(state: Rc<NodeState>, part: u64) {
    loop {
        let batch = {
            let mut queue = state.keeping.borrow_mut();
            let waiting = queue.waiting.entry(part).or_default();
            let count = waiting.len().min(MOST_WRITES);
            let batch: Vec<KeepCall> = waiting.drain(..count).collect();
            if batch.is_empty() {
                queue.busy.remove(&part);
                return;
            }
            batch
        };
        write_batch(&state, part, batch).await;
    }
}

async fn write_batch(state: &Rc<NodeState>, part: u64, batch: Vec<KeepCall>) {
    let mut transaction = Transaction {
        part: part_name(part),
        ..Transaction::default()
    };
    for call in &batch {
        add_order(&mut transaction, &call.order, call.value.clone());
    }
    match state.store.transact(&transaction).await {
        Ok(TransactionEnd::Done { version, .. }) => {
            for call in batch {
                answer(state, &call, KeepAnswer::Stored(version.0));
            }
        }
        // One of them holds up all: each is looked at alone.
        Ok(TransactionEnd::Conflict) if batch.len() > 1 => {
            for call in batch {
                Box::pin(write_batch(state, part, vec![call])).await;
            }
        }
        Ok(TransactionEnd::Conflict) => {
            for call in batch {
                resolve(state, part, call).await;
            }
        }
        Err(error) => {
            let turned_away = matches!(error, StoreError::TurnedAway(_));
            note_trouble(state, &batch, &error);
            actix_rt::time::sleep(RETRY_PAUSE).await;
            for call in batch {
                try_again(state, part, call, turned_away);
            }
        }
    }
}

fn note_trouble(state: &NodeState, batch: &[KeepCall], error: &StoreError) {
    let line = EventLine::new("jobs_not_stored")
        .number("jobs", batch.len() as u64)
        .text("error", error);
    state.log(EventKind::Important, line);
}

/// Has a write done again. A new job that was surely not stored is refused after a while.
fn try_again(state: &Rc<NodeState>, part: u64, call: KeepCall, turned_away: bool) {
    let in_doubt = call.in_doubt || !turned_away;
    let is_new = call.order.replaces.is_none();
    let waited = state.now().saturating_duration_since(call.asked);
    if is_new && !in_doubt && waited >= PATIENCE {
        answer(state, &call, KeepAnswer::TurnedAway);
        return;
    }
    if !is_held(state, &call) {
        return;
    }
    let call = KeepCall { in_doubt, ..call };
    let mut queue = state.keeping.borrow_mut();
    queue.waiting.entry(part).or_default().push(call);
}

fn is_held(state: &NodeState, call: &KeepCall) -> bool {
    let pools = state.pools.borrow();
    let owned = pools.get(&call.pool);
    owned.is_some_and(|owned| owned.pool.fence() == call.fence)
}

fn answer(state: &Rc<NodeState>, call: &KeepCall, answer: KeepAnswer) {
    with_fenced(state, &call.pool, call.fence, |pool, now| {
        pool.on_kept(now, &call.order, answer);
    });
}

/// A row's bytes. None, with a line in the log, for one that cannot be encoded, which no decoded job makes.
fn encode(state: &NodeState, order: &KeepOrder) -> Option<Vec<u8>> {
    match serde_json::to_vec(&order.row) {
        Ok(value) => Some(value),
        Err(error) => {
            let line = EventLine::new("job_not_encoded").text("job", order.job);
            state.log(EventKind::Important, line.text("error", error));
            None
        }
    }
}

fn add_order(transaction: &mut Transaction, order: &KeepOrder, value: Vec<u8>) {
    let key = order.job.to_string();
    let replaced = RowVersion(order.replaces.unwrap_or(0));
    let absent = RowVersion(0);
    if order.row.state.is_final() {
        transaction.removes.push(RowCheck {
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
    if order.replaces.is_none() {
        // The same job may have come earlier and ended.
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

/// Reads what stands in the way of a write, and says what that means.
async fn resolve(state: &Rc<NodeState>, part: u64, call: KeepCall) {
    let job = call.order.job;
    match find_row(state, job).await {
        Ok(Some(found)) => {
            let what = judge(&call.order, found);
            answer(state, &call, what);
        }
        // An older view: the row is there, since the write was turned away for it.
        Ok(None) if call.order.replaces.is_none() => try_again(state, part, call, true),
        Ok(None) => answer(state, &call, KeepAnswer::Gone),
        Err(error) => {
            note_trouble(state, std::slice::from_ref(&call), &error);
            actix_rt::time::sleep(RETRY_PAUSE).await;
            try_again(state, part, call, false);
        }
    }
}

fn judge(order: &KeepOrder, found: FoundJob) -> KeepAnswer {
    let FoundJob { row, version, .. } = found;
    let own = row.writer == order.row.writer && row.home == order.row.home;
    if own && row.revision == order.row.revision {
        // An earlier try of this very write.
        return KeepAnswer::Stored(version);
    }
    if order.replaces.is_none() {
        return KeepAnswer::Known;
    }
    if row.state.is_final() {
        return KeepAnswer::Gone;
    }
    KeepAnswer::Changed(row, version)
}

/// Reads a job's row, whether it has ended or not.
///
/// # Errors
///
/// The store gave no answer, so that nothing can be said.
pub(crate) async fn find_row(
    state: &NodeState,
    job: JobId,
) -> Result<Option<FoundJob>, StoreError> {
    let (part, key) = (part_of(job), job.to_string());
    for table in [StoreTable::Jobs, StoreTable::EndedJobs] {
        let row = state.store.get(table, &part, &key).await?;
        if let Some(found) = row.and_then(|row| read_row(state, &row)) {
            return Ok(Some(found));
        }
    }
    Ok(None)
}

fn read_row(state: &NodeState, row: &StoredRow) -> Option<FoundJob> {
    let job = row.key.parse().ok()?;
    match serde_json::from_slice::<KeptRow>(&row.value) {
        Ok(kept) => Some(FoundJob {
            job,
            row: kept,
            version: row.version.0,
        }),
        Err(error) => {
            crate::feeds::note_unreadable(state, row, &error);
            None
        }
    }
}

/// Cancels a job in the store. Gives whether there is such a job.
///
/// # Errors
///
/// The store gave no answer: it may be cancelled or not.
pub(crate) async fn cancel(state: &NodeState, job: JobId) -> Result<bool, StoreError> {
    loop {
        let Some(found) = find_row(state, job).await? else {
            return Ok(false);
        };
        if found.row.state.is_final() {
            return Ok(true);
        }
        let order = KeepOrder {
            job,
            replaces: Some(found.version),
            row: KeptRow {
                state: KeptState::Cancelled,
                ..found.row
            },
        };
        let mut transaction = Transaction {
            part: part_of(job),
            ..Transaction::default()
        };
        let Some(value) = encode(state, &order) else {
            return Err(CallFailure::NotBuilt("the job's row".to_owned()).into());
        };
        add_order(&mut transaction, &order, value);
        transaction.writes.push(RowWrite {
            table: StoreTable::CancelledJobs,
            key: job.to_string(),
            value: order.row.home.as_bytes().to_vec(),
            expected: None,
        });
        if let TransactionEnd::Done { .. } = state.store.transact(&transaction).await? {
            return Ok(true);
        }
        // Its owner has written meanwhile.
    }
}

/// Tells the owner of a job's pool, if that is here, that the job was cancelled.
pub(crate) fn take_cancelled(state: &Rc<NodeState>, row: &StoredRow) {
    let Ok(job) = row.key.parse::<JobId>() else {
        return;
    };
    let pools: Vec<PoolId> = state.pools.borrow().keys().cloned().collect();
    for pool in pools {
        crate::owner::with_pool(state, &pool, |pool, now| pool.cancel_kept(now, job));
    }
}
