//! The choice of a dispatcher for each task of an entry.

use std::{
    collections::BTreeSet,
    fmt,
    num::ParseIntError,
    str::FromStr,
    time::{Duration, Instant},
};

use model::{DataCentreId, FastMap};

use crate::{admission::Saturation, weight_tree::WeightTree};

/// A dispatcher as its entry numbers it.
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

/// How a dispatcher is chosen. All but the first are there to be measured against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementRule {
    /// By the free slots last heard of, less what was sent since.
    #[default]
    FreeSlots,
    /// Any dispatcher of the data centre.
    RandomOwner,
    /// Of two at random the one with less outstanding from this entry.
    TwoChoices,
}

/// The limits of a [`PlacementTable`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// The rule.
    pub rule: PlacementRule,
    /// How many dispatchers are drawn, by their free slots, to take the best of them.
    ///
    /// Load: many entries that have heard the same. Harm: if each took the best of all, they would all take the
    /// same one and fill its queue until the next hint. Reason: two draws spread them and still avoid a full one.
    pub draws: u32,
    /// How long a dispatcher may leave a sent task without any word until it gets no more.
    ///
    /// Load: a frozen process whose last hint showed free slots. Harm: it would draw tasks until its connection is
    /// given up. Reason: it answers an offer at once, and 250 ms are a hundred round trips between data centres.
    pub response_timeout: Duration,
    /// How long the spare slots of another data centre count as known. Reason: within that time a burst may have
    /// taken them, and a task that queues there has paid the way for nothing.
    pub spare_max_age: Duration,
    /// How many round trips a shift must gain. Reason: the offer, the claim and the answer each cross the border.
    pub min_gain_round_trips: u32,
    /// The percentage of another data centre's slots that must stay free for its own callers.
    ///
    /// Load: one data centre overloaded, several entries that shift at once. Harm: the overload moves to the next
    /// data centre and both shift back and forth. Reason: a fifth covers what all entries together send before
    /// they hear of each other's tasks.
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

/// What a dispatcher last said of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotsHint {
    /// Tasks that it may run at once.
    pub limit: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that wait there.
    pub queued: u32,
}

/// What a choice needs to know of the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementQuery {
    /// The mean run time of tasks lately, by which queued tasks are turned into a wait.
    pub mean_run_time: Duration,
}

/// The dispatchers that an entry may choose from.
///
/// Load: bursts of jobs from several entries onto the same slots. Harm: a task that queues at one dispatcher while
/// another has a free slot makes its whole job late. A choice costs O(log n) in the dispatchers of a data centre
/// and one step for each data centre; adding and removing a dispatcher costs O(n).
#[derive(Debug)]
pub struct PlacementTable {
    settings: PlacementSettings,
    /// The data centre of this entry comes first.
    sites: Vec<DataCentreSite>,
    locations: FastMap<DispatcherKey, (usize, usize)>,
    rng: fastrand::Rng,
}

impl PlacementTable {
    /// A table without dispatchers for an entry in the data centre `local`.
    pub fn new(settings: PlacementSettings, local: DataCentreId, rng: fastrand::Rng) -> Self {
        Self {
            settings,
            sites: vec![DataCentreSite::new(local, Duration::ZERO)],
            locations: FastMap::default(),
            rng,
        }
    }

    /// Makes another data centre known and how long a message to it and back takes.
    pub fn set_data_centre(&mut self, data_centre: &DataCentreId, round_trip: Duration) {
        let site = self.site_index(data_centre);
        self.sites[site].round_trip = round_trip;
    }

    /// Says whether a data centre can be reached. Into one that is cut off nothing is placed.
    pub fn set_reachable(&mut self, data_centre: &DataCentreId, reachable: bool) {
        let site = self.site_index(data_centre);
        self.sites[site].reachable = reachable;
    }

    /// Adds a dispatcher. It is not chosen before its first hint.
    pub fn add_dispatcher(&mut self, key: DispatcherKey, data_centre: &DataCentreId) {
        if self.locations.contains_key(&key) {
            return;
        }
        let site = self.site_index(data_centre);
        self.sites[site].dispatchers.push(DispatcherState::new(key));
        self.reindex(site);
    }

    /// Removes a dispatcher that stops or is gone.
    pub fn remove_dispatcher(&mut self, key: DispatcherKey) {
        let Some((site, index)) = self.locations.remove(&key) else {
            return;
        };
        self.sites[site].dispatchers.swap_remove(index);
        self.reindex(site);
    }

    /// Notes what a dispatcher said of itself. `unanswered` are the offers of this entry that it has not answered
    /// yet: those it cannot have counted.
    pub fn on_hint(&mut self, now: Instant, key: DispatcherKey, hint: SlotsHint, unanswered: u32) {
        let Some((site, index)) = self.locations.get(&key).copied() else {
            return;
        };
        let site = &mut self.sites[site];
        site.last_hint_at = Some(now);
        site.update(index, |state| state.apply_hint(now, hint, unanswered));
    }

    /// Notes that a chosen task ended, or was not sent after all.
    pub fn on_end(&mut self, key: DispatcherKey) {
        let Some((site, index)) = self.locations.get(&key).copied() else {
            return;
        };
        let dispatcher = &mut self.sites[site].dispatchers[index];
        dispatcher.outstanding = dispatcher.outstanding.saturating_sub(1);
    }

    /// The slots that tasks of this entry compete for: those of the local data centre, or while it has none those
    /// of the one that they would queue in. Without it an entry that lost its endpoints would refuse work that others
    /// could do.
    pub fn slots(&self, now: Instant) -> u64 {
        let site = self.site_to_queue_at(now);
        site.map_or(0, |n| self.sites[n].slot_limits.total())
    }

    /// How full those slots are.
    pub fn saturation(&self, now: Instant) -> Saturation {
        let site = self.site_to_queue_at(now);
        site.map_or(Saturation::new(0, 0), |n| self.sites[n].saturation())
    }

    /// The free slots of the local data centre's other dispatchers, as far as is known.
    pub fn free_slots_elsewhere(&self, key: DispatcherKey) -> u64 {
        let site = &self.sites[0];
        let own = match self.locations.get(&key) {
            Some((0, index)) => site.dispatchers[*index].free_slots(),
            _ => 0,
        };
        site.free_slots.total().saturating_sub(own)
    }

    /// Chooses a dispatcher and counts the task as sent there. `None` when no reachable dispatcher has a slot.
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

    /// Chooses like [`Self::choose`], but not `avoided` while there is any other.
    ///
    /// Load: a dispatcher that has just turned the task away. Harm: it looks as free as before until its next hint,
    /// and draws the task again. Reason for not more than one: its hint comes within a heartbeat.
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

    /// Notes that a dispatcher answered an offer that it had not answered at its last hint.
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

    /// The local data centre while it has a free slot, then another where that gains time, then the local queue.
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

    /// The data centre with the most spare slots of those where a shift gains more than its way costs. Without any
    /// local dispatcher the local wait has no end and any gain is enough.
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

    /// The local data centre if it has any slot, otherwise the least full one that can be reached.
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
        // Of one whose way is not known the first message may take as long as clients' do.
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

/// The dispatchers of one data centre.
#[derive(Debug)]
struct DataCentreSite {
    data_centre: DataCentreId,
    round_trip: Duration,
    reachable: bool,
    last_hint_at: Option<Instant>,
    dispatchers: Vec<DispatcherState>,
    free_slots: WeightTree,
    slot_limits: WeightTree,
    backlog: u64,
    /// Dispatchers with a task sent and no word since, by when it was sent.
    awaiting_answer: BTreeSet<(Instant, usize)>,
}

impl DataCentreSite {
    fn new(data_centre: DataCentreId, round_trip: Duration) -> Self {
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

    fn update(&mut self, index: usize, update: impl FnOnce(&mut DispatcherState)) {
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

    fn rebuild_totals(&mut self) {
        self.free_slots = WeightTree::new(self.dispatchers.len());
        self.slot_limits = WeightTree::new(self.dispatchers.len());
        self.backlog = 0;
        self.awaiting_answer.clear();
        for index in 0..self.dispatchers.len() {
            self.add_to_totals(index);
        }
    }

    fn suspect_unresponsive(&mut self, now: Instant, response_timeout: Duration) {
        while let Some((waiting_since, index)) = self.awaiting_answer.first().copied() {
            if now.saturating_duration_since(waiting_since) < response_timeout {
                break;
            }
            self.update(index, DispatcherState::mark_suspect);
        }
    }

    /// The one with the most free slots of a few drawn by their free slots.
    fn freest(&self, draws: u32, rng: &mut fastrand::Rng) -> Option<usize> {
        let mut best = self.free_slots.draw(rng)?;
        for _ in 1..draws {
            let other = self.free_slots.draw(rng)?;
            if self.dispatchers[other].free_slots() > self.dispatchers[best].free_slots() {
                best = other;
            }
        }
        Some(best)
    }

    /// The one with the shortest queue for its slots of a few drawn by their slots.
    fn least_queued(&self, draws: u32, rng: &mut fastrand::Rng) -> Option<usize> {
        let mut best = self.slot_limits.draw(rng)?;
        for _ in 1..draws {
            let other = self.slot_limits.draw(rng)?;
            let (a, b) = (&self.dispatchers[other], &self.dispatchers[best]);
            // a.backlog / a.limit < b.backlog / b.limit, without a division.
            if a.backlog() * u64::from(b.hint.limit) < b.backlog() * u64::from(a.hint.limit) {
                best = other;
            }
        }
        Some(best)
    }

    fn any(&self, rng: &mut fastrand::Rng) -> Option<usize> {
        match self.dispatchers.len() {
            0 => None,
            len => Some(rng.usize(..len)),
        }
    }

    /// How long one more task would wait here.
    fn predicted_wait(&self, mean_run_time: Duration) -> Duration {
        match self.slot_limits.total() {
            0 => Duration::MAX,
            limit => mean_run_time.mul_f64((self.backlog + 1) as f64 / limit as f64),
        }
    }

    fn saturation(&self) -> Saturation {
        let used = self.slot_limits.total() - self.free_slots.total();
        Saturation::new(used + self.backlog, self.slot_limits.total())
    }

    fn is_fresh(&self, now: Instant, max_age: Duration) -> bool {
        self.last_hint_at
            .is_some_and(|at| now.saturating_duration_since(at) <= max_age)
    }

    fn spare_slots(&self, reserve_percent: u32) -> u64 {
        let reserve = self.slot_limits.total() * u64::from(reserve_percent) / 100;
        self.free_slots.total().saturating_sub(reserve)
    }
}

#[derive(Debug)]
struct DispatcherState {
    key: DispatcherKey,
    hint: SlotsHint,
    /// Sent and not counted in the hint.
    unanswered_offers: u32,
    /// When the first of those was sent.
    waiting_since: Option<Instant>,
    /// Sent and not ended.
    outstanding: u32,
    suspect: bool,
    avoided: bool,
}

impl DispatcherState {
    fn new(key: DispatcherKey) -> Self {
        Self {
            key,
            hint: SlotsHint::default(),
            unanswered_offers: 0,
            waiting_since: None,
            outstanding: 0,
            suspect: false,
            avoided: false,
        }
    }

    fn apply_hint(&mut self, now: Instant, hint: SlotsHint, unanswered: u32) {
        self.hint = hint;
        self.unanswered_offers = unanswered;
        self.waiting_since = (unanswered > 0).then_some(now);
        self.suspect = false;
    }

    fn record_sent(&mut self, now: Instant) {
        self.unanswered_offers += 1;
        self.outstanding += 1;
        self.waiting_since = self.waiting_since.or(Some(now));
    }

    fn record_answer(&mut self) {
        self.unanswered_offers = self.unanswered_offers.saturating_sub(1);
        if self.unanswered_offers == 0 {
            self.waiting_since = None;
        }
    }

    fn mark_suspect(&mut self) {
        self.suspect = true;
        self.waiting_since = None;
    }

    fn load(&self) -> u64 {
        u64::from(self.hint.running)
            + u64::from(self.hint.queued)
            + u64::from(self.unanswered_offers)
    }

    fn free_slots(&self) -> u64 {
        self.usable_limit().saturating_sub(self.load())
    }

    fn backlog(&self) -> u64 {
        match self.suspect {
            true => 0,
            false => self.load().saturating_sub(u64::from(self.hint.limit)),
        }
    }

    fn usable_limit(&self) -> u64 {
        match self.suspect || self.avoided {
            true => 0,
            false => u64::from(self.hint.limit),
        }
    }
}
