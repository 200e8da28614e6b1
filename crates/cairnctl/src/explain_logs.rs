//! `cairnctl explain --logs`: the events of one job from the log files of nodes, and lists of jobs to examine.

use std::{fs, path::PathBuf};

use command_line::CommandError;
use eyre::{eyre, WrapErr as _};
use serde_json::{json, Value};

use crate::{
    job_history::{history_text, JobHistory},
    render::{cell, table, OutputFormat},
};

/// How long before and after a job's own lines context events are included, in milliseconds. Heartbeats, leases and
/// worker probes all act within a second.
const CONTEXT_MS: u64 = 1_000;

/// Events that explain a job beside its own lines: changes in the state that a process observes or assumes.
const CONTEXT_EVENTS: &[&str] = &[
    "claim_answered",
    "configuration_taken",
    "link_lost",
    "link_silent",
    "log_lines_dropped",
    "owner_changed",
    "peer_silent",
    "pool_released",
    "pool_taken",
    "pool_yielded",
    "process_paused",
    "process_started",
    "process_stopping",
    "profile_unreadable",
    "run_times_adopted",
    "run_times_unreadable",
    "store_lost",
    "store_regained",
    "worker_answers",
    "worker_changed",
    "worker_silent",
    "worker_suspended",
];

/// A query on the logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LogQuery {
    /// The events of one job.
    Job(String),
    /// The jobs that took longest.
    Slowest(usize),
    /// The jobs that were not completed.
    Failed,
    /// The jobs that were refused for a reason.
    Reason(String),
}

/// One event line of a log.
pub(crate) struct LogLine {
    pub(crate) node: String,
    pub(crate) at_ms: u64,
    pub(crate) value: Value,
}

impl LogLine {
    pub(crate) fn text(&self, name: &str) -> &str {
        self.value[name].as_str().unwrap_or_default()
    }

    pub(crate) fn event(&self) -> &str {
        self.text("event")
    }

    /// A time field, rounded to whole milliseconds.
    pub(crate) fn millis(&self, name: &str) -> Option<u64> {
        // The cast saturates.
        self.value[name]
            .as_f64()
            .map(|millis| millis.round() as u64)
    }

    /// The texts of the fields that the line has.
    pub(crate) fn described(&self, names: &[&str]) -> String {
        let texts = names.iter().map(|name| self.text(name));
        texts
            .filter(|text| !text.is_empty())
            .collect::<Vec<_>>()
            .join(" ")
    }

    fn belongs_to(&self, job: &str) -> bool {
        let task = self.text("task");
        self.text("job") == job || task.split('.').next() == Some(job)
    }
}

/// Reads the logs and returns the result of the query.
pub(crate) fn run(
    files: &[PathBuf],
    query: &LogQuery,
    output_format: OutputFormat,
) -> Result<String, CommandError> {
    let lines = read_all(files)?;
    let selected = match query {
        LogQuery::Job(job) => return explain_job(&lines, job, output_format),
        LogQuery::Slowest(count) => {
            let mut answered_jobs = answered_jobs(&lines, |_| true);
            answered_jobs.sort_by(|a, b| duration_ms(b).total_cmp(&duration_ms(a)));
            answered_jobs.truncate(*count);
            answered_jobs
        }
        LogQuery::Failed => answered_jobs(&lines, |line| line.text("outcome") != "completed"),
        LogQuery::Reason(reason) => answered_jobs(&lines, |line| line.text("reason") == reason),
    };
    let value = selected.iter().map(|line| to_json(line)).collect();
    Ok(output_format.render(&value, events_text))
}

/// Renders the events of a job, then its attempts and runs over all nodes, and warnings.
fn explain_job(
    lines: &[LogLine],
    job: &str,
    output_format: OutputFormat,
) -> Result<String, CommandError> {
    let events = job_events(lines, job)?;
    let begin_ms = events.first().map_or(0, |line| line.at_ms);
    let own = events.iter().filter(|line| line.belongs_to(job));
    let own: Vec<&LogLine> = own.copied().collect();
    let mut value = JobHistory::new(&own).to_json();
    value["events"] = events.iter().map(|line| to_json(line)).collect();
    Ok(output_format.render(&value, |value| {
        events_text(&value["events"]) + &history_text(value, begin_ms)
    }))
}

fn read_all(files: &[PathBuf]) -> Result<Vec<LogLine>, CommandError> {
    let mut lines = Vec::new();
    for file in files {
        let text = fs::read_to_string(file);
        let text = text.wrap_err_with(|| format!("cannot read {}", file.display()));
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        for line in text.map_err(CommandError::UsageError)?.lines() {
            lines.extend(read_line(&name, line));
        }
    }
    lines.sort_by_key(|line| line.at_ms);
    Ok(lines)
}

/// Parses a line, with or without the prefix of a log collector. The last word of the prefix names the node; without
/// a prefix, the file name does.
fn read_line(file: &str, line: &str) -> Option<LogLine> {
    let (before, json) = line.split_at(line.find(r#"{"at_ms""#)?);
    let value: Value = serde_json::from_str(json).ok()?;
    let node = before.split_whitespace().last().unwrap_or(file).to_owned();
    let at_ms = value["at_ms"].as_u64()?;
    Some(LogLine { node, at_ms, value })
}

fn job_events<'a>(lines: &'a [LogLine], job: &str) -> Result<Vec<&'a LogLine>, CommandError> {
    let own: Vec<&LogLine> = lines.iter().filter(|line| line.belongs_to(job)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(CommandError::Failure(eyre!(
            "no line of job {job} in these logs"
        )));
    };
    let from = first.at_ms.saturating_sub(CONTEXT_MS);
    let to = last.at_ms + CONTEXT_MS;
    let nodes: Vec<&str> = own.iter().map(|line| line.node.as_str()).collect();
    let workers: Vec<&str> = own.iter().map(|line| line.text("worker")).collect();
    let is_relevant = |line: &&LogLine| {
        let worker = line.text("worker");
        let is_own_worker = worker.is_empty() || workers.contains(&worker);
        line.belongs_to(job)
            || (from..=to).contains(&line.at_ms)
                && nodes.contains(&line.node.as_str())
                && CONTEXT_EVENTS.contains(&line.event())
                && is_own_worker
    };
    Ok(lines.iter().filter(is_relevant).collect())
}

fn answered_jobs(lines: &[LogLine], wanted: impl Fn(&LogLine) -> bool) -> Vec<&LogLine> {
    let answered = lines.iter().filter(|line| line.event() == "job_answered");
    answered.filter(|line| wanted(line)).collect()
}

fn duration_ms(line: &LogLine) -> f64 {
    line.value["took_ms"].as_f64().unwrap_or_default()
}

fn to_json(line: &LogLine) -> Value {
    let mut value = json!({ "node": line.node });
    if let (Some(to), Some(from)) = (value.as_object_mut(), line.value.as_object()) {
        to.extend(from.clone());
    }
    value
}

fn events_text(lines: &Value) -> String {
    let lines = lines.as_array().map(Vec::as_slice).unwrap_or_default();
    let begin_ms = lines
        .first()
        .and_then(|line| line["at_ms"].as_u64())
        .unwrap_or(0);
    let mut rows = Vec::new();
    for line in lines {
        let at_ms = line["at_ms"].as_u64().unwrap_or(begin_ms);
        rows.push(vec![
            format!("{:>7} ms", at_ms.saturating_sub(begin_ms)),
            cell(&line["node"]),
            cell(&line["event"]),
            fields(line),
        ]);
    }
    table(&rows)
}

fn fields(line: &Value) -> String {
    let mut fields = Vec::new();
    for (name, value) in line.as_object().into_iter().flatten() {
        if ["at_ms", "event", "node"].contains(&name.as_str()) {
            continue;
        }
        fields.push(format!("{name}={}", cell(value)));
    }
    fields.join(" ")
}
