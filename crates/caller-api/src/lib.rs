//! The HTTP/JSON interface for callers and operators.
//!
//! The routes translate HTTP requests into typed commands, and the replies into HTTP responses. They run on the
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
