//! Sessions with dispatchers: discovery, opening, liveness checks, offers and withdrawals.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use actix::{ActorFutureExt as _, AsyncContext as _, Context, Handler, WrapFuture as _};
use authority::DispatcherKey;
use membership::MemberView;
use model::{AttemptId, DataCentreId, EndpointState, SessionId, TaskOffer, VmEntry, VmRole};
use peer::{OpenedSession, PeerError, PeerLink};
use telemetry::CounterKind;

use super::{
    messages::LinkBroken, AttemptReport, ClaimRequest, DispatcherRecord, EntryControl, LinkState,
    OpenLink, SlotUpdate,
};
use crate::port::EntryPort;

/// Delay before the next connection attempt to a dispatcher after a failed one.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of pings per second over all sessions of an entry.
const MAX_PINGS_PER_SECOND: u32 = 20;

/// Minimum session timeout in ping intervals, so that one lost ping does not close a session.
const TIMEOUT_PING_INTERVALS: u32 = 3;

impl EntryControl {
    /// Adds a dispatcher; a known one is left unchanged.
    pub(super) fn add_dispatcher(&mut self, address: SocketAddr, data_centre: DataCentreId) {
        if self.dispatcher_keys.contains_key(&address) {
            return;
        }
        let key = DispatcherKey(self.next_dispatcher_key);
        self.next_dispatcher_key += 1;
        self.dispatcher_keys.insert(address, key);
        let link = LinkState::Idle(self.clock.now());
        self.dispatchers.insert(
            key,
            DispatcherRecord {
                address,
                data_centre,
                link,
                centre_view: None,
                early_slots: None,
            },
        );
    }

    pub(super) fn read_vm_list(&mut self, ctx: &mut Context<Self>) {
        let platform = self.platform.clone();
        let list = async move { platform.vm_list().await }.into_actor(self);
        ctx.spawn(list.map(|list, control, _| match list {
            Ok(vms) => control.apply_vm_list(&vms),
            // The known dispatchers stay in use; their sessions show whether they are alive.
            Err(error) => log::debug!("entry: cannot read VM list: {error}"),
        }));
    }

    fn apply_vm_list(&mut self, vms: &[VmEntry]) {
        for vm in vms {
            if vm.role == VmRole::System && vm.state == EndpointState::Live {
                self.add_dispatcher(vm.address, vm.data_centre.clone());
            }
        }
        self.remove_unlisted_dispatchers(vms);
        self.update_own_dispatcher(vms);
    }

    /// Removes dispatchers that are neither in the VM list nor in the settings and have no connection, since VMs are
    /// replaced all the time.
    fn remove_unlisted_dispatchers(&mut self, vms: &[VmEntry]) {
        let mut gone = Vec::new();
        for (key, record) in &self.dispatchers {
            let listed = vms.iter().any(|vm| vm.address == record.address);
            let seed = self
                .settings
                .dispatchers
                .iter()
                .any(|peer| peer.address == record.address);
            if !listed && !seed && matches!(record.link, LinkState::Idle(_)) {
                gone.push((*key, record.address));
            }
        }
        for (key, address) in gone {
            self.dispatchers.remove(&key);
            self.dispatcher_keys.remove(&address);
        }
    }

    /// Restarts the timeout of every session after this process was frozen, which a gap between its own ticks shows.
    /// Answers that arrived during the freeze are still unread in its sockets, so without this it would treat every
    /// dispatcher as silent and close healthy sessions.
    pub(super) fn detect_own_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap * 2 < self.settings.session_timeout_ms.duration() {
            return;
        }
        log::warn!("entry: paused for {} ms", gap.as_millis());
        for record in self.dispatchers.values_mut() {
            if let LinkState::Open(open) = &mut record.link {
                open.last_heard = now;
            }
        }
    }

    /// Connects to unconnected dispatchers, pings quiet sessions and closes those that timed out.
    pub(super) fn maintain_sessions(&mut self, ctx: &mut Context<Self>, now: Instant) {
        let (ping_interval, timeout) = self.ping_timing();
        let (mut connect, mut ping, mut lost) = (Vec::new(), Vec::new(), Vec::new());
        for (key, record) in &self.dispatchers {
            match &record.link {
                LinkState::Idle(due) if *due <= now => connect.push(*key),
                LinkState::Idle(_) | LinkState::Connecting => {}
                LinkState::Open(open) => {
                    let silent = now.saturating_duration_since(open.last_heard);
                    if silent >= timeout {
                        lost.push((*key, open.session));
                    } else if silent >= ping_interval && !open.ping_in_flight {
                        ping.push(*key);
                    }
                }
            }
        }
        for key in connect {
            self.connect(ctx, key);
        }
        for key in ping {
            self.ping(ctx, key);
        }
        for (key, session) in lost {
            log::warn!("entry: session {session} closed: no answer from dispatcher {key} in time");
            self.close_session(now, key, session);
        }
    }

    /// Returns how long a session may be silent before it is pinged, and before it is closed.
    ///
    /// The ping interval grows with the number of sessions, so that the entry sends at most 20 pings per second. With
    /// the interval of a single session, 60 sessions would take 191 KB/s, while a node may spend 27 KB/s on control
    /// traffic. The death of a dispatcher is detected by its broken connection, so only a silent network cut is
    /// detected later.
    fn ping_timing(&self) -> (Duration, Duration) {
        let open = self
            .dispatchers
            .values()
            .filter(|record| matches!(record.link, LinkState::Open(_)));
        let sessions = u32::try_from(open.count()).unwrap_or(u32::MAX);
        let spread = Duration::from_secs(1).saturating_mul(sessions) / MAX_PINGS_PER_SECOND;
        let ping_interval = self.settings.heartbeat_ms.duration().max(spread);
        let timeout = self
            .settings
            .session_timeout_ms
            .duration()
            .max(ping_interval * TIMEOUT_PING_INTERVALS);
        (ping_interval, timeout)
    }

    pub(super) fn send_offers(
        &mut self,
        ctx: &mut Context<Self>,
        dispatcher: DispatcherKey,
        session: SessionId,
        batch: u64,
        offers: Vec<TaskOffer>,
    ) {
        let Some(open) = self.open_link(dispatcher, session) else {
            return;
        };
        let sent = self.clock.now();
        let reply = open.client.offer(batch, &offers);
        self.events.count_sent(1);
        let attempts: Vec<AttemptId> = offers.iter().map(|offer| offer.attempt).collect();
        ctx.spawn(
            reply
                .into_actor(self)
                .map(move |reply, control, ctx| match reply {
                    Ok((replies, slots)) => {
                        control.record_activity(dispatcher, session);
                        let replies: Vec<_> = attempts.into_iter().zip(replies).collect();
                        let now = control.clock.now();
                        control
                            .authority
                            .on_answered_slots(now, sent, dispatcher, slots);
                        control
                            .authority
                            .on_offer_replies(control.clock.now(), &replies);
                        control.flush(ctx);
                    }
                    Err(error) => control.on_call_failed(ctx, dispatcher, session, &error),
                }),
        );
    }

    pub(super) fn send_withdrawal(
        &mut self,
        ctx: &mut Context<Self>,
        dispatcher: DispatcherKey,
        session: SessionId,
        after_batch: u64,
        attempts: Vec<AttemptId>,
    ) {
        let Some(open) = self.open_link(dispatcher, session) else {
            return;
        };
        let sent = self.clock.now();
        let reply = open.client.withdraw(after_batch, &attempts);
        self.events.count_sent(1);
        self.events.count_wasted(1);
        ctx.spawn(
            reply
                .into_actor(self)
                .map(move |reply, control, ctx| match reply {
                    Ok((replies, slots)) => {
                        control.record_activity(dispatcher, session);
                        let replies: Vec<_> = attempts.into_iter().zip(replies).collect();
                        let now = control.clock.now();
                        control
                            .authority
                            .on_answered_slots(now, sent, dispatcher, slots);
                        control
                            .authority
                            .on_withdrawn(control.clock.now(), &replies);
                        control.flush(ctx);
                    }
                    Err(error) => control.on_call_failed(ctx, dispatcher, session, &error),
                }),
        );
    }

    fn open_link(&self, dispatcher: DispatcherKey, session: SessionId) -> Option<&OpenLink> {
        match &self.dispatchers.get(&dispatcher)?.link {
            LinkState::Open(open) if open.session == session => Some(open),
            _ => None,
        }
    }

    fn record_activity(&mut self, dispatcher: DispatcherKey, session: SessionId) {
        let now = self.clock.now();
        let Some(record) = self.dispatchers.get_mut(&dispatcher) else {
            return;
        };
        if let LinkState::Open(open) = &mut record.link {
            if open.session == session {
                open.last_heard = now;
            }
        }
    }

    /// Closes the session after a failed call. If the connection is still open, no reply about the call's tasks would
    /// ever arrive otherwise; the next session finds out their state.
    fn on_call_failed(
        &mut self,
        ctx: &mut Context<Self>,
        dispatcher: DispatcherKey,
        session: SessionId,
        error: &PeerError,
    ) {
        log::debug!("entry: call to dispatcher {dispatcher} failed: {error}");
        self.close_session(self.clock.now(), dispatcher, session);
        self.flush(ctx);
    }

    fn connect(&mut self, ctx: &mut Context<Self>, key: DispatcherKey) {
        let Some(record) = self.dispatchers.get_mut(&key) else {
            return;
        };
        record.link = LinkState::Connecting;
        let address = record.address;
        let session = SessionId(self.next_session);
        self.next_session += 1;
        let control = ctx.address();
        let incarnation = self.authority.incarnation();
        let port = peer::entry_port(EntryPort::new(control.clone(), key, session));
        let limit = self.settings.session_timeout_ms.duration();
        let opened = async move {
            let link = peer::connect(address, move || {
                control.do_send(LinkBroken {
                    dispatcher: key,
                    session,
                });
            })
            .await?;
            let opened = link.client().open_session(port, incarnation, session);
            let opened = tokio::time::timeout(limit, opened)
                .await
                .map_err(|_| PeerError::TimedOut)??;
            Ok((link, opened))
        };
        ctx.spawn(opened.into_actor(self).map(move |opened, control, ctx| {
            control.on_connected(key, session, opened);
            // The dispatcher's view of the data centre is needed before the first grant can be requested.
            control.ping(ctx, key);
            control.flush(ctx);
        }));
    }

    fn on_connected(
        &mut self,
        key: DispatcherKey,
        session: SessionId,
        opened: Result<(PeerLink, OpenedSession), PeerError>,
    ) {
        let now = self.clock.now();
        let Some(record) = self.dispatchers.get_mut(&key) else {
            return;
        };
        match opened {
            Ok((link, opened)) => {
                log::info!(
                    "entry: session {session} with dispatcher {key} at {} opened",
                    record.address
                );
                let client = opened.session;
                record.link = LinkState::Open(OpenLink {
                    link,
                    client,
                    session,
                    last_heard: now,
                    ping_in_flight: false,
                });
                let data_centre = record.data_centre.clone();
                self.authority.on_session_opened(
                    now,
                    key,
                    data_centre,
                    opened.dispatcher,
                    session,
                    opened.slots,
                );
                self.apply_early_slots(key, session);
            }
            Err(error) => {
                record.link = LinkState::Idle(now + RECONNECT_DELAY);
                if error == PeerError::Refused {
                    // The operating system of the VM reports that nothing listens at the address, so the process is
                    // gone. Tasks that it may have started are answered as unknown now rather than at the deadline.
                    self.authority.on_dispatcher_gone(now, key);
                }
            }
        }
    }

    /// Applies a slot update, or keeps it while the session is being opened. An update that overtook the answer to its
    /// session's opening is newer than that answer. Dropping it would leave the entry with outdated slots until the
    /// next ping, and tasks would queue elsewhere while these slots are free.
    fn apply_slot_update(&mut self, update: SlotUpdate) {
        if let Some(record) = self.dispatchers.get_mut(&update.dispatcher) {
            if matches!(record.link, LinkState::Connecting) {
                record.early_slots = Some((update.session, update.slots));
                return;
            }
        }
        self.authority
            .on_announced_slots(self.clock.now(), update.dispatcher, update.slots);
    }

    fn apply_early_slots(&mut self, key: DispatcherKey, session: SessionId) {
        let early = self
            .dispatchers
            .get_mut(&key)
            .and_then(|record| record.early_slots.take());
        let Some((_, slots)) = early.filter(|(opening, _)| *opening == session) else {
            return;
        };
        self.authority
            .on_announced_slots(self.clock.now(), key, slots);
    }

    fn close_session(&mut self, now: Instant, key: DispatcherKey, session: SessionId) {
        let Some(record) = self.dispatchers.get_mut(&key) else {
            return;
        };
        match &record.link {
            LinkState::Open(open) if open.session == session => {}
            _ => return,
        }
        record.link = LinkState::Idle(now);
        record.centre_view = None;
        self.events.metrics().count(CounterKind::SessionsLost, 1);
        self.authority.on_session_lost(now, key, session);
        self.select_centre_view();
    }

    fn ping(&mut self, ctx: &mut Context<Self>, key: DispatcherKey) {
        let Some(record) = self.dispatchers.get_mut(&key) else {
            return;
        };
        let LinkState::Open(open) = &mut record.link else {
            return;
        };
        open.ping_in_flight = true;
        let session = open.session;
        let sent = self.clock.now();
        let revision = record.centre_view.as_ref().map_or(0, |view| view.revision);
        let reply = open.link.client().ping(revision);
        ctx.spawn(
            reply
                .into_actor(self)
                .map(move |reply, control, ctx| match reply {
                    Ok(reply) => {
                        let now = control.clock.now();
                        control
                            .authority
                            .on_answered_slots(now, sent, key, reply.slots);
                        if let Some(view) = reply.centre {
                            control.set_centre_view(key, view);
                        }
                        control.on_ping_reply(ctx, key, session, &reply.view);
                    }
                    Err(error) => control.on_call_failed(ctx, key, session, &error),
                }),
        );
    }

    fn on_ping_reply(
        &mut self,
        ctx: &mut Context<Self>,
        key: DispatcherKey,
        session: SessionId,
        view: &MemberView,
    ) {
        self.record_activity(key, session);
        if let Some(record) = self.dispatchers.get_mut(&key) {
            if let LinkState::Open(open) = &mut record.link {
                open.ping_in_flight = false;
            }
        }
        if view.stopping {
            self.authority.on_dispatcher_stopping(key);
        }
        self.on_dispatcher_head(ctx, key, view.head);
        self.flush(ctx);
    }
}

impl Handler<LinkBroken> for EntryControl {
    type Result = ();

    fn handle(&mut self, broken: LinkBroken, ctx: &mut Context<Self>) {
        self.close_session(self.clock.now(), broken.dispatcher, broken.session);
        self.flush(ctx);
    }
}

impl Handler<ClaimRequest> for EntryControl {
    type Result = ();

    fn handle(&mut self, request: ClaimRequest, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let body = self
            .authority
            .on_claim(now, request.session, request.attempt);
        let _gone = request.reply.send(Ok(body));
        self.flush(ctx);
    }
}

impl Handler<AttemptReport> for EntryControl {
    type Result = ();

    fn handle(&mut self, report: AttemptReport, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        self.authority
            .on_slots(now, report.dispatcher, report.slots);
        for (attempt, end, ran) in report.ends {
            self.authority.on_ended(now, attempt, end, ran);
        }
        let _gone = report.reply.send(Ok(()));
        self.flush(ctx);
    }
}

impl Handler<SlotUpdate> for EntryControl {
    type Result = ();

    fn handle(&mut self, update: SlotUpdate, ctx: &mut Context<Self>) {
        self.apply_slot_update(update);
        self.flush(ctx);
    }
}
