//! Contract polling: one dispatcher per data centre polls the platform each interval, and the others learn of changes
//! from heartbeats.

use std::net::SocketAddr;

use ::contracts::{ContractReader, ContractUpdate, HeadNumber, PollError};
use actix::{ActorFutureExt as _, AsyncContext as _, Context, Handler, WrapFuture as _};
use membership::rendezvous;
use peer::ContractsReply;

use super::{ContractRequest, DispatcherControl, PeerConnection};

/// The rendezvous hash key that selects the polling dispatcher of a data centre, as endpoint ids select owners.
const READER_HASH_KEY: &str = "contract-reader";

/// Poll intervals between two polls of a dispatcher that is not its data centre's reader. These polls find changes when
/// only the reader cannot reach the platform; at 720 VMs, one poll per 5 s is 144 reads a second.
const STANDBY_POLL_INTERVAL_TICKS: u32 = 5;

impl DispatcherControl {
    /// Polls the contracts if this dispatcher is the reader, has none loaded, or its standby poll is due. Called once
    /// per poll interval.
    pub(super) fn poll_contracts(&mut self, ctx: &mut Context<Self>) {
        self.poll_ticks = self.poll_ticks.wrapping_add(1);
        let due = self.is_reader()
            || self.contract_view.loaded_head().is_none()
            || self.poll_ticks.is_multiple_of(STANDBY_POLL_INTERVAL_TICKS);
        if !due || self.poll_in_flight {
            return;
        }
        self.poll_in_flight = true;
        let reader = ContractReader::new(self.platform.clone());
        let known = self.contract_view.loaded_head();
        let update = async move { reader.poll(known).await }.into_actor(self);
        ctx.spawn(update.map(|update, control, ctx| control.on_polled(ctx, update)));
    }

    /// Handles the contract head that a peer reported, which is the number of the latest contract change that it knows.
    /// Fetches the rows from it if its head is newer.
    pub(super) fn on_peer_head(&mut self, ctx: &mut Context<Self>, address: SocketAddr, head: u64) {
        let head = HeadNumber(head);
        self.contract_view.note_peer_head(head);
        if self
            .contract_view
            .loaded_head()
            .is_some_and(|known| known >= head)
            || head == HeadNumber::default()
        {
            return;
        }
        let Some(PeerConnection::Open(link)) = self.peers.get(&address) else {
            return;
        };
        let since = self.contract_view.loaded_head().unwrap_or_default();
        let reply = link.client().contracts(since).into_actor(self);
        ctx.spawn(reply.map(move |reply, control, _| match reply {
            Ok(reply) if reply.loaded => control.apply_contracts(reply.update),
            Ok(_) => {}
            Err(error) => log::warn!("dispatcher: cannot read contracts from {address}: {error}"),
        }));
    }

    fn is_reader(&self) -> bool {
        let owners = self.members.owners();
        let addresses: Vec<SocketAddr> = owners.iter().map(|owner| owner.address).collect();
        rendezvous(&READER_HASH_KEY, addresses) == Some(self.own_address)
    }

    fn on_polled(
        &mut self,
        ctx: &mut Context<Self>,
        update: Result<Option<ContractUpdate>, PollError>,
    ) {
        self.poll_in_flight = false;
        match update {
            Ok(Some(update)) => {
                self.apply_contracts(update);
                // Only a dispatcher that polled a change announces it at once; one that got it from a peer passes it on
                // with its regular heartbeats.
                self.members.announce();
                self.tick_members(ctx);
            }
            Ok(None) => {}
            Err(error) => log::debug!("dispatcher: contract poll failed: {error}"),
        }
    }

    fn apply_contracts(&mut self, update: ContractUpdate) {
        let changed = self.contract_view.apply(update);
        if !changed.is_empty() {
            log::info!(
                "dispatcher: {} contracts changed, head {}",
                changed.len(),
                self.contract_view.head()
            );
        }
        self.update_shares(&changed);
        self.members.set_head(self.contract_view.head().0);
    }
}

impl Handler<ContractRequest> for DispatcherControl {
    type Result = ();

    fn handle(&mut self, request: ContractRequest, _: &mut Context<Self>) {
        let update = self.contract_view.newer_than(request.since);
        let _gone = request.reply.send(Ok(ContractsReply {
            loaded: self.contract_view.is_ready(),
            update,
        }));
    }
}
