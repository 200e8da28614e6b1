//! Schedules when the callers of refused jobs return, so that each finds capacity at its second attempt.
//!
//! Callers that are all told the same time return together and are refused together again. Here each refusal gets a
//! time of its own: the first at which the pool can take the job's work beside the new work that arrives. A job that
//! returns in its turn goes before new work, for which the due returns reserve capacity.
//!
//! An owner also records the jobs of which it offered less than the whole, with the time that it would have told. If the
//! refusing owner is lost, or the caller returns elsewhere, the job is in its turn at one of the other owners.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use jobs::JobId;
use model::{DrainRate, FastMap};

use crate::{
    arrivals::ExpectedJob,
    return_bookings::{ReturnBookings, WorkRate},
};

/// The unit of return times: Retry-After has whole seconds.
const RETURN_STEP: Duration = Duration::from_secs(1);

/// The maximum time to a scheduled return, in steps.
const MAX_RETURN_STEPS: u32 = 30;

/// The last steps among which returns are spread that do not fit before.
const OVERFLOW_STEPS: u32 = 10;

/// The share of the pool's capacity that is booked for returns at least, however much new work arrives. Returns go
/// before new work, so this capacity is theirs, and a burst of any length does not shut them out.
const MIN_RETURN_SHARE: f64 = 0.25;

/// The share of the free capacity that is booked for returns. The rest covers the variation of new work.
const BOOKED_SHARE: f64 = 0.9;

/// The limit of the bookings for a job that was refused again in its turn, as a multiple of the limit for others. It
/// is scheduled before jobs that were refused later, although these were told their times already.
const REPEATED_LIMIT: f64 = 1.1;

/// The length of a window of due returns, for which capacity is reserved together.
const RESERVED_WINDOW: Duration = Duration::from_millis(250);

/// The number of windows from now on for which capacity is reserved. Under full load, new work that is admitted now
/// takes capacity for about that time.
const RESERVED_WINDOWS: u32 = 2;

/// How long after its time capacity is reserved for a return. Callers return within network latencies; after a clock
/// stop, this limits the reservation to the returns of one second.
const RESERVED_AFTER_DUE: Duration = Duration::from_millis(200);

/// How long after its time a return still goes before new work. Another owner that was asked may have told the caller
/// a later time.
const RETURN_GRACE: Duration = Duration::from_secs(10);

/// The interval at which returns whose time has passed are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum number of scheduled returns in the table, some hundred bytes each.
const MAX_RETURNS: usize = 4_096;

/// The time constant with which the counts of due and kept returns decay.
const KEPT_SHARE_MEMORY: Duration = Duration::from_secs(10);

/// The number of kept returns that is assumed before there are observations.
const KEPT_SHARE_PRIOR: f64 = 4.0;

/// What a refused job needs when it returns.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReturnDemand {
    pub(crate) priority: u32,
    /// The work of all tasks, in core-milliseconds.
    pub(crate) work: f64,
    /// The tasks that can start at once.
    pub(crate) first_tasks: ExpectedJob,
}

/// Whether a scheduled caller has returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReturnState {
    /// The caller has not returned in its turn.
    Expected,
    /// The time for which capacity is reserved has passed without a return.
    Overdue,
    /// The caller has returned in its turn.
    Kept,
}

/// A job that was refused or not wholly offered.
#[derive(Clone, Copy, Debug)]
struct ScheduledReturn {
    first_refused: Instant,
    due: Instant,
    demand: ReturnDemand,
    /// Whether the time was told to the caller, so that work is booked and capacity reserved. Otherwise this is a record
    /// of a job that another owner refused.
    told: bool,
    state: ReturnState,
}

/// The schedule of returns to one pool.
#[derive(Clone, Debug)]
pub(crate) struct ReturnSchedule {
    returns: FastMap<JobId, ScheduledReturn>,
    by_due: BTreeSet<(Instant, JobId)>,
    bookings: ReturnBookings,
    /// The rate at which new work arrives.
    new_work: DrainRate,
    kept_share: KeptShare,
    next_expiry: Instant,
}

impl ReturnSchedule {
    /// Creates the empty schedule of a new owner.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            returns: FastMap::default(),
            by_due: BTreeSet::new(),
            bookings: ReturnBookings::new(now),
            new_work: DrainRate::default(),
            kept_share: KeptShare::new(now),
            next_expiry: now,
        }
    }

    /// Records the arrival of a job that is not in its turn, with its work in core-milliseconds.
    pub(crate) fn record_new_work(&mut self, now: Instant, work: f64) {
        let core_time = Duration::try_from_secs_f64(work / 1000.0).unwrap_or_default();
        self.new_work.on_start(now, core_time, true);
    }

    /// The time since a job's first refusal if the job returns at its scheduled time or later.
    pub(crate) fn since_refusal_in_turn(&self, now: Instant, job: JobId) -> Option<Duration> {
        let scheduled = self.returns.get(&job)?;
        let waited = now.saturating_duration_since(scheduled.first_refused);
        (now >= scheduled.due).then_some(waited)
    }

    /// Records that a job in its turn has returned. Returns whether this is the first time for its scheduled return.
    pub(crate) fn record_kept(&mut self, now: Instant, job: JobId) -> bool {
        let Some(scheduled) = self.returns.get_mut(&job) else {
            return false;
        };
        if scheduled.state == ReturnState::Kept {
            return false;
        }
        if scheduled.told && scheduled.state == ReturnState::Expected {
            self.kept_share.record_due(now);
        }
        scheduled.state = ReturnState::Kept;
        self.kept_share.record_kept(now);
        true
    }

    /// Schedules the return of a job that this owner has refused, and returns the time until then. `capacity` is the
    /// rate of work that the pool can do.
    pub(crate) fn schedule_refused(
        &mut self,
        now: Instant,
        job: JobId,
        demand: ReturnDemand,
        capacity: WorkRate,
    ) -> Duration {
        let former = self.remove(job);
        let kept_due = former.map(|former| former.due).filter(|due| now < *due);
        let due = match kept_due {
            Some(due) => due,
            None => self.earliest_due(now, &demand, capacity, former.is_some()),
        };
        if former.is_none_or(|former| !former.told || kept_due.is_none()) {
            let rate = self.booked_rate(capacity);
            self.bookings.book(due, demand.work, rate);
        }
        self.insert(
            job,
            ScheduledReturn {
                first_refused: former.map_or(now, |former| former.first_refused),
                due,
                demand,
                told: true,
                state: ReturnState::Expected,
            },
        );
        due.saturating_duration_since(now)
    }

    /// Records a job of which this owner has offered less than the whole. Another owner tells its caller when to
    /// return.
    pub(crate) fn record_short_offer(
        &mut self,
        now: Instant,
        job: JobId,
        demand: ReturnDemand,
        capacity: WorkRate,
    ) {
        let former = self.returns.get(&job).copied();
        if former.is_some_and(|former| now < former.due) {
            return;
        }
        self.remove(job);
        let due = self.earliest_due(now, &demand, capacity, former.is_some());
        self.insert(
            job,
            ScheduledReturn {
                first_refused: former.map_or(now, |former| former.first_refused),
                due,
                demand,
                told: false,
                state: ReturnState::Expected,
            },
        );
    }

    /// Removes a job that was admitted.
    pub(crate) fn remove_admitted(&mut self, now: Instant, job: JobId) {
        let Some(scheduled) = self.remove(job) else {
            return;
        };
        if scheduled.told && now < scheduled.due {
            self.bookings.cancel(scheduled.due, scheduled.demand.work);
        }
    }

    /// Removes the returns whose grace period is over, and returns the jobs whose callers were told a time and did not
    /// return.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<JobId> {
        let mut missed = Vec::new();
        if now < self.next_expiry {
            return missed;
        }
        self.next_expiry = now + EXPIRY_INTERVAL;
        self.bookings.remove_before(now);
        let due: Vec<(Instant, JobId)> = self.due_until(now, RESERVED_AFTER_DUE).collect();
        for (due, job) in due {
            let Some(scheduled) = self.returns.get_mut(&job) else {
                continue;
            };
            if scheduled.state == ReturnState::Expected {
                scheduled.state = ReturnState::Overdue;
                if scheduled.told {
                    self.kept_share.record_due(now);
                }
            }
            if now < due + RETURN_GRACE {
                continue;
            }
            let scheduled = self.remove(job);
            if scheduled.is_some_and(|gone| gone.told && gone.state == ReturnState::Overdue) {
                missed.push(job);
            }
        }
        missed
    }

    /// The tasks of due returns for which capacity is reserved when a job is admitted: those of the same
    /// or a higher priority, at most the work of one second, weighted by the share of callers that did return lately.
    pub(crate) fn reserved_tasks(
        &self,
        now: Instant,
        priority: u32,
        capacity: WorkRate,
    ) -> Vec<ExpectedJob> {
        let mut reserved = Vec::new();
        let mut left = capacity.0;
        let mut from = now.checked_sub(RESERVED_AFTER_DUE).unwrap_or(now);
        for window in 0..RESERVED_WINDOWS {
            let earliest = RESERVED_WINDOW * window;
            let to = now + earliest + RESERVED_WINDOW;
            let sum = self.sum_due(from, to, priority);
            let share = self.kept_share.share().min(left / sum.work.max(1.0));
            left -= sum.work * share;
            reserved.extend(sum.expected_job(share, earliest));
            from = to;
        }
        reserved
    }

    /// The demand of the returns for which capacity is reserved and whose time lies between two others.
    fn sum_due(&self, from: Instant, to: Instant, priority: u32) -> DemandSum {
        let mut sum = DemandSum::default();
        for (_, job) in self.by_due.range((from, JobId(0))..(to, JobId(0))) {
            let scheduled = self.returns.get(job);
            let Some(scheduled) = scheduled.filter(|scheduled| scheduled.is_reserved(priority))
            else {
                continue;
            };
            sum.add(&scheduled.demand);
        }
        sum
    }

    /// The returns whose time passed at least `ago` before now, in order.
    fn due_until(
        &self,
        now: Instant,
        ago: Duration,
    ) -> impl Iterator<Item = (Instant, JobId)> + '_ {
        let until = now.checked_sub(ago);
        let due = self.by_due.iter().copied();
        due.take_while(move |(due, _)| until.is_some_and(|until| *due <= until))
    }

    /// The first time, in whole steps from now, at which the job's work can be booked.
    fn earliest_due(
        &self,
        now: Instant,
        demand: &ReturnDemand,
        capacity: WorkRate,
        repeated: bool,
    ) -> Instant {
        let mut rate = self.booked_rate(capacity);
        if repeated {
            rate.0 *= REPEATED_LIMIT;
        }
        for steps in 1..=MAX_RETURN_STEPS {
            let due = now + RETURN_STEP * steps;
            if self.bookings.has_room(due, demand.work, rate) {
                return due;
            }
        }
        let last = MAX_RETURN_STEPS - OVERFLOW_STEPS + 1..=MAX_RETURN_STEPS;
        let last = last.map(|steps| now + RETURN_STEP * steps);
        let booked = |due: &Instant| self.bookings.booked_from(*due);
        let least = last.min_by(|a, b| booked(a).total_cmp(&booked(b)));
        least.unwrap_or(now + RETURN_STEP * MAX_RETURN_STEPS)
    }

    /// The rate of returns that is booked: what the pool can do beside new work.
    fn booked_rate(&self, capacity: WorkRate) -> WorkRate {
        let new_work = self.new_work.unbiased_slots() * 1000.0;
        let free = (capacity.0 - new_work).max(capacity.0 * MIN_RETURN_SHARE);
        WorkRate(free * BOOKED_SHARE)
    }

    /// Inserts a return. If the table is full, the latest one is dropped.
    fn insert(&mut self, job: JobId, scheduled: ScheduledReturn) {
        self.by_due.insert((scheduled.due, job));
        self.returns.insert(job, scheduled);
        if self.returns.len() > MAX_RETURNS {
            if let Some((_, latest)) = self.by_due.pop_last() {
                self.returns.remove(&latest);
            }
        }
    }

    fn remove(&mut self, job: JobId) -> Option<ScheduledReturn> {
        let scheduled = self.returns.remove(&job)?;
        self.by_due.remove(&(scheduled.due, job));
        Some(scheduled)
    }
}

impl ScheduledReturn {
    /// Whether a new job of this priority leaves capacity to the return.
    fn is_reserved(&self, priority: u32) -> bool {
        self.told && self.state != ReturnState::Kept && self.demand.priority <= priority
    }
}

/// The share of scheduled callers that did return lately.
///
/// A caller may return to another owner, so this owner's own returns would be too few; but those of other owners return
/// here in turn. Both kinds count as kept.
#[derive(Clone, Copy, Debug)]
struct KeptShare {
    last: Instant,
    due: f64,
    kept: f64,
}

impl KeptShare {
    fn new(now: Instant) -> Self {
        Self {
            last: now,
            due: 0.0,
            kept: 0.0,
        }
    }

    fn record_due(&mut self, now: Instant) {
        self.decay(now);
        self.due += 1.0;
    }

    fn record_kept(&mut self, now: Instant) {
        self.decay(now);
        self.kept += 1.0;
    }

    fn share(&self) -> f64 {
        let share = (self.kept + KEPT_SHARE_PRIOR) / (self.due + KEPT_SHARE_PRIOR);
        share.min(1.0)
    }

    fn decay(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.last).as_secs_f64();
        let left = (-passed / KEPT_SHARE_MEMORY.as_secs_f64()).exp();
        self.due *= left;
        self.kept *= left;
        self.last = now;
    }
}

/// The sum of several demands.
#[derive(Clone, Copy, Debug, Default)]
struct DemandSum {
    tasks: f64,
    cpu: f64,
    /// In seconds, as is `objective`.
    run_time: f64,
    objective: f64,
    /// In core-milliseconds.
    work: f64,
}

impl DemandSum {
    fn add(&mut self, demand: &ReturnDemand) {
        let first = &demand.first_tasks;
        let tasks = first.tasks as f64;
        self.tasks += tasks;
        self.cpu += tasks * first.cpu as f64;
        self.run_time += tasks * first.run_time.as_secs_f64();
        self.objective += tasks * first.objective.as_secs_f64();
        self.work += demand.work;
    }

    /// The given share of the tasks, with the mean demand. None if that is less than half a task.
    fn expected_job(&self, share: f64, earliest: Duration) -> Option<ExpectedJob> {
        // The casts saturate.
        let tasks = (self.tasks * share).round() as usize;
        (tasks > 0).then(|| ExpectedJob {
            tasks,
            cpu: (self.cpu / self.tasks) as u64,
            run_time: Duration::from_secs_f64(self.run_time / self.tasks),
            objective: Duration::from_secs_f64(self.objective / self.tasks),
            earliest,
        })
    }
}
