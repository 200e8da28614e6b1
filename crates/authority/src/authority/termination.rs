//! Deadlines, cancellations and lost dispatchers: how submissions end without all their results.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use model::{
    AttemptId, DataCentreId, FailureReason, IncarnationId, RefusalReason, RetryReason, SessionId,
    SlotCounts, SubmissionOutcome, UnknownReason,
};

use crate::{
    action::{AuthorityAction, AuthorityEvent},
    attempt::AttemptPhase,
    authority::{waiting_task, CancelReply, TaskAuthority},
    record::{RecordState, SubmissionClass, TaskPhase},
    session::{DispatcherKey, DispatcherSession, SessionState},
};

/// Retry-after of a submission whose deadline passed in a queue or whose task could not be placed: long enough for a
/// queue of usual tasks to move.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl TaskAuthority {
    /// Does the work that is due: terminates submissions at their deadline, removes dispatchers that did not reconnect,
    /// runs deadline checks, resumes tasks after their backoff, drops old answers and places tasks.
    pub fn tick(&mut self, now: Instant) {
        while let Some((due, serial)) = self.deadlines.first().copied() {
            if due > now {
                break;
            }
            self.terminate(now, serial, TerminationCause::Deadline);
        }
        self.remove_lost_dispatchers(now);
        self.run_deadline_checks(now);
        for (customer, serial, task) in self.waiting.take_resumed(now) {
            let Some(record) = self.records.get(&serial).filter(|record| record.is_open()) else {
                continue;
            };
            // The backoff may be one of an earlier run of a submission that was refused in between. Its task may be in
            // flight again by now, and placing it once more would run it twice.
            if !record.is_waiting(task) {
                continue;
            }
            let waiting = waiting_task(record, serial, task);
            self.waiting.push(&customer, waiting);
        }
        self.evict_kept_answers(now);
        self.saturation.record(now, self.placement.saturation(now));
        self.had_recent_capacity(now);
        self.place(now);
    }

    /// Cancels a submission for a caller.
    pub fn cancel(&mut self, now: Instant, serial: u64) -> CancelReply {
        let Some(record) = self.records.get(&serial).filter(|record| record.is_open()) else {
            return CancelReply::NotOpen;
        };
        if record.class == SubmissionClass::Request && self.may_have_started(serial) {
            return CancelReply::TooLate;
        }
        self.terminate(now, serial, TerminationCause::Cancelled);
        self.place(now);
        CancelReply::Cancelled
    }

    /// Handles a new session with a dispatcher.
    pub fn on_session_opened(
        &mut self,
        now: Instant,
        dispatcher: DispatcherKey,
        data_centre: DataCentreId,
        incarnation: IncarnationId,
        session: SessionId,
        slots: SlotCounts,
    ) {
        let before = self
            .sessions
            .get(&dispatcher)
            .map(|session| session.incarnation);
        if before.is_some_and(|before| before != incarnation) {
            // The process that may have started the attempts is gone, together with its memory.
            self.abandon_attempts_at(now, dispatcher, UnknownReason::DispatcherGone);
        }
        let state = SessionState::Open { session, batch: 0 };
        let attempts = self.attempts.ids_at(dispatcher);
        let opened = DispatcherSession {
            incarnation,
            state,
            stopping: false,
            slots,
            announced_at: None,
            unanswered_offers: self.count_offered(&attempts),
        };
        self.sessions.insert(dispatcher, opened);
        self.placement.remove_dispatcher(dispatcher);
        self.placement.add_dispatcher(dispatcher, &data_centre);
        self.update_placement(now, dispatcher);
        for attempt in &attempts {
            if let Some(in_flight) = self.attempts.get_mut(attempt) {
                in_flight.session = session;
            }
        }
        self.send_withdraw(dispatcher, session, 0, attempts);
        self.waiting.mark_all_changed();
        self.place(now);
    }

    /// Handles a session whose connection broke or stayed silent.
    pub fn on_session_lost(&mut self, now: Instant, dispatcher: DispatcherKey, session: SessionId) {
        let reconnect_by = now + self.settings.reconnect_wait;
        let Some(lost) = self.sessions.get_mut(&dispatcher) else {
            return;
        };
        if lost.open_session().is_none_or(|(open, _)| open != session) {
            return;
        }
        lost.state = SessionState::Lost { reconnect_by };
        self.placement.remove_dispatcher(dispatcher);
        for attempt in self.attempts.ids_at(dispatcher) {
            let queued = self
                .attempts
                .get(&attempt)
                .is_some_and(|in_flight| !in_flight.phase.may_have_started());
            if !queued {
                continue;
            }
            self.remove_attempt(attempt);
            self.on_not_run(now, attempt, RetryReason::DispatcherLost, dispatcher);
        }
        self.place(now);
    }

    /// Removes a dispatcher whose process is gone, and gives up its attempts.
    pub fn on_dispatcher_gone(&mut self, now: Instant, dispatcher: DispatcherKey) {
        self.abandon_attempts_at(now, dispatcher, UnknownReason::DispatcherGone);
        self.sessions.remove(&dispatcher);
        self.placement.remove_dispatcher(dispatcher);
        self.place(now);
    }

    /// Stops placing tasks at a dispatcher that is stopping: it finishes its running tasks and accepts no new ones.
    pub fn on_dispatcher_stopping(&mut self, dispatcher: DispatcherKey) {
        if let Some(session) = self.sessions.get_mut(&dispatcher) {
            session.stopping = true;
        }
        self.placement.remove_dispatcher(dispatcher);
    }

    /// Answers all open submissions as they stand, because this process ends.
    pub fn stop(&mut self, now: Instant) {
        while let Some((_, serial)) = self.deadlines.first().copied() {
            self.terminate(now, serial, TerminationCause::Stopped);
        }
    }

    fn count_offered(&self, attempts: &[AttemptId]) -> u32 {
        let mut offered = 0;
        for attempt in attempts {
            let in_flight = self.attempts.get(attempt);
            offered += u32::from(
                in_flight.is_some_and(|in_flight| in_flight.phase == AttemptPhase::Offered),
            );
        }
        offered
    }

    /// Whether any task of the submission has run or may have started.
    fn may_have_started(&self, serial: u64) -> bool {
        let Some(record) = self.records.get(&serial) else {
            return true;
        };
        for (index, task) in record.tasks.iter().enumerate() {
            let started = match &task.phase {
                TaskPhase::Waiting => false,
                TaskPhase::Done(_) => true,
                TaskPhase::InFlight => {
                    self.attempt_may_have_started(serial, index as u32, task.attempt_count)
                }
            };
            if started {
                return true;
            }
        }
        false
    }

    fn attempt_may_have_started(&self, serial: u64, task: u32, attempt_count: u32) -> bool {
        let attempt = AttemptId {
            submission: self.submission_id(serial),
            task,
            attempt: attempt_count.saturating_sub(1),
        };
        self.attempts
            .get(&attempt)
            .is_none_or(|in_flight| in_flight.phase.may_have_started())
    }

    fn terminate(&mut self, now: Instant, serial: u64, cause: TerminationCause) {
        let started = self.may_have_started(serial);
        let Some(record) = self.records.get(&serial) else {
            return;
        };
        let outcome = match (started, record.class) {
            (false, _) => cause.refusal(),
            (true, SubmissionClass::Job) => SubmissionOutcome::Failed(cause.failure()),
            (true, SubmissionClass::Request) => SubmissionOutcome::Unknown(cause.unknown()),
        };
        self.finish(now, serial, outcome);
    }

    /// Answers a submission of which a task could not be placed: refused if nothing of it may have started, failed
    /// otherwise.
    pub(super) fn finish_not_placed(&mut self, now: Instant, serial: u64, reason: RefusalReason) {
        let outcome = if self.may_have_started(serial) {
            SubmissionOutcome::Failed(FailureReason::TaskNotPlaced)
        } else {
            SubmissionOutcome::Refused {
                reason,
                retry_after: Some(RETRY_AFTER),
            }
        };
        self.finish(now, serial, outcome);
    }

    /// Gives a submission its only answer and withdraws its tasks that have not started.
    pub(super) fn finish(&mut self, now: Instant, serial: u64, outcome: SubmissionOutcome) {
        let id = self.submission_id(serial);
        let Some(record) = self
            .records
            .get_mut(&serial)
            .filter(|record| record.is_open())
        else {
            return;
        };
        self.memory.close(record, &outcome);
        let outcome = Arc::new(outcome);
        record.state = RecordState::Answered {
            outcome: outcome.clone(),
            at: now,
        };
        self.deadlines.remove(&(record.due, serial));
        if let Some(check_at) = record.check_at.take() {
            self.deadline_checks.remove(&(check_at, serial));
        }
        self.open_count -= 1;
        self.kept_answers.push_back((now, serial));
        self.actions.push(AuthorityAction::Answer { id, outcome });
        self.emit_event(AuthorityEvent::Answered(id));
        self.withdraw_tasks(now, serial);
    }

    /// Withdraws a queued attempt whose submission was answered before the reply to the offer arrived.
    pub(super) fn withdraw_if_answered(&mut self, attempt: AttemptId) {
        let open = self
            .records
            .get(&attempt.submission.serial)
            .is_some_and(|record| record.is_open());
        if open {
            return;
        }
        let Some(in_flight) = self.attempts.get(&attempt) else {
            return;
        };
        if in_flight.phase != AttemptPhase::Queued {
            return;
        }
        let dispatcher = in_flight.dispatcher;
        self.remove_attempt(attempt);
        if let Some((session, batch)) = self
            .sessions
            .get(&dispatcher)
            .and_then(|session| session.open_session())
        {
            self.send_withdraw(dispatcher, session, batch, vec![attempt]);
        }
    }

    /// Drops the tasks of an answered submission and withdraws its attempts.
    ///
    /// After many cancellations, or when jobs fail early, reservations of answered submissions would otherwise delay
    /// the tasks of open ones. Each dispatcher gets one message with all attempts of the submission, so the cost grows
    /// only with what is withdrawn.
    fn withdraw_tasks(&mut self, now: Instant, serial: u64) {
        let id = self.submission_id(serial);
        let Some(record) = self.records.get_mut(&serial) else {
            return;
        };
        let tasks = std::mem::take(&mut record.tasks);
        let used = tasks.iter().map(|task| task.attempt_count).max();
        record.next_attempt = used.unwrap_or_default();
        let (customer, due) = (record.customer.clone(), record.due);
        let mut withdrawals: BTreeMap<DispatcherKey, Vec<AttemptId>> = BTreeMap::new();
        for (index, task) in tasks.iter().enumerate() {
            let index = index as u32;
            if !matches!(task.phase, TaskPhase::Done(_)) {
                self.load
                    .end(now, &customer, task.expected_run_time, task.started);
            }
            match task.phase {
                TaskPhase::Waiting => {
                    let waiting = crate::waiting::WaitingTask {
                        due,
                        serial,
                        task: index,
                    };
                    self.waiting.remove(&customer, waiting);
                }
                TaskPhase::InFlight => {
                    let attempt = AttemptId {
                        submission: id,
                        task: index,
                        attempt: task.attempt_count.saturating_sub(1),
                    };
                    if let Some(dispatcher) = self.withdraw_attempt(attempt) {
                        withdrawals.entry(dispatcher).or_default().push(attempt);
                    }
                }
                TaskPhase::Done(_) => {}
            }
        }
        for (dispatcher, attempts) in withdrawals {
            if let Some((session, batch)) = self
                .sessions
                .get(&dispatcher)
                .and_then(|session| session.open_session())
            {
                self.send_withdraw(dispatcher, session, batch, attempts);
            }
        }
    }

    /// Returns the dispatcher from which an attempt has to be withdrawn, if any. An attempt that has certainly not
    /// started releases its concurrency at once, since its claim will be refused. One that may run keeps it until the
    /// dispatcher has reported more.
    fn withdraw_attempt(&mut self, attempt: AttemptId) -> Option<DispatcherKey> {
        let in_flight = self.attempts.get(&attempt)?;
        let (dispatcher, phase) = (in_flight.dispatcher, in_flight.phase);
        match phase {
            AttemptPhase::Running => None,
            AttemptPhase::Queued => {
                self.remove_attempt(attempt);
                Some(dispatcher)
            }
            AttemptPhase::Offered | AttemptPhase::Claimed => Some(dispatcher),
        }
    }

    /// Tells a dispatcher to drop reservations that were given up here.
    pub(super) fn withdraw_reservations(
        &mut self,
        dispatcher: DispatcherKey,
        attempts: Vec<AttemptId>,
    ) {
        if let Some((session, batch)) = self
            .sessions
            .get(&dispatcher)
            .and_then(|session| session.open_session())
        {
            self.send_withdraw(dispatcher, session, batch, attempts);
        }
    }

    fn send_withdraw(
        &mut self,
        dispatcher: DispatcherKey,
        session: SessionId,
        after_batch: u64,
        attempts: Vec<AttemptId>,
    ) {
        if !attempts.is_empty() {
            self.actions.push(AuthorityAction::Withdraw {
                dispatcher,
                session,
                after_batch,
                attempts,
            });
        }
    }

    fn remove_lost_dispatchers(&mut self, now: Instant) {
        let mut gone = Vec::new();
        for (key, session) in &self.sessions {
            match session.state {
                SessionState::Lost { reconnect_by } if reconnect_by <= now => gone.push(*key),
                SessionState::Lost { .. } | SessionState::Open { .. } => {}
            }
        }
        gone.sort_unstable();
        for key in gone {
            self.on_dispatcher_gone(now, key);
        }
    }

    fn abandon_attempts_at(
        &mut self,
        now: Instant,
        dispatcher: DispatcherKey,
        reason: UnknownReason,
    ) {
        for attempt in self.attempts.ids_at(dispatcher) {
            let started = self
                .attempts
                .get(&attempt)
                .is_some_and(|in_flight| in_flight.phase.may_have_started());
            if started {
                self.abandon_attempt(now, attempt, reason);
                continue;
            }
            if self.remove_attempt(attempt).is_some() {
                self.on_not_run(now, attempt, RetryReason::DispatcherLost, dispatcher);
            }
        }
    }

    fn evict_kept_answers(&mut self, now: Instant) {
        while let Some((at, serial)) = self.kept_answers.front().copied() {
            let old = at + self.settings.outcome_retention <= now;
            let large = self.memory.kept_results > self.settings.max_kept_bytes;
            if !old && !large && self.kept_answers.len() <= self.settings.max_kept_answers {
                break;
            }
            self.kept_answers.pop_front();
            // A refused submission may have run again since, and then has a later entry in the queue.
            let Some(record) = self.records.get(&serial) else {
                continue;
            };
            if !record.was_answered_at(at) {
                continue;
            }
            if let RecordState::Answered { outcome, .. } = &record.state {
                self.memory.remove_kept(outcome);
            }
            self.records.remove(&serial);
        }
    }
}

/// Why a submission is terminated.
#[derive(Clone, Copy, Debug)]
enum TerminationCause {
    Deadline,
    Cancelled,
    Stopped,
}

impl TerminationCause {
    fn refusal(self) -> SubmissionOutcome {
        let (reason, retry_after) = match self {
            Self::Deadline => (RefusalReason::DeadlinePassed, Some(RETRY_AFTER)),
            Self::Cancelled => (RefusalReason::Cancelled, None),
            // Another VM accepts it at once.
            Self::Stopped => (RefusalReason::Stopping, Some(Duration::ZERO)),
        };
        SubmissionOutcome::Refused {
            reason,
            retry_after,
        }
    }

    fn failure(self) -> FailureReason {
        match self {
            Self::Deadline => FailureReason::DeadlinePassed,
            Self::Cancelled => FailureReason::Cancelled,
            Self::Stopped => FailureReason::TaskUnknown,
        }
    }

    fn unknown(self) -> UnknownReason {
        match self {
            Self::Deadline => UnknownReason::DeadlinePassed,
            Self::Cancelled | Self::Stopped => UnknownReason::Stopped,
        }
    }
}
