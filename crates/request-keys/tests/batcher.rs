//! Tests of the batcher's state machine with simulated time, a simulated store and seeded faults.

use std::time::{Duration, Instant};

use fastrand::Rng;
use model::{FastMap, FastSet, IncarnationId};
use request_keys::{
    BatchOutcome, BatcherSettings, BodyDigest, KeyAction, KeyBatcher, KeyRecord, KeyRequest,
    KeyResult, PendingKeyId, PermitOutcome, ReadOutcome, RequestKey,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn key(n: u64) -> RequestKey {
    RequestKey {
        customer: "trust".parse().unwrap(),
        key: format!("k{n}").parse().unwrap(),
    }
}

fn record(incarnation: u64, serial: u64) -> KeyRecord {
    KeyRecord {
        incarnation: IncarnationId(incarnation),
        serial,
        body_digest: BodyDigest(7),
    }
}

fn request(key_number: u64, serial: u64, deadline: Instant) -> KeyRequest {
    KeyRequest {
        key: key(key_number),
        record: record(1, serial),
        deadline,
    }
}

/// A delayed event: an outcome that a batcher receives, or a late commit.
enum Event {
    Permit(usize),
    LateCommit(Vec<(RequestKey, KeyRecord)>),
    Batch(usize, Vec<(RequestKey, KeyRecord)>, SimulatedCommit),
    Read(usize, PendingKeyId, RequestKey, bool),
}

/// What the simulated store does with a batch.
#[derive(Clone, Copy)]
enum SimulatedCommit {
    Answered,
    AnswerLost,
    RequestLost,
    LandsLater(u64),
    NotSent,
}

/// The batchers of two entries over one store.
struct Simulation {
    rng: Rng,
    now: Instant,
    batchers: [KeyBatcher; 2],
    events: Vec<(Instant, Event)>,
    rows: FastMap<RequestKey, KeyRecord>,
    requests: FastMap<(usize, PendingKeyId), KeyRequest>,
    results: Vec<(KeyRequest, KeyResult)>,
    fault_percent: u32,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let settings = BatcherSettings {
            max_batch: rng.usize(1..6),
            max_queue: 30,
            max_wait: ms(400),
            ..BatcherSettings::default()
        };
        Self {
            fault_percent: rng.u32(0..90),
            rng,
            now: Instant::now(),
            batchers: [KeyBatcher::new(settings), KeyBatcher::new(settings)],
            events: Vec::new(),
            rows: FastMap::default(),
            requests: FastMap::default(),
            results: Vec::new(),
        }
    }

    fn run(&mut self) {
        let mut serial = 0;
        for step in 0..3_000 {
            self.now += ms(1);
            if step < 300 && self.rng.u8(..) < 60 {
                serial += 1;
                self.submit(serial);
            }
            for event in self.due_events() {
                self.handle_event(event);
            }
            for batcher in 0..2 {
                let actions = self.batchers[batcher].tick(self.now);
                self.perform(batcher, actions);
            }
        }
        assert!(self.events.is_empty() && self.requests.is_empty());
        assert!(self.batchers.iter().all(KeyBatcher::is_idle));
    }

    fn submit(&mut self, serial: u64) {
        let batcher = self.rng.usize(0..2);
        let request = KeyRequest {
            key: key(self.rng.u64(0..25)),
            record: record(batcher as u64, serial),
            deadline: self.now + ms(self.rng.u64(1..500)),
        };
        let (id, actions) = self.batchers[batcher].submit(self.now, request.clone());
        self.requests.insert((batcher, id), request);
        self.perform(batcher, actions);
    }

    fn due_events(&mut self) -> Vec<Event> {
        let mut due = Vec::new();
        let now = self.now;
        for index in (0..self.events.len()).rev() {
            if self.events[index].0 <= now {
                due.push(self.events.swap_remove(index).1);
            }
        }
        due
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.events.push((self.now + ms(delay), event));
    }

    fn draw_fault(&mut self) -> bool {
        self.rng.u32(0..100) < self.fault_percent
    }

    fn perform(&mut self, batcher: usize, actions: Vec<KeyAction>) {
        for action in actions {
            match action {
                KeyAction::AcquirePermit => self.schedule(1, Event::Permit(batcher)),
                KeyAction::Commit(records) => {
                    let simulated = self.draw_commit();
                    self.schedule(4, Event::Batch(batcher, records, simulated));
                }
                KeyAction::Read(id, key) => {
                    let failed = self.draw_fault();
                    self.schedule(1, Event::Read(batcher, id, key, failed));
                }
                KeyAction::Answer(id, result) => {
                    let request = self.requests.remove(&(batcher, id)).expect("answered once");
                    self.results.push((request, result));
                }
            }
        }
    }

    fn draw_commit(&mut self) -> SimulatedCommit {
        if !self.draw_fault() {
            return SimulatedCommit::Answered;
        }
        match self.rng.u8(0..4) {
            0 => SimulatedCommit::AnswerLost,
            1 => SimulatedCommit::RequestLost,
            2 => SimulatedCommit::LandsLater(self.rng.u64(1..300)),
            _ => SimulatedCommit::NotSent,
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        let (batcher, actions) = match event {
            Event::LateCommit(records) => {
                self.insert(&records);
                return;
            }
            Event::Permit(batcher) => {
                let outcome = match self.draw_fault() {
                    true => PermitOutcome::Refused(ms(9)),
                    false => PermitOutcome::Acquired,
                };
                (batcher, self.batchers[batcher].acquire_ended(now, outcome))
            }
            Event::Batch(batcher, records, simulated) => {
                let outcome = self.commit_outcome(records, simulated);
                (batcher, self.batchers[batcher].batch_ended(now, outcome))
            }
            Event::Read(batcher, id, key, failed) => {
                let outcome = match self.rows.get(&key) {
                    _ if failed => ReadOutcome::Failed,
                    Some(record) => ReadOutcome::Found(*record),
                    None => ReadOutcome::Absent,
                };
                (batcher, self.batchers[batcher].read_ended(now, id, outcome))
            }
        };
        self.perform(batcher, actions);
    }

    fn commit_outcome(
        &mut self,
        records: Vec<(RequestKey, KeyRecord)>,
        simulated: SimulatedCommit,
    ) -> BatchOutcome {
        match simulated {
            SimulatedCommit::Answered => self.insert(&records),
            SimulatedCommit::AnswerLost => {
                self.insert(&records);
                BatchOutcome::Uncertain
            }
            SimulatedCommit::RequestLost => BatchOutcome::Uncertain,
            SimulatedCommit::LandsLater(delay) => {
                self.schedule(delay, Event::LateCommit(records));
                BatchOutcome::Uncertain
            }
            SimulatedCommit::NotSent => BatchOutcome::NotSent,
        }
    }

    /// Inserts all records or none, like the platform's transaction.
    fn insert(&mut self, records: &[(RequestKey, KeyRecord)]) -> BatchOutcome {
        let keys: FastSet<_> = records.iter().map(|(key, _)| key).collect();
        assert_eq!(keys.len(), records.len(), "a key twice in one batch");
        let mut taken = Vec::new();
        for (key, _) in records {
            if self.rows.contains_key(key) {
                taken.push(key.clone());
            }
        }
        if !taken.is_empty() {
            return BatchOutcome::Conflict(taken);
        }
        self.rows.extend(records.iter().cloned());
        BatchOutcome::Committed
    }
}

#[test]
fn no_key_is_recorded_twice_and_every_result_matches_the_store_under_seeded_faults() {
    // Two entries receive requests with the same few keys while the store loses requests and answers, applies writes
    // late and refuses connections. Each request is answered once. A request starts when it is answered "recorded", so
    // only one request per key may be; "not recorded" means that nothing started, so its record may never appear.
    let mut counts = [0; 4];
    for seed in 0..400 {
        let mut simulation = Simulation::new(seed);
        simulation.run();
        for (request, result) in &simulation.results {
            let row = simulation.rows.get(&request.key);
            let own = row == Some(&request.record);
            let kind = match result {
                KeyResult::Recorded => {
                    assert!(own, "seed {seed}: recorded, but the row is {row:?}");
                    0
                }
                KeyResult::Exists(record) => {
                    assert!(
                        !own && row == Some(record),
                        "seed {seed}: exists, not {row:?}"
                    );
                    1
                }
                KeyResult::NotRecorded { .. } => {
                    assert!(!own, "seed {seed}: not recorded, but the row is there");
                    2
                }
                KeyResult::Uncertain => 3,
            };
            counts[kind] += 1;
        }
    }
    println!("recorded, exists, not recorded, uncertain: {counts:?}");
    assert!(counts.iter().all(|count| *count > 100), "{counts:?}");
}

/// Returns a batcher with keys 1, 2 and 3 in flight, and their ids.
fn three_in_flight(now: Instant) -> (KeyBatcher, Vec<PendingKeyId>) {
    let mut batcher = KeyBatcher::new(BatcherSettings::default());
    let mut ids = Vec::new();
    for n in 1..=3 {
        ids.push(batcher.submit(now, request(n, n, now + ms(300))).0);
    }
    let actions = batcher.acquire_ended(now, PermitOutcome::Acquired);
    assert!(matches!(&actions[..], [KeyAction::Commit(records)] if records.len() == 3));
    (batcher, ids)
}

#[test]
fn a_conflicting_key_leaves_the_batch_and_the_rest_is_retried_at_once() {
    let now = Instant::now();
    let (mut batcher, ids) = three_in_flight(now);
    let actions = batcher.batch_ended(now, BatchOutcome::Conflict(vec![key(2)]));
    let expected = [KeyAction::Read(ids[1], key(2)), KeyAction::AcquirePermit];
    assert_eq!(actions, expected);
    let rest = vec![(key(1), record(1, 1)), (key(3), record(1, 3))];
    let actions = batcher.acquire_ended(now, PermitOutcome::Acquired);
    assert_eq!(actions, [KeyAction::Commit(rest)]);
    let other = record(9, 9);
    let actions = batcher.read_ended(now, ids[1], ReadOutcome::Found(other));
    assert_eq!(
        actions,
        [KeyAction::Answer(ids[1], KeyResult::Exists(other))]
    );
    let actions = batcher.batch_ended(now, BatchOutcome::Committed);
    let expected = [ids[0], ids[2]].map(|id| KeyAction::Answer(id, KeyResult::Recorded));
    assert_eq!(actions, expected);
    assert!(batcher.is_idle());
}

#[test]
fn a_batch_in_doubt_costs_one_read_and_gains_no_key() {
    // The answer to a batch of three is lost, its rows do not exist yet, and a fourth key arrives. The three must be
    // sent again unchanged: if the fourth joined them, a late insert of the first batch would look like the second, and
    // the fourth request would start without a record.
    let now = Instant::now();
    let (mut batcher, ids) = three_in_flight(now);
    let (fourth, actions) = batcher.submit(now, request(4, 4, now + ms(300)));
    assert_eq!(actions, []);
    let actions = batcher.batch_ended(now, BatchOutcome::Uncertain);
    assert_eq!(actions, [KeyAction::Read(ids[0], key(1))]);
    let actions = batcher.read_ended(now, ids[0], ReadOutcome::Absent);
    assert_eq!(actions, [KeyAction::AcquirePermit]);
    let again = batcher.acquire_ended(now, PermitOutcome::Acquired);
    assert!(matches!(&again[..], [KeyAction::Commit(records)] if records.len() == 3));
    batcher.batch_ended(now, BatchOutcome::Uncertain);
    let actions = batcher.read_ended(now, ids[0], ReadOutcome::Found(record(1, 1)));
    let mut expected: Vec<_> = ids
        .iter()
        .map(|id| KeyAction::Answer(*id, KeyResult::Recorded))
        .collect();
    expected.push(KeyAction::AcquirePermit);
    assert_eq!(actions, expected);
    let next = batcher.acquire_ended(now, PermitOutcome::Acquired);
    assert_eq!(next, [KeyAction::Commit(vec![(key(4), record(1, 4))])]);
    let actions = batcher.batch_ended(now, BatchOutcome::Committed);
    assert_eq!(actions, [KeyAction::Answer(fourth, KeyResult::Recorded)]);
}

#[test]
fn an_outage_costs_one_call_per_backoff_and_every_request_is_answered() {
    // The store refuses connections for ten seconds while a key arrives every 10 ms. Each request is answered "not
    // recorded" by its deadline, with a retry delay, and the store gets one call per backoff; a call for each key would
    // overload it when it recovers.
    let start = Instant::now();
    let mut batcher = KeyBatcher::new(BatcherSettings::default());
    let mut deadlines = FastMap::default();
    let (mut calls, mut answers) = (0, 0);
    for step in 0..1_000 {
        let now = start + ms(step * 10);
        let mut actions = batcher.tick(now);
        let (id, more) = batcher.submit(now, request(step, step, now + ms(300)));
        deadlines.insert(id, now + ms(300));
        actions.extend(more);
        while let Some(action) = actions.pop() {
            match action {
                KeyAction::AcquirePermit => {
                    actions.extend(batcher.acquire_ended(now, PermitOutcome::Acquired))
                }
                KeyAction::Commit(_) => {
                    calls += 1;
                    actions.extend(batcher.batch_ended(now, BatchOutcome::NotSent));
                }
                KeyAction::Answer(id, KeyResult::NotRecorded { retry_after }) => {
                    answers += 1;
                    assert!(retry_after >= BatcherSettings::default().min_retry_after);
                    assert!(now <= deadlines[&id] + ms(10));
                }
                other => panic!("{other:?}"),
            }
        }
    }
    assert!((970..=975).contains(&answers), "{answers} answers");
    assert!(calls <= 16, "{calls} calls");
    println!("10 s of outage, 1,000 keys: {calls} calls");
}

#[test]
fn a_full_queue_refuses_at_once() {
    let now = Instant::now();
    let settings = BatcherSettings {
        max_queue: 2,
        ..BatcherSettings::default()
    };
    let mut batcher = KeyBatcher::new(settings);
    for n in 0..2 {
        batcher.submit(now, request(n, n, now + ms(300)));
    }
    let (id, actions) = batcher.submit(now, request(2, 2, now + ms(300)));
    let retry_after = settings.min_retry_after;
    let refused = KeyAction::Answer(id, KeyResult::NotRecorded { retry_after });
    assert_eq!(actions, [refused]);
    assert_eq!(batcher.queue_len(), 2);
}
