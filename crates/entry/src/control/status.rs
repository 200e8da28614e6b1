//! Status of the entry for operators.

use std::sync::atomic::Ordering;

use actix::{Context, Handler};
use caller_api::{
    ContractInForce, ContractsInForce, CustomerStatus, DispatcherStatus, EntryStatus,
    ExplainCommand, InForceCommand, StatusCommand,
};

use super::{EntryControl, LinkState};

impl EntryControl {
    fn contract_age_ms(&self) -> Option<u64> {
        let age = self
            .clock
            .now()
            .saturating_duration_since(self.contracts_confirmed_at?);
        u64::try_from(age.as_millis()).ok()
    }
}

impl Handler<ExplainCommand> for EntryControl {
    type Result = Option<serde_json::Value>;

    fn handle(&mut self, command: ExplainCommand, _: &mut Context<Self>) -> Self::Result {
        serde_json::to_value(self.events.explain(command.id)?).ok()
    }
}

impl Handler<InForceCommand> for EntryControl {
    type Result = ContractsInForce;

    fn handle(&mut self, _: InForceCommand, _: &mut Context<Self>) -> ContractsInForce {
        let mut contracts = Vec::new();
        for row in self.contracts.rows() {
            contracts.push(ContractInForce {
                customer: row.customer.clone(),
                version: row.version,
            });
        }
        contracts.sort_by(|one, other| one.customer.cmp(&other.customer));
        ContractsInForce {
            head: self.contracts.head().0,
            age_ms: self.contract_age_ms(),
            contracts,
        }
    }
}

impl Handler<StatusCommand> for EntryControl {
    type Result = EntryStatus;

    fn handle(&mut self, _: StatusCommand, _: &mut Context<Self>) -> EntryStatus {
        let mut dispatchers = Vec::new();
        for record in self.dispatchers.values() {
            let session = match record.link {
                LinkState::Idle(_) => "idle",
                LinkState::Connecting => "connecting",
                LinkState::Open(_) => "open",
            };
            let (address, data_centre) = (record.address, record.data_centre.clone());
            dispatchers.push(DispatcherStatus {
                address,
                data_centre,
                session,
            });
        }
        dispatchers.sort_by_key(|dispatcher| dispatcher.address);
        let mut customers = Vec::new();
        for customer in self.authority.customers() {
            let (in_flight, waiting) = self.authority.usage(customer);
            customers.push(CustomerStatus {
                customer: customer.clone(),
                in_flight,
                waiting,
            });
        }
        customers.sort_by(|one, other| one.customer.cmp(&other.customer));
        EntryStatus {
            vm: self.settings.vm.clone(),
            data_centre: self.settings.data_centre.clone(),
            incarnation: self.authority.incarnation(),
            ready: self.ready.load(Ordering::Relaxed),
            contract_head: self.contracts.head().0,
            contract_age_ms: self.contract_age_ms(),
            open_submissions: self.authority.open_submissions(),
            attempts_in_flight: self.authority.attempts_in_flight(),
            dispatchers,
            customers,
        }
    }
}
