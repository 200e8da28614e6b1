//! The order in which an entry asks pools to take a job, and the division of a job among pools.
//!
//! Many entries learn of a pool's free capacity only a few times a second. If all of them sent to the pool that last
//! reported the most of it, it would be flooded until the next report while other pools are idle. Each entry
//! therefore takes the better of two pools drawn at random, and counts what it has itself sent since the report. Pools
//! of other data centres come last, since traffic to them is charged and their workers are farther away.

use fastrand::Rng;
use jobs::StepSpec;

use crate::admission::PoolLoad;

/// A pool that an entry could ask.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolCandidate {
    /// Whether the pool is in the entry's data centre.
    pub same_data_centre: bool,
    /// Whether the entry's own process owns the pool.
    pub same_process: bool,
    /// The load that its owner last published.
    pub load: PoolLoad,
    /// The demand that this entry has sent to the pool since that publication, in thousandths of a core.
    pub sent_cpu: u64,
}

impl PoolCandidate {
    /// The candidate as it would be if its owner had published nothing.
    pub fn without_load(&self) -> Self {
        Self {
            same_data_centre: self.same_data_centre,
            same_process: self.same_process,
            ..Self::default()
        }
    }

    /// The capacity expected to be free minus the waiting work, in thousandths of a core. Negative where more work
    /// waits than capacity is free.
    pub fn expected_free_capacity(&self) -> i64 {
        let waiting = self.load.backlog.as_secs_f64() * self.load.capacity as f64;
        // The cast saturates.
        let taken = (waiting as i64).saturating_add_unsigned(self.sent_cpu);
        0_i64
            .saturating_add_unsigned(self.load.free)
            .saturating_sub(taken)
    }
}

/// Returns the indices of the candidates in the order in which they are asked for a job that needs `demand` thousandths
/// of a core.
///
/// A pool of the entry's own process comes first if it has enough free capacity: its published load is exact, and
/// the job's bytes need not cross a link.
pub fn order_pools(candidates: &[PoolCandidate], demand: u64, rng: &mut Rng) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|index| {
        let candidate = &candidates[*index];
        (
            !candidate.same_data_centre,
            std::cmp::Reverse(candidate.expected_free_capacity()),
        )
    });
    let fits_here = |index: &usize| {
        let candidate = &candidates[*index];
        candidate.same_process && candidate.expected_free_capacity() >= demand.cast_signed()
    };
    if let Some(first) = order.iter().position(fits_here) {
        let own = order.remove(first);
        order.insert(0, own);
        return order;
    }
    let local_count = candidates
        .iter()
        .filter(|candidate| candidate.same_data_centre)
        .count();
    // Without a pool in this data centre, two of the others are drawn: otherwise all entries of an evacuated data
    // centre would flood the same pool.
    let drawn = if local_count > 0 {
        local_count
    } else {
        order.len()
    };
    if drawn < 2 {
        return order;
    }
    let first = rng.usize(..drawn);
    let second = rng.usize(..drawn - 1);
    let second = second + usize::from(second >= first);
    // The drawn range is sorted by expected free capacity, so the earlier of the two has more.
    let best = order.remove(first.min(second));
    order.insert(0, best);
    order
}

/// Divides the tasks of a step among pools, giving each at most the number in `fits`, which it could take in time.
/// Returns one part per pool, which is None for a pool that gets no task, or None if the pools together cannot take all
/// tasks.
///
/// Wide jobs of short tasks may find free capacity for only some of their tasks in each pool. Without the division they
/// are refused while capacity stays free that no other job needs at the moment.
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
