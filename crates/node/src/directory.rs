//! The directory of workers that the platform lists.

use std::{
    cmp::Reverse,
    hash::{Hash as _, Hasher as _},
    time::{Duration, Instant},
};

use claims::{GroupRow, KnownList, ListReading};
use jobs::{InstanceId, PoolId, WorkerRecord};
use model::{DataCentreId, FastMap, FastSet};
use platform::RowVersion;
use xxhash_rust::xxh3::Xxh3;

/// How long after the store's last failure a missing entry may still come back. Entries that lapsed while the store
/// was unavailable are back within 2 s of its return if their worker is alive.
const LAPSED_ENTRY_GRACE: Duration = Duration::from_millis(2_300);

/// The greatest age of a read that owners rely on. An owner reads about four times a second.
const CURRENT_READ_MAX_AGE: Duration = Duration::from_millis(700);

/// How long a request for changes must be open without an answer to show that there are none. The store answers in
/// 4 to 16 ms.
const NO_CHANGES_DELAY: Duration = Duration::from_millis(100);

/// How long after a failed call the store counts as unavailable. It is longer than the retry delay and the next try
/// of a failed feed.
const STORE_FAILURE_HOLD_TIME: Duration = Duration::from_millis(800);

/// How long a read is reported to other processes.
const SHARED_READ_MAX_AGE: Duration = Duration::from_millis(1_000);

/// An entry that does not name a usable worker.
pub(crate) struct UnusableEntry {
    /// The entry's content, if it can be read.
    pub(crate) record: Option<WorkerRecord>,
    /// Whether the entry was logged as unusable. It is logged once, not at each heartbeat of its writer.
    pub(crate) logged: bool,
}

/// A worker, as its entry shows it.
struct ListedWorker {
    record: WorkerRecord,
    /// The version of the entry, which each heartbeat of the worker raises.
    version: RowVersion,
}

/// The directory of workers that the platform lists.
#[derive(Default)]
pub(crate) struct WorkerDirectory {
    workers: FastMap<InstanceId, ListedWorker>,
    /// Entries that do not name a usable worker, for as long as they are listed.
    unusable: FastMap<InstanceId, UnusableEntry>,
    /// Workers whose entries were removed soon after a failure of the store, with the time at which they count as
    /// gone.
    unconfirmed_removals: FastMap<InstanceId, Instant>,
    /// When the store last failed a call of this process, on any table: a read of the workers' table may have
    /// waited all through an outage without noticing it.
    last_failure: Option<Instant>,
    /// When the directory was last read, by this process or by one that has the same directory.
    last_read: Option<Instant>,
    /// When this process itself last read the directory.
    last_own_read: Option<Instant>,
    /// The store's version up to which the directory is known.
    version: u64,
    /// A digest of `workers`, independent of the order in which they were added.
    digest: u64,
    /// The number of workers of each data centre.
    worker_counts: FastMap<DataCentreId, usize>,
    /// When changes were requested, if the request has not been answered.
    changes_requested: Option<Instant>,
    /// When workers were last divided into groups anew.
    last_regrouped: Option<Instant>,
    /// The groups into which the workers of each data centre are divided.
    groups: FastMap<DataCentreId, GroupRow>,
}

impl WorkerDirectory {
    /// Records that the store failed a call.
    pub(crate) fn record_store_failure(&mut self, now: Instant) {
        self.last_failure = Some(now);
    }

    /// Returns whether the store failed a call recently.
    pub(crate) fn is_failing(&self, now: Instant) -> bool {
        self.last_failure
            .is_some_and(|at| now < at + STORE_FAILURE_HOLD_TIME)
    }

    /// Records that changes of the directory were requested.
    pub(crate) fn record_request(&mut self, now: Instant) {
        self.changes_requested = Some(now);
    }

    /// Records that the changes of the directory until now were read.
    pub(crate) fn record_read(&mut self, now: Instant, version: u64) {
        self.changes_requested = None;
        self.last_read = Some(now);
        self.last_own_read = Some(now);
        self.version = version;
    }

    /// Records that another process read the directory at the time `at` and has the same content.
    pub(crate) fn record_confirmation(&mut self, at: Instant, version: u64) {
        self.last_read = self.last_read.max(Some(at));
        self.version = self.version.max(version);
    }

    /// Forgets when the directory was read: after a pause of the process the age of any read is unknown.
    pub(crate) fn forget_reads(&mut self) {
        self.last_read = None;
        self.last_own_read = None;
        self.changes_requested = None;
    }

    /// Returns the version and digest of the directory once it was read. None while there are unconfirmed removals,
    /// which no other process knows of.
    pub(crate) fn known_list(&self) -> Option<KnownList> {
        let at = self
            .last_read
            .filter(|_| self.unconfirmed_removals.is_empty())?;
        Some(KnownList {
            version: self.version,
            digest: self.digest,
            at,
        })
    }

    /// Returns this process's own last read, as it is reported to other processes, if it is recent.
    pub(crate) fn recent_read(&self, now: Instant) -> Option<ListReading> {
        let known = self.known_list()?;
        let age = now.saturating_duration_since(self.last_own_read?);
        (age < SHARED_READ_MAX_AGE).then_some(ListReading {
            version: known.version,
            age,
            digest: known.digest,
        })
    }

    /// Returns whether the directory is current enough for owners of pools.
    ///
    /// It is current if it was read just now, or if a request for changes has been open for so long that the store
    /// would have reported any change. The latter holds only if the previous read was recent when the request was
    /// sent. After a long time the store has so many changes to report that its answer takes longer to arrive, and
    /// a worker that has begun to drain would get runs.
    pub(crate) fn is_current(&self, now: Instant) -> bool {
        let read = self
            .last_read
            .is_some_and(|at| now < at + CURRENT_READ_MAX_AGE);
        let unchanged = self
            .changes_requested
            .zip(self.last_read)
            .is_some_and(|(asked, read)| {
                now >= asked + NO_CHANGES_DELAY && asked < read + CURRENT_READ_MAX_AGE
            });
        read || unchanged
    }

    /// Returns whether the directory has been read.
    pub(crate) fn was_read(&self) -> bool {
        self.last_read.is_some()
    }

    /// Records that workers were divided into groups anew. For a while, runs of a pool may be left on workers of
    /// another pool.
    pub(crate) fn record_regrouping(&mut self, now: Instant) {
        self.last_regrouped = Some(now);
    }

    /// Returns whether workers may be missing from the directory or from their pool that still have runs of the
    /// pool.
    pub(crate) fn may_miss_workers(&self, now: Instant) -> bool {
        let last = self.last_failure.max(self.last_regrouped);
        last.is_some_and(|at| now < at + LAPSED_ENTRY_GRACE)
    }

    /// Adds or updates a worker, as of this version of its entry.
    pub(crate) fn upsert(&mut self, record: WorkerRecord, version: RowVersion) {
        self.unconfirmed_removals.remove(&record.instance);
        self.unusable.remove(&record.instance);
        // Most changes are heartbeats that leave the worker's record unchanged.
        let listed = self.workers.get_mut(&record.instance);
        if let Some(listed) = listed.filter(|listed| listed.record == record) {
            listed.version = version;
            return;
        }
        self.remove_record(&record.instance);
        self.digest = self.digest.wrapping_add(digest_of(&record));
        match self.worker_counts.get_mut(&record.data_centre) {
            Some(count) => *count += 1,
            None => drop(self.worker_counts.insert(record.data_centre.clone(), 1)),
        }
        let instance = record.instance.clone();
        let listed = ListedWorker { record, version };
        self.workers.insert(instance, listed);
    }

    fn remove_record(&mut self, instance: &InstanceId) -> Option<WorkerRecord> {
        let record = self.workers.remove(instance)?.record;
        self.digest = self.digest.wrapping_sub(digest_of(&record));
        if let Some(count) = self.worker_counts.get_mut(&record.data_centre) {
            *count -= 1;
        }
        Some(record)
    }

    /// Marks an entry as unusable. Returns the worker that it named before.
    pub(crate) fn mark_unusable(
        &mut self,
        instance: InstanceId,
        entry: UnusableEntry,
    ) -> Option<WorkerRecord> {
        self.unconfirmed_removals.remove(&instance);
        let former = self.remove_record(&instance);
        self.unusable.insert(instance, entry);
        former
    }

    /// Returns whether the entry was already logged as unusable.
    pub(crate) fn is_logged(&self, instance: &InstanceId) -> bool {
        self.unusable
            .get(instance)
            .is_some_and(|entry| entry.logged)
    }

    /// Returns the readable records of unusable entries, which may be usable under another configuration.
    pub(crate) fn unusable_records(&self) -> Vec<WorkerRecord> {
        let entries = self.unusable.values();
        entries.filter_map(|entry| entry.record.clone()).collect()
    }

    /// Returns all workers.
    pub(crate) fn records(&self) -> Vec<WorkerRecord> {
        self.listed_records().cloned().collect()
    }

    /// Removes an entry. Returns the worker if it counts as gone at once, and None if its entry may still come
    /// back.
    pub(crate) fn remove(&mut self, now: Instant, instance: &InstanceId) -> Option<WorkerRecord> {
        self.unusable.remove(instance);
        let until = self.last_failure.map(|at| at + LAPSED_ENTRY_GRACE);
        if let Some(until) = until.filter(|until| now < *until) {
            if self.workers.contains_key(instance) {
                self.unconfirmed_removals.insert(instance.clone(), until);
            }
            return None;
        }
        self.unconfirmed_removals.remove(instance);
        self.remove_record(instance)
    }

    /// Removes and returns the workers whose entry did not come back in time.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<WorkerRecord> {
        if self.unconfirmed_removals.is_empty() {
            return Vec::new();
        }
        let due = self
            .unconfirmed_removals
            .iter()
            .filter(|(_, until)| now >= **until);
        let due: Vec<InstanceId> = due.map(|(instance, _)| instance.clone()).collect();
        let mut gone = Vec::new();
        for instance in due {
            self.unconfirmed_removals.remove(&instance);
            gone.extend(self.remove_record(&instance));
        }
        gone
    }

    /// Returns the worker instances that a full read does not contain.
    pub(crate) fn missing_from(&self, seen: &FastSet<InstanceId>) -> Vec<InstanceId> {
        self.workers
            .keys()
            .chain(self.unusable.keys())
            .filter(|instance| !seen.contains(*instance))
            .cloned()
            .collect()
    }

    /// Returns the groups into which a data centre's workers are divided, once the processes have agreed on them.
    pub(crate) fn groups(&self, centre: &DataCentreId) -> Option<GroupRow> {
        self.groups.get(centre).copied()
    }

    pub(crate) fn set_groups(&mut self, centre: DataCentreId, groups: GroupRow) {
        self.groups.insert(centre, groups);
    }

    /// Returns whether the groups of each data centre with workers are agreed on.
    pub(crate) fn is_divided(&self) -> bool {
        let mut counts = self.worker_counts.iter();
        counts.all(|(centre, count)| *count == 0 || self.groups.contains_key(centre))
    }

    /// Returns the pool of a worker. It is computed from the worker's entry, so that all processes agree without
    /// communicating.
    pub(crate) fn pool_of(&self, record: &WorkerRecord) -> Option<PoolId> {
        let groups = self.groups(&record.data_centre)?;
        Some(PoolId {
            data_centre: record.data_centre.clone(),
            group: groups.group_of(&record.instance, record.address),
        })
    }

    fn listed_records(&self) -> impl Iterator<Item = &WorkerRecord> + '_ {
        self.workers.values().map(|listed| &listed.record)
    }

    fn listed_of_pool<'a>(&'a self, pool: &'a PoolId) -> impl Iterator<Item = &'a ListedWorker> {
        self.workers.values().filter(move |listed| {
            let record = &listed.record;
            record.data_centre == pool.data_centre && self.pool_of(record).as_ref() == Some(pool)
        })
    }

    pub(crate) fn workers_of_pool(&self, pool: &PoolId) -> Vec<WorkerRecord> {
        let workers = self.listed_of_pool(pool);
        workers.map(|listed| listed.record.clone()).collect()
    }

    /// Returns the workers of a pool, those whose entries were written last first. The entries of lost workers, and those
    /// that another writer left, are not written any more.
    pub(crate) fn workers_by_last_heartbeat(&self, pool: &PoolId) -> Vec<WorkerRecord> {
        let mut workers: Vec<&ListedWorker> = self.listed_of_pool(pool).collect();
        workers.sort_by_key(|listed| (Reverse(listed.version), &listed.record.instance));
        let workers = workers.into_iter();
        workers.map(|listed| listed.record.clone()).collect()
    }

    pub(crate) fn pool_has_workers(&self, pool: &PoolId) -> bool {
        let mut workers = self.listed_records();
        workers.any(|worker| self.pool_of(worker).as_ref() == Some(pool))
    }

    /// Returns the number of workers of each data centre.
    pub(crate) fn worker_counts(&self) -> FastMap<DataCentreId, usize> {
        let counts = self.worker_counts.iter().filter(|(_, count)| **count > 0);
        counts
            .map(|(centre, count)| (centre.clone(), *count))
            .collect()
    }

    /// Returns all workers of a data centre.
    pub(crate) fn workers_of_centre(&self, centre: &DataCentreId) -> Vec<WorkerRecord> {
        let workers = self.listed_records();
        workers
            .filter(|worker| worker.data_centre == *centre)
            .cloned()
            .collect()
    }
}

/// Returns a digest of one entry. The sum of such digests does not depend on the order of the entries.
fn digest_of(record: &WorkerRecord) -> u64 {
    let mut hasher = Xxh3::new();
    record.hash(&mut hasher);
    hasher.finish()
}
