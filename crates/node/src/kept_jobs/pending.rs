//! Publishes how many kept jobs of a pool have not begun, and adds up what the owners of all pools have published.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use jobs::PoolId;
use platform::RowVersion;
use platform_adapter::{RowWrite, StoreError, StoreTable, Transaction, TransactionOutcome};
use telemetry::{EventKind, EventLine};

use crate::{
    feeds::{log_unreadable_row, stored_row},
    state::NodeState,
};

/// The shortest time between two writes of a pool's numbers. A published number may be 2 s old.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(700);

/// The number of jobs of each route that have not begun.
type PendingCounts = Vec<(Arc<str>, u64)>;

/// What an owner has published of a pool.
#[derive(Default)]
pub(super) struct PendingPublication {
    /// The version and the numbers of the row. None if the version has to be read: a write without an answer may still take
    /// effect, but no longer once the row has another version.
    written: RefCell<Option<(RowVersion, PendingCounts)>>,
    last_try: Cell<Option<Instant>>,
    in_progress: Cell<bool>,
}

impl PendingPublication {
    /// Writes the numbers if the row has others, unless a write is in progress or the last one was a moment ago.
    pub(super) fn publish(
        self: &Rc<Self>,
        state: &Rc<NodeState>,
        id: &PoolId,
        counts: PendingCounts,
    ) {
        let now = state.now();
        let is_due = self
            .last_try
            .get()
            .is_none_or(|at| now >= at + PUBLISH_INTERVAL);
        let written = self.written.borrow();
        let is_written = written.as_ref().is_some_and(|(_, row)| *row == counts);
        if self.in_progress.get() || !is_due || is_written {
            return;
        }
        self.last_try.set(Some(now));
        self.in_progress.set(true);
        let (publication, state, id) = (self.clone(), state.clone(), id.clone());
        actix_rt::spawn(async move {
            let outcome = publication.write(&state, &id, &counts).await;
            if let Err(error) = outcome {
                let line = EventLine::new("pending_not_published").text("pool", &id);
                state.log(EventKind::Important, line.text("error", error));
            }
            publication.in_progress.set(false);
        });
    }

    async fn write(
        &self,
        state: &NodeState,
        id: &PoolId,
        counts: &PendingCounts,
    ) -> Result<(), StoreError> {
        let key = id.to_string();
        let value = serde_json::to_vec(counts)
            .map_err(|error| platform::RequestError::InvalidRequest(error.to_string()))?;
        let expected = match self.written.take() {
            Some((version, _)) => version,
            None => {
                let row = state.store.get(StoreTable::PendingJobs, "", &key).await?;
                row.map_or(RowVersion(0), |row| row.version)
            }
        };
        let write = RowWrite {
            table: StoreTable::PendingJobs,
            key,
            value,
            expected: Some(expected),
        };
        let transaction = Transaction::single_write(write);
        if let TransactionOutcome::Committed { version, .. } =
            state.store.transact(&transaction).await?
        {
            *self.written.borrow_mut() = Some((version, counts.clone()));
        }
        Ok(())
    }
}

/// Returns how many kept jobs of a route have not begun, as published by the owners of all pools.
///
/// # Errors
///
/// The store did not answer.
pub(crate) async fn count_pending(state: &NodeState, route: &str) -> Result<u64, StoreError> {
    let table = StoreTable::PendingJobs;
    let page = state.store.read_partition(table, "").await?;
    let mut sum = 0;
    for change in page.rows {
        let Some(row) = stored_row(state, change) else {
            continue;
        };
        let counts = match serde_json::from_slice::<Vec<(String, u64)>>(&row.value) {
            Ok(counts) => counts,
            Err(error) => {
                log_unreadable_row(state, &row, &error);
                continue;
            }
        };
        let of_route = counts.iter().filter(|(name, _)| name == route);
        sum += of_route.map(|(_, count)| count).sum::<u64>();
    }
    Ok(sum)
}
