//! The choice of pools by the expected end of a job, for entries.
//!
//! When the callers of one data centre ask for more than its workers can do, its pools have no free capacity while
//! those of other data centres do. An entry then asks for offers at once, in its own and in other data centres,
//! instead of first sending the job to a pool that will refuse it. Traffic between data centres is charged, so jobs
//! that a pool of the own data centre can end in time stay there.

use std::{cmp::Reverse, time::Duration};

use fastrand::Rng;
use jobs::{critical_path, JobRequest};

use crate::{pool_choice::PoolCandidate, start_profile::StartProfile, worker::SLOWNESS_BOUNDS};

/// The number of pools of other data centres that are asked for offers, if that many have capacity. One offer may be
/// too small or lost.
const MIN_REMOTE_POOLS: usize = 3;

/// What is known of a pool to which an entry could send a job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementOption {
    /// Where the pool is, its load, and what was sent to it since its owner's last heartbeat.
    pub candidate: PoolCandidate,
    /// The start profile from that heartbeat, if there is one.
    pub profile: Option<StartProfile>,
    /// The age of that heartbeat.
    pub age: Duration,
}

/// What a job needs, as far as the choice of a pool depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementDemand {
    /// The number of tasks that can start at once.
    pub tasks: u64,
    /// Their CPU demand together, in thousandths of a core.
    pub cpu: u64,
    /// The estimated length of the critical path on workers of mean speed.
    pub chain: Duration,
    /// The time from now within which the job has to end to be in time.
    pub limit: Duration,
}

impl PlacementDemand {
    /// The demand of a job whose latency objective is its critical path times `stretch`, plus `goal`, and whose
    /// customer has waited for `waited`.
    pub fn new(request: &JobRequest, stretch: f64, goal: Duration, waited: Duration) -> Self {
        let chain = critical_path(&request.steps, |_, step| step.estimate);
        let first = || request.steps.iter().filter(|step| step.after.is_empty());
        let cpu = first().map(|step| step.demand.cpu.0 * u64::from(step.count));
        Self {
            tasks: first().map(|step| u64::from(step.count)).sum(),
            cpu: cpu.sum(),
            chain,
            limit: (chain.mul_f64(stretch) + goal).saturating_sub(waited),
        }
    }

    /// Whether any pool could end the job in time. If not, all owners offer nothing.
    pub fn can_be_in_time(&self) -> bool {
        self.chain.mul_f64(SLOWNESS_BOUNDS.0) <= self.limit
    }
}

impl PlacementOption {
    /// The time from now to the expected end of a job.
    pub fn expected_end(&self, demand: &PlacementDemand) -> Duration {
        let start = self.expected_start(demand);
        start.saturating_add(self.run_time(demand))
    }

    /// The time from now to the expected start of the job's last task.
    ///
    /// Capacity that became free since the heartbeat is not counted: other entries have heard the same heartbeat and
    /// used it.
    fn expected_start(&self, demand: &PlacementDemand) -> Duration {
        let Some(profile) = self.profile else {
            return self.start_by_capacity(demand);
        };
        let cpu = demand.cpu.saturating_add(self.sent_cpu(demand));
        profile.last_start(cpu)
    }

    /// The part of the CPU demand sent since the heartbeat that still occupies the pool, in thousandths of a core. Jobs
    /// were sent evenly since then, and run as long as this one.
    fn sent_cpu(&self, demand: &PlacementDemand) -> u64 {
        let run_time = self.run_time(demand).as_secs_f64();
        let share = run_time / self.age.as_secs_f64().max(f64::MIN_POSITIVE);
        // The cast saturates.
        (self.candidate.sent_cpu as f64 * share.min(1.0)) as u64
    }

    /// The expected start without a profile: at once if there is enough free capacity, otherwise after the time in
    /// which the whole pool does the work that is in the way.
    fn start_by_capacity(&self, demand: &PlacementDemand) -> Duration {
        let free = self.candidate.expected_free_capacity();
        let missing = i128::from(demand.cpu) - i128::from(free);
        if missing <= 0 {
            return Duration::ZERO;
        }
        let share = missing as f64 / self.candidate.load.capacity.max(1) as f64;
        let wait = Duration::try_from_secs_f64(demand.chain.as_secs_f64() * share);
        wait.unwrap_or(Duration::MAX)
    }

    fn run_time(&self, demand: &PlacementDemand) -> Duration {
        let slowness = self.profile.map_or(1.0, |profile| profile.slowness());
        demand.chain.mul_f64(slowness)
    }

    fn is_in_time(&self, demand: &PlacementDemand) -> bool {
        self.expected_end(demand) <= demand.limit
    }

    /// The number of the job's tasks that are expected to end in time.
    fn tasks_in_time(&self, demand: &PlacementDemand) -> u64 {
        let Some(latest_start) = demand.limit.checked_sub(self.run_time(demand)) else {
            return 0;
        };
        let free = match self.profile {
            Some(profile) => {
                let startable = profile.startable_cpu(latest_start);
                startable.saturating_sub(self.sent_cpu(demand))
            }
            None => {
                let free = self.candidate.expected_free_capacity();
                u64::try_from(free).unwrap_or_default()
            }
        };
        let task_cpu = demand.cpu / demand.tasks.max(1);
        (free / task_cpu.max(1)).min(demand.tasks)
    }

    /// Orders options for a job: the one that starts it sooner is better, then the one with more free capacity.
    fn rank(&self, demand: &PlacementDemand) -> (Duration, Reverse<i64>) {
        let free = self.candidate.expected_free_capacity();
        (self.expected_start(demand), Reverse(free))
    }
}

/// Chooses the pool to which a job is sent without a prior offer. None if no pool of the entry's data centre is
/// expected to end the job in time.
///
/// A pool of the entry's own process comes first if it has enough free capacity. Otherwise the better of two drawn at
/// random gets the job, for the reason given in [`crate::order_pools`].
pub fn choose_pool(
    options: &[PlacementOption],
    demand: &PlacementDemand,
    rng: &mut Rng,
) -> Option<usize> {
    let has_free = |option: &PlacementOption| {
        let candidate = &option.candidate;
        candidate.same_process && candidate.expected_free_capacity() >= demand.cpu.cast_signed()
    };
    if let Some(own) = options.iter().position(has_free) {
        return Some(own);
    }
    let mut in_time: Vec<usize> = (0..options.len())
        .filter(|index| options[*index].candidate.same_data_centre)
        .filter(|index| options[*index].is_in_time(demand))
        .collect();
    draw_better(options, demand, &mut in_time, rng)
}

/// Draws two of the pools at random, and takes the better one out of `indices`.
fn draw_better(
    options: &[PlacementOption],
    demand: &PlacementDemand,
    indices: &mut Vec<usize>,
    rng: &mut Rng,
) -> Option<usize> {
    if indices.is_empty() {
        return None;
    }
    let first = rng.usize(..indices.len());
    let second = rng.usize(..indices.len());
    let rank = |place: usize| options[indices[place]].rank(demand);
    let better = match rank(second) < rank(first) {
        true => second,
        false => first,
    };
    Some(indices.swap_remove(better))
}

/// How many pools are asked for offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OfferLimits {
    /// The most pools that are asked.
    pub max_pools: usize,
    /// The number of expected tasks, as a multiple of the job's, from which no further pool is asked, and pools that
    /// are expected to offer nothing are not asked at all. None if all are asked up to `max_pools`.
    pub enough_factor: Option<u64>,
}

/// Selects the pools that are asked for offers in one round: those that are expected to take some of the job's tasks
/// in time, of the own and of other data centres, and then others by their expected end.
///
/// Entries of the same data centre know the same profiles. Each pool is therefore the better of two drawn at random,
/// so that not all entries ask the same pools.
pub fn select_offer_pools(
    options: &[PlacementOption],
    demand: &PlacementDemand,
    limits: OfferLimits,
    rng: &mut Rng,
) -> Vec<usize> {
    let able = |index: &usize| options[*index].tasks_in_time(demand) > 0;
    let (able, mut others): (Vec<usize>, Vec<usize>) = (0..options.len()).partition(able);
    let is_local = |index: &usize| options[*index].candidate.same_data_centre;
    let (mut local, mut remote): (Vec<usize>, Vec<usize>) = able.into_iter().partition(is_local);
    let remote_count = MIN_REMOTE_POOLS.min(remote.len());
    let local_count = limits.max_pools.saturating_sub(remote_count);
    let mut order = Vec::new();
    for _ in 0..local_count {
        order.extend(draw_better(options, demand, &mut local, rng));
    }
    while order.len() < limits.max_pools {
        let Some(index) = draw_better(options, demand, &mut remote, rng) else {
            break;
        };
        order.push(index);
    }
    let Some(factor) = limits.enough_factor else {
        others.sort_by_key(|index| (!is_local(index), options[*index].expected_end(demand)));
        order.extend(others);
        order.truncate(limits.max_pools);
        return order;
    };
    let mut expected = 0;
    order.retain(|index| {
        let needed = expected < demand.tasks.saturating_mul(factor);
        expected += options[*index].tasks_in_time(demand);
        needed
    });
    order
}

/// The order in which offers are used, given for each whether its pool is in the entry's data centre and how many
/// tasks it offers: first those of the own data centre, and among the others the largest, so that few pools get a part.
pub fn order_offers(offers: &[(bool, u32)]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..offers.len()).collect();
    order.sort_by_key(|index| {
        let (is_local, fits) = offers[*index];
        (!is_local, Reverse(fits))
    });
    order
}
