//! HTTP routes for callers.

use std::sync::{
    atomic::{AtomicBool, Ordering},
    Arc,
};

use actix::{dev::ToEnvelope, Actor, Addr, Handler};
use actix_web::{http::StatusCode, web, HttpRequest, HttpResponse, HttpResponseBuilder, Resource};
use model::{RefusalReason, SubmissionId};
use serde_json::json;

use crate::{
    answer::{refusal_status, render_answer, RenderedAnswer},
    input::{read_job, read_request, read_ticket_request, InputError},
    CallerAnswer, CancelCommand, CancelResult, ExplainCommand, InForceCommand, OutcomeCommand,
    StatusCommand, SubmitCommand, TicketCommand,
};

/// The header with an idempotency key that the caller chose.
const KEY_HEADER: &str = "Idempotency-Key";

/// The process state that the routes use.
pub struct CallerApi<A: Actor> {
    /// The control actor.
    pub control: Addr<A>,
    /// Whether the process is ready for new work.
    pub ready: Arc<AtomicBool>,
    /// Whether the process is shutting down. Connections are then closed after each response, so that no caller sends
    /// on a connection that is about to close.
    pub leaving: Arc<AtomicBool>,
}

impl<A: Actor> Clone for CallerApi<A> {
    fn clone(&self) -> Self {
        Self {
            control: self.control.clone(),
            ready: self.ready.clone(),
            leaving: self.leaving.clone(),
        }
    }
}

/// Adds the routes of callers. `max_body` is the largest accepted body in bytes.
pub fn caller_routes<A>(config: &mut web::ServiceConfig, api: CallerApi<A>, max_body: usize)
where
    A: Actor
        + Handler<SubmitCommand>
        + Handler<TicketCommand>
        + Handler<OutcomeCommand>
        + Handler<CancelCommand>
        + Handler<ExplainCommand>
        + Handler<InForceCommand>
        + Handler<StatusCommand>,
    A::Context: ToEnvelope<A, SubmitCommand>
        + ToEnvelope<A, TicketCommand>
        + ToEnvelope<A, OutcomeCommand>
        + ToEnvelope<A, CancelCommand>
        + ToEnvelope<A, ExplainCommand>
        + ToEnvelope<A, InForceCommand>
        + ToEnvelope<A, StatusCommand>,
{
    config
        .app_data(web::Data::new(api))
        .app_data(web::PayloadConfig::new(max_body))
        .service(resource("/live").route(web::get().to(HttpResponse::NoContent)))
        .service(resource("/ready").route(web::get().to(show_readiness::<A>)))
        .service(resource("/v1/explain/{id}").route(web::get().to(explain::<A>)))
        .service(resource("/v1/in-force").route(web::get().to(show_in_force::<A>)))
        .service(resource("/v1/status").route(web::get().to(show_status::<A>)))
        .service(resource("/v1/jobs").route(web::post().to(submit_job::<A>)))
        .service(resource("/v1/requests").route(web::post().to(submit_request::<A>)))
        .service(resource("/v1/tickets").route(web::post().to(issue_ticket::<A>)));
    for kind in ["jobs", "requests"] {
        let by_id = resource(&format!("/v1/{kind}/{{id}}"))
            .route(web::get().to(show_outcome::<A>))
            .route(web::delete().to(cancel::<A>));
        config.service(by_id);
    }
    config.default_service(web::to(async || {
        let error = InputError::new("path", "nothing is served there");
        HttpResponse::NotFound().json(input_error_body(&error))
    }));
}

/// A resource that answers an unsupported method with the same JSON body as any other invalid input.
fn resource(path: &str) -> Resource {
    web::resource(path).default_service(web::to(async || {
        let error = InputError::new("method", "not served on this path");
        HttpResponse::MethodNotAllowed().json(input_error_body(&error))
    }))
}

type Api<A> = web::Data<CallerApi<A>>;

/// The extracted body. A body over the size limit is an extractor error, which is answered like other invalid input.
type Body = Result<web::Bytes, actix_web::Error>;

async fn show_readiness<A: Actor>(api: Api<A>) -> HttpResponse {
    if api.ready.load(Ordering::Relaxed) {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("not ready\n")
}

async fn submit_job<A>(api: Api<A>, body: Body) -> HttpResponse
where
    A: Actor + Handler<SubmitCommand>,
    A::Context: ToEnvelope<A, SubmitCommand>,
{
    let raw = match check_body(&api, body) {
        Ok(raw) => raw,
        Err(answer) => return *answer,
    };
    let read = read_job(&raw);
    // The submission may be open for long, and its payloads are held decoded.
    drop(raw);
    match read {
        Ok((body, digest)) => {
            submit(
                &api,
                SubmitCommand {
                    body,
                    digest,
                    raw: Vec::new(),
                },
            )
            .await
        }
        Err(error) => bad_input(&api, &error),
    }
}

async fn submit_request<A>(api: Api<A>, request: HttpRequest, body: Body) -> HttpResponse
where
    A: Actor + Handler<SubmitCommand>,
    A::Context: ToEnvelope<A, SubmitCommand>,
{
    let raw = match check_body(&api, body) {
        Ok(raw) => raw,
        Err(answer) => return *answer,
    };
    let key = match read_key_header(&request) {
        Ok(key) => key,
        Err(error) => return bad_input(&api, &error),
    };
    match read_request(&raw, key) {
        Ok((body, digest)) => {
            submit(
                &api,
                SubmitCommand {
                    body,
                    digest,
                    raw: raw.into(),
                },
            )
            .await
        }
        Err(error) => bad_input(&api, &error),
    }
}

async fn submit<A>(api: &CallerApi<A>, command: SubmitCommand) -> HttpResponse
where
    A: Actor + Handler<SubmitCommand>,
    A::Context: ToEnvelope<A, SubmitCommand>,
{
    match api.control.send(command).await {
        Ok(answer) => respond(api, render_answer(&answer)),
        Err(_) => respond_unknown(api),
    }
}

async fn issue_ticket<A>(api: Api<A>, body: Body) -> HttpResponse
where
    A: Actor + Handler<TicketCommand>,
    A::Context: ToEnvelope<A, TicketCommand>,
{
    let raw = match check_body(&api, body) {
        Ok(raw) => raw,
        Err(answer) => return *answer,
    };
    let customer = match read_ticket_request(&raw) {
        Ok(customer) => customer,
        Err(error) => return bad_input(&api, &error),
    };
    match api.control.send(TicketCommand { customer }).await {
        Ok(Ok(ticket)) => response_builder(&api, 201).json(json!({ "ticket": ticket })),
        Ok(Err(reason)) => refuse(&api, reason),
        Err(_) => refuse(&api, RefusalReason::Stopping),
    }
}

async fn show_outcome<A>(api: Api<A>, id: web::Path<String>) -> HttpResponse
where
    A: Actor + Handler<OutcomeCommand>,
    A::Context: ToEnvelope<A, OutcomeCommand>,
{
    let id = match read_id(&id) {
        Ok(id) => id,
        Err(error) => return bad_input(&api, &error),
    };
    match api.control.send(OutcomeCommand { id }).await {
        Ok(answer) => respond(&api, render_answer(&answer)),
        Err(_) => respond_unknown(&api),
    }
}

async fn cancel<A>(api: Api<A>, id: web::Path<String>) -> HttpResponse
where
    A: Actor + Handler<CancelCommand>,
    A::Context: ToEnvelope<A, CancelCommand>,
{
    let id = match read_id(&id) {
        Ok(id) => id,
        Err(error) => return bad_input(&api, &error),
    };
    let (status, text) = match api.control.send(CancelCommand { id }).await {
        Ok(CancelResult::Cancelled) => (200, "cancelled"),
        Ok(CancelResult::TooLate) => (409, "too_late"),
        Ok(CancelResult::NotOpen) => (404, "not_open"),
        Err(_) => return respond_unknown(&api),
    };
    response_builder(&api, status).json(json!({ "id": id, "cancel": text }))
}

async fn explain<A>(api: Api<A>, id: web::Path<String>) -> HttpResponse
where
    A: Actor + Handler<ExplainCommand>,
    A::Context: ToEnvelope<A, ExplainCommand>,
{
    let id = match read_id(&id) {
        Ok(id) => id,
        Err(error) => return bad_input(&api, &error),
    };
    match api.control.send(ExplainCommand { id }).await {
        Ok(Some(report)) => response_builder(&api, 200).json(report),
        Ok(None) => {
            let message = "no history of it is kept at this entry; ask the entry that its id names";
            response_builder(&api, 404).json(json!({ "id": id, "message": message }))
        }
        Err(_) => refuse(&api, RefusalReason::Stopping),
    }
}

async fn show_in_force<A>(api: Api<A>) -> HttpResponse
where
    A: Actor + Handler<InForceCommand>,
    A::Context: ToEnvelope<A, InForceCommand>,
{
    match api.control.send(InForceCommand).await {
        Ok(contracts) => response_builder(&api, 200).json(contracts),
        Err(_) => refuse(&api, RefusalReason::Stopping),
    }
}

async fn show_status<A>(api: Api<A>) -> HttpResponse
where
    A: Actor + Handler<StatusCommand>,
    A::Context: ToEnvelope<A, StatusCommand>,
{
    match api.control.send(StatusCommand).await {
        Ok(status) => response_builder(&api, 200).json(status),
        Err(_) => refuse(&api, RefusalReason::Stopping),
    }
}

/// Reads the idempotency key and rejects a repeated header. If a client library and a proxy both add the header and
/// the first key were used, a retry whose headers arrive in another order would run the request again. Rejecting two
/// headers is enough, since nothing runs before this check.
fn read_key_header(request: &HttpRequest) -> Result<Option<&str>, InputError> {
    let mut keys = request.headers().get_all(KEY_HEADER);
    let Some(key) = keys.next() else {
        return Ok(None);
    };
    if keys.next().is_some() {
        return Err(InputError::new(KEY_HEADER, "must not come twice"));
    }
    key.to_str()
        .map(Some)
        .map_err(|_| InputError::new(KEY_HEADER, "must be plain ASCII"))
}

fn read_id(text: &str) -> Result<SubmissionId, InputError> {
    text.parse()
        .map_err(|error: model::InvalidId| InputError::new("id", error.to_string()))
}

fn check_body<A: Actor>(api: &CallerApi<A>, body: Body) -> Result<web::Bytes, Box<HttpResponse>> {
    body.map_err(|error| {
        let status = error.as_response_error().status_code().as_u16();
        let field = if status == 413 { "body" } else { "request" };
        let body = input_error_body(&InputError::new(field, error.to_string()));
        Box::new(response_builder(api, status.clamp(400, 499)).json(body))
    })
}

fn bad_input<A: Actor>(api: &CallerApi<A>, error: &InputError) -> HttpResponse {
    response_builder(api, 400).json(input_error_body(error))
}

fn input_error_body(error: &InputError) -> serde_json::Value {
    json!({
        "status": "refused",
        "reason": RefusalReason::BadInput.as_str(),
        "field": error.field,
        "message": format!("{error}; nothing ran"),
    })
}

fn refuse<A: Actor>(api: &CallerApi<A>, reason: RefusalReason) -> HttpResponse {
    response_builder(api, refusal_status(reason))
        .json(json!({ "status": "refused", "reason": reason.as_str() }))
}

/// The response when the control actor stopped while the answer was pending: the outcome is unknown.
fn respond_unknown<A: Actor>(api: &CallerApi<A>) -> HttpResponse {
    let answer = CallerAnswer::Local(crate::SubmissionAnswer {
        id: None,
        job: false,
        outcome: Arc::new(model::SubmissionOutcome::Unknown(
            model::UnknownReason::Stopped,
        )),
        version: None,
        stale: false,
    });
    respond(api, render_answer(&answer))
}

fn respond<A: Actor>(api: &CallerApi<A>, answer: RenderedAnswer) -> HttpResponse {
    let mut builder = response_builder(api, answer.status);
    if let Some(wait) = answer.retry_after {
        // The header has whole seconds, rounded up; the body has the exact time.
        builder.insert_header(("retry-after", wait.as_millis().div_ceil(1000).to_string()));
    }
    builder.content_type("application/json").body(answer.json)
}

fn response_builder<A: Actor>(api: &CallerApi<A>, status: u16) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = HttpResponse::build(status);
    if api.leaving.load(Ordering::Relaxed) {
        builder.force_close();
    }
    builder
}
