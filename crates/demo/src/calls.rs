//! An HTTP client for the callers' interface of the entries.

use std::{cell::Cell, net::SocketAddr, time::Duration};

use awc::Client;
use base64::{engine::general_purpose::STANDARD, Engine as _};
use eyre::{bail, ensure, eyre, Result};
use model::{CustomerId, Payload};
use serde::Deserialize;
use serde_json::{json, Value};

/// How long the client waits for an answer. Submissions are answered by their deadlines, which are shorter.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(15);

/// The largest answer accepted: a job of 370 results of 64 KiB in base64.
const MAX_ANSWER_BYTES: usize = 48 * 1024 * 1024;

/// One task of a job or request.
#[derive(Clone, Debug)]
pub struct TaskSpec {
    /// Kind of the task.
    pub kind: String,
    /// Payload, which the endpoint stand-ins return as the result.
    pub payload: Payload,
}

impl TaskSpec {
    /// A task whose payload is its kind and index.
    pub fn numbered(kind: &str, index: u32) -> Self {
        let payload = Payload::from(format!("{kind} {index}").as_bytes());
        Self {
            kind: kind.to_owned(),
            payload,
        }
    }

    fn to_json(&self) -> Value {
        json!({ "kind": self.kind, "payload": STANDARD.encode(&self.payload.0) })
    }
}

/// The answer to a submission, as a caller receives it.
#[derive(Clone, Debug, Deserialize)]
pub struct CallerReply {
    /// Id of the submission, if it had one.
    #[serde(default)]
    pub id: Option<String>,
    /// Status: complete, failed, refused, unknown or pending.
    pub status: String,
    /// Machine-readable reason, unless the submission is complete.
    #[serde(default)]
    pub reason: Option<String>,
    /// Results of a job, in the order of its tasks.
    #[serde(default)]
    pub results: Vec<Payload>,
    /// Result of a request.
    #[serde(default)]
    pub result: Option<Payload>,
}

impl CallerReply {
    /// Whether the answer is complete and its results are exactly the payloads of these tasks.
    pub fn matches_payloads(&self, tasks: &[TaskSpec]) -> bool {
        let results: Vec<&Payload> = self.results.iter().chain(&self.result).collect();
        let payloads: Vec<&Payload> = tasks.iter().map(|task| &task.payload).collect();
        self.status == "complete" && results == payloads
    }
}

/// A client that sends its calls to the entries in round-robin order, as through a load balancer.
pub struct CallerClient {
    http: Client,
    entries: Vec<SocketAddr>,
    next: Cell<usize>,
}

impl CallerClient {
    /// Creates a client of these entries.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        let http = Client::builder().timeout(CLIENT_TIMEOUT).finish();
        Self {
            http,
            entries,
            next: Cell::new(0),
        }
    }

    /// Submits a job and checks that the results of a complete answer match the payloads.
    ///
    /// # Errors
    ///
    /// No valid answer was received, or the results of a complete answer differ from the tasks' payloads.
    pub async fn job(&self, customer: &CustomerId, tasks: &[TaskSpec]) -> Result<CallerReply> {
        let tasks_json: Vec<Value> = tasks.iter().map(TaskSpec::to_json).collect();
        let body = json!({ "customer": customer, "tasks": tasks_json });
        let reply: CallerReply = self.post(self.next_entry(), "/v1/jobs", &body).await?;
        ensure!(
            reply.status != "complete" || reply.matches_payloads(tasks),
            "the results of the job differ from its tasks' payloads"
        );
        Ok(reply)
    }

    /// Submits a request without an idempotency key.
    ///
    /// # Errors
    ///
    /// As [`Self::job`].
    pub async fn request(&self, customer: &CustomerId, task: &TaskSpec) -> Result<CallerReply> {
        let body = json!({ "customer": customer, "task": task.to_json() });
        let reply: CallerReply = self.post(self.next_entry(), "/v1/requests", &body).await?;
        ensure!(
            reply.status != "complete" || reply.matches_payloads(std::slice::from_ref(task)),
            "the result of the request differs from its task's payload"
        );
        Ok(reply)
    }

    /// Gets a ticket from the first entry.
    ///
    /// # Errors
    ///
    /// The entry did not issue a ticket.
    pub async fn ticket(&self, customer: &CustomerId) -> Result<String> {
        let reply: Value = self
            .post(0, "/v1/tickets", &json!({ "customer": customer }))
            .await?;
        let ticket = reply["ticket"]
            .as_str()
            .ok_or_else(|| eyre!("the entry issued no ticket: {reply}"))?;
        Ok(ticket.to_owned())
    }

    /// Submits a request with a ticket through the entry with this index.
    ///
    /// # Errors
    ///
    /// As [`Self::job`].
    pub async fn request_with_ticket(
        &self,
        entry: usize,
        customer: &CustomerId,
        ticket: &str,
        task: &TaskSpec,
    ) -> Result<CallerReply> {
        let body = json!({ "customer": customer, "ticket": ticket, "task": task.to_json() });
        let reply: CallerReply = self.post(entry, "/v1/requests", &body).await?;
        ensure!(
            reply.status != "complete" || reply.matches_payloads(std::slice::from_ref(task)),
            "the result of the request differs from its task's payload"
        );
        Ok(reply)
    }

    fn next_entry(&self) -> usize {
        self.next.replace(self.next.get() + 1)
    }

    async fn post<T: for<'de> Deserialize<'de>>(
        &self,
        entry: usize,
        path: &str,
        body: &Value,
    ) -> Result<T> {
        let address = self.entries[entry % self.entries.len()];
        let url = format!("http://{address}{path}");
        let mut answer = match self.http.post(&url).send_json(body).await {
            Ok(answer) => answer,
            Err(error) => bail!("no answer from {url}: {error}"),
        };
        let bytes = answer.body().limit(MAX_ANSWER_BYTES).await?;
        Ok(serde_json::from_slice(&bytes)?)
    }
}
