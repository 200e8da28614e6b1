//! Asks the owners of pools whether they may have runs of a job, while the store does not answer.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use claims::OwnerView;
use jobs::{JobAttemptId, JobId, PoolId};
use pool::{AttemptLookup, AttemptPresence};
use telemetry::{EventKind, EventLine};
use tokio::time::timeout;

use crate::{metrics::lookup_label, state::NodeState};

/// The time within which an owner has to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// How long runs that an owner knows of may be left, as far as this node can tell: as long as a registration lasts.
const PRESENT_ATTEMPT_TIME: Duration = Duration::from_secs(2);

/// Whether any pool of this node may have runs of a job that are not of `attempt`, for a node that cannot ask the store.
/// Unknown if this node does not own `pool`, or has paused: then it may have been replaced meanwhile.
pub(crate) fn presence_here(
    state: &NodeState,
    job: JobId,
    attempt: Option<JobAttemptId>,
    pool: &PoolId,
) -> AttemptPresence {
    if state.has_paused() || !state.pools.borrow().contains_key(pool) {
        return AttemptPresence::Unknown;
    }
    presence_in_pools(state, job, attempt, None)
}

/// Whether any pool of this node but one may have runs of a job that are not of `attempt`.
fn presence_in_pools(
    state: &NodeState,
    job: JobId,
    attempt: Option<JobAttemptId>,
    except: Option<&PoolId>,
) -> AttemptPresence {
    let now = state.now();
    let pools = state.pools.borrow();
    let others = pools.iter().filter(|(id, _)| Some(*id) != except);
    let answers = others.map(|(_, owned)| owned.pool.attempt_presence(now, job, attempt));
    answers.fold(AttemptPresence::Absent, join_presence)
}

/// Whether the asking pool may have runs of a job that it has not begun. Unknown if this node does not own it any more.
fn presence_in_pool(state: &NodeState, job: JobId, asking: &PoolId) -> AttemptPresence {
    let now = state.now();
    let pools = state.pools.borrow();
    let owned = pools.get(asking);
    owned.map_or(AttemptPresence::Unknown, |owned| {
        owned.pool.own_presence(now, job)
    })
}

/// What two pools together may have.
fn join_presence(first: AttemptPresence, second: AttemptPresence) -> AttemptPresence {
    match (first, second) {
        (AttemptPresence::Present, _) | (_, AttemptPresence::Present) => AttemptPresence::Present,
        (AttemptPresence::Unknown, _) | (_, AttemptPresence::Unknown) => AttemptPresence::Unknown,
        (AttemptPresence::Absent, AttemptPresence::Absent) => AttemptPresence::Absent,
    }
}

/// Asks the owners of all pools but `asking` whether they may have runs of a job that are not of `attempt`.
pub(super) async fn ask_owners(
    state: &Rc<NodeState>,
    asking: &PoolId,
    job: JobId,
    attempt: Option<JobAttemptId>,
) -> AttemptLookup {
    let begun = state.now();
    let owners = other_owners(state, begun, asking);
    let questions = owners
        .iter()
        .map(|(pool, owner)| ask_owner(state, pool, owner.as_ref(), job, attempt));
    let answers = futures::future::join_all(questions).await;
    // Read after the others have answered, so that a pool that was taken meanwhile counts. A former owner of the asking
    // pool itself may have runs of which this node does not know.
    let own = join_presence(
        presence_in_pools(state, job, attempt, Some(asking)),
        presence_in_pool(state, job, asking),
    );
    let presence = answers.into_iter().fold(own, join_presence);
    let lookup = match presence {
        AttemptPresence::Absent => AttemptLookup::Clear,
        AttemptPresence::Present => AttemptLookup::Until(state.now() + PRESENT_ATTEMPT_TIME),
        AttemptPresence::Unknown => AttemptLookup::Unknown,
    };
    log_answers(state, job, owners.len(), &lookup, begun);
    lookup
}

/// All known pools but one, with their owners.
fn other_owners(
    state: &NodeState,
    now: Instant,
    asking: &PoolId,
) -> Vec<(PoolId, Option<OwnerView>)> {
    let controller = state.claim_controller.borrow();
    let pools = controller.pools().into_iter();
    let others = pools.filter(|pool| pool != asking);
    let owners = others.map(|pool| {
        let owner = controller.owner(now, &pool);
        (pool, owner)
    });
    owners.collect()
}

/// Asks the owner of a pool. Unknown if it cannot be reached or does not answer in time.
async fn ask_owner(
    state: &NodeState,
    pool: &PoolId,
    owner: Option<&OwnerView>,
    job: JobId,
    attempt: Option<JobAttemptId>,
) -> AttemptPresence {
    let Some(owner) = owner.filter(|owner| owner.alive) else {
        return AttemptPresence::Unknown;
    };
    if owner.here {
        return presence_here(state, job, attempt, pool);
    }
    let Some(link) = state.links.get(owner.address) else {
        return AttemptPresence::Unknown;
    };
    let answer = timeout(ANSWER_TIMEOUT, link.link.presence(job, attempt, pool)).await;
    match answer {
        Ok(Ok(presence)) => presence,
        // Also the answer of an older process, which does not have this call.
        Ok(Err(_)) | Err(_) => AttemptPresence::Unknown,
    }
}

fn log_answers(
    state: &NodeState,
    job: JobId,
    pools: usize,
    lookup: &AttemptLookup,
    begun: Instant,
) {
    let took = state.now().saturating_duration_since(begun);
    let line = EventLine::new("owners_asked")
        .text("job", job)
        .number("pools", pools as u64)
        .text("found", lookup_label(lookup))
        .millis("took_ms", took);
    state.log(EventKind::Important, line);
}
