//! HTTP answers of the endpoint stand-in, correct and faulty.

use std::{
    net::{Shutdown, TcpStream},
    sync::Arc,
    time::Duration,
};

use actix_web::{
    body::SizedStream,
    http::{
        header::{HeaderName, LOCATION},
        StatusCode,
    },
    web::Bytes,
    HttpResponse, HttpResponseBuilder,
};
use futures::stream;
use model::{AttemptId, SubmissionId};

use crate::endpoint::{
    fault::Fault,
    record::{RefusalCause, RunEnd},
};

pub(super) const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
const TASK_STATUS: HeaderName = HeaderName::from_static("task-status");

/// Delay between the bytes of a cut answer and closing the connection, so that the bytes are sent first.
const CUT_PAUSE: Duration = Duration::from_millis(20);

/// The answer of a run before any fault is applied.
#[derive(Clone, Debug)]
pub(super) struct TaskAnswer {
    pub(super) attempt: AttemptId,
    pub(super) end: RunEnd,
    pub(super) body: Vec<u8>,
}

impl TaskAnswer {
    /// Returns the answer that the endpoint interface specifies.
    pub(super) fn into_response(self) -> HttpResponse {
        let attempt = self.attempt;
        self.with_attempt(attempt)
    }

    /// Returns the answer with `fault` applied.
    pub(super) fn into_faulty_response(
        self,
        fault: Fault,
        connection: &Arc<TcpStream>,
    ) -> HttpResponse {
        match fault {
            Fault::WrongAttempt => {
                let other = other_attempt(self.attempt);
                self.with_attempt(other)
            }
            Fault::NoAttempt => HttpResponse::Ok()
                .insert_header((TASK_STATUS, self.status()))
                .body(self.body),
            Fault::CutAnswer => self.cut(connection),
            Fault::CutChunks => self.cut_chunks(connection),
            Fault::Redirect => HttpResponse::TemporaryRedirect()
                .insert_header((LOCATION, "/v1/tasks"))
                .finish(),
            Fault::ServerError => HttpResponse::InternalServerError()
                .insert_header((ATTEMPT_ID, self.attempt.to_string()))
                .finish(),
            _ => self.into_response(),
        }
    }

    fn status(&self) -> &'static str {
        match self.end {
            RunEnd::Done => "done",
            RunEnd::Failed => "failed",
        }
    }

    fn head(&self, attempt: AttemptId) -> HttpResponseBuilder {
        let mut builder = HttpResponse::Ok();
        builder
            .insert_header((ATTEMPT_ID, attempt.to_string()))
            .insert_header((TASK_STATUS, self.status()));
        builder
    }

    fn with_attempt(self, attempt: AttemptId) -> HttpResponse {
        self.head(attempt).body(self.body)
    }

    fn cut(self, connection: &Arc<TcpStream>) -> HttpResponse {
        let size = self.body.len() as u64 + 10;
        let mut builder = self.head(self.attempt);
        builder.body(SizedStream::new(size, cut_body(self.body, connection)))
    }

    fn cut_chunks(self, connection: &Arc<TcpStream>) -> HttpResponse {
        let mut builder = self.head(self.attempt);
        builder.streaming(cut_body(self.body, connection))
    }
}

/// Returns the answer to a task that was refused without being started.
pub(super) fn refuse_task(attempt: AttemptId, cause: RefusalCause) -> HttpResponse {
    let status = match cause {
        RefusalCause::Busy => "busy",
        RefusalCause::Leaving => "leaving",
    };
    HttpResponse::build(StatusCode::SERVICE_UNAVAILABLE)
        .insert_header((ATTEMPT_ID, attempt.to_string()))
        .insert_header((TASK_STATUS, status))
        .finish()
}

/// Streams the bytes, then closes the connection.
fn cut_body(
    body: Vec<u8>,
    connection: &Arc<TcpStream>,
) -> impl stream::Stream<Item = std::io::Result<Bytes>> {
    let connection = Arc::clone(connection);
    stream::unfold(Some(body), move |body| {
        let connection = Arc::clone(&connection);
        async move {
            match body {
                Some(body) => Some((Ok(Bytes::from(body)), None)),
                None => {
                    actix_rt::time::sleep(CUT_PAUSE).await;
                    let _ = connection.shutdown(Shutdown::Both);
                    Some((Err(std::io::ErrorKind::ConnectionAborted.into()), None))
                }
            }
        }
    })
}

fn other_attempt(attempt: AttemptId) -> AttemptId {
    AttemptId {
        submission: SubmissionId {
            serial: attempt.submission.serial.wrapping_add(1),
            ..attempt.submission
        },
        ..attempt
    }
}
