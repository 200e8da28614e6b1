//! What workers answer to starts and stops.

use std::time::Instant;

use jobs::{LifeId, RunNumber, TaskId, WorkerClock};

use super::{stop_run, WorkerPool};
use crate::{
    action::{
        CallFailure, PoolNote, RunLoss, StartAnswer, StartOrder, StopAnswer, StopOrder,
        SuspensionCause,
    },
    worker::{RunPhase, WaitingOrder, WorkerLedger},
};

impl WorkerPool {
    /// Takes the answer to a start.
    pub fn on_start_answer(&mut self, now: Instant, order: &StartOrder, answer: StartAnswer) {
        let StartOrder {
            life, task, run, ..
        } = order;
        let owner_millis = self.millis(now);
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        worker.order_in_flight = false;
        if let Some(clock) = answer_clock(answer) {
            worker.read_clock(owner_millis, clock);
        }
        let tries = worker.run_mut(*task, *run).map_or(0, |run| run.tries);
        if !matches!(answer, StartAnswer::Started(_)) {
            self.notes.push(PoolNote::StartTrouble {
                task: *task,
                run: *run,
                life: life.clone(),
                answer,
                tries,
            });
        }
        match answer {
            // A run that was outrun was carried out by an earlier copy of this start and has ended; its end is listed.
            StartAnswer::Started(_) | StartAnswer::Outrun(_) => confirm(worker, *task, *run, now),
            StartAnswer::Late(_) => self.try_again(now, life, *task, *run),
            StartAnswer::NoRoom(_) | StartAnswer::NotAllowed(_) => {
                self.turn_away(now, life, *task, *run);
            }
            StartAnswer::Failed(CallFailure::Unhealthy | CallFailure::Malformed) => {
                self.turn_away(now, life, *task, *run);
            }
            StartAnswer::Failed(CallFailure::NoAnswer) => self.try_again(now, life, *task, *run),
            StartAnswer::Failed(CallFailure::NewLife) => self.forget_life(now, life),
            StartAnswer::Failed(CallFailure::FencedOut) => self.lose_worker(now, life),
        }
        self.schedule(now);
        self.keep_watch(now);
    }

    /// Takes the answer to a stop.
    pub fn on_stop_answer(&mut self, now: Instant, order: &StopOrder, answer: StopAnswer) {
        let StopOrder {
            life, task, run, ..
        } = order;
        let owner_millis = self.millis(now);
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        worker.order_in_flight = false;
        match answer {
            StopAnswer::Stopped(clock) => {
                worker.read_clock(owner_millis, clock);
                if let Some(run) = worker.run_mut(*task, *run) {
                    run.stop_acked = Some(now);
                }
            }
            StopAnswer::Failed(CallFailure::NewLife) => self.forget_life(now, life),
            StopAnswer::Failed(CallFailure::FencedOut) => self.lose_worker(now, life),
            StopAnswer::Failed(
                CallFailure::NoAnswer | CallFailure::Unhealthy | CallFailure::Malformed,
            ) => {
                worker.orders.push_back(WaitingOrder::Stop(*task, *run));
                worker.order_pause = Some(now + self.settings.retry_pause);
            }
        }
        self.send_orders(now);
    }

    /// Sends an unanswered start again. After a few tries the run is stopped and the worker left alone for a while.
    fn try_again(&mut self, now: Instant, life: &LifeId, task: TaskId, number: RunNumber) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        let Some(run) = worker.run_mut(task, number) else {
            return;
        };
        if run.phase != RunPhase::Ordered {
            return;
        }
        if run.tries < self.settings.start_tries {
            // One that is lost is sent again at once: a pause would only add to what its job waits.
            let pause = (run.tries > 1).then(|| now + self.settings.retry_pause);
            worker.orders.push_front(WaitingOrder::Start(task, number));
            worker.order_pause = pause;
            return;
        }
        stop_run(worker, task, number);
        self.suspend(now, life, SuspensionCause::Silent);
    }

    /// The worker did nothing for this call. If that was the only try, the run can never begin.
    fn turn_away(&mut self, now: Instant, life: &LifeId, task: TaskId, number: RunNumber) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        let only_try = worker
            .run_mut(task, number)
            .is_some_and(|run| run.tries == 1);
        let lost = if only_try {
            worker.take_run(task, number)
        } else {
            stop_run(worker, task, number);
            None
        };
        self.suspend(now, life, SuspensionCause::Unhealthy);
        if let Some(run) = lost {
            self.note_lost(&run, life, RunLoss::TurnedAway);
            self.requeue(now, run);
        }
    }
}

fn confirm(worker: &mut WorkerLedger, task: TaskId, number: RunNumber, now: Instant) {
    let Some(run) = worker.run_mut(task, number) else {
        return;
    };
    run.confirmed = Some(now);
    if run.phase == RunPhase::Ordered {
        run.phase = RunPhase::Running;
    }
}

fn answer_clock(answer: StartAnswer) -> Option<WorkerClock> {
    match answer {
        StartAnswer::Started(clock)
        | StartAnswer::Outrun(clock)
        | StartAnswer::Late(clock)
        | StartAnswer::NoRoom(clock)
        | StartAnswer::NotAllowed(clock) => Some(clock),
        StartAnswer::Failed(_) => None,
    }
}
