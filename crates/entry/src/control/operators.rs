//! Handler of operators' commands. Any entry accepts them; of two conflicting ones the platform's table accepts one.

use actix::{Context, Handler, ResponseFuture};
use caller_api::operators::{run_command, OperatorCommand, OperatorError, OperatorReply};

use super::EntryControl;

impl Handler<OperatorCommand> for EntryControl {
    type Result = ResponseFuture<Result<OperatorReply, OperatorError>>;

    fn handle(&mut self, command: OperatorCommand, _: &mut Context<Self>) -> Self::Result {
        if command.writes() {
            log::info!("entry: operator command {command:?}");
        }
        let editor = self.editor.clone();
        Box::pin(async move { run_command(&editor, command).await })
    }
}
