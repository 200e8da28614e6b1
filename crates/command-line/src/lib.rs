//! What both binaries do alike: exit codes, one line for an error, output into a pipe.

mod exit;
mod output;

pub use crate::{
    exit::{finish, parse, CommandFault, ExitStatus},
    output::print_text,
};
