//! Output to standard output.

use std::io::{self, ErrorKind, Write};

/// Writes a text to standard output. A closed pipe is not an error, because readers such as `head` stop early.
///
/// # Errors
///
/// Any other I/O error of standard output.
pub fn print_text(text: &str) -> io::Result<()> {
    let mut out = io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(error),
        _ => Ok(()),
    }
}
