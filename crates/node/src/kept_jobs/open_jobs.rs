//! Reads the open kept jobs of all pools, also for pools that no process owns.
//!
//! Whether there are kept jobs must not be concluded from what this process has seen. It may have started after their
//! owner was lost, and another pool may have stored one since. What depends on it asks a read that began late enough.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use futures::future::{select, Either};
use jobs::{JobId, PoolId};
use model::FastSet;
use platform_adapter::{StoreError, StoreTable};
use pool::KeptSnapshot;
use telemetry::{EventKind, EventLine};
use tokio::sync::Notify;

use super::{decode_row, partition_names, JOBS_READ_INTERVAL};
use crate::{feeds::stored_row, state::NodeState};

/// The interval at which this process checks whether it has to read the open jobs for its data centre.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The shortest time between two reads, whoever needs them. Each is one call for each partition.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(200);

/// The pause after a read that failed.
const FAILED_READ_PAUSE: Duration = Duration::from_millis(1_000);

/// What this process knows of the kept jobs of all pools.
#[derive(Default)]
pub(crate) struct KeptJobsView {
    seen: Cell<bool>,
    /// When the last complete read of the open jobs began.
    read_from: Cell<Option<Instant>>,
    first_seen: Notify,
    read_needed: Notify,
}

impl KeptJobsView {
    /// Whether this process has ever seen a kept job. If not, there may be some all the same.
    pub(crate) fn has_seen(&self) -> bool {
        self.seen.get()
    }

    /// Records that there is a kept job.
    pub(crate) fn record_seen(&self) {
        if !self.seen.replace(true) {
            self.first_seen.notify_waiters();
        }
    }

    /// Waits until the first kept job is seen.
    pub(crate) async fn wait_until_seen(&self) {
        let seen = self.first_seen.notified();
        if !self.has_seen() {
            seen.await;
        }
    }

    /// Returns whether a read that began at `since` or later found no kept job, nor has anything else shown one. Requests
    /// such a read if there was none.
    pub(super) fn is_empty_since(&self, since: Instant) -> bool {
        if self.has_seen() {
            return false;
        }
        let is_known = self.read_from.get().is_some_and(|began| began >= since);
        if !is_known {
            self.read_needed.notify_one();
        }
        is_known
    }

    fn record_read(&self, began: Instant) {
        let last = self.read_from.get();
        self.read_from.set(last.max(Some(began)));
    }

    fn is_read_due(&self, now: Instant) -> bool {
        let last = self.read_from.get();
        last.is_none_or(|began| now >= began + JOBS_READ_INTERVAL)
    }
}

/// Reads the open kept jobs of all pools, and notes which pools need an owner for them.
///
/// # Errors
///
/// The store did not answer for one of the partitions.
pub(super) async fn read_open_jobs(state: &Rc<NodeState>) -> Result<KeptSnapshot, StoreError> {
    let mut snapshot = KeptSnapshot {
        began: state.now(),
        version: u64::MAX,
        jobs: Vec::new(),
        unreadable: Vec::new(),
    };
    let store = &state.store;
    let reads = partition_names()
        .map(|partition| async move { store.read_partition(StoreTable::Jobs, &partition).await });
    for page in futures::future::try_join_all(reads).await? {
        snapshot.version = snapshot.version.min(page.version.0);
        for change in page.rows {
            state.kept_view.record_seen();
            let job = change.key().parse::<JobId>();
            let row = stored_row(state, change);
            match row.and_then(|row| decode_row(state, &row)) {
                Some(found) => snapshot.jobs.push(found),
                None => snapshot.unreadable.extend(job),
            }
        }
    }
    state.kept_view.record_read(snapshot.began);
    let homes = snapshot.jobs.iter();
    let homes = homes.filter_map(|found| found.row.home.parse::<PoolId>().ok());
    let homes: FastSet<PoolId> = homes.collect();
    let mut controller = state.claim_controller.borrow_mut();
    controller.on_open_jobs(state.now(), homes);
    Ok(snapshot)
}

/// Reads the open jobs for as long as the process runs: periodically if this process does so for its data centre, and
/// whenever a read is needed.
pub(crate) async fn follow_open_jobs(state: Rc<NodeState>) {
    loop {
        let needed = std::pin::pin!(state.kept_view.read_needed.notified());
        let check = std::pin::pin!(actix_rt::time::sleep(READER_CHECK_INTERVAL));
        let is_needed = matches!(select(needed, check).await, Either::Left(_));
        let now = state.now();
        let is_due = || {
            let controller = state.claim_controller.borrow();
            state.kept_view.is_read_due(now) && controller.reads_open_jobs(now)
        };
        if !is_needed && !is_due() {
            continue;
        }
        let pause = match read_open_jobs(&state).await {
            Ok(_) => MIN_READ_INTERVAL,
            Err(error) => {
                let line = EventLine::new("open_jobs_not_read").text("error", error);
                state.log(EventKind::Important, line);
                FAILED_READ_PAUSE
            }
        };
        actix_rt::time::sleep(pause).await;
    }
}
