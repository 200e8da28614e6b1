//! From the command line to the exit code.

use std::process::ExitCode;

use bpaf::{Args, OptionParser, ParseFailure};
use eyre::Report;

/// The widest line of help.
const HELP_WIDTH: usize = 100;

/// What a process ends with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// It did what was asked.
    Success = 0,
    /// It could not: a failure at run time.
    Failure = 1,
    /// It was asked wrongly: the command line or the settings.
    UsageError = 2,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Why a command did not do what was asked.
#[derive(Debug)]
pub enum CommandError {
    /// A failure at run time.
    Failure(Report),
    /// Wrong arguments or settings.
    UsageError(Report),
}

impl From<Report> for CommandError {
    fn from(report: Report) -> Self {
        Self::Failure(report)
    }
}

/// Reads the command line. Help and completion go to standard output.
///
/// # Errors
///
/// Returns the code to exit with where nothing is left to do.
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

/// Says on standard error what went wrong, in one line with its cause, and gives the exit code. With `verbose` the
/// whole report follows.
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
