//! `cairnctl explain`.

use command_line::CommandFault;
use eyre::Report;
use model::SubmissionId;
use serde_json::Value;

use crate::{
    client::{EntryCall, EntryClient},
    render::{cell, table, OutputForm},
};

/// Asks for the history of a submission and gives the output.
pub(crate) fn run(
    client: &EntryClient,
    id: SubmissionId,
    form: OutputForm,
) -> Result<String, CommandFault> {
    let call = EntryCall::get(format!("/v1/explain/{id}"));
    let value = client.call(&call).map_err(Report::new)?;
    Ok(form.render(&value, report_text))
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
