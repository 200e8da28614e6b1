//! Parses and validates the bodies and headers of callers. Nothing runs before the whole body has been checked.

use std::time::Duration;

use model::{
    ByteSize, CustomerId, DuplicateDetection, IdempotencyKey, Payload, SubmissionBody,
    SubmissionKind, TaskBody, TaskKind, TicketId, MAX_PAYLOAD_BYTES, MAX_TASKS_PER_JOB,
};
use serde::{de::DeserializeOwned, Deserialize};
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3;

use crate::object::JsonObject;

/// An invalid body or header. Nothing ran.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: {message}")]
pub struct InputError {
    /// The path of the field, as in `tasks[2].payload`.
    pub field: String,
    /// What is wrong with the field.
    pub message: String,
}

impl InputError {
    pub(crate) fn new(field: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            message: message.into(),
        }
    }
}

/// Parses the body of `POST /v1/jobs` and computes its digest.
///
/// # Errors
///
/// Names the first invalid field.
pub fn read_job(raw: &[u8]) -> Result<(SubmissionBody, u64), InputError> {
    let input: JobInput = read_json(raw)?;
    if input.tasks.is_empty() {
        return Err(InputError::new("tasks", "must have at least one task"));
    }
    if input.tasks.len() > MAX_TASKS_PER_JOB as usize {
        return Err(InputError::new(
            "tasks",
            format!("must have at most {MAX_TASKS_PER_JOB} tasks"),
        ));
    }
    let mut tasks = Vec::with_capacity(input.tasks.len());
    for (index, task) in input.tasks.into_iter().enumerate() {
        tasks.push(task.0.read(&format!("tasks[{index}]"))?);
    }
    let body = SubmissionBody {
        customer: input.customer,
        kind: SubmissionKind::Job,
        deadline: read_deadline(input.deadline_ms)?,
        tasks,
    };
    let digest = digest(&body);
    Ok((body, digest))
}

/// Parses the body of `POST /v1/requests` with the `Idempotency-Key` header, and computes the body's digest.
///
/// # Errors
///
/// Names the first invalid field.
pub fn read_request(raw: &[u8], key: Option<&str>) -> Result<(SubmissionBody, u64), InputError> {
    let input: RequestInput = read_json(raw)?;
    let detection = match (input.ticket, key) {
        (Some(_), Some(_)) => {
            return Err(InputError::new(
                "ticket",
                "cannot go with an Idempotency-Key header",
            ));
        }
        (Some(ticket), None) => DuplicateDetection::Ticket(ticket),
        (None, Some(key)) => DuplicateDetection::Key(read_key(key)?),
        (None, None) => DuplicateDetection::PerSubmission,
    };
    let body = SubmissionBody {
        customer: input.customer,
        kind: SubmissionKind::Request(detection),
        deadline: read_deadline(input.deadline_ms)?,
        tasks: vec![input.task.0.read("task")?],
    };
    let digest = digest(&body);
    Ok((body, digest))
}

/// Parses the body of `POST /v1/tickets`.
pub(crate) fn read_ticket_request(raw: &[u8]) -> Result<CustomerId, InputError> {
    read_json::<TicketInput>(raw).map(|input| input.customer)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobInput {
    customer: CustomerId,
    #[serde(default)]
    deadline_ms: Option<u64>,
    tasks: Vec<JsonObject<TaskInput>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RequestInput {
    customer: CustomerId,
    #[serde(default)]
    deadline_ms: Option<u64>,
    task: JsonObject<TaskInput>,
    #[serde(default)]
    ticket: Option<TicketId>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketInput {
    customer: CustomerId,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TaskInput {
    kind: TaskKind,
    payload: Payload,
    #[serde(default)]
    declared_run_ms: Option<u64>,
    /// The memory that the task needs according to the caller, in bytes. Declared sizes are unreliable, so the value
    /// only serves to reject tasks that no endpoint could hold.
    #[serde(default)]
    declared_bytes: Option<ByteSize>,
}

/// The most memory that any worker has, in bytes: 256 GB.
const MAX_WORKER_MEMORY: ByteSize = ByteSize(256 * 1024 * 1024 * 1024);

impl TaskInput {
    fn read(self, path: &str) -> Result<TaskBody, InputError> {
        if self.payload.size() > MAX_PAYLOAD_BYTES {
            let message = format!(
                "must have at most {MAX_PAYLOAD_BYTES}, has {}",
                self.payload.size()
            );
            return Err(InputError::new(format!("{path}.payload"), message));
        }
        if self
            .declared_bytes
            .is_some_and(|size| size > MAX_WORKER_MEMORY)
        {
            let message = format!("must be at most {MAX_WORKER_MEMORY}");
            return Err(InputError::new(format!("{path}.declared_bytes"), message));
        }
        Ok(TaskBody {
            kind: self.kind,
            payload: self.payload,
            declared_run_time: self.declared_run_ms.map(Duration::from_millis),
        })
    }
}

fn read_json<T: DeserializeOwned>(raw: &[u8]) -> Result<T, InputError> {
    let mut deserializer = serde_json::Deserializer::from_slice(raw);
    let JsonObject(value) =
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
            let path = error.path().to_string();
            InputError::new(field_name(&path), error.inner().to_string())
        })?;
    deserializer
        .end()
        .map_err(|error| InputError::new("body", error.to_string()))?;
    Ok(value)
}

/// The path of a field, for an error. `serde_path_to_error` ends a path with `?` if the text ended before the field's
/// name, and writes `.` for the whole document; the result is then the path of the parent, or `body`.
fn field_name(path: &str) -> &str {
    match path.trim_end_matches('?').trim_end_matches('.') {
        "" => "body",
        path => path,
    }
}

fn read_deadline(deadline_ms: Option<u64>) -> Result<Option<Duration>, InputError> {
    if deadline_ms == Some(0) {
        return Err(InputError::new("deadline_ms", "must be more than 0"));
    }
    Ok(deadline_ms.map(Duration::from_millis))
}

fn read_key(key: &str) -> Result<IdempotencyKey, InputError> {
    key.parse()
        .map_err(|error: model::InvalidId| InputError::new("Idempotency-Key", error.to_string()))
}

/// Hashes the parts of a body that must be equal for a repeated submission to count as the same one: the customer,
/// and the kind and payload of each task. Each part is prefixed with its length, so that different bodies cannot
/// yield the same bytes. The deadline may differ.
fn digest(body: &SubmissionBody) -> u64 {
    let mut hasher = Xxh3::new();
    let mut add = |bytes: &[u8]| {
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    };
    add(body.customer.as_str().as_bytes());
    for task in &body.tasks {
        add(task.kind.as_str().as_bytes());
        add(&task.payload.0);
    }
    hasher.digest()
}
