//! Structured log lines on standard output: one JSON object for each decision or change of belief.
//!
//! Writing never blocks the thread that decides: lines gather in a bounded buffer, which a thread of its own writes
//! out a few times a second. When the reader is slow, plain lines are dropped first, then all; dropped lines are
//! counted, and the count is the next line that gets through.

use std::{
    fmt::{self, Write as _},
    io::Write as _,
    sync::mpsc::{sync_channel, SyncSender, TrySendError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// From this size on plain lines are dropped, in bytes. A busy process writes some 60 KB a second.
const ROUTINE_LIMIT_BYTES: usize = 192 * 1024;

/// From this size on all lines are dropped, in bytes.
const BUFFER_LIMIT_BYTES: usize = 256 * 1024;

/// Buffers on their way to the writer.
const WRITER_QUEUE_BUFFERS: usize = 2;

/// The most that is written in one go, in bytes: what a pipe takes whole or not at all. A reader that takes lines from
/// several processes would otherwise see them cut in the middle.
const ATOMIC_WRITE_BYTES: usize = 4 * 1024;

/// How much a line matters when there is no room for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// The usual course of a request.
    Routine,
    /// A refusal, a failure, or a change of what the process believes.
    Important,
}

/// Gathers lines and hands them to the writing thread.
pub struct EventLog {
    buffer: Vec<u8>,
    dropped: u64,
    writer: Option<SyncSender<Vec<u8>>>,
}

impl EventLog {
    /// A log that writes to standard output.
    pub fn to_stdout() -> Self {
        let (sender, receiver) = sync_channel::<Vec<u8>>(WRITER_QUEUE_BUFFERS);
        std::thread::spawn(move || {
            let mut out = std::io::stdout();
            for buffer in receiver {
                for chunk in split_at_line_ends(&buffer) {
                    // Where standard output is gone nobody reads, and there is nowhere else to say so.
                    if out.write_all(chunk).and_then(|()| out.flush()).is_err() {
                        return;
                    }
                }
            }
        });
        Self {
            buffer: Vec::new(),
            dropped: 0,
            writer: Some(sender),
        }
    }

    /// A log that only gathers, for tests and for processes without one.
    pub fn in_memory() -> Self {
        Self {
            buffer: Vec::new(),
            dropped: 0,
            writer: None,
        }
    }

    /// Takes a line, or counts it as dropped.
    pub fn add(&mut self, kind: EventKind, line: EventLine) {
        let limit = match kind {
            EventKind::Routine => ROUTINE_LIMIT_BYTES,
            EventKind::Important => BUFFER_LIMIT_BYTES,
        };
        if self.buffer.len() + line.text.len() > limit {
            self.dropped += 1;
            return;
        }
        self.buffer.extend_from_slice(line.text.as_bytes());
        self.buffer.extend_from_slice(b"}\n");
    }

    /// Hands what has gathered to the writer. What the writer cannot take yet stays.
    pub fn flush(&mut self) {
        if self.dropped > 0 && self.buffer.len() < ROUTINE_LIMIT_BYTES {
            let dropped = std::mem::take(&mut self.dropped);
            let line = EventLine::new("log_lines_dropped").number("count", dropped);
            self.add(EventKind::Important, line);
        }
        let Some(writer) = self.writer.as_ref().filter(|_| !self.buffer.is_empty()) else {
            return;
        };
        match writer.try_send(std::mem::take(&mut self.buffer)) {
            Ok(()) => (),
            Err(TrySendError::Full(buffer)) => self.buffer = buffer,
            // Standard output is gone; the lines have no reader.
            Err(TrySendError::Disconnected(_)) => self.writer = None,
        }
    }

    /// The lines that have gathered, as text.
    pub fn buffered_text(&self) -> String {
        String::from_utf8_lossy(&self.buffer).into_owned()
    }
}

/// Cuts a buffer into pieces of whole lines that a pipe takes in one go.
fn split_at_line_ends(buffer: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = buffer;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let window = &rest[..rest.len().min(ATOMIC_WRITE_BYTES)];
        let end = window.iter().rposition(|byte| *byte == b'\n');
        // A line longer than a chunk goes out as it is.
        let end = end.or_else(|| rest.iter().position(|byte| *byte == b'\n'));
        let (chunk, after) = rest.split_at(end.map_or(rest.len(), |end| end + 1));
        rest = after;
        Some(chunk)
    })
}

/// One line under construction.
pub struct EventLine {
    text: String,
}

impl EventLine {
    /// A line of an event, with the time of day in milliseconds.
    pub fn new(event: &'static str) -> Self {
        let millis = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let mut text = String::with_capacity(160);
        let _infallible = write!(text, r#"{{"at_ms":{millis},"event":"{event}""#);
        Self { text }
    }

    /// Adds a text.
    pub fn text(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        let _infallible = write!(self.text, r#","{name}":""#);
        let _infallible = write!(EscapeWriter(&mut self.text), "{value}");
        self.text.push('"');
        self
    }

    /// Adds a whole number.
    pub fn number(mut self, name: &'static str, value: impl Into<i128>) -> Self {
        let _infallible = write!(self.text, r#","{name}":{}"#, value.into());
        self
    }

    /// Adds a time in milliseconds, with tenths.
    pub fn millis(mut self, name: &'static str, value: Duration) -> Self {
        let millis = value.as_secs_f64() * 1000.0;
        let _infallible = write!(self.text, r#","{name}":{millis:.1}"#);
        self
    }
}

/// Escapes what JSON does not allow in a text.
struct EscapeWriter<'a>(&'a mut String);

impl fmt::Write for EscapeWriter<'_> {
    fn write_str(&mut self, s: &str) -> fmt::Result {
        for c in s.chars() {
            match c {
                '"' | '\\' => {
                    self.0.push('\\');
                    self.0.push(c);
                }
                c if c.is_control() => write!(self.0, "\\u{:04x}", u32::from(c))?,
                c => self.0.push(c),
            }
        }
        Ok(())
    }
}
