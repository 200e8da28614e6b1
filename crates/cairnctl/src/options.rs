//! The command line.

use std::{fmt, net::SocketAddr, path::PathBuf, str::FromStr};

use bpaf::{Bpaf, ShellComp};
use model::{ContractVersion, CustomerId, SubmissionId};

/// Drives the dispatcher for sub-second tasks by contracts, and looks into it.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer(EXAMPLES), generate(ctl_options))]
pub(crate) struct CtlOptions {
    /// Print JSON for programs in place of text for people
    pub(crate) json: bool,
    /// After an error, print the whole report
    pub(crate) verbose: bool,
    /// Any entry's address, as IP and port
    #[bpaf(argument("ADDRESS"), fallback(default_entry()), display_fallback)]
    pub(crate) entry: SocketAddr,
    #[bpaf(external(ctl_command))]
    pub(crate) command: CtlCommand,
}

/// What is to be done.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum CtlCommand {
    /// Create, change, retire and read contracts
    #[bpaf(command("contract"))]
    Contract(#[bpaf(external(contract_command))] ContractCommand),
    /// Tell what became of a submission and why
    #[bpaf(command("explain"))]
    Explain {
        /// The submission, as its answer named it
        #[bpaf(positional("ID"))]
        id: SubmissionId,
    },
    /// Show the state of one entry and what it sees
    #[bpaf(command("status"))]
    Status,
    /// Check a settings file without starting anything
    #[bpaf(command("check-settings"))]
    CheckSettings {
        /// The role that the file is for; without it, either will do
        #[bpaf(argument("ROLE"), optional)]
        role: Option<RoleName>,
        /// The settings, a JSON file
        #[bpaf(positional("FILE"), complete_shell(ShellComp::File { mask: Some("*.json") }))]
        file: PathBuf,
    },
    /// Run the whole path once in this process, on stand-ins, and say what came of it
    #[bpaf(command("demo"))]
    Demo,
    /// Print the JSON schema of a role's settings
    #[bpaf(command("schema"))]
    Schema {
        /// entry or dispatcher
        #[bpaf(positional("ROLE"))]
        role: RoleName,
    },
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

/// A role of the system's processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RoleName {
    /// The entry.
    Entry,
    /// The dispatcher.
    Dispatcher,
}

impl fmt::Display for RoleName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Entry => "entry",
            Self::Dispatcher => "dispatcher",
        })
    }
}

impl FromStr for RoleName {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "entry" => Ok(Self::Entry),
            "dispatcher" => Ok(Self::Dispatcher),
            _ => Err("expected entry or dispatcher".to_owned()),
        }
    }
}

fn default_entry() -> SocketAddr {
    settings::EntrySettings::default().caller_listen
}

// bpaf keeps a line break only before a space.
const EXAMPLES: &str = "Examples:
   cairnctl demo
   cairnctl contract create trust --file docs/examples/contract.json
   cairnctl contract change trust --version 1 --file docs/examples/contract.json
   cairnctl --json contract show trust
   cairnctl --entry 127.0.0.1:8080 status
   cairnctl check-settings docs/examples/entry.json --role entry
 \n Shell completion, here for bash:
   source <(cairnctl --bpaf-complete-style-bash)
 \n Exit codes:
   0  done
   1  a failure at run time: not reached, refused, a conflict, or outcome unknown
   2  wrong usage, contract or settings";
