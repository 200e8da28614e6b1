//! A proxy of the platform for one VM. It forwards every call and rewrites the endpoint addresses in the VM list, so
//! that they lead through links.
//!
//! A cut between a VM and an endpoint must not affect other VMs, so each VM reaches the endpoint over its own link and
//! needs a VM list with the address of that link. The addresses of dispatchers are not rewritten, because dispatchers
//! identify each other by address.

use std::{io, net::SocketAddr, rc::Rc};

use actix_web::{
    dev::ServerHandle,
    http::StatusCode,
    web::{self, Bytes, Data},
    App, HttpRequest, HttpResponse, HttpServer,
};
use awc::Client;
use model::FastMap;
use serde_json::Value;

/// The largest request or answer body forwarded, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The link address of each endpoint, by endpoint id, for one VM.
pub(crate) type EndpointLinks = FastMap<String, SocketAddr>;

/// A running proxy. Dropping it stops the server.
pub(crate) struct PlatformView {
    address: SocketAddr,
    handle: ServerHandle,
}

struct ViewState {
    client: Client,
    upstream: SocketAddr,
    links: EndpointLinks,
}

impl PlatformView {
    /// Starts a proxy of the platform at `upstream` on an address of its own.
    pub(crate) fn start(upstream: SocketAddr, links: &EndpointLinks) -> io::Result<Self> {
        let links = links.clone();
        let server = HttpServer::new(move || {
            let state = ViewState {
                client: Client::builder()
                    .disable_timeout()
                    .disable_redirects()
                    .finish(),
                upstream,
                links: links.clone(),
            };
            App::new()
                .app_data(Data::new(Rc::new(state)))
                .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
                .default_service(web::to(proxy_request))
        })
        .workers(1)
        .disable_signals()
        .bind((upstream.ip(), 0))?;
        let address = server.addrs()[0];
        let server = server.run();
        let handle = server.handle();
        actix_rt::spawn(async move {
            if let Err(error) = server.await {
                log::warn!("scenario: platform proxy ended: {error}");
            }
        });
        Ok(Self { address, handle })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for PlatformView {
    fn drop(&mut self) {
        drop(self.handle.stop(false));
    }
}

async fn proxy_request(
    state: Data<Rc<ViewState>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let url = format!("http://{}{}", state.upstream, request.uri());
    let mut call = state.client.request(request.method().clone(), url);
    if let Some(content_type) = request.headers().get("content-type") {
        call = call.insert_header(("content-type", content_type.clone()));
    }
    // Clients treat this status like a missing answer from the platform: a write may have taken effect.
    let Ok(mut answer) = call.send_body(body).await else {
        return HttpResponse::BadGateway().finish();
    };
    let Ok(body) = answer.body().limit(MAX_BODY_BYTES).await else {
        return HttpResponse::BadGateway().finish();
    };
    let mut builder = HttpResponse::build(answer.status());
    if let Some(content_type) = answer.headers().get("content-type") {
        builder.insert_header(("content-type", content_type.clone()));
    }
    if request.path() == "/vms" && answer.status() == StatusCode::OK {
        return builder.body(rewrite_addresses(&body, &state.links).unwrap_or(body));
    }
    builder.body(body)
}

fn rewrite_addresses(body: &[u8], links: &EndpointLinks) -> Option<Bytes> {
    let mut list: Value = serde_json::from_slice(body).ok()?;
    for vm in list["vms"].as_array_mut()? {
        let link = vm["id"].as_str().and_then(|id| links.get(id));
        if let Some(link) = link {
            vm["address"] = Value::String(link.to_string());
        }
    }
    serde_json::to_vec(&list).ok().map(Bytes::from)
}
