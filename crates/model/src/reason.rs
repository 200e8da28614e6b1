//! Reasons: closed sets with one stable text each. The text is what callers get, what labels the counter and what
//! the log says.

use thiserror::Error;

use crate::text_enum;

/// A text that names no value of its set.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a {set}: {text:?}")]
pub struct UnknownVariant {
    /// The set.
    pub set: &'static str,
    /// The text.
    pub text: String,
}

text_enum! {
    /// Why a submission was refused. Each means that nothing of it ran.
    RefusalReason, "refusal reason", UnknownVariant {
        /// The customer has no contract.
        UnknownCustomer => "unknown_customer",
        /// The customer's contract is retired.
        RetiredCustomer => "retired_customer",
        /// More tasks in the job than the contract allows.
        TooManyTasks => "too_many_tasks",
        /// A payload larger than the contract allows.
        PayloadTooLarge => "payload_too_large",
        /// The deadline is longer than the contract allows, or zero.
        WrongDeadline => "wrong_deadline",
        /// No slot in the system could ever run a task of the submission in time.
        CanNeverRun => "can_never_run",
        /// The customer has as much at once as its contract allows, and waiting for room would miss the deadline.
        OverConcurrency => "over_concurrency",
        /// The predicted wait would miss the deadline.
        PredictedLate => "predicted_late",
        /// The system is overloaded and the contract lets this kind of work be refused.
        Overloaded => "overloaded",
        /// No dispatcher with a live endpoint is reachable.
        NoCapacity => "no_capacity",
        /// The deadline came while nothing had started.
        DeadlinePassed => "deadline_passed",
        /// The retry budget was spent while nothing had started.
        RetryBudgetSpent => "retry_budget_spent",
        /// The process is stopping and takes nothing new.
        Stopping => "stopping",
        /// The idempotency key could not be recorded, so the request was not started.
        KeyNotRecorded => "key_not_recorded",
        /// The idempotency key or ticket was used before with another body.
        KeyReused => "key_reused",
        /// No contract as new as the peers' has been read yet.
        ConfigNotReady => "config_not_ready",
        /// The caller cancelled before anything started.
        Cancelled => "cancelled",
        /// The request is not well formed.
        BadInput => "bad_input",
    }
}

text_enum! {
    /// Why a task may be placed again. Each is a definite not-run.
    RetryReason, "retry reason", UnknownVariant {
        /// The endpoint said that it is busy.
        EndpointBusy => "endpoint_busy",
        /// The endpoint said that it is leaving.
        EndpointLeaving => "endpoint_leaving",
        /// No connection to the endpoint came about, so no byte of the task was sent.
        EndpointUnreachable => "endpoint_unreachable",
        /// The dispatcher has no endpoint.
        NoEndpoint => "no_endpoint",
        /// The dispatcher is stopping.
        DispatcherStopping => "dispatcher_stopping",
        /// The connection to the dispatcher was lost while the task waited there without its body.
        DispatcherLost => "dispatcher_lost",
        /// The dispatcher confirmed that the task was withdrawn before it started.
        Withdrawn => "withdrawn",
        /// The body came after the limit of the ask.
        ClaimLate => "claim_late",
        /// The dispatcher's queue is full.
        QueueFull => "queue_full",
        /// The task would have waited at one dispatcher while another had a free slot.
        SlotElsewhere => "slot_elsewhere",
    }
}

text_enum! {
    /// Why a job or request failed.
    FailureReason, "failure reason", UnknownVariant {
        /// A task ran and said that it failed.
        TaskFailed => "task_failed",
        /// A task of the job could not be completed before the deadline.
        DeadlinePassed => "deadline_passed",
        /// The outcome of a task of the job is unknown.
        TaskUnknown => "task_unknown",
        /// A task of the job could not be placed.
        TaskNotPlaced => "task_not_placed",
        /// The caller cancelled.
        Cancelled => "cancelled",
    }
}

text_enum! {
    /// Why an outcome is unknown.
    UnknownReason, "unknown reason", UnknownVariant {
        /// The connection broke after bytes of the task were sent.
        ConnectionLost => "connection_lost",
        /// The answer was cut short, or echoed another attempt.
        BrokenAnswer => "broken_answer",
        /// The deadline came while the task may have been running.
        DeadlinePassed => "deadline_passed",
        /// The dispatcher that may have started the task is gone.
        DispatcherGone => "dispatcher_gone",
        /// The entry that had authority over the submission is gone or out of reach.
        EntryGone => "entry_gone",
        /// The process was stopped before the task ended.
        Stopped => "stopped",
    }
}
