//! Reading settings from texts and files, and their JSON schemas.

use std::{fs, path::Path};

use serde::de::DeserializeOwned;
use serde_json::{error::Category, Value};

use crate::{
    error::RuleViolation, DispatcherSettings, EntrySettings, NodeSettings, SettingsError,
    SettingsErrorKind,
};

/// Reads the settings of an entry from a file and validates them.
///
/// # Errors
///
/// [`SettingsError`] with the file, the field with its line and column, and what is wrong.
pub fn load_entry(path: &Path) -> Result<EntrySettings, SettingsError> {
    load(path, EntrySettings::check)
}

/// Reads the settings of a dispatcher from a file and validates them.
///
/// # Errors
///
/// As [`load_entry`].
pub fn load_dispatcher(path: &Path) -> Result<DispatcherSettings, SettingsError> {
    load(path, DispatcherSettings::check)
}

/// Reads the settings of a node from a file and validates them.
///
/// # Errors
///
/// As [`load_entry`].
pub fn load_node(path: &Path) -> Result<NodeSettings, SettingsError> {
    load(path, NodeSettings::check)
}

/// Parses and validates the text of a node's settings.
///
/// # Errors
///
/// As [`load_entry`], but without the file's name.
pub fn parse_node(text: &str) -> Result<NodeSettings, SettingsError> {
    parse(text, NodeSettings::check).map_err(|kind| SettingsError { file: None, kind })
}

/// The JSON schema of a node's settings.
pub fn node_schema() -> Value {
    schemars::schema_for!(NodeSettings).to_value()
}

/// Parses and validates the text of an entry's settings.
///
/// # Errors
///
/// As [`load_entry`], but without the file's name.
pub fn parse_entry(text: &str) -> Result<EntrySettings, SettingsError> {
    parse(text, EntrySettings::check).map_err(|kind| SettingsError { file: None, kind })
}

/// Parses and validates the text of a dispatcher's settings.
///
/// # Errors
///
/// As [`load_entry`], but without the file's name.
pub fn parse_dispatcher(text: &str) -> Result<DispatcherSettings, SettingsError> {
    parse(text, DispatcherSettings::check).map_err(|kind| SettingsError { file: None, kind })
}

/// The JSON schema of an entry's settings.
pub fn entry_schema() -> Value {
    schemars::schema_for!(EntrySettings).to_value()
}

/// The JSON schema of a dispatcher's settings.
pub fn dispatcher_schema() -> Value {
    schemars::schema_for!(DispatcherSettings).to_value()
}

fn load<T: DeserializeOwned>(
    path: &Path,
    check: fn(&T) -> Result<(), RuleViolation>,
) -> Result<T, SettingsError> {
    let in_file = |kind| SettingsError {
        file: Some(path.to_owned()),
        kind,
    };
    let text = fs::read_to_string(path).map_err(|e| in_file(SettingsErrorKind::Unreadable(e)))?;
    parse(&text, check).map_err(in_file)
}

fn parse<T: DeserializeOwned>(
    text: &str,
    check: fn(&T) -> Result<(), RuleViolation>,
) -> Result<T, SettingsErrorKind> {
    // serde also deserialises a struct from an array of its fields in order, so `[]` would be accepted as all defaults.
    if text.trim_start().starts_with('[') {
        return Err(SettingsErrorKind::NotAnObject);
    }
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let settings = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|e| error_kind_at(&e.path().to_string(), e.inner()))?;
    deserializer.end().map_err(|e| error_kind_at(".", &e))?;
    check(&settings)?;
    Ok(settings)
}

fn error_kind_at(path: &str, error: &serde_json::Error) -> SettingsErrorKind {
    let (line, column) = (error.line(), error.column());
    let reason = error_reason(error);
    match error.classify() {
        Category::Data => SettingsErrorKind::InvalidField {
            path: path.to_owned(),
            line,
            column,
            reason,
        },
        Category::Io | Category::Syntax | Category::Eof => SettingsErrorKind::NotJson {
            line,
            column,
            reason,
        },
    }
}

/// Returns the parser's message without line and column, which [`SettingsError`] already prints in front of it.
fn error_reason(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let place = format!(" at line {} column {}", error.line(), error.column());
    let reason = text.strip_suffix(&place).unwrap_or(&text);
    match unit_hint(reason) {
        Some(field) => format!("{reason}; times are in milliseconds: `{field}`"),
        None => reason.to_owned(),
    }
}

/// For an unknown field such as `heartbeat` or `heartbeat_s`, returns the known field with the unit in milliseconds.
fn unit_hint(reason: &str) -> Option<String> {
    let (name, _) = reason.strip_prefix("unknown field `")?.split_once('`')?;
    let stem = ["_s", "_sec", "_secs", "_seconds", "_us", "_min", "_millis"]
        .iter()
        .find_map(|unit| name.strip_suffix(unit))
        .unwrap_or(name);
    let field = format!("{stem}_ms");
    reason.contains(&format!("`{field}`")).then_some(field)
}
