//! HTTP/JSON client of an entry. Each call opens its own connection, as separate callers would.

use std::{net::SocketAddr, time::Duration};

use awc::{Client, ClientResponse};
use base64::{engine::general_purpose::STANDARD, Engine as _};
use model::{ContractVersion, CustomerId, IdempotencyKey, SubmissionId};
use serde::Deserialize;
use serde_json::{json, Value};

use crate::{record::AnswerRecord, script::AnswerStatus};

/// The largest answer read, in bytes: enough for a job of 370 tasks with results of 64 KiB each in base64.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Timeout of every call other than a submission.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The kind of every task that scenarios submit.
const TASK_KIND: &str = "scenario";

/// A submission to send to an entry.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) customer: CustomerId,
    pub(crate) payloads: Vec<Vec<u8>>,
    pub(crate) declared: Duration,
    pub(crate) deadline: Duration,
    pub(crate) deduplication: CallerDedup,
}

/// Whether a submission is a job or a request, and how the entry recognises a repeat of a request.
#[derive(Clone, Debug)]
pub(crate) enum CallerDedup {
    Job,
    Plain,
    Key(IdempotencyKey),
    Ticket(String),
}

#[derive(Deserialize)]
struct AnswerBody {
    id: Option<SubmissionId>,
    status: String,
    #[serde(default)]
    reason: String,
    #[serde(default)]
    results: Vec<String>,
    result: Option<String>,
    contract_version: Option<ContractVersion>,
}

/// Sends a submission and waits for the answer, at most for `timeout`.
pub(crate) async fn submit(
    entry: SocketAddr,
    request: &CallerRequest,
    timeout: Duration,
) -> AnswerRecord {
    let client = client(timeout);
    let path = match request.deduplication {
        CallerDedup::Job => "jobs",
        _ => "requests",
    };
    let mut call = client.post(format!("http://{entry}/v1/{path}"));
    if let CallerDedup::Key(key) = &request.deduplication {
        call = call.insert_header(("Idempotency-Key", key.as_str()));
    }
    match call.send_json(&request_body(request)).await {
        Ok(answer) => read_answer(answer).await,
        Err(error) => lost_answer(format!("no answer: {error}")),
    }
}

/// Gets a ticket for a customer. The error is the reason as text.
pub(crate) async fn get_ticket(entry: SocketAddr, customer: &CustomerId) -> Result<String, String> {
    let call = client(SHORT_CALL_TIMEOUT).post(format!("http://{entry}/v1/tickets"));
    let body = json!({ "customer": customer });
    let mut answer = call
        .send_json(&body)
        .await
        .map_err(|error| error.to_string())?;
    let body: Value = answer.json().await.map_err(|error| error.to_string())?;
    match body["ticket"].as_str() {
        Some(ticket) => Ok(ticket.to_owned()),
        None => Err(body.to_string()),
    }
}

/// Asks an entry to cancel a submission. The reply is ignored, because the answer to the submission shows the outcome.
pub(crate) async fn cancel(entry: SocketAddr, job: bool, id: SubmissionId) {
    let kind = if job { "jobs" } else { "requests" };
    let call = client(SHORT_CALL_TIMEOUT).delete(format!("http://{entry}/v1/{kind}/{id}"));
    if let Err(error) = call.send().await {
        log::warn!("scenario: cancel request for {id} got no answer: {error}");
    }
}

/// Whether a probe of a process, `ready` or `live`, succeeds.
pub(crate) async fn probe(address: SocketAddr, probe: &str) -> bool {
    let call = client(SHORT_CALL_TIMEOUT).get(format!("http://{address}/{probe}"));
    call.send()
        .await
        .is_ok_and(|answer| answer.status().is_success())
}

/// Reads the contracts in force at an entry; `None` if the call fails.
pub(crate) async fn read_contracts(entry: SocketAddr) -> Option<Value> {
    let call = client(SHORT_CALL_TIMEOUT).get(format!("http://{entry}/v1/in-force"));
    let mut answer = call.send().await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    answer.json().await.ok()
}

fn client(timeout: Duration) -> Client {
    Client::builder()
        .timeout(timeout)
        .disable_redirects()
        .finish()
}

fn request_body(request: &CallerRequest) -> Value {
    let declared = request.declared.as_millis();
    let mut tasks = Vec::new();
    for payload in &request.payloads {
        tasks.push(json!({
            "kind": TASK_KIND,
            "payload": STANDARD.encode(payload),
            "declared_run_ms": u64::try_from(declared).unwrap_or(u64::MAX),
        }));
    }
    let deadline = u64::try_from(request.deadline.as_millis()).unwrap_or(u64::MAX);
    let mut body = json!({ "customer": request.customer, "deadline_ms": deadline });
    match &request.deduplication {
        CallerDedup::Job => body["tasks"] = Value::Array(tasks),
        CallerDedup::Plain | CallerDedup::Key(_) => body["task"] = tasks.swap_remove(0),
        CallerDedup::Ticket(ticket) => {
            body["task"] = tasks.swap_remove(0);
            body["ticket"] = Value::String(ticket.clone());
        }
    }
    body
}

async fn read_answer<S>(mut answer: ClientResponse<S>) -> AnswerRecord
where
    S: futures::Stream<Item = Result<actix_web::web::Bytes, awc::error::PayloadError>> + Unpin,
{
    let body = match answer.body().limit(MAX_ANSWER_BYTES).await {
        Ok(body) => body,
        Err(error) => return lost_answer(format!("answer ended early: {error}")),
    };
    let read = serde_json::from_slice(&body).map_err(|error| error.to_string());
    match read.and_then(answer_record) {
        Ok(record) => record,
        Err(error) => lost_answer(format!("invalid answer ({}): {error}", answer.status())),
    }
}

fn answer_record(body: AnswerBody) -> Result<AnswerRecord, String> {
    let status = match body.status.as_str() {
        "complete" => AnswerStatus::Complete,
        "failed" => AnswerStatus::Failed,
        "refused" => AnswerStatus::Refused,
        "unknown" => AnswerStatus::Unknown,
        other => return Err(format!("unknown status {other:?}")),
    };
    let mut results = Vec::new();
    for text in body.results.into_iter().chain(body.result) {
        results.push(STANDARD.decode(text).map_err(|error| error.to_string())?);
    }
    Ok(AnswerRecord {
        id: body.id,
        status,
        reason: body.reason,
        results,
        version: body.contract_version,
    })
}

pub(crate) fn lost_answer(reason: String) -> AnswerRecord {
    AnswerRecord {
        id: None,
        status: AnswerStatus::Lost,
        reason,
        results: Vec::new(),
        version: None,
    }
}
