//! Parsing of the command line, and exit codes.

use std::process::ExitCode;

use bpaf::{Args, OptionParser, ParseFailure};
use eyre::Report;

/// The width of help texts, in characters.
const HELP_WIDTH: usize = 100;

/// The exit status of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The command failed at run time.
    Failure = 1,
    /// The command line or the settings are wrong.
    UsageError = 2,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// A failure at run time.
    Failure(Report),
    /// The arguments or settings are wrong.
    UsageError(Report),
}

impl From<Report> for CommandError {
    fn from(report: Report) -> Self {
        Self::Failure(report)
    }
}

/// Parses the command line. Prints help and completions to standard output and errors to standard error.
///
/// # Errors
///
/// The exit code, if the command line is wrong or asked only for help or completions.
pub fn parse<T>(name: &str, parser: OptionParser<T>) -> Result<T, ExitCode> {
    let failure = match parser.max_width(HELP_WIDTH).run_inner(Args::current_args()) {
        Ok(options) => return Ok(options),
        Err(failure) => failure,
    };
    match failure {
        ParseFailure::Stderr(message) => {
            let message = message.monochrome(true);
            eprintln!("{name}: {}", single_line(&message));
            Err(ExitStatus::UsageError.into())
        }
        help @ (ParseFailure::Stdout(..) | ParseFailure::Completion(_)) => {
            help.print_message(HELP_WIDTH);
            Err(ExitStatus::Success.into())
        }
    }
}

/// Prints the error of a command with its causes in one line to standard error and returns the exit code. With
/// `verbose`, the whole report follows.
pub fn report_exit_status(name: &str, verbose: bool, result: Result<(), CommandError>) -> ExitCode {
    let (status, report) = match result {
        Ok(()) => return ExitStatus::Success.into(),
        Err(CommandError::Failure(report)) => (ExitStatus::Failure, report),
        Err(CommandError::UsageError(report)) => (ExitStatus::UsageError, report),
    };
    eprintln!("{name}: {}", single_line(&format!("{report:#}")));
    if verbose {
        eprintln!("\n{report:?}");
    }
    status.into()
}

fn single_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
