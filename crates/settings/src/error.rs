//! Errors of settings.

use std::{fmt, io, path::PathBuf};

use thiserror::Error;

/// The error for settings that cannot be used.
#[derive(Debug, Error)]
pub struct SettingsError {
    /// The file, if the settings came from one.
    pub file: Option<PathBuf>,
    /// What is wrong. The kind is part of this error's message, so [`std::error::Error::source`] does not return it.
    pub kind: SettingsErrorKind,
}

/// What is wrong with settings.
#[derive(Debug, Error)]
pub enum SettingsErrorKind {
    /// The file cannot be read.
    #[error("cannot be read: {0}")]
    Unreadable(io::Error),
    /// The text is not JSON.
    #[error("not JSON: {reason}")]
    NotJson {
        /// The line, from 1.
        line: usize,
        /// The column, from 1; 0 if nothing was read on the line.
        column: usize,
        /// The parser's message.
        reason: String,
    },
    /// The text is a JSON array.
    #[error("must be a JSON object, not a list")]
    NotAnObject,
    /// A field is unknown, of the wrong type or out of range.
    #[error("{path}: {reason}")]
    InvalidField {
        /// The path of the field, for example `drain.notice_ms`; `.` for the whole document.
        path: String,
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
        /// What is wrong.
        reason: String,
    },
    /// A field violates a rule that is checked after parsing: a range, a relation to another field, or a required
    /// value.
    #[error("{path}: {rule}")]
    ViolatedRule {
        /// The path of the field.
        path: &'static str,
        /// The rule that the field violates.
        rule: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.file {
            Some(file) => write!(f, "{}", file.display())?,
            None => f.write_str("settings")?,
        }
        match &self.kind {
            SettingsErrorKind::NotJson { line, column, .. }
            | SettingsErrorKind::InvalidField { line, column, .. } => {
                write!(f, ":{line}:{column}")?
            }
            SettingsErrorKind::Unreadable(_)
            | SettingsErrorKind::NotAnObject
            | SettingsErrorKind::ViolatedRule { .. } => {}
        }
        write!(f, ": {}", self.kind)
    }
}

/// A field that violates a rule which is checked after parsing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RuleViolation {
    pub(crate) path: &'static str,
    pub(crate) rule: &'static str,
}

impl From<RuleViolation> for SettingsErrorKind {
    fn from(RuleViolation { path, rule }: RuleViolation) -> Self {
        Self::ViolatedRule { path, rule }
    }
}
