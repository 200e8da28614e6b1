//! The HTTP routes of the platform that the system uses.

use actix_web::{web, HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, sleep_until, Duration, Instant};

use super::{
    connection::close_connection,
    faults::{AnswerDelivery, DownMode, LossTime},
    state::PlatformState,
    table::{RowConflict, TableRow, WriteRequest},
};

/// The default and the maximum number of rows in a list.
const MAX_LIST_ROWS: usize = 1000;

type State = web::Data<PlatformState>;

pub(super) fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/table/{table}", web::get().to(list_rows))
        .route("/table/{table}/{key:.*}", web::get().to(get_row))
        .route("/transaction", web::post().to(commit))
        .route("/objects/{name:.*}", web::put().to(put_object))
        .route("/objects/{name:.*}", web::get().to(get_object))
        .route("/vms", web::get().to(list_vms));
}

#[derive(Deserialize)]
struct ListQuery {
    #[serde(default)]
    after: String,
    limit: Option<usize>,
}

#[derive(Serialize)]
struct ListedRow {
    key: String,
    #[serde(flatten)]
    row: TableRow,
}

#[derive(Serialize)]
struct RowList {
    rows: Vec<ListedRow>,
}

#[derive(Deserialize)]
struct Transaction {
    writes: Vec<WriteRequest>,
}

#[derive(Serialize)]
struct CommittedVersions {
    versions: Vec<u64>,
}

#[derive(Serialize)]
struct CommitConflicts {
    conflicts: Vec<RowConflict>,
}

async fn get_row(
    request: HttpRequest,
    path: web::Path<(String, String)>,
    state: State,
) -> HttpResponse {
    if let Some(answer) = apply_outage(&request, &state, false).await {
        return answer;
    }
    let (table, key) = path.into_inner();
    sleep_until(state.read_end(1).into()).await;
    match state.row(&table, &key) {
        Some(row) => HttpResponse::Ok().json(row),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn list_rows(
    request: HttpRequest,
    path: web::Path<String>,
    query: web::Query<ListQuery>,
    state: State,
) -> HttpResponse {
    if let Some(answer) = apply_outage(&request, &state, false).await {
        return answer;
    }
    let limit = query.limit.unwrap_or(MAX_LIST_ROWS).min(MAX_LIST_ROWS);
    let mut rows = Vec::new();
    for (key, row) in state.list(&path, &query.after, limit) {
        rows.push(ListedRow { key, row });
    }
    sleep_until(state.read_end(rows.len()).into()).await;
    HttpResponse::Ok().json(RowList { rows })
}

async fn commit(
    request: HttpRequest,
    transaction: web::Json<Transaction>,
    state: State,
) -> HttpResponse {
    if let Some(answer) = apply_outage(&request, &state, true).await {
        return answer;
    }
    let writes = transaction.into_inner().writes;
    let end = state.write_end(writes.len());
    let delivery = state.draw_answer_delivery();
    match delivery {
        AnswerDelivery::Lost(LossTime::BeforeWrite) => return close_connection(&request),
        AnswerDelivery::Lost(LossTime::LandsLater(ms)) => {
            commit_at(
                &state,
                writes,
                Instant::from_std(end) + Duration::from_millis(ms),
            );
            return close_connection(&request);
        }
        AnswerDelivery::Sent | AnswerDelivery::Lost(LossTime::AfterWrite) => {}
    }
    // Spawned, so that the write takes effect even if the caller gives up and closes its connection.
    let Ok(result) = commit_at(&state, writes, Instant::from_std(end)).await else {
        return unavailable();
    };
    if delivery != AnswerDelivery::Sent {
        return close_connection(&request);
    }
    match result {
        Ok(versions) => HttpResponse::Ok().json(CommittedVersions { versions }),
        Err(conflicts) => HttpResponse::Conflict().json(CommitConflicts { conflicts }),
    }
}

async fn put_object(
    request: HttpRequest,
    path: web::Path<String>,
    body: web::Bytes,
    state: State,
) -> HttpResponse {
    if let Some(answer) = apply_outage(&request, &state, true).await {
        return answer;
    }
    sleep_until(state.write_end(1).into()).await;
    state.put_object(path.into_inner(), body);
    HttpResponse::NoContent().finish()
}

async fn get_object(request: HttpRequest, path: web::Path<String>, state: State) -> HttpResponse {
    if let Some(answer) = apply_outage(&request, &state, false).await {
        return answer;
    }
    sleep_until(state.read_end(1).into()).await;
    match state.object(&path) {
        Some(bytes) => HttpResponse::Ok()
            .content_type("application/octet-stream")
            .body(bytes),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn list_vms(request: HttpRequest, state: State) -> HttpResponse {
    if let Some(answer) = apply_outage(&request, &state, false).await {
        return answer;
    }
    sleep_until(state.read_end(1).into()).await;
    HttpResponse::Ok().json(serde_json::json!({ "vms": state.vms() }))
}

/// Delays the call, and returns the answer if an outage prevents it from being served.
async fn apply_outage(
    request: &HttpRequest,
    state: &PlatformState,
    writes: bool,
) -> Option<HttpResponse> {
    let extra_delay = state.extra_delay();
    if !extra_delay.is_zero() {
        sleep(extra_delay).await;
    }
    match state.down_mode() {
        DownMode::Up => None,
        DownMode::WritesUnavailable if !writes => None,
        DownMode::Unavailable | DownMode::WritesUnavailable => Some(unavailable()),
        DownMode::Closed => Some(close_connection(request)),
    }
}

/// Spawns a task that commits the writes at the given time.
fn commit_at(
    state: &State,
    writes: Vec<WriteRequest>,
    at: Instant,
) -> actix_rt::task::JoinHandle<Result<Vec<u64>, Vec<RowConflict>>> {
    let state = state.clone();
    actix_rt::spawn(async move {
        sleep_until(at).await;
        state.commit(&writes)
    })
}

/// Returns the answer of a service that is down.
fn unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable().body("unavailable")
}
