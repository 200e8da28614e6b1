//! Helpers that both binaries share: exit codes, errors in one line, and output to pipes.

mod exit;
mod output;

pub use crate::{
    exit::{parse, report_exit_status, CommandError, ExitStatus},
    output::print_text,
};
