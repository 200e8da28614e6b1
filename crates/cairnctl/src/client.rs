//! A client of an entry's HTTP API.

use std::{net::SocketAddr, time::Duration};

use awc::{
    error::{ConnectError, SendRequestError},
    http::Method,
    Client,
};
use serde_json::Value;
use thiserror::Error;

/// The time limit of one call. A change waits for the platform's write, which may be slow.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// The largest response body, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A client of one entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryClient {
    entry: SocketAddr,
}

/// One HTTP call.
#[derive(Clone, Debug)]
pub(crate) struct EntryCall {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Option<Value>,
}

impl EntryCall {
    /// Creates a call that only reads.
    pub(crate) fn get(path: String) -> Self {
        Self {
            method: Method::GET,
            path,
            headers: Vec::new(),
            body: None,
        }
    }
}

/// Why a call failed.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    /// No connection could be opened, so nothing was sent.
    #[error("entry {entry} cannot be reached, nothing was changed: {cause}")]
    Unreachable { entry: SocketAddr, cause: String },
    /// The call may have been sent, but no complete and definite response arrived.
    #[error("entry {entry} gave no definite answer: {cause}")]
    AnswerLost { entry: SocketAddr, cause: String },
    /// The entry refused the call and did nothing.
    #[error("entry {entry} refused with status {status}: {reason}")]
    Refused {
        entry: SocketAddr,
        status: u16,
        reason: String,
    },
    /// The async runtime could not start.
    #[error("cannot start the async runtime: {0}")]
    Runtime(std::io::Error),
}

impl EntryClient {
    pub(crate) fn new(entry: SocketAddr) -> Self {
        Self { entry }
    }

    /// Makes one call and returns the body of a successful response.
    pub(crate) fn call(&self, call: &EntryCall) -> Result<Value, CallError> {
        let runtime = actix_rt::Runtime::new().map_err(CallError::Runtime)?;
        runtime.block_on(self.exchange(call))
    }

    async fn exchange(&self, call: &EntryCall) -> Result<Value, CallError> {
        let client = Client::builder().timeout(CALL_TIMEOUT).finish();
        let url = format!("http://{}{}", self.entry, call.path);
        let mut request = client.request(call.method.clone(), url);
        for (name, value) in &call.headers {
            request = request.insert_header((*name, value.as_str()));
        }
        let sent = match &call.body {
            Some(body) => request.send_json(body),
            None => request.send(),
        };
        let mut response = sent.await.map_err(|error| self.send_error(&error))?;
        let status = response.status().as_u16();
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| self.answer_lost(error.to_string()))?;
        let value = serde_json::from_slice(&body);
        match status {
            200..=299 => value.map_err(|error| self.answer_lost(format!("not JSON: {error}"))),
            // Only 503 guarantees that nothing was done; the other server errors may occur after the write.
            500..=599 if status != 503 => Err(self.answer_lost(format!(
                "status {status}, {}",
                refusal_text(value.ok().as_ref())
            ))),
            _ => Err(CallError::Refused {
                entry: self.entry,
                status,
                reason: refusal_text(value.ok().as_ref()),
            }),
        }
    }

    fn send_error(&self, error: &SendRequestError) -> CallError {
        match error {
            // awc reports this when an open connection breaks before a response, so the call may have been sent.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                self.answer_lost("the connection broke".to_owned())
            }
            SendRequestError::Connect(cause) => CallError::Unreachable {
                entry: self.entry,
                cause: cause.to_string(),
            },
            other => self.answer_lost(other.to_string()),
        }
    }

    fn answer_lost(&self, cause: String) -> CallError {
        CallError::AnswerLost {
            entry: self.entry,
            cause,
        }
    }
}

fn refusal_text(body: Option<&Value>) -> String {
    let mut parts = Vec::new();
    for field in ["reason", "field", "message"] {
        if let Some(text) = body.and_then(|body| body["error"][field].as_str()) {
            parts.push(crate::render::cell(&Value::from(text)));
        }
    }
    if parts.is_empty() {
        return "no reason given".to_owned();
    }
    parts.join(": ")
}
