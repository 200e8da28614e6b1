//! The owner's record of one worker: its capacity, runs, clock, health and speed, and the orders and polls sent to it.

use std::{
    collections::{BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use jobs::{
    EndedRun, FenceToken, JobId, ResourceDemand, RunNumber, TaskId, TaskText, WorkerClock,
    WorkerListing, WorkerRecord, WorkerStartTime, WorkerState, MAX_LISTED_ENDS,
};

use crate::{
    action::RunBeginning,
    attempt_times::WORKER_CLOCK_DRIFT,
    crash::TaskRestriction,
    health::WorkerHealth,
    run_progress::{LongTaskFilter, SlowWorkerPause},
    worker_watch::WorkerWatch,
};

/// The weight of a new sample in a worker's slowness. About five samples count: a worker ends about ten runs a second
/// and may turn slow at any moment.
pub(crate) const SLOWNESS_SAMPLE_WEIGHT: f64 = 0.2;

/// The bounds of a worker's slowness, a ratio of run times. Above the upper bound it makes no difference how slow the
/// worker is.
pub(crate) const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 12.0);

/// The maximum number of former incarnations remembered per worker. They show when a directory entry names a
/// former incarnation.
const MAX_FORMER_INCARNATIONS: usize = 8;

/// The time after an answered stop within which the run ends, in milliseconds.
const STOP_TIME_MS: u64 = 50;

/// The shortest time that a worker needs to restart after it died.
const MIN_RESTART_TIME: Duration = Duration::from_millis(50);

/// The shortest lease with which a start is sent while a worker's lease is held, from the worker's last listing. A short
/// task ends within it, and it is longer than a poll, so that the run still lives when a renewal follows.
const MIN_START_LEASE: Duration = Duration::from_millis(400);

/// The shortest lease with which a start is sent while a run of the worker has to be over soon. That run is ordered to
/// stop before, and the lease is extended again once the stop is answered.
pub(crate) const MIN_LIMITED_LEASE: Duration = Duration::from_millis(MIN_LIMITED_LEASE_MS);
const MIN_LIMITED_LEASE_MS: u64 = 150;

/// The time that a worker has to be idle before its measured slowness decays by one step.
const SLOWNESS_DECAY_INTERVAL: Duration = Duration::from_millis(1_000);

/// The time after which an idle worker is polled for its clock. The lease of the next start is shorter by the drift that
/// its clock may have in this time.
const CLOCK_REFRESH_INTERVAL: Duration = Duration::from_millis(5_000);

/// How long a worker with ends of former owners' runs gets leases while the rows of the kept jobs cannot be read. With the
/// lease granted last, that is shorter than the owners of such jobs wait before they start tasks again.
const MAX_UNREAD_TIME: Duration = Duration::from_millis(1_000);

/// Slowness up to this value does not decay: workers differ by this much permanently.
const RETAINED_SLOWNESS: f64 = 1.4;

/// The factor by which slowness above `RETAINED_SLOWNESS` decays in each `SLOWNESS_DECAY_INTERVAL`.
const SLOWNESS_DECAY_FACTOR: f64 = 0.5;

/// The phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The start was ordered and is not known to have been carried out.
    Ordered,
    /// The run is known to have begun.
    Running,
    /// The run was ordered to stop, or its stop order is queued.
    Stopping,
}

/// How a poll went unanswered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollMiss {
    /// Its connection broke. An ended run would have answered it while it waited at the worker, so if it was sent at once
    /// after the last listing, what ran then ran until the connection broke.
    Broken,
    /// It got no answer in time, so runs may have ended unheard since the last listing.
    Silent,
}

/// A poll that went unanswered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MissedPoll {
    pub(crate) kind: PollMiss,
    pub(crate) sent: Instant,
}

/// A run that occupies capacity of a worker.
#[derive(Clone, Debug)]
pub(crate) struct TrackedRun {
    pub(crate) task: TaskId,
    pub(crate) run: RunNumber,
    pub(crate) demand: ResourceDemand,
    /// The task's text, passed to the worker.
    pub(crate) text: TaskText,
    pub(crate) phase: RunPhase,
    pub(crate) beginning: RunBeginning,
    pub(crate) placed_at: Instant,
    /// When a start was answered with success.
    pub(crate) confirmed_at: Option<Instant>,
    /// Whether the run must not outlive the lease granted so far, since its attempt has ended and its task may be run
    /// again by another owner.
    pub(crate) must_end: bool,
    /// When a stop was answered with success.
    pub(crate) stop_acked_at: Option<Instant>,
    /// The latest lease end that a start of the run carried. After it, on the worker's clock, no copy of the start is
    /// carried out.
    pub(crate) start_expires: WorkerClock,
    /// How many times the start was sent.
    pub(crate) starts_sent: u32,
    /// The number of starts of which certainly nothing was sent.
    pub(crate) starts_not_sent: u32,
    /// The number of starts that were answered in any way.
    pub(crate) answered_starts: u32,
    /// The number of starts without an answer so far.
    pub(crate) starts_in_flight: u32,
    /// The predicted run time on a worker of mean speed.
    pub(crate) predicted: Duration,
    /// The customer's estimate of the run time.
    pub(crate) estimate: Duration,
    /// The greatest progress that a listing has shown, in percent.
    pub(crate) percent: u8,
    /// When `percent` last rose.
    pub(crate) progressed_at: Instant,
    /// Whether the run was used to learn its worker's speed before it ended.
    pub(crate) pace_learned: bool,
    /// How many times the task has failed before.
    pub(crate) failures: u32,
    /// What it could share its worker with when it was placed there.
    pub(crate) restriction: TaskRestriction,
    /// The workers on which the task failed before.
    pub(crate) failed_on: Vec<jobs::InstanceId>,
    /// When the run has to be over, on the owner's clock in milliseconds: another attempt may begin then. None if it needs
    /// no lease to be over by then.
    pub(crate) runs_until: Option<u64>,
}

impl TrackedRun {
    /// Takes back that a start was sent: no connection could be opened for it.
    pub(crate) fn record_unsent_start(&mut self) {
        self.starts_not_sent += 1;
        let none_sent = self.starts_not_sent == self.starts_sent;
        let may_have_begun = matches!(
            self.beginning,
            RunBeginning::Unconfirmed | RunBeginning::Unreached
        );
        if none_sent && may_have_begun {
            self.beginning = RunBeginning::Unsent;
        }
    }

    /// Records that the worker has answered a stop of the run at `owner_millis` on the owner's clock. The run still lasts
    /// for up to [`STOP_TIME_MS`], so its limit holds on if that is later.
    pub(crate) fn record_stop_answer(&mut self, now: Instant, owner_millis: u64) {
        self.stop_acked_at = Some(now);
        let ends_by = owner_millis + STOP_TIME_MS;
        self.runs_until = self.runs_until.filter(|limit| ends_by > *limit);
    }

    /// Moves the limit of the run to a later time on the owner's clock, in milliseconds.
    pub(crate) fn extend_limit(&mut self, limit: u64) {
        self.runs_until = self.runs_until.map(|former| former.max(limit));
    }

    /// Whether the run certainly never began, since no start of it was sent.
    pub(crate) fn is_unsent(&self) -> bool {
        self.beginning == RunBeginning::Unsent
    }
}

/// An order that waits to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueuedOrder {
    Start(TaskId, RunNumber),
    Stop(TaskId, RunNumber),
}

/// What the owner knows of a worker's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ClockEstimate {
    /// A lower bound of the worker's clock minus the owner's, in milliseconds, taken when an answer arrived.
    pub(crate) offset: i64,
    /// The owner's clock when that answer arrived, in milliseconds.
    taken_at: u64,
}

/// The incarnation of a worker to which a listing belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListingIncarnation {
    /// The current incarnation.
    Known,
    /// An earlier incarnation: the listing says nothing about the worker's present state.
    Former,
    /// An incarnation that was not known before.
    New,
}

/// A worker as its owner tracks it.
#[derive(Clone, Debug)]
pub(crate) struct TrackedWorker {
    pub(crate) record: WorkerRecord,
    /// The start time of the incarnation that sent the last listing.
    pub(crate) born: Option<WorkerStartTime>,
    /// When that incarnation was found. Orders that were sent earlier may have reached a former incarnation.
    pub(crate) incarnation_since: Instant,
    /// The start times of former incarnations, the latest last.
    former_incarnations: Vec<Option<WorkerStartTime>>,
    /// Since when its directory entry names another incarnation than its listings do.
    directory_mismatch_since: Option<Instant>,
    /// The fencing token of orders to the worker: the owner's or, once the worker has restarted, a later version of the
    /// store. The worker then rejects orders that were sent to its former incarnation and are still in transit.
    pub(crate) fence: FenceToken,
    /// Whether the worker, after a restart, has yet to answer a poll under that fencing token.
    fence_unconfirmed: bool,
    /// When the worker disappeared from the directory.
    pub(crate) unlisted_since: Option<Instant>,
    /// None until the current incarnation of the worker has answered a call.
    pub(crate) clock: Option<ClockEstimate>,
    pub(crate) runs: Vec<TrackedRun>,
    /// Runs of former owners that were ordered to stop.
    pub(crate) foreign_runs: Vec<(TaskId, RunNumber)>,
    pub(crate) queued_orders: VecDeque<QueuedOrder>,
    /// The number of orders without an answer that are not overdue.
    pub(crate) orders_in_flight: usize,
    /// The number of overdue orders. They do not hold back other orders, since their answers may be lost.
    pub(crate) overdue_orders: usize,
    /// No order is sent before this time.
    pub(crate) orders_paused_until: Option<Instant>,
    /// The number of polls without an answer.
    pub(crate) polls_in_flight: usize,
    /// When the last poll was sent.
    pub(crate) last_poll_sent: Instant,
    /// When the latest of the answered polls was sent.
    pub(crate) answered_poll_sent: Option<Instant>,
    /// When the worker sent the last listing, or somewhat later: an estimate.
    listed_at: Option<Instant>,
    /// When the last listing arrived.
    listing_arrived: Option<Instant>,
    /// The worker's clock in the newest listing.
    pub(crate) listed_clock: WorkerClock,
    /// The owner's clock when that listing arrived, in milliseconds.
    listed_at_millis: u64,
    /// No poll is sent before this time.
    pub(crate) polls_paused_until: Option<Instant>,
    /// The shortest time in which a poll was answered.
    pub(crate) shortest_answer: Option<Duration>,
    /// The current watch of the worker.
    pub(crate) watch: Option<WorkerWatch>,
    /// The number of successive polls without an answer.
    pub(crate) missed_polls: u32,
    /// The first of them, which is the first sign that the worker may have died.
    pub(crate) first_miss: Option<MissedPoll>,
    /// The number of the last ended run that the owner has processed.
    pub(crate) last_seen_end: u64,
    /// The number of the last ended run that a poll has acknowledged.
    pub(crate) acknowledged_end: u64,
    /// Whether the worker has listed all its ended runs since the pool's kept jobs were read.
    pub(crate) ends_listed: bool,
    /// The number of ended runs in the newest listing.
    pub(crate) listed_ends: usize,
    /// The numbers of ended runs that must not be acknowledged before the store has them.
    pub(crate) unstored_ends: BTreeSet<u64>,
    /// The numbers of ended runs that must not be acknowledged before the worker's lease has lapsed. The owners of their jobs
    /// may have started these tasks again, which is allowed only if the lease lapsed before the acknowledgement.
    pub(crate) unlapsed_ends: BTreeSet<u64>,
    /// The number of the last end that was listed when the lease was last seen to have lapsed. None if it has not lapsed since
    /// this owner first heard the worker, so that there may be ends of former owners' runs for which no lease has lapsed.
    last_lapsed_end: Option<u64>,
    /// Since when the worker lists ends that cannot be told apart, since the rows of the kept jobs have not been read.
    unread_ends_since: Option<Instant>,
    /// The latest lease end that any call carried.
    pub(crate) lease_end: WorkerClock,
    /// The latest lease end that a former owner may have granted.
    pub(crate) former_lease_end: WorkerClock,
    pub(crate) health: WorkerHealth,
    /// The ratio of measured to predicted run times.
    pub(crate) slowness: f64,
    /// Tells whether the worker is slow or a task is long.
    pub(crate) long_tasks: LongTaskFilter,
    /// How long the worker is left alone while it is slow.
    pub(crate) slow_pause: SlowWorkerPause,
    /// Whether the worker has ever listed progress of a run.
    pub(crate) lists_progress: bool,
    /// When the last end of a run arrived.
    pub(crate) last_end_time: Instant,
    /// When `slowness` last took a sample or decayed.
    pub(crate) slowness_updated: Instant,
}

/// The number of successive polls without an answer that make a worker silent, so that its runs count as over once
/// their leases have expired. A single missed poll may be one lost connection; it already keeps the worker from getting
/// new runs and lease renewals until the next answer.
pub(crate) const MISSED_POLLS_TO_SILENCE: u32 = 2;

/// The longest time between a listing, or the placement of a run, and the poll that counts as following at once. It
/// covers the time until a call that was decided on is sent.
const MAX_POLL_GAP: Duration = Duration::from_millis(10);

/// The maximum number of polls of one worker in flight: two in a row are seldom lost.
const MAX_POLLS_IN_FLIGHT: usize = 2;

impl TrackedWorker {
    pub(crate) fn new(record: WorkerRecord, fence: FenceToken, now: Instant) -> Self {
        Self {
            record,
            born: None,
            incarnation_since: now,
            former_incarnations: Vec::new(),
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
            listing_arrived: None,
            listed_clock: WorkerClock(0),
            listed_at_millis: 0,
            polls_paused_until: None,
            shortest_answer: None,
            watch: None,
            missed_polls: 0,
            first_miss: None,
            last_seen_end: 0,
            acknowledged_end: 0,
            ends_listed: false,
            listed_ends: 0,
            unstored_ends: BTreeSet::new(),
            unlapsed_ends: BTreeSet::new(),
            last_lapsed_end: None,
            unread_ends_since: None,
            lease_end: WorkerClock(0),
            former_lease_end: WorkerClock(0),
            health: WorkerHealth::default(),
            slowness: 1.0,
            long_tasks: LongTaskFilter::default(),
            slow_pause: SlowWorkerPause::default(),
            lists_progress: false,
            last_end_time: now,
            slowness_updated: now,
        }
    }

    /// The capacity occupied by runs, including those that are being stopped.
    pub(crate) fn used_capacity(&self) -> ResourceDemand {
        let mut used = ResourceDemand::default();
        for run in &self.runs {
            used = used.plus(&run.demand);
        }
        used
    }

    /// The capacity that no run occupies.
    pub(crate) fn free_capacity(&self) -> ResourceDemand {
        self.record.capacity.minus(&self.used_capacity())
    }

    /// Whether the runs occupy more than the capacity, as they may after the capacity has shrunk.
    pub(crate) fn is_over_capacity(&self) -> bool {
        !self.record.capacity.holds(&self.used_capacity())
    }

    /// Determines the incarnation to which a listing belongs that answers a poll sent at `sent`.
    pub(crate) fn classify_listing(
        &mut self,
        born: Option<WorkerStartTime>,
        sent: Instant,
    ) -> ListingIncarnation {
        if self.answered_poll_sent.is_none() {
            self.born = born;
        }
        if born != self.born {
            let later = sent >= self.incarnation_since;
            return if later {
                ListingIncarnation::New
            } else {
                ListingIncarnation::Former
            };
        }
        if self
            .directory_mismatch_since
            .is_some_and(|since| sent >= since)
        {
            // The directory entry is older than the listing.
            self.add_former_incarnation(self.record.born);
            self.directory_mismatch_since = None;
        }
        ListingIncarnation::Known
    }

    /// Begins a new incarnation of the worker, which knows nothing of the former one.
    pub(crate) fn begin_incarnation(
        &mut self,
        now: Instant,
        born: Option<WorkerStartTime>,
        fence: u64,
    ) {
        self.add_former_incarnation(self.born);
        self.former_incarnations.retain(|former| *former != born);
        self.born = born;
        self.incarnation_since = now;
        self.fence = self.fence.max(FenceToken(fence));
        self.fence_unconfirmed = true;
        self.directory_mismatch_since = None;
        self.clock = None;
        self.listed_clock = WorkerClock(0);
        self.lease_end = WorkerClock(0);
        self.former_lease_end = WorkerClock(0);
        self.last_seen_end = 0;
        self.acknowledged_end = 0;
        self.ends_listed = false;
        self.listed_ends = 0;
        self.unstored_ends.clear();
        self.unlapsed_ends.clear();
        self.last_lapsed_end = None;
        self.unread_ends_since = None;
        self.foreign_runs.clear();
        self.health = WorkerHealth::default();
        for run in &mut self.runs {
            // `start_expires` was on the former incarnation's clock. Now only a listing or a stop shows that the run is
            // over.
            run.start_expires = WorkerClock(u64::MAX);
        }
    }

    /// Adds a former incarnation and drops the oldest one beyond `MAX_FORMER_INCARNATIONS`.
    fn add_former_incarnation(&mut self, born: Option<WorkerStartTime>) {
        self.former_incarnations.retain(|known| *known != born);
        if self.former_incarnations.len() == MAX_FORMER_INCARNATIONS {
            self.former_incarnations.remove(0);
        }
        self.former_incarnations.push(born);
    }

    /// Stops a run whose start may still arrive in the current incarnation. Answers of the former incarnation do not
    /// count.
    pub(crate) fn stop_stray_run(&mut self, task: TaskId, number: RunNumber) {
        self.queued_orders
            .retain(|order| *order != QueuedOrder::Start(task, number));
        let Some(run) = self.run_mut(task, number) else {
            return;
        };
        run.phase = RunPhase::Stopping;
        run.beginning = RunBeginning::Unconfirmed;
        run.confirmed_at = None;
        run.stop_acked_at = None;
        self.queue_stop(task, number);
    }

    /// Orders a run to stop again if it had to stop before the worker restarted and the new incarnation has it.
    pub(crate) fn repeat_stop(&mut self, task: TaskId, number: RunNumber) {
        let run = self.run_mut(task, number);
        if run.is_some_and(|run| run.phase == RunPhase::Stopping) {
            self.stop_stray_run(task, number);
        }
    }

    /// Queues the order to stop a run: before all other orders if the run must end. A stop that is sent again goes to the
    /// end instead: stops that are not heard would hold back every start.
    pub(crate) fn queue_stop(&mut self, task: TaskId, number: RunNumber) {
        let stop = QueuedOrder::Stop(task, number);
        self.queued_orders.retain(|order| *order != stop);
        match self.run_mut(task, number).is_some_and(|run| run.must_end) {
            true => self.queued_orders.push_front(stop),
            false => self.queued_orders.push_back(stop),
        }
    }

    /// Takes over a new directory entry of the worker.
    pub(crate) fn update_record(&mut self, now: Instant, record: WorkerRecord) {
        let named = record.born;
        let known = self.answered_poll_sent.is_none() || named.is_none() || named == self.born;
        if known || self.former_incarnations.contains(&named) {
            self.directory_mismatch_since = None;
        } else if self.directory_mismatch_since.is_none() || self.record.born != named {
            self.directory_mismatch_since = Some(now);
        }
        self.record = record;
    }

    /// Notes that a listing of the current incarnation arrived, in answer to a poll with this fencing token. `clock` is
    /// the worker's clock in it.
    ///
    /// While the owner's process stands still or the path is slow, the worker may restart after it has sent a listing.
    /// The listing's clock is then behind the worker's estimated clock, which shows that it waited.
    pub(crate) fn record_listing(
        &mut self,
        now: Instant,
        owner_millis: u64,
        clock: WorkerClock,
        fence: FenceToken,
    ) {
        let expected = self.min_clock_now(owner_millis).unwrap_or(clock);
        let waited = Duration::from_millis(expected.0.saturating_sub(clock.0));
        self.listed_at_millis = owner_millis;
        self.listed_at = Some(now.checked_sub(waited).unwrap_or(now));
        self.listing_arrived = Some(now);
        if fence == self.fence {
            self.fence_unconfirmed = false;
        }
    }

    /// The number of the last ended run that the next poll acknowledges, or 0 for none. Only ends that the worker
    /// sent within the last `MIN_RESTART_TIME` are acknowledged: a later acknowledgement may reach a new incarnation,
    /// which would discard its own first ends before the owner has seen them. Older ends have to be listed once more
    /// first.
    pub(crate) fn ends_to_acknowledge(&self, now: Instant) -> u64 {
        let last_end = self.last_acknowledgeable_end();
        let fresh = self.listed_at.is_some_and(|at| now < at + MIN_RESTART_TIME);
        match fresh && self.missed_polls == 0 && last_end > self.acknowledged_end {
            true => last_end,
            false => 0,
        }
    }

    /// The number of the last ended run that may be acknowledged.
    pub(crate) fn last_acknowledgeable_end(&self) -> u64 {
        let held_back = [&self.unstored_ends, &self.unlapsed_ends];
        let first_held_back = held_back.iter().filter_map(|ends| ends.first()).min();
        let released = first_held_back.map_or(self.last_seen_end, |end| end - 1);
        released.min(self.last_seen_end)
    }

    /// How long the worker's lease still lasts at most, by its clock, which may be slow. `None` if the clock is not known.
    pub(crate) fn time_to_lapse(&self, owner_millis: u64, margin: Duration) -> Option<Duration> {
        let lapse = self.last_lease_end().plus(margin);
        let clock = self.min_clock_now(owner_millis)?;
        let left = Duration::from_millis(lapse.0.saturating_sub(clock.0));
        Some(left.mul_f64(1.0 + WORKER_CLOCK_DRIFT))
    }

    /// Has an end acknowledged only once the lease has lapsed after it.
    pub(crate) fn await_lapse(&mut self, end: u64) {
        if self.last_lapsed_end.is_none_or(|last| end > last) {
            self.unlapsed_ends.insert(end);
        }
    }

    /// Handles a listing: if the lease has lapsed by its clock, the ends in it no longer wait for that.
    pub(crate) fn note_lapse(&mut self, listing: &WorkerListing, margin: Duration) {
        if listing.clock < self.last_lease_end().plus(margin) {
            return;
        }
        let last = listing.ended.as_slice().last().map_or(0, |end| end.number);
        self.last_lapsed_end = self.last_lapsed_end.max(Some(last));
        self.unlapsed_ends.retain(|end| *end > last);
    }

    /// Handles that the rows of the kept jobs have not been read when the worker lists ends. They may be of jobs whose owners
    /// wait only so long, so the lease is not extended for much longer than a read takes. Once it has lapsed, it no longer
    /// matters how long that takes.
    pub(crate) fn note_unread_ends(&mut self, now: Instant, ends: &[EndedRun]) {
        let since = *self.unread_ends_since.get_or_insert(now);
        if now < since + MAX_UNREAD_TIME || self.last_lapsed_end.is_some() {
            return;
        }
        for end in ends {
            if end.cause.is_recorded() {
                self.await_lapse(end.number);
            }
        }
    }

    /// Handles that the ends of a listing could be told apart.
    pub(crate) fn note_read_ends(&mut self) {
        self.unread_ends_since = None;
    }

    /// The latest lease end that any owner may have granted.
    fn last_lease_end(&self) -> WorkerClock {
        self.lease_end.max(self.former_lease_end)
    }

    /// Whether the worker may have ended runs beyond those that it has listed.
    pub(crate) fn has_unlisted_ends(&self) -> bool {
        self.listed_ends >= MAX_LISTED_ENDS
    }

    /// Whether the worker could list the end of one more run beside those that are not acknowledged and those of its runs.
    ///
    /// An end that cannot be stored holds back the acknowledgement of all later ones. Without this limit the worker would
    /// have more ends than it lists, and those of all jobs beyond the first ones would be heard only once the store is back.
    fn has_room_for_end(&self) -> bool {
        self.listed_ends + self.runs.len() + 1 < MAX_LISTED_ENDS
    }

    /// Whether the worker counts as silent, since it has missed too many polls.
    pub(crate) fn is_silent(&self) -> bool {
        self.missed_polls >= MISSED_POLLS_TO_SILENCE
    }

    /// Whether a run is known to have been there when the worker died, if it has died in this incarnation.
    pub(crate) fn had_until_death(&self, run: &TrackedRun) -> bool {
        let poll_sent = match self.first_miss {
            Some(missed) => Some(missed.sent).filter(|_| missed.kind == PollMiss::Broken),
            // The next answer after a listing shows the death, unless another poll is still without an answer.
            None => Some(self.last_poll_sent).filter(|_| self.polls_in_flight == 0),
        };
        // Between two polls a run may end unheard.
        let known_until = self.listing_arrived.max(Some(run.placed_at));
        let heard_until_death =
            poll_sent.is_some_and(|sent| known_until.is_some_and(|at| sent <= at + MAX_POLL_GAP));
        let begun = run.beginning == RunBeginning::Begun && run.stop_acked_at.is_none();
        begun && heard_until_death
    }

    /// Whether the directory lists the worker as ready and its last poll was not missed.
    fn is_listed_ready(&self) -> bool {
        self.record.state == WorkerState::Ready
            && self.unlisted_since.is_none()
            && self.missed_polls == 0
    }

    /// Whether the worker's lease must not be extended beyond what was granted.
    ///
    /// A lease holds for all runs on a worker. If one of them has to end and the worker does not hear its stop, every
    /// renewal for the others would keep it running, beside the run of the customer's next attempt at another owner.
    /// Without renewals it ends with the lease granted before. An answered stop needs no lease to end. An end that waits for
    /// the lease to lapse would wait for as long as the worker has runs.
    fn is_lease_held(&self) -> bool {
        let mut runs = self.runs.iter();
        !self.foreign_runs.is_empty()
            || !self.unlapsed_ends.is_empty()
            || runs.any(|run| run.must_end && run.stop_acked_at.is_none())
    }

    /// Grants a lease up to the returned end, on the worker's clock, or repeats the last one while it is held. Every
    /// order that carries a lease takes it from here. None if the worker's clock is not known.
    pub(crate) fn grant_lease(
        &mut self,
        owner_millis: u64,
        lease: Duration,
    ) -> Option<WorkerClock> {
        let end = self.min_clock_now(owner_millis)?.plus(lease);
        let end = match self.earliest_run_limit() {
            Some(limit) => end.min(self.clock_at(owner_millis, limit)?),
            None => end,
        };
        if self.is_lease_held() {
            return Some(end.min(self.lease_end));
        }
        self.lease_end = self.lease_end.max(end);
        Some(end)
    }

    /// When the first of the worker's runs has to be over, on the owner's clock in milliseconds.
    fn earliest_run_limit(&self) -> Option<u64> {
        self.runs.iter().filter_map(|run| run.runs_until).min()
    }

    /// What the worker's clock shows at most at a later time of the owner's clock, in milliseconds, as far as a lease is
    /// concerned: a lease up to the returned time is over by then, also on a slow clock.
    fn clock_at(&self, owner_millis: u64, later: u64) -> Option<WorkerClock> {
        let left = Duration::from_millis(later.saturating_sub(owner_millis));
        let clock = self.min_clock_now(owner_millis)?;
        Some(clock.plus(left.div_f64(1.0 + WORKER_CLOCK_DRIFT)))
    }

    /// Whether the worker has listed its runs to this owner.
    pub(crate) fn has_listed(&self) -> bool {
        self.answered_poll_sent.is_some()
    }

    /// Whether every lease that the worker may have is over at a time of the owner's clock, in milliseconds.
    pub(crate) fn leases_end_by(&self, owner_millis: u64, limit: u64) -> bool {
        self.clock_at(owner_millis, limit)
            .is_some_and(|clock| self.last_lease_end() <= clock)
    }

    /// Whether what is left of a lease that cannot be extended is too short for a new run.
    pub(crate) fn lacks_start_lease(&self) -> bool {
        let needed = self.listed_clock.plus(MIN_START_LEASE);
        if self.lease_end < needed && self.is_lease_held() {
            return true;
        }
        let needed = self.listed_at_millis + MIN_LIMITED_LEASE_MS;
        self.earliest_run_limit()
            .is_some_and(|limit| limit < needed)
    }

    /// Whether the worker may get new runs, apart from its health.
    pub(crate) fn accepts_runs(&self) -> bool {
        self.is_listed_ready()
            && self.clock.is_some()
            && self.directory_mismatch_since.is_none()
            && self.foreign_runs.is_empty()
            && self.unlapsed_ends.is_empty()
            && self.has_room_for_end()
            && !self.lacks_start_lease()
    }

    /// Whether jobs can expect to use the worker's capacity. This includes workers that are being polled for the first
    /// time, as all workers of a new owner are: they answer within milliseconds, and until then every job would be
    /// refused for lack of workers.
    pub(crate) fn is_usable(&self) -> bool {
        let first_poll = self.answered_poll_sent.is_none() && self.is_listed_ready();
        (self.accepts_runs() || first_poll) && self.health.is_healthy()
    }

    /// Whether the worker may get a run now, as far as its state and its health tell. It need not be healthy: a run that
    /// succeeds shows that it is.
    pub(crate) fn may_get_run(&self, now: Instant) -> bool {
        self.accepts_runs() && self.health.allows_run(now, self.runs.len())
    }

    pub(crate) fn run_mut(&mut self, task: TaskId, run: RunNumber) -> Option<&mut TrackedRun> {
        self.runs
            .iter_mut()
            .find(|r| r.task == task && r.run == run)
    }

    pub(crate) fn remove_run(&mut self, task: TaskId, run: RunNumber) -> Option<TrackedRun> {
        let index = self
            .runs
            .iter()
            .position(|r| r.task == task && r.run == run)?;
        Some(self.runs.swap_remove(index))
    }

    pub(crate) fn run_count_of(&self, job: JobId) -> usize {
        self.runs.iter().filter(|run| run.task.job == job).count()
    }

    /// A lower bound of the worker's clock now.
    ///
    /// The worker's clock may have fallen behind since it was last heard. Without this deduction a start on a worker
    /// that was idle for long would carry a lease that is too long, and its run would outlive the time after which the
    /// owner counts it as over.
    pub(crate) fn min_clock_now(&self, owner_millis: u64) -> Option<WorkerClock> {
        let ClockEstimate { offset, taken_at } = self.clock?;
        let elapsed = owner_millis.saturating_sub(taken_at);
        let drift = (elapsed as f64 * WORKER_CLOCK_DRIFT).ceil() as u64;
        let clock = owner_millis.saturating_add_signed(offset);
        Some(WorkerClock(clock.saturating_sub(drift)))
    }

    /// Takes the worker's clock from an answer that just arrived. The worker reads its clock before the answer travels,
    /// so the offset found is never too high. The highest of several offsets would be the most accurate, but the latest
    /// one is taken so that the offset can also follow a clock that drifts backwards.
    pub(crate) fn update_clock(&mut self, owner_millis: u64, clock: WorkerClock) {
        let offset = clock
            .0
            .cast_signed()
            .wrapping_sub(owner_millis.cast_signed());
        self.clock = Some(ClockEstimate {
            offset,
            taken_at: owner_millis,
        });
    }

    /// Updates the slowness from a completed run, or from a running one that is already slower than predicted.
    pub(crate) fn update_slowness(&mut self, now: Instant, predicted: Duration, took: Duration) {
        if predicted.is_zero() {
            return;
        }
        self.slowness_updated = now;
        let sample = took.as_secs_f64() / predicted.as_secs_f64();
        let sample = sample.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
        self.slowness += SLOWNESS_SAMPLE_WEIGHT * (sample - self.slowness);
    }

    /// Decays the slowness of an idle worker by one step. Without this, a period of late calls makes all workers of a
    /// pool look too slow for any job; every job is then refused, and no run can show that the workers have recovered.
    pub(crate) fn decay_slowness(&mut self, now: Instant) {
        let interval = self.slow_pause.of(SLOWNESS_DECAY_INTERVAL);
        let idle = self.runs.is_empty() && now >= self.slowness_updated + interval;
        if !idle || self.slowness <= RETAINED_SLOWNESS {
            return;
        }
        self.slowness_updated = now;
        self.slowness =
            RETAINED_SLOWNESS + (self.slowness - RETAINED_SLOWNESS) * SLOWNESS_DECAY_FACTOR;
    }

    /// Counts an order in flight as overdue.
    pub(crate) fn mark_order_overdue(&mut self) {
        self.orders_in_flight = self.orders_in_flight.saturating_sub(1);
        self.overdue_orders += 1;
    }

    /// Removes an order that was answered or given up from the counts. `late` tells that it may have been overdue.
    pub(crate) fn finish_order(&mut self, late: bool) {
        if late && self.overdue_orders > 0 {
            self.overdue_orders -= 1;
        } else {
            self.orders_in_flight = self.orders_in_flight.saturating_sub(1);
        }
    }

    /// Whether the worker has no run of its owner, and no order is queued or in flight.
    pub(crate) fn is_idle(&self) -> bool {
        let in_flight = self.orders_in_flight + self.overdue_orders;
        self.runs.is_empty() && self.queued_orders.is_empty() && in_flight == 0
    }

    /// Whether the worker has to be polled now. `idle_ack` is the time after which the ends of an idle worker are
    /// acknowledged, `wants_ends` means that kept jobs wait for the ends that the worker lists, and `hedge` is the time
    /// after which a second poll is sent beside one without an answer.
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
            let repeat = self
                .directory_mismatch_since
                .is_some_and(|since| self.last_poll_sent < since)
                || self.fence_unconfirmed;
            if repeat && self.polls_in_flight < MAX_POLLS_IN_FLIGHT {
                return true;
            }
            let hedged = hedge.is_some_and(|hedge| now >= self.last_poll_sent + hedge);
            return hedged && self.polls_in_flight < MAX_POLLS_IN_FLIGHT && !self.runs.is_empty();
        }
        let unknown = self.clock.is_none()
            || self.missed_polls > 0
            || self.directory_mismatch_since.is_some()
            || self.fence_unconfirmed
            || !self.has_room_for_end();
        let unacknowledged =
            self.acknowledged_end < self.last_seen_end && now >= self.last_end_time + idle_ack;
        let outdated = self
            .listed_at
            .is_some_and(|at| now >= at + CLOCK_REFRESH_INTERVAL);
        let has_runs = !self.runs.is_empty() || !self.foreign_runs.is_empty();
        has_runs
            || self.is_watched(now)
            || outdated
            || unacknowledged
            || unknown
            || !self.unlapsed_ends.is_empty()
            || (wants_ends && !self.ends_listed)
    }
}
