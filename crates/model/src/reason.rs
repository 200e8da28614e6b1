//! Reasons for refusals, retries, failures and unknown outcomes. Each reason has one stable text, which is used in
//! answers to callers, metric labels and logs.

use thiserror::Error;

use crate::text_enum;

/// The error for a text that is not the text of any variant of an enum made with [`text_enum!`](crate::text_enum).
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a {expected}: {text:?}")]
pub struct UnknownVariant {
    /// What the text should name, for example "refusal reason".
    pub expected: &'static str,
    /// The rejected text.
    pub text: String,
}

text_enum! {
    /// Why a submission was refused. A refusal means that no task of the submission ran.
    RefusalReason, "refusal reason", UnknownVariant {
        /// The customer has no contract.
        UnknownCustomer => "unknown_customer",
        /// The customer's contract is retired.
        RetiredCustomer => "retired_customer",
        /// The job has more tasks than the contract allows.
        TooManyTasks => "too_many_tasks",
        /// A payload is larger than the contract allows.
        PayloadTooLarge => "payload_too_large",
        /// The deadline is longer than the contract allows, or zero.
        WrongDeadline => "wrong_deadline",
        /// No slot in the system could ever run a task of the submission in time.
        CanNeverRun => "can_never_run",
        /// The customer is at its contract's concurrency limit, and waiting for a free place would miss the deadline.
        OverConcurrency => "over_concurrency",
        /// The predicted wait would miss the deadline.
        PredictedLate => "predicted_late",
        /// The system is overloaded and the contract allows this kind of work to be refused.
        Overloaded => "overloaded",
        /// No dispatcher with a live endpoint is reachable.
        NoCapacity => "no_capacity",
        /// The deadline passed before any task had started.
        DeadlinePassed => "deadline_passed",
        /// The retry budget was spent before any task had started.
        RetryBudgetSpent => "retry_budget_spent",
        /// The process is stopping and accepts no new work.
        Stopping => "stopping",
        /// The idempotency key could not be recorded, so the request was not started.
        KeyNotRecorded => "key_not_recorded",
        /// The idempotency key or ticket was used before with another body.
        KeyReused => "key_reused",
        /// No complete set of contracts that is as new as those of the peers has been read yet.
        ConfigNotReady => "config_not_ready",
        /// The caller cancelled before any task had started.
        Cancelled => "cancelled",
        /// The request is malformed.
        BadInput => "bad_input",
    }
}

text_enum! {
    /// Why a task may be placed again. Each reason means that the attempt definitely did not run.
    RetryReason, "retry reason", UnknownVariant {
        /// The endpoint answered that it is busy.
        EndpointBusy => "endpoint_busy",
        /// The endpoint answered that it is leaving.
        EndpointLeaving => "endpoint_leaving",
        /// No connection to the endpoint was established, so no byte of the task was sent.
        EndpointUnreachable => "endpoint_unreachable",
        /// The dispatcher has no endpoint.
        NoEndpoint => "no_endpoint",
        /// The dispatcher is stopping.
        DispatcherStopping => "dispatcher_stopping",
        /// The connection to the dispatcher was lost while the task was queued there without its body.
        DispatcherLost => "dispatcher_lost",
        /// The dispatcher confirmed that the task was withdrawn before it started.
        Withdrawn => "withdrawn",
        /// The task's body arrived after the dispatcher had stopped waiting for it.
        ClaimLate => "claim_late",
        /// The dispatcher's queue is full.
        QueueFull => "queue_full",
        /// The task would have been queued at one dispatcher while another had a free slot.
        SlotElsewhere => "slot_elsewhere",
    }
}

text_enum! {
    /// Why a job or request failed.
    FailureReason, "failure reason", UnknownVariant {
        /// A task ran and reported a failure.
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
        /// The connection was lost after bytes of the task were sent.
        ConnectionLost => "connection_lost",
        /// The answer was invalid, cut short, or echoed the id of another attempt.
        BrokenAnswer => "broken_answer",
        /// The deadline passed while the task may have been running.
        DeadlinePassed => "deadline_passed",
        /// The dispatcher that may have started the task is gone.
        DispatcherGone => "dispatcher_gone",
        /// The entry that has authority over the submission is gone or unreachable.
        EntryGone => "entry_gone",
        /// The process was stopped before the task ended.
        Stopped => "stopped",
    }
}
