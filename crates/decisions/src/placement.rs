//! Chooses a dispatcher for each task of an entry.

mod data_centre_site;
mod dispatcher_state;

use std::{
    fmt,
    num::ParseIntError,
    str::FromStr,
    time::{Duration, Instant},
};

use model::{DataCentreId, FastMap};

use crate::admission::Saturation;
use data_centre_site::DataCentreSite;
use dispatcher_state::DispatcherState;

/// The number by which an entry identifies a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DispatcherKey(pub u64);

impl fmt::Display for DispatcherKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for DispatcherKey {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}

/// How a dispatcher is chosen. All rules but the first are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementRule {
    /// By the free slots of the last hint, minus the tasks sent since.
    #[default]
    FreeSlots,
    /// A uniformly random dispatcher of the local data centre.
    RandomOwner,
    /// Of two random dispatchers of the local data centre, the one with fewer outstanding tasks of this entry.
    TwoChoices,
}

/// The limits of a [`PlacementTable`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// The rule by which a dispatcher is chosen.
    pub rule: PlacementRule,
    /// How many dispatchers are drawn, weighted by their free slots; the best one drawn is chosen.
    ///
    /// Many entries receive the same hints. If each chose the best of all dispatchers, all would choose the same one
    /// and fill its queue until the next hint. Two draws spread the tasks and still avoid a full dispatcher.
    pub draws: u32,
    /// How long an offer may stay unanswered, without a hint from the dispatcher, before the dispatcher gets no more
    /// tasks.
    ///
    /// A frozen process whose last hint showed free slots would attract tasks until its connection is given up. A
    /// dispatcher answers an offer at once, and 250 ms are a hundred round trips between data centres.
    pub response_timeout: Duration,
    /// The age up to which hints of another data centre are used. After a longer time a burst may have taken the spare
    /// slots, and a task that queues there has spent the round trip for nothing.
    pub spare_max_age: Duration,
    /// How many round trips the local wait must exceed before a task is shifted to another data centre. The offer, the
    /// claim and the answer each cross between the data centres.
    pub min_gain_round_trips: u32,
    /// The percentage of another data centre's slots that must stay free for its own callers.
    ///
    /// When several entries of an overloaded data centre shift tasks at once, the overload could move to the next data
    /// centre and both would then shift tasks back and forth. A fifth of the slots covers what all entries together
    /// send before they learn of each other's tasks.
    pub reserve_percent: u32,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            rule: PlacementRule::default(),
            draws: 2,
            response_timeout: Duration::from_millis(250),
            spare_max_age: Duration::from_secs(2),
            min_gain_round_trips: 2,
            reserve_percent: 20,
        }
    }
}

/// A dispatcher's last report of its load. It may be outdated when it is used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotsHint {
    /// The number of tasks that the dispatcher may run at once.
    pub limit: u32,
    /// The number of running tasks.
    pub running: u32,
    /// The number of tasks queued at the dispatcher.
    pub queued: u32,
}

/// The properties of a task that placement depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementQuery {
    /// The recent mean run time of tasks, which converts queued tasks into a wait.
    pub mean_run_time: Duration,
}

/// The dispatchers that an entry may place tasks on.
///
/// Several entries send bursts of jobs to the same slots. A task that queues at one dispatcher while another one has a
/// free slot makes its whole job late. A choice costs O(log n) in the dispatchers of a data centre and one step per
/// data centre; adding or removing a dispatcher costs O(n).
#[derive(Debug)]
pub struct PlacementTable {
    settings: PlacementSettings,
    /// The local data centre of this entry comes first.
    sites: Vec<DataCentreSite>,
    locations: FastMap<DispatcherKey, (usize, usize)>,
    rng: fastrand::Rng,
}

impl PlacementTable {
    /// Creates a table without dispatchers for an entry in the data centre `local`.
    pub fn new(settings: PlacementSettings, local: DataCentreId, rng: fastrand::Rng) -> Self {
        Self {
            settings,
            sites: vec![DataCentreSite::new(local, Duration::ZERO)],
            locations: FastMap::default(),
            rng,
        }
    }

    /// Adds another data centre, or updates the round-trip time to it.
    pub fn set_data_centre(&mut self, data_centre: &DataCentreId, round_trip: Duration) {
        let site = self.site_index(data_centre);
        self.sites[site].round_trip = round_trip;
    }

    /// Sets whether a data centre can be reached. Nothing is placed in an unreachable one.
    pub fn set_reachable(&mut self, data_centre: &DataCentreId, reachable: bool) {
        let site = self.site_index(data_centre);
        self.sites[site].reachable = reachable;
    }

    /// Adds a dispatcher. The rule [`PlacementRule::FreeSlots`] does not choose it before its first hint.
    pub fn add_dispatcher(&mut self, key: DispatcherKey, data_centre: &DataCentreId) {
        if self.locations.contains_key(&key) {
            return;
        }
        let site = self.site_index(data_centre);
        self.sites[site].dispatchers.push(DispatcherState::new(key));
        self.reindex(site);
    }

    /// Removes a dispatcher that is stopping or gone.
    pub fn remove_dispatcher(&mut self, key: DispatcherKey) {
        let Some((site, index)) = self.locations.remove(&key) else {
            return;
        };
        self.sites[site].dispatchers.swap_remove(index);
        self.reindex(site);
    }

    /// Applies the reported load of a dispatcher. `unanswered` is the number of offers of this entry that the
    /// dispatcher has not answered yet and so cannot have counted.
    pub fn on_hint(&mut self, now: Instant, key: DispatcherKey, hint: SlotsHint, unanswered: u32) {
        let Some((site, index)) = self.locations.get(&key).copied() else {
            return;
        };
        let site = &mut self.sites[site];
        site.last_hint_at = Some(now);
        site.update(index, |state| state.apply_hint(now, hint, unanswered));
    }

    /// Records that a placed task ended, or was not sent after all.
    pub fn on_end(&mut self, key: DispatcherKey) {
        let Some((site, index)) = self.locations.get(&key).copied() else {
            return;
        };
        let dispatcher = &mut self.sites[site].dispatchers[index];
        dispatcher.outstanding = dispatcher.outstanding.saturating_sub(1);
    }

    /// The number of slots that tasks of this entry compete for: those of the local data centre, or if it has none,
    /// those of the data centre where the tasks would queue. Otherwise an entry that lost its local endpoints would
    /// refuse work that other data centres could do.
    pub fn slots(&self, now: Instant) -> u64 {
        let site = self.site_to_queue_at(now);
        site.map_or(0, |n| self.sites[n].slot_limits.total())
    }

    /// The saturation of the slots counted by [`Self::slots`].
    pub fn saturation(&self, now: Instant) -> Saturation {
        let site = self.site_to_queue_at(now);
        site.map_or(Saturation::new(0, 0), |n| self.sites[n].saturation())
    }

    /// The number of free slots of the local data centre's other dispatchers, according to their hints.
    pub fn free_slots_elsewhere(&self, key: DispatcherKey) -> u64 {
        let site = &self.sites[0];
        let own = match self.locations.get(&key) {
            Some((0, index)) => site.dispatchers[*index].free_slots(),
            _ => 0,
        };
        site.free_slots.total().saturating_sub(own)
    }

    /// Chooses a dispatcher and counts the task as sent to it. `None` if no reachable dispatcher has a slot.
    pub fn choose(&mut self, now: Instant, query: PlacementQuery) -> Option<DispatcherKey> {
        for site in &mut self.sites {
            site.suspect_unresponsive(now, self.settings.response_timeout);
        }
        let (site, index) = match self.settings.rule {
            PlacementRule::FreeSlots => self.choose_by_free_slots(now, query)?,
            PlacementRule::RandomOwner => (0, self.sites[0].any(&mut self.rng)?),
            PlacementRule::TwoChoices => (0, self.choose_of_two()?),
        };
        let site = &mut self.sites[site];
        site.update(index, |state| state.record_sent(now));
        Some(site.dispatchers[index].key)
    }

    /// Chooses like [`Self::choose`], but takes `avoided` only if there is no other dispatcher.
    ///
    /// A dispatcher that has just rejected a task looks as free as before until its next hint, so it would attract the
    /// same task again. Avoiding one dispatcher is enough, since its hint arrives within a heartbeat.
    pub fn choose_avoiding(
        &mut self,
        now: Instant,
        query: PlacementQuery,
        avoided: DispatcherKey,
    ) -> Option<DispatcherKey> {
        self.set_avoided(avoided, true);
        let other = self.choose(now, query);
        self.set_avoided(avoided, false);
        other.or_else(|| self.choose(now, query))
    }

    /// Records that a dispatcher answered an offer that was unanswered at its last hint or was sent since.
    pub fn on_answer(&mut self, key: DispatcherKey) {
        let Some((site, index)) = self.locations.get(&key).copied() else {
            return;
        };
        self.sites[site].update(index, DispatcherState::record_answer);
    }

    fn set_avoided(&mut self, key: DispatcherKey, avoided: bool) {
        let Some((site, index)) = self.locations.get(&key).copied() else {
            return;
        };
        self.sites[site].update(index, |state| state.avoided = avoided);
    }

    /// Prefers a free slot in the local data centre, then one in another data centre if the shift saves time, then a
    /// queue.
    fn choose_by_free_slots(
        &mut self,
        now: Instant,
        query: PlacementQuery,
    ) -> Option<(usize, usize)> {
        let draws = self.settings.draws;
        if let Some(index) = self.sites[0].freest(draws, &mut self.rng) {
            return Some((0, index));
        }
        let local_wait = self.sites[0].predicted_wait(query.mean_run_time);
        if let Some(site) = self.site_to_shift_to(now, local_wait) {
            let index = self.sites[site].freest(draws, &mut self.rng)?;
            return Some((site, index));
        }
        let site = self.site_to_queue_at(now)?;
        let index = self.sites[site].least_queued(draws, &mut self.rng)?;
        Some((site, index))
    }

    /// The data centre with the most spare slots of those where a shift saves more than the round trips cost. Without
    /// any local dispatcher the local wait is unbounded, so any saving is enough.
    fn site_to_shift_to(&self, now: Instant, local_wait: Duration) -> Option<usize> {
        let mut best = None;
        let mut most = 0;
        for (n, site) in self.sites.iter().enumerate().skip(1) {
            if !site.reachable || !site.is_fresh(now, self.settings.spare_max_age) {
                continue;
            }
            if local_wait <= site.round_trip * self.settings.min_gain_round_trips {
                continue;
            }
            let spare = site.spare_slots(self.settings.reserve_percent);
            if spare > most {
                most = spare;
                best = Some(n);
            }
        }
        best
    }

    /// The local data centre if it has any slot, otherwise the least saturated reachable one.
    fn site_to_queue_at(&self, now: Instant) -> Option<usize> {
        if self.sites[0].slot_limits.total() > 0 {
            return Some(0);
        }
        let mut best = None;
        let mut least = Saturation(f64::INFINITY);
        for (n, site) in self.sites.iter().enumerate().skip(1) {
            if !site.reachable || !site.is_fresh(now, self.settings.spare_max_age) {
                continue;
            }
            if site.saturation() < least {
                least = site.saturation();
                best = Some(n);
            }
        }
        best
    }

    fn choose_of_two(&mut self) -> Option<usize> {
        let site = &self.sites[0];
        let (first, second) = (site.any(&mut self.rng)?, site.any(&mut self.rng)?);
        let outstanding = |index: usize| site.dispatchers[index].outstanding;
        match outstanding(second) < outstanding(first) {
            true => Some(second),
            false => Some(first),
        }
    }

    fn site_index(&mut self, data_centre: &DataCentreId) -> usize {
        for (n, site) in self.sites.iter().enumerate() {
            if site.data_centre == *data_centre {
                return n;
            }
        }
        // Assumed while the round-trip time to a data centre is not known: a message between data centres may take as
        // long as one from a client.
        let round_trip = Duration::from_millis(10);
        self.sites
            .push(DataCentreSite::new(data_centre.clone(), round_trip));
        self.sites.len() - 1
    }

    fn reindex(&mut self, site: usize) {
        self.sites[site].rebuild_totals();
        for (index, dispatcher) in self.sites[site].dispatchers.iter().enumerate() {
            self.locations.insert(dispatcher.key, (site, index));
        }
    }
}
