//! Contract rows, in the form that peers exchange and in the form that the platform's tables store.

use std::{fmt, str::FromStr};

use model::{Contract, ContractVersion, CustomerId};
use platform::{ExpectedVersion, RowWrite, StoreKey, TableName};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

/// The sequence number of a change among the changes of all contracts, from 1. It only increases.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct HeadNumber(pub u64);

impl HeadNumber {
    /// The number of the change after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for HeadNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for HeadNumber {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}

/// The id of one change of one contract, drawn at random by the editor that makes the change. After the platform's
/// answer was lost, the editor recognises its own change by the id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ChangeId(pub u64);

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ChangeId {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(s, 16).map(Self)
    }
}

impl From<ChangeId> for String {
    fn from(change: ChangeId) -> Self {
        change.to_string()
    }
}

impl TryFrom<String> for ChangeId {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// One version of one customer's contract.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractRow {
    /// The customer whose contract this is.
    pub customer: CustomerId,
    /// The version, which counts the changes of this contract.
    pub version: ContractVersion,
    /// The sequence number, among the changes of all contracts, of the change that wrote this version.
    pub head: HeadNumber,
    /// The terms at this version.
    pub contract: Contract,
}

/// The rows that bring a view up to date, as read from the platform or sent by a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractUpdate {
    /// The lowest head of a view for which this update has every newer row; 0 if it is complete for any view.
    pub since: HeadNumber,
    /// The head after the update.
    pub head: HeadNumber,
    /// The rows written between the two heads. An update that was read from the log has each changed version; others
    /// have only the newest row of each customer.
    pub rows: Vec<ContractRow>,
}

/// A row of the platform that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("row {key} of {table} cannot be read: {reason}")]
pub struct BrokenRow {
    /// The table that holds the row.
    pub table: TableName,
    /// The row's key.
    pub key: StoreKey,
    /// The decoding error.
    pub reason: String,
}

/// A contract row with the id of the change that wrote it. The tables of contracts, history and log all store this
/// form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredContract {
    #[serde(flatten)]
    pub(crate) row: ContractRow,
    pub(crate) change: ChangeId,
}

/// The content of the single head row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredHead {
    pub(crate) head: HeadNumber,
}

impl StoredContract {
    /// The writes of the change, which form one transaction. The rows of the history and the log are expected to be
    /// absent. For the history row this ensures that a delayed write can never take effect after another change has
    /// created the same version, whatever has happened to the other rows since.
    pub(crate) fn writes(
        &self,
        contract_expect: ExpectedVersion,
        head_expect: ExpectedVersion,
    ) -> Vec<RowWrite> {
        let row = &self.row;
        let customer = &row.customer;
        let write = |table, key, expect| RowWrite {
            table,
            key,
            expect,
            value: serde_json::json!(self),
        };
        let head = RowWrite {
            table: TableName::ContractHead,
            key: head_key(),
            expect: head_expect,
            value: serde_json::json!(StoredHead { head: row.head }),
        };
        let version_key = StoreKey::for_customer_version(customer, row.version.0);
        let number_key = StoreKey::for_number(row.head.0);
        let absent = ExpectedVersion::Absent;
        vec![
            write(
                TableName::Contracts,
                StoreKey::for_customer(customer),
                contract_expect,
            ),
            head,
            write(TableName::ContractHistory, version_key, absent),
            write(TableName::ContractLog, number_key, absent),
        ]
    }
}

/// The key of the single head row.
pub(crate) fn head_key() -> StoreKey {
    StoreKey::from_static("head")
}

/// Decodes the content of a row.
pub(crate) fn decode<T: DeserializeOwned>(
    table: TableName,
    key: &StoreKey,
    value: Value,
) -> Result<T, BrokenRow> {
    serde_json::from_value(value).map_err(|e| BrokenRow {
        table,
        key: key.clone(),
        reason: e.to_string(),
    })
}
