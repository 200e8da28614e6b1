//! Handling of workers' answers to starts and stops.

use std::time::{Duration, Instant};

use jobs::{InstanceId, RunNumber, TaskId, WorkerClock};
use model::Mechanism;

use super::{stop_run, WorkerPool};
use crate::{
    action::{
        CallFailure, PoolEvent, RunBeginning, RunLoss, StartAnswer, StartOrder, StopAnswer,
        StopOrder, SuspensionCause,
    },
    worker::{QueuedOrder, RunPhase, TrackedWorker},
};

impl WorkerPool {
    /// Handles the answer to a start.
    pub fn on_start_answer(&mut self, now: Instant, order: &StartOrder, answer: StartAnswer) {
        let StartOrder {
            instance,
            task,
            run,
            ..
        } = order;
        let owner_millis = self.owner_millis(now);
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        // If the order was sent before the worker's restart was noticed, the answer may come from
        // its former incarnation.
        let from_current_incarnation = order.sent >= worker.incarnation_since;
        if let Some(clock) = answer_clock(answer).filter(|_| from_current_incarnation) {
            worker.update_clock(owner_millis, clock);
        }
        let fence_raised = order.fence < worker.fence;
        let (mut tries, mut in_flight, mut stops_unsent) = (0, 0, false);
        if let Some(run) = worker.run_mut(*task, *run) {
            run.answered_starts += u32::from(answer != StartAnswer::Failed(CallFailure::NoAnswer));
            run.starts_in_flight = run.starts_in_flight.saturating_sub(1);
            if answer == StartAnswer::Failed(CallFailure::NotSent) {
                run.record_unsent_start();
            }
            (tries, in_flight) = (run.starts_sent, run.starts_in_flight);
            stops_unsent = run.phase == RunPhase::Stopping && run.is_unsent();
        }
        let late = now >= order.sent + order.overdue_after;
        worker.finish_order(late);
        if !matches!(answer, StartAnswer::Started(_)) {
            self.events.push(PoolEvent::StartFailed {
                task: *task,
                run: *run,
                instance: instance.clone(),
                answer,
                starts_sent: tries,
            });
        }
        match answer {
            // For `Superseded`, an earlier copy of this start was carried out and its run has ended;
            // its end is listed.
            StartAnswer::Started(_) | StartAnswer::Superseded(_) if !from_current_incarnation => (),
            StartAnswer::Started(_) | StartAnswer::Superseded(_) => {
                confirm_run(worker, *task, *run, now);
                if let StartAnswer::Started(_) = answer {
                    record_beginning(worker, *task, *run);
                }
                self.note_begun(task.job);
                self.record_answer_time(now, now.saturating_duration_since(order.sent));
            }
            StartAnswer::LeaseExpired(_) => self.retry_start(now, instance, *task, *run),
            StartAnswer::NoCapacity(_) | StartAnswer::NotAllowed(_) => {
                self.handle_rejected_start(now, instance, *task, *run);
            }
            StartAnswer::Failed(CallFailure::Unhealthy | CallFailure::Malformed) => {
                self.handle_rejected_start(now, instance, *task, *run);
            }
            StartAnswer::Failed(CallFailure::NotSent) if stops_unsent => {
                self.drop_unsent_run(now, instance, *task, *run);
            }
            // Another copy of the start may still be answered.
            StartAnswer::Failed(CallFailure::NoAnswer | CallFailure::NotSent) if in_flight > 0 => {}
            StartAnswer::Failed(CallFailure::NoAnswer | CallFailure::NotSent) => {
                self.retry_start(now, instance, *task, *run)
            }
            StartAnswer::Failed(CallFailure::NewInstance) => self.forget_instance(now, instance),
            StartAnswer::Failed(CallFailure::FencedOut) if fence_raised => {
                self.retry_start(now, instance, *task, *run);
            }
            StartAnswer::Failed(CallFailure::FencedOut) => {
                self.handle_worker_takeover(now, instance)
            }
        }
        self.schedule(now);
        self.send_polls_and_orders(now);
    }

    /// Handles a start that has gone unanswered for as long as answers take at present. It may have
    /// been lost, so it is sent again; the answer to the first copy still counts. If many starts
    /// are late at once, the owner's own path is congested and copies would only add to it, so
    /// resends are limited.
    pub fn on_start_overdue(&mut self, now: Instant, order: &StartOrder) {
        let Some(worker) = self.workers.get_mut(&order.instance) else {
            return;
        };
        worker.mark_order_overdue();
        let Some(run) = worker.run_mut(order.task, order.run) else {
            return;
        };
        if run.phase != RunPhase::Ordered || self.resend_budget < 1.0 {
            self.send_orders(now);
            return;
        }
        let tries = run.starts_sent;
        self.resend_budget -= 1.0;
        self.answer_times.record_timeout();
        self.events.push(PoolEvent::StartFailed {
            task: order.task,
            run: order.run,
            instance: order.instance.clone(),
            answer: StartAnswer::Failed(CallFailure::NoAnswer),
            starts_sent: tries,
        });
        self.retry_start(now, &order.instance, order.task, order.run);
        self.schedule(now);
    }

    /// How long a start or stop may go unanswered before it is sent again.
    pub(super) fn resend_timeout(&self) -> Duration {
        let settings = &self.settings;
        if !self.is_enabled(Mechanism::AnswerLimits) {
            return settings.start_resend_delay;
        }
        self.answer_times
            .timeout(settings.start_resend_delay, settings.max_start_resend_delay)
    }

    /// Whether the path to the workers is congested.
    pub(super) fn is_congested(&self) -> bool {
        self.is_enabled(Mechanism::AnswerLimits) && self.answer_times.is_congested()
    }

    fn record_answer_time(&mut self, now: Instant, took: Duration) {
        let was_congested = self.is_congested();
        self.answer_times.record(took);
        let (congested, in_flight) = (self.is_congested(), self.starts_in_flight());
        self.start_window
            .on_answer(now, congested, self.answer_times.smoothed(), in_flight);
        if congested != was_congested {
            self.events.push(PoolEvent::Congestion {
                congested,
                smoothed: self.answer_times.smoothed(),
                minimum: self.answer_times.minimum(),
                window: self.start_window.size(),
            });
        }
    }

    /// Handles the answer to a stop.
    pub fn on_stop_answer(&mut self, now: Instant, order: &StopOrder, answer: StopAnswer) {
        let StopOrder {
            instance,
            task,
            run,
            ..
        } = order;
        let owner_millis = self.owner_millis(now);
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        worker.finish_order(false);
        let from_current_incarnation = order.sent >= worker.incarnation_since;
        let fence_raised = order.fence < worker.fence;
        match answer {
            // The answer may come from the former incarnation, so the stop is sent again to the new one.
            StopAnswer::Stopped(_) if !from_current_incarnation => {
                worker
                    .queued_orders
                    .push_back(QueuedOrder::Stop(*task, *run));
            }
            StopAnswer::Stopped(clock) => {
                worker.update_clock(owner_millis, clock);
                if let Some(run) = worker.run_mut(*task, *run) {
                    run.record_stop_answer(now, owner_millis);
                }
            }
            StopAnswer::Failed(CallFailure::NewInstance) => self.forget_instance(now, instance),
            StopAnswer::Failed(CallFailure::FencedOut) if fence_raised => {
                worker
                    .queued_orders
                    .push_back(QueuedOrder::Stop(*task, *run));
            }
            StopAnswer::Failed(CallFailure::FencedOut) => {
                self.handle_worker_takeover(now, instance)
            }
            StopAnswer::Failed(
                CallFailure::NoAnswer
                | CallFailure::NotSent
                | CallFailure::Unhealthy
                | CallFailure::Malformed,
            ) => {
                worker
                    .queued_orders
                    .push_back(QueuedOrder::Stop(*task, *run));
                worker.orders_paused_until = Some(now + self.settings.retry_delay);
            }
        }
        self.send_orders(now);
    }

    /// Sends a start again that went unanswered or had no effect. After `max_unanswered_starts` the
    /// run is stopped and, unless the path is congested, the worker suspended. If no start was sent,
    /// there is nothing to stop, and the task may run elsewhere at once.
    fn retry_start(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        task: TaskId,
        number: RunNumber,
    ) {
        let congested = self.is_congested();
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        let Some(run) = worker.run_mut(task, number) else {
            return;
        };
        if run.phase != RunPhase::Ordered {
            return;
        }
        if run.starts_sent < self.settings.max_unanswered_starts {
            // The first resend follows at once, since a pause would only delay the job.
            let pause = (run.starts_sent > 1).then(|| now + self.settings.retry_delay);
            worker
                .queued_orders
                .push_front(QueuedOrder::Start(task, number));
            worker.orders_paused_until = pause;
            return;
        }
        // On a congested path all workers answer late, so this one need not be at fault, and its
        // answer may still arrive.
        if congested && run.starts_in_flight > 0 {
            return;
        }
        let is_unsent = run.is_unsent();
        if !is_unsent {
            stop_run(worker, task, number);
        }
        if !congested {
            self.suspend(now, instance, SuspensionCause::Silent);
        }
        if is_unsent {
            self.drop_unsent_run(now, instance, task, number);
        }
    }

    /// Removes a run of which no start was sent and requeues its task.
    fn drop_unsent_run(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        task: TaskId,
        number: RunNumber,
    ) {
        let worker = self.workers.get_mut(instance);
        let Some(run) = worker.and_then(|worker| worker.remove_run(task, number)) else {
            return;
        };
        self.record_lost_run(now, &run, instance, RunLoss::NotSent);
        self.requeue(now, run);
    }

    /// Handles a start that the worker rejected without any effect, and suspends the worker. If
    /// that was the only try, the run can never begin and its task is requeued.
    fn handle_rejected_start(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        task: TaskId,
        number: RunNumber,
    ) {
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        let only_try = worker
            .run_mut(task, number)
            .is_some_and(|run| run.starts_sent == 1);
        let lost = if only_try {
            worker.remove_run(task, number)
        } else {
            stop_run(worker, task, number);
            None
        };
        self.suspend(now, instance, SuspensionCause::Unhealthy);
        if let Some(run) = lost {
            self.record_lost_run(now, &run, instance, RunLoss::Rejected);
            self.requeue(now, run);
        }
    }
}

fn confirm_run(worker: &mut TrackedWorker, task: TaskId, number: RunNumber, now: Instant) {
    let Some(run) = worker.run_mut(task, number) else {
        return;
    };
    run.confirmed_at = Some(now);
    if run.phase == RunPhase::Ordered {
        run.phase = RunPhase::Running;
    }
}

/// Records that the worker has the run. A run whose start is superseded has ended, so whatever happens to the worker
/// later does not happen under it.
fn record_beginning(worker: &mut TrackedWorker, task: TaskId, number: RunNumber) {
    if let Some(run) = worker.run_mut(task, number) {
        run.beginning = RunBeginning::Begun;
    }
}

fn answer_clock(answer: StartAnswer) -> Option<WorkerClock> {
    match answer {
        StartAnswer::Started(clock)
        | StartAnswer::Superseded(clock)
        | StartAnswer::LeaseExpired(clock)
        | StartAnswer::NoCapacity(clock)
        | StartAnswer::NotAllowed(clock) => Some(clock),
        StartAnswer::Failed(_) => None,
    }
}
