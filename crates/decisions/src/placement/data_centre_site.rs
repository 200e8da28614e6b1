//! The dispatchers of one data centre.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use model::DataCentreId;

use super::dispatcher_state::DispatcherState;
use crate::{admission::Saturation, weight_tree::WeightTree};

/// The dispatchers of one data centre, with totals over them.
#[derive(Debug)]
pub(super) struct DataCentreSite {
    pub(super) data_centre: DataCentreId,
    pub(super) round_trip: Duration,
    pub(super) reachable: bool,
    pub(super) last_hint_at: Option<Instant>,
    pub(super) dispatchers: Vec<DispatcherState>,
    pub(super) free_slots: WeightTree,
    pub(super) slot_limits: WeightTree,
    backlog: u64,
    /// The dispatchers with an unanswered offer and no hint since, in the order of [`DispatcherState::waiting_since`].
    awaiting_answer: BTreeSet<(Instant, usize)>,
}

impl DataCentreSite {
    pub(super) fn new(data_centre: DataCentreId, round_trip: Duration) -> Self {
        Self {
            data_centre,
            round_trip,
            reachable: true,
            last_hint_at: None,
            dispatchers: Vec::new(),
            free_slots: WeightTree::default(),
            slot_limits: WeightTree::default(),
            backlog: 0,
            awaiting_answer: BTreeSet::new(),
        }
    }

    pub(super) fn update(&mut self, index: usize, update: impl FnOnce(&mut DispatcherState)) {
        let dispatcher = &mut self.dispatchers[index];
        self.backlog -= dispatcher.backlog();
        if let Some(waiting_since) = dispatcher.waiting_since {
            self.awaiting_answer.remove(&(waiting_since, index));
        }
        update(dispatcher);
        self.add_to_totals(index);
    }

    fn add_to_totals(&mut self, index: usize) {
        let dispatcher = &self.dispatchers[index];
        self.backlog += dispatcher.backlog();
        self.free_slots.set(index, dispatcher.free_slots());
        self.slot_limits.set(index, dispatcher.usable_limit());
        if let Some(waiting_since) = dispatcher.waiting_since {
            self.awaiting_answer.insert((waiting_since, index));
        }
    }

    pub(super) fn rebuild_totals(&mut self) {
        self.free_slots = WeightTree::new(self.dispatchers.len());
        self.slot_limits = WeightTree::new(self.dispatchers.len());
        self.backlog = 0;
        self.awaiting_answer.clear();
        for index in 0..self.dispatchers.len() {
            self.add_to_totals(index);
        }
    }

    /// Marks dispatchers as suspect that left an offer unanswered, without a hint since, for `response_timeout`.
    pub(super) fn suspect_unresponsive(&mut self, now: Instant, response_timeout: Duration) {
        while let Some((waiting_since, index)) = self.awaiting_answer.first().copied() {
            if now.saturating_duration_since(waiting_since) < response_timeout {
                break;
            }
            self.update(index, DispatcherState::mark_suspect);
        }
    }

    /// Draws dispatchers weighted by free slots and returns the one with the most free slots.
    pub(super) fn freest(&self, draws: u32, rng: &mut fastrand::Rng) -> Option<usize> {
        let mut best = self.free_slots.draw(rng)?;
        for _ in 1..draws {
            let other = self.free_slots.draw(rng)?;
            if self.dispatchers[other].free_slots() > self.dispatchers[best].free_slots() {
                best = other;
            }
        }
        Some(best)
    }

    /// Draws dispatchers weighted by slots and returns the one with the shortest queue per slot.
    pub(super) fn least_queued(&self, draws: u32, rng: &mut fastrand::Rng) -> Option<usize> {
        let mut best = self.slot_limits.draw(rng)?;
        for _ in 1..draws {
            let other = self.slot_limits.draw(rng)?;
            let (a, b) = (&self.dispatchers[other], &self.dispatchers[best]);
            // a.backlog / a.limit < b.backlog / b.limit, without division.
            if a.backlog() * u64::from(b.hint.limit) < b.backlog() * u64::from(a.hint.limit) {
                best = other;
            }
        }
        Some(best)
    }

    /// Draws a dispatcher uniformly at random, whether or not it has slots.
    pub(super) fn any(&self, rng: &mut fastrand::Rng) -> Option<usize> {
        match self.dispatchers.len() {
            0 => None,
            len => Some(rng.usize(..len)),
        }
    }

    /// The predicted time that one more task waits in this data centre.
    pub(super) fn predicted_wait(&self, mean_run_time: Duration) -> Duration {
        match self.slot_limits.total() {
            0 => Duration::MAX,
            limit => mean_run_time.mul_f64((self.backlog + 1) as f64 / limit as f64),
        }
    }

    pub(super) fn saturation(&self) -> Saturation {
        let used = self.slot_limits.total() - self.free_slots.total();
        Saturation::new(used + self.backlog, self.slot_limits.total())
    }

    pub(super) fn is_fresh(&self, now: Instant, max_age: Duration) -> bool {
        self.last_hint_at
            .is_some_and(|at| now.saturating_duration_since(at) <= max_age)
    }

    pub(super) fn spare_slots(&self, reserve_percent: u32) -> u64 {
        let reserve = self.slot_limits.total() * u64::from(reserve_percent) / 100;
        self.free_slots.total().saturating_sub(reserve)
    }
}
