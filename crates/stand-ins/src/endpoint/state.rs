//! State of the endpoint stand-in: slots, the requested fault, the record and open connections.

use std::{
    net::{Shutdown, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex, MutexGuard, PoisonError, Weak,
    },
    time::{Duration, Instant},
};

use futures::channel::oneshot;
use model::{AttemptId, CustomerId, TaskKind};

use crate::endpoint::{
    answer::TaskAnswer,
    fault::{Fault, FaultRequest},
    record::{EndpointRecord, RefusalCause, RefusalRecord, RunEnd, StartRecord},
    task, EndpointSettings,
};

/// The longest payload that is recorded as text, in bytes.
const MAX_TEXT_BYTES: usize = 1024;

/// A task received in a request.
#[derive(Clone, Debug)]
pub(super) struct ReceivedTask {
    pub(super) attempt: AttemptId,
    pub(super) customer: CustomerId,
    pub(super) kind: TaskKind,
    pub(super) payload: Vec<u8>,
}

/// A task that started, with its index in the record and the fault to inject.
pub(super) struct StartedRun {
    pub(super) start_index: usize,
    pub(super) fault: Fault,
}

/// An answer that is waiting to be swapped with another.
struct PendingSwap {
    id: u64,
    own: TaskAnswer,
    other: oneshot::Sender<TaskAnswer>,
}

struct MutableState {
    fault_request: FaultRequest,
    leaving_since: Option<Instant>,
    refuse_when_leaving: bool,
    running: u32,
    most_running: u32,
    starts: Vec<StartRecord>,
    refusals: Vec<RefusalRecord>,
    pending_swap: Option<PendingSwap>,
    connections: Vec<Weak<TcpStream>>,
}

pub(super) struct EndpointState {
    settings: EndpointSettings,
    started_at: Instant,
    next_swap_id: AtomicU64,
    mutable: Mutex<MutableState>,
}

impl EndpointState {
    pub(super) fn new(settings: EndpointSettings) -> Self {
        Self {
            settings,
            started_at: Instant::now(),
            next_swap_id: AtomicU64::new(0),
            mutable: Mutex::new(MutableState {
                fault_request: FaultRequest::default(),
                leaving_since: None,
                refuse_when_leaving: false,
                running: 0,
                most_running: 0,
                starts: Vec::new(),
                refusals: Vec::new(),
                pending_swap: None,
                connections: Vec::new(),
            }),
        }
    }

    pub(super) fn settings(&self) -> &EndpointSettings {
        &self.settings
    }

    pub(super) fn record(&self) -> EndpointRecord {
        let mutable = self.lock();
        EndpointRecord {
            id: self.settings.id.clone(),
            now_ms: millis(self.started_at.elapsed()),
            slots: self.settings.slots,
            age_us: micros(self.started_at.elapsed()),
            most_running: mutable.most_running,
            running: mutable.running,
            leaving: mutable.leaving_since.is_some(),
            starts: mutable.starts.clone(),
            refusals: mutable.refusals.clone(),
        }
    }

    pub(super) fn set_fault(&self, request: FaultRequest) {
        let mut mutable = self.lock();
        match request.fault {
            Fault::Leaving | Fault::LeavingSilently => {
                mutable.leaving_since.get_or_insert_with(Instant::now);
                mutable.refuse_when_leaving = request.fault == Fault::Leaving;
                return;
            }
            Fault::Healthy => mutable.leaving_since = None,
            _ => {}
        }
        mutable.fault_request = request;
    }

    /// Takes a slot and records the start, or records and returns why the task is refused.
    pub(super) fn admit(&self, received: &ReceivedTask) -> Result<StartedRun, RefusalCause> {
        let mut mutable = self.lock();
        let leaving_for = mutable.leaving_since.map(|since| since.elapsed());
        let fault = mutable.take_fault();
        let cause = if leaving_for.is_some() && mutable.refuse_when_leaving {
            Some(RefusalCause::Leaving)
        } else if fault == Fault::Busy || mutable.running >= self.settings.slots {
            Some(RefusalCause::Busy)
        } else {
            None
        };
        if let Some(cause) = cause {
            mutable.refusals.push(RefusalRecord {
                attempt: received.attempt,
                cause,
                came_ms: millis(self.started_at.elapsed()),
                leaving_for_ms: leaving_for.map(millis),
            });
            return Err(cause);
        }
        mutable.running += 1;
        mutable.most_running = mutable.most_running.max(mutable.running);
        let start_index = mutable.starts.len();
        mutable
            .starts
            .push(self.start_record(start_index, received, leaving_for));
        Ok(StartedRun { start_index, fault })
    }

    /// Frees the slot of a run and records its outcome.
    pub(super) fn finish(&self, start_index: usize, end: RunEnd) {
        let mut mutable = self.lock();
        mutable.running -= 1;
        mutable.starts[start_index].end = Some(end);
        mutable.starts[start_index].ended_us = Some(micros(self.started_at.elapsed()));
    }

    /// Swaps an answer with the waiting one, or waits at most `limit` for the next one. Returns the answer unchanged if
    /// none arrives.
    pub(super) async fn swap_answer(&self, own: TaskAnswer, limit: Duration) -> TaskAnswer {
        let id = self.next_swap_id.fetch_add(1, Ordering::Relaxed);
        let receiver = {
            let mut mutable = self.lock();
            if let Some(waiting) = mutable.pending_swap.take() {
                return match waiting.other.send(own) {
                    Ok(()) => waiting.own,
                    Err(own) => own,
                };
            }
            let (sender, receiver) = oneshot::channel();
            mutable.pending_swap = Some(PendingSwap {
                id,
                own: own.clone(),
                other: sender,
            });
            receiver
        };
        match actix_rt::time::timeout(limit, receiver).await {
            Ok(Ok(other)) => other,
            _ => {
                let mut mutable = self.lock();
                mutable.pending_swap.take_if(|waiting| waiting.id == id);
                own
            }
        }
    }

    pub(super) fn add_connection(&self, connection: &Arc<TcpStream>) {
        let mut mutable = self.lock();
        mutable.connections.retain(|weak| weak.strong_count() > 0);
        mutable.connections.push(Arc::downgrade(connection));
    }

    pub(super) fn cut_connections(&self) {
        for weak in self.lock().connections.drain(..) {
            let Some(connection) = weak.upgrade() else {
                continue;
            };
            // Fails only if the peer has already closed the connection.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn start_record(
        &self,
        start_index: usize,
        received: &ReceivedTask,
        leaving_for: Option<Duration>,
    ) -> StartRecord {
        let age = self.started_at.elapsed();
        let text = std::str::from_utf8(&received.payload)
            .ok()
            .filter(|text| text.len() <= MAX_TEXT_BYTES);
        StartRecord {
            order: start_index as u64,
            attempt: received.attempt,
            customer: received.customer.clone(),
            kind: received.kind.clone(),
            digest: task::digest(&received.payload),
            payload: text.map(str::to_owned),
            started_ms: millis(age),
            started_us: micros(age),
            ended_us: None,
            leaving_for_ms: leaving_for.map(millis),
            end: None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, MutableState> {
        self.mutable.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MutableState {
    /// Returns the fault for this task and uses up one of a limited number of times.
    fn take_fault(&mut self) -> Fault {
        let fault = self.fault_request.fault;
        if let Some(times) = &mut self.fault_request.times {
            if *times == 0 {
                return Fault::Healthy;
            }
            *times -= 1;
        }
        fault
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
