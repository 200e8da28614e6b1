//! Sessions with entries, and reports that are repeated until they are confirmed.

use std::time::{Duration, Instant};

use model::{AttemptEnd, AttemptId, IncarnationId, RetryReason, SessionId};

use crate::{
    action::LedgerAction,
    entry_link::{BatchTracker, EntryLink, StaleSession, UnconfirmedEnd},
    ledger::SlotLedger,
};

impl SlotLedger {
    /// Opens a session with an entry, which ends its older sessions. Tasks that waited for the older session are
    /// dropped without a report, as the entry counts them as not run. Running tasks go on, and unconfirmed ends are
    /// reported again.
    ///
    /// # Errors
    ///
    /// Returns [`StaleSession`] if the session is not newer than the last one of the entry, as when a frozen entry's
    /// old connection is read late.
    pub fn open_session(
        &mut self,
        now: Instant,
        entry: IncarnationId,
        session: SessionId,
    ) -> Result<(), StaleSession> {
        if self
            .links
            .get(&entry)
            .is_some_and(|link| link.session >= session)
        {
            return Err(StaleSession(session));
        }
        self.drop_waiting_attempts(now, entry);
        let link = self.links.entry(entry).or_insert_with(|| EntryLink {
            session,
            connected: true,
            last_heard: now,
            batches: BatchTracker::default(),
            unconfirmed: Default::default(),
        });
        link.session = session;
        link.connected = true;
        link.last_heard = now;
        link.batches = BatchTracker::default();
        let mut ends: Vec<_> = link
            .unconfirmed
            .iter()
            .map(|(id, end)| (*id, end.end.clone(), end.ran))
            .collect();
        ends.sort_unstable_by_key(|(attempt, ..)| *attempt);
        for (attempt, end, ran) in ends {
            self.actions.push(LedgerAction::Report {
                entry,
                session,
                attempt,
                end,
                ran,
            });
        }
        Ok(())
    }

    /// Handles the loss of a session's connection.
    pub fn on_session_lost(&mut self, now: Instant, entry: IncarnationId, session: SessionId) {
        let Some(link) = self.links.get_mut(&entry) else {
            return;
        };
        if link.session != session {
            return;
        }
        link.connected = false;
        self.drop_waiting_attempts(now, entry);
    }

    /// Records that a message arrived on a session. Returns `false` if the session is over.
    pub fn record_activity(
        &mut self,
        now: Instant,
        entry: IncarnationId,
        session: SessionId,
    ) -> bool {
        let Some(link) = self.links.get_mut(&entry) else {
            return false;
        };
        if link.session != session || !link.connected {
            return false;
        }
        link.last_heard = now;
        true
    }

    /// Closes the sessions of silent entries. After a pause of this process, messages lie unread in its own sockets, so
    /// every session then gets its full timeout again.
    pub(super) fn close_silent_sessions(&mut self, now: Instant) {
        let paused = self
            .last_tick
            .is_some_and(|last| now - last > self.settings.session_timeout / 2);
        self.last_tick = Some(now);
        let mut silent = Vec::new();
        for (entry, link) in &mut self.links {
            if paused {
                link.last_heard = now;
            }
            if link.connected
                && now.saturating_duration_since(link.last_heard) > self.settings.session_timeout
            {
                silent.push((*entry, link.session));
            }
        }
        silent.sort_unstable();
        for (entry, session) in silent {
            self.on_session_lost(now, entry, session);
        }
    }

    /// Handles an entry's confirmation of the report of an end.
    pub fn on_confirmed(&mut self, entry: IncarnationId, attempt: AttemptId) {
        if let Some(link) = self.links.get_mut(&entry) {
            link.unconfirmed.remove(&attempt);
        }
    }

    /// Records a batch of offers. Returns `false` if the session is over.
    pub(super) fn record_batch(
        &mut self,
        now: Instant,
        entry: IncarnationId,
        session: SessionId,
        batch: u64,
    ) -> bool {
        if !self.record_activity(now, entry, session) {
            return false;
        }
        if let Some(link) = self.links.get_mut(&entry) {
            link.batches.record(batch);
        }
        true
    }

    /// Whether every batch up to this one was received, so that an attempt that is not found has certainly not run.
    pub(super) fn has_received_all(
        &self,
        entry: IncarnationId,
        session: SessionId,
        batch: u64,
    ) -> bool {
        self.links
            .get(&entry)
            .is_some_and(|link| link.session == session && link.batches.has_all_up_to(batch))
    }

    pub(super) fn report_not_run(&mut self, now: Instant, attempt: AttemptId, reason: RetryReason) {
        let entry = attempt.submission.incarnation;
        self.report(
            now,
            entry,
            attempt,
            AttemptEnd::NotRun(reason),
            Duration::ZERO,
        );
    }

    pub(super) fn report(
        &mut self,
        now: Instant,
        entry: IncarnationId,
        attempt: AttemptId,
        end: AttemptEnd,
        ran: Duration,
    ) {
        let Some(link) = self.links.get_mut(&entry) else {
            return;
        };
        link.unconfirmed.insert(
            attempt,
            UnconfirmedEnd {
                end: end.clone(),
                ran,
                reported_at: now,
            },
        );
        self.ends_by_age.push_back((now, entry, attempt));
        if link.connected {
            let session = link.session;
            self.actions.push(LedgerAction::Report {
                entry,
                session,
                attempt,
                end,
                ran,
            });
        }
    }

    /// Drops ends that were not confirmed within the retention time. An entry that was out of reach for so long has
    /// given up its submissions; keeping more would only cost memory.
    pub(super) fn drop_old_ends(&mut self, now: Instant) {
        while let Some((reported_at, entry, attempt)) = self.ends_by_age.front().copied() {
            if reported_at + self.settings.end_retention > now {
                return;
            }
            self.ends_by_age.pop_front();
            let Some(link) = self.links.get_mut(&entry) else {
                continue;
            };
            let old = link
                .unconfirmed
                .get(&attempt)
                .is_some_and(|end| end.reported_at == reported_at);
            if old {
                link.unconfirmed.remove(&attempt);
            }
        }
    }

    fn drop_waiting_attempts(&mut self, now: Instant, entry: IncarnationId) {
        let mut waiting = Vec::new();
        for (attempt, reservation) in &self.reservations {
            if reservation.entry == entry {
                waiting.push(*attempt);
            }
        }
        for attempt in waiting {
            self.drop_reservation(&attempt);
        }
        let mut claimed = Vec::new();
        for (attempt, pending) in &self.claims {
            if pending.reservation.entry == entry {
                claimed.push((*attempt, pending.number));
            }
        }
        claimed.sort_unstable();
        for (attempt, number) in claimed {
            self.on_claim_failed(now, attempt, number);
        }
    }
}
