//! Calls as a caller makes them.

use std::{cell::Cell, net::SocketAddr, time::Duration};

use awc::Client;
use base64::{engine::general_purpose::STANDARD, Engine as _};
use eyre::{bail, ensure, eyre, Result};
use model::{CustomerId, Payload};
use serde::Deserialize;
use serde_json::{json, Value};

/// How long an answer may take before the client gives up. Answers come by their deadlines, which are shorter.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(15);

/// The most bytes of an answer: a job of 370 results of 64 KiB in base64.
const MAX_ANSWER_BYTES: usize = 48 * 1024 * 1024;

/// One task of a call.
#[derive(Clone, Debug)]
pub struct TaskSpec {
    /// Its kind.
    pub kind: String,
    /// Its bytes, which come back as its result.
    pub payload: Payload,
}

impl TaskSpec {
    /// A task whose bytes name it.
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

/// An answer as a caller sees it.
#[derive(Clone, Debug, Deserialize)]
pub struct CallerReply {
    /// The submission, where it had an id.
    #[serde(default)]
    pub id: Option<String>,
    /// Complete, failed, refused, unknown or pending.
    pub status: String,
    /// The machine-readable reason, unless complete.
    #[serde(default)]
    pub reason: Option<String>,
    /// A job's results in the order of its tasks.
    #[serde(default)]
    pub results: Vec<Payload>,
    /// A request's result.
    #[serde(default)]
    pub result: Option<Payload>,
}

impl CallerReply {
    /// Whether it is complete and brings exactly the payloads of these tasks.
    pub fn matches_payloads(&self, tasks: &[TaskSpec]) -> bool {
        let results: Vec<&Payload> = self.results.iter().chain(&self.result).collect();
        let payloads: Vec<&Payload> = tasks.iter().map(|task| &task.payload).collect();
        self.status == "complete" && results == payloads
    }
}

/// A caller that goes round the entries, as a balancer would have it.
pub struct CallerClient {
    http: Client,
    entries: Vec<SocketAddr>,
    next: Cell<usize>,
}

impl CallerClient {
    /// A caller of these entries.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        let http = Client::builder().timeout(CLIENT_TIMEOUT).finish();
        Self {
            http,
            entries,
            next: Cell::new(0),
        }
    }

    /// Submits a job and checks that a complete answer is the whole answer.
    ///
    /// # Errors
    ///
    /// No answer came, or a complete one does not bring the tasks' payloads.
    pub async fn job(&self, customer: &CustomerId, tasks: &[TaskSpec]) -> Result<CallerReply> {
        let tasks_json: Vec<Value> = tasks.iter().map(TaskSpec::to_json).collect();
        let body = json!({ "customer": customer, "tasks": tasks_json });
        let reply: CallerReply = self.post(self.next_entry(), "/v1/jobs", &body).await?;
        ensure!(
            reply.status != "complete" || reply.matches_payloads(tasks),
            "the job's answer is not its own"
        );
        Ok(reply)
    }

    /// Submits a request without a key.
    ///
    /// # Errors
    ///
    /// As [`Self::job`].
    pub async fn request(&self, customer: &CustomerId, task: &TaskSpec) -> Result<CallerReply> {
        let body = json!({ "customer": customer, "task": task.to_json() });
        let reply: CallerReply = self.post(self.next_entry(), "/v1/requests", &body).await?;
        ensure!(
            reply.status != "complete" || reply.matches_payloads(std::slice::from_ref(task)),
            "the answer is not its own"
        );
        Ok(reply)
    }

    /// Takes a ticket from the first entry.
    ///
    /// # Errors
    ///
    /// None was issued.
    pub async fn ticket(&self, customer: &CustomerId) -> Result<String> {
        let reply: Value = self
            .post(0, "/v1/tickets", &json!({ "customer": customer }))
            .await?;
        let ticket = reply["ticket"]
            .as_str()
            .ok_or_else(|| eyre!("no ticket: {reply}"))?;
        Ok(ticket.to_owned())
    }

    /// Submits a request with a ticket through a given entry.
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
            "the answer is not its own"
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
