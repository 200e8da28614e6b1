//! Workers that restart under the same id.
//!
//! A restarted worker has no memory of its former incarnation, and its counts begin anew. If it were taken
//! for the same incarnation, its first ends would be acknowledged by the former incarnation's numbers and never
//! be listed, its clock would be read wrongly, runs that died with it would count as running, and a
//! start of the former incarnation that is still in flight would run beside its replacement.
//!
//! Only a worker's own listing shows which incarnation it is in. Its directory entry may be older or
//! newer, so if the entry names another incarnation, the worker is polled and gets no starts until it has
//! answered. A listing of another incarnation that answers a poll sent before the current incarnation was noticed
//! is from a former incarnation.

use std::time::Instant;

use jobs::{InstanceId, JobOutcome, RunNumber, TaskId, WorkerListing};

use super::{crash_blame::LostRun, WorkerPool};
use crate::{
    action::{PollOrder, PoolEvent, RunLoss},
    worker::{ListingIncarnation, TrackedRun},
};

/// The fate of a run that was known before its worker's restart was noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FormerRunFate {
    /// The new incarnation lists the run: its start arrived after the restart.
    Listed,
    /// Its start was never sent.
    Unsent,
    /// A copy of its start has no answer and may still be carried out by the new incarnation. An answered
    /// stop rules that out.
    Unanswered,
    /// The run died with its worker.
    Dead,
    /// The run died with its worker, or it has ended in the new incarnation, which no longer lists that end:
    /// the poll acknowledged ends of the former incarnation, and the new incarnation counts its ends from 1 again.
    Unknown,
}

impl WorkerPool {
    /// Whether a listing is from the worker's current incarnation. An incarnation that was not known becomes the
    /// current one.
    pub(super) fn check_incarnation(
        &mut self,
        now: Instant,
        sent: Instant,
        order: &PollOrder,
        listing: &WorkerListing,
    ) -> bool {
        let Some(worker) = self.workers.get_mut(&order.instance) else {
            return false;
        };
        match worker.classify_listing(listing.born, sent) {
            ListingIncarnation::Known => true,
            ListingIncarnation::Former => false,
            ListingIncarnation::New => {
                self.begin_incarnation(now, order, listing);
                true
            }
        }
    }

    /// Records that no other claim of the pool was made up to this version of the store, so that
    /// the fence of every later owner is higher.
    pub fn record_no_later_claim(&mut self, version: u64) {
        self.no_later_claim_until = self.no_later_claim_until.max(version);
    }

    fn begin_incarnation(&mut self, now: Instant, order: &PollOrder, listing: &WorkerListing) {
        let instance = &order.instance;
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        let last_listed = worker.answered_poll_sent;
        let mut fates: Vec<(TaskId, RunNumber, FormerRunFate)> = Vec::new();
        let mut lost = Vec::new();
        for run in &worker.runs {
            let fate = classify_former_run(run, order, listing, last_listed);
            fates.push((run.task, run.run, fate));
            match fate {
                FormerRunFate::Listed | FormerRunFate::Unsent => (),
                // It may have begun in the new incarnation only.
                FormerRunFate::Unknown => {
                    lost.push(LostRun::new(now, run, false));
                }
                FormerRunFate::Unanswered | FormerRunFate::Dead => {
                    lost.push(LostRun::new(now, run, worker.had_until_death(run)));
                }
            }
        }
        let culprits = self.record_worker_loss(now, instance, lost, true);
        if let Some(worker) = self.workers.get_mut(instance) {
            worker.begin_incarnation(now, listing.born, self.no_later_claim_until);
        }
        for job in self.jobs.values_mut() {
            if let Some(kept) = &mut job.kept {
                // The former incarnation's ends need no acknowledgement any more.
                kept.unstored_ends.retain(|end| end.instance != *instance);
            }
        }
        self.events.push(PoolEvent::WorkerRestarted {
            instance: instance.clone(),
            born: listing.born,
            runs: fates.len(),
        });
        for (task, run, fate) in fates {
            self.resolve_former_run(now, instance, task, run, fate);
        }
        self.confirm_crash(now, instance);
        self.fail_culprit_jobs(now, culprits);
    }

    fn resolve_former_run(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        task: TaskId,
        number: RunNumber,
        fate: FormerRunFate,
    ) {
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        match fate {
            FormerRunFate::Listed => worker.repeat_stop(task, number),
            FormerRunFate::Unanswered => worker.stop_stray_run(task, number),
            FormerRunFate::Unsent => {
                self.withdraw_starts(now, vec![(instance.clone(), task, number)]);
            }
            FormerRunFate::Dead | FormerRunFate::Unknown => {
                let Some(run) = worker.remove_run(task, number) else {
                    return;
                };
                self.record_lost_run(now, &run, instance, RunLoss::NewIncarnation);
                if fate == FormerRunFate::Unknown && !self.is_kept(task.job) {
                    self.finish(now, task.job, JobOutcome::GivenUp);
                } else {
                    self.requeue(now, run);
                }
            }
        }
    }
}

fn classify_former_run(
    run: &TrackedRun,
    order: &PollOrder,
    listing: &WorkerListing,
    last_listed: Option<Instant>,
) -> FormerRunFate {
    let runs = listing.running.iter();
    let mut running = runs.filter(|r| r.task == Some(run.task) && r.run == run.run);
    let ends = listing.ended.as_slice().iter();
    let mut ended = ends.filter(|end| end.task == Some(run.task) && end.run == run.run);
    if running.next().is_some() || ended.next().is_some() {
        FormerRunFate::Listed
    } else if run.is_unsent() {
        FormerRunFate::Unsent
    } else if run.starts_sent > run.answered_starts || !listing.ended.is_complete() {
        FormerRunFate::Unanswered
    } else if order.acknowledged_end > 0 && run.confirmed_at > last_listed {
        FormerRunFate::Unknown
    } else {
        FormerRunFate::Dead
    }
}
