//! Admission: decides whether a submission is accepted.

use std::time::{Duration, Instant};

use decisions::{
    AdmissionDecision, AdmissionQuery, EstimateSource, RunTimeEstimate, Saturation, WaitEstimator,
    WorkClass,
};
use model::{
    AttemptId, Contract, ContractState, ContractVersion, CustomerId, RefusalReason, SubmissionBody,
    TaskBody,
};

use crate::{authority::TaskAuthority, refusal::SubmissionRefusal};

/// Retry-after of a refusal for lack of memory or slots: long enough for open submissions to be answered, or for the
/// endpoints of a dead VM to get another owner.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The quantile of the run time that counts as the tail run time of a submission of one task. With more tasks a higher
/// quantile is used.
const TAIL_QUANTILE: f64 = 0.9;

/// Expected run times of a submission's tasks.
pub(super) struct ExpectedWork {
    /// The expected run time of each task in order, capped by [`TaskAuthority::capped_run_time`].
    pub(super) run_times: Vec<Duration>,
    /// The sum of the expected run times, without the cap that `run_times` has.
    total: Duration,
    /// The longest expected run time of a task.
    longest: RunTimeEstimate,
    /// The longest tail run time of a task.
    tail_run_time: Duration,
}

/// Estimated run times of one kind of task.
#[derive(Clone, Copy)]
struct KindEstimate {
    expected: RunTimeEstimate,
    tail_run_time: Duration,
}

impl TaskAuthority {
    /// Decides whether a submission is accepted. The cheapest checks come first, since a flood is refused here.
    pub(super) fn admit<'a>(
        &mut self,
        now: Instant,
        body: &SubmissionBody,
        contract: Option<(&'a Contract, ContractVersion)>,
    ) -> Result<(&'a Contract, ContractVersion, ExpectedWork), SubmissionRefusal> {
        let (contract, version) =
            contract.ok_or(SubmissionRefusal::permanent(RefusalReason::UnknownCustomer))?;
        if contract.state == ContractState::Retired {
            return Err(SubmissionRefusal::permanent(RefusalReason::RetiredCustomer));
        }
        for task in &body.tasks {
            if task.payload.size() > contract.max_payload_bytes {
                return Err(SubmissionRefusal::permanent(RefusalReason::PayloadTooLarge));
            }
        }
        // Each open submission uses memory until it is answered, so their number and size are bounded. A refusal is
        // cheap and contains the time after which to try again.
        let bytes: u64 = body.tasks.iter().map(|task| task.payload.size().0).sum();
        let large = self.memory.open_payloads.0 + bytes > self.settings.max_open_bytes.0;
        if large || self.open_count >= self.settings.max_open_submissions {
            let reason = RefusalReason::Overloaded;
            return Err(SubmissionRefusal::temporary(reason, RETRY_AFTER));
        }
        if !self.had_recent_capacity(now) {
            let reason = RefusalReason::NoCapacity;
            return Err(SubmissionRefusal::temporary(reason, RETRY_AFTER));
        }
        let work = self.expected_work(now, body);
        match self.decide(now, body, contract, &work) {
            AdmissionDecision::Admit => Ok((contract, version, work)),
            AdmissionDecision::Refuse {
                reason,
                retry_after,
            } => Err(SubmissionRefusal {
                reason,
                retry_after,
            }),
        }
    }

    /// Counts a task as started in its customer's load. Called when a message of its dispatcher shows that it may have
    /// started.
    pub(super) fn mark_started(&mut self, now: Instant, attempt: AttemptId) {
        let Some(record) = self.records.get_mut(&attempt.submission.serial) else {
            return;
        };
        let customer = record.customer.clone();
        let Some(task) = record.task_mut(attempt.task).filter(|task| !task.started) else {
            return;
        };
        task.started = true;
        self.load.start(now, &customer, task.expected_run_time);
    }

    fn decide(
        &mut self,
        now: Instant,
        body: &SubmissionBody,
        contract: &Contract,
        work: &ExpectedWork,
    ) -> AdmissionDecision {
        let load = self.load.get(&body.customer);
        let slots = self.placement.slots(now);
        // Slots that became unreachable a moment ago are about to get another owner. Until then their number is
        // unknown, so only the submission itself and its customer's limit count.
        let (predicted_wait, saturation) = match slots {
            0 => (Duration::ZERO, Saturation::default()),
            _ => {
                let estimator = WaitEstimator {
                    pending_work: load.waiting_work,
                    share: contract.share,
                    active_shares: self.load.active_shares_with(
                        now,
                        &body.customer,
                        contract.share,
                    ),
                    drain_rate: load.drain_rate,
                    slots: slots as f64 / f64::from(self.entries),
                };
                // The mean stays high for a while after slots were few for a moment, and the present value alone would
                // refuse ordinary bursts. A lasting overload shows in both, so the lower one counts.
                let (mean, present) = (self.saturation.mean(), self.placement.saturation(now));
                let lasting = if present < mean { present } else { mean };
                (estimator.predicted_wait(), lasting)
            }
        };
        let query = AdmissionQuery {
            contract,
            class: WorkClass::from(&body.kind),
            tasks: u32::try_from(body.tasks.len()).unwrap_or(u32::MAX),
            longest_estimate: work.longest,
            tail_run_time: work.tail_run_time,
            expected_work: work.total,
            deadline: body.deadline.unwrap_or_else(|| contract.answer_within()),
            open_tasks: load.tasks,
            open_work: load.expected_work,
            // The maximum of the limit and not its present value: a grant arrives a round trip after the first
            // submission and grows with the waiting tasks, so the present value would refuse the first job of an idle
            // customer.
            granted_concurrency: self.waiting.max_limit(&body.customer),
            predicted_wait,
            saturation,
        };
        self.admission.decide(&query, &mut self.rng)
    }

    fn expected_work(&self, now: Instant, body: &SubmissionBody) -> ExpectedWork {
        // The quantile rises with the number of tasks: among many, one may well have a rare, long run time.
        let quantile = 1.0 - (1.0 - TAIL_QUANTILE) / body.tasks.len().max(1) as f64;
        let mut work = ExpectedWork {
            run_times: Vec::with_capacity(body.tasks.len()),
            total: Duration::ZERO,
            longest: RunTimeEstimate {
                run_time: Duration::ZERO,
                source: EstimateSource::Assumed,
            },
            tail_run_time: Duration::ZERO,
        };
        let mut last: Option<(&TaskBody, KindEstimate)> = None;
        for task in &body.tasks {
            // Most tasks of a job have the same kind, and a quantile is computed by a walk over all buckets.
            let estimate = match last {
                Some((before, estimate)) if have_same_estimate(before, task) => estimate,
                _ => self.estimate(now, &body.customer, task, quantile),
            };
            last = Some((task, estimate));
            let expected = estimate.expected;
            work.run_times.push(self.capped_run_time(expected));
            work.total = work.total.saturating_add(expected.run_time);
            if (expected.run_time, expected.source) > (work.longest.run_time, work.longest.source) {
                work.longest = expected;
            }
            work.tail_run_time = work.tail_run_time.max(estimate.tail_run_time);
        }
        work
    }

    fn estimate(
        &self,
        now: Instant,
        customer: &CustomerId,
        task: &TaskBody,
        quantile: f64,
    ) -> KindEstimate {
        let declared = task.declared_run_time;
        KindEstimate {
            expected: self
                .run_times
                .expected_run_time(now, customer, &task.kind, declared),
            tail_run_time: self
                .run_times
                .quantile(now, customer, &task.kind, declared, quantile)
                .run_time,
        }
    }

    /// The run time with which accepted work counts in the predicted wait.
    ///
    /// Callers may declare the first jobs of a kind a hundred times too long. Without a cap, the second job would be
    /// refused with a retry-after of half a minute, although the first is done within a second. Until the run time is
    /// measured, a task therefore counts with the assumed run time at most; a few completed tasks correct that.
    fn capped_run_time(&self, expected: RunTimeEstimate) -> Duration {
        match expected.source {
            EstimateSource::Measured | EstimateSource::Stale => expected.run_time,
            EstimateSource::Assumed | EstimateSource::Declared => {
                expected.run_time.min(self.settings.run_times.assumed)
            }
        }
    }
}

fn have_same_estimate(one: &TaskBody, other: &TaskBody) -> bool {
    one.kind == other.kind && one.declared_run_time == other.declared_run_time
}
