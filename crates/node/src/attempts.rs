//! Finds out whether other attempts at a job may have runs, and registers this node's attempts in the store so that others
//! find them; see the crate `pool`, module `attempt_exclusion`.
//!
//! Each registration is a row of its own, with the time on the store's clock until which it holds. A write that takes effect
//! late can therefore neither shorten nor overwrite another registration.

mod cleanup;
mod presence;
mod registry;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use jobs::{FenceToken, JobAttemptId, JobId, PoolId};
use platform::{RequestError, RowVersion};
use platform_adapter::{
    RowChange, RowWrite, StoreError, StoreTable, Transaction, TransactionOutcome,
};
use pool::{AttemptLookup, AttemptRegistration};
use telemetry::{EventKind, EventLine};
use tokio::{sync::oneshot, time::timeout};

pub(crate) use self::cleanup::{remove_registrations, sweep_registrations};
pub(crate) use self::presence::presence_here;
pub(crate) use self::registry::AttemptRegistry;
use self::registry::{AttemptRow, WriteState};
use crate::{kept_jobs::partition_of, owner::with_fenced_pool, state::NodeState};

/// The time within which the store has to answer a lookup; it takes 4 to 16 ms. The owners of all pools are asked after
/// that, and the job waits meanwhile.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

/// The time after which a registration without an answer counts as failed.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(600);

/// The part of its rate by which the store's clock may be fast, as the workers' clocks may be slow.
const STORE_CLOCK_DRIFT: f64 = 0.02;

/// Looks up other attempts at a job, and passes what was found to its pool.
pub(crate) fn find(
    state: &Rc<NodeState>,
    id: &PoolId,
    fence: FenceToken,
    job: JobId,
    attempt: Option<JobAttemptId>,
) {
    let (state, id) = (state.clone(), id.clone());
    actix_rt::spawn(async move {
        let lookup = look_up(&state, &id, job, attempt).await;
        with_fenced_pool(&state, &id, fence, |pool, now| {
            pool.on_attempt_lookup(now, job, lookup);
        });
    });
}

/// Looks up other attempts in the store or, if it does not answer, asks the owners of the other pools.
async fn look_up(
    state: &Rc<NodeState>,
    id: &PoolId,
    job: JobId,
    attempt: Option<JobAttemptId>,
) -> AttemptLookup {
    let read = timeout(LOOKUP_TIMEOUT, read_others(state, job, attempt)).await;
    let error = match read {
        Ok(Ok(lookup)) => return lookup,
        Ok(Err(error)) => error,
        Err(_) => RequestError::TimedOut.into(),
    };
    let line = EventLine::new("attempts_not_read").text("job", job);
    state.log(EventKind::Important, line.text("error", error));
    presence::ask_owners(state, id, job, attempt).await
}

/// Reads until when registered attempts at a job may have runs, apart from `attempt` and those of this node that are over.
async fn read_others(
    state: &NodeState,
    job: JobId,
    attempt: Option<JobAttemptId>,
) -> Result<AttemptLookup, StoreError> {
    let page = read_rows(state, job).await?;
    let now = state.now();
    let own_ended = state.attempts.ended_keys(job);
    let mut latest = page.clock;
    for change in page.rows {
        let row = match change {
            RowChange::Put(row) => row,
            RowChange::Removed { .. } => continue,
            RowChange::Unreadable { reason, .. } => {
                return Err(RequestError::BrokenAnswer(reason).into());
            }
        };
        if own_ended.contains(&row.key) {
            continue;
        }
        let found = AttemptRow::decode(&row.value);
        let found = found.map_err(|error| RequestError::BrokenAnswer(error.to_string()))?;
        if !found.is_of(attempt) {
            latest = latest.max(found.until());
        }
    }
    Ok(match latest.saturating_sub(page.clock) {
        Duration::ZERO => AttemptLookup::Clear,
        left => AttemptLookup::Until(now + left),
    })
}

/// Reads all registrations of a job.
async fn read_rows(
    state: &NodeState,
    job: JobId,
) -> Result<platform_adapter::PartitionRows, StoreError> {
    // The keys begin with the id and a dot, and the slash is the character after the dot.
    let (from, target) = (format!("{job}."), format!("{job}/"));
    let partition = partition_of(job);
    let read = state
        .store
        .read_range(StoreTable::Attempts, &partition, &from, &target);
    let page = read.await?;
    state.attempts.record_clock(state.now(), page.clock);
    Ok(page)
}

/// Registers an attempt, and tells its pool until when the registration holds.
pub(crate) fn register(
    state: &Rc<NodeState>,
    id: &PoolId,
    fence: FenceToken,
    order: AttemptRegistration,
) {
    let key = state.attempts.add(state, id, order.job);
    let (sender, receiver) = oneshot::channel();
    let (writer, pool_id) = (state.clone(), id.clone());
    actix_rt::spawn(async move {
        let written = write_registration(&writer, &key, &pool_id, fence, order).await;
        // Nobody waits for it any more if it took too long.
        let _late = sender.send(written);
    });
    let (state, id) = (state.clone(), id.clone());
    actix_rt::spawn(async move {
        let answer = timeout(REGISTRATION_TIMEOUT, receiver).await;
        let until = answer.ok().and_then(Result::ok).flatten();
        with_fenced_pool(&state, &id, fence, |pool, now| {
            pool.on_attempt_registered(now, &order, until);
        });
    });
}

/// Writes a registration. Returns until when it holds, None if that is not known.
async fn write_registration(
    state: &NodeState,
    key: &str,
    id: &PoolId,
    fence: FenceToken,
    order: AttemptRegistration,
) -> Option<Instant> {
    let written = try_registration(state, key, id, fence, order).await;
    let error = match written {
        Ok(until) => return Some(until),
        Err(error) => error,
    };
    let line = EventLine::new("attempt_not_registered").text("job", order.job);
    let line = line.text("pool", id).text("error", error);
    state.log(EventKind::Important, line);
    None
}

async fn try_registration(
    state: &NodeState,
    key: &str,
    id: &PoolId,
    fence: FenceToken,
    order: AttemptRegistration,
) -> Result<Instant, StoreError> {
    let clock = match known_clock(state, order.job).await {
        Ok(clock) => clock,
        Err(error) => {
            state.attempts.forget(key);
            return Err(error);
        }
    };
    let row = AttemptRow::new(clock + order.lifetime, order.attempt, id, fence);
    state.attempts.record_sent(key, row.until());
    let transaction = Transaction {
        partition: partition_of(order.job),
        writes: vec![RowWrite {
            table: StoreTable::Attempts,
            key: key.to_owned(),
            value: row.encode(),
            expected: Some(RowVersion(0)),
        }],
        ..Transaction::default()
    };
    let sent = state.now();
    match state.store.transact(&transaction).await {
        Ok(TransactionOutcome::Committed { version, clock }) => {
            let now = state.now();
            state.attempts.record_clock(now, clock);
            state
                .attempts
                .record_write(key, WriteState::Stored(version));
            // The store's clock has reached `clock` only after the call was sent.
            let left = row.until().saturating_sub(clock);
            Ok(sent + left.mul_f64(1.0 - STORE_CLOCK_DRIFT))
        }
        // No other process writes this row, so an earlier delivery of the same call did.
        Ok(TransactionOutcome::Conflict) => {
            let unanswered = WriteState::Unanswered(state.now());
            state.attempts.record_write(key, unanswered);
            Err(RequestError::UnexpectedStatus(412).into())
        }
        Err(error @ StoreError::Rejected(_)) => {
            state.attempts.forget(key);
            Err(error)
        }
        Err(error) => {
            let unanswered = WriteState::Unanswered(state.now());
            state.attempts.record_write(key, unanswered);
            Err(error)
        }
    }
}

/// A lower bound of the store's clock, which is read if the store has not answered yet.
async fn known_clock(state: &NodeState, job: JobId) -> Result<Duration, StoreError> {
    if let Some(clock) = state.attempts.clock(state.now()) {
        return Ok(clock);
    }
    read_rows(state, job).await.map(|page| page.clock)
}
