//! Into how many groups the workers of a data centre are divided, one pool each.
//!
//! An owner's processor time grows with its pool's tasks, so a pool must fit the machine that owns it; few large pools
//! place better than many small ones. The number is a row in the store, written under a condition, so that all
//! processes agree on which worker is in which pool. It grows with the number of workers and never falls by itself:
//! workers that are away for a while must not send all others to other owners.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use claims::{is_outgrown, plan_groups, GroupRow, VmStrength};
use jobs::{PoolId, WorkerRecord};
use model::{DataCentreId, FastMap};
use platform::RowVersion;
use platform_adapter::{RowWrite, StoreTable, Transaction, TransactionEnd};
use telemetry::{EventKind, EventLine};

use crate::{owner, state::NodeState};

/// How long after its start a process waits for all workers to be listed before it writes a number.
const FIRST_WAIT: Duration = Duration::from_millis(500);

/// How much longer it waits where it is not in the data centre itself.
const FAR_WAIT: Duration = Duration::from_millis(2_500);

/// How long nothing must have been added before all count as listed: workers heartbeat each 1.5 s, so that of a few dozen
/// that start at once one comes each 60 ms, and VMs start within 0.3 s of each other.
const SETTLED_TIME: Duration = Duration::from_millis(700);

/// How long that is waited for. Without a number no pool has an owner.
const LONGEST_SETTLING: Duration = Duration::from_millis(4_000);

/// The time between two looks at whether a number is needed.
const LOOK_BEAT: Duration = Duration::from_millis(250);

/// What a data centre's row is called, behind its name.
const KEY_END: &str = "/groups";

/// The data centre of a row's key, if it is such a row's.
pub(crate) fn centre_of_key(key: &str) -> Option<DataCentreId> {
    key.strip_suffix(KEY_END)?.parse().ok()
}

/// Takes what the store says, and moves workers to the pools where they belong now.
pub(crate) fn take_groups(
    state: &Rc<NodeState>,
    centre: DataCentreId,
    row: GroupRow,
    version: RowVersion,
) {
    let former = state.directory.borrow().groups(&centre);
    if former == Some(row) {
        return;
    }
    let line = EventLine::new("groups_taken")
        .text("data_centre", &centre)
        .number("groups", row.groups)
        .number("former", former.map_or(0, |former| former.groups))
        .text("spread", row.spread.as_str());
    state.log(EventKind::Important, line);
    let workers = state.directory.borrow().of_centre(&centre);
    let moved: Vec<_> = workers
        .iter()
        .map(|w| (state.directory.borrow().pool_of(w), w))
        .collect();
    if let Some(former) = former {
        claim_anew(state, &centre, former.groups.max(row.groups), row, version);
    }
    expect_workers(state, &centre, row);
    state.directory.borrow_mut().set_groups(centre, row);
    for (pool, worker) in moved {
        if let Some(pool) = pool {
            owner::drop_worker(state, &pool, &worker.life);
        }
    }
    for worker in workers {
        place_worker(state, worker);
    }
}

/// Takes for granted, until the list of workers is read, that each group has some: most processes do not read it before a pool
/// falls to them.
fn expect_workers(state: &Rc<NodeState>, centre: &DataCentreId, row: GroupRow) {
    if state.directory.borrow().was_read() {
        return;
    }
    for group in 0..row.groups {
        let data_centre = centre.clone();
        let pool = PoolId { data_centre, group };
        state.keeper.borrow_mut().on_workers(&pool, true);
    }
}

/// Lets go of a data centre's pools, to claim those anew that still have workers.
///
/// A worker that changes its pool turns away an owner whose fence is lower than what it has seen, and was then lost to both.
/// Each claim that is made after the new number's row has a higher fence than all before it.
fn claim_anew(
    state: &Rc<NodeState>,
    centre: &DataCentreId,
    pools: u32,
    row: GroupRow,
    version: RowVersion,
) {
    state.directory.borrow_mut().note_divided(state.now());
    for group in 0..pools {
        let pool = PoolId {
            data_centre: centre.clone(),
            group,
        };
        let fence = state
            .pools
            .borrow()
            .get(&pool)
            .map(|owned| owned.pool.fence());
        if fence.is_some_and(|fence| fence.0 < version.0) {
            state.keeper.borrow_mut().on_let_go(&pool);
            owner::release(state, &pool, "divided_anew");
        }
        if group >= row.groups {
            state.keeper.borrow_mut().on_workers(&pool, false);
        }
    }
}

/// Tells a worker to the pool that it belongs to.
pub(crate) fn place_worker(state: &Rc<NodeState>, record: WorkerRecord) {
    let Some(pool) = state.directory.borrow().pool_of(&record) else {
        return;
    };
    state.keeper.borrow_mut().on_workers(&pool, true);
    owner::put_worker(state, &pool, record);
}

/// Writes numbers that are missing or too small, for as long as the process runs.
pub(crate) async fn keep_groups(state: Rc<NodeState>) {
    let begun = state.now();
    let mut listed = ListedCounts::default();
    loop {
        actix_rt::time::sleep(LOOK_BEAT).await;
        let age = state.now().saturating_duration_since(begun);
        if !state.directory.borrow().is_current(state.now()) {
            continue;
        }
        let counts = state.directory.borrow().counts();
        for (centre, workers) in counts {
            let near = centre == state.settings.data_centre;
            let wait = if near {
                FIRST_WAIT
            } else {
                FIRST_WAIT + FAR_WAIT
            };
            if age < wait || state.leaving.get() {
                continue;
            }
            let groups = state
                .directory
                .borrow()
                .groups(&centre)
                .map(|row| row.groups);
            let vms = state.keeper.borrow().strengths(&centre);
            if groups.is_none() && !listed.have_settled(state.now(), &centre, workers, vms.len()) {
                continue;
            }
            if let Some(wanted) = wanted_groups(workers, &vms, groups) {
                write_groups(&state, &centre, wanted).await;
            }
        }
    }
}

/// What is listed of a data centre, and since when.
struct ListedCount {
    workers: usize,
    vms: usize,
    first: Instant,
    since: Instant,
}

/// What is listed of each data centre.
#[derive(Default)]
struct ListedCounts(FastMap<DataCentreId, ListedCount>);

impl ListedCounts {
    /// Whether all workers and VMs of a data centre seem to be listed. When a fleet starts they come one after another,
    /// and a number that was made from the first of them would be far too small.
    fn have_settled(
        &mut self,
        now: Instant,
        centre: &DataCentreId,
        workers: usize,
        vms: usize,
    ) -> bool {
        let count = self.0.entry(centre.clone()).or_insert(ListedCount {
            workers,
            vms,
            first: now,
            since: now,
        });
        if (count.workers, count.vms) != (workers, vms) {
            (count.workers, count.vms, count.since) = (workers, vms, now);
        }
        now >= count.since + SETTLED_TIME || now >= count.first + LONGEST_SETTLING
    }
}

/// The number that a data centre should have, if it is not what it has.
fn wanted_groups(workers: usize, vms: &[VmStrength], groups: Option<u32>) -> Option<u32> {
    let planned = plan_groups(workers, vms);
    match groups {
        None => Some(planned),
        Some(groups) => (planned > groups && is_outgrown(workers, vms, groups)).then_some(planned),
    }
}

async fn write_groups(state: &Rc<NodeState>, centre: &DataCentreId, groups: u32) {
    let key = format!("{centre}{KEY_END}");
    let known = state
        .group_versions
        .borrow()
        .get(centre)
        .copied()
        .unwrap_or_default();
    let workers = state.directory.borrow().of_centre(centre);
    let row = GroupRow::even(groups, workers.iter().map(|w| (&w.life, w.address)));
    let Ok(value) = serde_json::to_vec(&row) else {
        return;
    };
    let write = RowWrite {
        table: StoreTable::Claims,
        key,
        value,
        expected: Some(RowVersion(known)),
    };
    let transaction = Transaction::of(write);
    // Whoever loses the race, or whose answer is lost, hears the number by the feed.
    if let Ok(TransactionEnd::Done { version, .. }) = state.store.transact(&transaction).await {
        state
            .group_versions
            .borrow_mut()
            .insert(centre.clone(), version.0);
        take_groups(state, centre.clone(), row, version);
    }
}
