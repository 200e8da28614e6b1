//! A dispatcher's load, from its last hint and the tasks sent to it since.

use std::time::Instant;

use super::{DispatcherKey, SlotsHint};

/// The load of one dispatcher as the entry knows it.
#[derive(Debug)]
pub(super) struct DispatcherState {
    pub(super) key: DispatcherKey,
    pub(super) hint: SlotsHint,
    /// The number of offers that were sent to it and are not counted in the hint.
    unanswered_offers: u32,
    /// When the first unanswered offer was sent, or when the last hint arrived if that was later. `None` while the
    /// dispatcher is suspect.
    pub(super) waiting_since: Option<Instant>,
    /// The number of tasks that were sent to it and have not ended.
    pub(super) outstanding: u32,
    /// Whether an offer went unanswered for too long. A suspect dispatcher gets no tasks until its next hint.
    suspect: bool,
    /// Whether [`PlacementTable::choose_avoiding`] is looking for another dispatcher.
    pub(super) avoided: bool,
}

impl DispatcherState {
    pub(super) fn new(key: DispatcherKey) -> Self {
        Self {
            key,
            hint: SlotsHint::default(),
            unanswered_offers: 0,
            waiting_since: None,
            outstanding: 0,
            suspect: false,
            avoided: false,
        }
    }

    pub(super) fn apply_hint(&mut self, now: Instant, hint: SlotsHint, unanswered: u32) {
        self.hint = hint;
        self.unanswered_offers = unanswered;
        self.waiting_since = (unanswered > 0).then_some(now);
        self.suspect = false;
    }

    pub(super) fn record_sent(&mut self, now: Instant) {
        self.unanswered_offers += 1;
        self.outstanding += 1;
        self.waiting_since = self.waiting_since.or(Some(now));
    }

    pub(super) fn record_answer(&mut self) {
        self.unanswered_offers = self.unanswered_offers.saturating_sub(1);
        if self.unanswered_offers == 0 {
            self.waiting_since = None;
        }
    }

    pub(super) fn mark_suspect(&mut self) {
        self.suspect = true;
        self.waiting_since = None;
    }

    fn load(&self) -> u64 {
        u64::from(self.hint.running)
            + u64::from(self.hint.queued)
            + u64::from(self.unanswered_offers)
    }

    pub(super) fn free_slots(&self) -> u64 {
        self.usable_limit().saturating_sub(self.load())
    }

    pub(super) fn backlog(&self) -> u64 {
        match self.suspect {
            true => 0,
            false => self.load().saturating_sub(u64::from(self.hint.limit)),
        }
    }

    pub(super) fn usable_limit(&self) -> u64 {
        match self.suspect || self.avoided {
            true => 0,
            false => u64::from(self.hint.limit),
        }
    }
}
