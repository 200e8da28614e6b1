//! Runs one role as a process: `cairnpaddle entry`, `cairnpaddle dispatcher` or `cairnpaddle node`.

mod options;

use std::process::ExitCode;

use command_line::CommandError;

use crate::options::{process_options, RoleCommand};

const NAME: &str = "cairnpaddle";

fn main() -> ExitCode {
    let options = match command_line::parse(NAME, process_options()) {
        Ok(options) => options,
        Err(code) => return code,
    };
    command_line::report_exit_status(NAME, options.verbose, run(&options.role))
}

fn run(role: &RoleCommand) -> Result<(), CommandError> {
    kernel::limit_free_memory();
    kernel::exit_on_panic();
    match role {
        RoleCommand::Entry { settings } => {
            let settings = settings::load_entry(settings).map_err(wrong_settings)?;
            with_logs(&settings.log.clone(), || entry::run(settings))
        }
        RoleCommand::Dispatcher { settings } => {
            let settings = settings::load_dispatcher(settings).map_err(wrong_settings)?;
            with_logs(&settings.log.clone(), || dispatcher::run(settings))
        }
        RoleCommand::Node { settings } => {
            let settings = settings::load_node(settings).map_err(wrong_settings)?;
            node::run(settings).map_err(CommandError::Failure)
        }
    }
}

fn with_logs(
    settings: &settings::LogSettings,
    run: impl FnOnce() -> eyre::Result<()>,
) -> Result<(), CommandError> {
    let control = telemetry::init_logs(settings).map_err(eyre::Report::new)?;
    let result = run();
    control.flush();
    result.map_err(CommandError::Failure)
}

fn wrong_settings(error: settings::SettingsError) -> CommandError {
    CommandError::UsageError(eyre::Report::new(error).wrap_err("wrong settings"))
}
