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
    pub longest_wait: Duration,
    /// The first pause after the platform failed. It doubles with each further failure.
    pub first_pause: Duration,
    /// The longest pause after the platform failed.
    pub longest_pause: Duration,
    /// What a refused request hears at least about when to come back.
    pub least_retry_after: Duration,
}

impl Default for BatcherSettings {
    fn default() -> Self {
        Self {
            max_batch: 500,
            max_queue: 5_000,
            longest_wait: Duration::from_secs(2),
            first_pause: Duration::from_millis(50),
            longest_pause: Duration::from_secs(1),
            least_retry_after: Duration::from_millis(500),
        }
    }
}

/// A key on its way through the batcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryId(u64);

/// What the caller of a [`KeyBatcher`] has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyAction {
    /// Take a turn to write and report by [`KeyBatcher::turn_ended`].
    TakeTurn,
    /// Insert these records, all or nothing, and report by [`KeyBatcher::batch_ended`].
    Commit(Vec<(RequestKey, KeyRecord)>),
    /// Read a record and report by [`KeyBatcher::read_ended`].
    Read(EntryId, RequestKey),
    /// Tell the request.
    Answer(EntryId, KeyResult),
}

/// How taking a turn ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnEnd {
    /// It is this process's turn.
    Taken,
    /// There is no turn for so long.
    Refused(Duration),
}

/// How a commit ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchEnd {
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
pub enum ReadEnd {
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
    queue: VecDeque<Entry>,
    /// The keys in flight or in doubt. While in doubt it may lose entries but never gains any: it is then part of
    /// every batch in doubt before it, and one row tells of all.
    batch: Vec<Entry>,
    phase: BatchPhase,
    /// Keys that are taken, until it is known by whom.
    taken: FastMap<EntryId, TakenEntry>,
    failures: u32,
    next_id: u64,
}

#[derive(Debug)]
struct Entry {
    id: EntryId,
    request: KeyRequest,
    /// Set when the request was told already, while its record was in flight.
    answered: bool,
}

#[derive(Debug)]
struct TakenEntry {
    entry: Entry,
    /// When to read again; nothing while a read is under way.
    read_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BatchPhase {
    /// Nothing is in flight.
    Idle,
    /// A turn is being waited for.
    TakingTurn { in_doubt: bool },
    /// The batch is being committed.
    Committing { in_doubt: bool },
    /// The row of the batch's first key is being read, to learn what became of a batch in doubt.
    Probing(EntryId),
    /// The platform failed; it is left alone for a while.
    Paused { until: Instant, in_doubt: bool },
}

impl KeyBatcher {
    /// An idle batcher.
    pub fn new(settings: BatcherSettings) -> Self {
        Self {
            settings,
            queue: VecDeque::new(),
            batch: Vec::new(),
            phase: BatchPhase::Idle,
            taken: FastMap::default(),
            failures: 0,
            next_id: 0,
        }
    }

    /// Whether nothing is waiting or in flight, so that [`Self::tick`] has nothing to do.
    pub fn is_idle(&self) -> bool {
        self.phase == BatchPhase::Idle && self.queue.is_empty() && self.taken.is_empty()
    }

    /// Keys that wait for a batch.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Takes in a key.
    pub fn submit(&mut self, now: Instant, mut request: KeyRequest) -> (EntryId, Vec<KeyAction>) {
        let id = EntryId(self.next_id);
        self.next_id += 1;
        if self.queue.len() >= self.settings.max_queue {
            return (id, vec![KeyAction::Answer(id, self.not_recorded(now))]);
        }
        request.give_up = request.give_up.min(now + self.settings.longest_wait);
        self.queue.push_back(Entry {
            id,
            request,
            answered: false,
        });
        (id, self.start_batch())
    }

    /// Hears how taking a turn ended.
    pub fn turn_ended(&mut self, now: Instant, end: TurnEnd) -> Vec<KeyAction> {
        let BatchPhase::TakingTurn { in_doubt } = self.phase else {
            return Vec::new();
        };
        match end {
            TurnEnd::Refused(wait) => {
                let until = now + wait;
                self.phase = BatchPhase::Paused { until, in_doubt };
                Vec::new()
            }
            TurnEnd::Taken => {
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
    pub fn batch_ended(&mut self, now: Instant, end: BatchEnd) -> Vec<KeyAction> {
        let BatchPhase::Committing { in_doubt } = self.phase else {
            return Vec::new();
        };
        match end {
            BatchEnd::Committed => self.finish_recorded(),
            BatchEnd::Conflict(keys) => self.finish_conflict(&keys),
            BatchEnd::NotSent if in_doubt => self.pause(now, true),
            BatchEnd::NotSent => {
                self.requeue_batch();
                self.pause(now, false)
            }
            BatchEnd::Uncertain => self.probe(),
        }
    }

    /// Hears how a read ended.
    pub fn read_ended(&mut self, now: Instant, id: EntryId, end: ReadEnd) -> Vec<KeyAction> {
        if self.phase == BatchPhase::Probing(id) {
            return self.probe_ended(now, end);
        }
        let Some(mut taken) = self.taken.remove(&id) else {
            return Vec::new();
        };
        match end {
            ReadEnd::Found(record) => {
                self.failures = 0;
                let result = taken.entry.result_of(record);
                taken.entry.answer(result)
            }
            ReadEnd::Absent => {
                self.queue.push_front(taken.entry);
                self.start_batch()
            }
            ReadEnd::Failed => {
                taken.read_at = Some(now + self.settings.first_pause);
                self.taken.insert(id, taken);
                Vec::new()
            }
        }
    }

    /// Ends what has run out of time and goes on after a pause. To be called every few milliseconds while not idle.
    pub fn tick(&mut self, now: Instant) -> Vec<KeyAction> {
        let mut actions = self.expire(now);
        for (id, taken) in &mut self.taken {
            if taken.read_at.is_none_or(|at| at > now) {
                continue;
            }
            taken.read_at = None;
            actions.push(KeyAction::Read(*id, taken.entry.request.key.clone()));
        }
        match self.phase {
            BatchPhase::Paused { until, in_doubt } if until <= now => {
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
        self.phase = BatchPhase::TakingTurn { in_doubt: false };
        vec![KeyAction::TakeTurn]
    }

    /// Moves waiting keys into the batch. A key that is in it already has to wait: two inserts of one key in one
    /// transaction would both find no row, and both requests would start.
    fn fill_batch(&mut self) {
        let mut keys = FastSet::default();
        let mut left = VecDeque::new();
        while let Some(entry) = self.queue.pop_front() {
            if self.batch.len() == self.settings.max_batch {
                left.push_back(entry);
                break;
            }
            if keys.insert(entry.request.key.clone()) {
                self.batch.push(entry);
            } else {
                left.push_back(entry);
            }
        }
        left.append(&mut self.queue);
        self.queue = left;
    }

    fn commit(&mut self, in_doubt: bool) -> Vec<KeyAction> {
        self.batch.retain(|entry| !entry.answered);
        if self.batch.is_empty() {
            self.phase = BatchPhase::Idle;
            return self.start_batch();
        }
        self.phase = BatchPhase::Committing { in_doubt };
        let mut records = Vec::new();
        for entry in &self.batch {
            records.push((entry.request.key.clone(), entry.request.record));
        }
        vec![KeyAction::Commit(records)]
    }

    fn finish_recorded(&mut self) -> Vec<KeyAction> {
        let mut actions = Vec::new();
        for entry in self.batch.drain(..) {
            actions.extend(entry.answer(KeyResult::Recorded));
        }
        self.go_on(actions)
    }

    /// Reads the keys that are taken, and lets the others go first in the next batch. None of these is in doubt any
    /// longer: every earlier batch held the taken keys too, and so can no longer be inserted.
    fn finish_conflict(&mut self, keys: &[RequestKey]) -> Vec<KeyAction> {
        let keys: FastSet<_> = keys.iter().collect();
        let mut actions = Vec::new();
        for entry in std::mem::take(&mut self.batch).into_iter().rev() {
            if entry.answered {
                continue;
            }
            if !keys.contains(&entry.request.key) {
                self.queue.push_front(entry);
                continue;
            }
            actions.push(KeyAction::Read(entry.id, entry.request.key.clone()));
            let read_at = None;
            self.taken.insert(entry.id, TakenEntry { entry, read_at });
        }
        self.go_on(actions)
    }

    fn go_on(&mut self, mut actions: Vec<KeyAction>) -> Vec<KeyAction> {
        self.failures = 0;
        self.phase = BatchPhase::Idle;
        actions.extend(self.start_batch());
        actions
    }

    /// Reads one row of a batch in doubt: all rows are there or none is, so one read tells of 500 keys. Entries that
    /// nobody waits for any more leave the batch.
    fn probe(&mut self) -> Vec<KeyAction> {
        self.batch.retain(|entry| !entry.answered);
        let Some(first) = self.batch.first() else {
            self.phase = BatchPhase::Idle;
            return self.start_batch();
        };
        self.phase = BatchPhase::Probing(first.id);
        vec![KeyAction::Read(first.id, first.request.key.clone())]
    }

    fn probe_ended(&mut self, now: Instant, end: ReadEnd) -> Vec<KeyAction> {
        match end {
            ReadEnd::Found(record) if self.batch[0].request.record == record => {
                self.finish_recorded()
            }
            // The batch can no longer be inserted, whatever was lost on the way.
            ReadEnd::Found(record) => {
                let first = self.batch.remove(0);
                self.requeue_batch();
                let actions = first.answer(KeyResult::Exists(record));
                self.go_on(actions)
            }
            // The batch may yet land. The same one is sent again: whichever comes second finds the rows of the first.
            ReadEnd::Absent => {
                self.phase = BatchPhase::TakingTurn { in_doubt: true };
                vec![KeyAction::TakeTurn]
            }
            ReadEnd::Failed => self.pause(now, true),
        }
    }

    /// Leaves the platform alone for a while. Without the pause every key that comes during an outage would cost a
    /// call, and the calls of all VMs would meet the platform the moment it comes back.
    fn pause(&mut self, now: Instant, in_doubt: bool) -> Vec<KeyAction> {
        let doublings = self.failures.min(10);
        let pause = self.settings.first_pause * 2u32.pow(doublings);
        self.failures += 1;
        let until = now + pause.min(self.settings.longest_pause);
        self.phase = BatchPhase::Paused { until, in_doubt };
        Vec::new()
    }

    /// Puts a batch that certainly had no effect back in front of the queue.
    fn requeue_batch(&mut self) {
        for entry in std::mem::take(&mut self.batch).into_iter().rev() {
            if !entry.answered {
                self.queue.push_front(entry);
            }
        }
    }

    /// Tells requests without time left. One that waits was never sent; one in flight, in doubt or taken cannot say
    /// that its key is free.
    fn expire(&mut self, now: Instant) -> Vec<KeyAction> {
        let mut actions = Vec::new();
        let not_recorded = self.not_recorded(now);
        self.queue.retain(|entry| {
            let late = entry.request.give_up <= now;
            if late {
                actions.push(KeyAction::Answer(entry.id, not_recorded));
            }
            !late
        });
        for entry in &mut self.batch {
            if entry.answered || entry.request.give_up > now {
                continue;
            }
            entry.answered = true;
            actions.push(KeyAction::Answer(entry.id, KeyResult::Uncertain));
        }
        self.taken.retain(|id, taken| {
            let late = taken.entry.request.give_up <= now;
            if late {
                actions.push(KeyAction::Answer(*id, KeyResult::Uncertain));
            }
            !late
        });
        actions
    }

    /// The refusal with when to come back: after the pause, and after what waits already.
    fn not_recorded(&self, now: Instant) -> KeyResult {
        let pause = match self.phase {
            BatchPhase::Paused { until, .. } => until.saturating_duration_since(now),
            _ => Duration::ZERO,
        };
        KeyResult::NotRecorded {
            retry_after: pause.max(self.settings.least_retry_after),
        }
    }
}

impl Entry {
    /// What a row that is there means for this entry.
    fn result_of(&self, record: KeyRecord) -> KeyResult {
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
