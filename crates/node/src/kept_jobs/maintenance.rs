//! The periodic work for pools with kept jobs: reading their rows, confirming that the owner's claim still stands,
//! moving jobs that the pool cannot hold, and publishing how many jobs have not begun.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use jobs::{FenceToken, PoolId};
use model::FastMap;
use platform_adapter::StoreTable;
use telemetry::{EventKind, EventLine};

use super::{
    open_jobs::read_open_jobs, pending::PendingPublication, rehoming, JOBS_READ_INTERVAL,
    STORE_RETRY_DELAY,
};
use crate::{owner::with_fenced_pool, state::NodeState};

/// The interval at which an owner checks that its claim still stands while its pool has kept jobs. Three checks fit
/// into the time for which an owner continues without confirmation.
const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// The interval at which an owner looks for kept jobs that no worker of its pool can hold.
const STRANDED_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Does the periodic work for the kept jobs of owned pools for as long as the process runs.
pub(crate) async fn maintain_pools(state: Rc<NodeState>) {
    let mut pools: FastMap<PoolId, MaintenanceTimes> = FastMap::default();
    loop {
        actix_rt::time::sleep(MAINTENANCE_INTERVAL).await;
        let owned: Vec<PoolId> = state.pools.borrow().keys().cloned().collect();
        pools.retain(|pool, _| owned.contains(pool));
        for pool in owned {
            let times = pools.entry(pool.clone()).or_default();
            maintain_pool(&state, &pool, times);
        }
    }
}

/// The interval at which the node checks for each owned pool which periodic work is due.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(20);

/// When each kind of periodic work was last done for a pool, under its current claim.
#[derive(Default)]
struct MaintenanceTimes {
    fence: FenceToken,
    last_read: Option<Instant>,
    last_claim_check: Option<Instant>,
    last_stranded_check: Option<Instant>,
    pending: Rc<PendingPublication>,
}

fn maintain_pool(state: &Rc<NodeState>, id: &PoolId, times: &mut MaintenanceTimes) {
    let now = state.now();
    let (fence, wants_rows, has_kept, knows_jobs, pending) = {
        let pools = state.pools.borrow();
        let Some(owned) = pools.get(id) else {
            return;
        };
        let pool = &owned.pool;
        (
            pool.fence(),
            pool.needs_kept_load(),
            pool.has_kept(),
            // An owner that hands its pool over has released the jobs that wait.
            pool.has_loaded_kept() && pool.is_accepting(),
            pool.pending_jobs(),
        )
    };
    if times.fence != fence {
        *times = MaintenanceTimes {
            fence,
            ..MaintenanceTimes::default()
        };
    }
    let due = |last: Option<Instant>, interval| last.is_none_or(|at| now >= at + interval);
    let periodic = state.kept_view.has_seen() && due(times.last_read, JOBS_READ_INTERVAL);
    if periodic || (wants_rows && due(times.last_read, STORE_RETRY_DELAY)) {
        times.last_read = Some(now);
        actix_rt::spawn(read_jobs(state.clone(), id.clone(), fence));
    }
    if has_kept && due(times.last_claim_check, CLAIM_CHECK_INTERVAL) {
        times.last_claim_check = Some(now);
        actix_rt::spawn(confirm_claim(state.clone(), id.clone(), fence));
    }
    if has_kept && due(times.last_stranded_check, STRANDED_CHECK_INTERVAL) {
        times.last_stranded_check = Some(now);
        rehoming::move_stranded(state, id);
    }
    // A former owner's published numbers stay until this owner knows the jobs and can publish its own.
    if knows_jobs && state.kept_view.has_seen() {
        times.pending.publish(state, id, pending);
    }
}

async fn read_jobs(state: Rc<NodeState>, id: PoolId, fence: FenceToken) {
    match read_open_jobs(&state).await {
        Ok(snapshot) => with_fenced_pool(&state, &id, fence, |pool, now| {
            pool.load_kept(now, snapshot);
        }),
        Err(error) => {
            let line = EventLine::new("jobs_not_read")
                .text("pool", &id)
                .text("error", error);
            state.log(EventKind::Important, line);
        }
    }
}

async fn confirm_claim(state: Rc<NodeState>, id: PoolId, fence: FenceToken) {
    let sent = state.now();
    let key = id.to_string();
    let read = state.store.get(StoreTable::Claims, "", &key);
    let row = match read.await {
        Ok(Some(row)) => row,
        Ok(None) => return,
        Err(error) => {
            // If the claim stays unconfirmed for too long, the pool stops its kept jobs by itself.
            let line = EventLine::new("claim_not_read")
                .text("pool", &id)
                .text("error", error);
            return state.log(EventKind::Important, line);
        }
    };
    if row.version.0 == fence.0 {
        with_fenced_pool(&state, &id, fence, |pool, _| {
            pool.record_store_contact(sent)
        });
    }
}
