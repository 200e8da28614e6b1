//! Handlers of callers' commands.

use std::{sync::Arc, time::Duration};

use actix::{Context, Handler, ResponseFuture};
use authority::{CancelReply, SubmissionRefusal, TicketStatus};
use caller_api::{
    CallerAnswer, CancelCommand, CancelResult, OutcomeCommand, SubmissionAnswer, SubmitCommand,
    TicketCommand,
};
use futures::future::LocalBoxFuture;
use model::{
    Contract, ContractState, CustomerId, DuplicateDetection, RefusalReason, SubmissionBody,
    SubmissionId, SubmissionKind, SubmissionOutcome, TicketId, UnknownReason,
};
use telemetry::CounterKind;
use tokio::sync::oneshot;

use super::{keys::KeyedBody, EntryControl};

/// Retry delay for a refusal whose end cannot be estimated better: long enough for a lost VM to be detected and for its
/// endpoints to get another owner.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The future of an answer.
pub(super) type AnswerFuture = LocalBoxFuture<'static, CallerAnswer>;

impl EntryControl {
    /// Accepts or refuses a submission and waits for its answer. The caller of this function has to call `flush`.
    pub(super) fn run(
        &mut self,
        body: SubmissionBody,
        digest: u64,
        serial: Option<u64>,
    ) -> AnswerFuture {
        match self.accept(body, digest, serial) {
            Ok(id) => self.wait_for(id.serial),
            Err(refusal) => ready(self.refuse_submission(refusal)),
        }
    }

    /// Refuses a request before there is a submission, and counts the refusal.
    pub(super) fn refuse(&self, reason: RefusalReason) -> CallerAnswer {
        let retry_after = default_retry_after(reason);
        self.refuse_submission(SubmissionRefusal {
            reason,
            retry_after,
        })
    }

    fn refuse_submission(&self, cause: SubmissionRefusal) -> CallerAnswer {
        let answer = refusal_answer(cause);
        if let CallerAnswer::Local(own) = &answer {
            self.events.count_refusal(&own.outcome);
        }
        answer
    }

    pub(super) fn accept(
        &mut self,
        mut body: SubmissionBody,
        digest: u64,
        serial: Option<u64>,
    ) -> Result<SubmissionId, SubmissionRefusal> {
        if !self.contracts.is_ready() {
            let reason = RefusalReason::ConfigNotReady;
            return Err(SubmissionRefusal::temporary(reason, DEFAULT_RETRY_AFTER));
        }
        let contract = self
            .contracts
            .get(&body.customer)
            .map(|(version, contract)| (contract, version));
        if let Some((contract, _)) = contract {
            // The answer has to reach the caller by the deadline, so it is sent a margin earlier.
            let deadline = body.deadline.unwrap_or_else(|| contract.answer_within());
            if deadline <= contract.answer_within() && !deadline.is_zero() {
                let margin = self.settings.answer_margin_ms.duration().min(deadline / 2);
                body.deadline = Some(deadline - margin);
            }
        }
        let now = self.clock.now();
        let customer = body.customer.clone();
        let admitted = self.authority.submit(now, body, digest, contract, serial)?;
        self.update_demand(now, &customer);
        Ok(admitted.id)
    }

    /// Returns the contract of a customer whose work may be accepted, or the reason to refuse it.
    pub(super) fn check_customer(&self, customer: &CustomerId) -> Result<&Contract, RefusalReason> {
        if !self.contracts.is_ready() {
            return Err(RefusalReason::ConfigNotReady);
        }
        let (_, contract) = self
            .contracts
            .get(customer)
            .ok_or(RefusalReason::UnknownCustomer)?;
        match contract.state {
            ContractState::Active => Ok(contract),
            ContractState::Retired => Err(RefusalReason::RetiredCustomer),
        }
    }

    /// Waits for the answer to a submission of this entry.
    pub(super) fn wait_for(&mut self, serial: u64) -> AnswerFuture {
        let id = SubmissionId {
            incarnation: self.authority.incarnation(),
            serial,
        };
        match self.authority.outcome(serial) {
            None => ready(unknown_answer(Some(id))),
            Some(Some(outcome)) => ready(CallerAnswer::Local(self.own_answer(id, outcome))),
            Some(None) => {
                let (waiter, answer) = oneshot::channel();
                self.waiters.entry(serial).or_default().push(waiter);
                Box::pin(async move {
                    match answer.await {
                        Ok(answer) => CallerAnswer::Local(answer),
                        Err(_) => unknown_answer(Some(id)),
                    }
                })
            }
        }
    }

    /// Runs a request under a ticket of this entry, or answers a duplicate with the first arrival's answer.
    pub(super) fn run_ticket(
        &mut self,
        ticket: TicketId,
        body: SubmissionBody,
        digest: u64,
    ) -> AnswerFuture {
        let serial = ticket.0.serial;
        match self
            .authority
            .check_ticket(self.clock.now(), serial, &body.customer)
        {
            TicketStatus::Unused => self.run(body, digest, Some(serial)),
            TicketStatus::Used => self.run_duplicate(serial, body, digest),
            TicketStatus::WrongCustomer => ready(self.refuse(RefusalReason::KeyReused)),
            TicketStatus::Unknown => ready(unknown_answer(Some(ticket.0))),
        }
    }

    /// Handles a duplicate of a request: it gets the first arrival's answer if it has the same body, and is refused
    /// otherwise. If the first was refused, nothing ran, and the request runs now under the same serial.
    pub(super) fn run_duplicate(
        &mut self,
        serial: u64,
        body: SubmissionBody,
        digest: u64,
    ) -> AnswerFuture {
        if self
            .authority
            .digest(serial)
            .is_some_and(|first| first != digest)
        {
            return ready(self.refuse(RefusalReason::KeyReused));
        }
        if self.authority.is_refused(serial) {
            return self.run(body, digest, Some(serial));
        }
        self.events.metrics().count(CounterKind::SecondArrivals, 1);
        self.wait_for(serial)
    }
}

impl Handler<SubmitCommand> for EntryControl {
    type Result = ResponseFuture<CallerAnswer>;

    fn handle(&mut self, command: SubmitCommand, ctx: &mut Context<Self>) -> Self::Result {
        let SubmitCommand { body, digest, raw } = command;
        let own = self.authority.incarnation();
        let run = match &body.kind {
            SubmissionKind::Job => DuplicateDetection::PerSubmission,
            SubmissionKind::Request(run) => run.clone(),
        };
        let answer = match run {
            DuplicateDetection::PerSubmission => self.run(body, digest, None),
            DuplicateDetection::Ticket(ticket) if ticket.0.incarnation == own => {
                self.run_ticket(ticket, body, digest)
            }
            DuplicateDetection::Ticket(ticket) => self.forward_request(ticket.0, raw),
            DuplicateDetection::Key(key) => {
                self.run_keyed(ctx, key, KeyedBody { body, digest, raw })
            }
        };
        self.flush(ctx);
        answer
    }
}

impl Handler<TicketCommand> for EntryControl {
    type Result = Result<TicketId, RefusalReason>;

    fn handle(&mut self, command: TicketCommand, _: &mut Context<Self>) -> Self::Result {
        self.check_customer(&command.customer)?;
        self.authority
            .issue_ticket(self.clock.now(), &command.customer)
    }
}

impl Handler<OutcomeCommand> for EntryControl {
    type Result = ResponseFuture<CallerAnswer>;

    fn handle(&mut self, command: OutcomeCommand, _: &mut Context<Self>) -> Self::Result {
        let id = command.id;
        if id.incarnation != self.authority.incarnation() {
            return self.forward_outcome(id);
        }
        ready(self.outcome_now(id.serial))
    }
}

impl EntryControl {
    /// Returns the current state of a submission of this entry.
    pub(super) fn outcome_now(&self, serial: u64) -> CallerAnswer {
        let id = SubmissionId {
            incarnation: self.authority.incarnation(),
            serial,
        };
        match self.authority.outcome(serial) {
            None => unknown_answer(Some(id)),
            Some(None) => CallerAnswer::Pending(id),
            Some(Some(outcome)) => CallerAnswer::Local(self.own_answer(id, outcome)),
        }
    }
}

impl Handler<CancelCommand> for EntryControl {
    type Result = CancelResult;

    fn handle(&mut self, command: CancelCommand, ctx: &mut Context<Self>) -> CancelResult {
        if command.id.incarnation != self.authority.incarnation() {
            return CancelResult::NotOpen;
        }
        let reply = self.authority.cancel(self.clock.now(), command.id.serial);
        self.flush(ctx);
        match reply {
            CancelReply::Cancelled => CancelResult::Cancelled,
            CancelReply::TooLate => CancelResult::TooLate,
            CancelReply::NotOpen => CancelResult::NotOpen,
        }
    }
}

pub(super) fn ready(answer: CallerAnswer) -> AnswerFuture {
    Box::pin(std::future::ready(answer))
}

/// The answer to a request refused before there was a submission. Nothing ran.
pub(super) fn refusal(reason: RefusalReason) -> CallerAnswer {
    refusal_answer(SubmissionRefusal {
        reason,
        retry_after: default_retry_after(reason),
    })
}

/// The answer for a refusal, with its reason and retry delay.
fn refusal_answer(refusal: SubmissionRefusal) -> CallerAnswer {
    let SubmissionRefusal {
        reason,
        retry_after,
    } = refusal;
    CallerAnswer::Local(SubmissionAnswer {
        id: None,
        job: false,
        outcome: Arc::new(SubmissionOutcome::Refused {
            reason,
            retry_after,
        }),
        version: None,
        stale: false,
    })
}

/// The retry delay for a refusal whose end cannot be estimated better; `None` for reasons without one.
pub(super) fn default_retry_after(reason: RefusalReason) -> Option<Duration> {
    match reason {
        // Another VM can take the request at once.
        RefusalReason::Stopping => Some(Duration::ZERO),
        RefusalReason::Overloaded
        | RefusalReason::NoCapacity
        | RefusalReason::KeyNotRecorded
        | RefusalReason::ConfigNotReady => Some(DEFAULT_RETRY_AFTER),
        _ => None,
    }
}

/// The answer when the entry that knew the outcome cannot be reached or no longer has it.
pub(super) fn unknown_answer(id: Option<SubmissionId>) -> CallerAnswer {
    CallerAnswer::Local(SubmissionAnswer {
        id,
        job: false,
        outcome: Arc::new(SubmissionOutcome::Unknown(UnknownReason::EntryGone)),
        version: None,
        stale: false,
    })
}
