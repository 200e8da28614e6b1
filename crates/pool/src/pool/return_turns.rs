//! Applies the schedule of returns to admission.

use std::time::{Duration, Instant};

use jobs::{JobId, JobRequest, JobTerms, RefusalKind};
use model::ReturnPolicy;

use super::WorkerPool;
use crate::{
    action::PoolEvent, arrivals::ExpectedJob, return_bookings::WorkRate, returns::ReturnDemand,
};

impl WorkerPool {
    /// Notes that a job was submitted or asked for. Returns the time since its first refusal if it is in its turn.
    pub(super) fn note_return(&mut self, now: Instant, job: JobId) -> Option<Duration> {
        let waited = self.since_refusal_in_turn(now, job)?;
        if self.returns.record_kept(now, job) {
            self.events.push(PoolEvent::ReturnKept { job, waited });
        }
        Some(waited)
    }

    /// Records the decision on a submitted job. Returns the time until its scheduled return if it was refused for lack
    /// of capacity. The parts of divided jobs have no schedule of their own.
    pub(super) fn update_returns(
        &mut self,
        now: Instant,
        request: &JobRequest,
        terms: &JobTerms,
        refusal: Option<RefusalKind>,
        in_turn: bool,
    ) -> Option<Duration> {
        if !self.schedules_returns() {
            return None;
        }
        let demand = self.return_demand(request, terms);
        if !in_turn && !terms.firm {
            self.returns.record_new_work(now, demand.work);
        }
        match refusal {
            None => {
                self.returns.remove_admitted(now, request.id);
                None
            }
            Some(RefusalKind::TooLate | RefusalKind::QueueFull | RefusalKind::OverShare)
                if !terms.firm =>
            {
                let capacity = self.usable_work_rate(now);
                let returns = &mut self.returns;
                Some(returns.schedule_refused(now, request.id, demand, capacity))
            }
            Some(_) => None,
        }
    }

    /// Records a job of which less than the whole was offered, so that it is in its turn here too if its caller
    /// returns.
    pub(super) fn record_short_offer(
        &mut self,
        now: Instant,
        request: &JobRequest,
        terms: &JobTerms,
        fits: u32,
    ) {
        if !self.schedules_returns() || u64::from(fits) >= request.task_count() {
            return;
        }
        let demand = self.return_demand(request, terms);
        let capacity = self.usable_work_rate(now);
        self.returns
            .record_short_offer(now, request.id, demand, capacity);
    }

    /// The due returns for which capacity is reserved when a job is admitted. Jobs in their turn are not
    /// held back for others, since the schedule has capacity for all of them.
    pub(super) fn reserved_for_returns(
        &self,
        now: Instant,
        job: JobId,
        priority: u32,
    ) -> Vec<ExpectedJob> {
        if !self.schedules_returns() || self.since_refusal_in_turn(now, job).is_some() {
            return Vec::new();
        }
        let capacity = self.usable_work_rate(now);
        self.returns.reserved_tasks(now, priority, capacity)
    }

    /// Removes the returns whose time has long passed.
    pub(super) fn expire_returns(&mut self, now: Instant) {
        for job in self.returns.expire(now) {
            self.events.push(PoolEvent::ReturnMissed { job });
        }
    }

    fn schedules_returns(&self) -> bool {
        self.settings.policies.returns == ReturnPolicy::Scheduled
    }

    fn since_refusal_in_turn(&self, now: Instant, job: JobId) -> Option<Duration> {
        self.returns.since_refusal_in_turn(now, job)
    }

    /// The rate of work that the usable workers can do.
    pub(super) fn usable_work_rate(&self, now: Instant) -> WorkRate {
        let workers = self.workers_for_new_jobs(now).into_iter();
        let cpu: u64 = workers.map(|worker| worker.record.capacity.cpu.0).sum();
        WorkRate(cpu as f64 * self.settings.packing_share)
    }

    fn return_demand(&self, request: &JobRequest, terms: &JobTerms) -> ReturnDemand {
        let mut first_tasks = ExpectedJob {
            tasks: 0,
            cpu: 0,
            run_time: Duration::ZERO,
            objective: self.objective(request, terms),
            earliest: Duration::ZERO,
        };
        for spec in &request.steps {
            if spec.after.is_empty() && first_tasks.tasks == 0 {
                first_tasks.tasks = spec.count as usize;
                first_tasks.cpu = spec.demand.cpu.0;
                first_tasks.run_time = self.predict_run_time(terms, spec);
            }
        }
        ReturnDemand {
            priority: terms.priority,
            work: self.requested_work(request, terms),
            first_tasks,
        }
    }
}
