//! State machine that groups keys into batches and interprets the outcome of each write and read. It does no I/O and
//! reads no clock.
//!
//! One batch is in flight at a time, and the keys that arrive meanwhile form the next one. Batches therefore grow with
//! the load, and a single key does not wait for others.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use model::{FastMap, FastSet};

use crate::{KeyRecord, KeyRequest, KeyResult, RequestKey};

/// Limits of a [`KeyBatcher`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatcherSettings {
    /// Maximum number of keys in one transaction. 500 rows of about 200 bytes are 100 KB, which takes a few ms more
    /// than one row.
    pub max_batch: usize,
    /// Maximum number of keys that wait for a batch; further keys are refused at once. With a write permit every 50
    /// ms and 500 keys per write, a queue of 5,000 drains in half a second. Keys behind that would be too late for most
    /// requests.
    pub max_queue: usize,
    /// Maximum wait of a key, even if its request has more time, so that callers learn of an outage early.
    pub max_wait: Duration,
    /// Backoff after the first failure of the platform. It doubles with each further failure.
    pub initial_backoff: Duration,
    /// Upper limit of the backoff.
    pub max_backoff: Duration,
    /// Lower limit of the retry delay that a refused request is given.
    pub min_retry_after: Duration,
}

impl Default for BatcherSettings {
    fn default() -> Self {
        Self {
            max_batch: 500,
            max_queue: 5_000,
            max_wait: Duration::from_secs(2),
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(1),
            min_retry_after: Duration::from_millis(500),
        }
    }
}

/// Identifies a key from its submission to its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PendingKeyId(u64);

/// An action that the caller of a [`KeyBatcher`] has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyAction {
    /// Acquire a write permit from the rate limiter and report to [`KeyBatcher::acquire_ended`].
    AcquirePermit,
    /// Insert these records in one transaction and report to [`KeyBatcher::batch_ended`].
    Commit(Vec<(RequestKey, KeyRecord)>),
    /// Read the key's record and report to [`KeyBatcher::read_ended`].
    Read(PendingKeyId, RequestKey),
    /// Deliver the result to the request.
    Answer(PendingKeyId, KeyResult),
}

/// Outcome of acquiring a write permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitOutcome {
    /// This process may write now.
    Acquired,
    /// The rate limiter allows no write for this long.
    Refused(Duration),
}

/// Outcome of committing a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// Every record was inserted.
    Committed,
    /// No record was inserted because rows for these keys already exist.
    Conflict(Vec<RequestKey>),
    /// The transaction was not sent, so no record was or will be inserted.
    NotSent,
    /// It is unknown whether the records were or will be inserted.
    Uncertain,
}

/// Outcome of reading a key's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The row exists and holds this record.
    Found(KeyRecord),
    /// The row does not exist.
    Absent,
    /// The read failed, or the row could not be decoded.
    Failed,
}

/// The state machine. Every input returns the actions that follow from it.
#[derive(Debug)]
pub struct KeyBatcher {
    settings: BatcherSettings,
    queue: VecDeque<PendingKey>,
    /// The keys in flight or in doubt. A batch in doubt may lose keys but never gains any, so it is a subset of every
    /// earlier attempt in doubt, and reading one row shows whether all of its rows were inserted.
    batch: Vec<PendingKey>,
    phase: BatchPhase,
    /// Keys that already have a row, until the row has been read.
    conflicting: FastMap<PendingKeyId, ConflictingKey>,
    consecutive_failures: u32,
    next_id: u64,
}

#[derive(Debug)]
struct PendingKey {
    id: PendingKeyId,
    request: KeyRequest,
    /// Set when the request was answered while its record was still in flight.
    answered: bool,
}

#[derive(Debug)]
struct ConflictingKey {
    pending: PendingKey,
    /// When to read the row again; `None` while a read is in flight.
    read_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BatchPhase {
    /// Nothing is in flight.
    Idle,
    /// A write permit is being acquired.
    AcquiringPermit { in_doubt: bool },
    /// The batch is being committed.
    Committing { in_doubt: bool },
    /// The row of the batch's first key is being read to find out whether a batch in doubt was inserted.
    Probing(PendingKeyId),
    /// The platform failed or the rate limiter refused a permit; nothing is sent until the time given.
    BackingOff { until: Instant, in_doubt: bool },
}

impl KeyBatcher {
    /// Creates an idle batcher.
    pub fn new(settings: BatcherSettings) -> Self {
        Self {
            settings,
            queue: VecDeque::new(),
            batch: Vec::new(),
            phase: BatchPhase::Idle,
            conflicting: FastMap::default(),
            consecutive_failures: 0,
            next_id: 0,
        }
    }

    /// Whether nothing is waiting or in flight, so that [`Self::tick`] has nothing to do.
    pub fn is_idle(&self) -> bool {
        self.phase == BatchPhase::Idle && self.queue.is_empty() && self.conflicting.is_empty()
    }

    /// Number of keys that wait for a batch.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Queues a key, or refuses it if the queue is full.
    pub fn submit(
        &mut self,
        now: Instant,
        mut request: KeyRequest,
    ) -> (PendingKeyId, Vec<KeyAction>) {
        let id = PendingKeyId(self.next_id);
        self.next_id += 1;
        if self.queue.len() >= self.settings.max_queue {
            return (id, vec![KeyAction::Answer(id, self.not_recorded(now))]);
        }
        request.deadline = request.deadline.min(now + self.settings.max_wait);
        self.queue.push_back(PendingKey {
            id,
            request,
            answered: false,
        });
        (id, self.start_batch())
    }

    /// Handles the outcome of [`KeyAction::AcquirePermit`].
    pub fn acquire_ended(&mut self, now: Instant, outcome: PermitOutcome) -> Vec<KeyAction> {
        let BatchPhase::AcquiringPermit { in_doubt } = self.phase else {
            return Vec::new();
        };
        match outcome {
            PermitOutcome::Refused(wait) => {
                let until = now + wait;
                self.phase = BatchPhase::BackingOff { until, in_doubt };
                Vec::new()
            }
            PermitOutcome::Acquired => {
                let mut actions = self.expire(now);
                if !in_doubt {
                    self.fill_batch();
                }
                actions.extend(self.commit(in_doubt));
                actions
            }
        }
    }

    /// Handles the outcome of [`KeyAction::Commit`].
    pub fn batch_ended(&mut self, now: Instant, outcome: BatchOutcome) -> Vec<KeyAction> {
        let BatchPhase::Committing { in_doubt } = self.phase else {
            return Vec::new();
        };
        match outcome {
            BatchOutcome::Committed => self.finish_recorded(),
            BatchOutcome::Conflict(keys) => self.finish_conflict(&keys),
            BatchOutcome::NotSent if in_doubt => self.back_off(now, true),
            BatchOutcome::NotSent => {
                self.requeue_batch();
                self.back_off(now, false)
            }
            BatchOutcome::Uncertain => self.probe(),
        }
    }

    /// Handles the outcome of [`KeyAction::Read`].
    pub fn read_ended(
        &mut self,
        now: Instant,
        id: PendingKeyId,
        outcome: ReadOutcome,
    ) -> Vec<KeyAction> {
        if self.phase == BatchPhase::Probing(id) {
            return self.probe_ended(now, outcome);
        }
        let Some(mut conflicting) = self.conflicting.remove(&id) else {
            return Vec::new();
        };
        match outcome {
            ReadOutcome::Found(record) => {
                self.consecutive_failures = 0;
                let result = conflicting.pending.result_for(record);
                conflicting.pending.answer(result)
            }
            ReadOutcome::Absent => {
                self.queue.push_front(conflicting.pending);
                self.start_batch()
            }
            ReadOutcome::Failed => {
                conflicting.read_at = Some(now + self.settings.initial_backoff);
                self.conflicting.insert(id, conflicting);
                Vec::new()
            }
        }
    }

    /// Answers requests past their deadline, repeats failed reads and resumes after a backoff. To be called every few
    /// milliseconds while not idle.
    pub fn tick(&mut self, now: Instant) -> Vec<KeyAction> {
        let mut actions = self.expire(now);
        for (id, conflicting) in &mut self.conflicting {
            if conflicting.read_at.is_none_or(|at| at > now) {
                continue;
            }
            conflicting.read_at = None;
            actions.push(KeyAction::Read(
                *id,
                conflicting.pending.request.key.clone(),
            ));
        }
        match self.phase {
            BatchPhase::BackingOff { until, in_doubt } if until <= now => {
                self.phase = BatchPhase::Idle;
                actions.extend(match in_doubt {
                    true => self.probe(),
                    false => self.start_batch(),
                });
            }
            _ => {}
        }
        actions
    }

    /// Asks for a write permit if nothing is in flight and keys are queued.
    fn start_batch(&mut self) -> Vec<KeyAction> {
        if self.phase != BatchPhase::Idle || self.queue.is_empty() {
            return Vec::new();
        }
        self.phase = BatchPhase::AcquiringPermit { in_doubt: false };
        vec![KeyAction::AcquirePermit]
    }

    /// Moves queued keys into the batch. A second request with the same key stays queued: two inserts of one key in one
    /// transaction would both find no row, and both requests would start.
    fn fill_batch(&mut self) {
        let mut keys = FastSet::default();
        let mut deferred = VecDeque::new();
        while let Some(pending) = self.queue.pop_front() {
            if self.batch.len() == self.settings.max_batch {
                deferred.push_back(pending);
                break;
            }
            if keys.insert(pending.request.key.clone()) {
                self.batch.push(pending);
            } else {
                deferred.push_back(pending);
            }
        }
        deferred.append(&mut self.queue);
        self.queue = deferred;
    }

    fn commit(&mut self, in_doubt: bool) -> Vec<KeyAction> {
        self.batch.retain(|pending| !pending.answered);
        if self.batch.is_empty() {
            self.phase = BatchPhase::Idle;
            return self.start_batch();
        }
        self.phase = BatchPhase::Committing { in_doubt };
        let mut records = Vec::new();
        for pending in &self.batch {
            records.push((pending.request.key.clone(), pending.request.record));
        }
        vec![KeyAction::Commit(records)]
    }

    fn finish_recorded(&mut self) -> Vec<KeyAction> {
        let mut actions = Vec::new();
        for pending in self.batch.drain(..) {
            actions.extend(pending.answer(KeyResult::Recorded));
        }
        self.resume(actions)
    }

    /// Reads the rows of the conflicting keys and requeues the others in front. The others are no longer in doubt:
    /// every earlier attempt contained the conflicting keys too, so it can no longer be inserted.
    fn finish_conflict(&mut self, keys: &[RequestKey]) -> Vec<KeyAction> {
        let keys: FastSet<_> = keys.iter().collect();
        let mut actions = Vec::new();
        for pending in std::mem::take(&mut self.batch).into_iter().rev() {
            if pending.answered {
                continue;
            }
            if !keys.contains(&pending.request.key) {
                self.queue.push_front(pending);
                continue;
            }
            actions.push(KeyAction::Read(pending.id, pending.request.key.clone()));
            let read_at = None;
            self.conflicting
                .insert(pending.id, ConflictingKey { pending, read_at });
        }
        self.resume(actions)
    }

    fn resume(&mut self, mut actions: Vec<KeyAction>) -> Vec<KeyAction> {
        self.consecutive_failures = 0;
        self.phase = BatchPhase::Idle;
        actions.extend(self.start_batch());
        actions
    }

    /// Reads one row of a batch in doubt: a transaction is all or nothing, so one read decides up to 500 keys. Keys
    /// whose request was already answered are dropped from the batch.
    fn probe(&mut self) -> Vec<KeyAction> {
        self.batch.retain(|pending| !pending.answered);
        let Some(first) = self.batch.first() else {
            self.phase = BatchPhase::Idle;
            return self.start_batch();
        };
        self.phase = BatchPhase::Probing(first.id);
        vec![KeyAction::Read(first.id, first.request.key.clone())]
    }

    fn probe_ended(&mut self, now: Instant, outcome: ReadOutcome) -> Vec<KeyAction> {
        match outcome {
            ReadOutcome::Found(record) if self.batch[0].request.record == record => {
                self.finish_recorded()
            }
            // Another submission has the key, so no lost or delayed attempt of this batch can be inserted any more.
            ReadOutcome::Found(record) => {
                let first = self.batch.remove(0);
                self.requeue_batch();
                let actions = first.answer(KeyResult::Exists(record));
                self.resume(actions)
            }
            // A delayed attempt may still be inserted. The same batch is sent again, and whichever attempt arrives
            // second conflicts with the rows of the first.
            ReadOutcome::Absent => {
                self.phase = BatchPhase::AcquiringPermit { in_doubt: true };
                vec![KeyAction::AcquirePermit]
            }
            ReadOutcome::Failed => self.back_off(now, true),
        }
    }

    /// Starts an exponential backoff. Without it every key that arrives during an outage would cost a call, and the
    /// calls of all VMs would hit the platform the moment it recovers.
    fn back_off(&mut self, now: Instant, in_doubt: bool) -> Vec<KeyAction> {
        let doublings = self.consecutive_failures.min(10);
        let backoff = self.settings.initial_backoff * 2u32.pow(doublings);
        self.consecutive_failures += 1;
        let until = now + backoff.min(self.settings.max_backoff);
        self.phase = BatchPhase::BackingOff { until, in_doubt };
        Vec::new()
    }

    /// Puts the keys of a batch that certainly had no effect back at the front of the queue.
    fn requeue_batch(&mut self) {
        for pending in std::mem::take(&mut self.batch).into_iter().rev() {
            if !pending.answered {
                self.queue.push_front(pending);
            }
        }
    }

    /// Answers requests past their deadline. A queued key has no write that could still take effect, so it is not
    /// recorded; for a key that is in flight, in doubt or conflicting, the result is uncertain.
    fn expire(&mut self, now: Instant) -> Vec<KeyAction> {
        let mut actions = Vec::new();
        let not_recorded = self.not_recorded(now);
        self.queue.retain(|pending| {
            let expired = pending.request.deadline <= now;
            if expired {
                actions.push(KeyAction::Answer(pending.id, not_recorded));
            }
            !expired
        });
        for pending in &mut self.batch {
            if pending.answered || pending.request.deadline > now {
                continue;
            }
            pending.answered = true;
            actions.push(KeyAction::Answer(pending.id, KeyResult::Uncertain));
        }
        self.conflicting.retain(|id, conflicting| {
            let expired = conflicting.pending.request.deadline <= now;
            if expired {
                actions.push(KeyAction::Answer(*id, KeyResult::Uncertain));
            }
            !expired
        });
        actions
    }

    /// The refusal, with a retry delay that covers the rest of the backoff.
    fn not_recorded(&self, now: Instant) -> KeyResult {
        let backoff = match self.phase {
            BatchPhase::BackingOff { until, .. } => until.saturating_duration_since(now),
            _ => Duration::ZERO,
        };
        KeyResult::NotRecorded {
            retry_after: backoff.max(self.settings.min_retry_after),
        }
    }
}

impl PendingKey {
    /// The result for this key when its row holds `record`.
    fn result_for(&self, record: KeyRecord) -> KeyResult {
        if record == self.request.record {
            return KeyResult::Recorded;
        }
        KeyResult::Exists(record)
    }

    fn answer(&self, result: KeyResult) -> Vec<KeyAction> {
        if self.answered {
            return Vec::new();
        }
        vec![KeyAction::Answer(self.id, result)]
    }
}
