//! The command-line options.

use std::{fmt, net::SocketAddr, path::PathBuf, str::FromStr};

use bpaf::{Bpaf, ShellComp};
use load::LoadShape;
use model::{ContractVersion, CustomerId, EndpointId};

/// Manages the contracts of the dispatcher for sub-second tasks and inspects the running system.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer(EXAMPLES), generate(ctl_options))]
pub(crate) struct CtlOptions {
    /// Print JSON for programs in place of text for people
    pub(crate) json: bool,
    /// After an error, print the whole report
    pub(crate) verbose: bool,
    /// Any entry's address, as IP and port, 127.0.0.1:8080 without it; `load` takes several
    #[bpaf(argument("ADDRESS"), many)]
    pub(crate) entry: Vec<SocketAddr>,
    #[bpaf(external(ctl_command))]
    pub(crate) command: CtlCommand,
}

/// The command to run.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum CtlCommand {
    /// Create, change, retire and read contracts
    #[bpaf(command("contract"))]
    Contract(#[bpaf(external(contract_command))] ContractCommand),
    /// Explain the outcome of a submission
    #[bpaf(command("explain"))]
    Explain(#[bpaf(external(explain_options))] ExplainOptions),
    /// Show the state of one entry and its view of the system
    #[bpaf(command("status"))]
    Status,
    /// Check a settings file without starting anything
    #[bpaf(command("check-settings"))]
    CheckSettings {
        /// The role that the file is for; without it, any will do
        #[bpaf(argument("ROLE"), optional)]
        role: Option<RoleName>,
        /// The settings, a JSON file
        #[bpaf(positional("FILE"), complete_shell(ShellComp::File { mask: Some("*.json") }))]
        file: PathBuf,
    },
    /// Run the whole system once in this process, on stand-ins, and report the result
    #[bpaf(command("demo"))]
    Demo,
    /// Send the users' load to entries at planned times and report the result
    #[bpaf(command("load"))]
    Load(#[bpaf(external(load_options))] LoadOptions),
    /// Run a stand-in for a platform service or an endpoint, until SIGTERM or SIGINT
    #[bpaf(command("stand-in"))]
    StandIn(#[bpaf(external(stand_in_command))] StandInCommand),
    /// Print the JSON schema of a role's settings
    #[bpaf(command("schema"))]
    Schema {
        /// entry, dispatcher or node
        #[bpaf(positional("ROLE"))]
        role: RoleName,
    },
}

/// What is to be explained, and from where.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ExplainOptions {
    /// A node's log; may be given again. Without it, an entry is asked
    #[bpaf(argument("FILE"), many, complete_shell(ShellComp::File { mask: None }))]
    pub(crate) logs: Vec<PathBuf>,
    /// List the N jobs that took longest, from the logs
    #[bpaf(argument("N"), optional)]
    pub(crate) slowest: Option<usize>,
    /// List the jobs that were not completed, from the logs
    pub(crate) failed: bool,
    /// List the jobs that were refused for this reason, from the logs
    #[bpaf(argument("REASON"), optional)]
    pub(crate) reason: Option<String>,
    /// The submission, as its answer named it, or with --logs the job's id
    #[bpaf(positional("ID"), optional)]
    pub(crate) id: Option<String>,
}

/// What is to be done with contracts.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum ContractCommand {
    /// Create the contract of a customer that has none
    #[bpaf(command("create"))]
    Create {
        /// The contract, a JSON file, or - for standard input
        #[bpaf(argument("FILE"), complete_shell(ShellComp::File { mask: Some("*.json") }))]
        file: PathBuf,
        /// The customer
        #[bpaf(positional("CUSTOMER"))]
        customer: CustomerId,
    },
    /// Change a contract; refused if another operator has changed it since
    #[bpaf(command("change"))]
    Change {
        /// The version that the change starts from, as `show` prints it
        #[bpaf(argument("VERSION"))]
        version: ContractVersion,
        /// The fields to change, a JSON file, or - for standard input; the others stay
        #[bpaf(argument("FILE"), complete_shell(ShellComp::File { mask: Some("*.json") }))]
        file: PathBuf,
        /// The customer
        #[bpaf(positional("CUSTOMER"))]
        customer: CustomerId,
    },
    /// Retire a contract: new work is refused, accepted work is answered
    #[bpaf(command("retire"))]
    Retire {
        /// The version to retire, as `show` prints it
        #[bpaf(argument("VERSION"))]
        version: ContractVersion,
        /// The customer
        #[bpaf(positional("CUSTOMER"))]
        customer: CustomerId,
    },
    /// Show the contract of a customer
    #[bpaf(command("show"))]
    Show {
        /// The customer
        #[bpaf(positional("CUSTOMER"))]
        customer: CustomerId,
    },
    /// List all contracts
    #[bpaf(command("list"))]
    List,
    /// Show what each change of a contract changed
    #[bpaf(command("history"))]
    History {
        /// The customer
        #[bpaf(positional("CUSTOMER"))]
        customer: CustomerId,
    },
}

/// The load to send.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct LoadOptions {
    /// A dispatcher's admin address, for its counters; may be given again
    #[bpaf(argument("ADDRESS"), many)]
    pub(crate) dispatcher_admin: Vec<SocketAddr>,
    /// An endpoint stand-in's address, for its starts; may be given again
    #[bpaf(argument("ADDRESS"), many)]
    pub(crate) endpoint: Vec<SocketAddr>,
    /// Whose load: trust or utility
    #[bpaf(argument("SHAPE"), fallback(LoadShape::Trust), display_fallback)]
    pub(crate) shape: LoadShape,
    /// The same seed plans the same calls
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub(crate) seed: u64,
    /// Task starts a second; without it, --percent counts
    #[bpaf(argument("RATE"), optional)]
    pub(crate) rate: Option<f64>,
    /// The load as a percentage of what --slots can run
    #[bpaf(argument("PERCENT"), fallback(50.0), display_fallback)]
    pub(crate) percent: f64,
    /// The slots of all endpoints
    #[bpaf(argument("COUNT"), optional)]
    pub(crate) slots: Option<u32>,
    /// How long calls are sent
    #[bpaf(argument("SECONDS"), fallback(10), display_fallback)]
    pub(crate) seconds: u64,
    /// How many customers call: PREFIX-1, PREFIX-2 and so on, each with a contract
    #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
    pub(crate) customers: usize,
    /// What the customers' names begin with
    #[bpaf(argument("PREFIX"), fallback("customer".to_owned()), display_fallback)]
    pub(crate) prefix: String,
    /// Ten times the rate in a tenth of the run, as in the morning rush
    pub(crate) burst: bool,
    /// Draw the response curves into this SVG file
    #[bpaf(argument("FILE"), optional)]
    pub(crate) report: Option<PathBuf>,
}

/// The stand-in to run.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum StandInCommand {
    /// The table service, the object store and the VM list
    #[bpaf(command("platform"))]
    Platform {
        /// Where to listen, as IP and port
        #[bpaf(argument("ADDRESS"), fallback(default_platform()), display_fallback)]
        listen: SocketAddr,
        /// The VM list, a JSON file
        #[bpaf(argument("FILE"), complete_shell(ShellComp::File { mask: Some("*.json") }))]
        vms: PathBuf,
    },
    /// An endpoint that answers each task with its payload
    #[bpaf(command("endpoint"))]
    Endpoint {
        /// Where to listen, as IP and port
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Tasks at once
        #[bpaf(argument("COUNT"), fallback(8), display_fallback)]
        slots: u32,
        /// How long a task runs, in milliseconds
        #[bpaf(argument("MS"), fallback(100), display_fallback)]
        run_ms: u64,
        /// How many to run in this process, at ports that follow each other; their names then end in -1, -2 and so on
        #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
        count: u16,
        /// Its name in the VM list
        #[bpaf(positional("ID"))]
        id: EndpointId,
    },
}

/// A role of the system's processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RoleName {
    /// The entry.
    Entry,
    /// The dispatcher.
    Dispatcher,
    /// The node on the users' platform.
    Node,
}

impl fmt::Display for RoleName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Entry => "entry",
            Self::Dispatcher => "dispatcher",
            Self::Node => "node",
        })
    }
}

impl FromStr for RoleName {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "entry" => Ok(Self::Entry),
            "dispatcher" => Ok(Self::Dispatcher),
            "node" => Ok(Self::Node),
            _ => Err("expected entry, dispatcher or node".to_owned()),
        }
    }
}

fn default_platform() -> SocketAddr {
    settings::EntrySettings::default().platform
}

pub(crate) fn default_entry() -> SocketAddr {
    settings::EntrySettings::default().caller_listen
}

// bpaf keeps a line break only if a space follows it.
const EXAMPLES: &str = "Examples:
   cairnctl demo
   cairnctl stand-in platform --vms docs/examples/vms.json
   cairnctl contract create trust --file docs/examples/contract.json
   cairnctl contract change trust --version 1 --file docs/examples/contract.json
   cairnctl --json contract show trust
   cairnctl --entry 127.0.0.1:8080 status
   cairnctl load --entry 127.0.0.1:8080 --percent 80 --slots 400 --seconds 20
   cairnctl check-settings docs/examples/entry.json --role entry
 \n Shell completion, here for bash:
   source <(cairnctl --bpaf-complete-style-bash)
 \n Exit codes:
   0  done
   1  a failure at run time: not reached, refused, a conflict, or outcome unknown
   2  wrong usage, contract or settings";
