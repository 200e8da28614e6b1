//! HTTP/JSON for callers and operators.
//!
//! The routes turn HTTP into typed commands for the process behind them and its replies into HTTP. They run on the
//! traffic threads; the commands go to the control actor of the entry.

mod answer;
mod callers;
mod command;
mod input;
mod object;

pub use crate::{
    answer::{render_answer, RenderedAnswer},
    callers::{caller_routes, CallerApi},
    command::{
        CallerAnswer, CancelCommand, CancelResult, ContractInForce, ContractsInForce,
        CustomerStatus, DispatcherStatus, EntryStatus, ExplainCommand, InForceCommand,
        OutcomeCommand, StatusCommand, SubmissionAnswer, SubmitCommand, TicketCommand,
    },
    input::{read_job, read_request, InputError},
};

pub mod operators;
