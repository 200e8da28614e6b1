//! `cairnctl explain`.

use command_line::CommandError;
use eyre::{eyre, Report};
use model::SubmissionId;
use serde_json::Value;

use crate::{
    client::{EntryCall, EntryClient},
    explain_logs::{self, LogQuery},
    options::ExplainOptions,
    render::{cell, table, OutputFormat},
};

/// Requests the history of a submission from an entry, or runs a query on log files, and returns the output.
pub(crate) fn run(
    client: &EntryClient,
    options: &ExplainOptions,
    output_format: OutputFormat,
) -> Result<String, CommandError> {
    if options.logs.is_empty() {
        let id = submission(options).map_err(CommandError::UsageError)?;
        let call = EntryCall::get(format!("/v1/explain/{id}"));
        let value = client.call(&call).map_err(Report::new)?;
        return Ok(output_format.render(&value, report_text));
    }
    let query = log_query(options).map_err(CommandError::UsageError)?;
    explain_logs::run(&options.logs, &query, output_format)
}

fn submission(options: &ExplainOptions) -> Result<SubmissionId, Report> {
    if options.slowest.is_some() || options.failed || options.reason.is_some() {
        return Err(eyre!("--slowest, --failed and --reason need --logs"));
    }
    let id = options
        .id
        .as_deref()
        .ok_or_else(|| eyre!("no submission ID given"))?;
    Ok(id.parse()?)
}

/// Builds the query. The options must give exactly one of a job id and a list of jobs.
fn log_query(options: &ExplainOptions) -> Result<LogQuery, Report> {
    let mut queries = Vec::new();
    queries.extend(options.id.clone().map(LogQuery::Job));
    queries.extend(options.slowest.map(LogQuery::Slowest));
    queries.extend(options.failed.then_some(LogQuery::Failed));
    queries.extend(options.reason.clone().map(LogQuery::Reason));
    match queries.len() {
        1 => Ok(queries.remove(0)),
        _ => Err(eyre!(
            "give exactly one of a job ID, --slowest, --failed and --reason"
        )),
    }
}

fn report_text(report: &Value) -> String {
    let mut text = format!(
        "submission {} of {}, {} tasks, contract version {}\n",
        cell(&report["submission"]),
        cell(&report["customer"]),
        cell(&report["tasks"]),
        cell(&report["contract_version"]),
    );
    let mut rows = Vec::new();
    for line in report["events"].as_array().into_iter().flatten() {
        rows.push(vec![
            format!("{:>8} ms", cell(&line["after_ms"])),
            cell(&line["event"]),
            event_fields(line),
        ]);
    }
    text.push_str(&table(&rows));
    if report["events_left_out"].as_u64().unwrap_or(0) > 0 {
        text.push_str(&format!(
            "{} more events were left out\n",
            report["events_left_out"]
        ));
    }
    text
}

fn event_fields(line: &Value) -> String {
    let mut fields = Vec::new();
    for (name, value) in line.as_object().into_iter().flatten() {
        if name == "after_ms" || name == "event" {
            continue;
        }
        fields.push(format!("{name}={}", cell(value)));
    }
    fields.join(" ")
}
