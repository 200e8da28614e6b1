//! `cairnctl demo`.

use command_line::CommandError;
use demo::FleetSettings;
use eyre::{eyre, Report};
use serde_json::Value;

use crate::render::OutputFormat;

/// Runs the demonstration and returns its report.
pub(crate) fn run(output_format: OutputFormat) -> Result<String, CommandError> {
    let system = actix_rt::System::new();
    let report = system.block_on(demo::run(FleetSettings::default()))?;
    if !report.is_complete() {
        return Err(eyre!("not every call completed: {report}").into());
    }
    let value: Value = serde_json::to_value(&report).map_err(Report::new)?;
    Ok(output_format.render(&value, |_| report.to_string()))
}
