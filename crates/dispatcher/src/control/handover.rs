//! Tasks that still run at endpoints now owned by another dispatcher.

use std::net::SocketAddr;

use actix::{ActorFutureExt as _, AsyncContext as _, Context, Handler, WrapFuture as _};
use membership::{HandoverCount, HandoverReport};
use model::FastMap;

use super::{DispatcherControl, HandoverRequest, PeerConnection};

impl DispatcherControl {
    /// Reports the tasks that this dispatcher still runs at endpoints of other owners, and frees the slots that others
    /// reported once the reported time is over. A new owner gets a last, empty report when no task is left, so that it
    /// need not wait for the tasks' deadlines.
    ///
    /// Without reports, after a planned stop or when a busy endpoint moves to a dispatcher that has just started, the
    /// new owner would count the endpoint's slots as free, and the endpoint would refuse each task sent there. Reports
    /// are sent only while such tasks run, so moving an idle endpoint costs nothing.
    pub(super) fn tick_handovers(&mut self, ctx: &mut Context<Self>) {
        let mut reports = self.collect_handover_counts();
        for address in self.reported_peers.clone() {
            reports.entry(address).or_default();
        }
        for (address, counts) in reports {
            self.send_handover_report(ctx, address, counts);
        }
        self.update_previous_owner_slots();
        self.flush(ctx);
    }

    fn collect_handover_counts(&self) -> FastMap<SocketAddr, Vec<HandoverCount>> {
        let mut reports: FastMap<SocketAddr, Vec<HandoverCount>> = FastMap::default();
        for (endpoint, time_left) in self.ledger.unowned_tasks(self.clock.now()) {
            let Some(owner) = self.ownership.owner(&endpoint) else {
                continue;
            };
            if owner == self.own_address {
                continue;
            }
            let count = HandoverCount {
                endpoint,
                time_left,
            };
            reports.entry(owner).or_default().push(count);
        }
        reports
    }

    fn send_handover_report(
        &mut self,
        ctx: &mut Context<Self>,
        address: SocketAddr,
        counts: Vec<HandoverCount>,
    ) {
        let link = match self.peers.get(&address) {
            Some(PeerConnection::Open(link)) => link,
            Some(PeerConnection::Connecting) => return,
            // Heartbeats need a connection from only one side of a pair, which may be the other dispatcher's.
            None => return self.connect_peer(ctx, address),
        };
        match counts.is_empty() {
            true => self.reported_peers.remove(&address),
            false => self.reported_peers.insert(address),
        };
        let report = HandoverReport {
            from: self.own_address,
            incarnation: self.incarnation,
            serial: self.next_report,
            counts,
        };
        self.next_report += 1;
        let sent = link.client().handover(&report).into_actor(self);
        ctx.spawn(sent.map(move |sent, _, _| {
            if let Err(error) = sent {
                log::debug!("dispatcher: handover report to {address} failed: {error}");
            }
        }));
    }

    fn update_previous_owner_slots(&mut self) {
        let now = self.clock.now();
        self.handovers.tick(now);
        self.ledger
            .set_previous_owner_slots(now, self.handovers.used_slots(now));
    }
}

impl Handler<HandoverRequest> for DispatcherControl {
    type Result = ();

    fn handle(&mut self, request: HandoverRequest, ctx: &mut Context<Self>) {
        self.handovers.on_report(self.clock.now(), request.report);
        self.update_previous_owner_slots();
        let _gone = request.reply.send(Ok(()));
        self.flush(ctx);
    }
}
