//! HTTP control calls of the forwarder.

use std::{io, net::SocketAddr, sync::Arc};

use actix_web::{
    dev::ServerHandle,
    web::{self, Data, Json},
    App, HttpResponse, HttpServer,
};

use crate::forwarder::{LinkError, LinkRequest, LinkStatus, SharedLinks};

pub(super) fn serve(
    shared: Arc<SharedLinks>,
    address: SocketAddr,
) -> io::Result<(SocketAddr, ServerHandle)> {
    let data = Data::from(shared);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .route("/control/links", web::get().to(show_links))
            .route("/control/links", web::post().to(change_link))
    })
    .workers(1)
    .disable_signals()
    .bind(address)?;
    let address = server.addrs()[0];
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(async move {
        if let Err(error) = server.await {
            log::warn!("net forwarder: control server failed: {error}");
        }
    });
    Ok((address, handle))
}

async fn show_links(shared: Data<SharedLinks>) -> Json<Vec<LinkStatus>> {
    Json(shared.status())
}

async fn change_link(shared: Data<SharedLinks>, request: Json<LinkRequest>) -> HttpResponse {
    match shared.apply(request.into_inner()).await {
        Ok(()) => HttpResponse::NoContent().finish(),
        Err(error @ LinkError::Unknown(_)) => HttpResponse::NotFound().body(error.to_string()),
        Err(error @ LinkError::Failed { .. }) => {
            HttpResponse::InternalServerError().body(error.to_string())
        }
    }
}
