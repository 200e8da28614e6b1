//! Finds another pool for kept jobs that no worker of their pool can hold, and tells its owner.

use std::{rc::Rc, sync::Arc};

use jobs::{JobId, PoolId, WorkerRecord};
use model::FastMap;
use platform::RowVersion;
use platform_adapter::{FeedPage, RowChange, RowWrite, StoreTable, Transaction};
use pool::StrandedJob;
use telemetry::{EventKind, EventLine};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    owner::{for_each_pool, with_pool},
    state::NodeState,
};

/// Moves the jobs of a pool that no worker of it can hold.
pub(super) fn move_stranded(state: &Rc<NodeState>, id: &PoolId) {
    let mut stranded = Vec::new();
    with_pool(state, id, |pool, now| stranded = pool.stranded_jobs(now));
    if stranded.is_empty() {
        return;
    }
    let candidates = find_candidates(state, id);
    for job in stranded {
        match choose_home(&candidates, &job) {
            Some(home) => with_pool(state, id, |pool, now| {
                pool.move_kept(now, job.job, Arc::from(home.to_string()));
            }),
            None => {
                let line = EventLine::new("kept_job_stranded").text("job", job.job);
                state.log(EventKind::Routine, line.text("pool", id));
            }
        }
    }
}

/// How well a pool suits a job that has to leave its own, best first: whether its owner is not known to be alive, and
/// whether it is in another data centre than the job's pool.
type HomeRank = (bool, bool);

/// A worker of another pool.
struct CandidateWorker {
    rank: HomeRank,
    pool: PoolId,
    record: WorkerRecord,
}

/// Returns the workers of all pools but one, those of the pools that suit its jobs best first.
fn find_candidates(state: &NodeState, former: &PoolId) -> Vec<CandidateWorker> {
    let directory = state.directory.borrow();
    let evacuated = state.evacuations.borrow();
    let controller = state.claim_controller.borrow();
    let now = state.now();
    let mut ranks: FastMap<PoolId, HomeRank> = FastMap::default();
    let mut candidates = Vec::new();
    for record in directory.records() {
        if evacuated.contains(&record.data_centre) {
            continue;
        }
        let Some(pool) = directory.pool_of(&record).filter(|pool| pool != former) else {
            continue;
        };
        let rank = *ranks.entry(pool.clone()).or_insert_with(|| {
            let owner = controller.owner(now, &pool);
            let is_alive = owner.is_some_and(|owner| owner.alive);
            (!is_alive, pool.data_centre != former.data_centre)
        });
        candidates.push(CandidateWorker { rank, pool, record });
    }
    candidates.sort_by(|a, b| (a.rank, &a.pool).cmp(&(b.rank, &b.pool)));
    candidates
}

/// Returns the pool for a job. Of pools that suit it equally well, each is chosen by its share of the workers that can hold
/// the job, so that the jobs of a lost pool do not all go to one other.
fn choose_home<'a>(candidates: &'a [CandidateWorker], job: &StrandedJob) -> Option<&'a PoolId> {
    let fitting = candidates.iter().filter(|worker| job.fits(&worker.record));
    let fitting: Vec<&CandidateWorker> = fitting.collect();
    let best = fitting.first()?.rank;
    let count = fitting.partition_point(|worker| worker.rank == best);
    let index = usize::try_from(xxh3_64(&job.job.0.to_be_bytes())).ok()? % count;
    Some(&fitting[index].pool)
}

/// Adds the notice for a job's new home to the transaction that moves the job. The notice of a pool has one row in each
/// partition, whichever job was moved last.
pub(super) fn add_notice(transaction: &mut Transaction, home: &str, job: JobId) {
    let mut writes = transaction.writes.iter();
    if writes.any(|write| write.table == StoreTable::MovedJobs && write.key == home) {
        return;
    }
    transaction.writes.push(RowWrite {
        table: StoreTable::MovedJobs,
        key: home.to_owned(),
        value: job.to_string().into_bytes(),
        expected: None,
    });
}

/// Has all pools read their rows after a gap in the notices, which ends at this version.
pub(crate) fn reread_rows(state: &Rc<NodeState>, version: RowVersion) {
    for_each_pool(state, |pool, _| pool.require_rows(version.0));
}

/// Has the pools to which jobs were moved read their rows.
pub(crate) fn apply_moved(state: &Rc<NodeState>, page: FeedPage) {
    let version = page.version.0;
    for change in page.changes {
        let RowChange::Put(row) = change else {
            continue;
        };
        state.kept_view.record_seen();
        if let Ok(pool) = row.key.parse::<PoolId>() {
            with_pool(state, &pool, |pool, _| pool.require_rows(version));
        }
    }
}
