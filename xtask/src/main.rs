//! Chores of the repository, run as `cargo run -p xtask -- codegen`.

use bpaf::Bpaf;

/// Chores of the repository.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum TaskCommand {
    /// Generates the peer protocol's code from its schema. Needs Debian's package `capnproto`.
    #[bpaf(command)]
    Codegen,
}

fn main() -> eyre::Result<()> {
    match task_command().run() {
        TaskCommand::Codegen => generate_peer(),
    }
}

fn generate_peer() -> eyre::Result<()> {
    capnpc::CompilerCommand::new()
        .src_prefix("crates/peer/schema")
        .file("crates/peer/schema/peer.capnp")
        .output_path("crates/peer/src")
        .run()?;
    Ok(())
}
