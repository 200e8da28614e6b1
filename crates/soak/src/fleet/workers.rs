//! The instances of the workers, and the runs on them.

use std::time::{Duration, Instant};

use platform_stand_ins::{WorkerFault, WorkerPlan, WorkerStandIn};
use serde_json::json;

use super::{
    names::{data_centre, instance_id, rack_label, worker_link},
    SoakFleet, SERVICE,
};
use crate::{
    record::{RunEnd, RunTrace},
    run::SoakError,
};

/// Run times of tasks, assigned to workers in turn, in milliseconds.
const RUN_TIMES_MS: [u64; 4] = [40, 70, 110, 160];

/// Rates of the workers' clocks, which may be up to 2% slow.
const CLOCK_RATES: [f64; 3] = [1.0, 0.98, 0.99];

/// Base of the workers' start times, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_764_751_000_000;

/// Added to the start time of every other worker restart, in milliseconds, so that clocks appear to be set back in
/// between.
const START_JUMP_MS: u64 = 60_000;

/// The time between two start times. New instances get even multiples of it and restarts odd ones, since an owner cannot
/// tell two incarnations with one start time apart. A worker that crashes under a task adds 1 ms to its own.
const START_STEP_MS: u64 = 100;

/// The current instance of a worker. Its replacement is a new instance under another id.
#[derive(Default)]
pub(super) struct WorkerInstance {
    /// Counted across all workers; 0 before the first start.
    pub(super) number: usize,
    stand_in: Option<WorkerStandIn>,
}

impl SoakFleet {
    /// Sets the fault of a worker, if it is running.
    pub(crate) fn set_worker_fault(&self, worker: usize, fault: WorkerFault) {
        if let Some(stand_in) = &self.workers[worker].stand_in {
            stand_in.set_fault(fault);
        }
    }

    /// Returns the number of the current instance of a worker, if it is running.
    pub(crate) fn worker_instance(&self, worker: usize) -> Option<usize> {
        let instance = &self.workers[worker];
        instance.stand_in.as_ref().map(|_| instance.number)
    }

    /// Crashes a worker and ends the runs on it. Its entry in the store is removed later.
    pub(crate) fn crash_worker(&mut self, worker: usize) {
        let now = self.now();
        let began = self.began;
        let instance = &mut self.workers[worker];
        if let Some(stand_in) = instance.stand_in.take() {
            let runs = run_traces(&stand_in, worker, instance.number, began);
            for run in runs.iter().filter(|run| run.end.is_none()) {
                self.trap.add_suspect(&run.task.to_string());
            }
            self.runs.extend(runs.into_iter().map(|run| RunTrace {
                ended: run.ended.or(Some(now)),
                end: run.end.or(Some(RunEnd::Died)),
                ..run
            }));
        }
    }

    /// Returns the workers that have crashed under a task, or restarted as they were sent a suspect, since the last call.
    pub(crate) fn take_crashed_workers(&self) -> Vec<usize> {
        let workers = self.workers.iter().enumerate();
        let crashed = workers.filter(|(_, instance)| {
            let stand_in = instance.stand_in.as_ref();
            stand_in.is_some_and(WorkerStandIn::take_crashed)
        });
        crashed.map(|(worker, _)| worker).collect()
    }

    /// Restarts a worker under the same id. Its entry in the store is updated later.
    pub(crate) fn restart_worker(&mut self, worker: usize) {
        self.restart_count += 1;
        if let Some(stand_in) = &self.workers[worker].stand_in {
            // Simulates a clock that was set back between restarts.
            let jump_ms = if self.restart_count.is_multiple_of(2) {
                0
            } else {
                START_JUMP_MS
            };
            let step_count = 2 * self.restart_count + 1;
            stand_in.restart(FIRST_START_MS + step_count * START_STEP_MS + jump_ms);
        }
    }

    /// Sets the store entry of a worker to `ready`.
    pub(crate) fn write_ready_entry(&self, worker: usize) {
        self.write_store_entry(worker, "ready");
    }

    fn write_store_entry(&self, worker: usize, state: &str) {
        let instance = &self.workers[worker];
        if let Some(stand_in) = &instance.stand_in {
            let mut entry = stand_in.entry(SERVICE, data_centre(worker), state);
            if self.has_racks {
                entry["Labels"] = json!(["a", rack_label(worker)]);
            }
            self.store
                .put("servers", &instance_id(instance.number), &entry);
        }
    }

    /// Removes the entry of a worker instance, given by its number, that has ended.
    pub(crate) fn remove_store_entry(&self, instance: usize) {
        self.store.remove("servers", &instance_id(instance));
    }

    /// Sets the store entry of a worker to `draining`.
    pub(crate) fn announce_draining(&self, worker: usize) {
        self.write_store_entry(worker, "draining");
    }

    /// Starts a new instance of a worker, under a new id, unless the worker is running.
    pub(crate) async fn start_worker(&mut self, worker: usize) -> Result<(), SoakError> {
        if self.workers[worker].stand_in.is_some() {
            return Ok(());
        }
        self.instance_count += 1;
        let number = self.instance_count;
        let plan = WorkerPlan {
            id: instance_id(number),
            run_time: Duration::from_millis(RUN_TIMES_MS[worker % RUN_TIMES_MS.len()]),
            initial_clock_ms: 400_000 + 10_000 * number as u64,
            clock_rate: CLOCK_RATES[number % CLOCK_RATES.len()],
            born: Some(FIRST_START_MS + 2 * number as u64 * START_STEP_MS),
            trap: self.trap.clone(),
        };
        let stand_in = WorkerStandIn::start(plan).await;
        for (node, view) in self.store_views.iter().enumerate() {
            let link = worker_link(number, node);
            let address = self.forwarder.add_link(&link, stand_in.address())?;
            view.override_address(&instance_id(number), address);
        }
        self.workers[worker] = WorkerInstance {
            number,
            stand_in: Some(stand_in),
        };
        self.write_ready_entry(worker);
        Ok(())
    }

    /// Takes all runs so far, including those of ended instances.
    pub(crate) fn take_runs(&mut self) -> Vec<RunTrace> {
        let mut runs = std::mem::take(&mut self.runs);
        for (worker, instance) in self.workers.iter().enumerate() {
            if let Some(stand_in) = &instance.stand_in {
                runs.extend(run_traces(stand_in, worker, instance.number, self.began));
            }
        }
        runs
    }
}

fn run_traces(
    stand_in: &WorkerStandIn,
    worker: usize,
    instance: usize,
    began: Instant,
) -> Vec<RunTrace> {
    let since = |at: Instant| at.saturating_duration_since(began);
    let mut traces = Vec::new();
    for run in stand_in.runs() {
        // Skips runs whose name is not a task id. Such a name would be a fault of its own, which no invariant covers.
        let Ok(task) = run.task.parse() else {
            continue;
        };
        traces.push(RunTrace {
            task,
            run: run.run,
            worker,
            instance,
            began: since(run.began),
            ended: run.ended.map(|(at, _)| since(at)),
            end: run.ended.map(|(_, how)| run_end(how)),
            acknowledged: run.acknowledged.map(since),
        });
    }
    traces
}

fn run_end(how: &str) -> RunEnd {
    match how {
        "done" => RunEnd::Done,
        "failed" => RunEnd::Failed,
        "died" => RunEnd::Died,
        _ => RunEnd::Stopped,
    }
}
