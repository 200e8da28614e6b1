//! A scenario as parsed: plain data, one statement a line.

use std::time::Duration;

use model::{Contract, CustomerId, DataCentreId, IdempotencyKey};
use stand_ins::{endpoint::FaultRequest, forwarder::CutConnect};

/// A whole scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// The statements in order.
    pub lines: Vec<ScriptLine>,
}

/// One statement with its line number and text.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptLine {
    /// The line number, from 1.
    pub number: usize,
    /// The text of the line, for reports.
    pub text: String,
    /// The parsed statement.
    pub statement: Statement,
}

/// A set-up line or a step.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// Part of the set-up, which comes before every step.
    Setup(Setup),
    /// A step; steps run in order.
    Step(Step),
}

/// Part of the initial state of the system.
#[derive(Clone, Debug, PartialEq)]
pub enum Setup {
    /// The seed of every random choice of the run.
    Seed(u64),
    /// A data centre with its VMs and endpoints.
    DataCentre(DataCentreLine),
    /// A contract, written to the platform before any process starts.
    Contract(ContractLine),
    /// A field in the settings files of one role.
    Setting(SettingLine),
}

/// A data centre. Its VMs are named `<name>-vm1` and so on, its endpoints `<name>-e1` and so on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreLine {
    /// The name.
    pub name: DataCentreId,
    /// The number of VMs of the system.
    pub vms: usize,
    /// The number of endpoints.
    pub endpoints: usize,
    /// The number of slots of each endpoint.
    pub slots: u32,
}

/// A contract of the set-up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContractLine {
    /// The customer of the contract.
    pub customer: CustomerId,
    /// The default contract with the fields on the line replaced.
    pub contract: Contract,
}

/// A field of one role's settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingLine {
    /// The role whose settings are changed.
    pub role: ProcessRole,
    /// The path of the field, parts joined by dots.
    pub path: String,
    /// The JSON value.
    pub value: serde_json::Value,
}

/// A role of `cairnpaddle`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProcessRole {
    /// Owns submissions.
    Entry,
    /// Owns endpoints.
    Dispatcher,
}

/// A name in a scenario: of a submission group, a VM, an endpoint and so on.
pub type Label = String;

/// The processes that a step acts on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProcessTarget {
    /// Every process.
    All,
    /// Both processes of a VM.
    Vm(Label),
    /// One process of a VM.
    One(ProcessRole, Label),
}

/// One step of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Starts processes and waits until they are ready, unless `unready` is set.
    Start {
        /// The processes to start.
        target: ProcessTarget,
        /// Whether to go on without waiting until they are ready.
        unready: bool,
    },
    /// Gets a ticket for a request.
    Ticket(TicketStep),
    /// Submits jobs or requests; goes on without waiting for answers.
    Submit(SubmitStep),
    /// Cancels the submissions of a group that have no answer yet and of which a task has started.
    Cancel(Label),
    /// Ends processes by SIGKILL.
    Kill(ProcessTarget),
    /// Asks processes to end by SIGTERM; goes on without waiting.
    Terminate(ProcessTarget),
    /// Stops processes by SIGSTOP.
    Freeze(ProcessTarget),
    /// Resumes stopped processes by SIGCONT.
    Thaw(ProcessTarget),
    /// Changes the links between two places.
    Link(LinkStep),
    /// Returns every link to normal operation.
    Heal,
    /// Injects a fault at the platform, or ends its faults.
    Platform(PlatformStep),
    /// Injects a fault at an endpoint, or takes it out of service.
    Endpoint(EndpointStep),
    /// An operator changes a contract; goes on without waiting.
    Change(ChangeStep),
    /// Waits for a condition.
    Wait {
        /// The condition.
        condition: Condition,
        /// The longest wait.
        within: Duration,
    },
    /// Waits for the answers or changes concerned, then compares them or a count with what is expected.
    Expect(Expectation),
}

/// Gets a ticket from an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketStep {
    /// The name of the ticket within the scenario.
    pub name: Label,
    /// The customer that the ticket is for.
    pub customer: CustomerId,
    /// The VM whose entry issues the ticket; chosen at random with the seed where absent.
    pub via: Option<Label>,
}

/// How an entry recognises a repeated request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestDedup {
    /// Repeats are not recognised.
    Plain,
    /// By an idempotency key.
    Key(IdempotencyKey),
    /// By the ticket of this name.
    Ticket(Label),
}

/// Whether a job or a request is submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitKind {
    /// A job of this many tasks.
    Job {
        /// The number of tasks.
        tasks: u32,
    },
    /// A non-idempotent request.
    Request(RequestDedup),
}

/// Submits jobs or requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmitStep {
    /// The name of the group.
    pub name: Label,
    /// Whether jobs or requests are submitted.
    pub kind: SubmitKind,
    /// The customer of the submissions.
    pub customer: CustomerId,
    /// Run time of each task.
    pub run: Duration,
    /// The deadline that the caller sends, counted from the submission.
    pub deadline: Duration,
    /// The run time that the caller declares for each task; `run` where absent.
    pub declared: Option<Duration>,
    /// The index, from 0, of the task that fails.
    pub fail_task: Option<u32>,
    /// A number that makes the body differ from other bodies under the same key or ticket.
    pub variant: Option<u32>,
    /// The number of submissions.
    pub times: u32,
    /// The time between two submissions.
    pub every: Duration,
    /// The VM whose entry takes the submissions; chosen at random for each with the seed where absent.
    pub via: Option<Label>,
}

/// What a link step does to the links between its places.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkChange {
    /// No data passes in either direction.
    Cut(CutConnect),
    /// No data passes from the first place to the second.
    CutOneWay,
    /// Data is delayed by this time in each direction.
    Delay(Duration),
    /// Open connections are reset.
    Reset,
}

/// Changes the network between two places. A place is a VM, an endpoint, a data centre or `platform`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkStep {
    /// The first place.
    pub from: Label,
    /// The second place.
    pub to: Label,
    /// The change to the links.
    pub change: LinkChange,
}

/// A fault of the platform. Faults accumulate until `Up`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformStep {
    /// Ends every fault.
    Up,
    /// Each call is answered as unavailable and has no effect.
    Down,
    /// Each connection is closed without an answer.
    Closed,
    /// Writes are answered as unavailable; reads succeed.
    ReadOnly,
    /// Each call takes this much longer.
    Slow(Duration),
    /// This many of the next writes take effect, but their answers are lost.
    LoseAnswers(u32),
    /// This many of the next writes of a customer's contract lose a race against another writer.
    Race(CustomerId, u32),
    /// The VM list lags by this time.
    Stale(Duration),
}

/// Changes the behaviour of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStep {
    /// The endpoint.
    pub name: Label,
    /// The new behaviour.
    pub change: EndpointChange,
}

/// The behaviour of an endpoint from the step on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointChange {
    /// Injects a fault, or returns to healthy.
    Fault(FaultRequest),
    /// Marks the endpoint as leaving in the VM list. It still accepts tasks, and its record shows how long it had been
    /// leaving at each start.
    Leave,
    /// Stops the stand-in of the endpoint, as if its process had ended.
    Stop,
}

/// A change of a contract by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeStep {
    /// The name of the change.
    pub name: Label,
    /// The customer and its new contract.
    pub line: ContractLine,
    /// The VM whose entry takes the change; chosen at random with the seed where absent.
    pub via: Option<Label>,
}

/// A bound on a count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountBound {
    /// At least this many.
    AtLeast(usize),
    /// At most this many.
    AtMost(usize),
    /// Exactly this many.
    Exactly(usize),
}

impl CountBound {
    /// Whether `count` is within the bound.
    pub fn holds(self, count: usize) -> bool {
        match self {
            Self::AtLeast(bound) => count >= bound,
            Self::AtMost(bound) => count <= bound,
            Self::Exactly(bound) => count == bound,
        }
    }
}

/// A condition that a step waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The number of tasks running now, at one endpoint or at all.
    Running {
        /// The bound on the count.
        bound: CountBound,
        /// The endpoint; all endpoints where absent.
        endpoint: Option<Label>,
    },
    /// The number of tasks of a group that have started.
    Started {
        /// The group.
        group: Label,
        /// The bound on the count.
        bound: CountBound,
    },
    /// The number of submissions of a group that have an answer.
    Answered {
        /// The group.
        group: Label,
        /// The bound on the count; all submissions of the group where absent.
        bound: Option<CountBound>,
    },
    /// The readiness probe of each process succeeds.
    Ready(ProcessTarget),
    /// The readiness probe of each process fails, also because the process is gone.
    Unready(ProcessTarget),
    /// The liveness probe of each process succeeds, whether it is ready or not.
    Live(ProcessTarget),
    /// Every process has ended.
    Exited(ProcessTarget),
    /// Every ready entry gives the expected answer to a small job of the customer.
    EntriesAnswer {
        /// The customer of the jobs.
        customer: CustomerId,
        /// The expected answer.
        answer: ExpectedAnswer,
    },
}

/// The status of an answer as the caller receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AnswerStatus {
    /// Every task ran to its end.
    Complete,
    /// The submission failed as a whole.
    Failed,
    /// Refused; no task ran.
    Refused,
    /// The submission may or may not have run.
    Unknown,
    /// No valid answer came: the connection broke or timed out, the answer could not be read, or no entry was ready.
    Lost,
}

/// The outcome of an operator's change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChangeStatus {
    /// The change was written.
    Accepted,
    /// Another change was written first; nothing was changed.
    Conflict,
    /// The change was refused or failed, and nothing was changed.
    Failed,
    /// The change may or may not have been written.
    Unknown,
}

/// An expected status, and the reason where the scenario names one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectedAnswer {
    /// The status.
    pub status: AnswerStatus,
    /// The reason; any reason where absent.
    pub reason: Option<String>,
}

/// What an `expect` step compares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// The answers of a group are among the given ones.
    Answers {
        /// The group.
        group: Label,
        /// The bound on the count; all submissions of the group where absent.
        bound: Option<CountBound>,
        /// The answers that are counted.
        answers: Vec<ExpectedAnswer>,
    },
    /// The number of tasks of a group that have started.
    Starts {
        /// The group.
        group: Label,
        /// The bound on the count.
        bound: CountBound,
    },
    /// The number of tasks that endpoints refused as busy because no slot was free.
    TurnedAway(CountBound),
    /// The most tasks of a customer that ran at once, over all endpoints.
    Peak {
        /// The customer of the tasks.
        customer: CustomerId,
        /// The bound on the count.
        bound: CountBound,
        /// The group from whose first start on the peak is counted; the whole run where absent.
        from: Option<Label>,
    },
    /// All answers of two groups have the same status and results.
    SameAnswer(Label, Label),
    /// The outcomes of operators' changes.
    Changes {
        /// The names of the changes.
        names: Vec<Label>,
        /// The bound on the count; all named changes where absent.
        bound: Option<CountBound>,
        /// The outcomes that are counted.
        ends: Vec<ChangeStatus>,
    },
}
