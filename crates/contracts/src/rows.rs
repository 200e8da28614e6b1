//! Rows of contracts, as peers pass them and as the platform's tables keep them.

use std::{fmt, str::FromStr};

use model::{Contract, ContractVersion, CustomerId};
use platform::{ExpectedVersion, RowWrite, StoreKey, TableName};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

/// Counts the changes of all contracts, from 1. It only goes up.
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

/// One change of one contract, chosen at random by who makes it. A change whose answer was lost is told from
/// another operator's by it.
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
    /// Whose contract.
    pub customer: CustomerId,
    /// Counts the changes of this contract.
    pub version: ContractVersion,
    /// The number, among the changes of all contracts, of the change that wrote this version.
    pub head: HeadNumber,
    /// The contract.
    pub contract: Contract,
}

/// What one process tells another: every row that is newer than a head.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractUpdate {
    /// The rows are complete for a view that has at least this head; 0: for any view.
    pub since: HeadNumber,
    /// The head that the rows lead to.
    pub head: HeadNumber,
    /// The newest row of each customer that changed between the two.
    pub rows: Vec<ContractRow>,
}

/// A row of the platform that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("row {key} of {table} cannot be read: {reason}")]
pub struct BrokenRow {
    /// The table.
    pub table: TableName,
    /// The row's key.
    pub key: StoreKey,
    /// What is wrong with it.
    pub reason: String,
}

/// A contract's row with the change that wrote it, the content of three tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredContract {
    #[serde(flatten)]
    pub(crate) row: ContractRow,
    pub(crate) change: ChangeId,
}

/// The content of the one head row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredHead {
    pub(crate) head: HeadNumber,
}

impl StoredContract {
    /// The writes of the change, all in one transaction. The history row is expected to be absent too: where a late
    /// writer lost, its write can then never land, whatever became of the other rows since.
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

/// The key of the one head row.
pub(crate) fn head_key() -> StoreKey {
    StoreKey::from_static("head")
}

/// Reads the content of a row.
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
