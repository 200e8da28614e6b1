//! Contracts as dispatchers pass them on.

use actix::{ActorFutureExt as _, AsyncContext as _, Context, WrapFuture as _};
use authority::DispatcherKey;
use contracts::{ContractRow, ContractUpdate, HeadNumber};
use peer::ContractPage;

use super::{EntryControl, LinkState};

impl EntryControl {
    /// A dispatcher has named its head. A newer one, or none read yet, is a reason to ask for the rows.
    pub(super) fn hear_head(&mut self, ctx: &mut Context<Self>, key: DispatcherKey, head: u64) {
        let head = HeadNumber(head);
        self.contracts.note_peer_head(head);
        if self
            .contracts
            .loaded_head()
            .is_some_and(|known| known >= head)
        {
            self.contracts_heard = Some(self.clock.now());
            return;
        }
        self.fetch_contracts(ctx, key);
    }

    /// Whether nothing has been heard of the contracts for longer than the freshness bound.
    pub(super) fn is_stale(&self) -> bool {
        let age = self
            .contracts_heard
            .map(|heard| self.clock.now().saturating_duration_since(heard));
        age.is_none_or(|age| age > self.settings.freshness_ms.duration())
    }

    fn fetch_contracts(&mut self, ctx: &mut Context<Self>, key: DispatcherKey) {
        let Some(LinkState::Open(open)) = self.dispatchers.get(&key).map(|slot| &slot.link) else {
            return;
        };
        let since = self.contracts.loaded_head().unwrap_or_default();
        let page = open.link.client().contracts(since.0);
        ctx.spawn(
            page.into_actor(self)
                .map(move |page, control, ctx| match page {
                    Ok(page) => control.take_contracts(ctx, since, page),
                    Err(error) => log::debug!("entry: contracts not read from {key}: {error}"),
                }),
        );
    }

    fn take_contracts(&mut self, ctx: &mut Context<Self>, since: HeadNumber, page: ContractPage) {
        if !page.loaded {
            return;
        }
        let mut rows = Vec::with_capacity(page.rows.len());
        for record in page.rows {
            let Ok(contract) = serde_json::from_slice(&record.json) else {
                log::error!("entry: contract of {} cannot be read", record.customer);
                return;
            };
            let head = HeadNumber(record.head);
            rows.push(ContractRow {
                customer: record.customer,
                version: record.version,
                head,
                contract,
            });
        }
        let update = ContractUpdate {
            since,
            head: HeadNumber(page.head),
            rows,
        };
        self.contracts_heard = Some(self.clock.now());
        for customer in self.contracts.apply(update) {
            self.set_share(&customer);
        }
        self.flush(ctx);
    }
}
