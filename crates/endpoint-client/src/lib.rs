//! A client that sends tasks to endpoints over HTTP and classifies the answers.
//!
//! "At most once" depends on the classification: a task may be placed again only if it definitely did not run, so
//! every doubtful case counts as an unknown outcome. The HTTP library does not retry and, as configured here, does not
//! follow redirects.

mod classify;
mod read;
mod send;

use std::time::Duration;

use awc::{Client, Connector};
use model::{AttemptEnd, EndpointAddress, TaskOffer};

/// Settings of an [`EndpointClient`].
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// The timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// The most open connections of this client, over all endpoints. Further calls would wait unsent, so the pool has
    /// to be larger than the number of slots that the client's thread serves.
    pub pool_size: usize,
    /// How long an idle connection is kept open. It must be shorter than the endpoint's keep-alive time: a request that
    /// is written to a connection while the endpoint closes it has an unknown outcome.
    pub keep_alive: Duration,
    /// How long after the task's deadline the client still waits for the answer. The entry has answered the submission
    /// by then, but the endpoint's answer still shows that the slot is free.
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

/// A client of endpoints. It keeps connections open and stays on its thread; each traffic thread has its own client.
#[derive(Clone)]
pub struct EndpointClient {
    client: Client,
    settings: ClientSettings,
}

impl EndpointClient {
    /// Creates a client without connections.
    pub fn new(settings: ClientSettings) -> Self {
        let connector = Connector::new()
            .timeout(settings.connect_timeout)
            .limit(settings.pool_size)
            .conn_keep_alive(settings.keep_alive)
            // A connection is reused for up to an hour unless it is idle for `keep_alive`.
            .conn_lifetime(Duration::from_secs(3600));
        // Following a redirect would send the task a second time although the first endpoint may have run it.
        let client = Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .finish();
        Self { client, settings }
    }

    /// Sends a task to an endpoint and waits for its end, at most for `offer.time_left` plus the answer grace.
    ///
    /// `started` is called just before the first byte can be written; from then on the task may have started.
    /// `offer.time_left` counts from this call. A task is never sent twice.
    pub async fn run(
        &self,
        endpoint: &EndpointAddress,
        offer: &TaskOffer,
        started: impl FnOnce(),
    ) -> AttemptEnd {
        let timeout = offer.time_left + self.settings.answer_grace;
        started();
        let call = send::call(&self.client, endpoint, offer, timeout);
        let end = match actix_rt::time::timeout(timeout, call).await {
            Ok(Ok(end)) => end,
            Ok(Err(error)) => error.attempt_end(),
            Err(_) => classify::CallError::Timeout.attempt_end(),
        };
        log::debug!(
            "endpoint client: attempt {} at endpoint {} ended: {end:?}",
            offer.attempt,
            endpoint.id
        );
        end
    }
}
