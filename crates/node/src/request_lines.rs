//! Log lines of decisions on customers' requests. Each line names its request.

use std::time::Duration;

use actix_http::Method;
use jobs::{critical_path, JobId, KeptState, TableVersion};
use model::{text_enum, UnknownVariant};
use telemetry::{EventKind, EventLine};

use crate::{entry::EntryJob, metrics, state::NodeState};

/// The longest part of a text of a request that a line has, in bytes. A path may be as long as a head, so without a limit
/// a few requests would fill the log's buffer.
const MAX_TEXT_BYTES: usize = 64;

text_enum! {
    /// Why a request is answered as invalid.
    InvalidRequest, "cause of an invalid request", UnknownVariant {
        /// The head is longer than the configuration allows.
        HeadTooLarge => "head_too_large",
        /// The body is longer than the configuration allows.
        BodyTooLarge => "body_too_large",
        /// The body did not arrive whole.
        BodyBroken => "body_broken",
        /// The path does not end with a job id.
        JobId => "job_id",
        /// The method has no meaning for a job.
        Method => "method",
    }
}

/// What a request asks for.
pub(crate) struct RequestTarget {
    pub(crate) method: Method,
    pub(crate) host: String,
    pub(crate) path: String,
}

impl RequestTarget {
    /// Adds what names the request: the method, the host, the path and, if the path ends with one, the job's id. The id
    /// is read without the configuration, so that requests to unknown routes have it too.
    pub(crate) fn add_to(&self, line: EventLine) -> EventLine {
        let line = line
            .text("method", truncated(self.method.as_str()))
            .text("host", truncated(&self.host))
            .text("path", truncated(&self.path));
        match self.job() {
            Some(job) => line.text("job", job),
            None => line,
        }
    }

    fn job(&self) -> Option<JobId> {
        self.path.rsplit('/').next()?.parse().ok()
    }
}

/// Returns the part of a text that a line has.
fn truncated(text: &str) -> &str {
    let ends = text.char_indices().map(|(start, c)| start + c.len_utf8());
    let end = ends.take_while(|end| *end <= MAX_TEXT_BYTES).last();
    &text[..end.unwrap_or(0)]
}

/// Logs and counts a refusal of a request that was not read further.
pub(crate) fn log_refusal(state: &NodeState, target: &RequestTarget, reason: &'static str) {
    let line = refusal_line(state, target, reason);
    state.log(EventKind::Important, line);
}

fn refusal_line(state: &NodeState, target: &RequestTarget, reason: &'static str) -> EventLine {
    metrics::count_refusal(&state.metrics, reason);
    target.add_to(EventLine::new("request_refused").text("reason", reason))
}

/// Logs a request for a route that the configuration does not have, and its refusal if the configuration is too old to
/// say so.
pub(crate) fn log_unknown_route(
    state: &NodeState,
    target: &RequestTarget,
    version: TableVersion,
    is_current: bool,
) {
    let age = state.table_age().unwrap_or_default();
    let add_age = |line: EventLine| line.number("version", version.0).millis("age_ms", age);
    let outcome = match is_current {
        true => "not_found",
        false => "not_ready",
    };
    let line = add_age(EventLine::new("route_unknown")).text("outcome", outcome);
    state.log(EventKind::Routine, target.add_to(line));
    if !is_current {
        let line = add_age(refusal_line(state, target, "configuration_old"));
        state.log(EventKind::Important, line);
    }
}

/// Logs a request that no process would take.
pub(crate) fn log_invalid(
    state: &NodeState,
    target: &RequestTarget,
    cause: InvalidRequest,
    status: u16,
) {
    let line = EventLine::new("request_invalid")
        .text("reason", cause)
        .number("status", status);
    state.log(EventKind::Routine, target.add_to(line));
}

/// Logs the state of a job that a customer was told, with the version of its row.
pub(crate) fn log_state(state: &NodeState, job: JobId, shown: Option<(KeptState, u64)>) {
    let line = EventLine::new("job_state_told").text("job", job);
    let line = match shown {
        Some((kept_state, version)) => line
            .text("state", kept_state.as_str())
            .number("version", version),
        None => line.text("state", "none"),
    };
    state.log(EventKind::Routine, line);
}

/// Logs that a job's request has been read, with the time since the process's last tick: a request may have waited in its
/// socket for about as long.
pub(crate) fn log_arrival(state: &NodeState, job: &EntryJob, since_tick: Duration) {
    let chain = critical_path(&job.request.steps, |_, step| step.estimate);
    let line = EventLine::new("job_arrived")
        .text("job", job.request.id)
        .text("route", &job.rule.name)
        .number("tasks", job.request.task_count())
        .millis("chain_ms", chain)
        .millis("deadline_ms", time_to_deadline(job))
        .millis("since_tick_ms", since_tick);
    state.log(EventKind::Routine, line);
}

/// Logs that a customer's connection ended before its job was answered.
pub(crate) fn log_disconnect(state: &NodeState, job: &EntryJob) {
    let took = state.now().saturating_duration_since(job.arrived);
    let line = EventLine::new("customer_disconnected")
        .text("job", job.request.id)
        .millis("after_ms", took);
    state.log(EventKind::Important, line);
}

fn time_to_deadline(job: &EntryJob) -> Duration {
    job.deadline.saturating_duration_since(job.arrived)
}
