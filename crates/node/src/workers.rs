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

use crate::{directory::UnusedEntry, groups, owner, state::NodeState};

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
pub(crate) fn take_page(state: &Rc<NodeState>, page: FeedPage, whole: bool) {
    let mut seen: FastSet<LifeId> = FastSet::default();
    let mut removed = Vec::new();
    for change in page.changes {
        let life = LifeId::from(change.key());
        match change {
            RowChange::Put(row) => {
                seen.insert(life.clone());
                take_entry(state, life, &row);
            }
            RowChange::Unreadable { reason, .. } => {
                seen.insert(life.clone());
                set_aside(state, life, None, &EntryFault::Unreadable(reason));
            }
            RowChange::Removed { .. } => removed.push(life),
        }
    }
    if whole {
        removed.extend(state.directory.borrow().missing_from(&seen));
        forget_expected(state);
    }
    for life in removed {
        let gone = state.directory.borrow_mut().remove(state.now(), &life);
        if let Some(record) = gone {
            drop_worker(state, &record);
        }
    }
}

/// Pools that were taken to have workers before any were known have none if none are listed.
fn forget_expected(state: &Rc<NodeState>) {
    let pools = state.keeper.borrow().pools();
    for pool in pools {
        let any = state.directory.borrow().has_pool(&pool);
        state.keeper.borrow_mut().on_workers(&pool, any);
    }
}

/// Looks again at which entries name a worker, after the configuration has changed.
pub(crate) fn sort_again(state: &Rc<NodeState>) {
    let unused = state.directory.borrow().unused_records();
    for record in unused {
        sort(state, record);
    }
    let used = state.directory.borrow().records();
    for record in used {
        if find_fault(state, &record).is_some() {
            sort(state, record);
        }
    }
}

/// Tells that a worker is gone for good.
pub(crate) fn drop_worker(state: &Rc<NodeState>, record: &WorkerRecord) {
    let Some(pool) = state.directory.borrow().pool_of(record) else {
        return;
    };
    let any = state.directory.borrow().has_pool(&pool);
    state.keeper.borrow_mut().on_workers(&pool, any);
    owner::drop_worker(state, &pool, &record.life);
}

fn take_entry(state: &Rc<NodeState>, life: LifeId, row: &StoredRow) {
    match decode_worker(&row.key, &row.value) {
        Ok(record) => sort(state, record),
        Err(error) => {
            let fault = EntryFault::Unreadable(error.to_string());
            set_aside(state, life, None, &fault);
        }
    }
}

fn sort(state: &Rc<NodeState>, record: WorkerRecord) {
    if let Some(fault) = find_fault(state, &record) {
        set_aside(state, record.life.clone(), Some(record), &fault);
        return;
    }
    state.directory.borrow_mut().put(record.clone());
    groups::place_worker(state, record);
}

fn find_fault(state: &NodeState, record: &WorkerRecord) -> Option<EntryFault> {
    if state.system_addresses.contains(&record.address) {
        return Some(EntryFault::SystemAddress);
    }
    let table = state.table.borrow();
    let known = table
        .as_ref()
        .map(|table| table.names_service(&record.service));
    // Before there is a configuration no entry names a worker, and none is wrong.
    (known != Some(true)).then(|| EntryFault::UnknownService(record.service.clone()))
}

/// Keeps an entry for later. `record` is what it holds, if it may name a worker under another configuration.
fn set_aside(
    state: &Rc<NodeState>,
    life: LifeId,
    record: Option<WorkerRecord>,
    fault: &EntryFault,
) {
    let early = state.table.borrow().is_none();
    let unused = UnusedEntry {
        record,
        noted: !early,
    };
    let mut directory = state.directory.borrow_mut();
    let noted = directory.is_noted(&life);
    let former = directory.set_aside(life.clone(), unused);
    drop(directory);
    if !noted && !early {
        let line = EventLine::new("worker_unusable")
            .text("worker", &life)
            .text("why", fault);
        state.log(EventKind::Important, line);
    }
    if let Some(former) = former {
        drop_worker(state, &former);
    }
}
