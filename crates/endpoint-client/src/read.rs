//! Reading of an answer, with checks that it is complete and belongs to the attempt.

use awc::{
    error::PayloadError,
    http::{
        header::{HeaderName, CONTENT_LENGTH, TRANSFER_ENCODING},
        StatusCode,
    },
    ClientResponse,
};
use futures::{Stream, StreamExt as _};
use model::{AttemptEnd, AttemptId, Payload, RetryReason, TaskResult, MAX_PAYLOAD_BYTES};

use crate::classify::CallError;

pub(crate) const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
const TASK_STATUS: HeaderName = HeaderName::from_static("task-status");

/// The task's status in the head of an answer.
enum AnswerHead {
    Done,
    Failed,
    NotRun(RetryReason),
}

/// Reads the answer to an attempt and returns how the attempt ended.
pub(crate) async fn read_answer<S, E>(
    response: ClientResponse<S>,
    attempt: AttemptId,
) -> Result<AttemptEnd, CallError>
where
    S: Stream<Item = Result<E, PayloadError>> + Unpin,
    ClientResponse<S>: Stream<Item = Result<E, PayloadError>> + Unpin,
    E: AsRef<[u8]>,
{
    match read_head(&response, attempt)? {
        AnswerHead::Done => {
            let size = read_content_length(&response)?;
            let payload = Payload::from(read_body(response, size).await?);
            Ok(AttemptEnd::Done(TaskResult { payload }))
        }
        AnswerHead::Failed => Ok(AttemptEnd::Failed),
        AnswerHead::NotRun(reason) => Ok(AttemptEnd::NotRun(reason)),
    }
}

fn read_head<S>(response: &ClientResponse<S>, attempt: AttemptId) -> Result<AnswerHead, CallError> {
    let text = |name| response.headers().get(name)?.to_str().ok();
    let echoed = text(ATTEMPT_ID).and_then(|text| text.parse().ok());
    // An answer to another attempt, even a "busy", says nothing about this attempt.
    if echoed != Some(attempt) {
        return Err(CallError::BrokenAnswer("wrong attempt id"));
    }
    match (response.status(), text(TASK_STATUS)) {
        (StatusCode::OK, Some("done")) => Ok(AnswerHead::Done),
        (StatusCode::OK, Some("failed")) => Ok(AnswerHead::Failed),
        (StatusCode::SERVICE_UNAVAILABLE, Some("busy")) => {
            Ok(AnswerHead::NotRun(RetryReason::EndpointBusy))
        }
        (StatusCode::SERVICE_UNAVAILABLE, Some("leaving")) => {
            Ok(AnswerHead::NotRun(RetryReason::EndpointLeaving))
        }
        _ => Err(CallError::BrokenAnswer("unknown status")),
    }
}

/// Reads the body's size from the `content-length` header, which every answer with a result must have. Without it a
/// truncated answer could not be told from a complete one, because the HTTP library ends a body without an error when
/// the connection closes.
fn read_content_length<S>(response: &ClientResponse<S>) -> Result<usize, CallError> {
    if response.headers().contains_key(TRANSFER_ENCODING) {
        return Err(CallError::BrokenAnswer("no content length"));
    }
    let size = response
        .headers()
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<u64>().ok())
        .ok_or(CallError::BrokenAnswer("no content length"))?;
    if size > MAX_PAYLOAD_BYTES.0 {
        return Err(CallError::BrokenAnswer("too large"));
    }
    usize::try_from(size).map_err(|_| CallError::BrokenAnswer("too large"))
}

async fn read_body<S, E>(mut response: S, size: usize) -> Result<Vec<u8>, CallError>
where
    S: Stream<Item = Result<E, PayloadError>> + Unpin,
    E: AsRef<[u8]>,
{
    let mut body = Vec::with_capacity(size);
    while let Some(chunk) = response.next().await {
        match chunk {
            Ok(chunk) => body.extend_from_slice(chunk.as_ref()),
            Err(PayloadError::Io(error)) => {
                return Err(CallError::ConnectionLost(error.to_string()))
            }
            Err(_) => return Err(CallError::BrokenAnswer("cut short")),
        }
    }
    // The library ends the body without an error when the connection closes early, so that the bytes received so far
    // would be taken for the whole answer.
    if body.len() != size {
        return Err(CallError::BrokenAnswer("cut short"));
    }
    Ok(body)
}
