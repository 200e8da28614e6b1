//! Reads what changed, at a cost that does not grow with the number of contracts.

use model::CustomerId;
use platform::{PlatformClient, ReadError, StoreKey, TableName};
use thiserror::Error;

use crate::{
    rows::{decode, head_key, StoredContract, StoredHead},
    BrokenRow, ContractRow, ContractUpdate, HeadNumber,
};

/// Rows read at once.
const PAGE_ROWS: usize = 500;

/// A view further behind than this reads all contracts and not the log: past it the log, which has a row for each
/// change ever made, is the longer way.
const MAX_LOG_ROWS: u64 = 2_000;

/// Why a poll gave no news. The view stays as it is, and its age shows the trouble.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PollError {
    /// The platform did not answer.
    #[error(transparent)]
    Platform(#[from] ReadError),
    /// A row cannot be read. The head stays in front of it, since the newest contracts would otherwise be taken as
    /// known while one of them is not.
    #[error(transparent)]
    Row(#[from] BrokenRow),
}

/// Reads contracts from the platform for a [`crate::ContractView`].
#[derive(Clone)]
pub struct ContractReader {
    client: PlatformClient,
}

impl ContractReader {
    /// A reader over a client.
    pub fn new(client: PlatformClient) -> Self {
        Self { client }
    }

    /// Reads the head row, and what a view with this head lacks if the head has moved
    /// ([`crate::ContractView::loaded_head`]). One read when nothing changed, two for any change; a view without contracts
    /// reads them all.
    ///
    /// # Errors
    ///
    /// Says why nothing could be read. The next poll starts afresh.
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

    /// The head as the platform has it now.
    async fn head(&self) -> Result<HeadNumber, PollError> {
        let (table, key) = (TableName::ContractHead, head_key());
        let Some(row) = self.client.get_row(table, &key).await? else {
            return Ok(HeadNumber::default());
        };
        let stored: StoredHead = decode(table, &key, row.value)?;
        Ok(stored.head)
    }

    /// Reads every contract. The head was read before: a row that changes between two pages has a later number and
    /// is read again from the log, so nothing is skipped.
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

    /// Reads the log from one head to at least another; nothing when the log has a gap.
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

/// Reads a page of contracts in the order of their customers.
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
