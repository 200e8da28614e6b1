//! Changes of contracts by operators.

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

/// How stubborn an editor is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EditorSettings {
    /// How long a change may be tried before the operator hears that it did not work out.
    pub time_limit: Duration,
    /// How often a change that lost to a change of another contract is tried again. Each loss means that another
    /// change took effect, so all operators together always get on.
    pub max_head_losses: u32,
    /// The longest pause before a change is tried again; the pause is drawn at random from half of it up, so that
    /// two editors that met do not meet again and one editor does not spin.
    pub longest_pause: Duration,
}

impl Default for EditorSettings {
    fn default() -> Self {
        Self {
            time_limit: Duration::from_secs(5),
            max_head_losses: 20,
            longest_pause: Duration::from_millis(20),
        }
    }
}

/// What a change expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedContract {
    /// No contract of that customer.
    Absent,
    /// The contract with this version.
    Version(ContractVersion),
}

/// Why a change was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EditError {
    /// A field of the contract is out of range. Nothing was written.
    #[error(transparent)]
    Wrong(#[from] InvalidContract),
    /// There is no contract to change. Nothing was written.
    #[error("no contract")]
    NotFound,
    /// The contract is not what the operator expected, because another change came first. Nothing was written.
    #[error("the contract is at version {}", .0.version)]
    Conflict(Box<ContractRow>),
    /// Changes of other contracts came first too often. Nothing was written.
    #[error("too many changes of other contracts at once")]
    Contended,
    /// The platform did not take the change. Nothing was written.
    #[error("the platform does not answer: {0}")]
    Unavailable(String),
    /// The change may have been made, or may yet be.
    #[error("uncertain: if version {version} has change {change}, the change was made")]
    Uncertain {
        /// The version that the change makes, if it was made.
        version: ContractVersion,
        /// The change's id, which the history shows.
        change: ChangeId,
    },
    /// A row of the platform cannot be read. Nothing was written.
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

/// Creates, changes and retires contracts by compare-and-set, and shows them as the platform has them.
pub struct ContractEditor {
    client: PlatformClient,
    settings: EditorSettings,
    rng: RefCell<Rng>,
}

/// One change under way. Its id and version stay the same through every attempt, so that two attempts can never
/// both take effect: the second finds the first's rows.
struct PendingChange {
    customer: CustomerId,
    expected: ExpectedContract,
    contract: Contract,
    change: ChangeId,
    give_up: Instant,
    /// Whether some attempt may have taken effect or may yet do so.
    uncertain: bool,
    head_losses: u32,
}

/// How one attempt ended.
enum AttemptEnd {
    Made(ContractRow),
    TryAgain,
}

impl PendingChange {
    /// The version that the change makes.
    fn version(&self) -> ContractVersion {
        match self.expected {
            ExpectedContract::Absent => ContractVersion(1),
            ExpectedContract::Version(v) => ContractVersion(v.0 + 1),
        }
    }

    /// What the operator hears of a failure that is definite for the last attempt alone.
    fn give_up_with(&self, error: EditError) -> EditError {
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
    /// An editor over a client. The random source names changes: it must not be seeded alike in two processes.
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
    /// [`EditError::Conflict`] when the customer has a contract already, also a retired one.
    pub async fn create(
        &self,
        customer: &CustomerId,
        contract: Contract,
    ) -> Result<ContractRow, EditError> {
        self.make(customer, ExpectedContract::Absent, contract)
            .await
    }

    /// Writes the version after `expected`.
    ///
    /// # Errors
    ///
    /// [`EditError::Conflict`], with the version that is there, when it is not `expected`.
    pub async fn change(
        &self,
        customer: &CustomerId,
        expected: ContractVersion,
        contract: Contract,
    ) -> Result<ContractRow, EditError> {
        let expected = ExpectedContract::Version(expected);
        self.make(customer, expected, contract).await
    }

    /// Writes the version after `expected` with everything as it was but the state.
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

    /// The contract as the platform has it.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or the row cannot be read.
    pub async fn show(&self, customer: &CustomerId) -> Result<Option<ContractRow>, EditError> {
        let found = self.read_contract(customer).await?;
        Ok(found.map(|(_, stored)| stored.row))
    }

    /// At most `limit` contracts in the order of their customers, from the first after `after`.
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

    /// At most `limit` versions of a contract, oldest first, from the one after `after`.
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
            // The rows of the next customer lie behind the last of this one.
            if !listed.key.as_str().starts_with(&prefix) {
                break;
            }
            let stored: StoredContract = decode(table, &listed.key, listed.value)?;
            versions.push((stored.change, stored.row));
        }
        Ok(versions)
    }

    async fn make(
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
            give_up: self.client.clock().now() + self.settings.time_limit,
            uncertain: false,
            head_losses: 0,
        };
        loop {
            match self.attempt(&mut pending).await? {
                AttemptEnd::Made(row) => return Ok(row),
                AttemptEnd::TryAgain => {}
            }
            self.check_patience(&pending)?;
            self.pause().await;
        }
    }

    /// Reads what is there, and writes the change if it is as expected.
    async fn attempt(&self, pending: &mut PendingChange) -> Result<AttemptEnd, EditError> {
        let prepared = match self.prepare(pending).await {
            Ok(Prepared::Made(row)) => return Ok(AttemptEnd::Made(row)),
            Ok(Prepared::Write(prepared)) => prepared,
            // With an attempt in doubt, a failed read leaves it in doubt: reading goes on until the time limit.
            Err(EditError::Unavailable(_)) if pending.uncertain => return Ok(AttemptEnd::TryAgain),
            Err(e @ EditError::Row(_)) => return Err(pending.give_up_with(e)),
            Err(e) => return Err(e),
        };
        let (stored, contract_expect, head_expect) = *prepared;
        let writes = stored.writes(contract_expect, head_expect);
        match self.client.commit(writes).await {
            Ok(_) => Ok(AttemptEnd::Made(stored.row)),
            Err(CommitError::Conflict(conflicts)) => {
                note_head_loss(pending, &conflicts);
                Ok(AttemptEnd::TryAgain)
            }
            Err(CommitError::NotSent(_)) if pending.uncertain => Ok(AttemptEnd::TryAgain),
            Err(CommitError::NotSent(failure)) => Err(EditError::Unavailable(failure.to_string())),
            Err(CommitError::Uncertain(failure)) => {
                log::warn!("contracts: change {} in doubt: {failure}", pending.change);
                pending.uncertain = true;
                Ok(AttemptEnd::TryAgain)
            }
        }
    }

    /// Finds out what the change would replace, or that it was made by an earlier attempt.
    async fn prepare(&self, pending: &PendingChange) -> Result<Prepared, EditError> {
        let found = self.read_contract(&pending.customer).await?;
        let contract_expect = match (&found, pending.expected) {
            (None, ExpectedContract::Absent) => ExpectedVersion::Absent,
            (Some((expect, stored)), ExpectedContract::Version(v)) if stored.row.version == v => {
                *expect
            }
            (None, ExpectedContract::Version(_)) => return Err(EditError::NotFound),
            (Some((_, stored)), _) => {
                return self.settle(pending, stored.row.clone()).await;
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

    /// Tells an own change whose answer was lost from another operator's. The contract may have been changed again
    /// since, so the history's row of the version decides and not the newest. Where that row is another's, an attempt
    /// in doubt can no longer land, since the contract row that it expects is gone: the conflict is definite.
    async fn settle(
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
                    return Ok(Prepared::Made(stored.row));
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

    fn check_patience(&self, pending: &PendingChange) -> Result<(), EditError> {
        let over_time = self.client.clock().now() >= pending.give_up;
        if over_time || pending.head_losses > self.settings.max_head_losses {
            return Err(pending.give_up_with(EditError::Contended));
        }
        Ok(())
    }

    async fn pause(&self) {
        let longest = u64::try_from(self.settings.longest_pause.as_micros()).unwrap_or(u64::MAX);
        let micros = self.rng.borrow_mut().u64(longest / 2..=longest);
        actix_rt::time::sleep(Duration::from_micros(micros)).await;
    }
}

/// What an attempt does after reading.
enum Prepared {
    /// Nothing: an earlier attempt made the change.
    Made(ContractRow),
    /// Writes the change, expecting these versions of the contract row and the head row.
    Write(Box<(StoredContract, ExpectedVersion, ExpectedVersion)>),
}

/// Counts a loss to a change of another contract. Where the contract itself is in conflict, the next read tells.
fn note_head_loss(pending: &mut PendingChange, conflicts: &[RowConflict]) {
    let contract = conflicts
        .iter()
        .any(|conflict| conflict.table == TableName::Contracts);
    if !contract {
        pending.head_losses += 1;
    }
}
