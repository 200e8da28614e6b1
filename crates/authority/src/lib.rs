//! The state of an entry: one authority decides on all of its submissions, without I/O.
//!
//! A [`TaskAuthority`] owns each submission from acceptance to its single answer. It alone decides that a task is given
//! up or may be placed again. Its inputs are method calls that carry the time; [`TaskAuthority::take_actions`] returns
//! the messages to send and the events to report.
//!
//! Invariant: a task whose body may have reached an endpoint is never offered again.

mod action;
mod attempt;
mod authority;
mod customer_load;
mod memory_usage;
mod record;
mod refusal;
mod session;
mod settings;
mod ticket;
mod waiting;

pub use crate::{
    action::{AuthorityAction, AuthorityEvent},
    attempt::AttemptPhase,
    authority::{AdmittedSubmission, CancelReply, TaskAuthority},
    refusal::SubmissionRefusal,
    session::DispatcherKey,
    settings::AuthoritySettings,
    ticket::TicketStatus,
};
