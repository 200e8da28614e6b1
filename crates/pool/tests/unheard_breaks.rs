//! Attempts of which nobody hears that their customer has left, message by message.

mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jobs::{EndList, JobId, JobTerms, RunningRun, WorkerClock, WorkerListing};
use pool::{
    AttemptLookup, AttemptRegistration, CallFailure, PollOrder, PoolAction, StartAnswer,
    StartOrder, StopAnswer, StopOrder, WaiterId, WorkerPool,
};
use support::{empty_snapshot, pool_init, single_step_call, worker_record};

/// The worker's clock at the origin of the test's time, in milliseconds.
const CLOCK: u64 = 10_000;

const CUSTOMER_RETRY_MS: u64 = 1_300;

/// The time within which workers end a run after a stop, in milliseconds.
const STOP_TIME_MS: u64 = 50;

#[derive(Default)]
struct Orders {
    starts: Vec<StartOrder>,
    stops: Vec<StopOrder>,
    polls: Vec<PollOrder>,
    lookups: Vec<JobId>,
    registrations: Vec<AttemptRegistration>,
    removals: Vec<JobId>,
}

struct ManualPool {
    pool: WorkerPool,
    origin: Instant,
    /// The last poll, and when it was sent.
    last_poll: Option<(u64, PollOrder)>,
}

impl ManualPool {
    /// A pool of which all workers have listed that nothing runs, at time 0.
    fn new(workers: usize) -> Self {
        let origin = Instant::now();
        let mut pool = WorkerPool::new(pool_init(1), origin);
        pool.load_kept(origin, empty_snapshot(origin));
        for number in 0..workers {
            pool.upsert_worker(origin, worker_record(number, 16_000));
        }
        let mut pool = Self {
            pool,
            origin,
            last_poll: None,
        };
        for poll in pool.take(0).polls {
            pool.answer_poll(0, 0, 0, &poll, Vec::new());
        }
        pool
    }

    fn at(&self, millis: u64) -> Instant {
        self.origin + Duration::from_millis(millis)
    }

    /// Takes the orders that were sent at `now`.
    fn take(&mut self, now: u64) -> Orders {
        let mut orders = Orders::default();
        for action in self.pool.take_actions() {
            match action {
                PoolAction::Start(order) => orders.starts.push(order),
                PoolAction::Stop(order) => orders.stops.push(order),
                PoolAction::Poll(order) => {
                    self.last_poll = Some((now, order.clone()));
                    orders.polls.push(order);
                }
                PoolAction::FindAttempts { job, .. } => orders.lookups.push(job),
                PoolAction::RegisterAttempt(order) => orders.registrations.push(order),
                PoolAction::RemoveRegistrations(job) => orders.removals.push(job),
                _ => (),
            }
        }
        orders
    }

    fn answer_poll(
        &mut self,
        now: u64,
        sent: u64,
        listed: u64,
        order: &PollOrder,
        running: Vec<RunningRun>,
    ) {
        let listing = WorkerListing {
            clock: WorkerClock(CLOCK + listed),
            born: None,
            running,
            ended: EndList::default(),
        };
        let (now, sent) = (self.at(now), self.at(sent));
        self.pool.on_poll_answer(now, sent, order, Ok(listing));
    }

    /// Answers the last poll. Returns what is ordered next.
    fn answer_last_poll(&mut self, now: u64, running: Vec<RunningRun>) -> Orders {
        let (sent, order) = self.last_poll.take().expect("a poll without an answer");
        self.answer_poll(now, sent, now - 1, &order, running);
        self.take(now)
    }

    fn confirm_stops(&mut self, now: u64, stops: &[StopOrder]) {
        for stop in stops {
            let at = self.at(now);
            let answer = StopAnswer::Stopped(WorkerClock(CLOCK + now - 1));
            self.pool.on_stop_answer(at, stop, answer);
        }
    }

    /// Starts the only task of a job that was looked up.
    fn start(&mut self, now: u64, id: JobId) -> StartOrder {
        let at = self.at(now);
        self.pool.on_attempt_lookup(at, id, AttemptLookup::Clear);
        let start = self.tick(now).starts.remove(0);
        self.confirm_start(now + 2, &start);
        start
    }

    fn submit(&mut self, now: u64, id: JobId, estimate_ms: u64) {
        self.submit_with_retry(now, id, estimate_ms, CUSTOMER_RETRY_MS);
    }

    /// Submits a job whose customer does not come again for `retry_ms`.
    fn submit_with_retry(&mut self, now: u64, id: JobId, estimate_ms: u64, retry_ms: u64) {
        let estimate = Duration::from_millis(estimate_ms);
        let (request, terms) = single_step_call(id, 1, 6_000, estimate);
        let terms = JobTerms {
            goal: Duration::from_millis(2_000),
            time_left: Duration::from_secs(14),
            firm: true,
            retry_in: Some(Duration::from_millis(retry_ms)),
            ..terms
        };
        let at = self.at(now);
        self.pool
            .submit(at, WaiterId(now), Arc::new(request), terms);
        self.pool.tick(at);
    }

    /// Ticks from 20 ms on, and returns the registrations that were ordered.
    fn registrations_until(&mut self, end: u64) -> Vec<AttemptRegistration> {
        let ticks = (20..end).step_by(20);
        ticks.flat_map(|now| self.tick(now).registrations).collect()
    }

    fn tick(&mut self, now: u64) -> Orders {
        let at = self.at(now);
        self.pool.tick(at);
        self.take(now)
    }

    fn confirm_start(&mut self, now: u64, order: &StartOrder) {
        let at = self.at(now);
        let answer = StartAnswer::Started(WorkerClock(CLOCK + now));
        self.pool.on_start_answer(at, order, answer);
    }
}

fn listed(order: &StartOrder, percent: u8) -> Vec<RunningRun> {
    vec![RunningRun {
        task: Some(order.task),
        run: order.run,
        percent,
    }]
}

/// Guards against taking the late answer to a registration of a former attempt for one of the next attempt: that one would
/// start without a lookup, and run for as long as a registration says that is about to be removed.
#[test]
fn a_registration_of_a_former_attempt_does_not_count_for_the_next_one() {
    let mut pool = ManualPool::new(1);
    let id = JobId(1);
    pool.submit(0, id, 900);
    let start = pool.start(10, id);
    let mut registrations = pool.registrations_until(1_000);
    assert!(registrations.len() > 1, "{registrations:?}");
    pool.answer_last_poll(1_000, listed(&start, 50));
    let at = pool.at(1_100);
    pool.pool.cancel(at, id, WaiterId(0));
    let stops = pool.take(1_100).stops;
    pool.confirm_stops(1_102, &stops);
    let removals = pool.answer_last_poll(1_160, Vec::new()).removals;
    assert_eq!(removals, [id]);
    pool.submit(1_310, id, 900);
    let orders = pool.take(1_310);
    assert_eq!((orders.lookups, orders.starts.len()), (vec![id], 0));
    // The answer to a registration of the first attempt, which was sent at 1,050 ms.
    let (at, until) = (pool.at(1_400), pool.at(3_000));
    let last = registrations.pop().expect("a registration");
    pool.pool.on_attempt_registered(at, &last, Some(until));
    let started = pool.tick(1_400).starts;
    assert!(started.is_empty(), "started without a lookup: {started:?}");
}

/// Guards against a worker's lease that is extended as soon as a stop is answered, although the run may take its time to
/// stop: it would last longer than its customer stays away.
#[test]
fn no_lease_is_extended_while_a_stopped_run_may_outlast_its_limit() {
    let mut pool = ManualPool::new(1);
    let (short, beside) = (JobId(1), JobId(2));
    pool.submit(0, short, 320);
    let first = pool.tick(0).starts.remove(0);
    pool.confirm_start(2, &first);
    for (now, percent) in [(200, 10), (500, 30), (800, 50)] {
        pool.answer_last_poll(now, listed(&first, percent));
    }
    // Another customer's job, which may run until 2,100 ms.
    pool.submit(830, beside, 320);
    let second = pool.tick(830).starts.remove(0);
    pool.confirm_start(832, &second);
    let mut running = listed(&first, 70);
    running.extend(listed(&second, 10));
    pool.answer_last_poll(1_100, running.clone());
    let stops = pool.tick(1_180).stops;
    assert_eq!(stops.len(), 1);
    // The stop was under way for 85 ms; the run ends up to 50 ms after it arrived.
    let stopped = 1_265;
    pool.confirm_stops(stopped, &stops);
    let orders = pool.answer_last_poll(stopped + 1, running);
    let ends = orders.polls.iter().filter_map(|poll| poll.lease_end);
    let lease_end = ends.max().map_or(0, |end| end.0 - CLOCK);
    let run_end = lease_end.min(stopped + STOP_TIME_MS);
    assert!(
        run_end < CUSTOMER_RETRY_MS,
        "the run may last until {run_end} ms, the lease until {lease_end} ms"
    );
}

/// Guards against removing the registration of an attempt whose run is on a worker that has left the directory long ago: the
/// worker has a lease, and the next attempt starts at once.
#[test]
fn the_registration_of_a_run_on_a_forgotten_worker_is_left() {
    let mut pool = ManualPool::new(1);
    let id = JobId(1);
    pool.submit(0, id, 900);
    let start = pool.start(10, id);
    let instance = start.instance.clone();
    let mut lease_end = start.lease_end.0;
    let mut removed_at = None;
    for now in (100..14_200).step_by(50) {
        let at = pool.at(now);
        if now == 2_000 {
            pool.pool.unlist_worker(at, &instance);
        }
        let mut orders = pool.tick(now);
        for registration in &orders.registrations {
            let until = at + registration.lifetime;
            pool.pool
                .on_attempt_registered(at, registration, Some(until));
        }
        if pool.last_poll.is_some() && now % 100 == 0 && pool.pool.has_worker(&instance) {
            let more = pool.answer_last_poll(now, listed(&start, u8::try_from(now / 150).unwrap()));
            orders.polls.extend(more.polls);
            orders.removals.extend(more.removals);
        }
        if now == 11_700 {
            // The customer's entry hears that it has left.
            pool.pool.cancel(at, id, WaiterId(0));
            orders.removals.extend(pool.take(now).removals);
        }
        let ends = orders.polls.iter().filter_map(|poll| poll.lease_end);
        lease_end = ends.map(|end| end.0).fold(lease_end, u64::max);
        if !orders.removals.is_empty() {
            removed_at.get_or_insert(now);
        }
    }
    let lease_end = lease_end - CLOCK;
    assert!(
        removed_at.is_none_or(|at| at >= lease_end),
        "removed at {removed_at:?}, and the run has a lease until {lease_end} ms"
    );
}

/// Guards against an owner that forgets the run of an attempt when another owner takes the run's worker, and starts the next
/// attempt on another worker: the run goes on with the lease that it has.
#[test]
fn a_run_on_a_taken_worker_is_not_forgotten() {
    let mut pool = ManualPool::new(1);
    let id = JobId(1);
    pool.submit(0, id, 900);
    let start = pool.start(10, id);
    let registrations = pool.registrations_until(900);
    let (at, until) = (pool.at(900), pool.at(2_500));
    pool.pool
        .on_attempt_registered(at, &registrations[0], Some(until));
    pool.answer_last_poll(1_100, listed(&start, 50));
    let (sent, order) = pool.last_poll.take().expect("a poll without an answer");
    let (at, sent) = (pool.at(1_200), pool.at(sent));
    let fenced_out = Err(CallFailure::FencedOut);
    pool.pool.on_poll_answer(at, sent, &order, fenced_out);
    let removals = pool.take(1_200).removals;
    assert_eq!(removals, [], "the run may last, so its registration stays");
    pool.pool.upsert_worker(at, worker_record(1, 16_000));
    for poll in pool.take(1_200).polls {
        pool.answer_poll(1_202, 1_200, 1_201, &poll, Vec::new());
    }
    pool.submit(1_310, id, 900);
    let at = pool.at(1_320);
    pool.pool.on_attempt_lookup(at, id, AttemptLookup::Clear);
    let started = pool.tick(1_320).starts;
    assert!(started.is_empty(), "{started:?}");
}

/// Guards against placing a run on a worker that a former owner has given a lease beyond the time at which the run has to be
/// over.
#[test]
fn a_run_is_not_placed_under_a_longer_lease_of_a_former_owner() {
    let mut pool = ManualPool::new(1);
    let id = JobId(1);
    pool.submit_with_retry(0, id, 300, 700);
    let early = pool.take(0).starts;
    assert!(early.is_empty(), "{early:?}");
    // By then the longest lease of a former owner is over.
    pool.submit_with_retry(300, JobId(2), 300, 700);
    let started = pool.take(300).starts;
    assert_eq!(started.len(), 1, "{started:?}");
    assert_eq!(started[0].task.job, JobId(2));
}

/// Guards against an attempt that goes on by a registration whose answer came too late: another attempt may have looked before
/// the registration took effect.
#[test]
fn a_registration_that_is_answered_after_the_limit_does_not_count() {
    let mut pool = ManualPool::new(1);
    let id = JobId(1);
    pool.submit(0, id, 900);
    let start = pool.start(10, id);
    let registrations = pool.registrations_until(1_160);
    pool.answer_last_poll(1_160, listed(&start, 50));
    // The process stands still past the limit, which is 1,270 ms.
    let (at, until) = (pool.at(1_280), pool.at(3_200));
    pool.pool
        .on_attempt_registered(at, &registrations[0], Some(until));
    let orders = pool.tick(1_280);
    assert_eq!(orders.stops.len(), 1, "{:?}", orders.stops);
    let more = pool.answer_last_poll(1_290, listed(&start, 60));
    let ends = orders
        .polls
        .iter()
        .chain(&more.polls)
        .filter_map(|poll| poll.lease_end);
    let latest = ends.max().map_or(0, |end| end.0 - CLOCK);
    assert!(latest < CUSTOMER_RETRY_MS, "{latest}");
}
