//! An operator who changes contracts in the platform's tables, from one VM's place in the network.

use std::{net::SocketAddr, sync::Arc};

use contracts::{ContractEditor, EditError, EditorSettings};
use kernel::SystemClock;
use platform::{ClientSettings, PlatformClient};

use crate::script::{ChangeStatus, ContractLine};

/// What became of a change.
#[derive(Clone, Debug)]
pub(crate) struct ChangeEnd {
    pub(crate) status: ChangeStatus,
    /// What the operator was told.
    pub(crate) message: String,
}

/// Writes a contract over the version that is there now, or creates it.
pub(crate) async fn change(platform: SocketAddr, line: &ContractLine, seed: u64) -> ChangeEnd {
    let settings = ClientSettings {
        address: platform,
        ..ClientSettings::default()
    };
    let client = PlatformClient::new(settings, Arc::new(SystemClock));
    let rng = fastrand::Rng::with_seed(seed);
    let editor = ContractEditor::new(client, EditorSettings::default(), rng);
    let made = match editor.show(&line.customer).await {
        Ok(Some(row)) => {
            editor
                .change(&line.customer, row.version, line.contract.clone())
                .await
        }
        Ok(None) => editor.create(&line.customer, line.contract.clone()).await,
        Err(error) => Err(error),
    };
    match made {
        Ok(row) => ChangeEnd {
            status: ChangeStatus::Accepted,
            message: format!("version {}", row.version),
        },
        Err(error) => ChangeEnd {
            status: match error {
                EditError::Conflict(_) => ChangeStatus::Conflict,
                _ => ChangeStatus::Failed,
            },
            message: error.to_string(),
        },
    }
}
