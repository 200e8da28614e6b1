//! Shared state of the HTTP routes.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use actix_web::web::Bytes;
use model::VmEntry;
use serde::{Deserialize, Serialize};

use super::{
    faults::{AnswerDelivery, DownMode, FaultPlan, FaultSettings},
    table::{ExpectedVersion, RowConflict, TableRow, TableStore, WriteRequest},
    timing::ServiceQueue,
    PlatformSettings,
};

/// The most VM lists kept, including old ones for stale answers.
const MAX_KEPT_VM_LISTS: usize = 1000;

/// Counts since the start. Calls rejected by a fault are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Reads of rows, lists, objects and the VM list.
    pub reads: u64,
    /// Rows returned by reads of rows and lists.
    pub rows_read: u64,
    /// Transactions that took effect.
    pub transactions: u64,
    /// Transactions that failed with a conflict.
    pub conflicts: u64,
    /// Rows written by transactions.
    pub rows_written: u64,
}

/// The state behind a single lock, which is held only briefly and never across a wait.
pub(super) struct PlatformState {
    inner: Mutex<Inner>,
}

struct Inner {
    tables: TableStore,
    objects: BTreeMap<String, Bytes>,
    /// VM lists with the time from which each was valid, newest last.
    vm_lists: VecDeque<(Instant, Vec<VmEntry>)>,
    faults: FaultPlan,
    service_queue: ServiceQueue,
    stats: PlatformStats,
}

impl PlatformState {
    pub(super) fn new(settings: PlatformSettings) -> Self {
        let now = Instant::now();
        Self {
            inner: Mutex::new(Inner {
                tables: TableStore::default(),
                objects: BTreeMap::new(),
                vm_lists: VecDeque::from([(now, settings.vms)]),
                faults: FaultPlan::new(settings.faults),
                service_queue: ServiceQueue::new(settings.times, now),
                stats: PlatformStats::default(),
            }),
        }
    }

    pub(super) fn set_faults(&self, settings: FaultSettings) {
        self.lock().faults = FaultPlan::new(settings);
    }

    pub(super) fn faults(&self) -> FaultSettings {
        self.lock().faults.settings.clone()
    }

    pub(super) fn down_mode(&self) -> DownMode {
        self.lock().faults.settings.down
    }

    pub(super) fn extra_delay(&self) -> Duration {
        Duration::from_millis(self.lock().faults.settings.slow_ms)
    }

    pub(super) fn draw_answer_delivery(&self) -> AnswerDelivery {
        self.lock().faults.draw_answer_delivery()
    }

    pub(super) fn set_vms(&self, vms: Vec<VmEntry>) {
        let lists = &mut self.lock().vm_lists;
        lists.push_back((Instant::now(), vms));
        if lists.len() > MAX_KEPT_VM_LISTS {
            lists.pop_front();
        }
    }

    pub(super) fn stats(&self) -> PlatformStats {
        self.lock().stats
    }

    pub(super) fn peek(&self, table: &str, key: &str) -> Option<TableRow> {
        self.lock().tables.get(table, key).cloned()
    }

    pub(super) fn write_now(&self, writes: &[WriteRequest]) -> Result<Vec<u64>, Vec<RowConflict>> {
        self.lock().tables.commit(writes)
    }

    /// Reserves a read that arrives now and returns when it is answered.
    pub(super) fn read_end(&self, rows: usize) -> Instant {
        self.lock().service_queue.read_end(Instant::now(), rows)
    }

    /// Reserves a write that arrives now and returns when it takes effect.
    pub(super) fn write_end(&self, rows: usize) -> Instant {
        self.lock().service_queue.write_end(Instant::now(), rows)
    }

    pub(super) fn row(&self, table: &str, key: &str) -> Option<TableRow> {
        let mut inner = self.lock();
        let row = inner.tables.get(table, key).cloned();
        inner.stats.reads += 1;
        inner.stats.rows_read += u64::from(row.is_some());
        row
    }

    pub(super) fn list(&self, table: &str, after: &str, limit: usize) -> Vec<(String, TableRow)> {
        let mut inner = self.lock();
        let mut rows = Vec::new();
        for (key, row) in inner.tables.list(table, after, limit) {
            rows.push((key.to_owned(), row.clone()));
        }
        inner.stats.reads += 1;
        inner.stats.rows_read += rows.len() as u64;
        rows
    }

    /// Applies racing writes, then commits the transaction.
    pub(super) fn commit(&self, writes: &[WriteRequest]) -> Result<Vec<u64>, Vec<RowConflict>> {
        let mut inner = self.lock();
        inner.apply_racing_writes(writes);
        let result = inner.tables.commit(writes);
        match &result {
            Ok(_) => {
                inner.stats.transactions += 1;
                inner.stats.rows_written += writes.len() as u64;
            }
            Err(_) => inner.stats.conflicts += 1,
        }
        result
    }

    pub(super) fn put_object(&self, name: String, bytes: Bytes) {
        self.lock().objects.insert(name, bytes);
    }

    pub(super) fn object(&self, name: &str) -> Option<Bytes> {
        let mut inner = self.lock();
        inner.stats.reads += 1;
        inner.objects.get(name).cloned()
    }

    /// Returns the VM list of the age that the faults set, or the oldest one kept.
    pub(super) fn vms(&self) -> Vec<VmEntry> {
        let mut inner = self.lock();
        inner.stats.reads += 1;
        let age = Duration::from_millis(inner.faults.settings.stale_vms_ms);
        let now = Instant::now();
        for (since, vms) in inner.vm_lists.iter().rev() {
            if now.duration_since(*since) < age {
                continue;
            }
            return vms.clone();
        }
        let oldest = inner.vm_lists.front();
        oldest.map(|(_, vms)| vms.clone()).unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn apply_racing_writes(&mut self, writes: &[WriteRequest]) {
        for race in self.faults.take_racing_writes(writes) {
            if race.writes.is_empty() {
                self.tables.bump(&race.table, &race.key);
                continue;
            }
            for mut write in race.writes {
                write.expect = ExpectedVersion::Any;
                let single = std::slice::from_ref(&write);
                // A write that accepts any version cannot conflict.
                let _ = self.tables.commit(single);
            }
        }
    }
}
