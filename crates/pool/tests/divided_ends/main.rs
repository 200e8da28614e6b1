//! The ends of kept jobs' runs on workers that change their pool, while the store is in trouble.
//!
//! The owner of the jobs, two new owners of its workers and a store that carries out writes at any time later or never; a
//! seed draws all orders. Checked after each step: no end is acknowledged that is not in its job's row, no task starts
//! after an end of it that was taken note of, then or later, and no task runs twice at the same time. Once the store is
//! well again, all jobs come to their end.

mod store;
#[path = "../support/mod.rs"]
mod support;
mod worker;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::{Duration, Instant},
};

use fastrand::Rng;
use jobs::{
    CpuMillis, FenceToken, InstanceId, JobId, JobRequest, JobTerms, KeptState, StepSpec, WriteId,
};
use pool::{
    CallFailure, ForeignEnd, ForeignEndResult, FoundJob, KeptSnapshot, KeptWrite, KeptWriteResult,
    PollAnswer, PollOrder, PoolAction, PoolInit, StartAnswer, StartOrder, StopAnswer, StopOrder,
    WaiterId, WorkerPool,
};
use support::{pool_init, single_step_call, worker_record};

use self::{
    store::{PendingWrite, SimulatedStore, StoreTrouble, WriteClient, WriteFate},
    worker::{RunHistory, Worker, ATTEMPTS},
};

/// The owner of the kept jobs, and the owners of the pools to which its workers go.
const OWNERS: usize = 3;
const JOB_OWNER: usize = 0;

const WORKERS: usize = 6;

/// The job of the plays that are not drawn.
const JOB: JobId = JobId(7);

/// The first id of the jobs that are not kept.
const LOOSE_IDS: u64 = 1 << 32;

/// The platform's clock when a play begins, in milliseconds.
const PLATFORM_MILLIS: u64 = 1_000_000;

/// After how many milliseconds the workers are divided for the first time.
const DIVISION_MS: u64 = 600;

/// How long the store is in trouble, and how long a play lasts.
const TROUBLE_MS: u64 = 4_500;
const PLAY_MS: u64 = 30_000;

/// The longest time until a process hears of a division.
const MAX_NOTICE_MS: u64 = 700;

/// How long workers may be missing after a division, as the node has it.
const MISSING_WORKERS_MS: u64 = 2_300;

/// The interval of the jobs that are not kept.
const TRAFFIC_INTERVAL_MS: u64 = 40;

/// The delays of the node's client of the store.
const READ_BACK_MS: u64 = 100;
const CALL_TIMEOUT_MS: u64 = 500;
const RETRY_MS: u64 = 80;
const READ_INTERVAL_MS: u64 = 5_000;

/// A pause of an owner from which on it lets its jobs go.
const PAUSE_MS: u64 = 250;

struct Owner {
    pool: WorkerPool,
    /// Until when the process stands still. What arrives for it waits.
    frozen_until: u64,
    frozen_since: Option<u64>,
    reading: bool,
    last_read: u64,
    /// Until when reads of this process get no answer.
    reads_held_until: u64,
    /// Whether nothing passes between this process and the store.
    is_store_cut: bool,
}

enum Event {
    Start(usize, StartOrder),
    Stop(usize, StopOrder),
    Poll(usize, PollOrder, Instant),
    StartAnswered(usize, StartOrder, StartAnswer),
    StopAnswered(usize, StopOrder, StopAnswer),
    PollAnswered(usize, PollOrder, Instant, PollAnswer),
    SendWrite(PendingWrite),
    CarryOut(u64, KeptWrite, Option<u64>),
    WriteAnswered(u64, Option<u64>),
    ReadBack(u64),
    WriteTimedOut(u64),
    AddEnds(usize, FenceToken, Vec<ForeignEnd>),
    ReadDone(usize, FenceToken, KeptSnapshot),
    Confirmed(usize, FenceToken, Instant),
    Open(usize),
}

/// A poll that waits at a worker for an end.
struct WaitingPoll {
    owner: usize,
    order: PollOrder,
    sent: Instant,
    until: u64,
}

struct Play {
    now: u64,
    origin: Instant,
    rng: Rng,
    owners: Vec<Owner>,
    workers: BTreeMap<InstanceId, Worker>,
    /// The pool of each worker since the last division.
    assignment: BTreeMap<InstanceId, usize>,
    divided: u64,
    store: SimulatedStore,
    history: RunHistory,
    events: BTreeMap<u64, Event>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    serial: u64,
    waiting_polls: Vec<WaitingPoll>,
    writes: BTreeMap<u64, PendingWrite>,
    /// Until when calls between an owner and a worker are lost.
    cuts: BTreeMap<(usize, InstanceId), u64>,
    run_times: BTreeMap<JobId, u64>,
    failing: BTreeMap<JobId, u32>,
    next_loose: u64,
}

fn pool_of(number: usize, fence: u64, now: u64, at: Instant, seed: u64) -> WorkerPool {
    let init = PoolInit {
        name: Arc::from(format!("east/{number}")),
        platform_millis: PLATFORM_MILLIS + now,
        seed,
        ..pool_init(fence)
    };
    WorkerPool::new(init, at)
}

impl Play {
    fn new(seed: u64) -> Self {
        let origin = Instant::now();
        let mut play = Self {
            now: 0,
            origin,
            rng: Rng::with_seed(seed),
            owners: Vec::new(),
            workers: BTreeMap::new(),
            assignment: BTreeMap::new(),
            divided: 0,
            store: SimulatedStore::default(),
            history: RunHistory::default(),
            events: BTreeMap::new(),
            due: BinaryHeap::new(),
            serial: 0,
            waiting_polls: Vec::new(),
            writes: BTreeMap::new(),
            cuts: BTreeMap::new(),
            run_times: BTreeMap::new(),
            failing: BTreeMap::new(),
            next_loose: LOOSE_IDS,
        };
        for number in 0..WORKERS {
            let record = worker_record(number, 16_000);
            let instance = record.instance.clone();
            let offset = play.rng.u64(1_000..500_000);
            play.assignment.insert(instance.clone(), JOB_OWNER);
            play.workers.insert(instance, Worker::new(record, offset));
        }
        for owner in 0..OWNERS {
            let fence = play.store.next_version();
            let seed = play.rng.u64(..);
            play.owners.push(Owner {
                pool: pool_of(owner, fence, 0, origin, seed),
                frozen_until: 0,
                frozen_since: None,
                reading: false,
                last_read: 0,
                reads_held_until: 0,
                is_store_cut: false,
            });
            play.open(owner);
        }
        play
    }

    fn at(&self) -> Instant {
        self.origin + Duration::from_millis(self.now)
    }

    fn post(&mut self, delay: u64, event: Event) {
        self.serial += 1;
        self.due.push(Reverse((self.now + delay, self.serial)));
        self.events.insert(self.serial, event);
    }

    fn fence(&self, owner: usize) -> FenceToken {
        self.owners[owner].pool.fence()
    }

    /// Claims a pool anew, with the workers that belong to it now. Its former owner is gone.
    fn open(&mut self, owner: usize) {
        self.open_as(owner, owner);
    }

    /// As [`Self::open`], for the pool with this number.
    fn open_as(&mut self, owner: usize, number: usize) {
        let fence = self.store.next_version();
        let (at, seed) = (self.at(), self.rng.u64(..));
        let pool = pool_of(number, fence, self.now, at, seed);
        let opened = &mut self.owners[owner];
        opened.pool = pool;
        opened.reading = false;
        opened.last_read = 0;
        for (instance, assigned) in &self.assignment {
            if *assigned == owner {
                let record = self.workers[instance].record.clone();
                opened.pool.upsert_worker(at, record);
            }
        }
        self.take_actions(owner);
    }

    /// Divides the workers anew at random. Each process hears of it at a time of its own.
    fn divide(&mut self) {
        let mut instances: Vec<InstanceId> = self.workers.keys().cloned().collect();
        self.rng.shuffle(&mut instances);
        for (number, instance) in instances.into_iter().enumerate() {
            // Each pool has a worker, as a pool without one gives its jobs away.
            let owner = match number < OWNERS {
                true => number,
                false => self.rng.usize(..OWNERS),
            };
            self.assignment.insert(instance, owner);
        }
        self.announce_division();
    }

    fn announce_division(&mut self) {
        self.divided = self.now;
        for owner in 0..OWNERS {
            let delay = self.rng.u64(20..MAX_NOTICE_MS);
            self.post(delay, Event::Open(owner));
        }
    }

    fn submit_kept(&mut self, id: JobId) {
        let run_time = self.rng.u64(40..600);
        let count = self.rng.u32(2..16);
        self.run_times.insert(id, run_time);
        if self.rng.f64() < 0.3 {
            self.failing.insert(id, self.rng.u32(..count));
        }
        let estimate = Duration::from_millis(run_time);
        let (mut request, terms) = single_step_call(id, count, 1_500, estimate);
        request.kept = true;
        if self.rng.bool() {
            let next = StepSpec {
                count: 2,
                after: vec![0],
                ..request.steps[0].clone()
            };
            request.steps.push(next);
        }
        let terms = JobTerms {
            attempts: u32::try_from(ATTEMPTS).unwrap(),
            ..terms
        };
        self.submit(JOB_OWNER, request, terms);
    }

    /// Submits a job that is not kept, so that workers hold leases.
    fn submit_loose(&mut self, owner: usize) {
        let id = JobId(self.next_loose);
        self.next_loose += 1;
        self.run_times.insert(id, 60);
        let estimate = Duration::from_millis(60);
        let (mut request, terms) = single_step_call(id, 2, 1_500, estimate);
        request.steps[0].demand.cpu = CpuMillis(3_000);
        self.submit(owner, request, terms);
    }

    fn submit(&mut self, owner: usize, request: JobRequest, terms: JobTerms) {
        let (at, waiter) = (self.at(), WaiterId(request.id.0));
        let pool = &mut self.owners[owner].pool;
        pool.submit(at, waiter, Arc::new(request), terms);
        self.take_actions(owner);
    }

    fn take_actions(&mut self, owner: usize) {
        let fence = self.fence(owner);
        drop(self.owners[owner].pool.take_events());
        let mut ends: BTreeMap<JobId, Vec<ForeignEnd>> = BTreeMap::new();
        for action in self.owners[owner].pool.take_actions() {
            let delay = self.rng.u64(1..4);
            match action {
                PoolAction::Start(order) => self.post(delay, Event::Start(owner, order)),
                PoolAction::Stop(order) => self.post(delay, Event::Stop(owner, order)),
                PoolAction::Poll(order) => {
                    let sent = self.at();
                    self.post(delay, Event::Poll(owner, order, sent));
                }
                PoolAction::WriteKeptJob(order) => {
                    let client = WriteClient::JobOwner { owner, fence };
                    self.post(0, Event::SendWrite(PendingWrite { client, order }));
                }
                PoolAction::StoreForeignEnd(end) => {
                    ends.entry(end.task.job).or_default().push(end);
                }
                PoolAction::Answer { .. }
                | PoolAction::ReleasePool
                | PoolAction::FindAttempts { .. }
                | PoolAction::RegisterAttempt(_)
                | PoolAction::RemoveRegistrations(_) => (),
            }
        }
        for ends in ends.into_values() {
            self.post(0, Event::AddEnds(owner, fence, ends));
        }
    }

    /// Does what a process does by itself.
    fn step_owner(&mut self, owner: usize) {
        let (at, now, fence) = (self.at(), self.now, self.fence(owner));
        let missing_until = self.divided + MISSING_WORKERS_MS;
        let state = &mut self.owners[owner];
        if now < state.frozen_until {
            state.frozen_since.get_or_insert(now);
            return;
        }
        if let Some(since) = state.frozen_since.take() {
            if now >= since + PAUSE_MS {
                state.pool.give_up_all(at);
            }
        }
        if now.is_multiple_of(20) {
            let is_complete = now >= missing_until;
            state.pool.set_takeover_state(at, false, is_complete);
            state.pool.tick(at);
        }
        let is_due = now >= state.last_read + READ_INTERVAL_MS;
        let is_retry_due = now >= state.last_read + RETRY_MS;
        let is_store_cut = state.is_store_cut;
        let needs_read = is_due || state.pool.needs_kept_load() && is_retry_due;
        if needs_read && !state.reading && !is_store_cut {
            state.reading = true;
            state.last_read = now;
            let held = state.reads_held_until.saturating_sub(now);
            let time = self.store.call_time(&mut self.rng) + held;
            let snapshot = self.store.snapshot(at);
            self.post(time, Event::ReadDone(owner, fence, snapshot));
        }
        if now.is_multiple_of(300) && !is_store_cut {
            let time = self.store.call_time(&mut self.rng);
            self.post(time, Event::Confirmed(owner, fence, at));
        }
        self.take_actions(owner);
    }

    fn is_cut(&self, owner: usize, instance: &InstanceId) -> bool {
        let until = self.cuts.get(&(owner, instance.clone()));
        until.is_some_and(|until| self.now < *until)
    }

    /// The process that handles an event, if one does.
    fn receiver(event: &Event) -> Option<usize> {
        match event {
            Event::StartAnswered(owner, ..)
            | Event::StopAnswered(owner, ..)
            | Event::PollAnswered(owner, ..)
            | Event::AddEnds(owner, ..)
            | Event::ReadDone(owner, ..)
            | Event::Confirmed(owner, ..)
            | Event::Open(owner) => Some(*owner),
            _ => None,
        }
    }

    fn deliver(&mut self) {
        while let Some(Reverse((due, serial))) = self.due.peek().copied() {
            if due > self.now {
                return;
            }
            self.due.pop();
            let event = self.events.remove(&serial).unwrap();
            let frozen = Self::receiver(&event).map(|owner| self.owners[owner].frozen_until);
            match frozen.filter(|until| self.now < *until) {
                Some(until) => self.post(until - self.now + 1, event),
                None => self.handle(event),
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let (at, now) = (self.at(), self.now);
        match event {
            Event::Start(owner, order) => self.handle_start(owner, order),
            Event::Stop(owner, order) => {
                let is_cut = self.is_cut(owner, &order.instance);
                let worker = self.workers.get_mut(&order.instance).unwrap();
                let answer = match is_cut {
                    true => StopAnswer::Failed(CallFailure::NoAnswer),
                    false => worker.stop(now, &order, &mut self.history),
                };
                let delay = self.answer_delay(is_cut, order.timeout);
                self.post(delay, Event::StopAnswered(owner, order, answer));
            }
            Event::Poll(owner, order, sent) => self.handle_poll(owner, order, sent),
            Event::StartAnswered(owner, order, answer) => {
                self.with_pool(owner, order.fence, |pool| {
                    pool.on_start_answer(at, &order, answer);
                });
            }
            Event::StopAnswered(owner, order, answer) => {
                self.with_pool(owner, order.fence, |pool| {
                    pool.on_stop_answer(at, &order, answer);
                });
            }
            Event::PollAnswered(owner, order, sent, answer) => {
                self.with_pool(owner, order.fence, |pool| {
                    pool.on_poll_answer(at, sent, &order, answer);
                });
            }
            Event::SendWrite(write) => self.send_write(write),
            Event::CarryOut(number, order, answer) => {
                let version = self.store.carry_out(&order);
                if let Some(delay) = answer {
                    self.post(delay, Event::WriteAnswered(number, version));
                }
            }
            Event::WriteAnswered(number, version) => {
                if let Some(write) = self.writes.remove(&number) {
                    self.finish_write(write, version);
                }
            }
            Event::ReadBack(number) => self.read_back(number),
            Event::WriteTimedOut(number) => {
                if let Some(write) = self.writes.remove(&number) {
                    self.retry(write);
                }
            }
            Event::AddEnds(owner, fence, ends) => self.add_ends(owner, fence, ends),
            Event::ReadDone(owner, fence, snapshot) => {
                self.owners[owner].reading = false;
                self.with_pool(owner, fence, |pool| pool.load_kept(at, snapshot));
            }
            Event::Confirmed(owner, fence, sent) => {
                self.with_pool(owner, fence, |pool| pool.record_store_contact(sent));
            }
            Event::Open(owner) => self.open(owner),
        }
    }

    fn with_pool(&mut self, owner: usize, fence: FenceToken, update: impl FnOnce(&mut WorkerPool)) {
        if self.fence(owner) == fence {
            update(&mut self.owners[owner].pool);
            self.take_actions(owner);
        }
    }

    fn answer_delay(&mut self, is_lost: bool, timeout: Duration) -> u64 {
        match is_lost {
            true => u64::try_from(timeout.as_millis()).unwrap(),
            false => self.rng.u64(1..4),
        }
    }

    fn handle_start(&mut self, owner: usize, order: StartOrder) {
        let is_cut = self.is_cut(owner, &order.instance);
        let job = order.task.job;
        let is_first_step = order.task.step == 0;
        let failing = self.failing.get(&job).filter(|_| is_first_step);
        let fails = failing == Some(&order.task.index);
        let run_time = self.run_times[&job];
        let worker = self.workers.get_mut(&order.instance).unwrap();
        let answer = match is_cut {
            true => StartAnswer::Failed(CallFailure::NoAnswer),
            false => worker.start(self.now, &order, run_time, fails, &mut self.history),
        };
        let delay = self.answer_delay(is_cut, order.timeout);
        self.post(delay, Event::StartAnswered(owner, order, answer));
    }

    fn handle_poll(&mut self, owner: usize, order: PollOrder, sent: Instant) {
        if self.is_cut(owner, &order.instance) {
            let delay = self.answer_delay(true, order.timeout);
            let lost = Err(CallFailure::NoAnswer);
            return self.post(delay, Event::PollAnswered(owner, order, sent, lost));
        }
        let worker = self.workers.get_mut(&order.instance).unwrap();
        if !worker.begin_poll(self.now, &order, &self.store, &mut self.history) {
            let fenced = Err(CallFailure::FencedOut);
            return self.post(1, Event::PollAnswered(owner, order, sent, fenced));
        }
        let until = self.now + u64::try_from(order.wait.as_millis()).unwrap();
        self.waiting_polls.push(WaitingPoll {
            owner,
            order,
            sent,
            until,
        });
    }

    fn step_workers(&mut self) {
        for worker in self.workers.values_mut() {
            worker.advance(self.now, &mut self.history);
        }
        for poll in std::mem::take(&mut self.waiting_polls) {
            let worker = &self.workers[&poll.order.instance];
            if self.now < poll.until && !worker.has_new_ends() {
                self.waiting_polls.push(poll);
                continue;
            }
            let answer = Ok(worker.listing(self.now));
            let delay = self.rng.u64(1..4);
            let WaitingPoll {
                owner, order, sent, ..
            } = poll;
            self.post(delay, Event::PollAnswered(owner, order, sent, answer));
        }
    }

    fn send_write(&mut self, write: PendingWrite) {
        let fate = match self.owners[write.client.owner()].is_store_cut {
            true => WriteFate::LOST,
            false => self.store.draw_fate(&mut self.rng),
        };
        self.serial += 1;
        let number = self.serial;
        if let Some(delay) = fate.carried_out {
            let event = Event::CarryOut(number, write.order.clone(), fate.answer);
            self.post(delay, event);
        }
        self.writes.insert(number, write);
        self.post(READ_BACK_MS, Event::ReadBack(number));
        self.post(CALL_TIMEOUT_MS, Event::WriteTimedOut(number));
    }

    /// Reads the row of a write without an answer.
    fn read_back(&mut self, number: u64) {
        let Some(write) = self.writes.get(&number) else {
            return;
        };
        let is_cut = self.owners[write.client.owner()].is_store_cut;
        let found = self.store.find(write.order.job).filter(|_| !is_cut);
        match found.filter(|found| write.order.is_stored_as(&found.row)) {
            Some(found) => {
                let write = self.writes.remove(&number).unwrap();
                self.finish_write(write, Some(found.version));
            }
            None => self.post(READ_BACK_MS, Event::ReadBack(number)),
        }
    }

    /// Tries a write again that got no answer.
    fn retry(&mut self, write: PendingWrite) {
        match write.client {
            WriteClient::JobOwner { owner, fence } => {
                if self.fence(owner) == fence {
                    self.post(RETRY_MS, Event::SendWrite(write));
                }
            }
            WriteClient::WorkerOwner { owner, fence, ends } => {
                self.post(RETRY_MS, Event::AddEnds(owner, fence, ends));
            }
        }
    }

    /// Handles that a write was stored as a version, or that its condition did not hold.
    fn finish_write(&mut self, write: PendingWrite, version: Option<u64>) {
        let at = self.at();
        let PendingWrite { client, order } = write;
        match (client, version) {
            (WriteClient::JobOwner { owner, fence }, version) => {
                let found = || self.store.find(order.job);
                let result = match version {
                    Some(version) => KeptWriteResult::Stored(version),
                    None => order.classify_conflict(found().unwrap()),
                };
                self.with_pool(owner, fence, |pool| {
                    pool.on_store_answer(at, &order, result);
                });
            }
            (WriteClient::WorkerOwner { owner, fence, ends }, Some(_)) => {
                self.report_ends(owner, fence, &ends, ForeignEndResult::Stored);
            }
            (WriteClient::WorkerOwner { owner, fence, ends }, None) => {
                self.add_ends(owner, fence, ends);
            }
        }
    }

    fn report_ends(
        &mut self,
        owner: usize,
        fence: FenceToken,
        ends: &[ForeignEnd],
        result: ForeignEndResult,
    ) {
        self.with_pool(owner, fence, |pool| {
            for end in ends {
                pool.on_foreign_end_stored(end, result);
            }
        });
    }

    fn add_ends(&mut self, owner: usize, fence: FenceToken, ends: Vec<ForeignEnd>) {
        if self.fence(owner) != fence {
            return;
        }
        let Some(found): Option<FoundJob> = self.store.find(ends[0].task.job) else {
            return self.report_ends(owner, fence, &ends, ForeignEndResult::NoKeptJob);
        };
        let write = WriteId(self.rng.u64(..));
        match KeptWrite::of_foreign_ends(found, &ends, fence, write) {
            Some(order) => {
                let client = WriteClient::WorkerOwner { owner, fence, ends };
                self.send_write(PendingWrite { client, order });
            }
            None => self.report_ends(owner, fence, &ends, ForeignEndResult::Stored),
        }
    }

    fn step(&mut self) {
        self.now += 1;
        self.step_workers();
        self.deliver();
        for owner in 0..OWNERS {
            self.step_owner(owner);
        }
    }

    /// The workers with ends that are not acknowledged. There are others, on which the tasks can start again.
    fn workers_with_new_ends(&self) -> Vec<InstanceId> {
        let workers = self.workers.iter();
        let listing = workers.filter(|(_, worker)| worker.has_new_ends());
        let listing: Vec<InstanceId> = listing.map(|(instance, _)| instance.clone()).collect();
        assert!(
            !listing.is_empty() && listing.len() < WORKERS,
            "{listing:?}"
        );
        listing
    }

    /// Asserts that a job is completed.
    fn check_completed(&self, job: JobId) {
        let row = self.store.find(job).unwrap().row;
        assert_eq!(row.state, KeptState::Completed);
    }

    /// Plays until a moment, with jobs that are not kept beside it.
    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.step();
            self.submit_traffic();
        }
    }

    fn submit_traffic(&mut self) {
        if !self.now.is_multiple_of(TRAFFIC_INTERVAL_MS) {
            return;
        }
        for owner in 0..OWNERS {
            if self.now >= self.owners[owner].frozen_until {
                self.submit_loose(owner);
            }
        }
    }

    fn draw_trouble(&mut self) -> StoreTrouble {
        match self.rng.u32(..5) {
            0 => StoreTrouble::None,
            1 => StoreTrouble::Slow,
            2 => StoreTrouble::Lost(0.6),
            3 => StoreTrouble::Dropped(0.6),
            _ => StoreTrouble::Late(0.35),
        }
    }

    /// Freezes an owner, holds its reads of the rows, or cuts it off from a worker.
    fn disturb(&mut self) {
        let owner = self.rng.usize(..OWNERS);
        let until = self.now + self.rng.u64(200..4_000);
        match self.rng.u32(..3) {
            0 => self.owners[owner].frozen_until = until,
            1 => self.owners[owner].reads_held_until = until,
            _ => {
                let number = self.rng.usize(..WORKERS);
                let instance = self.workers.keys().nth(number).unwrap().clone();
                self.cuts.insert((owner, instance), until);
            }
        }
    }
}

/// Plays one seed. The workers are divided once or twice while the store is in trouble.
fn play(seed: u64) {
    let mut play = Play::new(seed);
    let second_division = DIVISION_MS + play.rng.u64(100..4_000);
    let divides_again = play.rng.bool();
    let trouble_begins = DIVISION_MS.saturating_sub(play.rng.u64(0..400));
    let jobs = play.rng.u64(1..8);
    let disturbances = play.rng.u64(..4);
    let disturbed_at: Vec<u64> = (0..disturbances)
        .map(|_| play.rng.u64(trouble_begins..trouble_begins + TROUBLE_MS))
        .collect();
    while play.now < PLAY_MS {
        play.step();
        let now = play.now;
        if now >= 100 && now < 100 + jobs * 40 && now.is_multiple_of(40) {
            play.submit_kept(JobId(now));
        }
        if now == trouble_begins {
            play.store.trouble = play.draw_trouble();
        }
        if now == trouble_begins + TROUBLE_MS {
            play.store.trouble = StoreTrouble::None;
        }
        if now == DIVISION_MS || divides_again && now == second_division {
            play.divide();
        }
        if disturbed_at.contains(&now) {
            play.disturb();
        }
        if now < PLAY_MS / 2 {
            play.submit_traffic();
        }
    }
    for row in play.store.rows() {
        let text = format!("seed {seed}: {:?} after {PLAY_MS} ms", row.state);
        assert!(row.state.is_final(), "{text}");
        let may_fail = !play.failing.is_empty();
        assert!(row.state == KeptState::Completed || may_fail, "{text}");
    }
}

/// Guards against a second run of a task whose end was acknowledged by the new owner of its worker, and against ends that
/// are acknowledged and in no row.
#[test]
fn no_task_starts_after_an_end_that_was_taken_note_of() {
    for seed in 1..=60 {
        println!("seed {seed}");
        play(seed);
    }
}

/// Two processes that both own the pool of the kept jobs, as the first has not heard of the second's claim. The store is
/// out of the first one's reach, so it has not stored the ends of a job. The second does not reach the workers that list
/// them, on which the first goes on with other jobs, and starts the job's tasks again.
fn play_with_two_owners() -> (Play, Vec<InstanceId>) {
    let mut play = Play::new(1);
    play.run_until(100);
    play.submit_kept(JOB);
    play.run_until(130);
    play.owners[JOB_OWNER].is_store_cut = true;
    play.run_until(DIVISION_MS);
    let busy = play.workers_with_new_ends();
    for instance in &busy {
        play.cuts.insert((1, instance.clone()), u64::MAX);
    }
    for assigned in play.assignment.values_mut() {
        *assigned = 1;
    }
    play.open_as(1, JOB_OWNER);
    let first_starts = play.history.starts(JOB);
    while play.history.starts(JOB) == first_starts {
        assert!(play.now < PLAY_MS, "the job has not run again");
        play.run_until(play.now + 1);
    }
    (play, busy)
}

/// Guards against a second run of a task whose end was acknowledged by the job's next owner, which had started the task
/// again while it did not reach the worker.
#[test]
fn ends_on_a_worker_that_the_next_owner_reaches_late() {
    let (mut play, busy) = play_with_two_owners();
    for instance in busy {
        play.cuts.remove(&(1, instance));
    }
    play.run_until(play.now + 4_000);
    play.check_completed(JOB);
}

/// Guards against a second run of a task whose end was acknowledged by a former owner, which stored the end before it heard
/// that the next one had started the task again.
#[test]
fn ends_that_a_former_owner_stores_late() {
    let (mut play, _) = play_with_two_owners();
    play.owners[JOB_OWNER].is_store_cut = false;
    play.run_until(play.now + 4_000);
    play.check_completed(JOB);
}

/// Guards against a second run of a task whose end was acknowledged by the job's own owner: its worker had gone to another
/// pool, whose owner could not read the rows, and came back after the task had started again.
#[test]
fn ends_on_a_worker_that_comes_back_after_its_tasks_started_again() {
    let mut play = Play::new(1);
    play.run_until(100);
    play.submit_kept(JOB);
    play.run_until(130);
    // The ends are neither stored nor acknowledged.
    play.store.trouble = StoreTrouble::Dropped(1.0);
    play.run_until(DIVISION_MS);
    let busy = play.workers_with_new_ends();
    for instance in &busy {
        play.assignment.insert(instance.clone(), 1);
    }
    let second_division = DIVISION_MS + MAX_NOTICE_MS + MISSING_WORKERS_MS + 500;
    play.owners[1].reads_held_until = second_division + MAX_NOTICE_MS;
    play.announce_division();
    play.run_until(DIVISION_MS + MAX_NOTICE_MS);
    play.store.trouble = StoreTrouble::None;
    play.run_until(second_division);
    for instance in busy {
        play.assignment.insert(instance, JOB_OWNER);
    }
    play.announce_division();
    play.run_until(second_division + 2 * MISSING_WORKERS_MS);
    play.check_completed(JOB);
}
