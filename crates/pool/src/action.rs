//! The actions a pool asks its caller to carry out, the answers to them, and the events it reports for the log.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use jobs::{
    EndCause, FenceToken, InstanceId, JobAttemptId, JobId, JobOutcome, KeptState, ResourceDemand,
    RunNumber, TaskId, TaskText, WorkerClock, WorkerListing,
};
use model::{text_enum, UnknownVariant};

use crate::{
    attempt_exclusion::{AttemptLookup, AttemptRegistration},
    kept::{ForeignEnd, KeptWrite},
};

/// Identifies one call of an entry that waits for a job's outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The id of the worker instance to which the order is addressed.
    pub instance: InstanceId,
    /// The address on which the worker listens.
    pub address: SocketAddr,
    /// The fencing token under which the order is sent.
    pub fence: FenceToken,
    /// The task to run.
    pub task: TaskId,
    /// The number of the run. Resent starts of a run have the same number.
    pub run: RunNumber,
    /// The task's text, passed to the worker.
    pub text: TaskText,
    /// The end of the lease, on the worker's clock; the worker rejects the order after it.
    pub lease_end: WorkerClock,
    /// When the order is sent.
    pub sent: Instant,
    /// After this time without an answer the caller calls `on_start_overdue`.
    pub overdue_after: Duration,
    /// After this time without an answer the order counts as unanswered.
    pub timeout: Duration,
}

/// An order to stop a run. A run that has not started on the worker yet never starts afterwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// The id of the worker instance to which the order is addressed.
    pub instance: InstanceId,
    /// The address on which the worker listens.
    pub address: SocketAddr,
    /// The fencing token under which the order is sent.
    pub fence: FenceToken,
    /// The task of the run.
    pub task: TaskId,
    /// The number of the run.
    pub run: RunNumber,
    /// When the order is sent.
    pub sent: Instant,
    /// After this time without an answer the order counts as unanswered.
    pub timeout: Duration,
}

/// A poll of a worker. It renews the lease of all runs on the worker and acknowledges ended runs; the answer lists the
/// runs that are running and those that have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollOrder {
    /// The id of the worker instance to which the order is addressed.
    pub instance: InstanceId,
    /// The address on which the worker listens.
    pub address: SocketAddr,
    /// The fencing token under which the order is sent.
    pub fence: FenceToken,
    /// The new end of the lease, on the worker's clock. None if the lease is not renewed.
    pub lease_end: Option<WorkerClock>,
    /// The number of the last ended run that is acknowledged; 0 if nothing is acknowledged.
    pub acknowledged_end: u64,
    /// How long the worker may wait for a run to end before it answers.
    pub wait: Duration,
    /// After this time without an answer the poll counts as unanswered.
    pub timeout: Duration,
}

text_enum! {
    /// Why a call to a worker got no valid answer.
    CallFailure, "failure of a call", UnknownVariant {
        /// No answer came in time, or the connection broke. The worker may have carried out the call, or may still do
        /// so.
        NoAnswer => "no_answer",
        /// No connection to the worker could be opened, so nothing of the call was sent.
        NotSent => "not_sent",
        /// Another instance than the addressed one answered: all runs of the addressed instance are over.
        NewInstance => "new_life",
        /// Another owner has used a higher fencing token.
        FencedOut => "fenced_out",
        /// The worker reports that it did nothing because it is unhealthy.
        Unhealthy => "unhealthy",
        /// The worker could not decode the call.
        Malformed => "malformed",
    }
}

/// How a worker answered a start. The worker's own answers have its clock at that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The worker has the run.
    Started(WorkerClock),
    /// The worker had a run of this task with the same or a higher number before.
    Superseded(WorkerClock),
    /// The end of the lease has passed on the worker's clock.
    LeaseExpired(WorkerClock),
    /// The worker has too little free capacity for the task.
    NoCapacity(WorkerClock),
    /// The worker was not allowed to run the task.
    NotAllowed(WorkerClock),
    /// No valid answer came.
    Failed(CallFailure),
}

/// How a worker answered a stop. The worker's own answer has its clock at that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopAnswer {
    /// The run ends shortly, or never begins.
    Stopped(WorkerClock),
    /// No valid answer came.
    Failed(CallFailure),
}

/// How a worker answered a poll: the listing of its runs, or why there is none.
pub type PollAnswer = Result<WorkerListing, CallFailure>;

/// Something that the pool's caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolAction {
    /// Write the row of a kept job.
    WriteKeptJob(KeptWrite),
    /// Add an end to the row of another pool's kept job, unless the job has ended; then call `on_foreign_end_stored`.
    StoreForeignEnd(ForeignEnd),
    /// Find out whether runs of another attempt at a job may be left; then call `on_attempt_lookup`.
    FindAttempts {
        /// The job.
        job: JobId,
        /// The attempt whose own runs do not count. None if its id is not known.
        attempt: Option<JobAttemptId>,
    },
    /// Register in the store that runs of a job may be left for a while; then call `on_attempt_registered`.
    RegisterAttempt(AttemptRegistration),
    /// Remove all registrations of a job from the store: its runs are over.
    RemoveRegistrations(JobId),
    /// Send a start; its answer goes to `on_start_answer`.
    Start(StartOrder),
    /// Send a stop; its answer goes to `on_stop_answer`.
    Stop(StopOrder),
    /// Send a poll; its answer goes to `on_poll_answer`.
    Poll(PollOrder),
    /// Send the outcome of a job to a waiting entry.
    Answer {
        /// The call that waits for the outcome.
        waiter: WaiterId,
        /// The outcome of the job, which may still run if it was accepted as a kept job.
        outcome: JobOutcome,
    },
    /// Give up ownership of the pool: other owners have taken all its workers.
    ReleasePool,
}

text_enum! {
    /// Why a run record was removed although the worker did not report the end of the run.
    RunLoss, "loss of a run", UnknownVariant {
        /// The worker rejected the start.
        Rejected => "turned_away",
        /// The worker was restarted or replaced: the incarnation that had the run is over.
        NewIncarnation => "new_life",
        /// The worker did not answer until the lease had certainly expired.
        LeaseExpired => "lease_over",
        /// A poll that was sent later does not list the run.
        NotListed => "not_there",
        /// No start of the run was sent, since no connection to the worker could be opened.
        NotSent => "not_sent",
    }
}

text_enum! {
    /// What is known of a run's beginning in the present incarnation of its worker.
    RunBeginning, "beginning of a run", UnknownVariant {
        /// No start was sent.
        Unsent => "unsent",
        /// A start was sent, but a poll's connection broke too soon after that for the start to be the cause.
        Unreached => "unreached",
        /// A start was sent. It is not known whether the worker carried it out.
        Unconfirmed => "unconfirmed",
        /// The worker has answered that it has the run, or has listed it as running.
        Begun => "begun",
    }
}

text_enum! {
    /// Why a run counts as stalled.
    StallEvidence, "evidence of a stall", UnknownVariant {
        /// It takes several times its predicted time, and its listed progress does not rise.
        Overdue => "overdue",
        /// Its listed progress rose and then did not for many times what it needed before.
        Stopped => "stopped",
        /// Its listed progress has not risen in the time in which the slowest run of its route advances.
        NeverAdvanced => "never_advanced",
        /// Its worker lists no progress, and it takes longer than any run of its route.
        Overlong => "overlong",
    }
}

text_enum! {
    /// Why a worker gets no new runs for a while.
    SuspensionCause, "suspension", UnknownVariant {
        /// Runs of different jobs failed in a row, or a probe run failed.
        Failing => "failing",
        /// A run made no progress.
        Stalled => "stalled",
        /// The starts of a run went unanswered or had no effect.
        Silent => "silent",
        /// The worker rejected a start, because it is unhealthy or for another reason.
        Unhealthy => "unhealthy",
    }
}

/// A decision, or a change in what the owner knows, for the log and the metrics.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolEvent {
    /// A job was admitted or refused.
    Admission {
        /// The job that was admitted or refused.
        job: JobId,
        /// Why the job was refused. None if it was admitted.
        refusal: Option<jobs::RefusalKind>,
        /// The predicted time from the customer's request to the end of the job.
        predicted: Duration,
        /// The part of `predicted` that is added because workers answer starts late.
        start_delay: Duration,
        /// The job's latency objective, from the customer's request.
        objective: Duration,
        /// The number of tasks of other jobs that waited to be placed.
        queued: usize,
        /// Whether the job would have made a job late that was admitted before.
        delays_admitted: bool,
        /// Whether the job would have taken capacity that is reserved for jobs of higher priority, or for due returns.
        takes_reserved: bool,
        /// The share of the job's class. None if jobs are admitted in order of arrival.
        share: Option<crate::ShareUse>,
        /// The time since the job was first refused, if it returned in its turn.
        returned: Option<Duration>,
        /// The time until the scheduled return of a refused job.
        return_in: Option<Duration>,
    },
    /// A job that was refused before has returned in its turn.
    ReturnKept {
        /// The job that returned.
        job: JobId,
        /// The time since the job was first refused.
        waited: Duration,
    },
    /// A refused job did not return within the grace period after its scheduled time.
    ReturnMissed {
        /// The job that did not return.
        job: JobId,
    },
    /// A run was placed on a worker and its start ordered.
    RunPlaced {
        /// The task that was placed.
        task: TaskId,
        /// The number of the run.
        run: RunNumber,
        /// The worker on which the run was placed.
        instance: InstanceId,
        /// The time since the customer's request.
        waited: Duration,
    },
    /// A start did not succeed.
    StartFailed {
        /// The task to run.
        task: TaskId,
        /// The number of the run.
        run: RunNumber,
        /// The worker to which the start was sent.
        instance: InstanceId,
        /// The answer, or why there was none.
        answer: StartAnswer,
        /// How many times the start of this run was sent.
        starts_sent: u32,
    },
    /// A run ended.
    RunEnded {
        /// The task of the run.
        task: TaskId,
        /// The number of the run.
        run: RunNumber,
        /// The worker that reported the end.
        instance: InstanceId,
        /// Why the run ended.
        cause: EndCause,
        /// The time since the run was placed.
        took: Duration,
    },
    /// A run is over, but its worker did not report its end.
    RunLost {
        /// The task of the run.
        task: TaskId,
        /// The number of the run.
        run: RunNumber,
        /// The worker on which the run was placed.
        instance: InstanceId,
        /// Why the run counts as over.
        loss: RunLoss,
        /// What was known of the run's beginning.
        beginning: RunBeginning,
    },
    /// A run makes no progress and is being stopped.
    RunStalled {
        /// The task of the run.
        task: TaskId,
        /// The number of the run.
        run: RunNumber,
        /// The worker on which the run stalls.
        instance: InstanceId,
        /// The time since the run was placed.
        took: Duration,
        /// The progress of the run, in percent.
        percent: u8,
        /// What shows that it is stalled.
        evidence: StallEvidence,
    },
    /// A worker has more ended runs than it lists at once: runs that are missing from the listing may have ended.
    EndsCutOff {
        /// The worker.
        instance: InstanceId,
        /// The number of the first listed end, which is not acknowledged yet.
        first_end: u64,
        /// The number of runs that are not known to have ended.
        runs: usize,
    },
    /// A run of a job that this owner does not know is being stopped.
    ForeignRun {
        /// The task of the run. None if its name on the worker is no task id.
        task: Option<TaskId>,
        /// The number of the run.
        run: RunNumber,
        /// The worker that lists the run.
        instance: InstanceId,
    },
    /// The path to the workers became congested, so that answers to starts take much longer than the shortest time
    /// seen, or it is no longer congested.
    Congestion {
        /// Whether the path is congested now.
        congested: bool,
        /// The smoothed time that an answer takes now.
        smoothed: Duration,
        /// The shortest time that an answer has taken.
        minimum: Duration,
        /// The maximum number of starts in flight.
        window: usize,
    },
    /// A worker gets no new runs for a while.
    WorkerSuspended {
        /// The suspended worker.
        instance: InstanceId,
        /// Why it is suspended.
        cause: SuspensionCause,
        /// How long the worker gets no new runs.
        pause: Duration,
    },
    /// A worker no longer answers polls.
    WorkerSilent {
        /// The silent worker.
        instance: InstanceId,
        /// The number of runs that were placed on the worker and are not known to be over.
        runs: usize,
    },
    /// A worker answers again, or for the first time.
    WorkerAnswers {
        /// The worker that answered a poll.
        instance: InstanceId,
        /// The worker's clock minus the owner's, in milliseconds.
        clock_offset: i64,
    },
    /// A worker was added, changed in the directory, or left.
    WorkerChanged {
        /// The worker that changed.
        instance: InstanceId,
        /// What changed.
        change: WorkerChange,
    },
    /// A job got its final outcome.
    JobEnded {
        /// The job that ended.
        job: JobId,
        /// The outcome that waiting entries get.
        outcome: JobOutcome,
        /// The time since the customer's request.
        took: Duration,
        /// The job's latency objective, from the customer's request.
        objective: Duration,
    },
    /// A kept job has been stored.
    KeptStored {
        /// The stored job.
        job: JobId,
        /// The version of its row in the store.
        version: u64,
    },
    /// A kept job of a former owner was found in the store.
    KeptFound {
        /// The job that was found.
        job: JobId,
        /// The version of its row in the store.
        version: u64,
    },
    /// A kept job that was found in the store may run from now on, once its row is written.
    KeptResumed {
        /// The job.
        job: JobId,
        /// The version of its row that this owner knows.
        version: u64,
        /// The number of its tasks that are done, by that row and by the workers' listings.
        done: usize,
    },
    /// A kept job that no worker of the pool can hold is being moved to another pool.
    KeptMoving {
        /// The job.
        job: JobId,
        /// The name of that pool.
        home: Arc<str>,
        /// How long no worker could hold the job.
        stranded_for: Duration,
    },
    /// A kept job has ended without this owner, by a read of the open jobs.
    KeptMissing {
        /// The job.
        job: JobId,
        /// The version of the store that the read includes.
        version: u64,
    },
    /// A kept job belongs to another pool now.
    KeptMoved {
        /// The job.
        job: JobId,
    },
    /// A later owner of the pool has let a kept job run, of which this owner has not heard otherwise.
    KeptSuperseded {
        /// The job.
        job: JobId,
    },
    /// A worker lists the end of a run that is, or may be, of another pool's kept job.
    ForeignEndFound {
        /// The worker that lists the end.
        instance: InstanceId,
        /// The task whose run has ended.
        task: TaskId,
        /// The number of the run.
        run: RunNumber,
        /// Why the run ended.
        cause: EndCause,
    },
    /// A kept job has ended and its final state is stored.
    KeptEnded {
        /// The job that ended.
        job: JobId,
        /// The final state.
        state: KeptState,
    },
    /// A worker has started again under its id.
    WorkerRestarted {
        /// The restarted worker.
        instance: InstanceId,
        /// When its new incarnation began, if the worker reports it.
        born: Option<jobs::WorkerStartTime>,
        /// The number of runs that were placed on the worker before the restart was noticed.
        runs: usize,
    },
    /// The capacity of a worker changed.
    WorkerResized {
        /// The worker whose capacity changed.
        instance: InstanceId,
        /// The capacity before the change.
        former_capacity: ResourceDemand,
        /// The capacity after the change.
        capacity: ResourceDemand,
        /// The number of ordered starts that are withdrawn.
        withdrawn: usize,
    },
    /// A worker was lost together with its runs, one of which may have crashed it.
    CrashSuspected {
        /// The lost worker.
        instance: InstanceId,
        /// Whether the worker is known to have died, rather than possibly being out of reach.
        died: bool,
        /// Whether other workers were lost at the same time from a common cause. Then only tasks of a job that ran on
        /// all of them remain suspects.
        common: bool,
        /// The number of tasks that were lost with the worker.
        suspects: usize,
        /// The number of those that are known to have been there when the worker died, if it died.
        begun: usize,
        /// Whether a single task that may have begun was lost with the worker.
        alone: bool,
    },
    /// A worker that counted as lost answers again in the same incarnation: it had not crashed.
    CrashCleared {
        /// The worker that answers again.
        instance: InstanceId,
    },
    /// A task was identified as crashing its workers. Its job fails.
    CrashCulprit {
        /// The task that crashes its workers.
        task: TaskId,
        /// The number of workers that died under it.
        deaths: u32,
        /// The number of those on which it ran alone.
        alone: u32,
    },
    /// Other workers than before are kept free for crash suspects, or none any more.
    WorkersReserved {
        /// The number of workers that get no other runs.
        workers: usize,
        /// The number of suspects that wait to run alone.
        suspects: usize,
    },
    /// An evacuation of the pool's data centre began or ended.
    Evacuation {
        /// Whether the data centre is evacuated now.
        evacuated: bool,
        /// The number of runs that continue.
        running: usize,
        /// The number of ordered starts that are withdrawn.
        withdrawn: usize,
    },
    /// Kept jobs are stopped: the store has been out of reach for so long that another owner may have taken them over.
    KeptSuspended,
    /// No call waits for a job any more, so its runs are stopped.
    JobAbandoned {
        /// The abandoned job.
        job: JobId,
        /// The number of runs that are stopped.
        stopped: usize,
    },
    /// A job is not taken, since runs of an earlier attempt at it may be left.
    EarlierRuns {
        /// The job.
        job: JobId,
    },
    /// Other attempts at a job were looked up.
    AttemptsLookedUp {
        /// The job.
        job: JobId,
        /// What is known of them.
        lookup: AttemptLookup,
        /// How long runs of another attempt may be left.
        left: Duration,
    },
    /// An attempt was registered in the store, or could not be in time.
    AttemptRegistered {
        /// The job.
        job: JobId,
        /// Whether the registration is in force.
        registered: bool,
        /// How long the job's runs may last now.
        left: Duration,
    },
    /// The last run of a job that ended before its runs is over.
    AttemptOver {
        /// The job that had ended.
        job: JobId,
        /// The time since the job ended at its owner.
        took: Duration,
    },
}

text_enum! {
    /// What changed about a worker.
    WorkerChange, "change of a worker", UnknownVariant {
        /// The worker is new in this pool.
        Added => "added",
        /// The worker is about to leave and gets no new runs.
        Draining => "draining",
        /// The worker takes runs again.
        Ready => "ready",
        /// The worker is no longer in the directory.
        Unlisted => "unlisted",
        /// The worker was removed from the pool's records.
        Forgotten => "forgotten",
        /// Another owner has taken the worker.
        TakenOver => "taken_over",
    }
}
