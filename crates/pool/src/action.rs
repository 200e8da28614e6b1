//! What a pool asks to be sent, what it gets back, and what it notes for the log.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jobs::{
    EndCause, FenceToken, JobId, JobOutcome, KeptState, LifeId, ResourceDemand, RunNumber, TaskId,
    TaskText, WorkerClock, WorkerListing,
};
use model::{text_set, WrongReason};

use crate::kept::KeepOrder;

/// One call of an entry that waits for a job's outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The life of the worker that is meant.
    pub life: LifeId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The fence.
    pub fence: FenceToken,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// What the worker gets.
    pub text: TaskText,
    /// The lease's end; the worker turns the order away after it.
    pub lease_end: WorkerClock,
    /// When it is sent.
    pub sent: Instant,
    /// After this time without an answer `on_start_overdue` is told.
    pub overdue: Duration,
    /// After this time without an answer it counts as not answered.
    pub limit: Duration,
}

/// An order to stop a run. A run that is not there yet never starts afterwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// The life of the worker that is meant.
    pub life: LifeId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The fence.
    pub fence: FenceToken,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// When it is sent.
    pub sent: Instant,
    /// After this time without an answer it counts as not answered.
    pub limit: Duration,
}

/// A look at a worker: it renews the lease of all that runs there, acknowledges ends and gives what runs and ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookOrder {
    /// The life of the worker that is meant.
    pub life: LifeId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The fence.
    pub fence: FenceToken,
    /// The lease's new end, if it is to be renewed.
    pub lease_end: Option<WorkerClock>,
    /// The last end that is taken note of; 0 if the worker knows it already.
    pub last_seen: u64,
    /// How long the worker may wait for an end before it answers.
    pub wait: Duration,
    /// After this time without an answer it counts as not answered.
    pub limit: Duration,
}

text_set! {
    /// Why a call got no answer that counts.
    CallFailure, "failure of a call", WrongReason {
        /// No answer came in time, or the connection broke: it may have been carried out, or may be later.
        NoAnswer => "no_answer",
        /// The worker is of another life: what ran in the life that was meant is over.
        NewLife => "new_life",
        /// Another owner has used a higher fence.
        FencedOut => "fenced_out",
        /// The worker says that it did nothing because it is unhealthy.
        Unhealthy => "unhealthy",
        /// The worker cannot read the call.
        Malformed => "malformed",
    }
}

/// How a worker answered a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is there.
    Started(WorkerClock),
    /// A run of this task with as high a number was there before.
    Outrun(WorkerClock),
    /// The lease's end has passed on the worker's clock.
    Late(WorkerClock),
    /// It has no room.
    NoRoom(WorkerClock),
    /// It was not allowed to run the task.
    NotAllowed(WorkerClock),
    /// No such answer.
    Failed(CallFailure),
}

/// How a worker answered a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopAnswer {
    /// The run ends within a moment, or never begins.
    Stopped(WorkerClock),
    /// No such answer.
    Failed(CallFailure),
}

/// How a worker answered a look.
pub type LookAnswer = Result<WorkerListing, CallFailure>;

/// Something to send.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolAction {
    /// Writes a kept job's row.
    Keep(KeepOrder),
    /// Send a start; its answer goes to `on_start_answer`.
    Start(StartOrder),
    /// Send a stop; its answer goes to `on_stop_answer`.
    Stop(StopOrder),
    /// Send a look; its answer goes to `on_poll_answer`.
    Look(LookOrder),
    /// Tell an entry how its job ended.
    Answer {
        /// Whose call.
        waiter: WaiterId,
        /// How it ended.
        outcome: JobOutcome,
    },
    /// Other owners have all its workers: let go of the pool.
    LetGo,
}

text_set! {
    /// Why a run record went without an end from the worker.
    RunLoss, "loss of a run", WrongReason {
        /// The worker turned the start away.
        TurnedAway => "turned_away",
        /// The worker has a new life.
        NewLife => "new_life",
        /// The worker was silent until the lease surely was over.
        LeaseOver => "lease_over",
        /// A look that was sent afterwards does not show it.
        NotThere => "not_there",
    }
}

text_set! {
    /// Why a worker gets no new runs for a while.
    SuspensionCause, "suspension", WrongReason {
        /// Runs of different jobs failed in a row.
        Failing => "failing",
        /// A run made no progress.
        Stalled => "stalled",
        /// Orders went unanswered.
        Silent => "silent",
        /// It said that it is unhealthy.
        Unhealthy => "unhealthy",
    }
}

/// A decision or a change of belief, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolNote {
    /// A job was admitted or refused.
    Admission {
        /// The job.
        job: JobId,
        /// The refusal, if it is one.
        refusal: Option<jobs::RefusalKind>,
        /// The predicted time from the customer's request to the job's end.
        predicted: Duration,
        /// The part of it that starts take because answers come late.
        lag: Duration,
        /// The latency objective.
        objective: Duration,
        /// The tasks that waited.
        queued: usize,
        /// Whether it would have made a job late that was admitted before.
        harms: bool,
        /// Whether it would have taken room that is kept for jobs of higher priority.
        crowds: bool,
    },
    /// A run was ordered.
    Placed {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// Where.
        life: LifeId,
        /// The time since the customer's request.
        waited: Duration,
    },
    /// A start was not answered with success.
    StartTrouble {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// Where.
        life: LifeId,
        /// What came instead.
        answer: StartAnswer,
        /// How often it was sent.
        tries: u32,
    },
    /// A run ended.
    Ended {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// Where.
        life: LifeId,
        /// How.
        cause: EndCause,
        /// The time since it was placed.
        took: Duration,
    },
    /// A run is over without an end from its worker.
    RunLost {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// Where.
        life: LifeId,
        /// Why it is over.
        loss: RunLoss,
    },
    /// A run makes no progress and is stopped.
    Stalled {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// Where.
        life: LifeId,
        /// The time since it was placed.
        took: Duration,
        /// How far it had come.
        percent: u8,
    },
    /// A run of a job that this owner does not know is stopped.
    ForeignRun {
        /// The task, if its name is one.
        task: Option<TaskId>,
        /// The run.
        run: RunNumber,
        /// Where.
        life: LifeId,
    },
    /// Answers to starts come much later than at the least, or no longer do.
    Strained {
        /// Whether they do now.
        strained: bool,
        /// What an answer takes now.
        smoothed: Duration,
        /// What one has taken at least.
        least: Duration,
        /// How many starts may be under way.
        window: usize,
    },
    /// A worker gets no new runs for a while.
    Suspended {
        /// Which.
        life: LifeId,
        /// Why.
        cause: SuspensionCause,
        /// How long.
        pause: Duration,
    },
    /// A worker does not answer looks any more.
    WorkerSilent {
        /// Which.
        life: LifeId,
        /// How many runs it has.
        runs: usize,
    },
    /// A worker answers again, or for the first time.
    WorkerAnswers {
        /// Which.
        life: LifeId,
        /// Its clock less the owner's, in milliseconds.
        clock_offset: i64,
    },
    /// A worker was taken up, changed in the directory, or left.
    WorkerChanged {
        /// Which.
        life: LifeId,
        /// What it is now.
        change: WorkerChange,
    },
    /// A job got its final outcome.
    JobEnded {
        /// The job.
        job: JobId,
        /// How.
        outcome: JobOutcome,
        /// The time since the customer's request.
        took: Duration,
        /// The latency objective.
        objective: Duration,
    },
    /// A kept job is stored.
    KeptStored {
        /// The job.
        job: JobId,
        /// The version of its row.
        version: u64,
    },
    /// A kept job of a former owner was found in the store.
    KeptFound {
        /// The job.
        job: JobId,
        /// The version of its row.
        version: u64,
    },
    /// A kept job has ended, and the store has it.
    KeptEnded {
        /// The job.
        job: JobId,
        /// How.
        state: KeptState,
    },
    /// A worker has started again under its id.
    WorkerReborn {
        /// Which.
        life: LifeId,
        /// Its new life, if it says so.
        born: Option<jobs::BirthTime>,
        /// The runs that were known on it.
        runs: usize,
    },
    /// A worker has another room.
    WorkerResized {
        /// Which.
        life: LifeId,
        /// Its room before.
        former: ResourceDemand,
        /// Its room now.
        room: ResourceDemand,
        /// Starts that were ordered and are taken back.
        withdrawn: usize,
    },
    /// A worker was lost with runs, one of which may be the cause.
    CrashSuspected {
        /// Which.
        life: LifeId,
        /// Whether it is known to have died.
        died: bool,
        /// Whether others were lost with it, so that no task is to blame but of a job that ran on all of them.
        common: bool,
        /// The tasks that it was lost with.
        suspects: usize,
    },
    /// A worker that was lost turns out to live.
    CrashCleared {
        /// Which.
        life: LifeId,
    },
    /// A task is known to crash its workers. Its job is given up.
    CrashCulprit {
        /// Which.
        task: TaskId,
    },
    /// Its data centre is evacuated, or was taken back.
    Evacuation {
        /// Whether it is evacuated now.
        evacuated: bool,
        /// Runs that go on.
        running: usize,
        /// Starts that were ordered and are taken back.
        withdrawn: usize,
    },
    /// Kept jobs are stopped: the store was not reached for so long that another owner may have them.
    KeptSuspended,
    /// Nobody waits for a job any more, or its time is over: what runs of it is stopped.
    JobAbandoned {
        /// The job.
        job: JobId,
        /// The runs that are stopped.
        stopped: usize,
    },
}

text_set! {
    /// What changed about a worker.
    WorkerChange, "change of a worker", WrongReason {
        /// It is new here.
        Added => "added",
        /// It will leave.
        Draining => "draining",
        /// It takes runs again.
        Ready => "ready",
        /// It is gone from the directory.
        Unlisted => "unlisted",
        /// It is forgotten.
        Forgotten => "forgotten",
        /// Another owner has it.
        TakenOver => "taken_over",
    }
}
