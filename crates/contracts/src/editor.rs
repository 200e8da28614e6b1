//! Changes of contracts by operators, as compare-and-set transactions with retries.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use fastrand::Rng;
use model::{Contract, ContractState, ContractVersion, CustomerId, InvalidContract};
use platform::{
    CommitError, ExpectedVersion, PlatformClient, ReadError, RowConflict, StoreKey, TableName,
};
use thiserror::Error;

use crate::{
    reader::read_page,
    rows::{decode, head_key, StoredContract, StoredHead},
    BrokenRow, ChangeId, ContractRow, HeadNumber, PollError,
};

/// The retry limits of an editor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EditorSettings {
    /// How long a change is retried before it fails.
    pub time_limit: Duration,
    /// How often a change is retried after a conflict on the head row with a change of another contract. Each such
    /// conflict means that another change took effect, so all operators together always make progress.
    pub max_head_conflicts: u32,
    /// The longest delay before a retry. The delay is drawn at random between half of it and all of it: the jitter
    /// keeps two conflicting editors from colliding again, and the lower bound keeps one editor from spinning.
    pub max_retry_delay: Duration,
}

impl Default for EditorSettings {
    fn default() -> Self {
        Self {
            time_limit: Duration::from_secs(5),
            max_head_conflicts: 20,
            max_retry_delay: Duration::from_millis(20),
        }
    }
}

/// The precondition of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedContract {
    /// The customer has no contract.
    Absent,
    /// The contract is at this version.
    Version(ContractVersion),
}

/// Why a change or a read failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EditError {
    /// A field of the contract is out of range. Nothing was written.
    #[error(transparent)]
    InvalidContract(#[from] InvalidContract),
    /// The customer has no contract. Nothing was written.
    #[error("the customer has no contract")]
    NotFound,
    /// The contract is not at the version that the operator expected, because another change was made first. Nothing
    /// was written.
    #[error("the contract is at version {}", .0.version)]
    Conflict(Box<ContractRow>),
    /// The change reached its retry limits because of changes of other contracts. Nothing was written.
    #[error("too many concurrent changes of other contracts")]
    Contended,
    /// The platform did not answer or did not accept the change. Nothing was written.
    #[error("the platform does not answer: {0}")]
    Unavailable(String),
    /// The change may have taken effect or may still take effect.
    #[error("outcome unknown: the change was made if version {version} has change id {change}")]
    Uncertain {
        /// The version that the change creates if it takes effect.
        version: ContractVersion,
        /// The id of the change, under which the history lists it.
        change: ChangeId,
    },
    /// A row of the platform cannot be decoded. Nothing was written.
    #[error(transparent)]
    Row(#[from] BrokenRow),
}

impl From<ReadError> for EditError {
    fn from(error: ReadError) -> Self {
        Self::Unavailable(error.to_string())
    }
}

impl From<PollError> for EditError {
    fn from(error: PollError) -> Self {
        match error {
            PollError::Platform(e) => e.into(),
            PollError::Row(e) => e.into(),
        }
    }
}

/// Creates, changes and retires contracts by compare-and-set, and reads them from the platform.
pub struct ContractEditor {
    client: PlatformClient,
    settings: EditorSettings,
    rng: RefCell<Rng>,
}

/// A change in progress. Its id and version stay the same in every attempt, so that two attempts can never both take
/// effect: the second one conflicts with the rows of the first.
struct PendingChange {
    customer: CustomerId,
    expected: ExpectedContract,
    contract: Contract,
    change: ChangeId,
    deadline: Instant,
    /// Whether an earlier attempt may have taken effect or may still do so.
    uncertain: bool,
    head_conflicts: u32,
}

/// The result of one attempt.
enum AttemptEnd {
    Committed(ContractRow),
    Retry,
}

impl PendingChange {
    /// The version that the change creates.
    fn version(&self) -> ContractVersion {
        match self.expected {
            ExpectedContract::Absent => ContractVersion(1),
            ExpectedContract::Version(v) => ContractVersion(v.0 + 1),
        }
    }

    /// The error to report when the last attempt definitely failed: [`EditError::Uncertain`] if an earlier attempt may
    /// have taken effect, and `error` otherwise.
    fn error_or_uncertain(&self, error: EditError) -> EditError {
        if !self.uncertain {
            return error;
        }
        EditError::Uncertain {
            version: self.version(),
            change: self.change,
        }
    }
}

impl ContractEditor {
    /// Creates an editor that uses `client`. `rng` generates change ids, so no two processes may use the same seed.
    pub fn new(client: PlatformClient, settings: EditorSettings, rng: Rng) -> Self {
        Self {
            client,
            settings,
            rng: RefCell::new(rng),
        }
    }

    /// Writes the first version of a contract.
    ///
    /// # Errors
    ///
    /// [`EditError::Conflict`] when the customer already has a contract, even a retired one.
    pub async fn create(
        &self,
        customer: &CustomerId,
        contract: Contract,
    ) -> Result<ContractRow, EditError> {
        self.commit_change(customer, ExpectedContract::Absent, contract)
            .await
    }

    /// Writes the version after `expected`.
    ///
    /// # Errors
    ///
    /// [`EditError::Conflict`], with the current row, when the contract is not at `expected`.
    pub async fn change(
        &self,
        customer: &CustomerId,
        expected: ContractVersion,
        contract: Contract,
    ) -> Result<ContractRow, EditError> {
        let expected = ExpectedContract::Version(expected);
        self.commit_change(customer, expected, contract).await
    }

    /// Writes the version after `expected`, in which only the state differs.
    ///
    /// # Errors
    ///
    /// As [`Self::change`].
    pub async fn retire(
        &self,
        customer: &CustomerId,
        expected: ContractVersion,
    ) -> Result<ContractRow, EditError> {
        let row = self.show(customer).await?.ok_or(EditError::NotFound)?;
        if row.version != expected {
            return Err(EditError::Conflict(Box::new(row)));
        }
        let contract = Contract {
            state: ContractState::Retired,
            ..row.contract
        };
        self.change(customer, expected, contract).await
    }

    /// Reads a contract from the platform.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or the row cannot be decoded.
    pub async fn show(&self, customer: &CustomerId) -> Result<Option<ContractRow>, EditError> {
        let found = self.read_contract(customer).await?;
        Ok(found.map(|(_, stored)| stored.row))
    }

    /// Reads at most `limit` contracts, ordered by customer, starting after `after`.
    ///
    /// # Errors
    ///
    /// As [`Self::show`].
    pub async fn list(
        &self,
        after: Option<&CustomerId>,
        limit: usize,
    ) -> Result<Vec<ContractRow>, EditError> {
        Ok(read_page(&self.client, after, limit).await?)
    }

    /// Reads at most `limit` versions of a contract, oldest first, starting after `after`.
    ///
    /// # Errors
    ///
    /// As [`Self::show`].
    pub async fn history(
        &self,
        customer: &CustomerId,
        after: ContractVersion,
        limit: usize,
    ) -> Result<Vec<(ChangeId, ContractRow)>, EditError> {
        let table = TableName::ContractHistory;
        let after = StoreKey::for_customer_version(customer, after.0);
        let prefix = format!("{customer}/");
        let mut versions = Vec::new();
        for listed in self.client.list_rows(table, &after, limit).await? {
            // The rows of the next customer follow the last row of this one.
            if !listed.key.as_str().starts_with(&prefix) {
                break;
            }
            let stored: StoredContract = decode(table, &listed.key, listed.value)?;
            versions.push((stored.change, stored.row));
        }
        Ok(versions)
    }

    async fn commit_change(
        &self,
        customer: &CustomerId,
        expected: ExpectedContract,
        contract: Contract,
    ) -> Result<ContractRow, EditError> {
        contract.check(customer)?;
        let mut pending = PendingChange {
            customer: customer.clone(),
            expected,
            contract,
            change: ChangeId(self.rng.borrow_mut().u64(..)),
            deadline: self.client.clock().now() + self.settings.time_limit,
            uncertain: false,
            head_conflicts: 0,
        };
        loop {
            match self.attempt(&mut pending).await? {
                AttemptEnd::Committed(row) => return Ok(row),
                AttemptEnd::Retry => {}
            }
            self.check_retry_limits(&pending)?;
            self.wait_before_retry().await;
        }
    }

    /// Reads the current rows, and writes the change if they match the precondition.
    async fn attempt(&self, pending: &mut PendingChange) -> Result<AttemptEnd, EditError> {
        let prepared = match self.prepare(pending).await {
            Ok(Prepared::Committed(row)) => return Ok(AttemptEnd::Committed(row)),
            Ok(Prepared::Write(prepared)) => prepared,
            // A failed read does not resolve an earlier attempt of unknown outcome, so reads are retried until the
            // time limit.
            Err(EditError::Unavailable(_)) if pending.uncertain => return Ok(AttemptEnd::Retry),
            Err(e @ EditError::Row(_)) => return Err(pending.error_or_uncertain(e)),
            Err(e) => return Err(e),
        };
        let (stored, contract_expect, head_expect) = *prepared;
        let writes = stored.writes(contract_expect, head_expect);
        match self.client.commit(writes).await {
            Ok(_) => Ok(AttemptEnd::Committed(stored.row)),
            Err(CommitError::Conflict(conflicts)) => {
                count_head_conflict(pending, &conflicts);
                Ok(AttemptEnd::Retry)
            }
            Err(CommitError::NotSent(_)) if pending.uncertain => Ok(AttemptEnd::Retry),
            Err(CommitError::NotSent(failure)) => Err(EditError::Unavailable(failure.to_string())),
            Err(CommitError::Uncertain(failure)) => {
                log::warn!(
                    "contracts: outcome of change {} unknown: {failure}",
                    pending.change
                );
                pending.uncertain = true;
                Ok(AttemptEnd::Retry)
            }
        }
    }

    /// Reads the rows that the change would replace, or finds that an earlier attempt took effect.
    async fn prepare(&self, pending: &PendingChange) -> Result<Prepared, EditError> {
        let found = self.read_contract(&pending.customer).await?;
        let contract_expect = match (&found, pending.expected) {
            (None, ExpectedContract::Absent) => ExpectedVersion::Absent,
            (Some((expect, stored)), ExpectedContract::Version(v)) if stored.row.version == v => {
                *expect
            }
            (None, ExpectedContract::Version(_)) => return Err(EditError::NotFound),
            (Some((_, stored)), _) => {
                return self.resolve_conflict(pending, stored.row.clone()).await;
            }
        };
        let (head_expect, head) = self.read_head().await?;
        let row = ContractRow {
            customer: pending.customer.clone(),
            version: pending.version(),
            head: head.next(),
            contract: pending.contract.clone(),
        };
        let stored = StoredContract {
            row,
            change: pending.change,
        };
        let prepared = Box::new((stored, contract_expect, head_expect));
        Ok(Prepared::Write(prepared))
    }

    /// Finds out whether a conflict is with an earlier attempt of this change, whose answer was lost, or with a change
    /// of another operator. The contract may have changed again since, so the change id is compared with that of the
    /// version's history row and not with that of the newest row. If the history row belongs to another change, an
    /// attempt of unknown outcome can no longer take effect, since the contract row that the attempt expects is gone:
    /// the conflict is definite.
    async fn resolve_conflict(
        &self,
        pending: &PendingChange,
        newest: ContractRow,
    ) -> Result<Prepared, EditError> {
        if pending.uncertain {
            let table = TableName::ContractHistory;
            let key = StoreKey::for_customer_version(&pending.customer, pending.version().0);
            if let Some(found) = self.client.get_row(table, &key).await? {
                let stored: StoredContract = decode(table, &key, found.value)?;
                if stored.change == pending.change {
                    return Ok(Prepared::Committed(stored.row));
                }
            }
        }
        Err(EditError::Conflict(Box::new(newest)))
    }

    async fn read_contract(
        &self,
        customer: &CustomerId,
    ) -> Result<Option<(ExpectedVersion, StoredContract)>, EditError> {
        let (table, key) = (TableName::Contracts, StoreKey::for_customer(customer));
        let Some(row) = self.client.get_row(table, &key).await? else {
            return Ok(None);
        };
        let stored = decode(table, &key, row.value)?;
        Ok(Some((ExpectedVersion::Version(row.version), stored)))
    }

    async fn read_head(&self) -> Result<(ExpectedVersion, HeadNumber), EditError> {
        let (table, key) = (TableName::ContractHead, head_key());
        let Some(row) = self.client.get_row(table, &key).await? else {
            return Ok((ExpectedVersion::Absent, HeadNumber::default()));
        };
        let stored: StoredHead = decode(table, &key, row.value)?;
        Ok((ExpectedVersion::Version(row.version), stored.head))
    }

    fn check_retry_limits(&self, pending: &PendingChange) -> Result<(), EditError> {
        let past_deadline = self.client.clock().now() >= pending.deadline;
        if past_deadline || pending.head_conflicts > self.settings.max_head_conflicts {
            return Err(pending.error_or_uncertain(EditError::Contended));
        }
        Ok(())
    }

    async fn wait_before_retry(&self) {
        let max_micros =
            u64::try_from(self.settings.max_retry_delay.as_micros()).unwrap_or(u64::MAX);
        let micros = self.rng.borrow_mut().u64(max_micros / 2..=max_micros);
        actix_rt::time::sleep(Duration::from_micros(micros)).await;
    }
}

/// The next step of an attempt after its reads.
enum Prepared {
    /// Nothing is left to do: an earlier attempt made the change.
    Committed(ContractRow),
    /// Write the change, expecting these versions of the contract row and the head row.
    Write(Box<(StoredContract, ExpectedVersion, ExpectedVersion)>),
}

/// Counts a conflict on the head row, which a change of another contract causes. A conflict on the contract row is not
/// counted, since the next attempt detects it when it reads the row.
fn count_head_conflict(pending: &mut PendingChange, conflicts: &[RowConflict]) {
    let contract_conflict = conflicts
        .iter()
        .any(|conflict| conflict.table == TableName::Contracts);
    if !contract_conflict {
        pending.head_conflicts += 1;
    }
}
