//! What customers connect to.

use std::{
    cell::Cell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_http::{
    body::BoxBody, header, HttpMessage as _, Method, Payload, Request, Response, StatusCode,
};
use futures::{
    future::{select, Either},
    StreamExt as _,
};
use jobs::{longest_chain, BodyLimits, JobId, JobOutcome, RefusalKind, RouteRule, UnsupportedNeed};
use model::Mechanism;
use platform_adapter::{
    decode_job, encode_outcome, encode_pending, encode_state, EncodedAnswer, StoreError,
    DEADLINE_HEADER,
};
use telemetry::{EventKind, EventLine, TrafficKind};
use tokio::net::TcpListener;

use crate::{
    connections,
    entry::{note_answered, run_job, EntryJob},
    keeping,
    state::NodeState,
    NodeError,
};

/// How long a customer without a deadline waits.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// How long after a process's start customers come again whom it left without an answer: they wait for a few seconds.
const RETURN_TIME: Duration = Duration::from_secs(10);

/// The longest deadline that is taken from a header.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3_600);

/// When a customer may come back that was turned away because this process is starting, stopping or has stood still.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// The bytes of an answer to a customer: its head, and a body of a few bytes.
const ANSWER_HEAD_BYTES: usize = 130;

/// Takes customers' connections for as long as the future is polled.
///
/// # Errors
///
/// The HTTP server cannot be built.
pub(crate) async fn serve(state: Rc<NodeState>, listener: TcpListener) -> Result<(), NodeError> {
    let answering = state.clone();
    connections::serve(state, listener, move |request| {
        answer(answering.clone(), request)
    })
    .await
}

/// Counts a request as open for as long as it lives.
struct OpenRequest(Rc<NodeState>);

impl OpenRequest {
    fn new(state: &Rc<NodeState>) -> Self {
        step(&state.open_requests, 1);
        Self(state.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        step(&self.0.open_requests, -1);
    }
}

fn step(count: &Cell<usize>, by: isize) {
    count.set(count.get().saturating_add_signed(by));
}

async fn answer(state: Rc<NodeState>, request: Request) -> Response<BoxBody> {
    let _open = OpenRequest::new(&state);
    state.traffic.record_call(TrafficKind::Customers);
    state
        .traffic
        .record_received(TrafficKind::Customers, head_bytes(&request));
    let mut response = route(&state, request).await;
    state
        .traffic
        .record_sent(TrafficKind::Customers, ANSWER_HEAD_BYTES);
    if state.leaving.get() {
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}

async fn route(state: &Rc<NodeState>, mut request: Request) -> Response<BoxBody> {
    let arrived = state.now();
    // A request that lay in its socket while this process stood still may be running elsewhere by now, under its
    // customer's next try. It has not run here, so it is turned away.
    if state.has_paused() {
        note_refused(state, "process_paused");
        return not_ready();
    }
    if state.refusing.get() {
        note_refused(state, "process_stopped");
        return not_ready();
    }
    let Some(table) = state.table.borrow().clone() else {
        note_refused(state, "no_configuration");
        return not_ready();
    };
    if head_bytes(&request) > table.limits.head_bytes {
        return plain(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "{}");
    }
    let host = host_of(&request).to_owned();
    let path = request.path().to_owned();
    let Some(found) = table.find(&host, &path) else {
        return plain(StatusCode::NOT_FOUND, "{}");
    };
    let rule = Rc::new(found.rule.clone());
    let method = request.method().clone();
    if found.rest.is_empty() && method == Method::GET {
        return match keeping::pending(state, &rule.name).await {
            Ok(count) => plain(StatusCode::OK, encode_pending(count)),
            Err(error) => store_away(state, "pending", &error),
        };
    }
    let Ok(id) = found.rest.parse::<JobId>() else {
        return plain(StatusCode::BAD_REQUEST, "{}");
    };
    if method == Method::GET {
        return tell_state(state, id).await;
    }
    if method == Method::DELETE {
        return cancel(state, id).await;
    }
    if method != Method::POST {
        return plain(StatusCode::METHOD_NOT_ALLOWED, "{}");
    }
    let stated = stated_limit(&request);
    let body = match read_body(request.take_payload(), table.limits).await {
        Ok(body) => body,
        Err(status) => return plain(status, "{}"),
    };
    state
        .traffic
        .record_received(TrafficKind::Customers, body.len());
    submit(state, id, rule, &body, arrived, stated).await
}

/// Tells how far a kept job is, as the store has it. Jobs that are not kept are known to nobody.
async fn tell_state(state: &NodeState, id: JobId) -> Response<BoxBody> {
    match keeping::find_row(state, id).await {
        Ok(Some(found)) => plain(StatusCode::OK, encode_state(found.row.state)),
        Ok(None) => plain(StatusCode::GONE, "{}"),
        Err(error) => store_away(state, "job_state", &error),
    }
}

async fn cancel(state: &NodeState, id: JobId) -> Response<BoxBody> {
    let cancelled = keeping::cancel(state, id).await;
    let line = EventLine::new("job_cancelled").text("job", id);
    match cancelled {
        Ok(found) => {
            state.log(EventKind::Important, line.text("found", found));
            let status = if found {
                StatusCode::OK
            } else {
                StatusCode::GONE
            };
            plain(status, "{}")
        }
        Err(error) => store_away(state, "cancel", &error),
    }
}

/// Nothing can be said without the store: the customer asks again.
fn store_away(state: &NodeState, what: &'static str, error: &StoreError) -> Response<BoxBody> {
    let line = EventLine::new("store_not_reached")
        .text("for", what)
        .text("error", error);
    state.log(EventKind::Important, line);
    not_ready()
}

async fn submit(
    state: &Rc<NodeState>,
    id: JobId,
    rule: Rc<RouteRule>,
    body: &[u8],
    arrived: Instant,
    stated: Option<Duration>,
) -> Response<BoxBody> {
    let deadline = arrived + stated.unwrap_or(DEFAULT_DEADLINE);
    let request = match decode_job(id, body) {
        Ok(request) => request,
        Err(error) => {
            let line = EventLine::new("job_unreadable")
                .text("job", id)
                .text("error", error);
            state.log(EventKind::Important, line);
            return plain(StatusCode::BAD_REQUEST, "{}");
        }
    };
    let advised = rule.advised.then_some(UnsupportedNeed::Advice);
    let unsupported = request.unsupported.or(advised);
    if let Some(need) = unsupported {
        let line = EventLine::new("need_not_served")
            .text("job", id)
            .text("need", need.as_str());
        state.log(EventKind::Important, line);
    }
    let age = match request.kept {
        true => Duration::ZERO,
        false => request_age(state, &rule, stated),
    };
    let job = EntryJob {
        request: Arc::new(request),
        rule,
        arrived,
        age,
        deadline,
    };
    let refused = |kind| JobOutcome::Refused {
        kind,
        retry_after: NOT_READY_RETRY,
        fits: 0,
    };
    let outcome = if unsupported.is_some() {
        refused(RefusalKind::Unsupported)
    } else if is_past_stop(state, &job) {
        refused(RefusalKind::NotServing)
    } else {
        run_until_cut(state, &job).await
    };
    note_answered(state, &job, outcome);
    encoded(&encode_outcome(outcome))
}

/// Whether the process will be gone before the job can be expected to end. Taken all the same, the job would be cut.
fn is_past_stop(state: &NodeState, job: &EntryJob) -> bool {
    let chain = longest_chain(&job.request.steps, |_, step| step.estimate);
    let expected = chain.mul_f64(job.rule.stretch) + job.rule.goal;
    state
        .stop_limit
        .get()
        .is_some_and(|limit| state.now() + expected > limit)
}

/// Runs a job, but answers before the process ends: a customer whose connection breaks without an answer cannot tell
/// a job that was taken from one that was not.
async fn run_until_cut(state: &Rc<NodeState>, job: &EntryJob) -> JobOutcome {
    let run = std::pin::pin!(run_job(state, job));
    let cut = std::pin::pin!(state.cut.notified());
    match select(run, cut).await {
        Either::Left((outcome, _)) => outcome,
        Either::Right(_) => JobOutcome::GivenUp,
    }
}

fn note_refused(state: &NodeState, reason: &'static str) {
    crate::metrics::count_refusal(&state.metrics, reason);
    state.log(
        EventKind::Important,
        EventLine::new("request_refused").text("reason", reason),
    );
}

fn host_of(request: &Request) -> &str {
    let host = request
        .headers()
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = host.unwrap_or_default();
    host.split_once(':').map_or(host, |(name, _)| name)
}

/// The bytes of a request's head, but for its separators.
fn head_bytes(request: &Request) -> usize {
    let headers = request.headers().iter();
    let headers: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    request.path().len() + headers
}

/// How long a request has been under way before it came here, as far as what is left of its customer's time tells.
///
/// It counts only while this process is new: then customers come again whom it, or all processes together, left without an
/// answer. Later a short time says more likely that this customer is in a hurry.
fn request_age(state: &NodeState, rule: &RouteRule, stated: Option<Duration>) -> Duration {
    let Some(left) = stated else {
        return Duration::ZERO;
    };
    let age = state.waits.borrow_mut().take(&rule.name, left);
    let is_new = state.now() < state.started + RETURN_TIME;
    match is_new && state.has(Mechanism::RequestAges) {
        true => age,
        false => Duration::ZERO,
    }
}

/// How long the customer says that it waits.
fn stated_limit(request: &Request) -> Option<Duration> {
    let header = request
        .headers()
        .get(DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok());
    let millis = header.and_then(|text| text.trim().parse::<u64>().ok());
    let waits = millis.map(Duration::from_millis);
    waits.map(|waits| waits.min(LONGEST_DEADLINE))
}

async fn read_body(mut payload: Payload, limits: BodyLimits) -> Result<Vec<u8>, StatusCode> {
    let mut body = Vec::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| StatusCode::BAD_REQUEST)?;
        if body.len() + chunk.len() > limits.body_bytes {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

fn not_ready() -> Response<BoxBody> {
    encoded(&EncodedAnswer {
        status: 503,
        body: "{}",
        retry_after: Some(NOT_READY_RETRY),
    })
}

fn encoded(answer: &EncodedAnswer) -> Response<BoxBody> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = plain(status, answer.body);
    if let Some(retry_after) = answer.retry_after {
        // The header holds whole seconds; an earlier return would meet the same load.
        let seconds = retry_after.as_millis().div_ceil(1_000).max(1).to_string();
        if let Ok(value) = header::HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

fn plain(status: StatusCode, body: impl Into<String>) -> Response<BoxBody> {
    Response::build(status)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(body.into())
        .map_into_boxed_body()
}
