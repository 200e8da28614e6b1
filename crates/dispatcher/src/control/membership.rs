//! Heartbeats, the VM list and the ownership of endpoints.

use std::net::SocketAddr;

use actix::{ActorFutureExt as _, AsyncContext as _, Context, Handler, WrapFuture as _};
use membership::{HeartbeatReply, MemberAction};
use model::{EndpointAddress, EndpointId, EndpointState, VmEntry, VmRole};
use peer::{PeerError, PingReply};
use telemetry::CounterKind;

use super::{DispatcherControl, HeartbeatRequest, PeerConnection, PingRequest, VmListRequest};

impl DispatcherControl {
    pub(super) fn tick_members(&mut self, ctx: &mut Context<Self>) {
        let mut changed = false;
        for action in self.members.tick(self.clock.now()) {
            match action {
                MemberAction::SendHeartbeat { address } => self.send_heartbeat(ctx, address),
                MemberAction::ViewChanged => changed = true,
            }
        }
        if !self.membership_settled && self.is_membership_settled() {
            self.membership_settled = true;
            changed = true;
        }
        if changed {
            self.update_ownership();
            self.update_centre_view();
        }
    }

    /// Whether the VM list is known and all listed dispatchers have answered, or the suspect time has passed, in which
    /// a live one would have answered. Until then this dispatcher owns no endpoints: a newly started one that knows no
    /// peers would take ownership of every endpoint, as would its peers, and a burst would overfill the endpoints; each
    /// busy answer is a wasted message. A refused connection does not count as an answer, since a peer that starts at
    /// the same time does not listen yet.
    fn is_membership_settled(&self) -> bool {
        let waited = self.clock.now().saturating_duration_since(self.started_at);
        if waited >= self.settings.suspect_ms.duration() {
            return true;
        }
        if self.vms.is_empty() {
            return false;
        }
        let owners = self.members.owners();
        let answered = |address: &SocketAddr| owners.iter().any(|owner| owner.address == *address);
        self.members.listed().iter().all(answered)
    }

    pub(super) fn read_vm_list(&mut self, ctx: &mut Context<Self>) {
        let platform = self.platform.clone();
        let list = async move { platform.vm_list().await }.into_actor(self);
        ctx.spawn(list.map(|list, control, ctx| match list {
            Ok(vms) => control.apply_vm_list(ctx, vms),
            // The last known list stays in use; endpoints and peers show by their answers whether they are alive.
            Err(error) => {
                log::debug!("dispatcher: cannot read VM list: {error}");
                control.request_peer_vm_lists(ctx);
            }
        }));
    }

    /// Requests the VM list from the peers if none is known. A VM that starts while the platform is down would
    /// otherwise know no endpoint and serve nothing for the whole outage. A peer's list is as old as the platform's
    /// last answer to it; the platform's own list lags as well.
    fn request_peer_vm_lists(&mut self, ctx: &mut Context<Self>) {
        if !self.vms.is_empty() {
            return;
        }
        for connection in self.peers.values() {
            let PeerConnection::Open(link) = connection else {
                continue;
            };
            let vms = link.client().vms().into_actor(self);
            ctx.spawn(vms.map(|vms, control, ctx| match vms {
                Ok(vms) if control.vms.is_empty() && !vms.is_empty() => {
                    control.apply_vm_list(ctx, vms)
                }
                Ok(_) => {}
                Err(error) => log::debug!("dispatcher: cannot read VM list from a peer: {error}"),
            }));
        }
    }

    fn apply_vm_list(&mut self, ctx: &mut Context<Self>, vms: Vec<VmEntry>) {
        self.members.on_vm_list(&vms);
        self.vms = vms;
        self.update_ownership();
        self.update_centre_view();
        self.flush(ctx);
    }

    /// Reassigns the endpoints of this data centre to the live dispatchers. An endpoint without an owner would stay
    /// idle. Two owners for a moment can only overfill an endpoint, whose busy answer says definitely that the task did
    /// not run.
    pub(super) fn update_ownership(&mut self) {
        let owners = self.members.owners();
        let mut endpoints = Vec::new();
        for vm in &self.vms {
            if vm.role != VmRole::Endpoint || vm.data_centre != self.settings.data_centre {
                continue;
            }
            let Ok(id) = vm.id.as_str().parse::<EndpointId>() else {
                continue;
            };
            let address = EndpointAddress {
                id,
                address: vm.address,
                slots: vm.slots,
            };
            endpoints.push((address, vm.state));
        }
        let addresses = owners.iter().map(|owner| owner.address);
        let ids = endpoints.iter().map(|(address, _)| address.id.clone());
        let moves = self
            .ownership
            .update(addresses.collect::<Vec<_>>(), ids.collect::<Vec<_>>());
        if !moves.is_empty() {
            self.metrics
                .count(CounterKind::OwnerChanges, moves.len() as u64);
            log::info!(
                "dispatcher: {} endpoints changed owner, {} dispatchers live",
                moves.len(),
                owners.len()
            );
        }
        let owned: Vec<(EndpointAddress, EndpointState)> = endpoints
            .into_iter()
            .filter(|(address, _)| {
                self.membership_settled
                    && self.ownership.owner(&address.id) == Some(self.own_address)
            })
            .collect();
        self.ledger.set_endpoints(self.clock.now(), &owned);
    }

    fn send_heartbeat(&mut self, ctx: &mut Context<Self>, address: SocketAddr) {
        match self.peers.get(&address) {
            Some(PeerConnection::Connecting) => {}
            Some(PeerConnection::Open(link)) => {
                let reply = link
                    .client()
                    .heartbeat(&self.members.heartbeat_message())
                    .into_actor(self);
                ctx.spawn(reply.map(move |reply, control, ctx| {
                    control.on_heartbeat_reply(ctx, address, reply)
                }));
            }
            None => self.connect_peer(ctx, address),
        }
    }

    pub(super) fn connect_peer(&mut self, ctx: &mut Context<Self>, address: SocketAddr) {
        self.peers.insert(address, PeerConnection::Connecting);
        let link = peer::connect(address, || {}).into_actor(self);
        ctx.spawn(link.map(move |link, control, ctx| match link {
            Ok(link) => {
                control.peers.insert(address, PeerConnection::Open(link));
                // The handover report goes before the heartbeat that announces a stop, so that the new owner counts the
                // running tasks first.
                control.tick_handovers(ctx);
                control.send_heartbeat(ctx, address);
            }
            Err(error) => control.on_heartbeat_reply(ctx, address, Err(error)),
        }));
    }

    fn on_heartbeat_reply(
        &mut self,
        ctx: &mut Context<Self>,
        address: SocketAddr,
        reply: Result<HeartbeatReply, PeerError>,
    ) {
        let now = self.clock.now();
        match reply {
            Ok(reply) => {
                let head = reply.view.head;
                self.members.on_heartbeat_reply(now, reply);
                self.on_peer_head(ctx, address, head);
            }
            Err(error) => {
                self.peers.remove(&address);
                if error == PeerError::Refused {
                    self.members.on_connection_refused(now, address);
                }
            }
        }
        self.tick_members(ctx);
        self.flush(ctx);
    }
}

impl Handler<HeartbeatRequest> for DispatcherControl {
    type Result = ();

    fn handle(&mut self, request: HeartbeatRequest, ctx: &mut Context<Self>) {
        let (address, head) = (request.message.view.address, request.message.view.head);
        let reply = self.members.on_heartbeat(self.clock.now(), request.message);
        self.on_peer_head(ctx, address, head);
        let _gone = request.reply.send(Ok(reply));
        self.tick_members(ctx);
        self.flush(ctx);
    }
}

impl Handler<VmListRequest> for DispatcherControl {
    type Result = ();

    fn handle(&mut self, request: VmListRequest, _: &mut Context<Self>) {
        let _gone = request.reply.send(Ok(self.vms.clone()));
    }
}

impl Handler<PingRequest> for DispatcherControl {
    type Result = ();

    fn handle(&mut self, request: PingRequest, _: &mut Context<Self>) {
        let now = self.clock.now();
        let open = request
            .session
            .is_none_or(|(entry, session)| self.ledger.record_activity(now, entry, session));
        let answer = match open {
            true => Ok(PingReply {
                view: self.members.heartbeat_message().view,
                slots: self.ledger.slots(),
                centre: (self.centre_view.revision != request.revision)
                    .then(|| self.centre_view.clone()),
            }),
            // On this error the entry opens a new session and learns the state of its attempts.
            false => Err(PeerError::Failed("the session is over".to_owned())),
        };
        let _gone = request.reply.send(answer);
    }
}
