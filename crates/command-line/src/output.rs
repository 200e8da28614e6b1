//! Output.

use std::io::{self, ErrorKind, Write};

/// Writes to standard output. A reader that has read enough, such as `head`, is no error.
///
/// # Errors
///
/// Any other fault of standard output.
pub fn print_text(text: &str) -> io::Result<()> {
    let mut out = io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(error),
        _ => Ok(()),
    }
}
