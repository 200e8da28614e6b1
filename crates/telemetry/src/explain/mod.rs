//! What became of a submission and why, for the operators' `explain`.

mod event;
mod history;
mod report;

pub use self::{
    event::{AttemptNote, ExplainEvent, OutcomeNote, SubmissionNote},
    history::{ExplainHistory, MAX_EVENTS},
    report::{ExplainLine, ExplainReport},
};
