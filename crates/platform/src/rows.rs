//! Tables, keys and rows of the platform's store.

use std::{fmt, str::FromStr};

use model::{CustomerId, IdempotencyKey};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

/// The longest key, in bytes: almost twice the longest key of an idempotency record, which is two ids and a slash.
const MAX_KEY_BYTES: usize = 256;

/// A table of the system in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableName {
    /// The contract in force, by customer.
    Contracts,
    /// A single row with the number of the newest change of any contract.
    ContractHead,
    /// Every version of every contract, by customer and version.
    ContractHistory,
    /// Every change of any contract, by its number.
    ContractLog,
    /// Idempotency keys, by customer and key.
    RequestKeys,
}

/// The error for a text that names no table.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a table: {0:?}")]
pub struct InvalidTable(pub String);

impl TableName {
    /// All tables.
    pub const ALL: &'static [Self] = &[
        Self::Contracts,
        Self::ContractHead,
        Self::ContractHistory,
        Self::ContractLog,
        Self::RequestKeys,
    ];

    /// The table's name in the platform.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Contracts => "contracts",
            Self::ContractHead => "contract-head",
            Self::ContractHistory => "contract-history",
            Self::ContractLog => "contract-log",
            Self::RequestKeys => "request-keys",
        }
    }
}

impl fmt::Display for TableName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for TableName {
    type Err = InvalidTable;

    fn from_str(s: &str) -> Result<Self, InvalidTable> {
        for table in Self::ALL {
            if table.as_str() == s {
                return Ok(*table);
            }
        }
        Err(InvalidTable(s.to_owned()))
    }
}

/// The key of a row or the name of an object. Its characters need no escaping in a URL. The default is the empty
/// key, which no row has; a list after the empty key starts at the first row.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct StoreKey(String);

/// The error for a text that is not a key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a key of the platform's store: {0:?}")]
pub struct InvalidKey(pub String);

impl StoreKey {
    /// Creates a key from a name that is fixed in the code.
    ///
    /// # Panics
    ///
    /// Panics if the name is not a valid key. A test of the code that uses the name would show this.
    pub fn from_static(name: &'static str) -> Self {
        name.parse().expect("a fixed name is a valid key")
    }

    /// The key of a customer's row in a table with one row per customer.
    pub fn for_customer(customer: &CustomerId) -> Self {
        Self(customer.to_string())
    }

    /// The key of the row for a version of a customer's contract. The number is zero-padded, so that rows are ordered
    /// by it.
    pub fn for_customer_version(customer: &CustomerId, number: u64) -> Self {
        Self(format!("{customer}/{number:020}"))
    }

    /// The key of a row identified by a number. The number is zero-padded, so that rows are ordered by it.
    pub fn for_number(number: u64) -> Self {
        Self(format!("{number:020}"))
    }

    /// The key of the row for a customer's idempotency key.
    pub fn for_idempotency_key(customer: &CustomerId, key: &IdempotencyKey) -> Self {
        Self(format!("{customer}/{key}"))
    }

    /// The text form.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for StoreKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for StoreKey {
    type Err = InvalidKey;

    fn from_str(s: &str) -> Result<Self, InvalidKey> {
        let valid_chars = s
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.:/".contains(&b));
        if s.is_empty() || s.len() > MAX_KEY_BYTES || !valid_chars {
            return Err(InvalidKey(s.chars().take(MAX_KEY_BYTES).collect()));
        }
        Ok(Self(s.to_owned()))
    }
}

impl<'de> Deserialize<'de> for StoreKey {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?
            .parse()
            .map_err(serde::de::Error::custom)
    }
}

/// The number of writes of a row so far, from 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RowVersion(pub u64);

impl fmt::Display for RowVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RowVersion {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}

/// A row as returned by the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// The row's version.
    pub version: RowVersion,
    /// The row's content.
    pub value: Value,
}

/// A row of a list, with its key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyedRow {
    /// The row's key.
    pub key: StoreKey,
    /// The row's version.
    pub version: RowVersion,
    /// The row's content.
    pub value: Value,
}

/// The version that a write expects its row to have. If it differs, the whole transaction has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExpectedVersion {
    /// The row does not exist.
    Absent,
    /// The row has any version or does not exist.
    Any,
    /// The row has exactly this version.
    Version(RowVersion),
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RowWrite {
    /// The table.
    pub table: TableName,
    /// The row's key.
    pub key: StoreKey,
    /// The version that the row is expected to have.
    pub expect: ExpectedVersion,
    /// The row's new content.
    pub value: Value,
}

/// A row whose version differs from the one that a write expected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowConflict {
    /// The table.
    pub table: TableName,
    /// The row's key.
    pub key: StoreKey,
    /// The row's actual version, or `None` if the row does not exist.
    pub version: Option<RowVersion>,
}
