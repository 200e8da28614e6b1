//! One call to an endpoint.

use std::time::Duration;

use awc::Client;
use model::{AttemptEnd, EndpointAddress, TaskOffer};

use crate::{classify::CallError, read};

/// Sends a task and reads the whole answer.
pub(crate) async fn call(
    client: &Client,
    endpoint: &EndpointAddress,
    offer: &TaskOffer,
    timeout: Duration,
) -> Result<AttemptEnd, CallError> {
    let response = client
        .post(format!("http://{}/v1/tasks", endpoint.address))
        .insert_header((read::ATTEMPT_ID, offer.attempt.to_string()))
        .insert_header(("customer", offer.customer.as_str()))
        .insert_header(("task-kind", offer.kind.as_str()))
        .insert_header(("deadline-ms", offer.time_left.as_millis().to_string()))
        // `EndpointClient::run` enforces the same timeout around the whole call. This one is checked before anything is
        // sent, so that after a freeze of this process past the deadline, a call that still waits for its connection
        // ends unsent.
        .timeout(timeout)
        .send_body(offer.payload.0.to_vec())
        .await?;
    read::read_answer(response, offer.attempt).await
}
