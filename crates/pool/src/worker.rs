//! One worker: its room, its runs, its clock and what its silence means.

use std::{
    collections::{BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use jobs::{
    BirthTime, FenceToken, JobId, ResourceDemand, RunNumber, TaskId, TaskText, WorkerClock,
    WorkerRecord, WorkerState,
};

use crate::health::WorkerHealth;

/// The weight of a new sample of a worker's speed: a worker sees about ten ends a second and may turn slow at any
/// moment, so about five samples matter.
const SLOWNESS_SAMPLE_WEIGHT: f64 = 0.2;

/// The bounds of a worker's slowness. Beyond the upper one it makes no difference how slow it is.
pub(crate) const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 12.0);

/// How many former lives of a worker are remembered, to know entries that still name one.
const MAX_FORMER_LIVES: usize = 8;

/// The shortest time in which a worker that dies is back.
const MIN_RESTART_TIME: Duration = Duration::from_millis(50);

/// How long a worker stands idle before what it has shown of being slow begins to be forgotten.
const SLOWNESS_DECAY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Slowness up to this is kept: workers differ by as much for good.
const RETAINED_SLOWNESS: f64 = 1.4;

/// What is left of the slowness beyond that after each such time.
const SLOWNESS_DECAY_FACTOR: f64 = 0.5;

/// Where a run is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// Its start was ordered and is not known to have been carried out.
    Ordered,
    /// It is known to have begun.
    Running,
    /// It was told to stop, or will be.
    Stopping,
}

/// A run that takes room on a worker.
#[derive(Clone, Debug)]
pub(crate) struct TrackedRun {
    pub(crate) task: TaskId,
    pub(crate) run: RunNumber,
    pub(crate) demand: ResourceDemand,
    pub(crate) text: TaskText,
    pub(crate) phase: RunPhase,
    pub(crate) placed_at: Instant,
    /// When a start was answered with success.
    pub(crate) confirmed_at: Option<Instant>,
    /// When a stop was answered with success.
    pub(crate) stop_acked_at: Option<Instant>,
    /// The last lease end that a start carried: later on the worker's clock no copy of it is carried out.
    pub(crate) start_expires: WorkerClock,
    pub(crate) starts_sent: u32,
    /// Starts of it that were answered, in whatever way.
    pub(crate) answered_starts: u32,
    /// Starts of it that have no answer yet.
    pub(crate) starts_in_flight: u32,
    /// What the run would take on a worker of mean speed.
    pub(crate) predicted: Duration,
    pub(crate) estimate: Duration,
    pub(crate) percent: u8,
    /// When `percent` last rose.
    pub(crate) progressed_at: Instant,
    /// How often the task failed before.
    pub(crate) failures: u32,
    /// Whether nothing may run beside it.
    pub(crate) exclusive: bool,
    pub(crate) failed_on: Vec<jobs::LifeId>,
}

/// An order that waits for its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueuedOrder {
    Start(TaskId, RunNumber),
    Stop(TaskId, RunNumber),
}

/// What is known of a worker's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ClockEstimate {
    /// The worker's clock less the owner's, at least: read when an answer came.
    pub(crate) offset: i64,
}

/// Which life of a worker a listing is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListingLife {
    /// The one that is known.
    Known,
    /// An earlier one: the listing says nothing about now.
    Former,
    /// One that was not known.
    New,
}

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct TrackedWorker {
    pub(crate) record: WorkerRecord,
    /// Which life under its id its last listing was of.
    pub(crate) born: Option<BirthTime>,
    /// When that was found. Orders that were sent before may have reached an earlier one.
    pub(crate) life_since: Instant,
    /// Earlier lives, the latest last.
    former_lives: Vec<Option<BirthTime>>,
    /// Since when its entry names another life than its listings.
    directory_mismatch_since: Option<Instant>,
    /// The fence of orders to it: the owner's, or a later version of the store once it has been reborn, so that what is still
    /// on its way to its former life is turned away.
    pub(crate) fence: FenceToken,
    /// Whether it has to see that fence.
    fence_unconfirmed: bool,
    /// When it went missing from the directory.
    pub(crate) unlisted_since: Option<Instant>,
    /// Known once it has answered a look under this fence.
    pub(crate) clock: Option<ClockEstimate>,
    pub(crate) runs: Vec<TrackedRun>,
    /// Runs of former owners that were told to stop.
    pub(crate) foreign_runs: Vec<(TaskId, RunNumber)>,
    pub(crate) queued_orders: VecDeque<QueuedOrder>,
    /// Orders without an answer, but for those that are overdue.
    pub(crate) orders_in_flight: usize,
    /// Orders that are overdue. They keep no others back: their answers may be lost.
    pub(crate) overdue_orders: usize,
    /// No order is sent before.
    pub(crate) orders_paused_until: Option<Instant>,
    /// Looks that are not answered yet.
    pub(crate) polls_in_flight: usize,
    /// When the last look was sent.
    pub(crate) last_poll_sent: Instant,
    /// When the latest of the looks that were answered was sent.
    pub(crate) answered_poll_sent: Option<Instant>,
    /// When its last listing came.
    listed_at: Option<Instant>,
    /// Its clock in the newest listing.
    pub(crate) listed_clock: WorkerClock,
    /// No look is sent before.
    pub(crate) polls_paused_until: Option<Instant>,
    /// Looks in a row without an answer.
    pub(crate) missed_polls: u32,
    /// The last end taken note of.
    pub(crate) last_seen_end: u64,
    /// The last end that a look has acknowledged.
    pub(crate) acknowledged_end: u64,
    /// Whether it has listed its ends since the pool's kept jobs were read.
    pub(crate) ends_listed: bool,
    /// Ends that must not be acknowledged before the store has them.
    pub(crate) unstored_ends: BTreeSet<u64>,
    /// The last lease end that any call carried.
    pub(crate) lease_end: WorkerClock,
    pub(crate) health: WorkerHealth,
    /// Its run times against predicted ones.
    pub(crate) slowness: f64,
    pub(crate) last_end_time: Instant,
    /// When its slowness was last learnt, or forgotten in part.
    slowness_updated: Instant,
}

/// Looks in a row without an answer that make a worker silent: it gets no new runs and its leases run out. One miss
/// may be a single lost connection.
pub(crate) const MISSED_POLLS_TO_SILENCE: u32 = 2;

/// The most looks at one worker without an answer: two in a row are seldom lost.
const MAX_POLLS_IN_FLIGHT: usize = 2;

impl TrackedWorker {
    pub(crate) fn new(record: WorkerRecord, fence: FenceToken, now: Instant) -> Self {
        Self {
            record,
            born: None,
            life_since: now,
            former_lives: Vec::new(),
            directory_mismatch_since: None,
            fence,
            fence_unconfirmed: false,
            unlisted_since: None,
            clock: None,
            runs: Vec::new(),
            foreign_runs: Vec::new(),
            queued_orders: VecDeque::new(),
            orders_in_flight: 0,
            overdue_orders: 0,
            orders_paused_until: None,
            polls_in_flight: 0,
            last_poll_sent: now,
            answered_poll_sent: None,
            listed_at: None,
            listed_clock: WorkerClock(0),
            polls_paused_until: None,
            missed_polls: 0,
            last_seen_end: 0,
            acknowledged_end: 0,
            ends_listed: false,
            unstored_ends: BTreeSet::new(),
            lease_end: WorkerClock(0),
            health: WorkerHealth::default(),
            slowness: 1.0,
            last_end_time: now,
            slowness_updated: now,
        }
    }

    /// The room that runs take, what is being stopped included.
    pub(crate) fn used_room(&self) -> ResourceDemand {
        let mut used = ResourceDemand::default();
        for run in &self.runs {
            used = used.plus(&run.demand);
        }
        used
    }

    /// The room that no run takes.
    pub(crate) fn free_room(&self) -> ResourceDemand {
        self.record.room.minus(&self.used_room())
    }

    /// Whether its runs take more than its room, which has shrunk.
    pub(crate) fn is_over_room(&self) -> bool {
        !self.record.room.holds(&self.used_room())
    }

    /// Which life of it a listing is of that answers a look sent at `sent`.
    pub(crate) fn classify_listing(
        &mut self,
        born: Option<BirthTime>,
        sent: Instant,
    ) -> ListingLife {
        if self.answered_poll_sent.is_none() {
            self.born = born;
        }
        if born != self.born {
            let later = sent >= self.life_since;
            return if later {
                ListingLife::New
            } else {
                ListingLife::Former
            };
        }
        if self
            .directory_mismatch_since
            .is_some_and(|since| sent >= since)
        {
            // Its entry is older than its listing.
            self.remember_former(self.record.born);
            self.directory_mismatch_since = None;
        }
        ListingLife::Known
    }

    /// It has another life, which knows nothing of before.
    pub(crate) fn begin_life(&mut self, now: Instant, born: Option<BirthTime>, fence: u64) {
        self.remember_former(self.born);
        self.former_lives.retain(|former| *former != born);
        self.born = born;
        self.life_since = now;
        self.fence = self.fence.max(FenceToken(fence));
        self.fence_unconfirmed = true;
        self.directory_mismatch_since = None;
        self.clock = None;
        self.listed_clock = WorkerClock(0);
        self.lease_end = WorkerClock(0);
        self.last_seen_end = 0;
        self.acknowledged_end = 0;
        self.ends_listed = false;
        self.unstored_ends.clear();
        self.foreign_runs.clear();
        self.health = WorkerHealth::default();
        for run in &mut self.runs {
            // By the former life's clock. Only a listing or a stop tells that it is over.
            run.start_expires = WorkerClock(u64::MAX);
        }
    }

    /// Adds a former life, and forgets the oldest beyond the bound.
    fn remember_former(&mut self, born: Option<BirthTime>) {
        self.former_lives.retain(|known| *known != born);
        if self.former_lives.len() == MAX_FORMER_LIVES {
            self.former_lives.remove(0);
        }
        self.former_lives.push(born);
    }

    /// Stops a run of which a start may still come to this life. What the former one answered does not count.
    pub(crate) fn stop_stray_run(&mut self, task: TaskId, number: RunNumber) {
        self.queued_orders
            .retain(|order| *order != QueuedOrder::Start(task, number));
        let Some(run) = self.run_mut(task, number) else {
            return;
        };
        run.phase = RunPhase::Stopping;
        run.confirmed_at = None;
        run.stop_acked_at = None;
        self.queued_orders
            .push_back(QueuedOrder::Stop(task, number));
    }

    /// Takes its entry in the directory.
    pub(crate) fn update_record(&mut self, now: Instant, record: WorkerRecord) {
        let named = record.born;
        let known = self.answered_poll_sent.is_none() || named.is_none() || named == self.born;
        if known || self.former_lives.contains(&named) {
            self.directory_mismatch_since = None;
        } else if self.directory_mismatch_since.is_none() || self.record.born != named {
            self.directory_mismatch_since = Some(now);
        }
        self.record = record;
    }

    /// A listing of its present life came, to a look with this fence.
    pub(crate) fn note_listing(&mut self, now: Instant, fence: FenceToken) {
        self.listed_at = Some(now);
        if fence == self.fence {
            self.fence_unconfirmed = false;
        }
    }

    /// What a look acknowledges: what the worker has listed just now and has not heard of. Anything else may reach a later
    /// life, which would forget its first ends unheard. Older ends are listed once more first.
    pub(crate) fn ends_to_acknowledge(&self, now: Instant) -> u64 {
        let up_to = self.last_acknowledgeable_end();
        let fresh = self.listed_at.is_some_and(|at| now < at + MIN_RESTART_TIME);
        match fresh && self.missed_polls == 0 && up_to > self.acknowledged_end {
            true => up_to,
            false => 0,
        }
    }

    /// The last end that may be acknowledged.
    pub(crate) fn last_acknowledgeable_end(&self) -> u64 {
        let stored = self.unstored_ends.first().map(|end| end - 1);
        stored.map_or(self.last_seen_end, |stored| stored.min(self.last_seen_end))
    }

    /// Whether it does not answer.
    pub(crate) fn is_silent(&self) -> bool {
        self.missed_polls >= MISSED_POLLS_TO_SILENCE
    }

    /// Whether it is listed as taking runs, and no look is missed.
    fn is_listed_ready(&self) -> bool {
        self.record.state == WorkerState::Ready
            && self.unlisted_since.is_none()
            && self.missed_polls == 0
    }

    /// Whether it may get new runs, health apart.
    pub(crate) fn accepts_runs(&self) -> bool {
        self.is_listed_ready()
            && self.clock.is_some()
            && self.directory_mismatch_since.is_none()
            && self.foreign_runs.is_empty()
    }

    /// Whether it counts as room that jobs can expect to use. So does one that is being asked for the first time, as all are that
    /// a new owner has: it answers within milliseconds, and until then each job would be refused for want of workers.
    pub(crate) fn is_usable(&self) -> bool {
        let asked_first = self.answered_poll_sent.is_none() && self.is_listed_ready();
        (self.accepts_runs() || asked_first) && self.health.is_healthy()
    }

    /// Whether it would count as such room if a run that tries it out were done.
    pub(crate) fn needs_probe_run(&self, now: Instant) -> bool {
        self.accepts_runs() && self.runs.is_empty() && self.health.needs_probe_run(now)
    }

    pub(crate) fn run_mut(&mut self, task: TaskId, run: RunNumber) -> Option<&mut TrackedRun> {
        self.runs
            .iter_mut()
            .find(|r| r.task == task && r.run == run)
    }

    pub(crate) fn remove_run(&mut self, task: TaskId, run: RunNumber) -> Option<TrackedRun> {
        let place = self
            .runs
            .iter()
            .position(|r| r.task == task && r.run == run)?;
        Some(self.runs.swap_remove(place))
    }

    pub(crate) fn run_count_of(&self, job: JobId) -> usize {
        self.runs.iter().filter(|run| run.task.job == job).count()
    }

    /// The least that the worker's clock can show now.
    pub(crate) fn min_clock_now(&self, owner_millis: u64) -> Option<WorkerClock> {
        let offset = self.clock?.offset;
        Some(WorkerClock(owner_millis.saturating_add_signed(offset)))
    }

    /// Takes the clock of an answer that just came. An answer reads the clock before it travels, so the offset found
    /// is never too high; the highest of several would be nearest, but a drifting clock must be followed down too.
    pub(crate) fn update_clock(&mut self, owner_millis: u64, clock: WorkerClock) {
        let offset = clock
            .0
            .cast_signed()
            .wrapping_sub(owner_millis.cast_signed());
        self.clock = Some(ClockEstimate { offset });
    }

    /// Learns its speed from a run that was done, or from one that is slower than its kind so far.
    pub(crate) fn update_slowness(&mut self, now: Instant, predicted: Duration, took: Duration) {
        if predicted.is_zero() {
            return;
        }
        self.slowness_updated = now;
        let sample = took.as_secs_f64() / predicted.as_secs_f64();
        let sample = sample.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
        self.slowness += SLOWNESS_SAMPLE_WEIGHT * (sample - self.slowness);
    }

    /// Forgets in part that it was slow, if it stands idle. Failure prevented: after calls have been late for a while all
    /// workers of a pool look too slow for any job, every job is refused, and no run can show that they are not.
    pub(crate) fn decay_slowness(&mut self, now: Instant) {
        let idle = self.runs.is_empty() && now >= self.slowness_updated + SLOWNESS_DECAY_INTERVAL;
        if !idle || self.slowness <= RETAINED_SLOWNESS {
            return;
        }
        self.slowness_updated = now;
        self.slowness =
            RETAINED_SLOWNESS + (self.slowness - RETAINED_SLOWNESS) * SLOWNESS_DECAY_FACTOR;
    }

    /// An order has become overdue.
    pub(crate) fn mark_order_overdue(&mut self) {
        self.orders_in_flight = self.orders_in_flight.saturating_sub(1);
        self.overdue_orders += 1;
    }

    /// An order was answered, or is given up. `late` says that it may have been overdue.
    pub(crate) fn finish_order(&mut self, late: bool) {
        if late && self.overdue_orders > 0 {
            self.overdue_orders -= 1;
        } else {
            self.orders_in_flight = self.orders_in_flight.saturating_sub(1);
        }
    }

    /// Whether nothing of its owner's is on it or on the way to it.
    pub(crate) fn is_idle(&self) -> bool {
        let under_way = self.orders_in_flight + self.overdue_orders;
        self.runs.is_empty() && self.queued_orders.is_empty() && under_way == 0
    }

    /// Whether it needs a look now. `wants_ends` says that jobs wait for what it has to list, `hedge` after which time a
    /// look without an answer gets a second one beside it.
    pub(crate) fn needs_poll(
        &self,
        now: Instant,
        idle_ack: Duration,
        wants_ends: bool,
        hedge: Option<Duration>,
    ) -> bool {
        if self.polls_paused_until.is_some_and(|pause| now < pause) {
            return false;
        }
        if self.polls_in_flight > 0 {
            let again = self
                .directory_mismatch_since
                .is_some_and(|since| self.last_poll_sent < since)
                || self.fence_unconfirmed;
            if again && self.polls_in_flight < MAX_POLLS_IN_FLIGHT {
                return true;
            }
            let hedged = hedge.is_some_and(|hedge| now >= self.last_poll_sent + hedge);
            return hedged && self.polls_in_flight < MAX_POLLS_IN_FLIGHT && !self.runs.is_empty();
        }
        let unknown = self.clock.is_none()
            || self.missed_polls > 0
            || self.directory_mismatch_since.is_some()
            || self.fence_unconfirmed;
        let unacknowledged =
            self.acknowledged_end < self.last_seen_end && now >= self.last_end_time + idle_ack;
        let held = !self.runs.is_empty() || !self.foreign_runs.is_empty();
        held || unacknowledged || unknown || (wants_ends && !self.ends_listed)
    }
}
