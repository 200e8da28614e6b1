//! `cairnctl`, the command-line tool for operators.

mod check;
mod client;
mod contract;
mod demonstration;
mod explain;
mod explain_logs;
mod job_history;
mod load_run;
mod options;
mod render;
mod stand_in;
mod status;

use std::process::ExitCode;

use command_line::{print_text, CommandError};

use crate::{
    client::EntryClient,
    options::{ctl_options, default_entry, CtlCommand, CtlOptions},
    render::OutputFormat,
};

const NAME: &str = "cairnctl";

fn main() -> ExitCode {
    let options = match command_line::parse(NAME, ctl_options()) {
        Ok(options) => options,
        Err(code) => return code,
    };
    let verbose = options.verbose;
    command_line::report_exit_status(NAME, verbose, run(options))
}

fn run(options: CtlOptions) -> Result<(), CommandError> {
    let output_format = OutputFormat::from_json_flag(options.json);
    let mut entries = options.entry;
    if entries.is_empty() {
        entries.push(default_entry());
    }
    let allows_several = matches!(options.command, CtlCommand::Load(_));
    if entries.len() > 1 && !allows_several {
        let fault = eyre::eyre!("only `cairnctl load` accepts several --entry options");
        return Err(CommandError::UsageError(fault));
    }
    let client = EntryClient::new(entries[0]);
    let text = match options.command {
        CtlCommand::Contract(command) => contract::run(&client, command, output_format)?,
        CtlCommand::Explain(options) => explain::run(&client, &options, output_format)?,
        CtlCommand::Status => status::run(&client, output_format)?,
        CtlCommand::CheckSettings { role, file } => check::run(role, &file, output_format)?,
        CtlCommand::Demo => demonstration::run(output_format)?,
        CtlCommand::Load(command) => load_run::run(entries, &command, output_format)?,
        CtlCommand::StandIn(command) => stand_in::run(&command)?,
        CtlCommand::Schema { role } => check::schema(role),
    };
    print_text(&text).map_err(eyre::Report::new)?;
    Ok(())
}
