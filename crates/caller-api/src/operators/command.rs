//! Operator commands, as messages to the control thread.

use actix::Message;
use contracts::{ContractEditor, ContractRow};
use model::{Contract, ContractVersion, CustomerId};
use serde::Serialize;

use super::OperatorError;

/// A validated call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Reads a contract.
    Show {
        /// The customer whose contract is read.
        customer: CustomerId,
    },
    /// Lists contracts, ordered by customer.
    List {
        /// The listing starts after this customer.
        after: Option<CustomerId>,
        /// The most entries to list.
        limit: usize,
    },
    /// Lists the versions of a contract, oldest first.
    History {
        /// The customer whose contract is read.
        customer: CustomerId,
        /// The listing starts after this version.
        after: ContractVersion,
        /// The most entries to list.
        limit: usize,
    },
    /// Writes the first version of a contract.
    Create {
        /// The customer, who must not have a contract yet.
        customer: CustomerId,
        /// The first version.
        contract: Contract,
    },
    /// Writes the next version of a contract.
    Change {
        /// The customer whose contract is changed.
        customer: CustomerId,
        /// The version to replace.
        expected: ContractVersion,
        /// The next version.
        contract: Contract,
    },
    /// Writes a next version under which new work is refused.
    Retire {
        /// The customer whose contract is retired.
        customer: CustomerId,
        /// The version to replace.
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

/// One version of a contract with the change that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HistoryEntry {
    /// The change's id.
    pub change: contracts::ChangeId,
    /// The contract at this version.
    #[serde(flatten)]
    pub row: ContractRow,
}

/// The reply to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    /// The contract as read or as written.
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
            // The command may have been a write, so its outcome is unknown.
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
/// Returns the error to report to the operator.
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
