//! Renders JSON values as output.

use std::fmt::Write as _;

use serde_json::Value;

/// The format of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    /// Text for people.
    Text,
    /// JSON for programs.
    Json,
}

impl OutputFormat {
    pub(crate) fn from_json_flag(json: bool) -> Self {
        if json {
            Self::Json
        } else {
            Self::Text
        }
    }

    /// Renders the value as JSON, or as text by `text`.
    pub(crate) fn render(self, value: &Value, text: impl FnOnce(&Value) -> String) -> String {
        match self {
            Self::Text => text(value),
            Self::Json => format!("{value:#}\n"),
        }
    }
}

/// Renders rows as aligned columns, each as wide as its widest cell.
pub(crate) fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let mut widths = vec![0; columns];
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    for row in rows {
        let mut line = String::new();
        for (width, cell) in widths.iter().zip(row) {
            // Writing to a string cannot fail.
            let _ = write!(line, "{cell:<width$}  ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Flattens a value to rows of a field path, such as `slots.running`, and the field's value.
pub(crate) fn flat_rows(value: &Value) -> Vec<Vec<String>> {
    let mut rows = Vec::new();
    push_rows("", value, &mut rows);
    rows
}

/// Renders a value as one cell. Text has no quotes, and control characters are escaped: responses of an entry may
/// contain text from a caller, which must not control the operator's terminal.
pub(crate) fn cell(value: &Value) -> String {
    let text = match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    };
    let mut plain = String::with_capacity(text.len());
    for c in text.chars() {
        if c.is_control() {
            plain.extend(c.escape_default());
            continue;
        }
        plain.push(c);
    }
    plain
}

fn push_rows(path: &str, value: &Value, rows: &mut Vec<Vec<String>>) {
    let below = |key: &str| match path {
        "" => key.to_owned(),
        _ => format!("{path}.{key}"),
    };
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (key, field) in fields {
                push_rows(&below(key), field, rows);
            }
        }
        Value::Array(items) if items.iter().any(|item| item.is_object() || item.is_array()) => {
            for (index, item) in items.iter().enumerate() {
                push_rows(&below(&index.to_string()), item, rows);
            }
        }
        _ => rows.push(vec![cell(&Value::from(path)), cell(value)]),
    }
}
