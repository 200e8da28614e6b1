//! `cairnctl check-settings` and `cairnctl schema`.

use std::path::Path;

use command_line::CommandError;
use eyre::{eyre, Report};
use serde_json::json;
use settings::SettingsError;

use crate::{options::RoleName, render::OutputFormat};

/// Checks a settings file and returns the output.
pub(crate) fn run(
    role: Option<RoleName>,
    file: &Path,
    output_format: OutputFormat,
) -> Result<String, CommandError> {
    let role = match role {
        Some(role) => check_role(role, file).map(|()| role).map_err(Report::new),
        None => check_all_roles(file),
    };
    let role = role.map_err(CommandError::UsageError)?;
    let value = json!({ "file": file.display().to_string(), "role": role.to_string() });
    Ok(output_format.render(&value, |_| {
        format!("{}: valid settings for role {role}\n", file.display())
    }))
}

/// Returns the JSON schema of a role's settings.
pub(crate) fn schema(role: RoleName) -> String {
    let schema = match role {
        RoleName::Entry => settings::entry_schema(),
        RoleName::Dispatcher => settings::dispatcher_schema(),
        RoleName::Node => settings::node_schema(),
    };
    format!("{schema:#}\n")
}

fn check_role(role: RoleName, file: &Path) -> Result<(), SettingsError> {
    match role {
        RoleName::Entry => settings::load_entry(file).map(|_| ()),
        RoleName::Dispatcher => settings::load_dispatcher(file).map(|_| ()),
        RoleName::Node => settings::load_node(file).map(|_| ()),
    }
}

fn check_all_roles(file: &Path) -> Result<RoleName, Report> {
    let mut errors = Vec::new();
    for role in [RoleName::Entry, RoleName::Dispatcher, RoleName::Node] {
        match check_role(role, file) {
            Ok(()) => return Ok(role),
            Err(error) => errors.push(format!("as {role}: {error}")),
        }
    }
    Err(eyre!("not valid for any role: {}", errors.join("; ")))
}
