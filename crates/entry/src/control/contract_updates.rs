//! Contract updates received from dispatchers.

use actix::{ActorFutureExt as _, AsyncContext as _, Context, WrapFuture as _};
use authority::DispatcherKey;
use contracts::HeadNumber;
use peer::ContractsReply;

use super::{EntryControl, LinkState};

impl EntryControl {
    /// Handles the contract head that a dispatcher reported, which is the number of the latest contract change that it
    /// knows. Fetches the rows from it if its head is newer or no contracts are loaded yet.
    pub(super) fn on_dispatcher_head(
        &mut self,
        ctx: &mut Context<Self>,
        key: DispatcherKey,
        head: u64,
    ) {
        let head = HeadNumber(head);
        self.contracts.note_peer_head(head);
        if self
            .contracts
            .loaded_head()
            .is_some_and(|known| known >= head)
        {
            self.contracts_confirmed_at = Some(self.clock.now());
            return;
        }
        self.fetch_contracts(ctx, key);
    }

    /// Whether the contracts have not been confirmed as current for longer than the freshness bound.
    pub(super) fn is_stale(&self) -> bool {
        let age = self
            .contracts_confirmed_at
            .map(|confirmed_at| self.clock.now().saturating_duration_since(confirmed_at));
        age.is_none_or(|age| age > self.settings.freshness_ms.duration())
    }

    fn fetch_contracts(&mut self, ctx: &mut Context<Self>, key: DispatcherKey) {
        let Some(LinkState::Open(open)) = self.dispatchers.get(&key).map(|record| &record.link)
        else {
            return;
        };
        let since = self.contracts.loaded_head().unwrap_or_default();
        let reply = open.link.client().contracts(since);
        ctx.spawn(
            reply
                .into_actor(self)
                .map(move |reply, control, ctx| match reply {
                    Ok(reply) => control.apply_contracts(ctx, reply),
                    Err(error) => {
                        log::warn!("entry: cannot read contracts from dispatcher {key}: {error}")
                    }
                }),
        );
    }

    fn apply_contracts(&mut self, ctx: &mut Context<Self>, reply: ContractsReply) {
        if !reply.loaded {
            return;
        }
        self.contracts_confirmed_at = Some(self.clock.now());
        for customer in self.contracts.apply(reply.update) {
            self.set_share(&customer);
        }
        self.flush(ctx);
    }
}
