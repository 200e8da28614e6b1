//! Gathers keys into batches and decides what each outcome means. No I/O and no clock of its own.
//!
//! One batch is in flight at a time; the keys that come meanwhile make up the next one. So a batch grows with the
//! load, and a lone key waits for no other.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use model::{FastMap, FastSet};

use crate::{KeyRecord, KeyRequest, KeyResult, RequestKey};

/// Limits of a batcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatcherSettings {
    /// Keys in one transaction. 500 rows of some 200 bytes are 100 KB, a few ms more than one row.
    pub max_batch: usize,
    /// Keys that wait for a batch. Past it a key is refused at once: at one batch of 500 in each turn of 50 ms a
    /// queue of 5,000 is drained in half a second, and what is behind it would be late for most requests.
    pub max_queue: usize,
    /// The longest wait of a key, also when its request has more time: an outage is better heard of early.
    pub max_wait: Duration,
    /// The first pause after the platform failed. It doubles with each further failure.
    pub initial_backoff: Duration,
    /// The longest pause after the platform failed.
    pub max_backoff: Duration,
    /// What a refused request hears at least about when to come back.
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

/// A key on its way through the batcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PendingKeyId(u64);

/// What the caller of a [`KeyBatcher`] has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyAction {
    /// Take a turn to write and report by [`KeyBatcher::turn_ended`].
    AcquireTurn,
    /// Insert these records, all or nothing, and report by [`KeyBatcher::batch_ended`].
    Commit(Vec<(RequestKey, KeyRecord)>),
    /// Read a record and report by [`KeyBatcher::read_ended`].
    Read(PendingKeyId, RequestKey),
    /// Tell the request.
    Answer(PendingKeyId, KeyResult),
}

/// How taking a turn ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnOutcome {
    /// It is this process's turn.
    Acquired,
    /// There is no turn for so long.
    Refused(Duration),
}

/// How a commit ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// Every record was inserted.
    Committed,
    /// None was, since there are rows of these keys already.
    Conflict(Vec<RequestKey>),
    /// None was, and none will be.
    NotSent,
    /// Nobody can say.
    Uncertain,
}

/// How a read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The record that is there.
    Found(KeyRecord),
    /// No row.
    Absent,
    /// No answer.
    Failed,
}

/// The state machine. Every input gives the actions that follow from it.
#[derive(Debug)]
pub struct KeyBatcher {
    settings: BatcherSettings,
    queue: VecDeque<PendingKey>,
    /// The keys in flight or in doubt. While in doubt it may lose entries but never gains any: it is then part of
    /// every batch in doubt before it, and one row tells of all.
    batch: Vec<PendingKey>,
    phase: BatchPhase,
    /// Keys that are taken, until it is known by whom.
    conflicting: FastMap<PendingKeyId, ConflictingKey>,
    failures: u32,
    next_id: u64,
}

#[derive(Debug)]
struct PendingKey {
    id: PendingKeyId,
    request: KeyRequest,
    /// Set when the request was told already, while its record was in flight.
    answered: bool,
}

#[derive(Debug)]
struct ConflictingKey {
    pending: PendingKey,
    /// When to read again; nothing while a read is under way.
    read_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BatchPhase {
    /// Nothing is in flight.
    Idle,
    /// A turn is being waited for.
    AcquiringTurn { in_doubt: bool },
    /// The batch is being committed.
    Committing { in_doubt: bool },
    /// The row of the batch's first key is being read, to learn what became of a batch in doubt.
    Probing(PendingKeyId),
    /// The platform failed; it is left alone for a while.
    BackingOff { until: Instant, in_doubt: bool },
}

impl KeyBatcher {
    /// An idle batcher.
    pub fn new(settings: BatcherSettings) -> Self {
        Self {
            settings,
            queue: VecDeque::new(),
            batch: Vec::new(),
            phase: BatchPhase::Idle,
            conflicting: FastMap::default(),
            failures: 0,
            next_id: 0,
        }
    }

    /// Whether nothing is waiting or in flight, so that [`Self::tick`] has nothing to do.
    pub fn is_idle(&self) -> bool {
        self.phase == BatchPhase::Idle && self.queue.is_empty() && self.conflicting.is_empty()
    }

    /// Keys that wait for a batch.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Takes in a key.
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

    /// Hears how taking a turn ended.
    pub fn turn_ended(&mut self, now: Instant, outcome: TurnOutcome) -> Vec<KeyAction> {
        let BatchPhase::AcquiringTurn { in_doubt } = self.phase else {
            return Vec::new();
        };
        match outcome {
            TurnOutcome::Refused(wait) => {
                let until = now + wait;
                self.phase = BatchPhase::BackingOff { until, in_doubt };
                Vec::new()
            }
            TurnOutcome::Acquired => {
                let mut actions = self.expire(now);
                if !in_doubt {
                    self.fill_batch();
                }
                actions.extend(self.commit(in_doubt));
                actions
            }
        }
    }

    /// Hears how the commit ended.
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

    /// Hears how a read ended.
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
                self.failures = 0;
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

    /// Ends what has run out of time and goes on after a pause. To be called every few milliseconds while not idle.
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

    /// Asks for a turn when nothing is in flight and something waits.
    fn start_batch(&mut self) -> Vec<KeyAction> {
        if self.phase != BatchPhase::Idle || self.queue.is_empty() {
            return Vec::new();
        }
        self.phase = BatchPhase::AcquiringTurn { in_doubt: false };
        vec![KeyAction::AcquireTurn]
    }

    /// Moves waiting keys into the batch. A key that is in it already has to wait: two inserts of one key in one
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

    /// Reads the keys that are taken, and lets the others go first in the next batch. None of these is in doubt any
    /// longer: every earlier batch held the taken keys too, and so can no longer be inserted.
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
        self.failures = 0;
        self.phase = BatchPhase::Idle;
        actions.extend(self.start_batch());
        actions
    }

    /// Reads one row of a batch in doubt: all rows are there or none is, so one read tells of 500 keys. Entries that
    /// nobody waits for any more leave the batch.
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
            // The batch can no longer be inserted, whatever was lost on the way.
            ReadOutcome::Found(record) => {
                let first = self.batch.remove(0);
                self.requeue_batch();
                let actions = first.answer(KeyResult::Exists(record));
                self.resume(actions)
            }
            // The batch may yet land. The same one is sent again: whichever comes second finds the rows of the first.
            ReadOutcome::Absent => {
                self.phase = BatchPhase::AcquiringTurn { in_doubt: true };
                vec![KeyAction::AcquireTurn]
            }
            ReadOutcome::Failed => self.back_off(now, true),
        }
    }

    /// Leaves the platform alone for a while. Without the pause every key that comes during an outage would cost a
    /// call, and the calls of all VMs would meet the platform the moment it comes back.
    fn back_off(&mut self, now: Instant, in_doubt: bool) -> Vec<KeyAction> {
        let doublings = self.failures.min(10);
        let backoff = self.settings.initial_backoff * 2u32.pow(doublings);
        self.failures += 1;
        let until = now + backoff.min(self.settings.max_backoff);
        self.phase = BatchPhase::BackingOff { until, in_doubt };
        Vec::new()
    }

    /// Puts a batch that certainly had no effect back in front of the queue.
    fn requeue_batch(&mut self) {
        for pending in std::mem::take(&mut self.batch).into_iter().rev() {
            if !pending.answered {
                self.queue.push_front(pending);
            }
        }
    }

    /// Tells requests without time left. One that waits was never sent; one in flight, in doubt or taken cannot say
    /// that its key is free.
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

    /// The refusal with when to come back: after the pause, and after what waits already.
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
    /// What a row that is there means for this entry.
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
