//! `cairnctl status`.

use command_line::CommandError;
use eyre::Report;
use serde_json::Value;

use crate::{
    client::{EntryCall, EntryClient},
    render::{flat_rows, table, OutputFormat},
};

/// The most lines of the text output, so that it fits on one screen.
const SCREEN_LINES: usize = 40;

/// Requests the status of the entry and returns the output.
pub(crate) fn run(
    client: &EntryClient,
    output_format: OutputFormat,
) -> Result<String, CommandError> {
    let call = EntryCall::get("/v1/status".to_owned());
    let value = client.call(&call).map_err(Report::new)?;
    Ok(output_format.render(&value, status_text))
}

fn status_text(value: &Value) -> String {
    let mut rows = flat_rows(value);
    let left_out = rows.len().saturating_sub(SCREEN_LINES);
    rows.truncate(SCREEN_LINES);
    let mut text = table(&rows);
    if left_out > 0 {
        text.push_str(&format!("{left_out} more lines, shown with --json\n"));
    }
    text
}
