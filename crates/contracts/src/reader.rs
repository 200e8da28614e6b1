//! Polls the platform for changed contracts, at a cost that does not grow with the number of contracts.

use model::CustomerId;
use platform::{PlatformClient, ReadError, StoreKey, TableName};
use thiserror::Error;

use crate::{
    rows::{decode, head_key, StoredContract, StoredHead},
    BrokenRow, ContractRow, ContractUpdate, HeadNumber,
};

/// Rows per page of a listing.
const PAGE_ROWS: usize = 500;

/// The most changes that are read from the log. A view that is further behind gets all contracts instead: the log has a
/// row for each change ever made, so reading that many rows takes longer than reading the contracts.
const MAX_LOG_ROWS: u64 = 2_000;

/// Why a poll failed. The view stays unchanged, and its growing age shows the failure.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PollError {
    /// The platform did not answer.
    #[error(transparent)]
    Platform(#[from] ReadError),
    /// A row cannot be decoded. The head does not advance past this row, since the view would otherwise count as up
    /// to date although one contract is missing.
    #[error(transparent)]
    Row(#[from] BrokenRow),
}

/// Reads contracts from the platform for a [`crate::ContractView`].
#[derive(Clone)]
pub struct ContractReader {
    client: PlatformClient,
}

impl ContractReader {
    /// Creates a reader that uses `client`.
    pub fn new(client: PlatformClient) -> Self {
        Self { client }
    }

    /// Reads the head row and, if the head has moved past `known` ([`crate::ContractView::loaded_head`]), the changes
    /// in between. Returns `None` if the head has not moved, at the cost of one read; up to 500 changes, which is one
    /// page of the log, cost two reads. If `known` is `None`, reads all contracts.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or a row cannot be decoded. A failed poll does not affect the next one.
    pub async fn poll(
        &self,
        known: Option<HeadNumber>,
    ) -> Result<Option<ContractUpdate>, PollError> {
        let head = self.head().await?;
        let Some(known) = known else {
            return self.read_all(head).await.map(Some);
        };
        if head.0.saturating_sub(known.0) > MAX_LOG_ROWS {
            return self.read_all(head).await.map(Some);
        }
        if head <= known {
            return Ok(None);
        }
        match self.read_log(known, head).await? {
            Some(update) => Ok(Some(update)),
            None => self.read_all(head).await.map(Some),
        }
    }

    /// Reads the current head from the platform.
    async fn head(&self) -> Result<HeadNumber, PollError> {
        let (table, key) = (TableName::ContractHead, head_key());
        let Some(row) = self.client.get_row(table, &key).await? else {
            return Ok(HeadNumber::default());
        };
        let stored: StoredHead = decode(table, &key, row.value)?;
        Ok(stored.head)
    }

    /// Reads every contract. The head was read before the pages, so a row that changes between two pages has a later
    /// number and is read again from the log: no change is skipped.
    async fn read_all(&self, head: HeadNumber) -> Result<ContractUpdate, PollError> {
        let mut update = ContractUpdate {
            head,
            ..ContractUpdate::default()
        };
        loop {
            let after = update.rows.last().map(|row| row.customer.clone());
            let page = read_page(&self.client, after.as_ref(), PAGE_ROWS).await?;
            let last = page.len() < PAGE_ROWS;
            update.rows.extend(page);
            if last {
                return Ok(update);
            }
        }
    }

    /// Reads the log from `since` to at least `until`. Returns `None` when the log has a gap.
    async fn read_log(
        &self,
        since: HeadNumber,
        until: HeadNumber,
    ) -> Result<Option<ContractUpdate>, PollError> {
        let mut update = ContractUpdate {
            since,
            head: since,
            rows: Vec::new(),
        };
        while update.head < until {
            let after = StoreKey::for_number(update.head.0);
            let table = TableName::ContractLog;
            let page = self.client.list_rows(table, &after, PAGE_ROWS).await?;
            if page.is_empty() {
                return Ok(None);
            }
            for listed in page {
                let stored: StoredContract = decode(table, &listed.key, listed.value)?;
                if stored.row.head != update.head.next() {
                    return Ok(None);
                }
                update.head = stored.row.head;
                update.rows.push(stored.row);
            }
        }
        Ok(Some(update))
    }
}

/// Reads a page of contracts, ordered by customer.
pub(crate) async fn read_page(
    client: &PlatformClient,
    after: Option<&CustomerId>,
    limit: usize,
) -> Result<Vec<ContractRow>, PollError> {
    let table = TableName::Contracts;
    let after = after.map(StoreKey::for_customer).unwrap_or_default();
    let mut rows = Vec::new();
    for listed in client.list_rows(table, &after, limit).await? {
        let stored: StoredContract = decode(table, &listed.key, listed.value)?;
        rows.push(stored.row);
    }
    Ok(rows)
}
