//! Versioned rows and atomic transactions.

use std::{collections::BTreeMap, ops::Bound};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A row as returned by reads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// Number of writes of the row, from 1.
    pub version: u64,
    /// The value of the row.
    pub value: Value,
}

/// The version of a row that a write requires.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExpectedVersion {
    /// The row must not exist.
    Absent,
    /// Any version, or no row.
    #[default]
    Any,
    /// The row must have exactly this version.
    Version(u64),
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WriteRequest {
    /// The table.
    pub table: String,
    /// The row's key.
    pub key: String,
    /// The version that the write requires.
    pub expect: ExpectedVersion,
    /// The new value of the row.
    pub value: Value,
}

/// A write that did not find the version that it requires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowConflict {
    /// The table.
    pub table: String,
    /// The row's key.
    pub key: String,
    /// The current version, or `None` if there is no row.
    pub version: Option<u64>,
}

/// All tables of the service.
#[derive(Debug, Default)]
pub(super) struct TableStore {
    rows: BTreeMap<(String, String), TableRow>,
}

impl TableStore {
    pub(super) fn get(&self, table: &str, key: &str) -> Option<&TableRow> {
        self.rows.get(&(table.to_owned(), key.to_owned()))
    }

    /// Returns at most `limit` rows of a table in key order, starting after the key `after`.
    pub(super) fn list(&self, table: &str, after: &str, limit: usize) -> Vec<(&str, &TableRow)> {
        let start = Bound::Excluded((table.to_owned(), after.to_owned()));
        self.rows
            .range((start, Bound::Unbounded))
            .take_while(|((t, _), _)| t == table)
            .take(limit)
            .map(|((_, key), row)| (key.as_str(), row))
            .collect()
    }

    /// Commits all writes and returns the new versions, or returns every conflict and changes nothing.
    pub(super) fn commit(&mut self, writes: &[WriteRequest]) -> Result<Vec<u64>, Vec<RowConflict>> {
        let conflicts = self.conflicts(writes);
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        Ok(writes.iter().map(|w| self.put(w)).collect())
    }

    /// Increments the version of a row without changing its value. A row that does not exist is created with an empty
    /// object.
    pub(super) fn bump(&mut self, table: &str, key: &str) {
        let row = self
            .rows
            .entry((table.to_owned(), key.to_owned()))
            .or_insert_with(|| TableRow {
                version: 0,
                value: Value::Object(serde_json::Map::new()),
            });
        row.version += 1;
    }

    fn conflicts(&self, writes: &[WriteRequest]) -> Vec<RowConflict> {
        let mut conflicts = Vec::new();
        for write in writes {
            let version = self.get(&write.table, &write.key).map(|row| row.version);
            let holds = match write.expect {
                ExpectedVersion::Absent => version.is_none(),
                ExpectedVersion::Any => true,
                ExpectedVersion::Version(v) => version == Some(v),
            };
            if holds {
                continue;
            }
            conflicts.push(RowConflict {
                table: write.table.clone(),
                key: write.key.clone(),
                version,
            });
        }
        conflicts
    }

    fn put(&mut self, write: &WriteRequest) -> u64 {
        let row = self
            .rows
            .entry((write.table.clone(), write.key.clone()))
            .or_insert_with(|| TableRow {
                version: 0,
                value: Value::Null,
            });
        row.version += 1;
        row.value = write.value.clone();
        row.version
    }
}
