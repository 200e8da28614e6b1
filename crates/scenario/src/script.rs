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

/// One statement and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptLine {
    /// The line, from 1.
    pub number: usize,
    /// The text, for reports.
    pub text: String,
    /// What it says.
    pub statement: Statement,
}

/// What a line says.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// Part of the set-up, which comes before every step.
    Setup(Setup),
    /// Something to do, in order.
    Step(Step),
}

/// What is there when the steps begin.
#[derive(Clone, Debug, PartialEq)]
pub enum Setup {
    /// The seed of every random choice of the run.
    Seed(u64),
    /// A data centre with its VMs and endpoints.
    DataCentre(DataCentreLine),
    /// A contract, made by an operator once the first entry is ready.
    Contract(ContractLine),
    /// A field of the settings files.
    Setting(SettingLine),
}

/// A data centre. Its VMs are named `<name>-vm1` and so on, its endpoints `<name>-e1` and so on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreLine {
    /// The name.
    pub name: DataCentreId,
    /// VMs of the system.
    pub vms: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Slots of each endpoint.
    pub slots: u32,
}

/// A contract of the set-up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContractLine {
    /// Whose contract.
    pub customer: CustomerId,
    /// The contract: the defaults with the fields named on the line.
    pub contract: Contract,
}

/// A field of one role's settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingLine {
    /// Whose settings.
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

/// Which processes a step is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProcessTarget {
    /// Every process.
    All,
    /// Both processes of a VM.
    Vm(Label),
    /// One process of a VM.
    One(ProcessRole, Label),
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Starts processes and waits until they are ready, unless told not to.
    Start {
        /// Which.
        target: ProcessTarget,
        /// Whether to go on at once.
        unready: bool,
    },
    /// Gets a ticket for a request.
    Ticket(TicketStep),
    /// Submits jobs or requests; goes on without waiting for answers.
    Submit(SubmitStep),
    /// Cancels every job of a group.
    Cancel(Label),
    /// Ends processes by SIGKILL.
    Kill(ProcessTarget),
    /// Asks processes to end by SIGTERM; goes on without waiting.
    Terminate(ProcessTarget),
    /// Stops processes by SIGSTOP.
    Freeze(ProcessTarget),
    /// Lets them go on by SIGCONT.
    Thaw(ProcessTarget),
    /// Changes the network between two places.
    Link(LinkStep),
    /// Heals every link.
    Heal,
    /// Changes what the platform does.
    Platform(PlatformStep),
    /// Changes what an endpoint does.
    Endpoint(EndpointStep),
    /// An operator changes a contract; goes on without waiting.
    Change(ChangeStep),
    /// Waits for a condition.
    Wait {
        /// What to wait for.
        condition: Condition,
        /// The longest wait.
        within: Duration,
    },
    /// Waits for answers and compares.
    Expect(Expectation),
}

/// Gets a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketStep {
    /// The name that the scenario gives it.
    pub name: Label,
    /// Whose.
    pub customer: CustomerId,
    /// The VM whose entry issues it; the seed chooses where absent.
    pub via: Option<Label>,
}

/// How a second arrival of a request is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestMark {
    /// It is not.
    Plain,
    /// By an idempotency key.
    Key(IdempotencyKey),
    /// By a ticket of the scenario.
    Ticket(Label),
}

/// Job or request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitKind {
    /// A job of this many tasks.
    Job {
        /// How many.
        tasks: u32,
    },
    /// A non-idempotent request.
    Request(RequestMark),
}

/// Submits jobs or requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmitStep {
    /// The name of the group.
    pub name: Label,
    /// What.
    pub kind: SubmitKind,
    /// Whose.
    pub customer: CustomerId,
    /// Run time of each task.
    pub run: Duration,
    /// The deadline that the caller names.
    pub deadline: Duration,
    /// The run time that the caller declares; the true one where absent.
    pub declared: Option<Duration>,
    /// The task, from 0, that fails.
    pub fail_task: Option<u32>,
    /// Names another body under the same key or ticket.
    pub variant: Option<u32>,
    /// How many submissions.
    pub times: u32,
    /// The time between them.
    pub every: Duration,
    /// The VM whose entry takes them; the seed chooses each where absent.
    pub via: Option<Label>,
}

/// What a link step does to the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkChange {
    /// Nothing passes.
    Cut(CutConnect),
    /// Nothing passes from the first place to the second.
    CutOneWay,
    /// Everything passes this much later each way.
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
    /// What happens.
    pub change: LinkChange,
}

/// Changes what the platform does. Faults add up until `up`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformStep {
    /// Ends every fault.
    Up,
    /// Each call fails without effect.
    Down,
    /// Each connection closes without an answer.
    Closed,
    /// Writes fail, reads get through.
    ReadOnly,
    /// Each call takes longer.
    Slow(Duration),
    /// The next writes take effect, and their answers are lost.
    LoseAnswers(u32),
    /// The next writes of a customer's contract lose against another writer.
    Race(CustomerId, u32),
    /// The VM list is as of this long ago.
    Stale(Duration),
}

/// Changes what an endpoint does.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStep {
    /// The endpoint.
    pub name: Label,
    /// What.
    pub change: EndpointChange,
}

/// What an endpoint does from now on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointChange {
    /// Shows a fault.
    Fault(FaultRequest),
    /// Leaves: the VM list says so; it takes what still comes, and the record shows when.
    Leave,
    /// Its process ends.
    Stop,
}

/// An operator changes a contract.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeStep {
    /// The name of the change.
    pub name: Label,
    /// The contract from then on.
    pub line: ContractLine,
    /// The VM whose entry takes it; the seed chooses where absent.
    pub via: Option<Label>,
}

/// A bound on a count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountBound {
    /// At least so many.
    AtLeast(usize),
    /// At most so many.
    AtMost(usize),
    /// So many.
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

/// What to wait for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Tasks that run now, at one endpoint or all.
    Running {
        /// How many.
        bound: CountBound,
        /// The endpoint; all where absent.
        endpoint: Option<Label>,
    },
    /// Tasks of a group that have started.
    Started {
        /// The group.
        group: Label,
        /// How many.
        bound: CountBound,
    },
    /// Submissions of a group that have an answer.
    Answered {
        /// The group.
        group: Label,
        /// How many; all where absent.
        bound: Option<CountBound>,
    },
    /// The processes say that they are ready.
    Ready(ProcessTarget),
    /// The processes say that they are not ready, or are gone.
    Unready(ProcessTarget),
    /// The processes answer at all, ready or not.
    Live(ProcessTarget),
    /// The processes have ended.
    Exited(ProcessTarget),
    /// Every entry that takes submissions answers a small job of the customer so.
    EntriesAnswer {
        /// Whose jobs.
        customer: CustomerId,
        /// The answer.
        answer: ExpectedAnswer,
    },
}

/// The status of an answer as the caller gets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AnswerStatus {
    /// Every task ran.
    Complete,
    /// Failed as a whole.
    Failed,
    /// Nothing ran.
    Refused,
    /// May or may not have run.
    Unknown,
    /// No answer came: the connection to the entry broke.
    Lost,
}

/// The end of an operator's change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChangeStatus {
    /// In force.
    Accepted,
    /// Another change was first; nothing was changed.
    Conflict,
    /// Refused or failed: nothing was changed.
    Failed,
    /// May have been made.
    Unknown,
}

/// An expected status, with its reason where that matters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectedAnswer {
    /// The status.
    pub status: AnswerStatus,
    /// The reason; any where absent.
    pub reason: Option<String>,
}

/// What is expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// Answers of a group are among these.
    Answers {
        /// The group.
        group: Label,
        /// How many of the group; all where absent.
        bound: Option<CountBound>,
        /// The answers that count.
        answers: Vec<ExpectedAnswer>,
    },
    /// Tasks of a group that have started.
    Starts {
        /// The group.
        group: Label,
        /// How many.
        bound: CountBound,
    },
    /// Tasks that endpoints turned away because no slot was free.
    TurnedAway(CountBound),
    /// The most tasks of a customer that ran at once, over all endpoints.
    Peak {
        /// Whose.
        customer: CustomerId,
        /// How many.
        bound: CountBound,
        /// Counted from the first start of this group on; over the whole run where absent.
        from: Option<Label>,
    },
    /// Two groups got the same answer with the same result.
    SameAnswer(Label, Label),
    /// Ends of changes.
    Changes {
        /// Which.
        names: Vec<Label>,
        /// How many of them; all where absent.
        bound: Option<CountBound>,
        /// The ends that count.
        ends: Vec<ChangeStatus>,
    },
}
