//! What both binaries do alike: exit codes, one line for an error, output into a pipe.

mod exit;
mod output;

pub use crate::{
    exit::{parse, report_exit_status, CommandError, ExitStatus},
    output::print_text,
};
