//! The operators' program: contracts, explain, status, settings.

mod check;
mod client;
mod contract;
mod demonstration;
mod explain;
mod options;
mod render;
mod status;

use std::process::ExitCode;

use command_line::{print_text, CommandFault};

use crate::{
    client::EntryClient,
    options::{ctl_options, CtlCommand, CtlOptions},
    render::OutputForm,
};

const NAME: &str = "cairnctl";

fn main() -> ExitCode {
    let options = match command_line::parse(NAME, ctl_options()) {
        Ok(options) => options,
        Err(code) => return code,
    };
    let verbose = options.verbose;
    command_line::finish(NAME, verbose, run(options))
}

fn run(options: CtlOptions) -> Result<(), CommandFault> {
    let form = OutputForm::from_json_flag(options.json);
    let client = EntryClient::new(options.entry);
    let text = match options.command {
        CtlCommand::Contract(command) => contract::run(&client, command, form)?,
        CtlCommand::Explain { id } => explain::run(&client, id, form)?,
        CtlCommand::Status => status::run(&client, form)?,
        CtlCommand::CheckSettings { role, file } => check::run(role, &file, form)?,
        CtlCommand::Demo => demonstration::run(form)?,
        CtlCommand::Schema { role } => check::schema(role),
    };
    print_text(&text).map_err(eyre::Report::new)?;
    Ok(())
}
