//! HTTP calls to the processes under measurement.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use eyre::{ensure, eyre, Result};
use serde_json::Value;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Creates a client with a short timeout.
pub(crate) fn client() -> Client {
    Client::builder().timeout(REQUEST_TIMEOUT).finish()
}

/// Status code of a GET, or `None` if no answer was received.
pub(crate) async fn status(client: &Client, to: SocketAddr, path: &str) -> Option<u16> {
    let answer = client.get(format!("http://{to}{path}")).send().await.ok()?;
    Some(answer.status().as_u16())
}

/// The body of a GET as text.
pub(crate) async fn text(client: &Client, to: SocketAddr, path: &str) -> Result<String> {
    let sent = client.get(format!("http://{to}{path}")).send().await;
    let mut answer = sent.map_err(|error| eyre!("GET {to}{path}: {error}"))?;
    let body = answer.body().limit(MAX_BODY_BYTES).await?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Writes a contract under a precondition header and returns its new version.
pub(crate) async fn put_contract(
    client: &Client,
    entry: SocketAddr,
    customer: &str,
    precondition: (&str, String),
    contract: &Value,
) -> Result<u64> {
    let call = client
        .put(format!("http://{entry}/v1/contracts/{customer}"))
        .insert_header(precondition);
    let sent = call.send_json(contract).await;
    let mut answer =
        sent.map_err(|error| eyre!("cannot write the contract of {customer}: {error}"))?;
    let body = answer.body().await?;
    let answer_text = String::from_utf8_lossy(&body);
    ensure!(
        answer.status().is_success(),
        "cannot write the contract of {customer}: {answer_text}"
    );
    let answer_json: Value = serde_json::from_str(&answer_text)?;
    answer_json["version"]
        .as_u64()
        .ok_or_else(|| eyre!("the answer has no version: {answer_json}"))
}
