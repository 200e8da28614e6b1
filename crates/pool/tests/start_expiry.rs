//! The lease ends that starts carry, and when a start counts as expired.

mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jobs::{EndList, JobId, WorkerClock, WorkerListing};
use pool::{
    AttemptLookup, PollOrder, PoolAction, PoolEvent, PoolSettings, StartAnswer, StartOrder,
    WaiterId, WorkerPool,
};
use support::{empty_snapshot, pool_init, single_step_call, worker_record};

/// The worker's clock at the origin of the test's time, in milliseconds.
const CLOCK: u64 = 10_000;

/// A pool whose calls the test answers itself.
struct ManualPool {
    pool: WorkerPool,
    origin: Instant,
}

impl ManualPool {
    fn new() -> Self {
        let origin = Instant::now();
        let mut pool = WorkerPool::new(pool_init(1), origin);
        pool.load_kept(origin, empty_snapshot(origin));
        for number in 0..2 {
            pool.upsert_worker(origin, worker_record(number, 16_000));
        }
        Self { pool, origin }
    }

    fn at(&self, millis: u64) -> Instant {
        self.origin + Duration::from_millis(millis)
    }

    /// Takes the pending starts and polls.
    fn take_orders(&mut self) -> (Vec<StartOrder>, Vec<PollOrder>) {
        let (mut starts, mut polls) = (Vec::new(), Vec::new());
        for action in self.pool.take_actions() {
            match action {
                PoolAction::Start(order) => starts.push(order),
                PoolAction::Poll(order) => polls.push(order),
                _ => (),
            }
        }
        (starts, polls)
    }

    /// Answers a poll that was sent at `sent` by an empty listing that the worker made at `listed`. Times are in
    /// milliseconds.
    fn answer_poll(&mut self, now: u64, sent: u64, listed: u64, order: &PollOrder) {
        let listing = WorkerListing {
            clock: WorkerClock(CLOCK + listed),
            born: None,
            running: Vec::new(),
            ended: EndList::default(),
        };
        let (now, sent) = (self.at(now), self.at(sent));
        self.pool.on_poll_answer(now, sent, order, Ok(listing));
    }

    /// Submits a job of tasks that each demand `cpu` thousandths of a core.
    fn submit(&mut self, now: u64, id: JobId, tasks: u32, cpu: u64) {
        let estimate = Duration::from_millis(900);
        let (request, terms) = single_step_call(id, tasks, cpu, estimate);
        let at = self.at(now);
        self.pool
            .submit(at, WaiterId(id.0), Arc::new(request), terms);
        self.pool.on_attempt_lookup(at, id, AttemptLookup::Clear);
        self.pool.tick(at);
    }
}

fn of_worker<'a>(polls: &'a [PollOrder], start: &StartOrder) -> &'a PollOrder {
    let mut polls = polls.iter();
    polls
        .find(|poll| poll.instance == start.instance)
        .expect("a poll of the start's worker")
}

/// Guards against taking a start for expired while an earlier copy with a later lease end is still on its way: the task
/// then runs on two workers.
#[test]
fn a_start_counts_as_expired_only_after_the_latest_lease_end_of_its_copies() {
    let mut pool = ManualPool::new();
    let (_, polls) = pool.take_orders();
    for poll in &polls {
        pool.answer_poll(0, 0, 0, poll);
    }
    // One task on each worker, so that a poll of each is on its way.
    pool.submit(0, JobId(1), 2, 9_000);
    let (running, polls) = pool.take_orders();
    for order in &running {
        let (at, clock) = (pool.at(2), WorkerClock(CLOCK + 1));
        pool.pool
            .on_start_answer(at, order, StartAnswer::Started(clock));
    }
    pool.submit(50, JobId(2), 1, 6_000);
    let (first, _) = pool.take_orders();
    let first = &first[0];
    // This answer is long on its way, which makes the worker's clock look slow: the next copy has an earlier lease end.
    pool.answer_poll(100, 0, 3, of_worker(&polls, first));
    let at = pool.at(101);
    pool.pool.on_start_overdue(at, first);
    let (copies, polls) = pool.take_orders();
    let copy = copies.iter().find(|copy| copy.run == first.run);
    let copy = copy.expect("a copy of the start");
    assert!(copy.lease_end < first.lease_end, "{copy:?} {first:?}");
    let between = copy.lease_end.0 + 1 - CLOCK;
    pool.answer_poll(between, 100, between, of_worker(&polls, first));
    let placed = |event: &PoolEvent| matches!(event, PoolEvent::RunPlaced { task, .. } if *task == first.task);
    let placed = pool.pool.take_events().into_iter().filter(placed).count();
    assert_eq!(placed, 1, "the task was placed once");
}

/// Guards against a start that lets its run live longer on a worker whose clock is slow and was not heard for long than
/// the owner takes to count it as over.
#[test]
fn a_start_on_a_worker_with_a_slow_clock_carries_no_longer_lease() {
    let lease = PoolSettings::default().lease.as_millis() as u64;
    for idle in [100, 1_000, 4_900] {
        let mut pool = ManualPool::new();
        let (_, polls) = pool.take_orders();
        for poll in &polls {
            pool.answer_poll(0, 0, 0, poll);
        }
        pool.submit(idle, JobId(1), 1, 6_000);
        let (starts, _) = pool.take_orders();
        let slow_clock = CLOCK + idle * 98 / 100;
        let granted = starts[0].lease_end.0 - slow_clock;
        assert!(granted <= lease, "{granted} ms after {idle} ms");
    }
}

#[test]
fn the_clock_of_an_idle_worker_is_refreshed() {
    let mut pool = ManualPool::new();
    let (_, polls) = pool.take_orders();
    for poll in &polls {
        pool.answer_poll(0, 0, 0, poll);
    }
    let at = pool.at(6_000);
    pool.pool.tick(at);
    assert_eq!(pool.take_orders().1.len(), 2);
}
