//! Claims pools, and carries out the actions of the pools that this node owns.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use claims::{ClaimAction, ClaimOutcome, ClaimRow, NodeId};
use futures::future::{select, Either};
use jobs::{
    FenceToken, InstanceId, JobId, JobOutcome, JobTerms, PoolId, RefusalKind, WorkerRecord,
};
use model::{FastMap, Mechanism, PlacementPolicy};
use peer::JobCall;
use platform::RowVersion;
use platform_adapter::{RowWrite, StoreTable, Transaction, TransactionOutcome};
use pool::{CallFailure, PoolAction, PoolInit, StartAnswer, StartProfile, WaiterId, WorkerPool};
use telemetry::{EventKind, EventLine};
use tokio::{net::TcpStream, sync::oneshot, time::timeout};

use crate::{
    attempts, event_lines, kept_jobs, pause,
    pool_port::{aged_call, LeaseWatch},
    run_time_news,
    state::NodeState,
};

/// The most workers of a pool that are probed before it is claimed, of those whose entries were written last and of the
/// others. One that accepts a connection suffices; if none does, this node is cut off from the pool. With a fixed choice,
/// a few entries of lost workers, or of another writer, would keep the pool without an owner.
const MAX_PROBED_WORKERS: usize = 3;
const MAX_PROBED_OTHERS: usize = 3;

/// How long a process that knows no workers of a pool waits for the list of workers before it probes and claims the
/// pool, and the interval at which it checks the list meanwhile.
const WORKER_LIST_TIMEOUT: Duration = Duration::from_millis(350);
const WORKER_LIST_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The time within which a worker must accept a connection when it is probed before a claim.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// The retry delay for customers that were refused because a pool has no owner at the moment.
const NOT_SERVING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The outcome of a job that reaches a node that does not serve its pool, or that a pause held up before a pool took it.
pub(crate) const NOT_SERVING: JobOutcome = JobOutcome::Refused {
    kind: RefusalKind::NotServing,
    retry_after: NOT_SERVING_RETRY_AFTER,
    fits: 0,
};

/// A pool that this node owns, with the callers that wait for the outcomes of its jobs.
pub(crate) struct OwnedPool {
    pub(crate) pool: WorkerPool,
    /// The start profile in the last heartbeat, and when it was computed.
    pub(crate) published_profile: Option<(StartProfile, Instant)>,
    waiters: FastMap<WaiterId, oneshot::Sender<JobOutcome>>,
    /// The attempts of other nodes' entries, by their waiters.
    leased_attempts: FastMap<WaiterId, LeasedJob>,
    /// Workers that a former owner still uses. They are added to the pool once that owner has released them.
    deferred_workers: FastMap<InstanceId, WorkerRecord>,
}

/// A job that runs only until the lease of its attempt is over.
struct LeasedJob {
    job: JobId,
    watch: LeaseWatch,
}

impl OwnedPool {
    /// Cancels the attempts whose lease is over. `since_boot` is the time since boot.
    ///
    /// Their timers may fire only after an answer of a worker was handled, if the process stood still for less than a
    /// pause. That answer would then lead to a poll that renews their runs for a whole lease.
    fn cancel_lapsed_attempts(&mut self, now: Instant, since_boot: Duration) {
        let pool = &mut self.pool;
        self.leased_attempts.retain(|waiter, leased| {
            let runs_on = leased.watch.time_left(since_boot).is_some();
            if !runs_on {
                pool.cancel(now, leased.job, *waiter);
            }
            runs_on
        });
    }
}

/// Applies `update` to a pool if this node owns it, then logs the pool's events and carries out its actions. Before
/// that, the pool lets go of all jobs if the process has paused, and of the attempts whose lease is over.
pub(crate) fn with_pool(
    state: &Rc<NodeState>,
    id: &PoolId,
    update: impl FnOnce(&mut WorkerPool, Instant),
) {
    // Read first: what is granted counts from before the checks, so a freeze after them cannot lengthen it.
    let now = state.now();
    pause::notice(state);
    let since_boot = state.clock.since_boot();
    let mut pools = state.pools.borrow_mut();
    let Some(owned) = pools.get_mut(id) else {
        return;
    };
    owned.cancel_lapsed_attempts(now, since_boot);
    update(&mut owned.pool, now);
    let fence = owned.pool.fence();
    for event in owned.pool.take_events() {
        event_lines::log_pool_event(state, id, fence, &event);
    }
    let mut fenced_out = false;
    for action in owned.pool.take_actions() {
        match action {
            PoolAction::Answer { waiter, outcome } => {
                if let Some(sender) = owned.waiters.remove(&waiter) {
                    // The receiver is gone if the job was cancelled.
                    let _gone = sender.send(outcome);
                }
            }
            PoolAction::ReleasePool => fenced_out = true,
            PoolAction::WriteKeptJob(order) => kept_jobs::queue_write(state, id, fence, order),
            PoolAction::StoreForeignEnd(end) => {
                kept_jobs::store_foreign_end(state, id, fence, end);
            }
            PoolAction::FindAttempts { job, attempt } => {
                attempts::find(state, id, fence, job, attempt);
            }
            PoolAction::RegisterAttempt(order) => attempts::register(state, id, fence, order),
            PoolAction::RemoveRegistrations(job) => state.attempts.end_job(id, job),
            action => send_worker_call(state, id, fence, action),
        }
    }
    drop(pools);
    if fenced_out {
        state.claim_controller.borrow_mut().on_released(id);
        release_pool(state, id, "fenced_out");
    }
}

/// Applies `update` to all pools that this node owns.
pub(crate) fn for_each_pool(state: &Rc<NodeState>, update: impl Fn(&mut WorkerPool, Instant)) {
    let pools: Vec<_> = state.pools.borrow().keys().cloned().collect();
    for id in pools {
        with_pool(state, &id, &update);
    }
}

/// Sends a call to a worker and passes the answer to the pool that requested it.
fn send_worker_call(state: &Rc<NodeState>, id: &PoolId, fence: FenceToken, action: PoolAction) {
    let (state, id) = (state.clone(), id.clone());
    let sent = state.now();
    let decided = state.pauses.borrow().count();
    actix_rt::spawn(async move {
        match action {
            // The process paused between the decision and its first turn here. The job was let go meanwhile.
            PoolAction::Start(order) if pause::notice(&state) != decided => {
                let answer = StartAnswer::Failed(CallFailure::NotSent);
                with_fenced_pool(&state, &id, fence, |p, now| {
                    p.on_start_answer(now, &order, answer)
                });
            }
            PoolAction::Start(order) => {
                let answer = std::pin::pin!(state.worker_client.start(&order));
                let overdue = std::pin::pin!(actix_rt::time::sleep(order.overdue_after));
                let answer = match select(answer, overdue).await {
                    Either::Left((answer, _)) => answer,
                    Either::Right(((), answer)) => {
                        with_fenced_pool(&state, &id, fence, |p, now| {
                            p.on_start_overdue(now, &order)
                        });
                        answer.await
                    }
                };
                with_fenced_pool(&state, &id, fence, |p, now| {
                    p.on_start_answer(now, &order, answer)
                });
            }
            PoolAction::Stop(order) => {
                let answer = state.worker_client.stop(&order).await;
                with_fenced_pool(&state, &id, fence, |p, now| {
                    p.on_stop_answer(now, &order, answer)
                });
            }
            PoolAction::Poll(order) => {
                let answer = state.worker_client.poll(&order).await;
                with_fenced_pool(&state, &id, fence, |pool, now| {
                    pool.on_poll_answer(now, sent, &order, answer);
                });
            }
            PoolAction::Answer { .. }
            | PoolAction::ReleasePool
            | PoolAction::WriteKeptJob(_)
            | PoolAction::StoreForeignEnd(_)
            | PoolAction::FindAttempts { .. }
            | PoolAction::RegisterAttempt(_)
            | PoolAction::RemoveRegistrations(_) => (),
        }
    });
}

/// Like [`with_pool`], but only if the pool is still held under `fence`, the fencing token under which the call was
/// sent.
pub(crate) fn with_fenced_pool(
    state: &Rc<NodeState>,
    id: &PoolId,
    fence: FenceToken,
    update: impl FnOnce(&mut WorkerPool, Instant),
) {
    let held_fence = state.pools.borrow().get(id).map(|owned| owned.pool.fence());
    if held_fence == Some(fence) {
        with_pool(state, id, update);
    }
}

/// Releases a pool. The runs of its jobs may continue until their leases end, and the jobs' callers get the outcome
/// [`JobOutcome::GivenUp`].
pub(crate) fn release_pool(state: &Rc<NodeState>, id: &PoolId, reason: &'static str) {
    let Some(owned) = state.pools.borrow_mut().remove(id) else {
        return;
    };
    state.attempts.forget_pool(id);
    let line = EventLine::new("pool_released")
        .text("pool", id)
        .number("fence", owned.pool.fence().0)
        .text("why", reason)
        .number("open_jobs", owned.waiters.len() as u64);
    state.log(EventKind::Important, line);
    for (_, sender) in owned.waiters {
        let _gone = sender.send(JobOutcome::GivenUp);
    }
}

/// Applies a claim row of the store: releases the pool if another process has claimed it, and opens it if the claim
/// is this process's own.
pub(crate) fn apply_claim(
    state: &Rc<NodeState>,
    id: &PoolId,
    row: ClaimRow,
    version: RowVersion,
    store_clock: Duration,
) {
    let own_row = state.claim_controller.borrow().own_row().clone();
    let former = state.claim_controller.borrow().owner(state.now(), id);
    let is_own_claim = row.node == own_row.node && row.incarnation == own_row.incarnation;
    state
        .claim_controller
        .borrow_mut()
        .on_claim(state.now(), id.clone(), row, version.0);
    let held_fence = state
        .pools
        .borrow()
        .get(id)
        .map(|owned| owned.pool.fence().0);
    // During a handover the former owner finishes its jobs beside its successor, on the workers that these jobs
    // use, so it does not release the pool yet.
    if held_fence.is_some_and(|held_fence| held_fence < version.0) && !state.is_handing_over(id) {
        release_pool(state, id, "claimed_by_another");
    }
    // The store's answer to this process's own claim may have been lost; then this row is the first to show that
    // the claim succeeded.
    if is_own_claim
        && held_fence.is_none_or(|held_fence| held_fence < version.0)
        && !state.leaving.get()
    {
        let former = former.map(|owner| owner.node);
        open_pool(state, id, version, store_clock, former.as_ref());
    }
}

/// Records that all claims up to `version` of the store are known: the pools that this node still owns have no
/// later owner up to that version.
pub(crate) fn record_sole_ownership(state: &NodeState, version: u64) {
    for owned in state.pools.borrow_mut().values_mut() {
        owned.pool.record_no_later_claim(version);
    }
}

fn open_pool(
    state: &Rc<NodeState>,
    id: &PoolId,
    version: RowVersion,
    store_clock: Duration,
    former: Option<&NodeId>,
) {
    let init = PoolInit {
        name: Arc::from(id.to_string()),
        fence: FenceToken(version.0),
        platform_millis: u64::try_from(store_clock.as_millis()).unwrap_or(u64::MAX),
        far_factor: state.settings.far_factor,
        evacuated: state.evacuations.borrow().contains(&id.data_centre),
        settings: state.pool_settings.clone(),
        seed: state.rng.borrow_mut().u64(..),
    };
    let mut pool = WorkerPool::new(init, state.now());
    run_time_news::adopt(state, id, former, &mut pool);
    let owned = OwnedPool {
        pool,
        published_profile: None,
        waiters: FastMap::default(),
        leased_attempts: FastMap::default(),
        deferred_workers: FastMap::default(),
    };
    state.pools.borrow_mut().insert(id.clone(), owned);
    update_takeover_state(state, id);
    let workers = state.directory.borrow().workers_of_pool(id);
    let line = EventLine::new("pool_taken")
        .text("pool", id)
        .number("fence", version.0)
        .number("workers", workers.len() as u64);
    state.log(EventKind::Important, line);
    if !state.directory.borrow().is_current(state.now()) {
        state.unpopulated_pools.borrow_mut().push(id.clone());
        state.worker_list_needed.notify_one();
        return;
    }
    for worker in workers {
        upsert_worker(state, id, worker);
    }
}

/// Adds the workers to pools that were opened while the worker directory was not current. With an outdated
/// directory, runs would be placed on workers that have begun to drain since.
pub(crate) fn populate_pools(state: &Rc<NodeState>) {
    if !state.directory.borrow().is_current(state.now()) {
        return;
    }
    let unpopulated = std::mem::take(&mut *state.unpopulated_pools.borrow_mut());
    for id in unpopulated {
        let workers = state.directory.borrow().workers_of_pool(&id);
        for worker in workers {
            upsert_worker(state, &id, worker);
        }
    }
}

/// Adds or updates a worker of a pool. A worker that a former owner still uses is deferred: polling it under the
/// higher fencing token would make it reject that owner's orders and end its jobs.
pub(crate) fn upsert_worker(state: &Rc<NodeState>, id: &PoolId, worker: WorkerRecord) {
    if let Some(owned) = state.pools.borrow_mut().get_mut(id) {
        if !owned.pool.has_worker(&worker.instance) {
            // A pool that is being handed over does not take back workers that it has released.
            if state.is_handing_over(id) {
                return;
            }
            let held = state
                .claim_controller
                .borrow()
                .held_workers(state.now(), id);
            if held.contains(&worker.instance) {
                owned
                    .deferred_workers
                    .insert(worker.instance.clone(), worker);
                return;
            }
        }
    }
    with_pool(state, id, |pool, now| pool.upsert_worker(now, worker));
}

/// Updates what a pool knows of its takeover: whether a former owner still finishes jobs of the pool, and whether all
/// workers that may run its jobs are listed.
fn update_takeover_state(state: &Rc<NodeState>, id: &PoolId) {
    let shared = state
        .claim_controller
        .borrow()
        .is_held_by_former_owner(state.now(), id);
    let populated = !state.unpopulated_pools.borrow().contains(id);
    let listed = populated && !state.directory.borrow().may_miss_workers(state.now());
    with_pool(state, id, |pool, now| {
        pool.set_takeover_state(now, shared, listed);
    });
}

/// Adds the deferred workers that former owners have released.
pub(crate) fn add_deferred_workers(state: &Rc<NodeState>, id: &PoolId) {
    update_takeover_state(state, id);
    let has_deferred = state
        .pools
        .borrow()
        .get(id)
        .is_some_and(|owned| !owned.deferred_workers.is_empty());
    if !has_deferred {
        return;
    }
    let held = state
        .claim_controller
        .borrow()
        .held_workers(state.now(), id);
    let mut released = Vec::new();
    if let Some(owned) = state.pools.borrow_mut().get_mut(id) {
        owned.deferred_workers.retain(|instance, worker| {
            let still_held = held.contains(instance);
            if !still_held {
                released.push(worker.clone());
            }
            still_held
        });
    }
    for worker in released {
        with_pool(state, id, |pool, now| pool.upsert_worker(now, worker));
    }
}

/// How long a pool is offered to a better-suited process before this process keeps it after all.
const YIELD_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Continues the handover in progress, starts one if another process suits a pool better, or cancels it if no
/// process takes the pool in time.
pub(crate) fn advance_handover(state: &Rc<NodeState>) {
    let now = state.now();
    let yielding = state.yielding_pool.borrow().clone();
    let Some((id, since)) = yielding else {
        let wanted = state.claim_controller.borrow().pool_to_hand_over(now);
        let wanted = wanted.filter(|_| state.is_enabled(Mechanism::Yielding));
        if let Some(id) = wanted.filter(|id| state.pools.borrow().contains_key(id)) {
            state.log(
                EventKind::Important,
                EventLine::new("pool_yielded").text("pool", &id),
            );
            *state.yielding_pool.borrow_mut() = Some((id.clone(), now));
            with_pool(state, &id, |pool, _| pool.stop_accepting());
        }
        return;
    };
    let still_owner = state
        .claim_controller
        .borrow()
        .owner(now, &id)
        .is_some_and(|owner| owner.here);
    if !still_owner {
        let open = state
            .pools
            .borrow()
            .get(&id)
            .map_or(0, |owned| owned.pool.open_jobs());
        if open == 0 {
            release_pool(state, &id, "yielded");
            *state.yielding_pool.borrow_mut() = None;
        }
        return;
    }
    if now >= since + YIELD_TIMEOUT {
        *state.yielding_pool.borrow_mut() = None;
        with_pool(state, &id, |pool, _| pool.resume_accepting());
        let workers = state.directory.borrow().workers_of_pool(&id);
        for worker in workers {
            upsert_worker(state, &id, worker);
        }
    }
}

/// Marks a worker as unlisted in a pool if this node owns the pool: its entry is gone or unusable, or it now belongs to
/// another pool.
pub(crate) fn unlist_worker(state: &Rc<NodeState>, id: &PoolId, instance: &InstanceId) {
    if let Some(owned) = state.pools.borrow_mut().get_mut(id) {
        owned.deferred_workers.remove(instance);
    }
    with_pool(state, id, |pool, now| pool.unlist_worker(now, instance));
}

/// Carries out the actions of the claim controller.
pub(crate) fn run_claim_actions(state: &Rc<NodeState>, actions: Vec<ClaimAction>) {
    for action in actions {
        let state = state.clone();
        match action {
            ClaimAction::Probe(pool) => {
                actix_rt::spawn(async move {
                    let reachable = probe(&state, &pool).await;
                    let now = state.now();
                    state
                        .claim_controller
                        .borrow_mut()
                        .on_probe_result(now, &pool, reachable);
                    let line = EventLine::new("pool_probed")
                        .text("pool", &pool)
                        .text("reachable", reachable);
                    state.log(EventKind::Important, line);
                });
            }
            ClaimAction::Claim { pool, expected } => {
                actix_rt::spawn(async move { write_claim(&state, &pool, expected).await });
            }
        }
    }
}

/// Requests the list of workers and waits for it while no workers of the pool are known.
async fn wait_for_worker_list(state: &Rc<NodeState>, pool: &PoolId) {
    let limit = state.now() + WORKER_LIST_TIMEOUT;
    while state.directory.borrow().workers_of_pool(pool).is_empty() && state.now() < limit {
        state.worker_list_needed.notify_one();
        actix_rt::time::sleep(WORKER_LIST_POLL_INTERVAL).await;
    }
}

/// Returns whether any of a few workers of the pool accepts a connection, or the pool has none: it is claimed for its kept
/// jobs then.
async fn probe(state: &Rc<NodeState>, pool: &PoolId) -> bool {
    wait_for_worker_list(state, pool).await;
    let mut workers = state.directory.borrow().workers_by_last_heartbeat(pool);
    if workers.is_empty() {
        return state.directory.borrow().is_current(state.now());
    }
    let others = workers.len().min(MAX_PROBED_WORKERS);
    state.rng.borrow_mut().shuffle(&mut workers[others..]);
    let mut attempts = Vec::new();
    for worker in workers.iter().take(MAX_PROBED_WORKERS + MAX_PROBED_OTHERS) {
        attempts.push(timeout(PROBE_TIMEOUT, TcpStream::connect(worker.address)));
    }
    let answers = futures::future::join_all(attempts).await;
    answers.iter().any(|answer| matches!(answer, Ok(Ok(_))))
}

async fn write_claim(state: &Rc<NodeState>, pool: &PoolId, expected: u64) {
    let own_row = state.claim_controller.borrow().own_row().clone();
    let row = ClaimRow {
        node: own_row.node,
        incarnation: own_row.incarnation,
        address: own_row.address,
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
    let transaction = Transaction::single_write(write);
    let answer = state.store.transact(&transaction).await;
    let outcome = match &answer {
        Ok(_) => ClaimOutcome::Decided,
        Err(_) => ClaimOutcome::Undecided,
    };
    let mut line = EventLine::new("claim_answered")
        .text("pool", pool)
        .number("expected", expected);
    match answer {
        Ok(TransactionOutcome::Committed { version, clock }) => {
            line = line.text("outcome", "won").number("fence", version.0);
            state.attempts.record_clock(state.now(), clock);
            apply_claim(state, pool, row, version, clock);
        }
        Ok(TransactionOutcome::Conflict) => line = line.text("outcome", "conflict"),
        // The claim may still take effect; then the feed of the claims table shows it.
        Err(error) => line = line.text("outcome", "unknown").text("error", error),
    }
    let now = state.now();
    state
        .claim_controller
        .borrow_mut()
        .on_claim_outcome(now, pool, outcome);
    state.log(EventKind::Important, line);
}

/// Cancels a job if it is dropped before the job's outcome has arrived.
struct JobCancelGuard {
    state: Rc<NodeState>,
    pool: PoolId,
    fence: FenceToken,
    job: JobId,
    waiter: WaiterId,
    answered: bool,
}

impl Drop for JobCancelGuard {
    fn drop(&mut self) {
        let (job, waiter) = (self.job, self.waiter);
        if let Some(owned) = self.state.pools.borrow_mut().get_mut(&self.pool) {
            owned.waiters.remove(&waiter);
            owned.leased_attempts.remove(&waiter);
        }
        if self.answered {
            return;
        }
        with_fenced_pool(&self.state, &self.pool, self.fence, |p, now| {
            p.cancel(now, job, waiter)
        });
    }
}

/// Runs a job in a pool that this node owns. The times of the call are those at `made_at`. `watch` tells until when the
/// attempt of another node's entry may run.
pub(crate) async fn run_locally(
    state: Rc<NodeState>,
    id: PoolId,
    mut call: JobCall,
    made_at: Instant,
    watch: Option<LeaseWatch>,
) -> JobOutcome {
    let waiter = WaiterId(state.next_waiter_id.get());
    state.next_waiter_id.set(waiter.0 + 1);
    let (sender, receiver) = oneshot::channel();
    let job = call.request.id;
    let fence = {
        let mut pools = state.pools.borrow_mut();
        let Some(owned) = pools.get_mut(&id) else {
            return NOT_SERVING;
        };
        owned.waiters.insert(waiter, sender);
        if let Some(watch) = watch {
            let leased = LeasedJob { job, watch };
            owned.leased_attempts.insert(waiter, leased);
        }
        owned.pool.fence()
    };
    let mut guard = JobCancelGuard {
        state: state.clone(),
        pool: id.clone(),
        fence,
        job,
        waiter,
        answered: false,
    };
    call.terms = with_origin(&state, call.terms);
    let other_job_bytes = other_job_bytes(&state, &id);
    with_pool(&state, &id, |pool, now| {
        let JobCall { request, terms, .. } =
            aged_call(call, now.saturating_duration_since(made_at));
        pool.set_other_job_bytes(other_job_bytes);
        pool.submit(now, waiter, request, terms)
    });
    let outcome = receiver.await.unwrap_or(JobOutcome::GivenUp);
    guard.answered = true;
    outcome
}

/// The memory that the jobs of all pools but this one take, in bytes.
fn other_job_bytes(state: &NodeState, id: &PoolId) -> u64 {
    let pools = state.pools.borrow();
    let others = pools.iter().filter(|(other, _)| *other != id);
    others.map(|(_, owned)| owned.pool.job_bytes()).sum()
}

/// Sets the data centre of a job whose entry did not state it, as older processes do not, to that of this node.
fn with_origin(state: &NodeState, mut terms: JobTerms) -> JobTerms {
    terms
        .origin
        .get_or_insert_with(|| state.settings.data_centre.clone());
    terms
}

/// Returns how many tasks of a job a pool of this node could take in time now, or 0 if this node does not own the
/// pool or has just paused.
pub(crate) fn offer_locally(state: &Rc<NodeState>, call: &JobCall) -> u32 {
    let now = state.now();
    let terms = with_origin(state, call.terms.clone());
    let mut pools = state.pools.borrow_mut();
    let owned = pools.get_mut(&call.pool);
    let Some(owned) = owned.filter(|_| !state.has_paused()) else {
        return 0;
    };
    let held = owned.pool.held_tasks(now);
    let fits = owned.pool.offer(now, &call.request, &terms);
    if state.pool_settings.policies.placement == PlacementPolicy::ExpectedEnd {
        event_lines::log_offer(state, call, fits, held);
    }
    fits
}
