//! A history of submissions with bounded memory.

use std::{collections::VecDeque, mem::size_of, time::Instant};

use model::{ByteSize, FastMap, SubmissionId};

use super::{ExplainEvent, ExplainLine, ExplainReport, SubmissionSummary};

/// The maximum number of events kept per submission; further events are only counted, but the answer is always kept.
/// A job of 370 tasks has about 1500 events. Without the limit, a job that is placed over and over would evict all
/// other submissions.
pub const MAX_EVENTS: usize = 2048;

/// Bytes that the map and the queue use for one submission besides its record.
const INDEX_BYTES: usize = 3 * size_of::<SubmissionId>();

/// The most recent submissions of one entry. The oldest are evicted once the records exceed the memory limit.
#[derive(Debug)]
pub struct ExplainHistory {
    limit: ByteSize,
    used: usize,
    order: VecDeque<SubmissionId>,
    records: FastMap<SubmissionId, HistoryRecord>,
}

#[derive(Debug)]
struct HistoryRecord {
    summary: SubmissionSummary,
    accepted: Instant,
    events: Vec<(Instant, ExplainEvent)>,
    events_left_out: u32,
}

impl ExplainHistory {
    /// Creates an empty history whose records use at most `limit` bytes. The unused capacity of its index comes on top:
    /// at most twice the size of the ids.
    pub fn new(limit: ByteSize) -> Self {
        Self {
            limit,
            used: 0,
            order: VecDeque::new(),
            records: FastMap::default(),
        }
    }

    /// Starts the record of a submission. Does nothing if the submission is already recorded.
    pub fn accept(&mut self, id: SubmissionId, summary: SubmissionSummary, now: Instant) {
        if self.records.contains_key(&id) {
            return;
        }
        let record = HistoryRecord {
            summary,
            accepted: now,
            events: Vec::new(),
            events_left_out: 0,
        };
        self.used += record.bytes();
        self.records.insert(id, record);
        self.order.push_back(id);
        self.evict();
    }

    /// Adds an event. Events of unknown or evicted submissions are dropped.
    pub fn record(&mut self, id: SubmissionId, event: ExplainEvent, now: Instant) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        let bytes_before = record.bytes();
        record.push(event, now);
        // An answer releases unused capacity, so the record may have shrunk.
        self.used = self.used + record.bytes() - bytes_before;
        self.evict();
    }

    /// Reports the events of a submission; `None` if it is unknown or evicted.
    pub fn explain(&self, id: SubmissionId) -> Option<ExplainReport> {
        let record = self.records.get(&id)?;
        let lines = record.events.iter().map(|(at, event)| ExplainLine {
            after_ms: millis(record.accepted, *at),
            event: event.clone(),
        });
        Some(ExplainReport {
            submission: id,
            customer: record.summary.customer.clone(),
            contract_version: record.summary.contract,
            tasks: record.summary.tasks,
            events: lines.collect(),
            events_left_out: record.events_left_out,
        })
    }

    /// The memory that the records use.
    pub fn used(&self) -> ByteSize {
        ByteSize(self.used as u64)
    }

    /// The number of recorded submissions.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no submission is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn evict(&mut self) {
        while self.used as u64 > self.limit.0 {
            let Some(id) = self.order.pop_front() else {
                return;
            };
            let Some(record) = self.records.remove(&id) else {
                continue;
            };
            self.used -= record.bytes();
        }
    }
}

impl HistoryRecord {
    fn push(&mut self, event: ExplainEvent, now: Instant) {
        let is_answer = matches!(event, ExplainEvent::Answered { .. });
        if self.events.len() >= MAX_EVENTS && !is_answer {
            self.events_left_out += 1;
            return;
        }
        self.events.push((now, event));
        if is_answer {
            // Few events follow the answer, and most submissions in the history have been answered.
            self.events.shrink_to_fit();
        }
    }

    /// The size of the record in bytes. Names of dispatchers are shared with the entry's own tables and not counted.
    fn bytes(&self) -> usize {
        size_of::<Self>()
            + INDEX_BYTES
            + self.summary.customer.as_str().len()
            + self.events.capacity() * size_of::<(Instant, ExplainEvent)>()
    }
}

fn millis(from: Instant, to: Instant) -> u64 {
    let span = to.saturating_duration_since(from);
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
