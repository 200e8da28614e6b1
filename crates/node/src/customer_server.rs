//! The HTTP server for customers.

use std::{
    cell::Cell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_http::{body::BoxBody, header, HttpMessage as _, Method, Request, Response, StatusCode};
use futures::{
    future::{select, Either},
    StreamExt as _,
};
use http_server::{stated_length, HalfClose, HeldSince};
use jobs::{
    critical_path, JobAttemptId, JobId, JobOutcome, JobRequest, RefusalKind, RequestLimits,
    RouteRule, RouteTable, UnsupportedNeed,
};
use kernel::PauseCount;
use model::Mechanism;
use platform_adapter::{
    decode_job, encode_outcome, encode_pending, encode_state, EncodedResponse, JobError,
    StoreError, DEADLINE_HEADER,
};
use telemetry::{EventKind, EventLine, TrafficKind};
use tokio::net::TcpListener;

use crate::{
    clients::{self, OVERLOAD_RETRY_AFTER},
    entry::{log_answer, run_job, EntryJob},
    kept_jobs, pause,
    request_lines::{self, InvalidRequest, RequestTarget},
    state::NodeState,
};

/// How long a customer without a stated deadline waits.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// The time after a process's start in which requests may be retries of requests that the VM's former process left
/// unanswered: customers wait a few seconds before they retry.
const CUSTOMER_RETURN_PERIOD: Duration = Duration::from_secs(10);

/// The longest deadline that is accepted from the deadline header.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// The retry delay for customers whose request was refused because this process is starting or stopping or has
/// paused, because the store cannot be reached, or because the job needs something that this build does not support.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The size at which an answer to a customer is counted as traffic, in bytes: its head and a body of a few bytes.
const ANSWER_BYTES: usize = 130;

/// Serves customers' connections for as long as the future is polled.
pub(crate) async fn serve(state: Rc<NodeState>, listener: TcpListener) {
    let server_state = state.clone();
    let handler = move |request| handle_request(server_state.clone(), request);
    let drain = &state.accept_drain;
    clients::serve(&state, listener, drain, HalfClose::Drop, handler).await;
}

/// Counts a request as open until the value is dropped.
struct OpenRequest(Rc<NodeState>);

impl OpenRequest {
    fn new(state: &Rc<NodeState>) -> Self {
        add_to_count(&state.open_requests, 1);
        Self(state.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        add_to_count(&self.0.open_requests, -1);
    }
}

fn add_to_count(count: &Cell<usize>, delta: isize) {
    count.set(count.get().saturating_add_signed(delta));
}

async fn handle_request(state: Rc<NodeState>, request: Request) -> Response<BoxBody> {
    let _open = OpenRequest::new(&state);
    state.traffic.record_call(TrafficKind::Customers);
    state
        .traffic
        .record_received(TrafficKind::Customers, head_bytes(&request));
    let mut response = route_request(&state, request).await;
    state
        .traffic
        .record_sent(TrafficKind::Customers, ANSWER_BYTES);
    if state.leaving.get() {
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}

/// When a request arrived.
struct ArrivalMark {
    at: Instant,
    /// The time since this process's last tick.
    since_tick: Duration,
    /// How many pauses of this process had been noticed by then.
    pauses: PauseCount,
    /// A time that is not after the customer sent the last byte that was read.
    sent_after: Instant,
}

async fn route_request(state: &Rc<NodeState>, request: Request) -> Response<BoxBody> {
    let held_since = held_since(&request);
    let mut arrival = ArrivalMark {
        at: held_since.unwrap_or_else(|| state.now()),
        since_tick: state.since_last_tick(),
        pauses: pause::notice(state),
        sent_after: sent_after(state, held_since),
    };
    let target = RequestTarget {
        method: request.method().clone(),
        host: host_of(&request).to_owned(),
        path: request.path().to_owned(),
    };
    // A request that waited in its socket or in the accept queue while this process was paused may by now be running
    // elsewhere as its customer's next try. It has not run here, so it is refused. New requests are refused with it
    // until all that waited has been read, which takes a few ticks.
    if state.has_paused() || has_paused_since(state, held_since) {
        request_lines::log_refusal(state, &target, "process_paused");
        return not_ready();
    }
    if state.refuses_requests.get() {
        request_lines::log_refusal(state, &target, "process_stopped");
        return not_ready();
    }
    let Some(table) = state.route_table.borrow().clone() else {
        request_lines::log_refusal(state, &target, "no_configuration");
        return not_ready();
    };
    if head_bytes(&request) > table.limits.head_bytes {
        return invalid(state, &target, InvalidRequest::HeadTooLarge);
    }
    let Some(found) = table.find(&target.host, &target.path) else {
        return unknown_route(state, &table, &target);
    };
    let rule = Rc::new(found.rule.clone());
    let method = &target.method;
    if found.rest.is_empty() && method == Method::GET {
        return match kept_jobs::count_pending(state, &rule.name).await {
            Ok(count) => json_response(StatusCode::OK, encode_pending(count)),
            Err(error) => store_unavailable(state, &target, "pending", &error),
        };
    }
    let Ok(id) = found.rest.parse::<JobId>() else {
        return invalid(state, &target, InvalidRequest::JobId);
    };
    if method == Method::GET {
        return job_state_response(state, &target, id).await;
    }
    if method == Method::DELETE {
        return cancel(state, &target, id).await;
    }
    if method != Method::POST {
        return invalid(state, &target, InvalidRequest::Method);
    }
    let stated_deadline = stated_deadline(&request);
    let body = match read_body(request, table.limits).await {
        Ok(body) => body,
        Err(cause) => return invalid(state, &target, cause),
    };
    arrival.sent_after = sent_after(state, held_since);
    state
        .traffic
        .record_received(TrafficKind::Customers, body.len());
    let decoded = decode_job(id, &body);
    // The job may run for long. Its text is not needed meanwhile.
    drop(body);
    match decoded {
        Ok(request) => submit(state, request, rule, arrival, stated_deadline).await,
        Err(error) => unreadable_job(state, id, &rule, &error),
    }
}

/// Returns since when bytes of a request may have waited in this process for an earlier request on the connection.
fn held_since(request: &Request) -> Option<Instant> {
    let extensions = request.extensions();
    extensions.get::<HeldSince>().map(|held| held.0)
}

/// Returns whether a pause was noticed while bytes of a request were held. Its customer may have given up on this
/// process.
fn has_paused_since(state: &NodeState, held_since: Option<Instant>) -> bool {
    held_since.is_some_and(|held| state.last_pause.get() >= Some(held))
}

/// Returns a time that is not after the customer sent the last of what is read now.
fn sent_after(state: &NodeState, held_since: Option<Instant>) -> Instant {
    let oldest = oldest_unread(state);
    held_since.map_or(oldest, |held| held.min(oldest))
}

/// When the oldest bytes that are read now may have been sent.
fn oldest_unread(state: &NodeState) -> Instant {
    let now = state.now();
    now.checked_sub(state.longest_unread()).unwrap_or(now)
}

/// Answers a request that no process would take.
fn invalid(state: &NodeState, target: &RequestTarget, cause: InvalidRequest) -> Response<BoxBody> {
    let status = match cause {
        InvalidRequest::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        InvalidRequest::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        InvalidRequest::Method => StatusCode::METHOD_NOT_ALLOWED,
        InvalidRequest::BodyBroken | InvalidRequest::JobId => StatusCode::BAD_REQUEST,
    };
    request_lines::log_invalid(state, target, cause, status.as_u16());
    json_response(status, "{}")
}

/// Answers a request for a route that the configuration does not have.
///
/// 404 is final for the caller, so it is said only while no newer configuration can be in force. Otherwise the caller is
/// told to come back: the route may have been added since.
fn unknown_route(
    state: &NodeState,
    table: &RouteTable,
    target: &RequestTarget,
) -> Response<BoxBody> {
    let is_current = state.is_table_current();
    request_lines::log_unknown_route(state, target, table.version, is_current);
    match is_current {
        true => json_response(StatusCode::NOT_FOUND, "{}"),
        false => not_ready(),
    }
}

/// Answers with the state of a kept job according to the store. No process knows the state of jobs that are not
/// kept.
async fn job_state_response(
    state: &NodeState,
    target: &RequestTarget,
    id: JobId,
) -> Response<BoxBody> {
    match kept_jobs::find_job(state, id).await {
        Ok(found) => {
            let shown = found.map(|found| (found.row.state, found.version));
            request_lines::log_state(state, id, shown);
            match shown {
                Some((kept_state, _)) => json_response(StatusCode::OK, encode_state(kept_state)),
                None => json_response(StatusCode::GONE, "{}"),
            }
        }
        Err(error) => store_unavailable(state, target, "job_state", &error),
    }
}

async fn cancel(state: &NodeState, target: &RequestTarget, id: JobId) -> Response<BoxBody> {
    let cancelled = kept_jobs::cancel_job(state, id).await;
    let line = EventLine::new("job_cancelled").text("job", id);
    match cancelled {
        Ok(found) => {
            state.log(EventKind::Important, line.text("found", found));
            let status = if found {
                StatusCode::OK
            } else {
                StatusCode::GONE
            };
            json_response(status, "{}")
        }
        Err(error) => store_unavailable(state, target, "cancel", &error),
    }
}

/// Answers that the node is not ready, because the store cannot be reached. The customer has to retry.
fn store_unavailable(
    state: &NodeState,
    target: &RequestTarget,
    purpose: &'static str,
    error: &StoreError,
) -> Response<BoxBody> {
    let line = EventLine::new("store_not_reached")
        .text("for", purpose)
        .text("error", error);
    state.log(EventKind::Important, target.add_to(line));
    not_ready()
}

fn unreadable_job(
    state: &NodeState,
    id: JobId,
    rule: &RouteRule,
    error: &JobError,
) -> Response<BoxBody> {
    let line = EventLine::new("job_unreadable")
        .text("job", id)
        .text("route", &rule.name)
        .text("error", error);
    state.log(EventKind::Important, line);
    json_response(StatusCode::BAD_REQUEST, "{}")
}

async fn submit(
    state: &Rc<NodeState>,
    request: JobRequest,
    rule: Rc<RouteRule>,
    arrival: ArrivalMark,
    stated_deadline: Option<Duration>,
) -> Response<BoxBody> {
    let deadline = arrival.at + stated_deadline.unwrap_or(DEFAULT_DEADLINE);
    let advised = rule.advised.then_some(UnsupportedNeed::Advice);
    let unsupported = request.unsupported.or(advised);
    if let Some(need) = unsupported {
        let line = EventLine::new("need_not_served")
            .text("job", request.id)
            .text("need", need.as_str());
        state.log(EventKind::Important, line);
    }
    let age = match request.kept {
        true => Duration::ZERO,
        false => request_age(state, &rule, stated_deadline),
    };
    let job = EntryJob {
        request: Arc::new(request),
        rule,
        arrived: arrival.at,
        pauses: arrival.pauses,
        age,
        deadline,
        sent_after: arrival.sent_after,
        // In the protocol, 0 means that the id is not stated.
        attempt_id: JobAttemptId(state.rng.borrow_mut().u64(1..)),
    };
    let refused = |kind| JobOutcome::Refused {
        kind,
        retry_after: NOT_READY_RETRY_AFTER,
        fits: 0,
    };
    request_lines::log_arrival(state, &job, arrival.since_tick);
    let memory = state.clients.reserve_job(job.request.memory_bytes());
    let mut watch = DisconnectWatch::new(state, &job);
    let outcome = if unsupported.is_some() {
        refused(RefusalKind::Unsupported)
    } else if memory.is_none() {
        JobOutcome::Refused {
            kind: RefusalKind::QueueFull,
            retry_after: OVERLOAD_RETRY_AFTER,
            fits: 0,
        }
    } else if ends_after_stop(state, &job) {
        refused(RefusalKind::NotServing)
    } else {
        run_until_cut(state, &job).await
    };
    watch.answered = true;
    log_answer(state, &job, outcome);
    encoded_response(&encode_outcome(outcome))
}

/// Logs that a customer's connection ended before its job was answered.
///
/// Without that line, the record of a customer whose break this process has seen looks like that of one whose break it
/// has not: both have an arrival and no answer until the deadline.
struct DisconnectWatch<'a> {
    state: &'a NodeState,
    job: &'a EntryJob,
    answered: bool,
}

impl<'a> DisconnectWatch<'a> {
    fn new(state: &'a NodeState, job: &'a EntryJob) -> Self {
        Self {
            state,
            job,
            answered: false,
        }
    }
}

impl Drop for DisconnectWatch<'_> {
    fn drop(&mut self) {
        if !self.answered {
            request_lines::log_disconnect(self.state, self.job);
        }
    }
}

/// Returns whether the process will end before the job can be expected to. The job would be cut if it were
/// accepted.
fn ends_after_stop(state: &NodeState, job: &EntryJob) -> bool {
    let chain = critical_path(&job.request.steps, |_, step| step.estimate);
    let expected = chain.mul_f64(job.rule.stretch) + job.rule.goal;
    let now = state.now();
    let Some(limit) = state.stop_deadline.get() else {
        return false;
    };
    let ends_after = now + expected > limit;
    if ends_after {
        let line = EventLine::new("job_ends_after_stop")
            .text("job", job.request.id)
            .millis("expected_ms", expected)
            .millis("left_ms", limit.saturating_duration_since(now));
        state.log(EventKind::Important, line);
    }
    ends_after
}

/// Runs a job, but answers before the process ends. A customer whose connection breaks without an answer cannot
/// tell whether its job was accepted.
async fn run_until_cut(state: &Rc<NodeState>, job: &EntryJob) -> JobOutcome {
    let run = std::pin::pin!(run_job(state, job));
    let cut = std::pin::pin!(state.cut_requests.notified());
    match select(run, cut).await {
        Either::Left((outcome, _)) => outcome,
        Either::Right(_) => {
            let line = EventLine::new("job_cut").text("job", job.request.id);
            state.log(EventKind::Important, line);
            JobOutcome::GivenUp
        }
    }
}

fn host_of(request: &Request) -> &str {
    let host = request
        .headers()
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = host.unwrap_or_default();
    host.split_once(':').map_or(host, |(name, _)| name)
}

/// Returns the size of a request's head in bytes, without separators.
fn head_bytes(request: &Request) -> usize {
    let headers = request.headers().iter();
    let headers: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    request.path().len() + headers
}

/// Estimates how long a request had been in progress before it arrived here, from the time that its customer has
/// left.
///
/// The estimate is used only while this process is new. In that time many requests are retries of requests that the
/// VM's former process, or all processes together, left unanswered. Later, little time left more likely means that the
/// customer has set a short deadline.
fn request_age(state: &NodeState, rule: &RouteRule, stated_deadline: Option<Duration>) -> Duration {
    let Some(left) = stated_deadline else {
        return Duration::ZERO;
    };
    let age = state
        .request_budgets
        .borrow_mut()
        .record_request(&rule.name, left);
    let is_new = state.now() < state.started + CUSTOMER_RETURN_PERIOD;
    match is_new && state.is_enabled(Mechanism::RequestAges) {
        true => age,
        false => Duration::ZERO,
    }
}

/// Returns how long the customer waits for its answer according to the deadline header, at most [`MAX_DEADLINE`].
fn stated_deadline(request: &Request) -> Option<Duration> {
    let header = request
        .headers()
        .get(DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok());
    let millis = header.and_then(|text| text.trim().parse::<u64>().ok());
    let waits = millis.map(Duration::from_millis);
    waits.map(|waits| waits.min(MAX_DEADLINE))
}

/// Reads the body of a request. One that states to be longer than the limit is not read.
async fn read_body(mut request: Request, limits: RequestLimits) -> Result<Vec<u8>, InvalidRequest> {
    let stated =
        stated_length(&request).map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if stated.is_some_and(|length| length > limits.body_bytes) {
        return Err(InvalidRequest::BodyTooLarge);
    }
    let mut payload = request.take_payload();
    drop(request);
    let mut body = Vec::with_capacity(stated.unwrap_or_default());
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| InvalidRequest::BodyBroken)?;
        if body.len() + chunk.len() > limits.body_bytes {
            return Err(InvalidRequest::BodyTooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

fn not_ready() -> Response<BoxBody> {
    encoded_response(&EncodedResponse {
        status: 503,
        body: "{}",
        retry_after: Some(NOT_READY_RETRY_AFTER),
    })
}

fn encoded_response(answer: &EncodedResponse) -> Response<BoxBody> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json_response(status, answer.body);
    if let Some(retry_after) = answer.retry_after {
        // The header holds whole seconds. The value is rounded up, because a customer that returned earlier would
        // meet the same load.
        let seconds = retry_after.as_millis().div_ceil(1_000).max(1).to_string();
        if let Ok(value) = header::HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

fn json_response(status: StatusCode, body: impl Into<String>) -> Response<BoxBody> {
    Response::build(status)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(body.into())
        .map_into_boxed_body()
}
