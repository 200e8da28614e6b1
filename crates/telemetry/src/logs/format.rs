//! The two forms of a line.

use std::{
    fmt::Write as _,
    io::{self, Write},
};

use flexi_logger::DeferredNow;
use log::Record;
use serde::Serialize;

use super::part_of;

const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3fZ";

/// `2026-01-31T09:30:00.000Z INFO entry: message`.
pub(super) fn write_text(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    write!(
        out,
        "{} {} {}: {}",
        now.now_utc_owned().format(TIME_FORMAT),
        record.level(),
        part_of(record.target()),
        one_line(&record.args().to_string()),
    )
}

/// One JSON object with `time`, `level`, `part` and `message`.
pub(super) fn write_json(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let line = JsonLine {
        time: now.now_utc_owned().format(TIME_FORMAT).to_string(),
        level: record.level().as_str(),
        part: part_of(record.target()).as_str(),
        message: record.args().to_string(),
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

/// Escapes control characters. A line break in an error's text would otherwise look like a message of its own.
fn one_line(text: &str) -> String {
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
