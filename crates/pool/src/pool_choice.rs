//! Which pools an entry asks for a job, and in which order.
//!
//! Load it is made for: many entries that hear of a pool's free room only a few times a second. Harm prevented: if all
//! send to the pool that had most room when they last heard, it is flooded until they hear again, while others stand
//! idle. Each takes the better of two drawn by chance, and counts what it has itself sent since. Pools of other data
//! centres come last: their bytes are paid for and their workers are farther away.

use fastrand::Rng;
use jobs::StepSpec;

use crate::admission::PoolLoad;

/// A pool that could be asked.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolCandidate {
    /// Whether it is in the entry's data centre.
    pub same_data_centre: bool,
    /// Whether the entry's own process owns it.
    pub same_process: bool,
    /// What its owner last published.
    pub load: PoolLoad,
    /// What this entry has sent there since, in thousandths of a core.
    pub sent_cpu: u64,
}

impl PoolCandidate {
    /// The candidate as it would be known if its owner published nothing.
    pub fn without_load(&self) -> Self {
        Self {
            same_data_centre: self.same_data_centre,
            same_process: self.same_process,
            ..Self::default()
        }
    }

    /// The room that is expected to be free, less what waits. Lower than zero where more waits than is free.
    pub fn expected_room(&self) -> i64 {
        let waiting = self.load.backlog.as_secs_f64() * self.load.capacity as f64;
        // The cast saturates.
        let taken = (waiting as i64).saturating_add_unsigned(self.sent_cpu);
        0_i64
            .saturating_add_unsigned(self.load.free)
            .saturating_sub(taken)
    }
}

/// The places of the candidates in the order in which they are asked for a job that needs so many thousandths of a core.
///
/// A pool of the entry's own process comes first if it has the room: what it publishes is exact, and the job's bytes stay
/// off the links.
pub fn order_pools(candidates: &[PoolCandidate], demand: u64, rng: &mut Rng) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|place| {
        let candidate = &candidates[*place];
        (
            !candidate.same_data_centre,
            std::cmp::Reverse(candidate.expected_room()),
        )
    });
    let fits_here = |place: &usize| {
        let candidate = &candidates[*place];
        candidate.same_process && candidate.expected_room() >= demand.cast_signed()
    };
    if let Some(first) = order.iter().position(fits_here) {
        let own = order.remove(first);
        order.insert(0, own);
        return order;
    }
    let near = candidates
        .iter()
        .filter(|candidate| candidate.same_data_centre)
        .count();
    // Without a near one the far ones are drawn from: all entries of an evacuated data centre would flood the same pool.
    let drawn = if near > 0 { near } else { order.len() };
    if drawn < 2 {
        return order;
    }
    let first = rng.usize(..drawn);
    let second = rng.usize(..drawn - 1);
    let second = second + usize::from(second >= first);
    // Those before are sorted by room, so the earlier of the two has more.
    let best = order.remove(first.min(second));
    order.insert(0, best);
    order
}

/// Divides the tasks of a step among pools, as many to each as it could take in time. None if together they cannot take
/// all; a pool that gets no task has none.
///
/// Load it is made for: wide jobs of short tasks, when each pool has places for some of their tasks only. Harm
/// prevented: they are refused while places stay free that no other job needs at the moment.
pub fn divide_step(step: &StepSpec, fits: &[u32]) -> Option<Vec<Option<StepSpec>>> {
    let mut parts = Vec::new();
    let mut first = step.first;
    let mut left = step.count;
    for fits in fits {
        let count = (*fits).min(left);
        let part = StepSpec {
            count,
            first,
            ..step.clone()
        };
        parts.push((count > 0).then_some(part));
        first += count;
        left -= count;
    }
    (left == 0).then_some(parts)
}
