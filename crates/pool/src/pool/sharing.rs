//! Fair shares at admission: which class a job belongs to, and whether it may use more than its share.

use std::time::Instant;

use jobs::{JobRequest, JobTerms, RefusalKind};
use model::SharingPolicy;

use super::WorkerPool;
use crate::{
    admission::AdmissionSimulation,
    arrivals::ArrivedJob,
    shares::{ClassKey, ShareOutcome, ShareUse},
};

/// The class of a job, and whether the job is refused because of it.
#[derive(Clone, Debug)]
pub(super) struct ShareDecision {
    key: ClassKey,
    /// Whether the class has used its share while there is contention.
    pub(super) over: bool,
    /// Whether the class is over its share and the job would take capacity that other classes are refused for.
    pub(super) refuses: bool,
}

impl WorkerPool {
    /// Whether the share of a job's class allows it. None if jobs are admitted in order of arrival.
    pub(super) fn judge_share(
        &mut self,
        now: Instant,
        request: &JobRequest,
        terms: &JobTerms,
        simulation: Option<&AdmissionSimulation>,
    ) -> Option<ShareDecision> {
        if self.settings.policies.sharing != SharingPolicy::MaxMin {
            return None;
        }
        let capacity = self.usable_work_rate(now);
        self.shares.advance(now, capacity.0);
        let tasks = request.task_count();
        let origin = terms.origin.as_ref();
        let key = self
            .shares
            .class_of(&terms.route, origin, tasks, terms.firm);
        let over = !terms.firm && self.shares.is_over(&key);
        let refuses = over
            && simulation.is_some_and(|simulation| simulation.displaces(&self.shares.owed(now)));
        Some(ShareDecision { key, over, refuses })
    }

    /// Records how a job was decided, and returns the share of its class for the log.
    pub(super) fn record_share(
        &mut self,
        now: Instant,
        request: &JobRequest,
        terms: &JobTerms,
        decision: ShareDecision,
        refusal: Option<RefusalKind>,
    ) -> Option<ShareUse> {
        let usage = self.shares.usage(&decision.key);
        let outcome = match refusal {
            None if terms.firm => ShareOutcome::PartAdmitted,
            None => ShareOutcome::Admitted,
            Some(RefusalKind::TooLate | RefusalKind::QueueFull) => ShareOutcome::NoCapacity,
            Some(RefusalKind::OverShare) => ShareOutcome::OverShare,
            Some(_) => return Some(usage),
        };
        let work = self.requested_work(request, terms);
        if let Some(job) = self.arrived_job(request, terms, refusal) {
            self.shares.record(now, &decision.key, work, &job, outcome);
        }
        Some(usage)
    }

    /// The predicted work of a job, in core-milliseconds.
    pub(super) fn requested_work(&self, request: &JobRequest, terms: &JobTerms) -> f64 {
        let mut work = 0.0;
        for spec in &request.steps {
            let cores = spec.demand.cpu.0 as f64 / 1000.0;
            let millis = self.predict_run_time(terms, spec).as_secs_f64() * 1000.0;
            work += cores * millis * f64::from(spec.count);
        }
        work
    }

    /// The shape of a job's first step. None if the job has no step that can start at once.
    pub(super) fn arrived_job(
        &self,
        request: &JobRequest,
        terms: &JobTerms,
        refusal: Option<RefusalKind>,
    ) -> Option<ArrivedJob> {
        let mut first = request.steps.iter().filter(|spec| spec.after.is_empty());
        let spec = first.next()?;
        Some(ArrivedJob {
            priority: terms.priority,
            tasks: spec.count,
            cpu: spec.demand.cpu.0,
            run_time: self.predict_run_time(terms, spec),
            objective: self.objective(request, terms),
            refused: refusal == Some(RefusalKind::TooLate),
        })
    }
}
