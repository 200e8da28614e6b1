//! Accounting of the caller data that the process keeps in memory.

use model::{ByteSize, SubmissionOutcome};

use crate::record::SubmissionRecord;

/// Size of the payloads and results kept in memory.
///
/// A burst of jobs of many MB each passes a bound on the number of submissions. Without a bound on bytes, the process
/// outgrows its VM and is killed, and no caller on it gets an answer. For open submissions the payloads are counted,
/// because everything else about them is small; for answered ones the results, because their payloads are dropped.
#[derive(Debug, Default)]
pub(crate) struct MemoryUsage {
    pub(crate) open_payloads: ByteSize,
    pub(crate) kept_results: ByteSize,
}

impl MemoryUsage {
    pub(crate) fn add_open(&mut self, record: &SubmissionRecord) {
        self.open_payloads.0 += payload_bytes(record);
    }

    /// Moves an answered submission from the open to the kept ones. Must be called before its tasks are dropped.
    pub(crate) fn close(&mut self, record: &SubmissionRecord, outcome: &SubmissionOutcome) {
        self.open_payloads.0 = self.open_payloads.0.saturating_sub(payload_bytes(record));
        self.kept_results.0 += result_bytes(outcome);
    }

    /// Subtracts the results of an answer that is dropped.
    pub(crate) fn remove_kept(&mut self, outcome: &SubmissionOutcome) {
        self.kept_results.0 = self.kept_results.0.saturating_sub(result_bytes(outcome));
    }
}

fn payload_bytes(record: &SubmissionRecord) -> u64 {
    let sizes = record.tasks.iter().map(|task| task.body.payload.size().0);
    sizes.sum()
}

fn result_bytes(outcome: &SubmissionOutcome) -> u64 {
    match outcome {
        SubmissionOutcome::Complete(results) => {
            let sizes = results.iter().map(|result| result.payload.size().0);
            sizes.sum()
        }
        SubmissionOutcome::Failed(_)
        | SubmissionOutcome::Refused { .. }
        | SubmissionOutcome::Unknown(_) => 0,
    }
}
