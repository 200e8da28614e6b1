//! Control endpoints for tests and manual experiments, not affected by faults.
//!
//! `GET/PUT /control/faults` ([`FaultSettings`], always complete), `PUT /control/vms` (`{"vms":[…]}`),
//! `GET /control/stats`.

use actix_web::{web, HttpResponse};
use model::VmEntry;
use serde::Deserialize;

use super::{faults::FaultSettings, state::PlatformState};

type State = web::Data<PlatformState>;

pub(super) fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/control/faults", web::get().to(get_faults))
        .route("/control/faults", web::put().to(put_faults))
        .route("/control/vms", web::put().to(put_vms))
        .route("/control/stats", web::get().to(get_stats));
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VmList {
    vms: Vec<VmEntry>,
}

async fn get_faults(state: State) -> HttpResponse {
    HttpResponse::Ok().json(state.faults())
}

async fn put_faults(settings: web::Json<FaultSettings>, state: State) -> HttpResponse {
    state.set_faults(settings.into_inner());
    HttpResponse::NoContent().finish()
}

async fn put_vms(list: web::Json<VmList>, state: State) -> HttpResponse {
    state.set_vms(list.into_inner().vms);
    HttpResponse::NoContent().finish()
}

async fn get_stats(state: State) -> HttpResponse {
    HttpResponse::Ok().json(state.stats())
}
