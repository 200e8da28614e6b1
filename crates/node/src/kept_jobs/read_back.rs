//! Writes of job rows whose answers may be lost.
//!
//! The store performs a write and its answer is lost, or it performs the write late. The ends of a worker's runs wait for
//! their rows in the order of their numbers, so one write that waits for its timeout holds back the ends of all jobs on
//! that worker. A write that takes long is therefore read back while its answer is awaited.

use std::{pin::pin, time::Duration};

use futures::future::{select, Either};
use platform_adapter::{StoreError, Transaction, TransactionOutcome};
use pool::KeptWrite;

use super::find_job;
use crate::state::NodeState;

/// How long a write goes unanswered before its row is read back, and the pause between two such reads. A transaction
/// takes about 12 ms and a read 4 ms.
const READ_BACK_DELAY: Duration = Duration::from_millis(100);

/// How it is known that a write took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteEvidence {
    /// The store said so.
    Answer,
    /// The row was read back.
    ReadBack,
}

/// How a write of job rows ended.
pub(super) enum WriteOutcome {
    /// All rows were written.
    Stored {
        /// The version of the rows.
        version: u64,
        /// How that is known.
        evidence: WriteEvidence,
    },
    /// A condition did not hold, so nothing was written.
    Conflict,
}

/// Writes rows of jobs. `first` is a write in the transaction that no earlier transaction contained, or the only one: if
/// its row shows that it took effect, the others did too.
///
/// # Errors
///
/// The store rejected the call, or whether the rows were written is unknown.
pub(super) async fn write_rows(
    state: &NodeState,
    transaction: &Transaction,
    first: &KeptWrite,
) -> Result<WriteOutcome, StoreError> {
    let mut answer = pin!(state.store.transact(transaction));
    loop {
        let read_back = pin!(read_back(state, first));
        match select(answer.as_mut(), read_back).await {
            Either::Left((answer, _)) => {
                return Ok(match answer? {
                    TransactionOutcome::Committed { version, .. } => WriteOutcome::Stored {
                        version: version.0,
                        evidence: WriteEvidence::Answer,
                    },
                    TransactionOutcome::Conflict => WriteOutcome::Conflict,
                });
            }
            Either::Right((Some(version), _)) => {
                return Ok(WriteOutcome::Stored {
                    version,
                    evidence: WriteEvidence::ReadBack,
                })
            }
            Either::Right((None, _)) => (),
        }
    }
}

/// After a delay, returns the version of the job's row if it is the one that the write stores.
async fn read_back(state: &NodeState, order: &KeptWrite) -> Option<u64> {
    actix_rt::time::sleep(READ_BACK_DELAY).await;
    let found = find_job(state, order.job).await.ok().flatten();
    let stored = found.filter(|found| order.is_stored_as(&found.row));
    stored.map(|found| found.version)
}
