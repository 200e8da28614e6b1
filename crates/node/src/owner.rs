//! The pools that this node owns: carries out what they ask for, and claims them.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use claims::{ClaimAction, ClaimEnd, ClaimRow, NodeId};
use futures::future::{select, Either, LocalBoxFuture};
use jobs::{FenceToken, JobId, JobOutcome, LifeId, PoolId, RefusalKind, WorkerRecord};
use model::{FastMap, Mechanism};
use peer::{JobCall, PoolService};
use platform::RowVersion;
use platform_adapter::{RowWrite, StoreTable, Transaction, TransactionEnd};
use pool::{PoolAction, PoolStart, WaiterId, WorkerPool};
use telemetry::{EventKind, EventLine};
use tokio::{net::TcpStream, sync::oneshot, time::timeout};

use crate::{keeping, notes, state::NodeState};

/// How many workers are tried before a claim. One that answers suffices; three that do not are a cut.
const PROBED_WORKERS: usize = 3;

/// How long a process that has not read the list of workers waits for it before it claims one of their pools, and how often it
/// looks.
const LISTING_LIMIT: Duration = Duration::from_millis(350);
const LISTING_LOOK: Duration = Duration::from_millis(10);

/// How long a worker has for taking a connection before a claim.
const PROBE_LIMIT: Duration = Duration::from_millis(200);

/// When customers may come back that were refused because a pool has no owner at the moment.
const OWNERLESS_RETRY: Duration = Duration::from_secs(1);

/// A pool that this node owns, and who waits for its jobs.
pub(crate) struct OwnedPool {
    pub(crate) pool: WorkerPool,
    waiters: FastMap<WaiterId, oneshot::Sender<JobOutcome>>,
    /// Workers that a former owner still uses.
    awaited: FastMap<LifeId, WorkerRecord>,
}

/// Does something with a pool, if this node owns it, and carries out what comes of it.
pub(crate) fn with_pool(
    state: &Rc<NodeState>,
    id: &PoolId,
    act: impl FnOnce(&mut WorkerPool, Instant),
) {
    let now = state.now();
    let mut pools = state.pools.borrow_mut();
    let Some(owned) = pools.get_mut(id) else {
        return;
    };
    act(&mut owned.pool, now);
    let fence = owned.pool.fence();
    for note in owned.pool.take_notes() {
        notes::log_pool(state, id, fence, &note);
    }
    let mut let_go = false;
    for action in owned.pool.take_actions() {
        match action {
            PoolAction::Answer { waiter, outcome } => {
                if let Some(sender) = owned.waiters.remove(&waiter) {
                    // A waiter that is gone has cancelled its job.
                    let _gone = sender.send(outcome);
                }
            }
            PoolAction::LetGo => let_go = true,
            PoolAction::Keep(order) => keeping::keep(state, id, fence, order),
            action => send(state, id, fence, action),
        }
    }
    drop(pools);
    if let_go {
        state.keeper.borrow_mut().on_let_go(id);
        release(state, id, "fenced_out");
    }
}

/// Sends one call to a worker and hands its answer to the pool that asked for it.
fn send(state: &Rc<NodeState>, id: &PoolId, fence: FenceToken, action: PoolAction) {
    let (state, id) = (state.clone(), id.clone());
    let sent = state.now();
    actix_rt::spawn(async move {
        match action {
            PoolAction::Start(order) => {
                let answer = std::pin::pin!(state.workers.start(&order));
                let overdue = std::pin::pin!(actix_rt::time::sleep(order.overdue));
                let answer = match select(answer, overdue).await {
                    Either::Left((answer, _)) => answer,
                    Either::Right(((), answer)) => {
                        with_fenced(&state, &id, fence, |p, now| p.on_start_overdue(now, &order));
                        answer.await
                    }
                };
                with_fenced(&state, &id, fence, |p, now| {
                    p.on_start_answer(now, &order, answer)
                });
            }
            PoolAction::Stop(order) => {
                let answer = state.workers.stop(&order).await;
                with_fenced(&state, &id, fence, |p, now| {
                    p.on_stop_answer(now, &order, answer)
                });
            }
            PoolAction::Look(order) => {
                let answer = state.workers.look(&order).await;
                with_fenced(&state, &id, fence, |pool, now| {
                    pool.on_look_answer(now, sent, &order, answer);
                });
            }
            PoolAction::Answer { .. } | PoolAction::LetGo | PoolAction::Keep(_) => (),
        }
    });
}

/// As [`with_pool`], but only while the pool is held under the fence under which the call was sent.
pub(crate) fn with_fenced(
    state: &Rc<NodeState>,
    id: &PoolId,
    fence: FenceToken,
    act: impl FnOnce(&mut WorkerPool, Instant),
) {
    let held = state.pools.borrow().get(id).map(|owned| owned.pool.fence());
    if held == Some(fence) {
        with_pool(state, id, act);
    }
}

/// Lets go of a pool: its jobs may run on until their leases end, and their customers are told to try again.
pub(crate) fn release(state: &Rc<NodeState>, id: &PoolId, why: &'static str) {
    let Some(owned) = state.pools.borrow_mut().remove(id) else {
        return;
    };
    let line = EventLine::new("pool_released")
        .text("pool", id)
        .number("fence", owned.pool.fence().0)
        .text("why", why)
        .number("open_jobs", owned.waiters.len() as u64);
    state.log(EventKind::Important, line);
    for (_, sender) in owned.waiters {
        let _gone = sender.send(JobOutcome::GivenUp);
    }
}

/// Takes what the store says about a claim.
pub(crate) fn take_claim(
    state: &Rc<NodeState>,
    id: &PoolId,
    row: ClaimRow,
    version: RowVersion,
    store_clock: Duration,
) {
    let me = state.keeper.borrow().me().clone();
    let mine = row.node == me.node && row.incarnation == me.incarnation;
    state
        .keeper
        .borrow_mut()
        .on_claim(state.now(), id.clone(), row, version.0);
    let held = state
        .pools
        .borrow()
        .get(id)
        .map(|owned| owned.pool.fence().0);
    // An owner that hands its pool over finishes its jobs beside its successor, on the workers that they use.
    if held.is_some_and(|held| held < version.0) && !state.hands_over(id) {
        release(state, id, "claimed_by_another");
    }
    // A claim whose answer was lost shows up here.
    if mine && held.is_none_or(|held| held < version.0) && !state.leaving.get() {
        take_up(state, id, version, store_clock);
    }
}

/// All claims up to a version of the store are known: the pools that are still this node's have no later owner up to it.
pub(crate) fn note_sole_owner(state: &NodeState, version: u64) {
    for owned in state.pools.borrow_mut().values_mut() {
        owned.pool.note_sole_owner(version);
    }
}

fn take_up(state: &Rc<NodeState>, id: &PoolId, version: RowVersion, store_clock: Duration) {
    let start = PoolStart {
        home: Arc::from(id.to_string()),
        fence: FenceToken(version.0),
        platform_millis: u64::try_from(store_clock.as_millis()).unwrap_or(u64::MAX),
        far_factor: state.settings.far_factor,
        evacuated: state.evacuations.borrow().contains(&id.data_centre),
        settings: state.pool_settings.clone(),
    };
    let owned = OwnedPool {
        pool: WorkerPool::new(start, state.now()),
        waiters: FastMap::default(),
        awaited: FastMap::default(),
    };
    state.pools.borrow_mut().insert(id.clone(), owned);
    tell_awaiting(state, id);
    let workers = state.directory.borrow().of_pool(id);
    let line = EventLine::new("pool_taken")
        .text("pool", id)
        .number("fence", version.0)
        .number("workers", workers.len() as u64);
    state.log(EventKind::Important, line);
    if !state.directory.borrow().is_current(state.now()) {
        state.unfilled.borrow_mut().push(id.clone());
        state.wake_workers.notify_one();
        return;
    }
    for worker in workers {
        put_worker(state, id, worker);
    }
}

/// Tells pools of their workers that were taken over while the directory was not current: a worker that has begun to drain
/// since would get runs.
pub(crate) fn fill_pools(state: &Rc<NodeState>) {
    if !state.directory.borrow().is_current(state.now()) {
        return;
    }
    let unfilled = std::mem::take(&mut *state.unfilled.borrow_mut());
    for id in unfilled {
        let workers = state.directory.borrow().of_pool(&id);
        for worker in workers {
            put_worker(state, &id, worker);
        }
    }
}

/// Tells a pool of a worker, or keeps it for later while a former owner uses it: a look under the higher fence would
/// turn away that owner's orders and end its jobs.
pub(crate) fn put_worker(state: &Rc<NodeState>, id: &PoolId, worker: WorkerRecord) {
    if let Some(owned) = state.pools.borrow_mut().get_mut(id) {
        if !owned.pool.has_worker(&worker.life) {
            // A pool that is being handed over gets no worker back that it has let go of.
            if state.hands_over(id) {
                return;
            }
            let held = state.keeper.borrow().held_workers(state.now(), id);
            if held.contains(&worker.life) {
                owned.awaited.insert(worker.life.clone(), worker);
                return;
            }
        }
    }
    with_pool(state, id, |pool, now| pool.put_worker(now, worker));
}

/// Tells a pool whether a former owner still finishes jobs of it.
fn tell_awaiting(state: &Rc<NodeState>, id: &PoolId) {
    let shared = state.keeper.borrow().is_shared(state.now(), id);
    let filled = !state.unfilled.borrow().contains(id);
    let listed = filled && !state.directory.borrow().is_doubtful(state.now());
    with_pool(state, id, |pool, now| {
        pool.set_surroundings(now, shared, listed);
    });
}

/// Takes the workers that former owners have let go of.
pub(crate) fn take_awaited(state: &Rc<NodeState>, id: &PoolId) {
    tell_awaiting(state, id);
    let awaits = state
        .pools
        .borrow()
        .get(id)
        .is_some_and(|owned| !owned.awaited.is_empty());
    if !awaits {
        return;
    }
    let held = state.keeper.borrow().held_workers(state.now(), id);
    let mut free = Vec::new();
    if let Some(owned) = state.pools.borrow_mut().get_mut(id) {
        owned.awaited.retain(|life, worker| {
            let stays = held.contains(life);
            if !stays {
                free.push(worker.clone());
            }
            stays
        });
    }
    for worker in free {
        with_pool(state, id, |pool, now| pool.put_worker(now, worker));
    }
}

/// How long a pool is offered to a process that suits it better before it is kept after all.
const YIELD_LIMIT: Duration = Duration::from_millis(3_000);

/// Hands over what is being handed over, or begins to, or gives it up when nobody takes it.
pub(crate) fn keep_yielding(state: &Rc<NodeState>) {
    let now = state.now();
    let yielding = state.yielding.borrow().clone();
    let Some((id, since)) = yielding else {
        let wanted = state.keeper.borrow().pool_to_yield(now);
        let wanted = wanted.filter(|_| state.has(Mechanism::Yielding));
        if let Some(id) = wanted.filter(|id| state.pools.borrow().contains_key(id)) {
            state.log(
                EventKind::Important,
                EventLine::new("pool_yielded").text("pool", &id),
            );
            *state.yielding.borrow_mut() = Some((id.clone(), now));
            with_pool(state, &id, |pool, _| pool.stop_accepting());
        }
        return;
    };
    let mine = state
        .keeper
        .borrow()
        .owner(now, &id)
        .is_some_and(|owner| owner.here);
    if !mine {
        let open = state
            .pools
            .borrow()
            .get(&id)
            .map_or(0, |owned| owned.pool.open_jobs());
        if open == 0 {
            release(state, &id, "yielded");
            *state.yielding.borrow_mut() = None;
        }
        return;
    }
    if now >= since + YIELD_LIMIT {
        *state.yielding.borrow_mut() = None;
        with_pool(state, &id, |pool, _| pool.accept_again());
        let workers = state.directory.borrow().of_pool(&id);
        for worker in workers {
            put_worker(state, &id, worker);
        }
    }
}

/// A worker is gone for good.
pub(crate) fn drop_worker(state: &Rc<NodeState>, id: &PoolId, life: &LifeId) {
    if let Some(owned) = state.pools.borrow_mut().get_mut(id) {
        owned.awaited.remove(life);
    }
    with_pool(state, id, |pool, now| pool.drop_worker(now, life));
}

/// Carries out what the claim keeper asks for.
pub(crate) fn act_on_claims(state: &Rc<NodeState>, actions: Vec<ClaimAction>) {
    for action in actions {
        let state = state.clone();
        match action {
            ClaimAction::Probe(pool) => {
                actix_rt::spawn(async move {
                    let reachable = probe(&state, &pool).await;
                    let now = state.now();
                    state.keeper.borrow_mut().on_probe(now, &pool, reachable);
                    let line = EventLine::new("pool_probed")
                        .text("pool", &pool)
                        .text("reachable", reachable);
                    state.log(EventKind::Important, line);
                });
            }
            ClaimAction::Claim { pool, expected } => {
                actix_rt::spawn(async move { claim(&state, &pool, expected).await });
            }
        }
    }
}

/// Has the list of workers read, if it is not known which are the pool's.
async fn list_workers(state: &Rc<NodeState>, pool: &PoolId) {
    let limit = state.now() + LISTING_LIMIT;
    while state.directory.borrow().of_pool(pool).is_empty() && state.now() < limit {
        state.wake_workers.notify_one();
        actix_rt::time::sleep(LISTING_LOOK).await;
    }
}

/// Whether any of a few workers of the pool takes a connection.
async fn probe(state: &Rc<NodeState>, pool: &PoolId) -> bool {
    list_workers(state, pool).await;
    let workers = state.directory.borrow().of_pool(pool);
    let mut tries = Vec::new();
    for worker in workers.iter().take(PROBED_WORKERS) {
        tries.push(timeout(PROBE_LIMIT, TcpStream::connect(worker.address)));
    }
    let answers = futures::future::join_all(tries).await;
    answers.iter().any(|answer| matches!(answer, Ok(Ok(_))))
}

async fn claim(state: &Rc<NodeState>, pool: &PoolId, expected: u64) {
    let me = state.keeper.borrow().me().clone();
    let row = ClaimRow {
        node: me.node,
        incarnation: me.incarnation,
        address: me.address,
    };
    let Ok(value) = serde_json::to_vec(&row) else {
        return;
    };
    let write = RowWrite {
        table: StoreTable::Claims,
        key: pool.to_string(),
        value,
        expected: Some(RowVersion(expected)),
    };
    let transaction = Transaction::of(write);
    let answer = state.store.transact(&transaction).await;
    let end = match &answer {
        Ok(_) => ClaimEnd::Answered,
        Err(_) => ClaimEnd::TurnedAway,
    };
    let mut line = EventLine::new("claim_answered")
        .text("pool", pool)
        .number("expected", expected);
    match answer {
        Ok(TransactionEnd::Done { version, clock }) => {
            line = line.text("outcome", "won").number("fence", version.0);
            take_claim(state, pool, row, version, clock);
        }
        Ok(TransactionEnd::Conflict) => line = line.text("outcome", "conflict"),
        // It may still take effect: then the claims' feed shows it.
        Err(error) => line = line.text("outcome", "unknown").text("error", error),
    }
    let now = state.now();
    state.keeper.borrow_mut().on_claim_end(now, pool, end);
    state.log(EventKind::Important, line);
}

/// A job that waits for its outcome. Dropping it cancels the job.
struct JobWait {
    state: Rc<NodeState>,
    pool: PoolId,
    fence: FenceToken,
    job: JobId,
    waiter: WaiterId,
    answered: bool,
}

impl Drop for JobWait {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let (job, waiter) = (self.job, self.waiter);
        if let Some(owned) = self.state.pools.borrow_mut().get_mut(&self.pool) {
            owned.waiters.remove(&waiter);
        }
        with_fenced(&self.state, &self.pool, self.fence, |p, now| {
            p.cancel(now, job, waiter)
        });
    }
}

/// Runs a job in a pool that this node owns.
pub(crate) async fn run_here(state: Rc<NodeState>, id: PoolId, call: JobCall) -> JobOutcome {
    let not_serving = JobOutcome::Refused {
        kind: RefusalKind::NotServing,
        retry_after: OWNERLESS_RETRY,
        fits: 0,
    };
    let waiter = WaiterId(state.next_waiter.get());
    state.next_waiter.set(waiter.0 + 1);
    let (sender, receiver) = oneshot::channel();
    let job = call.request.id;
    let fence = {
        let mut pools = state.pools.borrow_mut();
        let Some(owned) = pools.get_mut(&id) else {
            return not_serving;
        };
        owned.waiters.insert(waiter, sender);
        owned.pool.fence()
    };
    let mut wait = JobWait {
        state: state.clone(),
        pool: id.clone(),
        fence,
        job,
        waiter,
        answered: false,
    };
    let JobCall { request, terms, .. } = call;
    with_pool(&state, &id, |pool, now| {
        pool.submit(now, waiter, request, terms)
    });
    let outcome = receiver.await.unwrap_or(JobOutcome::GivenUp);
    wait.answered = true;
    outcome
}

/// What this node offers to the entries of other nodes.
pub(crate) struct PoolPort {
    pub(crate) state: Rc<NodeState>,
}

/// How many tasks of a job a pool of this node could take in time now.
pub(crate) fn offer_here(state: &Rc<NodeState>, call: &JobCall) -> u32 {
    let now = state.now();
    let mut pools = state.pools.borrow_mut();
    match pools.get_mut(&call.pool) {
        Some(owned) if !state.has_paused() => owned.pool.offer(now, &call.request, &call.terms),
        _ => 0,
    }
}

impl PoolService for PoolPort {
    fn offer(&self, call: JobCall) -> u32 {
        offer_here(&self.state, &call)
    }

    fn run(&self, call: JobCall) -> LocalBoxFuture<'static, JobOutcome> {
        let state = self.state.clone();
        Box::pin(async move {
            if state.has_paused() {
                return JobOutcome::Refused {
                    kind: RefusalKind::NotServing,
                    retry_after: OWNERLESS_RETRY,
                    fits: 0,
                };
            }
            let pool = call.pool.clone();
            let lost = state.lost_peer(&call.entry);
            let entry = call.entry.clone();
            let run = std::pin::pin!(run_here(state.clone(), pool, call));
            let lost = std::pin::pin!(lost.notified());
            match select(run, lost).await {
                Either::Left((outcome, _)) => outcome,
                // The entry is not heard: its customer has been told to try again, or soon will be.
                Either::Right(_) => {
                    log_entry_lost(&state, &entry);
                    JobOutcome::GivenUp
                }
            }
        })
    }
}

fn log_entry_lost(state: &NodeState, entry: &NodeId) {
    let line = EventLine::new("job_cancelled")
        .text("why", "entry_silent")
        .text("entry", entry);
    state.log(EventKind::Important, line);
}
