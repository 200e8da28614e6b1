//! What operators ask for, as messages to the control thread.

use actix::Message;
use contracts::{ContractEditor, ContractRow};
use model::{Contract, ContractVersion, CustomerId};
use serde::Serialize;

use super::OperatorError;

/// One call of an operator, checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Show a contract.
    Show {
        /// Whose.
        customer: CustomerId,
    },
    /// List contracts in the order of their customers.
    List {
        /// The customer before the first listed one.
        after: Option<CustomerId>,
        /// The most to list.
        limit: usize,
    },
    /// List the versions of a contract, oldest first.
    History {
        /// Whose.
        customer: CustomerId,
        /// The version before the first listed one.
        after: ContractVersion,
        /// The most to list.
        limit: usize,
    },
    /// Write the first version of a contract.
    Create {
        /// Whose.
        customer: CustomerId,
        /// The contract.
        contract: Contract,
    },
    /// Write the next version of a contract.
    Change {
        /// Whose.
        customer: CustomerId,
        /// The version that is replaced.
        expected: ContractVersion,
        /// The contract.
        contract: Contract,
    },
    /// Write a next version that covers no new work.
    Retire {
        /// Whose.
        customer: CustomerId,
        /// The version that is replaced.
        expected: ContractVersion,
    },
}

impl Message for OperatorCommand {
    type Result = Result<OperatorReply, OperatorError>;
}

impl OperatorCommand {
    /// Whether the command may change a contract.
    pub fn writes(&self) -> bool {
        match self {
            Self::Show { .. } | Self::List { .. } | Self::History { .. } => false,
            Self::Create { .. } | Self::Change { .. } | Self::Retire { .. } => true,
        }
    }
}

/// One version of a contract with the change that made it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HistoryEntry {
    /// The change's id.
    pub change: contracts::ChangeId,
    /// The version.
    #[serde(flatten)]
    pub row: ContractRow,
}

/// What a command gives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    /// The contract as it is, or as it was written.
    Contract(ContractRow),
    /// A page of contracts.
    List(Vec<ContractRow>),
    /// A page of versions.
    History(Vec<HistoryEntry>),
}

impl OperatorReply {
    pub(super) fn into_contract(self) -> Result<ContractRow, OperatorError> {
        match self {
            Self::Contract(row) => Ok(row),
            // The command may have been a write, so nothing is promised.
            Self::List(_) | Self::History(_) => Err(OperatorError::Unknown {
                version: None,
                change: None,
            }),
        }
    }

    pub(super) fn into_list(self) -> Result<Vec<ContractRow>, OperatorError> {
        match self {
            Self::List(rows) => Ok(rows),
            Self::Contract(_) | Self::History(_) => Err(OperatorError::unexpected_reply()),
        }
    }

    pub(super) fn into_history(self) -> Result<Vec<HistoryEntry>, OperatorError> {
        match self {
            Self::History(entries) => Ok(entries),
            Self::Contract(_) | Self::List(_) => Err(OperatorError::unexpected_reply()),
        }
    }
}

/// Runs a command on an editor.
///
/// # Errors
///
/// Gives what the operator hears.
pub async fn run_command(
    editor: &ContractEditor,
    command: OperatorCommand,
) -> Result<OperatorReply, OperatorError> {
    let row = match command {
        OperatorCommand::List { after, limit } => {
            let rows = editor.list(after.as_ref(), limit).await?;
            return Ok(OperatorReply::List(rows));
        }
        OperatorCommand::History {
            customer,
            after,
            limit,
        } => {
            let versions = editor.history(&customer, after, limit).await?;
            let entries = versions
                .into_iter()
                .map(|(change, row)| HistoryEntry { change, row });
            return Ok(OperatorReply::History(entries.collect()));
        }
        OperatorCommand::Show { customer } => editor
            .show(&customer)
            .await?
            .ok_or(OperatorError::NotFound)?,
        OperatorCommand::Create { customer, contract } => {
            editor.create(&customer, contract).await?
        }
        OperatorCommand::Change {
            customer,
            expected,
            contract,
        } => editor.change(&customer, expected, contract).await?,
        OperatorCommand::Retire { customer, expected } => {
            editor.retire(&customer, expected).await?
        }
    };
    Ok(OperatorReply::Contract(row))
}
