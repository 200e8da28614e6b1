//! What became of a submission and why, for the operators' `explain`.

mod event;
mod history;
mod report;

pub use self::{
    event::{AttemptSummary, ExplainEvent, OutcomeSummary, SubmissionSummary},
    history::{ExplainHistory, MAX_EVENTS},
    report::{ExplainLine, ExplainReport},
};
