//! The text and JSON formats of log lines.

use std::{
    fmt::Write as _,
    io::{self, Write},
};

use flexi_logger::DeferredNow;
use log::Record;
use serde::Serialize;
use settings::LogPart;

use super::part_of;

const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3fZ";

/// Writes a line such as `2026-01-31T09:30:00.000Z INFO entry: message`.
pub(super) fn write_text(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let part = part_of(record.target());
    write!(
        out,
        "{} {} {part}: {}",
        now.now_utc_owned().format(TIME_FORMAT),
        record.level(),
        escape_control_chars(&message_of(record, part)),
    )
}

/// Writes a JSON object with `time`, `level`, `part` and `message`.
pub(super) fn write_json(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let part = part_of(record.target());
    let line = JsonLine {
        time: now.now_utc_owned().format(TIME_FORMAT).to_string(),
        level: record.level().as_str(),
        part: part.as_str(),
        message: message_of(record, part),
    };
    serde_json::to_writer(out, &line).map_err(io::Error::from)
}

#[derive(Serialize)]
struct JsonLine<'a> {
    time: String,
    level: &'a str,
    part: &'a str,
    message: String,
}

/// The message without a leading `<part>: `, which some messages contain themselves.
fn message_of(record: &Record<'_>, part: LogPart) -> String {
    let text = record.args().to_string();
    let without_prefix = text
        .strip_prefix(part.as_str())
        .and_then(|rest| rest.strip_prefix(": "));
    match without_prefix {
        Some(rest) => rest.to_owned(),
        None => text,
    }
}

/// Escapes control characters, so that a line break in an error text does not look like a separate message.
fn escape_control_chars(text: &str) -> String {
    let mut line = String::with_capacity(text.len());
    for c in text.chars() {
        if !c.is_control() {
            line.push(c);
            continue;
        }
        // Writing to a string cannot fail.
        let _ = write!(line, "{}", c.escape_default());
    }
    line
}
