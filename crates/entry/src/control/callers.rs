//! Commands of callers.

use std::{sync::Arc, time::Duration};

use actix::{Context, Handler, ResponseFuture};
use authority::{CancelReply, SubmissionRefusal, TicketUse};
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

/// When to come back after a refusal whose end cannot be told better: long enough for a VM to be found gone and for
/// its endpoints to have another owner.
const COME_BACK: Duration = Duration::from_secs(1);

/// An answer on its way.
pub(super) type AnswerFuture = LocalBoxFuture<'static, CallerAnswer>;

impl EntryControl {
    /// Accepts or refuses a submission and waits for its answer. The caller of this flushes.
    pub(super) fn run(
        &mut self,
        body: SubmissionBody,
        digest: u64,
        serial: Option<u64>,
    ) -> AnswerFuture {
        match self.accept(body, digest, serial) {
            Ok(id) => self.wait_for(id.serial),
            Err(refusal) => ready(self.refuse_for(refusal)),
        }
    }

    /// Refuses before there is a submission, and counts it.
    pub(super) fn refuse(&self, reason: RefusalReason) -> CallerAnswer {
        let retry_after = come_back(reason);
        self.refuse_for(SubmissionRefusal {
            reason,
            retry_after,
        })
    }

    fn refuse_for(&self, cause: SubmissionRefusal) -> CallerAnswer {
        let answer = refused(cause);
        if let CallerAnswer::Own(own) = &answer {
            self.notes.refused(&own.outcome);
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
            return Err(SubmissionRefusal::not_now(reason, COME_BACK));
        }
        let contract = self
            .contracts
            .get(&body.customer)
            .map(|(version, contract)| (contract, version));
        if let Some((contract, _)) = contract {
            // The answer has to be with the caller by the deadline, so it leaves a little earlier.
            let deadline = body.deadline.unwrap_or_else(|| contract.answer_within());
            if deadline <= contract.answer_within() && !deadline.is_zero() {
                let margin = self.settings.answer_margin_ms.duration().min(deadline / 2);
                body.deadline = Some(deadline - margin);
            }
        }
        let now = self.clock.now();
        let customer = body.customer.clone();
        let admitted = self.authority.submit(now, body, digest, contract, serial)?;
        self.note_demand(now, &customer);
        Ok(admitted.id)
    }

    /// The contract of a customer whose work may be accepted.
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

    /// Waits for the answer of a submission of this entry.
    pub(super) fn wait_for(&mut self, serial: u64) -> AnswerFuture {
        let id = SubmissionId {
            incarnation: self.authority.incarnation(),
            serial,
        };
        match self.authority.outcome(serial) {
            None => ready(unknown(Some(id))),
            Some(Some(outcome)) => ready(CallerAnswer::Own(self.own_answer(id, outcome))),
            Some(None) => {
                let (waiter, answer) = oneshot::channel();
                self.waiters.entry(serial).or_default().push(waiter);
                Box::pin(async move {
                    match answer.await {
                        Ok(answer) => CallerAnswer::Own(answer),
                        Err(_) => unknown(Some(id)),
                    }
                })
            }
        }
    }

    /// Runs a request under a ticket of this entry, or gives a second arrival the first one's answer.
    pub(super) fn run_ticket(
        &mut self,
        ticket: TicketId,
        body: SubmissionBody,
        digest: u64,
    ) -> AnswerFuture {
        let serial = ticket.0.serial;
        match self
            .authority
            .look_at_ticket(self.clock.now(), serial, &body.customer)
        {
            TicketUse::Fresh => self.run(body, digest, Some(serial)),
            TicketUse::Used => self.run_again(serial, body, digest),
            TicketUse::WrongCustomer => ready(self.refuse(RefusalReason::KeyReused)),
            TicketUse::Forgotten => ready(unknown(Some(ticket.0))),
        }
    }

    /// A later arrival of a request: it gets the first one's answer, if it has the same body. Where the first was
    /// refused, nothing ran, and the request runs now under the same authority.
    pub(super) fn run_again(
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
        self.notes.metrics().count(CounterKind::SecondArrivals, 1);
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
    /// How a submission of this entry stands now.
    pub(super) fn outcome_now(&self, serial: u64) -> CallerAnswer {
        let id = SubmissionId {
            incarnation: self.authority.incarnation(),
            serial,
        };
        match self.authority.outcome(serial) {
            None => unknown(Some(id)),
            Some(None) => CallerAnswer::Pending(id),
            Some(Some(outcome)) => CallerAnswer::Own(self.own_answer(id, outcome)),
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

/// A refusal before there was a submission. Nothing ran.
pub(super) fn refusal(reason: RefusalReason) -> CallerAnswer {
    refused(SubmissionRefusal {
        reason,
        retry_after: come_back(reason),
    })
}

/// A refusal with what its cause told of when to come back.
fn refused(refusal: SubmissionRefusal) -> CallerAnswer {
    let SubmissionRefusal {
        reason,
        retry_after,
    } = refusal;
    CallerAnswer::Own(SubmissionAnswer {
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

/// When to come back after a refusal whose end cannot be told better.
pub(super) fn come_back(reason: RefusalReason) -> Option<Duration> {
    match reason {
        // Another VM takes it at once.
        RefusalReason::Stopping => Some(Duration::ZERO),
        RefusalReason::Overloaded
        | RefusalReason::NoCapacity
        | RefusalReason::KeyNotRecorded
        | RefusalReason::ConfigNotReady => Some(COME_BACK),
        _ => None,
    }
}

/// The entry that could tell is gone, or has forgotten.
pub(super) fn unknown(id: Option<SubmissionId>) -> CallerAnswer {
    CallerAnswer::Own(SubmissionAnswer {
        id,
        job: false,
        outcome: Arc::new(SubmissionOutcome::Unknown(UnknownReason::EntryGone)),
        version: None,
        stale: false,
    })
}
