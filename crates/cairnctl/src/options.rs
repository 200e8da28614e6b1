//! The command-line options.

use std::{fmt, net::SocketAddr, path::PathBuf, str::FromStr};

use bpaf::{Bpaf, ShellComp};
use load::LoadShape;
use model::{ContractVersion, CustomerId, EndpointId};

/// Manages the contracts of the dispatcher for sub-second tasks and inspects the running system.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer(EXAMPLES), generate(ctl_options))]
pub(crate) struct CtlOptions {
    /// Print JSON instead of text
    pub(crate) json: bool,
    /// After an error, print its causes on separate lines
    pub(crate) verbose: bool,
    /// Address of an entry, as IP:PORT; 127.0.0.1:8080 by default. Only `load` accepts several
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
        /// Role that the settings are for; by default, they must be valid for any one role
        #[bpaf(argument("ROLE"), optional)]
        role: Option<RoleName>,
        /// JSON file with the settings
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
        /// Role: entry, dispatcher or node
        #[bpaf(positional("ROLE"))]
        role: RoleName,
    },
}

/// The submission or job to explain, or the jobs to list.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ExplainOptions {
    /// Log file of a node; may be repeated. Without it, the history is read from the entry
    #[bpaf(argument("FILE"), many, complete_shell(ShellComp::File { mask: None }))]
    pub(crate) logs: Vec<PathBuf>,
    /// List the N jobs in the logs that took longest
    #[bpaf(argument("N"), optional)]
    pub(crate) slowest: Option<usize>,
    /// List the jobs in the logs that were not completed
    pub(crate) failed: bool,
    /// List the jobs in the logs that were refused for this reason
    #[bpaf(argument("REASON"), optional)]
    pub(crate) reason: Option<String>,
    /// Id of the submission, from its answer; with --logs, id of the job
    #[bpaf(positional("ID"), optional)]
    pub(crate) id: Option<String>,
}

/// The contract command to run.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum ContractCommand {
    /// Create the contract of a customer that has none
    #[bpaf(command("create"))]
    Create {
        /// JSON file with the contract, or - for standard input
        #[bpaf(argument("FILE"), complete_shell(ShellComp::File { mask: Some("*.json") }))]
        file: PathBuf,
        /// Id of the customer
        #[bpaf(positional("CUSTOMER"))]
        customer: CustomerId,
    },
    /// Change a contract; refused if another operator has changed it since
    #[bpaf(command("change"))]
    Change {
        /// Version that is changed, as printed by `contract show`
        #[bpaf(argument("VERSION"))]
        version: ContractVersion,
        /// JSON file with the fields to change, or - for standard input; other fields keep their values
        #[bpaf(argument("FILE"), complete_shell(ShellComp::File { mask: Some("*.json") }))]
        file: PathBuf,
        /// Id of the customer
        #[bpaf(positional("CUSTOMER"))]
        customer: CustomerId,
    },
    /// Retire a contract: new work is refused, accepted work is answered
    #[bpaf(command("retire"))]
    Retire {
        /// Version that is retired, as printed by `contract show`
        #[bpaf(argument("VERSION"))]
        version: ContractVersion,
        /// Id of the customer
        #[bpaf(positional("CUSTOMER"))]
        customer: CustomerId,
    },
    /// Show the contract of a customer
    #[bpaf(command("show"))]
    Show {
        /// Id of the customer
        #[bpaf(positional("CUSTOMER"))]
        customer: CustomerId,
    },
    /// List all contracts
    #[bpaf(command("list"))]
    List,
    /// Show what each change of a contract changed
    #[bpaf(command("history"))]
    History {
        /// Id of the customer
        #[bpaf(positional("CUSTOMER"))]
        customer: CustomerId,
    },
}

/// The load to send.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct LoadOptions {
    /// Admin address of a dispatcher whose counters are read; may be repeated
    #[bpaf(argument("ADDRESS"), many)]
    pub(crate) dispatcher_admin: Vec<SocketAddr>,
    /// Address of an endpoint stand-in whose task starts are read; may be repeated
    #[bpaf(argument("ADDRESS"), many)]
    pub(crate) endpoint: Vec<SocketAddr>,
    /// Load shape: trust or utility
    #[bpaf(argument("SHAPE"), fallback(LoadShape::Trust), display_fallback)]
    pub(crate) shape: LoadShape,
    /// Seed of the load plan; the same seed gives the same calls
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub(crate) seed: u64,
    /// Task starts per second; overrides --percent
    #[bpaf(argument("RATE"), optional)]
    pub(crate) rate: Option<f64>,
    /// Load as a percentage of what --slots can run
    #[bpaf(argument("PERCENT"), fallback(50.0), display_fallback)]
    pub(crate) percent: f64,
    /// Number of slots of all endpoints together
    #[bpaf(argument("COUNT"), optional)]
    pub(crate) slots: Option<u32>,
    /// How long calls are sent, in seconds
    #[bpaf(argument("SECONDS"), fallback(10), display_fallback)]
    pub(crate) seconds: u64,
    /// Number of customers that submit calls: PREFIX-1, PREFIX-2 and so on; each must have a contract
    #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
    pub(crate) customers: usize,
    /// Prefix of the customer ids
    #[bpaf(argument("PREFIX"), fallback("customer".to_owned()), display_fallback)]
    pub(crate) prefix: String,
    /// Send ten times the rate during a tenth of the run, as in a morning rush
    pub(crate) burst: bool,
    /// Draw the response curves into this SVG file
    #[bpaf(argument("FILE"), optional)]
    pub(crate) report: Option<PathBuf>,
}

/// The stand-in to run.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum StandInCommand {
    /// The platform: its table service, object store and VM list
    #[bpaf(command("platform"))]
    Platform {
        /// Address to listen on, as IP:PORT
        #[bpaf(argument("ADDRESS"), fallback(default_platform()), display_fallback)]
        listen: SocketAddr,
        /// JSON file with the VM list
        #[bpaf(argument("FILE"), complete_shell(ShellComp::File { mask: Some("*.json") }))]
        vms: PathBuf,
    },
    /// An endpoint that answers each task with its payload
    #[bpaf(command("endpoint"))]
    Endpoint {
        /// Address to listen on, as IP:PORT
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Number of slots, which is the most tasks that run at once
        #[bpaf(argument("COUNT"), fallback(8), display_fallback)]
        slots: u32,
        /// Run time of a task whose payload sets none, in milliseconds
        #[bpaf(argument("MS"), fallback(100), display_fallback)]
        run_ms: u64,
        /// Number of endpoints to run in this process, on consecutive ports; if more than one, -1, -2 and so on is appended
        /// to the id
        #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
        count: u16,
        /// Id of the endpoint in the VM list
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
