//! The entry's state: one authority per submission, without I/O.
//!
//! A [`TaskAuthority`] owns each submission from acceptance to its one answer. It alone decides that a task is
//! given up or may be placed again. Inputs come as method calls with the time; what has to be sent or told comes
//! out of [`TaskAuthority::take_actions`].
//!
//! The rule that everything here serves: a task whose body may have reached an endpoint is never offered again.

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
