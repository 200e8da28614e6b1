//! Decides into how many groups the workers of a data centre are divided. Each group is one pool.
//!
//! An owner's processor time grows with its pool's tasks, so a pool must fit the machine that owns it; few large
//! pools place tasks better than many small ones. The number of groups is a row in the store that is written
//! conditionally, so that all processes agree on which worker is in which pool. The number grows with the number of
//! workers and never falls by itself: when some workers are away for a while, the others must not be moved to other
//! owners.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use claims::{is_outgrown, plan_groups, GroupRow, VmCapacity};
use jobs::{PoolId, WorkerRecord};
use model::{DataCentreId, FastMap};
use platform::RowVersion;
use platform_adapter::{RowWrite, StoreTable, Transaction, TransactionOutcome};
use telemetry::{EventKind, EventLine};

use crate::{owner, state::NodeState};

/// How long after its start a process waits for all workers to be listed before it writes a number of groups.
const GROUPS_WRITE_DELAY: Duration = Duration::from_millis(500);

/// How much longer a process waits for the workers of another data centre.
const REMOTE_GROUPS_EXTRA_DELAY: Duration = Duration::from_millis(2_500);

/// How long the counts must stay unchanged before all workers and VMs count as listed. Workers send a heartbeat
/// every 1.5 s, so that of a few dozen that start at once one appears every 60 ms, and VMs start within 0.3 s of
/// each other.
const COUNTS_SETTLED_TIME: Duration = Duration::from_millis(700);

/// The longest time that a process waits for the counts to settle. Without a number of groups no pool has an owner.
const MAX_SETTLING_TIME: Duration = Duration::from_millis(4_000);

/// The interval at which a process checks whether a number of groups has to be written.
const GROUPS_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The suffix of the key of a data centre's row, after the data centre's name.
const GROUPS_KEY_SUFFIX: &str = "/groups";

/// Returns the data centre if the key is that of a row of groups.
pub(crate) fn centre_of_key(key: &str) -> Option<DataCentreId> {
    key.strip_suffix(GROUPS_KEY_SUFFIX)?.parse().ok()
}

/// Applies a data centre's row of groups and moves workers to the pools that they now belong to.
pub(crate) fn apply_groups(
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
    let workers = state.directory.borrow().workers_of_centre(&centre);
    let former_pools: Vec<_> = workers
        .iter()
        .map(|w| (state.directory.borrow().pool_of(w), w))
        .collect();
    if let Some(former) = former {
        release_regrouped_pools(state, &centre, former.groups.max(row.groups), row, version);
    }
    assume_workers(state, &centre, row);
    state.directory.borrow_mut().set_groups(centre, row);
    for (pool, worker) in former_pools {
        if let Some(pool) = pool {
            owner::unlist_worker(state, &pool, &worker.instance);
        }
    }
    for worker in workers {
        assign_worker(state, worker);
    }
}

/// Assumes that each group has workers until the list of workers is read. Most processes do not read the list
/// before they have to take over a pool.
fn assume_workers(state: &Rc<NodeState>, centre: &DataCentreId, row: GroupRow) {
    if state.directory.borrow().was_read() {
        return;
    }
    for group in 0..row.groups {
        let data_centre = centre.clone();
        let pool = PoolId { data_centre, group };
        state.claim_controller.borrow_mut().on_workers(&pool, true);
    }
}

/// Releases a data centre's pools, so that those that still have workers are claimed again.
///
/// A worker that changes its pool rejects an owner whose fencing token is lower than the highest that it has seen;
/// neither the old nor the new pool could then use it. A claim made after the row of the new number has a higher
/// fencing token than all claims before it.
fn release_regrouped_pools(
    state: &Rc<NodeState>,
    centre: &DataCentreId,
    group_count: u32,
    row: GroupRow,
    version: RowVersion,
) {
    state.directory.borrow_mut().record_regrouping(state.now());
    for group in 0..group_count {
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
            state.claim_controller.borrow_mut().on_released(&pool);
            owner::release_pool(state, &pool, "divided_anew");
        }
        if group >= row.groups {
            state.claim_controller.borrow_mut().on_workers(&pool, false);
        }
    }
}

/// Adds a worker to the pool that it belongs to.
pub(crate) fn assign_worker(state: &Rc<NodeState>, record: WorkerRecord) {
    let Some(pool) = state.directory.borrow().pool_of(&record) else {
        return;
    };
    state.claim_controller.borrow_mut().on_workers(&pool, true);
    owner::upsert_worker(state, &pool, record);
}

/// Writes numbers of groups that are missing or too small, for as long as the process runs.
pub(crate) async fn maintain_groups(state: Rc<NodeState>) {
    let begun = state.now();
    let mut listed = ListedCounts::default();
    loop {
        actix_rt::time::sleep(GROUPS_CHECK_INTERVAL).await;
        let age = state.now().saturating_duration_since(begun);
        if !state.directory.borrow().is_current(state.now()) {
            continue;
        }
        let counts = state.directory.borrow().worker_counts();
        for (centre, workers) in counts {
            let is_local = centre == state.settings.data_centre;
            let wait = if is_local {
                GROUPS_WRITE_DELAY
            } else {
                GROUPS_WRITE_DELAY + REMOTE_GROUPS_EXTRA_DELAY
            };
            if age < wait || state.leaving.get() {
                continue;
            }
            let groups = state
                .directory
                .borrow()
                .groups(&centre)
                .map(|row| row.groups);
            let vms = state.claim_controller.borrow().vm_capacities(&centre);
            if groups.is_none() && !listed.have_settled(state.now(), &centre, workers, vms.len()) {
                continue;
            }
            if let Some(wanted) = wanted_groups(workers, &vms, groups) {
                write_groups(&state, &centre, wanted).await;
            }
        }
    }
}

/// The numbers of workers and VMs listed for a data centre, and since when.
struct ListedCount {
    workers: usize,
    vms: usize,
    first_seen: Instant,
    unchanged_since: Instant,
}

/// The numbers of workers and VMs listed for each data centre.
#[derive(Default)]
struct ListedCounts(FastMap<DataCentreId, ListedCount>);

impl ListedCounts {
    /// Returns whether all workers and VMs of a data centre seem to be listed. When a fleet starts they appear one
    /// after another, and a number of groups computed from the first of them would be far too small.
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
            first_seen: now,
            unchanged_since: now,
        });
        if (count.workers, count.vms) != (workers, vms) {
            (count.workers, count.vms, count.unchanged_since) = (workers, vms, now);
        }
        now >= count.unchanged_since + COUNTS_SETTLED_TIME
            || now >= count.first_seen + MAX_SETTLING_TIME
    }
}

/// Returns the number of groups that a data centre should have, if it differs from the current one.
fn wanted_groups(workers: usize, vms: &[VmCapacity], groups: Option<u32>) -> Option<u32> {
    let planned = plan_groups(workers, vms);
    match groups {
        None => Some(planned),
        Some(groups) => (planned > groups && is_outgrown(workers, vms, groups)).then_some(planned),
    }
}

/// Writes a data centre's row of groups, on the condition that the row still has the version that is known here.
async fn write_groups(state: &Rc<NodeState>, centre: &DataCentreId, groups: u32) {
    let key = format!("{centre}{GROUPS_KEY_SUFFIX}");
    let known = state
        .group_versions
        .borrow()
        .get(centre)
        .copied()
        .unwrap_or_default();
    let workers = state.directory.borrow().workers_of_centre(centre);
    let row = GroupRow::balanced(groups, workers.iter().map(|w| (&w.instance, w.address)));
    let Ok(value) = serde_json::to_vec(&row) else {
        return;
    };
    let write = RowWrite {
        table: StoreTable::Claims,
        key,
        value,
        expected: Some(RowVersion(known)),
    };
    let transaction = Transaction::single_write(write);
    // A process that loses the race or whose answer is lost reads the number from the feed.
    if let Ok(TransactionOutcome::Committed { version, .. }) =
        state.store.transact(&transaction).await
    {
        state
            .group_versions
            .borrow_mut()
            .insert(centre.clone(), version.0);
        apply_groups(state, centre.clone(), row, version);
    }
}
