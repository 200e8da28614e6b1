//! Maintenance tasks of the repository and measurements of real processes, run as `cargo run -p xtask -- COMMAND`.

mod experiment;
mod fleet;
mod http;
mod ports;
mod slopes;
mod soak;
mod usage;

use bpaf::Bpaf;

use crate::{experiment::ExperimentOptions, slopes::SlopesOptions, soak::SoakOptions};

/// Maintenance tasks of the repository and measurements of real processes.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum TaskCommand {
    /// Generates the peer protocol's code from its schema. Needs Debian's package `capnproto`.
    #[bpaf(command)]
    Codegen,
    /// Starts real processes on loopback, runs them at several loads and writes a report
    #[bpaf(command)]
    Experiment(#[bpaf(external(experiment::experiment_options))] ExperimentOptions),
    /// Measures how processor time, memory and network traffic of real processes on loopback grow with load and size
    #[bpaf(command)]
    Slopes(#[bpaf(external(slopes::slopes_options))] SlopesOptions),
    /// Runs real nodes under random faults and checks the system's invariants
    #[bpaf(command)]
    Soak(#[bpaf(external(soak::soak_options))] SoakOptions),
}

fn main() -> eyre::Result<()> {
    match task_command().run() {
        TaskCommand::Codegen => generate_peer_protocol(),
        TaskCommand::Experiment(options) => {
            actix_rt::System::new().block_on(experiment::run(options))
        }
        TaskCommand::Slopes(options) => actix_rt::System::new().block_on(slopes::run(options)),
        TaskCommand::Soak(options) => actix_rt::System::new().block_on(soak::run(options)),
    }
}

fn generate_peer_protocol() -> eyre::Result<()> {
    capnpc::CompilerCommand::new()
        .src_prefix("crates/peer/schema")
        .file("crates/peer/schema/peer.capnp")
        .file("crates/peer/schema/pool.capnp")
        .output_path("crates/peer/src")
        .run()?;
    Ok(())
}
