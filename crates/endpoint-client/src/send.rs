//! One call: the request out, the answer in.

use std::time::Duration;

use awc::Client;
use model::{AttemptEnd, EndpointAddress, TaskOffer};

use crate::{classify::CallError, read};

/// Sends the task and reads the whole answer.
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
        // Beside the limit around the whole call, because this one is looked at before anything is sent: after a
        // freeze of this process past the deadline, a call still waiting for its connection ends unsent.
        .timeout(timeout)
        .send_body(offer.payload.0.to_vec())
        .await?;
    read::read_response(response, offer.attempt).await
}
