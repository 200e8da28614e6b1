//! The entry of a job: submits the job that a customer has sent to this node to the owners of pools.

mod offer_round;

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use claims::OwnerView;
use futures::{future::LocalBoxFuture, stream::FuturesUnordered, FutureExt as _, StreamExt as _};
use jobs::{
    JobAttemptId, JobOutcome, JobRequest, JobTerms, PoolId, RefusalKind, RouteRule, StepSpec,
};
use kernel::PauseCount;
use model::{Mechanism, PlacementPolicy, ReturnPolicy};
use peer::JobCall;
use pool::{divide_step, order_pools, PoolCandidate};
use telemetry::{EventKind, EventLine};
use tokio::time::{sleep, timeout};

pub(crate) use offer_round::OfferOutcome;

use crate::{owner, pause, state::NodeState};

/// The retry delay for customers while no owner of a pool can be reached. An owner is replaced within a second.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The time after a process's start within which pools are expected to get their owners.
const STARTUP_PERIOD: Duration = Duration::from_millis(2_000);

/// How long a job waits for a pool to get an owner during startup.
const OWNER_WAIT_TIMEOUT: Duration = Duration::from_millis(300);

/// The interval at which a waiting job checks whether a pool has an owner.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The most pools that are asked for offers for one job. The nearest pool takes the job unless it is full; each
/// further pool costs a round trip of a few milliseconds, and a wide job of short tasks has time for only a few of
/// these.
const MAX_OFFER_POOLS: usize = 6;

/// The time within which an owner must answer with its offer. A later offer does not help a wide job of short
/// tasks.
const OFFER_TIMEOUT: Duration = Duration::from_millis(80);

/// The expected free capacity of all pools that are asked for offers, as a multiple of the capacity that the job needs.
/// It is above one because the known loads of pools are up to half a second old.
const OFFER_CAPACITY_FACTOR: u64 = 2;

/// The share of the link in use above which fewer offers are requested. On links that could carry hundreds of times
/// the offer requests that are sent, all pools are asked, because fewer jobs are then refused.
const BUSY_LINK_SHARE: f64 = 0.45;

/// The shortest stated time until a customer comes again: in the protocol, 0 means that it is not stated.
const MIN_RETRY_IN: Duration = Duration::from_micros(1);

/// A customer's job as it arrived.
pub(crate) struct EntryJob {
    pub(crate) request: Arc<JobRequest>,
    pub(crate) rule: Rc<RouteRule>,
    pub(crate) arrived: Instant,
    /// How many pauses of this process had been noticed by then.
    pub(crate) pauses: PauseCount,
    /// A lower bound on the time for which the customer had been trying before this request arrived, because an
    /// earlier connection was cut or no process could take the job.
    pub(crate) age: Duration,
    /// When its customer stops waiting.
    pub(crate) deadline: Instant,
    /// A time that is not after the customer sent the last byte of the request. Its connection may have broken right then.
    pub(crate) sent_after: Instant,
    /// Tells this attempt from others at the same job.
    pub(crate) attempt_id: JobAttemptId,
}

/// A pool's offer: how many tasks of a job its owner could take in time. The owner states this when it refuses the
/// whole job, or when it is asked for an offer.
struct PartOffer {
    pool: PoolId,
    owner: OwnerView,
    fits: u32,
}

/// A pool that a job can be submitted to.
struct EligiblePool {
    pool: PoolId,
    owner: OwnerView,
    /// Whether the pool is in this data centre.
    is_local: bool,
    /// The pool's expected free processor capacity, in thousandths of a core.
    free_capacity: i64,
}

/// A part of a job for one pool.
struct JobPart {
    pool: PoolId,
    owner: OwnerView,
    step: StepSpec,
}

/// Runs a job to its end: in one pool if one takes the whole job, otherwise divided among pools that can take it
/// together.
///
/// The job is submitted to the first pool directly. If that pool refuses it, the others are asked for offers, all
/// pools at the same distance at once and without the job's text. Submitting the job to one pool after another
/// would cost a round trip and the bytes of the whole job each time, which alone fills narrow links.
pub(crate) async fn run_job(state: &Rc<NodeState>, job: &EntryJob) -> JobOutcome {
    wait_for_owner(state, job).await;
    if places_by_expected_end(state) {
        return offer_round::run_job(state, job).await;
    }
    let mut last_refusal = no_pool_refusal(state);
    let mut offers = Vec::new();
    let mut pools = rank_pools(state, &job.request).into_iter();
    for EligiblePool { pool, owner, .. } in pools.by_ref() {
        let Some(outcome) = submit_before_deadline(state, job, &pool, &owner, None).await else {
            continue;
        };
        let JobOutcome::Refused { fits, .. } = outcome else {
            return outcome;
        };
        last_refusal = outcome;
        offers.push(PartOffer { pool, owner, fits });
        break;
    }
    let (local, remote) = select_offer_pools(state, &job.request, pools.collect());
    for pools in [local, remote] {
        if can_divide(state, &job.request) && offers_suffice(&job.request, &offers) {
            break;
        }
        let more = collect_offers(state, job, pools).await;
        let whole_offer = more
            .iter()
            .find(|offer| fits_whole_job(&job.request, offer));
        if let Some(PartOffer { pool, owner, .. }) = whole_offer {
            match submit_before_deadline(state, job, pool, owner, None).await {
                Some(refusal @ JobOutcome::Refused { .. }) => {
                    last_refusal = later_refusal(state, last_refusal, refusal);
                }
                None => (),
                Some(outcome) => return outcome,
            }
        }
        offers.extend(more);
    }
    if is_held_up(state, job) {
        return refuse_held_up(state, job);
    }
    match divide_job(state, &job.request, offers) {
        Some(parts) => run_parts(state, job, &parts).await,
        None => last_refusal,
    }
}

fn places_by_expected_end(state: &NodeState) -> bool {
    state.pool_settings.policies.placement == PlacementPolicy::ExpectedEnd
}

/// Returns the refusal to answer with after a second pool has refused the job: with scheduled returns, the one whose
/// owner expects the caller later, since at the earlier time that pool would not take the job. An owner that has only
/// offered less than the whole states no time; its own record of the job then serves a caller that returns there.
fn later_refusal(state: &NodeState, first: JobOutcome, second: JobOutcome) -> JobOutcome {
    let is_scheduled = state.pool_settings.policies.returns == ReturnPolicy::Scheduled;
    let scheduled_time = |outcome| match outcome {
        JobOutcome::Refused {
            kind: RefusalKind::TooLate | RefusalKind::QueueFull | RefusalKind::OverShare,
            retry_after,
            ..
        } => Some(retry_after),
        _ => None,
    };
    match is_scheduled && scheduled_time(first) < scheduled_time(second) {
        true => second,
        false => first,
    }
}

/// Returns whether the process has paused since the job arrived.
///
/// The customer may have given up on this process and run the job elsewhere. An answer of an owner that waited in its
/// socket must not lead to another submission then. Each submission and each round of offers checks this first, with
/// no wait in between, so only a call that was already made can be delayed further.
fn is_held_up(state: &Rc<NodeState>, job: &EntryJob) -> bool {
    pause::notice(state) != job.pauses
}

/// Returns the refusal of a job that was held up, and logs it. Nothing of the job runs: what was submitted before the
/// pause has been refused.
fn refuse_held_up(state: &NodeState, job: &EntryJob) -> JobOutcome {
    let line = EventLine::new("job_held_up").text("job", job.request.id);
    let waited = state.now().saturating_duration_since(job.arrived);
    state.log(EventKind::Important, line.millis("waited_ms", waited));
    owner::NOT_SERVING
}

/// Waits for a pool to get an owner while the process is new.
///
/// When all processes restart at once under load, the customers whose requests were interrupted retry at that moment.
/// Pools get owners some tenths of a second later, which is in time for most jobs; if these jobs were refused at once,
/// they would fail for their customers.
async fn wait_for_owner(state: &Rc<NodeState>, job: &EntryJob) {
    let until = (job.arrived + OWNER_WAIT_TIMEOUT)
        .min(state.started + STARTUP_PERIOD)
        .min(job.deadline);
    while reachable_pools(state).is_empty() && state.now() < until {
        sleep(OWNER_POLL_INTERVAL).await;
    }
}

/// Returns the refusal of a job that cannot be submitted to any pool.
fn no_pool_refusal(state: &NodeState) -> JobOutcome {
    let kind = match reachable_pools(state).is_empty() {
        true => RefusalKind::Unreachable,
        false => RefusalKind::Evacuated,
    };
    JobOutcome::Refused {
        kind,
        retry_after: NO_OWNER_RETRY_AFTER,
        fits: 0,
    }
}

/// Selects the pools to ask for offers, separated into those of this data centre and the others. If the link is busy,
/// only pools that seem to have free capacity are selected, and only until their expected free capacity is
/// [`OFFER_CAPACITY_FACTOR`] times what the job needs: the others would most likely offer nothing or not be needed.
fn select_offer_pools(
    state: &NodeState,
    request: &JobRequest,
    pools: Vec<EligiblePool>,
) -> (Vec<EligiblePool>, Vec<EligiblePool>) {
    let demands = request.steps.iter().map(|step| step.demand.cpu.0);
    let task_cpu = demands.min().unwrap_or_default().max(1);
    let enough_tasks = request.task_count().saturating_mul(OFFER_CAPACITY_FACTOR);
    let link_busy = state.link_use.get().share() > BUSY_LINK_SHARE;
    let mut expected_tasks = 0;
    let mut selected = Vec::new();
    for pool in pools {
        let fits = u64::try_from(pool.free_capacity).unwrap_or_default() / task_cpu;
        let skipped = link_busy && (fits == 0 || expected_tasks >= enough_tasks);
        if skipped || selected.len() >= MAX_OFFER_POOLS {
            continue;
        }
        expected_tasks += fits;
        selected.push(pool);
    }
    selected.into_iter().partition(|pool| pool.is_local)
}

fn fits_whole_job(request: &JobRequest, offer: &PartOffer) -> bool {
    u64::from(offer.fits) >= request.task_count()
}

/// Asks the owners of several pools at once for offers. Owners that do not answer in time offer nothing. No owner is
/// asked for a job that was held up.
async fn collect_offers(
    state: &Rc<NodeState>,
    job: &EntryJob,
    pools: Vec<EligiblePool>,
) -> Vec<PartOffer> {
    if is_held_up(state, job) {
        return Vec::new();
    }
    let requests = pools
        .into_iter()
        .map(|EligiblePool { pool, owner, .. }| async move {
            let call = job_call(state, job, &pool, state.now(), None);
            let fits = if owner.here {
                owner::offer_locally(state, &call)
            } else {
                let link = state.links.get(owner.address)?;
                timeout(OFFER_TIMEOUT, link.link.offer(&call))
                    .await
                    .ok()?
                    .ok()?
            };
            Some(PartOffer { pool, owner, fits })
        });
    let offers = futures::future::join_all(requests).await;
    offers.into_iter().flatten().collect()
}

/// Returns whether a job may be divided: the tasks of one step do not depend on each other.
fn can_divide(state: &NodeState, request: &JobRequest) -> bool {
    request.steps.len() == 1 && !request.kept && state.is_enabled(Mechanism::Dividing)
}

/// Returns whether the offers cover all tasks together. Asking further pools would then only cost time.
fn offers_suffice(request: &JobRequest, offers: &[PartOffer]) -> bool {
    let offered: u64 = offers.iter().map(|offer| u64::from(offer.fits)).sum();
    offered >= request.task_count()
}

/// Divides a job of one step according to the offers. None if the offers do not cover all tasks.
fn divide_job(
    state: &NodeState,
    request: &JobRequest,
    offers: Vec<PartOffer>,
) -> Option<Vec<JobPart>> {
    if !can_divide(state, request) {
        return None;
    }
    let step = request.steps.first()?;
    let fits: Vec<u32> = offers.iter().map(|offer| offer.fits).collect();
    let steps = divide_step(step, &fits)?;
    let mut parts = Vec::new();
    for (offer, step) in offers.into_iter().zip(steps) {
        let PartOffer { pool, owner, .. } = offer;
        parts.extend(step.map(|step| JobPart { pool, owner, step }));
    }
    Some(parts)
}

/// Runs the parts of a job. The job is complete when all parts are; as soon as one part ends otherwise, the others
/// are cancelled.
async fn run_parts(state: &Rc<NodeState>, job: &EntryJob, parts: &[JobPart]) -> JobOutcome {
    let runs = parts
        .iter()
        .map(|part| run_part(state, job, part, parts).boxed_local());
    join_parts(runs.collect()).await
}

/// Runs one part of a job.
///
/// If the part's pool refuses it, nothing of the part has run. That happens when the pool's data centre is
/// evacuated or the pool changes its owner meanwhile. The part is then divided among pools that have no part of the
/// job, if they can take it together: giving up at once would fail the job while most of its tasks are in progress.
async fn run_part(
    state: &Rc<NodeState>,
    job: &EntryJob,
    part: &JobPart,
    all_parts: &[JobPart],
) -> Option<JobOutcome> {
    let step = part.step.clone();
    let outcome =
        submit_before_deadline(state, job, &part.pool, &part.owner, Some(step.clone())).await;
    if !matches!(outcome, None | Some(JobOutcome::Refused { .. })) {
        return outcome;
    }
    let request = JobRequest {
        steps: vec![step],
        ..(*job.request).clone()
    };
    let job = EntryJob {
        request: Arc::new(request),
        rule: job.rule.clone(),
        ..*job
    };
    let parts = match places_by_expected_end(state) {
        true => offer_round::divide_refused_part(state, &job, all_parts).await?,
        false => divide_refused_part(state, &job, all_parts).await?,
    };
    let runs = parts.iter().map(|part| {
        submit_before_deadline(
            state,
            &job,
            &part.pool,
            &part.owner,
            Some(part.step.clone()),
        )
        .boxed_local()
    });
    Some(join_parts(runs.collect()).await)
}

/// Divides a part of a job that its pool has refused among pools that have no part of the job. None if they cannot
/// take it together.
async fn divide_refused_part(
    state: &Rc<NodeState>,
    job: &EntryJob,
    all_parts: &[JobPart],
) -> Option<Vec<JobPart>> {
    let mut pools = rank_pools(state, &job.request);
    pools.retain(|other| all_parts.iter().all(|part| part.pool != other.pool));
    let (local, remote) = select_offer_pools(state, &job.request, pools);
    let mut offers = collect_offers(state, job, local).await;
    if !offers_suffice(&job.request, &offers) {
        offers.extend(collect_offers(state, job, remote).await);
    }
    divide_job(state, &job.request, offers)
}

/// Waits for the parts of a job and returns the outcome of the whole job.
async fn join_parts(
    mut running: FuturesUnordered<LocalBoxFuture<'_, Option<JobOutcome>>>,
) -> JobOutcome {
    while let Some(outcome) = running.next().await {
        match outcome {
            // Jobs kept in the store (outcome `Accepted`) are not divided.
            Some(JobOutcome::Completed | JobOutcome::Accepted) => (),
            Some(JobOutcome::Failed) => return JobOutcome::Failed,
            // Other parts may have begun, so the answer cannot be that nothing ran.
            None | Some(JobOutcome::Refused { .. } | JobOutcome::GivenUp) => {
                return JobOutcome::GivenUp;
            }
        }
    }
    JobOutcome::Completed
}

/// Submits a job or a part of it to one owner and waits at most as long as the customer does. None if the job
/// cannot have reached the owner. A job that was held up is refused.
async fn submit_before_deadline(
    state: &Rc<NodeState>,
    job: &EntryJob,
    pool: &PoolId,
    owner: &OwnerView,
    part: Option<StepSpec>,
) -> Option<JobOutcome> {
    if is_held_up(state, job) {
        return Some(refuse_held_up(state, job));
    }
    let now = state.now();
    let time_left = job.deadline.saturating_duration_since(now);
    if is_retry_due(state, job, now) {
        return Some(owner::NOT_SERVING);
    }
    let call = job_call(state, job, pool, now, part);
    let outcome = match timeout(time_left, submit_to_owner(state, pool, owner, now, call)).await {
        Ok(outcome) => outcome?,
        Err(_) => JobOutcome::GivenUp,
    };
    log_submission(state, job, pool, owner, outcome);
    Some(outcome)
}

/// Returns the eligible pools in the order in which they are asked.
fn rank_pools(state: &NodeState, request: &JobRequest) -> Vec<EligiblePool> {
    let mut pools = eligible_pools(state);
    let candidates: Vec<PoolCandidate> = pools
        .iter()
        .map(|(pool, owner)| pool_candidate(state, pool, owner))
        .collect();
    let ignores_load = !state.is_enabled(Mechanism::PoolChoice);
    let candidates = match ignores_load {
        true => candidates.iter().map(PoolCandidate::without_load).collect(),
        false => candidates,
    };
    let order = order_pools(
        &candidates,
        initial_demand(request),
        &mut state.rng.borrow_mut(),
    );
    let mut pools: Vec<Option<(PoolId, OwnerView)>> = pools.drain(..).map(Some).collect();
    let ordered = order.into_iter().filter_map(|index| {
        let (pool, owner) = pools[index].take()?;
        Some(EligiblePool {
            pool,
            owner,
            is_local: candidates[index].same_data_centre,
            free_capacity: candidates[index].expected_free_capacity(),
        })
    });
    ordered.collect()
}

/// Returns the processor demand of the tasks that can start at once, in thousandths of a core.
fn initial_demand(request: &JobRequest) -> u64 {
    let first = request.steps.iter().filter(|step| step.after.is_empty());
    first
        .map(|step| step.demand.cpu.0 * u64::from(step.count))
        .sum()
}

/// Returns the reachable pools whose data centre is not evacuated.
fn eligible_pools(state: &NodeState) -> Vec<(PoolId, OwnerView)> {
    let evacuations = state.evacuations.borrow();
    let mut pools = reachable_pools(state);
    pools.retain(|(pool, _)| !evacuations.contains(&pool.data_centre));
    pools
}

/// Returns the pools whose owners are alive and connected.
fn reachable_pools(state: &NodeState) -> Vec<(PoolId, OwnerView)> {
    let now = state.now();
    let controller = state.claim_controller.borrow();
    let mut pools = Vec::new();
    for pool in controller.pools() {
        let Some(owner) = controller.owner(now, &pool) else {
            continue;
        };
        let reached = owner.here || state.links.get(owner.address).is_some();
        if owner.alive && reached {
            pools.push((pool, owner));
        }
    }
    pools
}

fn pool_candidate(state: &NodeState, pool: &PoolId, owner: &OwnerView) -> PoolCandidate {
    let is_local = pool.data_centre == state.settings.data_centre;
    let pools = state.pools.borrow();
    if let Some(owned) = pools.get(pool).filter(|_| owner.here) {
        return PoolCandidate {
            same_data_centre: is_local,
            same_process: state.is_enabled(Mechanism::OwnPool),
            load: owned.pool.load(state.now()),
            sent_cpu: 0,
        };
    }
    let sent = state.sent_demand.borrow().get(pool).copied();
    let sent = sent
        .filter(|(heard, _)| Some(*heard) == owner.heard_at)
        .map_or(0, |(_, cpu)| cpu);
    PoolCandidate {
        same_data_centre: is_local,
        same_process: false,
        load: owner.load,
        sent_cpu: sent,
    }
}

/// Adds a job's demand to what was sent to a pool since its owner's last heartbeat.
fn record_sent_demand(state: &NodeState, pool: &PoolId, owner: &OwnerView, call: &JobCall) {
    let Some(heard) = owner.heard_at.filter(|_| !owner.here) else {
        return;
    };
    let steps = call.request.steps.iter();
    let cpu: u64 = steps
        .map(|step| step.demand.cpu.0 * u64::from(step.count))
        .sum();
    let mut sent = state.sent_demand.borrow_mut();
    let entry = sent.entry(pool.clone()).or_insert((heard, 0));
    if entry.0 != heard {
        *entry = (heard, 0);
    }
    entry.1 += cpu;
}

/// The time before which the customer does not submit the job again, even if its connection has broken unheard.
fn time_to_retry(state: &NodeState, job: &EntryJob, now: Instant) -> Duration {
    let since_sent = now.saturating_duration_since(job.sent_after);
    let customer_retry = state.attempt_times.customer_retry;
    customer_retry.saturating_sub(since_sent)
}

/// Returns whether the customer may have submitted the job again, so that nothing of this attempt may begin.
fn is_retry_due(state: &NodeState, job: &EntryJob, now: Instant) -> bool {
    !job.request.kept && time_to_retry(state, job, now).is_zero()
}

fn job_call(
    state: &NodeState,
    job: &EntryJob,
    pool: &PoolId,
    now: Instant,
    part: Option<StepSpec>,
) -> JobCall {
    let rule = &job.rule;
    let firm = part.is_some();
    let request = match part {
        None => job.request.clone(),
        Some(step) => Arc::new(JobRequest {
            steps: vec![step],
            ..(*job.request).clone()
        }),
    };
    JobCall {
        entry: state.node(),
        pool: pool.clone(),
        request,
        terms: JobTerms {
            service: rule.service.clone(),
            route: rule.name.clone(),
            priority: rule.priority,
            attempts: rule.attempts,
            stretch: rule.stretch,
            goal: rule.goal,
            time_left: job.deadline.saturating_duration_since(now),
            waited: job.age + now.saturating_duration_since(job.arrived),
            firm,
            origin: Some(state.settings.data_centre.clone()),
            attempt_id: Some(job.attempt_id),
            retry_in: (!job.request.kept).then(|| time_to_retry(state, job, now).max(MIN_RETRY_IN)),
        },
        sent_at: Duration::ZERO,
    }
}

/// Submits a job or a part of it to one owner. The times of the call are those at `made_at`. None if the job cannot have
/// reached the owner.
async fn submit_to_owner(
    state: &Rc<NodeState>,
    pool: &PoolId,
    owner: &OwnerView,
    made_at: Instant,
    mut call: JobCall,
) -> Option<JobOutcome> {
    if owner.here {
        let run = owner::run_locally(state.clone(), pool.clone(), call, made_at, None);
        return Some(run.await);
    }
    let link = state.links.get(owner.address)?;
    call.sent_at = link.owner_clock(made_at, owner.clock?);
    record_sent_demand(state, pool, owner, &call);
    Some(link.run(state.now(), &call).await)
}

fn log_submission(
    state: &NodeState,
    job: &EntryJob,
    pool: &PoolId,
    owner: &OwnerView,
    outcome: JobOutcome,
) {
    let line = EventLine::new("job_asked")
        .text("job", job.request.id)
        .text("pool", pool)
        .text("owner", &owner.node)
        .number("fence", owner.fence.0);
    let (kind, line) = crate::event_lines::outcome_line(line, outcome);
    let waited = state.now().saturating_duration_since(job.arrived);
    state.log(kind, line.millis("waited_ms", waited));
}

/// Returns whether this node can reach any pool to run a job.
pub(crate) fn can_serve(state: &NodeState) -> bool {
    !reachable_pools(state).is_empty()
}

/// Logs and counts how a customer's request ended.
pub(crate) fn log_answer(state: &NodeState, job: &EntryJob, outcome: JobOutcome) {
    let line = EventLine::new("job_answered")
        .text("job", job.request.id)
        .text("route", &job.rule.name)
        .number("tasks", job.request.task_count());
    let (kind, line) = crate::event_lines::outcome_line(line, outcome);
    let took = state.now().saturating_duration_since(job.arrived);
    crate::metrics::count_answer(&state.metrics, outcome, took);
    let limit = job.deadline.saturating_duration_since(job.arrived);
    let line = line.millis("took_ms", took).millis("deadline_ms", limit);
    state.log(kind, line.millis("age_ms", job.age));
}
