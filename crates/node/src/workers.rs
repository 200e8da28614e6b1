//! Decides which entries of the workers' directory name a usable worker.
//!
//! Other writers may put anything into the directory: entries that lack fields or have fields of the wrong type,
//! and entries that name an unknown state, an unknown service or an address of the system itself. A call to such an
//! address could reach any server that listens there, and a worker of an unknown service could get runs although no
//! route sends tasks to its service. An entry therefore names a usable worker only if it is complete, its service is
//! in the configuration and its address is not one of the system. A known worker whose entry becomes unusable gets
//! no new runs until its own next heartbeat corrects the entry. Unusable entries are not changed in the store, and
//! other workers are not affected.

use std::rc::Rc;

use jobs::{InstanceId, ServiceId, WorkerRecord};
use model::FastSet;
use platform::RowVersion;
use platform_adapter::{decode_worker, FeedPage, RowChange, StoredRow};
use telemetry::{EventKind, EventLine};
use thiserror::Error;

use crate::{directory::UnusableEntry, groups, owner, state::NodeState};

/// Why an entry does not name a usable worker.
#[derive(Debug, Error)]
enum EntryFault {
    #[error("incomplete or malformed entry: {0}")]
    Unreadable(String),
    #[error("service {0} is not in the configuration")]
    UnknownService(ServiceId),
    #[error("the address belongs to the system itself")]
    SystemAddress,
}

/// Applies changes of the workers' directory.
pub(crate) fn apply_page(state: &Rc<NodeState>, page: FeedPage, is_snapshot: bool) {
    let mut seen: FastSet<InstanceId> = FastSet::default();
    let mut removed = Vec::new();
    for change in page.changes {
        let instance = InstanceId::from(change.key());
        match change {
            RowChange::Put(row) => {
                seen.insert(instance.clone());
                apply_entry(state, instance, &row);
            }
            RowChange::Unreadable { reason, .. } => {
                seen.insert(instance.clone());
                reject_entry(state, instance, None, &EntryFault::Unreadable(reason));
            }
            RowChange::Removed { .. } => removed.push(instance),
        }
    }
    if is_snapshot {
        removed.extend(state.directory.borrow().missing_from(&seen));
        clear_assumed_workers(state);
    }
    for instance in removed {
        let gone = state.directory.borrow_mut().remove(state.now(), &instance);
        if let Some(record) = gone {
            unlist_worker(state, &record);
        }
    }
}

/// Records for each known pool whether the directory lists workers of it. Until the directory is read, pools are
/// assumed to have workers; see `assume_workers` in [`groups`].
fn clear_assumed_workers(state: &Rc<NodeState>) {
    let pools = state.claim_controller.borrow().pools();
    for pool in pools {
        let has_workers = state.directory.borrow().pool_has_workers(&pool);
        state
            .claim_controller
            .borrow_mut()
            .on_workers(&pool, has_workers);
    }
}

/// Classifies entries again after the configuration has changed.
pub(crate) fn reclassify_entries(state: &Rc<NodeState>) {
    let unused = state.directory.borrow().unusable_records();
    // The next heartbeat of a worker tells the version of its entry.
    let unknown = RowVersion(0);
    for record in unused {
        classify_entry(state, record, unknown);
    }
    let used = state.directory.borrow().records();
    for record in used {
        if find_fault(state, &record).is_some() {
            classify_entry(state, record, unknown);
        }
    }
}

/// Marks a worker as unlisted in its pool after its entry was removed or became unusable, and records whether the
/// pool still has workers.
pub(crate) fn unlist_worker(state: &Rc<NodeState>, record: &WorkerRecord) {
    let Some(pool) = state.directory.borrow().pool_of(record) else {
        return;
    };
    let has_workers = state.directory.borrow().pool_has_workers(&pool);
    state
        .claim_controller
        .borrow_mut()
        .on_workers(&pool, has_workers);
    owner::unlist_worker(state, &pool, &record.instance);
}

fn apply_entry(state: &Rc<NodeState>, instance: InstanceId, row: &StoredRow) {
    match decode_worker(&row.key, &row.value) {
        Ok(record) => classify_entry(state, record, row.version),
        Err(error) => {
            let fault = EntryFault::Unreadable(error.to_string());
            reject_entry(state, instance, None, &fault);
        }
    }
}

/// Records the content of an entry as of this version of it.
fn classify_entry(state: &Rc<NodeState>, record: WorkerRecord, version: RowVersion) {
    if let Some(fault) = find_fault(state, &record) {
        reject_entry(state, record.instance.clone(), Some(record), &fault);
        return;
    }
    state.directory.borrow_mut().upsert(record.clone(), version);
    groups::assign_worker(state, record);
}

fn find_fault(state: &NodeState, record: &WorkerRecord) -> Option<EntryFault> {
    if state.system_addresses.contains(&record.address) {
        return Some(EntryFault::SystemAddress);
    }
    let table = state.route_table.borrow();
    let known = table
        .as_ref()
        .map(|table| table.references_service(&record.service));
    // Without a configuration no entry names a usable worker, and none is reported as faulty.
    (known != Some(true)).then(|| EntryFault::UnknownService(record.service.clone()))
}

/// Marks an entry as unusable and logs why. `record` is the entry's content, if it may name a usable worker under
/// another configuration.
fn reject_entry(
    state: &Rc<NodeState>,
    instance: InstanceId,
    record: Option<WorkerRecord>,
    fault: &EntryFault,
) {
    let unconfigured = state.route_table.borrow().is_none();
    let entry = UnusableEntry {
        record,
        logged: !unconfigured,
    };
    let mut directory = state.directory.borrow_mut();
    let logged = directory.is_logged(&instance);
    let former = directory.mark_unusable(instance.clone(), entry);
    drop(directory);
    if !logged && !unconfigured {
        let line = EventLine::new("worker_unusable")
            .text("worker", &instance)
            .text("why", fault);
        state.log(EventKind::Important, line);
    }
    if let Some(former) = former {
        unlist_worker(state, &former);
    }
}
