//! Removes registrations of attempts that are over, and those that lost processes have left.

use std::{rc::Rc, time::Duration};

use model::FastMap;
use platform_adapter::{
    RowChange, RowCheck, StoreError, StoreTable, Transaction, TransactionOutcome,
};
use telemetry::{EventKind, EventLine};

use super::{
    read_rows,
    registry::{AttemptRow, StoredKey, WriteState, EXPIRED_ROW_AGE},
};
use crate::{
    feeds::{log_unreadable_row, stored_row},
    kept_jobs::{partition_names, partition_of},
    state::NodeState,
};

/// The interval at which registrations of attempts that are over are removed, together.
const REMOVAL_INTERVAL: Duration = Duration::from_millis(100);

/// The most rows that are removed in one transaction. The store accepts 100 entries, and a removal needs two.
const MAX_REMOVALS: usize = 40;

/// How often the expired registrations are read and removed, by any of the owners of pools: eight reads each time.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// The time until the first sweep of a new process, for each pool of the deployment.
const FIRST_SWEEP_INTERVAL: Duration = Duration::from_secs(4);

/// Removes the registrations of attempts that are over for as long as the process runs.
pub(crate) async fn remove_registrations(state: Rc<NodeState>) {
    loop {
        state.attempts.wait_for_rows().await;
        actix_rt::time::sleep(REMOVAL_INTERVAL).await;
        let now = state.now();
        state.attempts.forget_expired(now);
        for (job, key) in state.attempts.unanswered(now) {
            if let Ok(page) = read_rows(&state, job).await {
                record_found(&state, &key, page.rows);
            }
        }
        let removals = state.attempts.removable().into_iter();
        let removals = removals
            .map(|(job, row)| (partition_of(job), row))
            .collect();
        remove_rows(&state, removals).await;
    }
}

/// Records whether a row is there whose write got no answer.
fn record_found(state: &NodeState, key: &str, rows: Vec<RowChange>) {
    let mut stored = rows
        .into_iter()
        .filter_map(|change| stored_row(state, change));
    match stored.find(|row| row.key == *key) {
        Some(row) => state
            .attempts
            .record_write(key, WriteState::Stored(row.version)),
        None => state.attempts.forget(key),
    }
}

/// Removes rows in as few transactions as possible, each in one partition.
async fn remove_rows(state: &NodeState, removals: Vec<(String, StoredKey)>) {
    let mut partitions: FastMap<String, Vec<StoredKey>> = FastMap::default();
    for (partition, row) in removals {
        partitions.entry(partition).or_default().push(row);
    }
    let mut calls = Vec::new();
    for (partition, rows) in &partitions {
        for batch in rows.chunks(MAX_REMOVALS) {
            calls.push(remove_batch(state, partition, batch));
        }
    }
    futures::future::join_all(calls).await;
}

async fn remove_batch(state: &NodeState, partition: &str, rows: &[StoredKey]) {
    let outcome = match remove_together(state, partition, rows).await {
        // A row that is gone fails the whole transaction.
        Ok(TransactionOutcome::Conflict) => remove_singly(state, partition, rows).await,
        Ok(TransactionOutcome::Committed { clock, .. }) => {
            state.attempts.record_clock(state.now(), clock);
            for row in rows {
                state.attempts.forget(&row.key);
            }
            Ok(())
        }
        Err(error) => Err(error),
    };
    if let Err(error) = outcome {
        let line = EventLine::new("registrations_not_removed").number("rows", rows.len() as u64);
        state.log(EventKind::Important, line.text("error", error));
    }
}

async fn remove_singly(
    state: &NodeState,
    partition: &str,
    rows: &[StoredKey],
) -> Result<(), StoreError> {
    for row in rows {
        // Only its writer changes a row, so one of another version has been removed.
        remove_together(state, partition, std::slice::from_ref(row)).await?;
        state.attempts.forget(&row.key);
    }
    Ok(())
}

async fn remove_together(
    state: &NodeState,
    partition: &str,
    rows: &[StoredKey],
) -> Result<TransactionOutcome, StoreError> {
    let removals = rows.iter().map(|row| RowCheck {
        table: StoreTable::Attempts,
        key: row.key.clone(),
        expected: row.version,
    });
    let transaction = Transaction {
        partition: partition.to_owned(),
        removals: removals.collect(),
        ..Transaction::default()
    };
    state.store.transact(&transaction).await
}

/// Removes expired registrations from time to time if this process owns a pool, for as long as it runs.
///
/// Processes that are lost or release a pool leave theirs behind. The time between two sweeps grows with the number of
/// pools, so that the owners together sweep about once in [`SWEEP_INTERVAL`].
pub(crate) async fn sweep_registrations(state: Rc<NodeState>) {
    let mut interval = FIRST_SWEEP_INTERVAL;
    loop {
        let pools = state.claim_controller.borrow().pools().len().max(1);
        let pools = u32::try_from(pools).unwrap_or(u32::MAX);
        let spread = 0.5 + state.rng.borrow_mut().f64();
        actix_rt::time::sleep(interval.saturating_mul(pools).mul_f64(spread)).await;
        interval = SWEEP_INTERVAL;
        if !state.pools.borrow().is_empty() {
            sweep(&state).await;
        }
    }
}

async fn sweep(state: &NodeState) {
    let mut expired = Vec::new();
    for partition in partition_names() {
        match expired_rows(state, &partition).await {
            Ok(rows) => expired.extend(rows.into_iter().map(|row| (partition.clone(), row))),
            Err(error) => {
                let line = EventLine::new("registrations_not_swept").text("error", error);
                return state.log(EventKind::Important, line);
            }
        }
    }
    if expired.is_empty() {
        return;
    }
    let line = EventLine::new("registrations_swept").number("rows", expired.len() as u64);
    state.log(EventKind::Important, line);
    remove_rows(state, expired).await;
}

/// The rows of a partition that expired some time ago.
async fn expired_rows(state: &NodeState, partition: &str) -> Result<Vec<StoredKey>, StoreError> {
    let page = state.store.read_partition(StoreTable::Attempts, partition);
    let page = page.await?;
    state.attempts.record_clock(state.now(), page.clock);
    let mut expired = Vec::new();
    for change in page.rows {
        let Some(row) = stored_row(state, change) else {
            continue;
        };
        match AttemptRow::decode(&row.value) {
            Ok(found) if found.until() + EXPIRED_ROW_AGE < page.clock => expired.push(StoredKey {
                key: row.key,
                version: row.version,
            }),
            Ok(_) => (),
            Err(error) => log_unreadable_row(state, &row, &error),
        }
    }
    Ok(expired)
}
