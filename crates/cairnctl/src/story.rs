//! `cairnctl explain --logs`: the story of one job from the log files of nodes, and lists of jobs to look at.

use std::{fs, path::PathBuf};

use command_line::CommandError;
use eyre::{eyre, WrapErr as _};
use serde_json::{json, Value};

use crate::render::{cell, table, OutputForm};

/// What a node wrote this long before and after a job's own lines is looked through for changes of belief, in
/// milliseconds: heartbeats, leases and looks all act within a second.
const CONTEXT_MS: u64 = 1_000;

/// Lines that say what a process believes, beside the job's own lines.
const BELIEFS: &[&str] = &[
    "claim_answered",
    "configuration_taken",
    "link_lost",
    "owner_changed",
    "peer_silent",
    "pool_released",
    "pool_taken",
    "process_paused",
    "process_started",
    "process_stopping",
    "store_lost",
    "store_regained",
    "worker_answers",
    "worker_changed",
    "worker_silent",
    "worker_suspended",
];

/// What is asked of the logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LogQuestion {
    /// What became of one job.
    Story(String),
    /// The jobs that took longest.
    Slowest(usize),
    /// The jobs that were not completed.
    Failed,
    /// The jobs that were refused for a reason.
    Reason(String),
}

/// One line of a log.
struct LogLine {
    node: String,
    at: u64,
    value: Value,
}

impl LogLine {
    fn text(&self, name: &str) -> &str {
        self.value[name].as_str().unwrap_or_default()
    }

    fn event(&self) -> &str {
        self.text("event")
    }

    fn is_of(&self, job: &str) -> bool {
        let task = self.text("task");
        self.text("job") == job || task.split('.').next() == Some(job)
    }
}

/// Reads the logs and answers the question.
pub(crate) fn run(
    files: &[PathBuf],
    question: &LogQuestion,
    form: OutputForm,
) -> Result<String, CommandError> {
    let lines = read_all(files)?;
    let found = match question {
        LogQuestion::Story(job) => story(&lines, job)?,
        LogQuestion::Slowest(count) => {
            let mut answers = answers(&lines, |_| true);
            answers.sort_by(|a, b| took(b).total_cmp(&took(a)));
            answers.truncate(*count);
            answers
        }
        LogQuestion::Failed => answers(&lines, |line| line.text("outcome") != "completed"),
        LogQuestion::Reason(reason) => answers(&lines, |line| line.text("reason") == reason),
    };
    let value = found.iter().map(|line| to_json(line)).collect();
    Ok(form.render(&value, story_text))
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
    lines.sort_by_key(|line| line.at);
    Ok(lines)
}

/// Reads a line, with or without what a collector put before it. The last word of that names the node; without it the
/// file does.
fn read_line(file: &str, line: &str) -> Option<LogLine> {
    let (before, json) = line.split_at(line.find(r#"{"at_ms""#)?);
    let value: Value = serde_json::from_str(json).ok()?;
    let node = before.split_whitespace().last().unwrap_or(file).to_owned();
    let at = value["at_ms"].as_u64()?;
    Some(LogLine { node, at, value })
}

fn story<'a>(lines: &'a [LogLine], job: &str) -> Result<Vec<&'a LogLine>, CommandError> {
    let own: Vec<&LogLine> = lines.iter().filter(|line| line.is_of(job)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(CommandError::Failure(eyre!(
            "no line of job {job} in these logs"
        )));
    };
    let from = first.at.saturating_sub(CONTEXT_MS);
    let to = last.at + CONTEXT_MS;
    let nodes: Vec<&str> = own.iter().map(|line| line.node.as_str()).collect();
    let workers: Vec<&str> = own.iter().map(|line| line.text("worker")).collect();
    let tells = |line: &&LogLine| {
        let about = line.text("worker");
        let known = about.is_empty() || workers.contains(&about);
        line.is_of(job)
            || (from..=to).contains(&line.at)
                && nodes.contains(&line.node.as_str())
                && BELIEFS.contains(&line.event())
                && known
    };
    Ok(lines.iter().filter(tells).collect())
}

fn answers(lines: &[LogLine], wanted: impl Fn(&LogLine) -> bool) -> Vec<&LogLine> {
    let answered = lines.iter().filter(|line| line.event() == "job_answered");
    answered.filter(|line| wanted(line)).collect()
}

fn took(line: &LogLine) -> f64 {
    line.value["took_ms"].as_f64().unwrap_or_default()
}

fn to_json(line: &LogLine) -> Value {
    let mut value = json!({ "node": line.node });
    if let (Some(to), Some(from)) = (value.as_object_mut(), line.value.as_object()) {
        to.extend(from.clone());
    }
    value
}

fn story_text(lines: &Value) -> String {
    let lines = lines.as_array().map(Vec::as_slice).unwrap_or_default();
    let begin = lines
        .first()
        .and_then(|line| line["at_ms"].as_u64())
        .unwrap_or(0);
    let mut rows = Vec::new();
    for line in lines {
        let at = line["at_ms"].as_u64().unwrap_or(begin);
        rows.push(vec![
            format!("{:>7} ms", at.saturating_sub(begin)),
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
