//! Contracts as this dispatcher passes them on to entries and other dispatchers.

use actix::{Context, Handler};
use peer::ContractPage;

use super::{ContractsAsked, DispatcherControl};

impl Handler<ContractsAsked> for DispatcherControl {
    type Result = ();

    fn handle(&mut self, asked: ContractsAsked, _: &mut Context<Self>) {
        log::trace!("dispatcher: contracts since {} asked for", asked.since);
        let _gone = asked.reply.send(Ok(ContractPage::default()));
    }
}
