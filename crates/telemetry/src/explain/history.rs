//! The bounded history of submissions.

use std::{collections::VecDeque, mem::size_of, time::Instant};

use model::{ByteSize, FastMap, SubmissionId};

use super::{ExplainEvent, ExplainLine, ExplainReport, SubmissionSummary};

/// The most events kept of one submission. A job of 370 tasks has about 1500; a job that is placed over and over must
/// not push everything else out, so further events are only counted. The answer is kept in any case.
pub const MAX_EVENTS: usize = 2048;

/// What the map and the queue take for one submission besides its record.
const INDEX_BYTES: usize = 3 * size_of::<SubmissionId>();

/// The last submissions of one entry, oldest out first once they take more than the limit.
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
    /// An empty history that keeps its records within `limit`. Spare room of its index comes on top: at most twice
    /// the ids.
    pub fn new(limit: ByteSize) -> Self {
        Self {
            limit,
            used: 0,
            order: VecDeque::new(),
            records: FastMap::default(),
        }
    }

    /// Starts the record of a submission. A second start of the same one changes nothing.
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

    /// Adds an event. One of a submission that is not known, or no more, is dropped.
    pub fn record(&mut self, id: SubmissionId, event: ExplainEvent, now: Instant) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        let bytes_before = record.bytes();
        record.push(event, now);
        // An answer gives spare room back, so the record may have shrunk.
        self.used = self.used + record.bytes() - bytes_before;
        self.evict();
    }

    /// What became of a submission; absent when it is not known, or no more.
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

    /// The bytes that the records take.
    pub fn used(&self) -> ByteSize {
        ByteSize(self.used as u64)
    }

    /// The number of submissions that can be explained.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing can be explained.
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
            // Little follows the answer, and most of the history is answered submissions.
            self.events.shrink_to_fit();
        }
    }

    /// The record's size. Names of dispatchers are shared with the entry's own tables and are not counted.
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
