//! Records the events of each submission for the operators' `explain` command.

mod event;
mod history;
mod report;

pub use self::{
    event::{AttemptSummary, ExplainEvent, OutcomeSummary, SubmissionSummary},
    history::{ExplainHistory, MAX_EVENTS},
    report::{ExplainLine, ExplainReport},
};
