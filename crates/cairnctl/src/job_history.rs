//! The attempts and runs of one job, read from the event lines of all nodes.

use serde_json::{json, Value};

use crate::{
    explain_logs::LogLine,
    render::{cell, table},
};

/// An attempt at a job: one request that arrived at one node.
struct EntryAttempt<'a> {
    node: &'a str,
    arrived_ms: u64,
    /// When and how the node was done with it. None if no line says so.
    end: Option<(u64, String)>,
}

/// A run of a task, from its placing to the first line that says that it is over.
struct RunSpan<'a> {
    node: &'a str,
    task: &'a str,
    number: u64,
    worker: &'a str,
    placed_ms: u64,
    /// When and how it ended. None if no line says so: it may have lasted until its lease was over.
    end: Option<(u64, &'a str)>,
}

impl RunSpan<'_> {
    fn overlaps(&self, later: &Self) -> bool {
        let is_other = (self.number, self.worker) != (later.number, later.worker);
        let is_over = self.end.is_some_and(|(at_ms, _)| at_ms <= later.placed_ms);
        self.task == later.task && is_other && !is_over
    }
}

/// The attempts and runs of one job, each in the order of their beginnings.
pub(crate) struct JobHistory<'a> {
    attempts: Vec<EntryAttempt<'a>>,
    runs: Vec<RunSpan<'a>>,
}

impl<'a> JobHistory<'a> {
    /// Reads the history from the job's own lines, in the order of their times.
    pub(crate) fn new(lines: &[&'a LogLine]) -> Self {
        let mut history = Self {
            attempts: Vec::new(),
            runs: Vec::new(),
        };
        for line in lines {
            history.add_to_attempts(line);
            history.add_to_runs(line);
        }
        // An attempt without a line on its arrival is found by its end.
        history.attempts.sort_by_key(|attempt| attempt.arrived_ms);
        history
    }

    /// The history as JSON.
    pub(crate) fn to_json(&self) -> Value {
        let attempts = self.attempts.iter().map(|attempt| {
            json!({
                "node": attempt.node,
                "arrived_ms": attempt.arrived_ms,
                "ended_ms": attempt.end.as_ref().map(|(at_ms, _)| at_ms),
                "end": attempt.end.as_ref().map(|(_, how)| how),
            })
        });
        let runs = self.runs.iter().map(|run| {
            json!({
                "node": run.node,
                "task": run.task,
                "run": run.number,
                "worker": run.worker,
                "placed_ms": run.placed_ms,
                "ended_ms": run.end.map(|(at_ms, _)| at_ms),
                "end": run.end.map(|(_, how)| how),
            })
        });
        json!({
            "attempts": attempts.collect::<Vec<_>>(),
            "runs": runs.collect::<Vec<_>>(),
            "warnings": self.warnings(),
        })
    }

    fn add_to_attempts(&mut self, line: &'a LogLine) {
        let how = match line.event() {
            "job_arrived" => {
                self.attempts.push(EntryAttempt {
                    node: &line.node,
                    arrived_ms: line.at_ms,
                    end: None,
                });
                return;
            }
            "job_answered" => line.described(&["outcome", "reason"]),
            "customer_disconnected" => "customer disconnected".to_owned(),
            "request_refused" => format!("refused {}", line.text("reason")),
            "request_invalid" => format!("invalid {}", line.text("reason")),
            "job_unreadable" => "unreadable".to_owned(),
            // The other outcome is followed by a refusal.
            "route_unknown" if line.text("outcome") == "not_found" => "no such route".to_owned(),
            _ => return,
        };
        let took_ms = line.millis("took_ms").or(line.millis("after_ms"));
        let arrived_ms = line.at_ms.saturating_sub(took_ms.unwrap_or(0));
        let of_node = |attempt: &&mut EntryAttempt<'_>| {
            attempt.node == line.node && attempt.end.is_none() && took_ms.is_some()
        };
        let open = self.attempts.iter_mut().filter(of_node);
        let begun = open.min_by_key(|attempt| attempt.arrived_ms.abs_diff(arrived_ms));
        let end = Some((line.at_ms, how));
        match begun {
            Some(attempt) => attempt.end = end,
            None => self.attempts.push(EntryAttempt {
                node: &line.node,
                arrived_ms,
                end,
            }),
        }
    }

    fn add_to_runs(&mut self, line: &'a LogLine) {
        let number = line.value["run"].as_u64().unwrap_or_default();
        let (task, worker) = (line.text("task"), line.text("worker"));
        let how = match line.event() {
            "run_placed" => {
                self.runs.push(RunSpan {
                    node: &line.node,
                    task,
                    number,
                    worker,
                    placed_ms: line.at_ms,
                    end: None,
                });
                return;
            }
            "run_ended" | "run_lost" | "foreign_end" => line.text("cause"),
            _ => return,
        };
        let is_of_line = |run: &&mut RunSpan<'_>| {
            (run.task, run.number, run.worker) == (task, number, worker) && run.end.is_none()
        };
        if let Some(run) = self.runs.iter_mut().find(is_of_line) {
            run.end = Some((line.at_ms, how));
        }
    }

    /// What two attempts or two runs at the same time show. The times are those of the clocks of the nodes that wrote
    /// the lines; a run has ended on its worker somewhat before its end is listed.
    fn warnings(&self) -> Vec<String> {
        let mut warnings = Vec::new();
        for (index, later) in self.runs.iter().enumerate() {
            for run in self.runs[..index].iter().filter(|run| run.overlaps(later)) {
                warnings.push(overlap_text(run, later));
            }
        }
        for (index, later) in self.attempts.iter().enumerate() {
            for attempt in &self.attempts[..index] {
                let end_ms = attempt.end.as_ref().map(|(at_ms, _)| *at_ms);
                if end_ms.is_some_and(|end_ms| end_ms <= later.arrived_ms) {
                    continue;
                }
                warnings.push(format!(
                    "the attempt at {} was open when the job arrived at {}, {} ms after it",
                    attempt.node,
                    later.node,
                    later.arrived_ms - attempt.arrived_ms
                ));
            }
        }
        warnings
    }
}

fn overlap_text(run: &RunSpan<'_>, later: &RunSpan<'_>) -> String {
    let name = |run: &RunSpan<'_>| {
        let RunSpan {
            number,
            worker,
            node,
            ..
        } = run;
        format!("run {number} on {worker} (placed by {node})")
    };
    let (task, earlier, later_run) = (run.task, name(run), name(later));
    match run.end {
        Some((at_ms, _)) => {
            let overlap_ms = at_ms - later.placed_ms;
            format!("two runs of task {task} at once: {earlier} ended {overlap_ms} ms after {later_run} was placed")
        }
        None => format!(
            "two runs of task {task} at once, perhaps: {earlier} has no end in these logs, and {later_run} was placed after it"
        ),
    }
}

/// Renders a history as text, with times that count from `begin_ms`.
pub(crate) fn history_text(history: &Value, begin_ms: u64) -> String {
    let mut text = String::new();
    for (title, names) in [
        ("attempts", &["node"][..]),
        ("runs", &["node", "task", "run", "worker"]),
    ] {
        let spans = items(history, title);
        if spans.is_empty() {
            continue;
        }
        let rows: Vec<_> = spans
            .iter()
            .map(|span| span_row(span, names, begin_ms))
            .collect();
        text += &format!("\n{title}\n{}", table(&rows));
    }
    for warning in items(history, "warnings") {
        text += &format!("warning: {}\n", cell(warning));
    }
    text
}

fn items<'a>(history: &'a Value, name: &str) -> &'a [Value] {
    history[name]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default()
}

fn span_row(span: &Value, names: &[&str], begin_ms: u64) -> Vec<String> {
    let time = |name: &str| match span[name].as_u64() {
        Some(at_ms) => format!("{:>7} ms", i128::from(at_ms) - i128::from(begin_ms)),
        None => format!("{:>10}", "?"),
    };
    let begin = match span["arrived_ms"].is_null() {
        true => "placed_ms",
        false => "arrived_ms",
    };
    let mut row = vec![time(begin), time("ended_ms")];
    row.extend(names.iter().map(|name| cell(&span[name])));
    row.push(match span["end"].is_null() {
        true => "no end in these logs".to_owned(),
        false => cell(&span["end"]),
    });
    row
}
