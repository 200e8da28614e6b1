//! Structured log lines on standard output: one JSON object for each decision or change of the process's state.
//!
//! Logging never blocks the caller: lines are collected in a bounded buffer, which is flushed a few times a second to
//! a separate writer thread. If the reader of standard output is slow, routine lines are dropped first, then all
//! lines. Dropped lines are counted, and the count is logged as soon as the buffer has space again.

use std::{
    fmt::{self, Write as _},
    io::Write as _,
    sync::mpsc::{sync_channel, SyncSender, TrySendError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Buffer size in bytes beyond which routine lines are dropped. A busy process writes about 60 KB per second.
const ROUTINE_LIMIT_BYTES: usize = 192 * 1024;

/// Buffer size in bytes beyond which all lines are dropped.
const BUFFER_LIMIT_BYTES: usize = 256 * 1024;

/// Capacity of the queue to the writer thread, in buffers.
const WRITER_QUEUE_BUFFERS: usize = 2;

/// Maximum size of one write, in bytes: a pipe takes a write of this size atomically. Larger writes of several
/// processes to one pipe could be interleaved in the middle of a line.
const ATOMIC_WRITE_BYTES: usize = 4 * 1024;

/// The importance of a line, which decides whether it is dropped when the buffer is nearly full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// A step in the normal course of a request.
    Routine,
    /// A refusal, a failure, or a change of the process's view of its surroundings.
    Important,
}

/// Buffers log lines and passes them to the writer thread.
pub struct EventLog {
    buffer: Vec<u8>,
    dropped: u64,
    writer: Option<SyncSender<Vec<u8>>>,
}

impl EventLog {
    /// Creates a log that writes to standard output, and starts its writer thread.
    pub fn to_stdout() -> Self {
        let (sender, receiver) = sync_channel::<Vec<u8>>(WRITER_QUEUE_BUFFERS);
        std::thread::spawn(move || {
            let mut out = std::io::stdout();
            for buffer in receiver {
                for chunk in split_at_line_ends(&buffer) {
                    // Standard output is closed, and there is nowhere else to report the error.
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

    /// Creates a log that only buffers lines, for tests and for processes without a log.
    pub fn in_memory() -> Self {
        Self {
            buffer: Vec::new(),
            dropped: 0,
            writer: None,
        }
    }

    /// Appends a line, or counts it as dropped if the buffer is too full for its kind.
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

    /// Passes the buffered lines to the writer thread. If its queue is full, they stay buffered.
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
            // The writer thread ended because standard output is closed, so the lines are dropped.
            Err(TrySendError::Disconnected(_)) => self.writer = None,
        }
    }

    /// The buffered lines as text.
    pub fn buffered_text(&self) -> String {
        String::from_utf8_lossy(&self.buffer).into_owned()
    }
}

/// Splits a buffer at line ends into chunks that a pipe takes atomically.
fn split_at_line_ends(buffer: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = buffer;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let window = &rest[..rest.len().min(ATOMIC_WRITE_BYTES)];
        let end = window.iter().rposition(|byte| *byte == b'\n');
        // A line longer than the limit becomes a chunk of its own.
        let end = end.or_else(|| rest.iter().position(|byte| *byte == b'\n'));
        let (chunk, after) = rest.split_at(end.map_or(rest.len(), |end| end + 1));
        rest = after;
        Some(chunk)
    })
}

/// Builder of one log line.
pub struct EventLine {
    text: String,
}

impl EventLine {
    /// Starts the line of an event with the current time, in milliseconds since the Unix epoch.
    pub fn new(event: &'static str) -> Self {
        let millis = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let mut text = String::with_capacity(160);
        let _infallible = write!(text, r#"{{"at_ms":{millis},"event":"{event}""#);
        Self { text }
    }

    /// Adds a text field.
    pub fn text(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        let _infallible = write!(self.text, r#","{name}":""#);
        let _infallible = write!(EscapeWriter(&mut self.text), "{value}");
        self.text.push('"');
        self
    }

    /// Adds an integer field.
    pub fn number(mut self, name: &'static str, value: impl Into<i128>) -> Self {
        let _infallible = write!(self.text, r#","{name}":{}"#, value.into());
        self
    }

    /// Adds a duration field in milliseconds, rounded to tenths.
    pub fn millis(mut self, name: &'static str, value: Duration) -> Self {
        let millis = value.as_secs_f64() * 1000.0;
        let _infallible = write!(self.text, r#","{name}":{millis:.1}"#);
        self
    }
}

/// Escapes the characters that JSON does not allow in a string.
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
