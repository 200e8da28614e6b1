//! Placement by expected end: sends a job to a pool of this data centre that is expected to end it in time, or asks
//! pools of all data centres for offers in one round.
//!
//! No job goes to another data centre without a prior offer from there. An owner that cannot be reached does not
//! answer, which costs [`super::OFFER_TIMEOUT`] and not the job's deadline.

use std::{rc::Rc, time::Duration};

use claims::OwnerView;
use jobs::{JobOutcome, JobRequest, PoolId, RefusalKind};
use model::{text_enum, Mechanism, UnknownVariant};
use pool::{
    choose_pool, order_offers, order_pools, select_offer_pools, OfferLimits, PlacementDemand,
    PlacementOption, PoolCandidate,
};
use telemetry::{EventKind, EventLine};

use super::{
    can_divide, collect_offers, divide_job, eligible_pools, fits_whole_job, is_held_up,
    later_refusal, no_pool_refusal, pool_candidate, refuse_held_up, run_parts,
    submit_before_deadline, EligiblePool, EntryJob, JobPart, PartOffer, BUSY_LINK_SHARE,
    MAX_OFFER_POOLS, NO_OWNER_RETRY_AFTER, OFFER_CAPACITY_FACTOR,
};
use crate::{metrics, state::NodeState};

text_enum! {
    /// Why pools are asked for offers.
    OfferReason, "reason of an offer round", UnknownVariant {
        /// No pool of this data centre is expected to end the job in time.
        NotInTime => "not_in_time",
        /// The pool that was expected to end the job in time has refused it.
        Refused => "refused",
        /// The owner of that pool cannot be reached.
        Unreachable => "unreachable",
        /// A pool has refused its part of a divided job.
        PartRefused => "part_refused",
    }
}

text_enum! {
    /// What an entry does after a round of offers.
    OfferOutcome, "outcome of an offer round", UnknownVariant {
        /// A pool of this data centre gets the whole job.
        Local => "local",
        /// A pool of another data centre gets the whole job.
        Remote => "remote",
        /// The job is divided among pools.
        Divided => "divided",
        /// The offers together do not cover the job.
        NotCovered => "not_covered",
        /// The process paused meanwhile, and the job is refused.
        HeldUp => "held_up",
    }
}

/// A pool that a job can be sent to, with what is known of it.
struct PlacedPool {
    pool: PoolId,
    owner: OwnerView,
    option: PlacementOption,
}

/// The offers of one round, in the order in which they are used.
struct OfferAnswers {
    reason: OfferReason,
    asked: usize,
    answered: usize,
    /// The age of the oldest start profile by which a pool was chosen.
    profile_age: Duration,
    offers: Vec<PartOffer>,
}

/// Runs a job to its end, in the pool that is expected to end it in time or according to offers.
pub(super) async fn run_job(state: &Rc<NodeState>, job: &EntryJob) -> JobOutcome {
    let mut pools = placed_pools(state);
    let demand = placement_demand(state, job);
    let direct = choose_direct(state, &pools, &demand);
    let mut reason = OfferReason::NotInTime;
    let mut last_refusal = None;
    let mut offers = Vec::new();
    if let Some(index) = direct {
        let PlacedPool { pool, owner, .. } = pools.swap_remove(index);
        match submit_before_deadline(state, job, &pool, &owner, None).await {
            None => reason = OfferReason::Unreachable,
            Some(outcome @ JobOutcome::Refused { fits, .. }) => {
                reason = OfferReason::Refused;
                last_refusal = Some(outcome);
                offers.push(PartOffer { pool, owner, fits });
            }
            Some(outcome) => return outcome,
        }
    }
    if !demand.can_be_in_time() {
        return match last_refusal {
            Some(refusal) => refusal,
            None => submit_without_offer(state, job, pools, &[]).await,
        };
    }
    let mut answers = ask_pools(state, job, reason, &demand, &pools, offers).await;
    let outcome = decide(state, job, &answers);
    log_round(state, job, &answers, outcome);
    if outcome == OfferOutcome::HeldUp {
        return refuse_held_up(state, job);
    }
    // At most one pool of this data centre and one of another get the whole job. An offer reserves its capacity for
    // some milliseconds only, so a third attempt would most likely be refused too.
    let mut tried = Vec::new();
    while let Some(index) = next_whole_offer(state, &job.request, &answers.offers, &tried) {
        let PartOffer { pool, owner, .. } = &answers.offers[index];
        tried.push(is_local(state, pool));
        match submit_before_deadline(state, job, pool, owner, None).await {
            None => answers.offers[index].fits = 0,
            Some(outcome @ JobOutcome::Refused { fits, .. }) => {
                let first = last_refusal.unwrap_or(outcome);
                last_refusal = Some(later_refusal(state, first, outcome));
                answers.offers[index].fits = fits;
            }
            Some(outcome) => return outcome,
        }
    }
    if is_held_up(state, job) {
        return refuse_held_up(state, job);
    }
    let answered: Vec<PoolId> = answers.offers.iter().map(|o| o.pool.clone()).collect();
    if let Some(parts) = divide_job(state, &job.request, answers.offers) {
        return run_parts(state, job, &parts).await;
    }
    match last_refusal {
        Some(refusal) => refusal,
        None => submit_without_offer(state, job, pools, &answered).await,
    }
}

/// Divides a part of a job that its pool has refused among pools that have no part of the job. None if they cannot
/// take it together.
pub(super) async fn divide_refused_part(
    state: &Rc<NodeState>,
    job: &EntryJob,
    all_parts: &[JobPart],
) -> Option<Vec<JobPart>> {
    let mut pools = placed_pools(state);
    pools.retain(|other| all_parts.iter().all(|part| part.pool != other.pool));
    let demand = placement_demand(state, job);
    let reason = OfferReason::PartRefused;
    let answers = ask_pools(state, job, reason, &demand, &pools, Vec::new()).await;
    let outcome = match decide(state, job, &answers) {
        OfferOutcome::Local | OfferOutcome::Remote => OfferOutcome::Divided,
        outcome => outcome,
    };
    log_round(state, job, &answers, outcome);
    divide_job(state, &job.request, answers.offers)
}

/// Asks the selected pools for offers. The result contains the offers that were already known.
async fn ask_pools(
    state: &Rc<NodeState>,
    job: &EntryJob,
    reason: OfferReason,
    demand: &PlacementDemand,
    pools: &[PlacedPool],
    known: Vec<PartOffer>,
) -> OfferAnswers {
    let options: Vec<PlacementOption> = pools.iter().map(|placed| placed.option).collect();
    let link_busy = state.link_use.get().share() > BUSY_LINK_SHARE;
    let limits = OfferLimits {
        max_pools: MAX_OFFER_POOLS,
        enough_factor: link_busy.then_some(OFFER_CAPACITY_FACTOR),
    };
    let selected = select_offer_pools(&options, demand, limits, &mut state.rng.borrow_mut());
    let ages = selected.iter().map(|index| &options[*index]);
    let ages = ages.filter(|option| option.profile.is_some());
    let profile_age = ages.map(|option| option.age).max().unwrap_or_default();
    let eligible = selected.iter().map(|index| eligible(state, &pools[*index]));
    let eligible: Vec<EligiblePool> = eligible.collect();
    let asked = eligible.len();
    let mut offers = collect_offers(state, job, eligible).await;
    let answered = offers.len();
    offers.extend(known);
    OfferAnswers {
        reason,
        asked,
        answered,
        profile_age,
        offers: in_order_of_use(state, offers),
    }
}

fn in_order_of_use(state: &NodeState, offers: Vec<PartOffer>) -> Vec<PartOffer> {
    let keys = offers
        .iter()
        .map(|offer| (is_local(state, &offer.pool), offer.fits));
    let order = order_offers(&keys.collect::<Vec<_>>());
    let mut offers: Vec<Option<PartOffer>> = offers.into_iter().map(Some).collect();
    let ordered = order.into_iter().filter_map(|index| offers[index].take());
    ordered.collect()
}

/// Returns what the offers lead to.
fn decide(state: &Rc<NodeState>, job: &EntryJob, answers: &OfferAnswers) -> OfferOutcome {
    if is_held_up(state, job) {
        return OfferOutcome::HeldUp;
    }
    let whole = next_whole_offer(state, &job.request, &answers.offers, &[]);
    let fits = answers.offers.iter().map(|offer| u64::from(offer.fits));
    let covered = fits.sum::<u64>() >= job.request.task_count();
    match whole {
        Some(index) if is_local(state, &answers.offers[index].pool) => OfferOutcome::Local,
        Some(_) => OfferOutcome::Remote,
        None if covered && can_divide(state, &job.request) => OfferOutcome::Divided,
        None => OfferOutcome::NotCovered,
    }
}

/// Returns the first offer for the whole job from a place, this data centre or elsewhere, that is not among `tried`.
fn next_whole_offer(
    state: &NodeState,
    request: &JobRequest,
    offers: &[PartOffer],
    tried: &[bool],
) -> Option<usize> {
    let is_next = |offer: &PartOffer| {
        fits_whole_job(request, offer) && !tried.contains(&is_local(state, &offer.pool))
    };
    offers.iter().position(is_next)
}

/// Submits a job that no offers cover, for its owner's refusal: the owner knows when the customer should return, and
/// serves late jobs while much of its pool is idle. Pools of other data centres get it only if this one has none, and
/// only after they have answered a request for an offer.
async fn submit_without_offer(
    state: &Rc<NodeState>,
    job: &EntryJob,
    mut pools: Vec<PlacedPool>,
    answered: &[PoolId],
) -> JobOutcome {
    let has_local = pools.iter().any(|p| p.option.candidate.same_data_centre);
    pools.retain(|placed| match has_local {
        true => placed.option.candidate.same_data_centre,
        false => answered.contains(&placed.pool),
    });
    let candidates = pools.iter().map(|placed| placed.option.candidate);
    let candidates: Vec<PoolCandidate> = candidates.collect();
    let cpu = super::initial_demand(&job.request);
    let order = order_pools(&candidates, cpu, &mut state.rng.borrow_mut());
    for index in order {
        let PlacedPool { pool, owner, .. } = &pools[index];
        if let Some(outcome) = submit_before_deadline(state, job, pool, owner, None).await {
            return outcome;
        }
    }
    if eligible_pools(state).is_empty() {
        return no_pool_refusal(state);
    }
    JobOutcome::Refused {
        kind: RefusalKind::Unreachable,
        retry_after: NO_OWNER_RETRY_AFTER,
        fits: 0,
    }
}

/// Returns the pool that gets the job without an offer, if there is one.
fn choose_direct(
    state: &NodeState,
    pools: &[PlacedPool],
    demand: &PlacementDemand,
) -> Option<usize> {
    let options: Vec<PlacementOption> = pools.iter().map(|placed| placed.option).collect();
    choose_pool(&options, demand, &mut state.rng.borrow_mut())
}

fn placement_demand(state: &NodeState, job: &EntryJob) -> PlacementDemand {
    let now = state.now();
    let waited = job.age + now.saturating_duration_since(job.arrived);
    let demand = PlacementDemand::new(&job.request, job.rule.stretch, job.rule.goal, waited);
    let time_left = job.deadline.saturating_duration_since(now);
    PlacementDemand {
        limit: demand.limit.min(time_left),
        ..demand
    }
}

fn placed_pools(state: &NodeState) -> Vec<PlacedPool> {
    let pools = eligible_pools(state).into_iter();
    pools
        .map(|(pool, owner)| PlacedPool {
            option: placement_option(state, &pool, &owner),
            pool,
            owner,
        })
        .collect()
}

fn placement_option(state: &NodeState, pool: &PoolId, owner: &OwnerView) -> PlacementOption {
    let candidate = pool_candidate(state, pool, owner);
    if !state.is_enabled(Mechanism::PoolChoice) {
        return PlacementOption {
            candidate: candidate.without_load(),
            ..PlacementOption::default()
        };
    }
    let now = state.now();
    let pools = state.pools.borrow();
    let owned = pools.get(pool).filter(|_| owner.here);
    let published = match owned {
        Some(owned) => owned.published_profile,
        None => owner.start_profile.zip(owner.heard_at),
    };
    PlacementOption {
        candidate,
        profile: published.map(|(profile, _)| profile),
        age: published.map_or(Duration::ZERO, |(_, at)| now.saturating_duration_since(at)),
    }
}

fn eligible(state: &NodeState, placed: &PlacedPool) -> EligiblePool {
    EligiblePool {
        pool: placed.pool.clone(),
        owner: placed.owner.clone(),
        is_local: is_local(state, &placed.pool),
        free_capacity: placed.option.candidate.expected_free_capacity(),
    }
}

fn is_local(state: &NodeState, pool: &PoolId) -> bool {
    pool.data_centre == state.settings.data_centre
}

fn log_round(state: &NodeState, job: &EntryJob, answers: &OfferAnswers, outcome: OfferOutcome) {
    metrics::count_offer_round(&state.metrics, outcome);
    let kind = match outcome {
        OfferOutcome::NotCovered | OfferOutcome::HeldUp => EventKind::Important,
        OfferOutcome::Local | OfferOutcome::Remote | OfferOutcome::Divided => EventKind::Routine,
    };
    let fits: u64 = answers.offers.iter().map(|o| u64::from(o.fits)).sum();
    let line = EventLine::new("offers_asked")
        .text("job", job.request.id)
        .text("reason", answers.reason)
        .number("pools", answers.asked as u64)
        .number("answered", answers.answered as u64)
        .number("fits", fits)
        .number("tasks", job.request.task_count())
        .millis("profile_age_ms", answers.profile_age)
        .text("outcome", outcome);
    state.log(kind, line);
}
