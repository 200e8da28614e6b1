//! The results that callers got, and the credit for them.

use jobs::{JobId, JobOutcome};

use super::KINDS;

/// The result of a job. Times are in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct JobResult {
    pub(crate) id: JobId,
    pub(crate) kind: usize,
    pub(crate) arrived: u64,
    pub(crate) ended: u64,
    pub(crate) outcome: JobOutcome,
    /// The latency objective computed from the true work, in milliseconds.
    pub(crate) objective: f64,
}

impl JobResult {
    /// The credit for the job: 1 if it completed in time, 0.2 if within three times its objective, and otherwise 0.
    pub(crate) fn credit(&self) -> f64 {
        let took = (self.ended - self.arrived) as f64;
        match self.outcome {
            JobOutcome::Completed if took <= self.objective => 1.0,
            JobOutcome::Completed if took <= 3.0 * self.objective => 0.2,
            _ => 0.0,
        }
    }
}

/// A summary of the results by kind of job, with the total credit.
pub(crate) fn summary(results: &[JobResult]) -> String {
    let mut lines = String::new();
    for (kind, job_kind) in KINDS.iter().enumerate() {
        let of_kind: Vec<_> = results
            .iter()
            .filter(|result| result.kind == kind)
            .collect();
        let count = |test: &dyn Fn(&JobResult) -> bool| of_kind.iter().filter(|r| test(r)).count();
        let in_time = count(&|r| r.credit() == 1.0);
        let late = count(&|r| r.credit() > 0.0 && r.credit() < 1.0);
        let refused = count(&|r| matches!(r.outcome, JobOutcome::Refused { .. }));
        let all = of_kind.len();
        let rest = all - in_time - late - refused;
        let name = job_kind.name;
        lines +=
            &format!("{name}: {all} in time {in_time} late {late} refused {refused} lost {rest}\n");
    }
    lines + &format!("credit {:.3}\n", credit(results))
}

/// The mean over all kinds of jobs of the share of possible credit that was earned.
pub(crate) fn credit(results: &[JobResult]) -> f64 {
    let kinds = 0..KINDS.len();
    let sum: f64 = kinds.map(|kind| kind_credit(results, kind)).sum();
    sum / KINDS.len() as f64
}

/// The share of possible credit that one kind of job earned.
pub(crate) fn kind_credit(results: &[JobResult], kind: usize) -> f64 {
    let of_kind = results.iter().filter(|result| result.kind == kind);
    let (mut earned, mut possible) = (0.0, 0.0);
    for result in of_kind {
        earned += result.credit();
        possible += 1.0;
    }
    earned / f64::max(possible, 1.0)
}
