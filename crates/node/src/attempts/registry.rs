//! The registrations of this node's attempts, and what it knows of the store's clock.

use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use jobs::{FenceToken, JobAttemptId, JobId, PoolId};
use model::{FastMap, FastSet};
use platform::RowVersion;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::state::NodeState;

/// How long after its end a registration is removed by whoever finds it. Its owner has long given up removing it.
pub(super) const EXPIRED_ROW_AGE: Duration = Duration::from_secs(10);

/// How long after a write without an answer its row is looked up, to be removed. The store may perform the write some
/// seconds late.
const LATE_WRITE_TIME: Duration = Duration::from_secs(5);

/// A registration as it is stored.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct AttemptRow {
    /// Until when runs of the attempt may be left, on the store's clock.
    until_ms: u64,
    /// The attempt. None from older processes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    attempt: Option<JobAttemptId>,
    /// The pool of the attempt, for operators.
    pool: String,
    /// The fencing token under which it was registered, for operators.
    fence: u64,
}

impl AttemptRow {
    pub(super) fn new(
        until: Duration,
        attempt: Option<JobAttemptId>,
        pool: &PoolId,
        fence: FenceToken,
    ) -> Self {
        Self {
            until_ms: u64::try_from(until.as_millis()).unwrap_or(u64::MAX),
            attempt,
            pool: pool.to_string(),
            fence: fence.0,
        }
    }

    pub(super) fn decode(value: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(value)
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        // A struct of numbers and texts is always encoded.
        serde_json::to_vec(self).unwrap_or_default()
    }

    pub(super) fn is_of(&self, attempt: Option<JobAttemptId>) -> bool {
        JobAttemptId::is_same(self.attempt, attempt)
    }

    pub(super) fn until(&self) -> Duration {
        Duration::from_millis(self.until_ms)
    }
}

/// What is known of the write of a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteState {
    /// Its answer is awaited.
    Pending,
    /// The row was stored as this version.
    Stored(RowVersion),
    /// It got no usable answer at this time, and may still take effect.
    Unanswered(Instant),
}

/// A registration that this process has made.
struct OwnRow {
    job: JobId,
    pool: PoolId,
    /// Until when it holds, on the store's clock. None until it is sent.
    until: Option<Duration>,
    state: WriteState,
    /// Whether the runs of the attempt are over, so that the row is to be removed.
    ended: bool,
}

/// A row to remove, with its key and version.
pub(super) struct StoredKey {
    pub(super) key: String,
    pub(super) version: RowVersion,
}

/// The registrations of this node's attempts.
#[derive(Default)]
pub(crate) struct AttemptRegistry {
    /// The store's clock in its last answer, and when that arrived.
    clock: Cell<Option<(Instant, Duration)>>,
    next_number: Cell<u64>,
    /// The rows by key.
    rows: RefCell<FastMap<String, OwnRow>>,
    added: Notify,
}

impl AttemptRegistry {
    /// Records the store's clock from one of its answers.
    pub(crate) fn record_clock(&self, now: Instant, clock: Duration) {
        // Answers without rows may lack the clock.
        if !clock.is_zero() {
            self.clock.set(Some((now, clock)));
        }
    }

    /// The store's clock at `now`, or less. None if the store has not answered yet.
    pub(super) fn clock(&self, now: Instant) -> Option<Duration> {
        let (heard_at, clock) = self.clock.get()?;
        Some(clock + now.saturating_duration_since(heard_at))
    }

    /// Adds a registration that is about to be written, and returns its key, which no other has.
    pub(super) fn add(&self, state: &NodeState, pool: &PoolId, job: JobId) -> String {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let controller = state.claim_controller.borrow();
        let own_row = controller.own_row();
        let key = format!("{job}.{}.{}.{number}", own_row.node, own_row.incarnation);
        let row = OwnRow {
            job,
            pool: pool.clone(),
            until: None,
            state: WriteState::Pending,
            ended: false,
        };
        self.rows.borrow_mut().insert(key.clone(), row);
        self.added.notify_one();
        key
    }

    /// Waits until there is a registration.
    pub(super) async fn wait_for_rows(&self) {
        while self.rows.borrow().is_empty() {
            self.added.notified().await;
        }
    }

    /// Records that a registration is being sent.
    pub(super) fn record_sent(&self, key: &str, until: Duration) {
        if let Some(row) = self.rows.borrow_mut().get_mut(key) {
            row.until = Some(until);
        }
    }

    pub(super) fn record_write(&self, key: &str, state: WriteState) {
        if let Some(row) = self.rows.borrow_mut().get_mut(key) {
            row.state = state;
        }
    }

    /// Forgets a registration that was not written or has been removed.
    pub(super) fn forget(&self, key: &str) {
        self.rows.borrow_mut().remove(key);
    }

    /// Marks the registrations of a job as to be removed.
    pub(crate) fn end_job(&self, pool: &PoolId, job: JobId) {
        for row in self.rows.borrow_mut().values_mut() {
            row.ended |= row.job == job && row.pool == *pool;
        }
    }

    /// Forgets the registrations of a pool that was released. Its runs may last until their leases end, so the rows are left
    /// to expire. Those of attempts that are over are still removed.
    pub(crate) fn forget_pool(&self, pool: &PoolId) {
        let mut rows = self.rows.borrow_mut();
        rows.retain(|_, row| row.ended || row.pool != *pool);
    }

    /// The keys of the registrations of a job whose runs are over.
    pub(super) fn ended_keys(&self, job: JobId) -> FastSet<String> {
        let rows = self.rows.borrow();
        let ended = rows.iter().filter(|(_, row)| row.ended && row.job == job);
        ended.map(|(key, _)| key.clone()).collect()
    }

    /// The stored rows that are to be removed, with their jobs.
    pub(super) fn removable(&self) -> Vec<(JobId, StoredKey)> {
        let rows = self.rows.borrow();
        let mut removable = Vec::new();
        for (key, row) in rows.iter() {
            let WriteState::Stored(version) = row.state else {
                continue;
            };
            if row.ended {
                let key = key.clone();
                removable.push((row.job, StoredKey { key, version }));
            }
        }
        removable
    }

    /// The rows to look up: their writes got no answer, and should have taken effect by now if they ever do.
    pub(super) fn unanswered(&self, now: Instant) -> Vec<(JobId, String)> {
        let rows = self.rows.borrow();
        let due = rows.iter().filter(|(_, row)| match row.state {
            WriteState::Unanswered(at) => row.ended && now >= at + LATE_WRITE_TIME,
            WriteState::Pending | WriteState::Stored(_) => false,
        });
        due.map(|(key, row)| (row.job, key.clone())).collect()
    }

    /// Forgets rows that have long expired and that the sweep removes.
    pub(super) fn forget_expired(&self, now: Instant) {
        let Some(clock) = self.clock(now) else {
            return;
        };
        let is_expired = |until: Duration| until + EXPIRED_ROW_AGE < clock;
        let mut rows = self.rows.borrow_mut();
        rows.retain(|_, row| {
            row.state == WriteState::Pending || !row.until.is_some_and(is_expired)
        });
    }
}
