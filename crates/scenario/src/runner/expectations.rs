//! `expect` steps: wait for the answers or changes concerned, then compare.

use std::time::{Duration, Instant};

use super::{ScenarioRun, POLL_INTERVAL};
use crate::{
    error::StepError,
    record::{AnswerRecord, SubmissionRecord},
    script::{ChangeStatus, CountBound, Expectation, ExpectedAnswer, Label},
};

/// How long after the deadline an `expect` step still waits for an answer. The invariant checks report late answers.
const ANSWER_GRACE: Duration = Duration::from_secs(5);
/// How long an `expect` step waits for the outcome of an operator's change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

impl ScenarioRun {
    pub(super) async fn expect(&mut self, expectation: &Expectation) -> Result<(), StepError> {
        match expectation {
            Expectation::Answers {
                group,
                bound,
                answers,
            } => {
                let found = self.answers(group).await?;
                check_answers(&found, *bound, answers)
            }
            Expectation::Starts { group, bound } => {
                let count = self.start_count(group)?;
                if bound.holds(count) {
                    return Ok(());
                }
                Err(StepError::Unexpected(format!("{count} starts")))
            }
            Expectation::TurnedAway(bound) => {
                let count = self.turned_away_count();
                if bound.holds(count) {
                    return Ok(());
                }
                Err(StepError::Unexpected(format!("{count} turned away")))
            }
            Expectation::Peak {
                customer,
                bound,
                from,
            } => {
                let count = self.peak(customer, from.as_deref())?;
                if bound.holds(count) {
                    return Ok(());
                }
                Err(StepError::Unexpected(format!("{count} at once")))
            }
            Expectation::SameAnswer(first, second) => self.check_same_answer(first, second).await,
            Expectation::Changes { names, bound, ends } => {
                self.check_changes(names, *bound, ends).await
            }
        }
    }

    /// Waits until every submission of a group is answered and returns them.
    pub(super) async fn answers(&self, group: &str) -> Result<Vec<SubmissionRecord>, StepError> {
        let started = Instant::now();
        loop {
            let members = self.load.group(group)?;
            let (answered, all) = self.load.answered(group)?;
            if answered >= all {
                return Ok(members);
            }
            let deadline = members.iter().map(|record| record.deadline).max();
            let within = deadline.unwrap_or_default() + ANSWER_GRACE;
            let sending = members.len() < all;
            if started.elapsed() > within && !sending {
                let state = format!("{answered} of {all} answered");
                return Err(StepError::TimedOut { within, state });
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn check_same_answer(&self, first: &str, second: &str) -> Result<(), StepError> {
        let first = self.answers(first).await?;
        let second = self.answers(second).await?;
        let mut answers = first
            .iter()
            .chain(&second)
            .filter_map(|record| record.answer.as_ref());
        let Some(reference) = answers.next() else {
            return Err(StepError::Unexpected("no answers".to_owned()));
        };
        for other in answers {
            if (reference.status, &reference.results) != (other.status, &other.results) {
                let (reference, other) = (describe(reference), describe(other));
                return Err(StepError::Unexpected(format!("{reference} and {other}")));
            }
        }
        Ok(())
    }

    async fn check_changes(
        &self,
        names: &[Label],
        bound: Option<CountBound>,
        ends: &[ChangeStatus],
    ) -> Result<(), StepError> {
        let (mut count, mut state) = (0, Vec::new());
        for name in names {
            let outcome = self.change_outcome(name).await?;
            count += usize::from(ends.contains(&outcome.0));
            state.push(format!("{name} {:?}: {}", outcome.0, outcome.1));
        }
        let bound = bound.unwrap_or(CountBound::Exactly(names.len()));
        if bound.holds(count) {
            return Ok(());
        }
        Err(StepError::Unexpected(state.join(", ")))
    }

    async fn change_outcome(&self, name: &str) -> Result<(ChangeStatus, String), StepError> {
        let started = Instant::now();
        loop {
            if let Some(outcome) = self.load.change_outcome(name)? {
                return Ok((outcome.status, outcome.message));
            }
            if started.elapsed() > CHANGE_TIMEOUT {
                return Err(StepError::TimedOut {
                    within: CHANGE_TIMEOUT,
                    state: format!("change {name} is still under way"),
                });
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn check_answers(
    found: &[SubmissionRecord],
    bound: Option<CountBound>,
    expected: &[ExpectedAnswer],
) -> Result<(), StepError> {
    let (mut count, mut others) = (0, Vec::new());
    for submission in found {
        let Some(answer) = &submission.answer else {
            continue;
        };
        if expected
            .iter()
            .any(|expected| matches_expected(answer, expected))
        {
            count += 1;
        } else {
            others.push(format!("{} {}", submission.name, describe(answer)));
        }
    }
    let bound = bound.unwrap_or(CountBound::Exactly(found.len()));
    if bound.holds(count) {
        return Ok(());
    }
    Err(StepError::Unexpected(format!(
        "{count} of {}; others: {}",
        found.len(),
        others.join(", ")
    )))
}

/// Whether an answer has the expected status and, where one is expected, the expected reason.
pub(super) fn matches_expected(answer: &AnswerRecord, expected: &ExpectedAnswer) -> bool {
    let reason = expected.reason.as_ref();
    answer.status == expected.status && reason.is_none_or(|reason| *reason == answer.reason)
}

/// An answer as text.
pub(super) fn describe(answer: &AnswerRecord) -> String {
    format!("{:?} {}", answer.status, answer.reason)
        .trim_end()
        .to_owned()
}
