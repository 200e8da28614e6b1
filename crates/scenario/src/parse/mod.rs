//! Parser of the scenario language. The language is described in `docs/SCENARIOS.md`.

mod contract;
mod setup;
mod step;
mod word;

use thiserror::Error;
use winnow::{
    combinator::{alt, eof, terminated},
    error::{ContextError, ParseError},
    prelude::*,
    stream::{LocatingSlice, Location as _},
};

use crate::script::{Script, ScriptLine, Statement};

type Input<'a> = LocatingSlice<&'a str>;

/// Why a text is not a valid scenario.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ScriptError {
    /// A line is not a valid statement.
    #[error("line {line}, column {column}: {expected}\n  {text}")]
    Syntax {
        /// The line number, from 1.
        line: usize,
        /// The column number, from 1.
        column: usize,
        /// What was expected at that column.
        expected: String,
        /// The text of the line.
        text: String,
    },
    /// A set-up line follows the first step.
    #[error("line {0}: set-up line after the first step")]
    LateSetup(usize),
    /// There is no data-centre line.
    #[error("no data-centre line")]
    NoDataCentre,
}

/// Parses a scenario.
///
/// # Errors
///
/// Reports the first invalid line, with the column and what was expected there, or a missing data-centre line.
pub fn parse_script(text: &str) -> Result<Script, ScriptError> {
    let mut lines = Vec::new();
    let mut seen_step = false;
    for (index, line) in text.lines().enumerate() {
        let number = index + 1;
        let text = line.split('#').next().unwrap_or_default().trim_end();
        if text.trim().is_empty() {
            continue;
        }
        let statement = parse_line(number, text)?;
        match statement {
            Statement::Setup(_) if seen_step => return Err(ScriptError::LateSetup(number)),
            Statement::Setup(_) => {}
            Statement::Step(_) => seen_step = true,
        }
        lines.push(ScriptLine {
            number,
            text: text.trim().to_owned(),
            statement,
        });
    }
    if !lines
        .iter()
        .any(|line| setup::is_data_centre(&line.statement))
    {
        return Err(ScriptError::NoDataCentre);
    }
    Ok(Script { lines })
}

fn parse_line(number: usize, text: &str) -> Result<Statement, ScriptError> {
    let statement = word::one_of(
        "a statement",
        alt((
            setup::setup.map(Statement::Setup),
            step::step.map(Statement::Step),
        )),
    );
    terminated(statement, (word::blank0, eof))
        .parse(LocatingSlice::new(text))
        .map_err(|error| syntax_error(number, text, &error))
}

fn syntax_error(
    line: usize,
    text: &str,
    error: &ParseError<Input<'_>, ContextError>,
) -> ScriptError {
    let expected = error.inner().to_string().replace('\n', ", ");
    let expected = match expected.as_str() {
        "" => "not expected here".to_owned(),
        _ => expected,
    };
    ScriptError::Syntax {
        line,
        column: error.input().current_token_start() + error.offset() + 1,
        expected,
        text: text.to_owned(),
    }
}
