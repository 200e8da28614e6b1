//! Contract changes by operators. Contracts of the set-up are written to the platform's tables directly; later changes
//! go through an entry over HTTP.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use awc::{http::StatusCode, Client};
use contracts::{ContractEditor, EditorSettings};
use kernel::SystemClock;
use platform::{ClientSettings, PlatformClient};
use serde_json::Value;

use crate::script::{ChangeStatus, ContractLine};

/// How long an operator waits for an answer. An entry gives up its own tries earlier.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// The outcome of a change.
#[derive(Clone, Debug)]
pub(crate) struct ChangeOutcome {
    pub(crate) status: ChangeStatus,
    /// The status line and body of the answer, or the error.
    pub(crate) message: String,
}

/// Writes the first version of a contract to the platform, before any process is started.
pub(crate) async fn create_contract(
    platform: SocketAddr,
    line: &ContractLine,
) -> Result<(), String> {
    let settings = ClientSettings {
        address: platform,
        ..ClientSettings::default()
    };
    let client = PlatformClient::new(settings, Arc::new(SystemClock));
    let editor = ContractEditor::new(client, EditorSettings::default(), fastrand::Rng::new());
    let made = editor.create(&line.customer, line.contract.clone()).await;
    made.map(|_| ()).map_err(|error| error.to_string())
}

/// Reads a contract from an entry and replaces exactly that version, or creates the contract if there is none.
pub(crate) async fn change_contract(entry: SocketAddr, line: &ContractLine) -> ChangeOutcome {
    match try_change_contract(entry, line).await {
        Ok(outcome) => outcome,
        Err(message) => ChangeOutcome {
            status: ChangeStatus::Failed,
            message,
        },
    }
}

async fn try_change_contract(
    entry: SocketAddr,
    line: &ContractLine,
) -> Result<ChangeOutcome, String> {
    let client = Client::builder()
        .timeout(CALL_TIMEOUT)
        .disable_redirects()
        .finish();
    let url = format!("http://{entry}/v1/contracts/{}", line.customer);
    let shown = client
        .get(&url)
        .send()
        .await
        .map_err(|error| error.to_string())?;
    let precondition = match (shown.status(), shown.headers().get("etag")) {
        (StatusCode::OK, Some(tag)) => ("if-match", tag.clone()),
        (StatusCode::NOT_FOUND, _) => (
            "if-none-match",
            "*".parse().map_err(|_| "invalid header value")?,
        ),
        (status, _) => return Err(format!("contract could not be read: {status}")),
    };
    let call = client.put(&url).insert_header(precondition);
    // Without an answer it is unknown whether the write took effect.
    let mut answer = match call.send_json(&line.contract).await {
        Ok(answer) => answer,
        Err(error) => {
            return Ok(ChangeOutcome {
                status: ChangeStatus::Unknown,
                message: error.to_string(),
            })
        }
    };
    let status = match answer.status() {
        StatusCode::OK | StatusCode::CREATED => ChangeStatus::Accepted,
        StatusCode::PRECONDITION_FAILED => ChangeStatus::Conflict,
        StatusCode::GATEWAY_TIMEOUT => ChangeStatus::Unknown,
        _ => ChangeStatus::Failed,
    };
    let body: Value = answer.json().await.unwrap_or_default();
    Ok(ChangeOutcome {
        status,
        message: format!("{} {body}", answer.status()),
    })
}
