//! Command-line options of `cairnpaddle`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Runs one role of the dispatcher for sub-second tasks.
///
/// The process runs until it receives SIGTERM or SIGINT, then drains.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer(EXAMPLES), generate(process_options))]
pub(crate) struct ProcessOptions {
    /// After an error, print the whole report
    pub(crate) verbose: bool,
    #[bpaf(external(role_command))]
    pub(crate) role: RoleCommand,
}

/// The role of the process.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum RoleCommand {
    /// Take submissions from callers and answer them
    #[bpaf(command)]
    Entry {
        /// Settings of the entry, a JSON file
        #[bpaf(argument("FILE"), complete_shell(bpaf::ShellComp::File { mask: Some("*.json") }))]
        settings: PathBuf,
    },
    /// Own endpoints and run tasks on their slots
    #[bpaf(command)]
    Dispatcher {
        /// Settings of the dispatcher, a JSON file
        #[bpaf(argument("FILE"), complete_shell(bpaf::ShellComp::File { mask: Some("*.json") }))]
        settings: PathBuf,
    },
    /// Take jobs on the users' platform, and own pools of workers
    #[bpaf(command)]
    Node {
        /// Settings of the node, a JSON file
        #[bpaf(argument("FILE"), complete_shell(bpaf::ShellComp::File { mask: Some("*.json") }))]
        settings: PathBuf,
    },
}

// bpaf keeps a line break only if a space follows it.
const EXAMPLES: &str = "Examples:
   cairnpaddle entry --settings docs/examples/entry.json
   cairnpaddle dispatcher --settings docs/examples/dispatcher.json
 \n Check a file first:
   cairnctl check-settings docs/examples/entry.json
 \n Shell completion, here for bash:
   source <(cairnpaddle --bpaf-complete-style-bash)
 \n Exit codes:
   0  the process drained and stopped
   1  a failure at run time
   2  wrong usage or settings";
