//! How many bytes of callers the process holds.

use model::{ByteSize, SubmissionOutcome};

use crate::record::SubmissionRecord;

/// The bytes of payloads and answers that are held.
///
/// Failure: a burst of jobs of many MB each, which a bound on the number of submissions lets in. Symptom without this:
/// the process outgrows its VM and is killed, and every caller on it gets no answer. Counting payloads is enough for
/// open submissions, since what else a submission holds is small, and counting results for answered ones, since their
/// payloads are dropped.
#[derive(Debug, Default)]
pub(crate) struct MemoryUsage {
    pub(crate) open_payloads: ByteSize,
    pub(crate) kept_results: ByteSize,
}

impl MemoryUsage {
    pub(crate) fn add_open(&mut self, record: &SubmissionRecord) {
        self.open_payloads.0 += payload_bytes(record);
    }

    /// The submission has its answer. To be called while its tasks are still there.
    pub(crate) fn close(&mut self, record: &SubmissionRecord, outcome: &SubmissionOutcome) {
        self.open_payloads.0 = self.open_payloads.0.saturating_sub(payload_bytes(record));
        self.kept_results.0 += result_bytes(outcome);
    }

    /// The answer is forgotten.
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
