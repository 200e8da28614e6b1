//! Parsers of words, numbers, times and named fields.

use std::{str::FromStr, time::Duration};

use winnow::{
    ascii::digit1,
    combinator::{alt, cut_err, eof, not, opt, peek, preceded, terminated},
    error::{AddContext as _, ContextError, ErrMode, StrContext, StrContextValue},
    prelude::*,
    token::take_while,
};

use crate::{parse::Input, script::CountBound};

/// Any number of blanks.
pub(super) fn blank0(input: &mut Input<'_>) -> ModalResult<()> {
    take_while(0.., is_blank).void().parse_next(input)
}

fn blank1(input: &mut Input<'_>) -> ModalResult<()> {
    take_while(1.., is_blank).void().parse_next(input)
}

fn is_blank(c: char) -> bool {
    c == ' ' || c == '\t'
}

/// One of several forms. If none matches, the error says that `what` was expected instead of the last form tried.
pub(super) fn one_of<'a, O>(
    what: &'static str,
    mut forms: impl Parser<Input<'a>, O, ErrMode<ContextError>>,
) -> impl Parser<Input<'a>, O, ErrMode<ContextError>> {
    move |input: &mut Input<'a>| {
        blank0(input)?;
        let start = input.checkpoint();
        forms.parse_next(input).map_err(|error| match error {
            ErrMode::Backtrack(_) => {
                input.reset(&start);
                let expected = StrContext::Expected(StrContextValue::Description(what));
                ErrMode::Backtrack(ContextError::new().add_context(input, &start, expected))
            }
            other => other,
        })
    }
}

/// The end of a word.
fn word_end(input: &mut Input<'_>) -> ModalResult<()> {
    peek(alt((eof.void(), blank1))).parse_next(input)
}

/// Exactly this word, with the blanks before it.
pub(super) fn keyword<'a>(text: &'static str) -> impl Parser<Input<'a>, (), ErrMode<ContextError>> {
    (blank0, text, word_end)
        .void()
        .context(StrContext::Expected(StrContextValue::StringLiteral(text)))
}

/// Any word, with the blanks before it, parsed as `T`.
pub(super) fn value<'a, T: FromStr>(
    what: &'static str,
) -> impl Parser<Input<'a>, T, ErrMode<ContextError>> {
    preceded(
        blank0,
        take_while(1.., |c| !is_blank(c)).verify_map(|word: &str| word.parse().ok()),
    )
    .context(StrContext::Expected(StrContextValue::Description(what)))
}

/// A keyword and its value. If the keyword is there, a missing or invalid value is an error without backtracking.
pub(super) fn field<'a, T: FromStr>(
    name: &'static str,
    what: &'static str,
) -> impl Parser<Input<'a>, T, ErrMode<ContextError>> {
    preceded(keyword(name), cut_err(value(what)))
}

/// An optional keyword and its value.
pub(super) fn opt_field<'a, T: FromStr>(
    name: &'static str,
    what: &'static str,
) -> impl Parser<Input<'a>, Option<T>, ErrMode<ContextError>> {
    opt(field(name, what))
}

/// A keyword and a number of milliseconds.
pub(super) fn ms_field<'a>(
    name: &'static str,
) -> impl Parser<Input<'a>, Duration, ErrMode<ContextError>> {
    field(name, "milliseconds").map(Duration::from_millis)
}

/// A time with its unit: `500ms` or `10s`.
pub(super) fn time(input: &mut Input<'_>) -> ModalResult<Duration> {
    let number = digit1.parse_to::<u64>();
    let unit = alt(("ms".value(1), "s".value(1000)));
    preceded(blank0, terminated((number, unit), word_end))
        .map(|(count, unit): (u64, u64)| Duration::from_millis(count * unit))
        .context(StrContext::Expected(StrContextValue::Description(
            "a time like 500ms or 10s",
        )))
        .parse_next(input)
}

/// `at-least N`, `at-most N` or `exactly N`.
pub(super) fn bound(input: &mut Input<'_>) -> ModalResult<CountBound> {
    one_of(
        "at-least, at-most or exactly, and a number",
        alt((
            field("at-least", "a number").map(CountBound::AtLeast),
            field("at-most", "a number").map(CountBound::AtMost),
            field("exactly", "a number").map(CountBound::Exactly),
        )),
    )
    .parse_next(input)
}

/// A name that is not one of `words`, which have another meaning at that place.
pub(super) fn name_except<'a>(
    what: &'static str,
    words: &'static [&'static str],
) -> impl Parser<Input<'a>, String, ErrMode<ContextError>> {
    preceded(
        not(move |input: &mut Input<'a>| one_of_words(words, input)),
        value(what),
    )
}

fn one_of_words(words: &'static [&'static str], input: &mut Input<'_>) -> ModalResult<()> {
    (
        blank0,
        take_while(1.., |c| !is_blank(c)).verify(|word: &str| words.contains(&word)),
    )
        .void()
        .parse_next(input)
}
