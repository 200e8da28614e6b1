//! Calls a task on an endpoint over HTTP and classifies the answer.
//!
//! The classification is what "at most once" rests on: a task may be placed again only after a definite not-run, so
//! each doubt counts as an unknown outcome. The HTTP library neither retries nor, as set up here, follows redirects.

mod classify;
mod read;
mod send;

use std::time::Duration;

use awc::{Client, Connector};
use model::{AttemptEnd, EndpointAddress, TaskOffer};

/// Settings of an [`EndpointClient`].
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// The time for a connection to come about.
    pub connect_timeout: Duration,
    /// The most connections of this client at once, over all endpoints. A call beyond it would wait unsent, so it
    /// has to exceed the slots that the client's thread serves.
    pub pool_size: usize,
    /// How long an idle connection is kept. It must be below the endpoint's keep-alive: a request written to a
    /// connection that the endpoint is just closing has an unknown outcome.
    pub keep_alive: Duration,
    /// The time that an answer may come after the deadline of the task before it is given up. The entry has decided
    /// by then; the answer still tells that the slot is free.
    pub answer_grace: Duration,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            pool_size: 1024,
            keep_alive: Duration::from_secs(15),
            answer_grace: Duration::from_millis(500),
        }
    }
}

/// Calls endpoints. It keeps connections open and stays on its thread: one per traffic thread.
#[derive(Clone)]
pub struct EndpointClient {
    client: Client,
    settings: ClientSettings,
}

impl EndpointClient {
    /// A client without connections yet.
    pub fn new(settings: ClientSettings) -> Self {
        let connector = Connector::new()
            .timeout(settings.connect_timeout)
            .limit(settings.pool_size)
            .conn_keep_alive(settings.keep_alive)
            // Connections in use are long-lived; only idle ones are let go.
            .conn_lifetime(Duration::from_secs(3600));
        // A redirect would send the task a second time, after the first endpoint may have run it.
        let client = Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .finish();
        Self { client, settings }
    }

    /// Sends a task to an endpoint and waits for its end, at most for the offer's time left and the answer grace.
    ///
    /// `started` is called just before the first byte can be written; from then on the task may have started.
    /// `offer.time_left` counts from this call. Nothing is ever sent twice.
    pub async fn run(
        &self,
        endpoint: &EndpointAddress,
        offer: &TaskOffer,
        started: impl FnOnce(),
    ) -> AttemptEnd {
        let limit = offer.time_left + self.settings.answer_grace;
        started();
        let call = send::call(&self.client, endpoint, offer, limit);
        let end = match actix_rt::time::timeout(limit, call).await {
            Ok(Ok(end)) => end,
            Ok(Err(error)) => error.attempt_end(),
            Err(_) => classify::CallError::Timeout.attempt_end(),
        };
        log::debug!(
            "endpoint client: {} at {} ended {end:?}",
            offer.attempt,
            endpoint.id
        );
        end
    }
}
