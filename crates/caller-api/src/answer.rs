//! Renders answers as an HTTP status and a JSON body.

use std::time::Duration;

use model::{Payload, RefusalReason, SubmissionId, SubmissionOutcome};
use serde::Serialize;

use crate::{CallerAnswer, SubmissionAnswer};

/// An answer as an HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenderedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body.
    pub json: Vec<u8>,
    /// The delay before a retry, for the `Retry-After` header.
    pub retry_after: Option<Duration>,
}

/// Renders an answer. Complete, failed and unknown are outcomes of the submission itself and have status 200. A refused
/// submission ran nothing and has status 4xx or 503, which tells clients and load balancers that they may retry.
pub fn render_answer(answer: &CallerAnswer) -> RenderedAnswer {
    match answer {
        CallerAnswer::Local(answer) => render_submission(answer),
        CallerAnswer::Pending(id) => {
            let body = AnswerBody {
                id: Some(*id),
                status: "pending",
                ..AnswerBody::default()
            };
            RenderedAnswer {
                status: 202,
                json: to_json(&body),
                retry_after: None,
            }
        }
        CallerAnswer::Forwarded { status, json } => RenderedAnswer {
            status: *status,
            json: json.clone(),
            retry_after: None,
        },
    }
}

#[derive(Debug, Default, Serialize)]
struct AnswerBody<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    id: Option<SubmissionId>,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    results: Option<Vec<&'a Payload>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    result: Option<&'a Payload>,
    #[serde(skip_serializing_if = "Option::is_none")]
    contract_version: Option<u64>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    stale_contract: bool,
}

fn render_submission(answer: &SubmissionAnswer) -> RenderedAnswer {
    let mut body = AnswerBody {
        id: answer.id,
        contract_version: answer.version.map(|version| version.0),
        stale_contract: answer.stale,
        ..AnswerBody::default()
    };
    let mut status = 200;
    let mut wait = None;
    match answer.outcome.as_ref() {
        SubmissionOutcome::Complete(results) => {
            body.status = "complete";
            let mut payloads = results.iter().map(|result| &result.payload);
            if answer.job {
                body.results = Some(payloads.collect());
            } else {
                body.result = payloads.next();
            }
        }
        SubmissionOutcome::Failed(reason) => {
            body.status = "failed";
            body.reason = Some(reason.as_str());
        }
        SubmissionOutcome::Refused {
            reason,
            retry_after,
        } => {
            body.status = "refused";
            body.reason = Some(reason.as_str());
            body.retry_after_ms = retry_after.map(|wait| wait.as_millis() as u64);
            status = refusal_status(*reason);
            wait = *retry_after;
        }
        SubmissionOutcome::Unknown(reason) => {
            body.status = "unknown";
            body.reason = Some(reason.as_str());
        }
    }
    RenderedAnswer {
        status,
        json: to_json(&body),
        retry_after: wait,
    }
}

/// The status of a refusal: 4xx where the caller has to change the submission, 429 where the caller exceeds its
/// concurrency, 503 where waiting is enough.
pub(crate) fn refusal_status(reason: RefusalReason) -> u16 {
    match reason {
        RefusalReason::BadInput | RefusalReason::WrongDeadline => 400,
        RefusalReason::RetiredCustomer => 403,
        RefusalReason::UnknownCustomer => 404,
        RefusalReason::Cancelled | RefusalReason::KeyReused => 409,
        RefusalReason::TooManyTasks | RefusalReason::PayloadTooLarge => 413,
        RefusalReason::CanNeverRun => 422,
        RefusalReason::OverConcurrency => 429,
        RefusalReason::PredictedLate
        | RefusalReason::Overloaded
        | RefusalReason::NoCapacity
        | RefusalReason::DeadlinePassed
        | RefusalReason::RetryBudgetSpent
        | RefusalReason::Stopping
        | RefusalReason::KeyNotRecorded
        | RefusalReason::ConfigNotReady => 503,
    }
}

fn to_json(body: &impl Serialize) -> Vec<u8> {
    // These bodies hold only strings, numbers, booleans and lists, whose serialisation cannot fail.
    serde_json::to_vec(body).unwrap_or_default()
}
