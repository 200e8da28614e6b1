//! Entries of the workers' directory, and which of them name a worker to use.
//!
//! Other writers may put anything into the directory: entries that lack fields or hold other types, that name a state or
//! a service that nobody knows, or an address of the system itself. A call to what such an entry names may reach
//! whatever listens there, and a run would start where no queue sends it. So only an entry that is whole and names a
//! service of the configuration names a worker; a known worker whose entry becomes another gets nothing new until its
//! own next heartbeat mends it. The others are not touched.

use std::rc::Rc;

use jobs::{LifeId, ServiceId, WorkerRecord};
use model::FastSet;
use platform_adapter::{decode_worker, FeedPage, RowChange, StoredRow};
use telemetry::{EventKind, EventLine};
use thiserror::Error;

use crate::{directory::UnusableEntry, groups, owner, state::NodeState};

/// Why an entry names no worker to use.
#[derive(Debug, Error)]
enum EntryFault {
    #[error("not a whole entry: {0}")]
    Unreadable(String),
    #[error("no such service in the configuration: {0}")]
    UnknownService(ServiceId),
    #[error("an address of the system itself")]
    SystemAddress,
}

/// Takes what the directory says.
pub(crate) fn apply_page(state: &Rc<NodeState>, page: FeedPage, is_snapshot: bool) {
    let mut seen: FastSet<LifeId> = FastSet::default();
    let mut removed = Vec::new();
    for change in page.changes {
        let life = LifeId::from(change.key());
        match change {
            RowChange::Put(row) => {
                seen.insert(life.clone());
                apply_entry(state, life, &row);
            }
            RowChange::Unreadable { reason, .. } => {
                seen.insert(life.clone());
                reject_entry(state, life, None, &EntryFault::Unreadable(reason));
            }
            RowChange::Removed { .. } => removed.push(life),
        }
    }
    if is_snapshot {
        removed.extend(state.directory.borrow().missing_from(&seen));
        clear_assumed_workers(state);
    }
    for life in removed {
        let gone = state.directory.borrow_mut().remove(state.now(), &life);
        if let Some(record) = gone {
            remove_worker(state, &record);
        }
    }
}

/// Pools that were taken to have workers before any were known have none if none are listed.
fn clear_assumed_workers(state: &Rc<NodeState>) {
    let pools = state.keeper.borrow().pools();
    for pool in pools {
        let has_workers = state.directory.borrow().has_pool(&pool);
        state.keeper.borrow_mut().on_workers(&pool, has_workers);
    }
}

/// Looks again at which entries name a worker, after the configuration has changed.
pub(crate) fn reclassify_entries(state: &Rc<NodeState>) {
    let unused = state.directory.borrow().unusable_records();
    for record in unused {
        classify_entry(state, record);
    }
    let used = state.directory.borrow().records();
    for record in used {
        if find_fault(state, &record).is_some() {
            classify_entry(state, record);
        }
    }
}

/// Tells that a worker is gone for good.
pub(crate) fn remove_worker(state: &Rc<NodeState>, record: &WorkerRecord) {
    let Some(pool) = state.directory.borrow().pool_of(record) else {
        return;
    };
    let has_workers = state.directory.borrow().has_pool(&pool);
    state.keeper.borrow_mut().on_workers(&pool, has_workers);
    owner::remove_worker(state, &pool, &record.life);
}

fn apply_entry(state: &Rc<NodeState>, life: LifeId, row: &StoredRow) {
    match decode_worker(&row.key, &row.value) {
        Ok(record) => classify_entry(state, record),
        Err(error) => {
            let fault = EntryFault::Unreadable(error.to_string());
            reject_entry(state, life, None, &fault);
        }
    }
}

fn classify_entry(state: &Rc<NodeState>, record: WorkerRecord) {
    if let Some(fault) = find_fault(state, &record) {
        reject_entry(state, record.life.clone(), Some(record), &fault);
        return;
    }
    state.directory.borrow_mut().put(record.clone());
    groups::assign_worker(state, record);
}

fn find_fault(state: &NodeState, record: &WorkerRecord) -> Option<EntryFault> {
    if state.system_addresses.contains(&record.address) {
        return Some(EntryFault::SystemAddress);
    }
    let table = state.route_table.borrow();
    let known = table
        .as_ref()
        .map(|table| table.names_service(&record.service));
    // Before there is a configuration no entry names a worker, and none is wrong.
    (known != Some(true)).then(|| EntryFault::UnknownService(record.service.clone()))
}

/// Keeps an entry for later. `record` is what it holds, if it may name a worker under another configuration.
fn reject_entry(
    state: &Rc<NodeState>,
    life: LifeId,
    record: Option<WorkerRecord>,
    fault: &EntryFault,
) {
    let unconfigured = state.route_table.borrow().is_none();
    let entry = UnusableEntry {
        record,
        logged: !unconfigured,
    };
    let mut directory = state.directory.borrow_mut();
    let logged = directory.is_logged(&life);
    let former = directory.mark_unusable(life.clone(), entry);
    drop(directory);
    if !logged && !unconfigured {
        let line = EventLine::new("worker_unusable")
            .text("worker", &life)
            .text("why", fault);
        state.log(EventKind::Kept, line);
    }
    if let Some(former) = former {
        remove_worker(state, &former);
    }
}
