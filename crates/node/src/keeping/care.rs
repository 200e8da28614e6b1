//! What pools with kept jobs need from time to time: their rows, signs of the store, and a word on what waits.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use jobs::{FenceToken, PoolId};
use model::FastMap;
use platform_adapter::{RowWrite, StoreError, StoreTable, Transaction};
use telemetry::{EventKind, EventLine};

use super::{part_name, read_row, PARTS, RETRY_PAUSE};
use crate::{
    feeds::{note_unreadable, put_row},
    owner::with_fenced,
    state::NodeState,
};

/// The time between two looks at whether a claim still stands, while its pool has kept jobs: three fit into the time for
/// which an owner goes on without one.
const CONTACT_BEAT: Duration = Duration::from_millis(300);

/// The time between two readings of a pool's jobs, for those whose write took effect seconds late.
const READ_BEAT: Duration = Duration::from_secs(5);

/// The shortest time between two writes of how many jobs of a pool have not begun. The number may be 2 s old.
const PENDING_BEAT: Duration = Duration::from_millis(700);

/// Reads the kept jobs of pools that want it, shows owners that their claims stand, and publishes what has not begun,
/// for as long as the process runs.
pub(crate) async fn look_after(state: Rc<NodeState>) {
    let mut pools: FastMap<PoolId, PoolCare> = FastMap::default();
    loop {
        actix_rt::time::sleep(LOOK_BEAT).await;
        let owned: Vec<PoolId> = state.pools.borrow().keys().cloned().collect();
        pools.retain(|pool, _| owned.contains(pool));
        for pool in owned {
            let care = pools.entry(pool.clone()).or_default();
            look_after_pool(&state, &pool, care);
        }
    }
}

/// The time between two looks at what pools need.
const LOOK_BEAT: Duration = Duration::from_millis(20);

/// How many jobs of each route have not begun.
type WaitingCounts = Vec<(Arc<str>, u64)>;

/// When something was last done for a pool.
#[derive(Default)]
struct PoolCare {
    fence: FenceToken,
    read: Option<Instant>,
    contact: Option<Instant>,
    published: Option<(Instant, WaitingCounts)>,
}

fn look_after_pool(state: &Rc<NodeState>, id: &PoolId, care: &mut PoolCare) {
    let now = state.now();
    let (fence, wants, has_kept, knows, pending) = {
        let pools = state.pools.borrow();
        let Some(owned) = pools.get(id) else {
            return;
        };
        let pool = &owned.pool;
        (
            pool.fence(),
            pool.wants_kept(),
            pool.has_kept(),
            pool.knows_kept(),
            pool.pending_jobs(),
        )
    };
    if care.fence != fence {
        *care = PoolCare {
            fence,
            ..PoolCare::default()
        };
    }
    let due = |last: Option<Instant>, beat| last.is_none_or(|at| now >= at + beat);
    let again = state.keeps_jobs.get() && due(care.read, READ_BEAT);
    if again || (wants && due(care.read, RETRY_PAUSE)) {
        care.read = Some(now);
        actix_rt::spawn(read_jobs(state.clone(), id.clone(), fence));
    }
    if has_kept && due(care.contact, CONTACT_BEAT) {
        care.contact = Some(now);
        actix_rt::spawn(show_contact(state.clone(), id.clone(), fence));
    }
    let known = care.published.as_ref();
    // What a former owner published stays until this one knows better.
    let changed = known.map_or(state.keeps_jobs.get(), |(_, known)| *known != pending);
    if knows && changed && due(known.map(|(at, _)| *at), PENDING_BEAT) {
        care.published = Some((now, pending.clone()));
        actix_rt::spawn(publish(state.clone(), id.clone(), pending));
    }
}

async fn read_jobs(state: Rc<NodeState>, id: PoolId, fence: FenceToken) {
    let reads = (0..PARTS).map(|part| {
        let state = state.clone();
        async move {
            state
                .store
                .read_all(StoreTable::Jobs, &part_name(part))
                .await
        }
    });
    let home = id.to_string();
    let mut found = Vec::new();
    for read in futures::future::join_all(reads).await {
        let page = match read {
            Ok(page) => page,
            Err(error) => {
                let line = EventLine::new("jobs_not_read")
                    .text("pool", &id)
                    .text("error", error);
                state.log(EventKind::Important, line);
                return;
            }
        };
        for change in page.changes {
            let Some(row) = put_row(&state, change) else {
                continue;
            };
            state.keeps_jobs.set(true);
            found.extend(read_row(&state, &row).filter(|found| *found.row.home == *home));
        }
    }
    with_fenced(&state, &id, fence, |pool, now| pool.load_kept(now, found));
}

async fn show_contact(state: Rc<NodeState>, id: PoolId, fence: FenceToken) {
    let sent = state.now();
    let key = id.to_string();
    let read = state.store.get(StoreTable::Claims, "", &key);
    let row = match read.await {
        Ok(Some(row)) => row,
        Ok(None) => return,
        Err(error) => {
            // Without an answer for too long the pool stops its kept jobs by itself.
            let line = EventLine::new("claim_not_read")
                .text("pool", &id)
                .text("error", error);
            return state.log(EventKind::Important, line);
        }
    };
    if row.version.0 == fence.0 {
        with_fenced(&state, &id, fence, |pool, _| pool.note_contact(sent));
    }
}

async fn publish(state: Rc<NodeState>, id: PoolId, pending: WaitingCounts) {
    let Ok(value) = serde_json::to_vec(&pending) else {
        let line = EventLine::new("pending_not_encoded").text("pool", &id);
        return state.log(EventKind::Important, line);
    };
    let write = RowWrite {
        table: StoreTable::PendingJobs,
        key: id.to_string(),
        value,
        expected: None,
    };
    if let Err(error) = state.store.transact(&Transaction::of(write)).await {
        // The next change is written over it.
        let line = EventLine::new("pending_not_published")
            .text("pool", &id)
            .text("error", error);
        state.log(EventKind::Important, line);
    }
}

/// How many kept jobs of a route have not begun, as the owners of all pools have published it.
///
/// # Errors
///
/// The store gave no answer.
pub(crate) async fn pending(state: &NodeState, route: &str) -> Result<u64, StoreError> {
    let page = state.store.read_all(StoreTable::PendingJobs, "").await?;
    let mut sum = 0;
    for change in page.changes {
        let Some(row) = put_row(state, change) else {
            continue;
        };
        let counts = match serde_json::from_slice::<Vec<(String, u64)>>(&row.value) {
            Ok(counts) => counts,
            Err(error) => {
                note_unreadable(state, &row, &error);
                continue;
            }
        };
        let of_route = counts.iter().filter(|(name, _)| name == route);
        sum += of_route.map(|(_, count)| count).sum::<u64>();
    }
    Ok(sum)
}
