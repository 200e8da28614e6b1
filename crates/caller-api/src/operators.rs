//! HTTP routes for operators, which create, change, retire and read contracts.
//!
//! | call | precondition | answers |
//! |---|---|---|
//! | `GET /v1/contracts?after=CUSTOMER&limit=n` | | 200 `{"contracts":[…],"next":CUSTOMER\|null}` |
//! | `GET /v1/contracts/{customer}` | `If-None-Match` for 304 | 200 with `ETag`, 404 |
//! | `GET /v1/contracts/{customer}/history?after=VERSION&limit=n` | | 200 `{"versions":[…],"next":VERSION\|null}` |
//! | `PUT /v1/contracts/{customer}` | `If-None-Match: *` to create | 201 with `ETag`, 412 |
//! | `PUT /v1/contracts/{customer}` | `If-Match: "VERSION"` to change | 200 with `ETag`, 404, 412 |
//! | `DELETE /v1/contracts/{customer}` | `If-Match: "VERSION"` | 200 with `ETag` and the retired contract, 404, 412 |
//!
//! `PUT` replaces the whole contract: an omitted field takes its default. Errors are
//! `{"error":{"reason":…,"field":…,"message":…}}`. 400 names the field, 428 asks for the missing precondition, 503
//! means that nothing was written and carries `Retry-After`, and 504 means that the outcome is unknown and names the
//! version to look for.

mod command;
mod error;
mod precondition;

use actix::Recipient;
use actix_web::{http::header, web, HttpRequest, HttpResponse};
use model::{Contract, ContractVersion, CustomerId};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

use self::precondition::{matches_version, version_tag, WritePrecondition};

pub use self::{
    command::{run_command, HistoryEntry, OperatorCommand, OperatorReply},
    error::{OperatorError, OperatorReason},
};

/// The largest contract document, in bytes; a document with every field has some 300 bytes.
const MAX_BODY_BYTES: usize = 16 * 1024;

/// The entries of a page when the operator gives no limit.
const DEFAULT_PAGE: usize = 100;

/// The most entries of a page.
const MAX_PAGE: usize = 500;

/// The handle by which the routes send commands to an actor on the control thread.
#[derive(Clone)]
pub struct OperatorLink {
    recipient: Recipient<OperatorCommand>,
}

impl OperatorLink {
    /// Creates a link to an actor, which may run the commands with [`run_command`].
    pub fn new(recipient: Recipient<OperatorCommand>) -> Self {
        Self { recipient }
    }

    /// Sends a command and waits for its reply. When the actor stops before it replies, a write may have been in
    /// progress, so its outcome is unknown.
    async fn send(&self, command: OperatorCommand) -> Result<OperatorReply, OperatorError> {
        let writes = command.writes();
        match self.recipient.send(command).await {
            Ok(result) => result,
            Err(_) if writes => Err(OperatorError::Unknown {
                version: None,
                change: None,
            }),
            Err(_) => Err(OperatorError::Unavailable("the process is stopping".into())),
        }
    }
}

/// Adds the routes to an HTTP service.
pub fn configure(config: &mut web::ServiceConfig, link: OperatorLink) {
    config
        .app_data(web::Data::new(link))
        .service(web::resource("/v1/contracts").route(web::get().to(list)))
        .service(web::resource("/v1/contracts/{customer}/history").route(web::get().to(history)))
        .service(
            web::resource("/v1/contracts/{customer}")
                .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
                .route(web::get().to(show))
                .route(web::put().to(put))
                .route(web::delete().to(retire)),
        );
}

type Link = web::Data<OperatorLink>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PageQuery<T> {
    after: Option<T>,
    limit: Option<usize>,
}

#[derive(Serialize)]
struct ContractPage {
    contracts: Vec<contracts::ContractRow>,
    next: Option<CustomerId>,
}

#[derive(Serialize)]
struct HistoryPage {
    versions: Vec<HistoryEntry>,
    next: Option<ContractVersion>,
}

async fn list(request: HttpRequest, link: Link) -> Result<HttpResponse, OperatorError> {
    let query: PageQuery<CustomerId> = parse_query(&request)?;
    let limit = page_limit(query.limit)?;
    let after = query.after;
    let reply = link.send(OperatorCommand::List { after, limit }).await?;
    let contracts = reply.into_list()?;
    let full = contracts.len() == limit;
    let next = contracts.last().filter(|_| full);
    let next = next.map(|row| row.customer.clone());
    Ok(HttpResponse::Ok().json(ContractPage { contracts, next }))
}

async fn history(request: HttpRequest, link: Link) -> Result<HttpResponse, OperatorError> {
    let customer = customer_from_path(&request)?;
    let query: PageQuery<ContractVersion> = parse_query(&request)?;
    let limit = page_limit(query.limit)?;
    let after = query.after.unwrap_or_default();
    let command = OperatorCommand::History {
        customer,
        after,
        limit,
    };
    let versions = link.send(command).await?.into_history()?;
    if versions.is_empty() && after == ContractVersion::default() {
        return Err(OperatorError::NotFound);
    }
    let full = versions.len() == limit;
    let next = versions.last().filter(|_| full);
    let next = next.map(|entry| entry.row.version);
    Ok(HttpResponse::Ok().json(HistoryPage { versions, next }))
}

async fn show(request: HttpRequest, link: Link) -> Result<HttpResponse, OperatorError> {
    let customer = customer_from_path(&request)?;
    let row = link.send(OperatorCommand::Show { customer }).await?;
    let row = row.into_contract()?;
    if matches_version(&request, row.version) {
        return Ok(HttpResponse::NotModified()
            .insert_header((header::ETAG, version_tag(row.version)))
            .finish());
    }
    Ok(contract_response(&mut HttpResponse::Ok(), &row))
}

async fn put(
    request: HttpRequest,
    body: Result<web::Bytes, actix_web::Error>,
    link: Link,
) -> Result<HttpResponse, OperatorError> {
    let customer = customer_from_path(&request)?;
    let precondition = WritePrecondition::from_request(&request)?;
    let body = body.map_err(|e| OperatorError::BadInput {
        field: None,
        message: e.to_string(),
    })?;
    let contract = parse_contract(&body)?;
    let (command, mut response) = match precondition {
        WritePrecondition::Absent => (
            OperatorCommand::Create { customer, contract },
            HttpResponse::Created(),
        ),
        WritePrecondition::Version(expected) => (
            OperatorCommand::Change {
                customer,
                expected,
                contract,
            },
            HttpResponse::Ok(),
        ),
    };
    let row = link.send(command).await?.into_contract()?;
    Ok(contract_response(&mut response, &row))
}

async fn retire(request: HttpRequest, link: Link) -> Result<HttpResponse, OperatorError> {
    let customer = customer_from_path(&request)?;
    let WritePrecondition::Version(expected) = WritePrecondition::from_request(&request)? else {
        return Err(OperatorError::PreconditionRequired);
    };
    let command = OperatorCommand::Retire { customer, expected };
    let row = link.send(command).await?.into_contract()?;
    Ok(contract_response(&mut HttpResponse::Ok(), &row))
}

fn contract_response(
    response: &mut actix_web::HttpResponseBuilder,
    row: &contracts::ContractRow,
) -> HttpResponse {
    response
        .insert_header((header::ETAG, version_tag(row.version)))
        .json(row)
}

fn customer_from_path(request: &HttpRequest) -> Result<CustomerId, OperatorError> {
    let text = request.match_info().query("customer");
    text.parse()
        .map_err(|e: model::InvalidId| OperatorError::bad_field("customer", &e))
}

fn page_limit(limit: Option<usize>) -> Result<usize, OperatorError> {
    match limit {
        None => Ok(DEFAULT_PAGE),
        Some(limit) if (1..=MAX_PAGE).contains(&limit) => Ok(limit),
        Some(_) => Err(OperatorError::bad_field("limit", &"must be from 1 to 500")),
    }
}

fn parse_query<T: DeserializeOwned>(request: &HttpRequest) -> Result<PageQuery<T>, OperatorError> {
    web::Query::from_query(request.query_string())
        .map(web::Query::into_inner)
        .map_err(|e| OperatorError::BadInput {
            field: None,
            message: e.to_string(),
        })
}

/// Parses a contract; errors name the path of the field. The editor checks the ranges.
fn parse_contract(body: &[u8]) -> Result<Contract, OperatorError> {
    // The derived deserialiser also accepts an array of the fields in order, and takes an empty array for a contract
    // with all defaults.
    if body.trim_ascii_start().first() != Some(&b'{') {
        return Err(OperatorError::BadInput {
            field: None,
            message: "a contract is a JSON object".into(),
        });
    }
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let contract: Contract = serde_path_to_error::deserialize(&mut deserializer).map_err(|e| {
        let path = e.path().to_string();
        OperatorError::BadInput {
            // The path of the document itself is a dot.
            field: (path != ".").then_some(path),
            message: e.into_inner().to_string(),
        }
    })?;
    deserializer.end().map_err(|e| OperatorError::BadInput {
        field: None,
        message: e.to_string(),
    })?;
    Ok(contract)
}
