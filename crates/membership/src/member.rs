//! The dispatchers of the system, as one process hears them.

mod message;
mod settings;

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{DataCentreId, EndpointState, FastMap, VmEntry, VmRole};

pub use message::{
    HeartbeatMessage, HeartbeatReply, LiveOwner, MemberAction, MemberView, OwnMember,
};
pub use settings::MemberSettings;

use crate::hashing::{score, StableHash};

/// A list of dispatchers with what was last heard of each.
///
/// Within the data centre everybody hears everybody (full mesh); of another data centre each process hears a few
/// contacts. The view changes only with an input, so a reader between two inputs always sees the same one.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: OwnMember,
    settings: MemberSettings,
    members: BTreeMap<SocketAddr, Member>,
    remote_heartbeats_due: FastMap<DataCentreId, Instant>,
    last_input: Option<Instant>,
    revision: u64,
    /// The revision of the last [`MemberAction::ViewChanged`].
    reported_revision: u64,
}

#[derive(Clone, Debug)]
struct Member {
    data_centre: DataCentreId,
    view: Option<MemberView>,
    /// Named by the settings or by the VM list. Others are forgotten when they fall silent.
    seed: bool,
    listed: bool,
    leaving: bool,
    live: bool,
    last_heard: Option<Instant>,
    last_heartbeat_sent: Option<Instant>,
    /// The first beat that nothing was heard after.
    unanswered_since: Option<Instant>,
    /// To be beaten at the next tick, whenever that was done last.
    heartbeat_due: bool,
}

impl MemberTable {
    /// An empty table. `seeds` are dispatchers named by the settings; they are tried for ever.
    pub fn new(
        own: OwnMember,
        settings: MemberSettings,
        seeds: impl IntoIterator<Item = (SocketAddr, DataCentreId)>,
    ) -> Self {
        let mut table = Self {
            own,
            settings,
            members: BTreeMap::new(),
            remote_heartbeats_due: FastMap::default(),
            last_input: None,
            revision: 0,
            reported_revision: 0,
        };
        for (address, data_centre) in seeds {
            if address == table.own.address {
                continue;
            }
            let mut member = Member::new(data_centre);
            member.seed = true;
            table.members.insert(address, member);
        }
        table
    }

    /// Takes the platform's VM list. The list lags, so it only says whom to try: a listed VM counts as live when it
    /// is heard, and an unlisted one that is heard stays live.
    pub fn on_vm_list<'a>(&mut self, vms: impl IntoIterator<Item = &'a VmEntry>) {
        for member in self.members.values_mut() {
            member.listed = false;
            member.leaving = false;
        }
        for vm in vms {
            if vm.role != VmRole::System || vm.address == self.own.address {
                continue;
            }
            let member = self.member(vm.address, &vm.data_centre);
            member.listed = true;
            member.leaving = vm.state == EndpointState::Leaving;
        }
    }

    /// Lets time pass: whom to beat now, and whether the view changed since the last tick.
    ///
    /// To be called several times a beat period. Order: beats within the data centre, beats to others, then
    /// [`MemberAction::ViewChanged`] at most once.
    pub fn tick(&mut self, now: Instant) -> Vec<MemberAction> {
        self.detect_own_pause(now);
        self.mark_silent_members(now);
        self.remove_stale_members(now);
        let mut actions = Vec::new();
        self.push_local_heartbeats(now, &mut actions);
        self.push_remote_heartbeats(now, &mut actions);
        if self.revision != self.reported_revision {
            self.reported_revision = self.revision;
            actions.push(MemberAction::ViewChanged);
        }
        actions
    }

    /// A heartbeat came. The answer counts as a heartbeat at the other side, so a pair needs one beat a period.
    pub fn on_heartbeat(&mut self, now: Instant, message: HeartbeatMessage) -> HeartbeatReply {
        self.detect_own_pause(now);
        self.record_contact(now, message.view);
        HeartbeatReply {
            view: self.own_view(),
        }
    }

    /// The answer to a beat came.
    pub fn on_reply(&mut self, now: Instant, reply: HeartbeatReply) {
        self.detect_own_pause(now);
        self.record_contact(now, reply.view);
    }

    /// The member's VM refused a connection: nothing listens there.
    ///
    /// Failure: a process died while its VM lives. Symptom without this: its endpoints stay without an owner for the
    /// suspect time. A refusal comes from the VM's own system and not from the network, so it is proof enough; the
    /// next process there is live as soon as it is heard. A broken connection or a timeout is no such proof.
    pub fn on_refused(&mut self, now: Instant, address: SocketAddr) {
        self.detect_own_pause(now);
        let Some(member) = self.members.get_mut(&address) else {
            return;
        };
        if member.live {
            member.live = false;
            self.revision += 1;
        }
    }

    /// The beat to send, to whomever.
    pub fn heartbeat_message(&self) -> HeartbeatMessage {
        HeartbeatMessage {
            view: self.own_view(),
        }
    }

    /// Sets the newest contract head that this process holds. It travels with the next beat of each pair.
    pub fn set_head(&mut self, head: u64) {
        self.own.head = self.own.head.max(head);
    }

    /// This process stops: the next tick tells everybody at once, so that others own its endpoints before it is gone.
    pub fn set_stopping(&mut self) {
        if self.own.stopping {
            return;
        }
        self.own.stopping = true;
        self.revision += 1;
        self.announce();
    }

    /// Makes a beat to each live member of the data centre due at the next tick.
    ///
    /// For the one process of a data centre that read a new contract head from the store, and for one that stops.
    /// Whoever hears of a head from a peer must not announce it again: that would be a message for every pair.
    pub fn announce(&mut self) {
        for member in self.members.values_mut() {
            if member.live && member.data_centre == self.own.data_centre {
                member.heartbeat_due = true;
            }
        }
    }

    /// Every live dispatcher but this one: all of this data centre, and the contacts in others.
    pub fn live(&self) -> impl Iterator<Item = &MemberView> {
        self.members
            .values()
            .filter(|m| m.live)
            .filter_map(|m| m.view.as_ref())
    }

    /// The dispatchers of this data centre that may own endpoints or be a customer's home: live and not stopping,
    /// this process among them unless it stops. In the order of addresses.
    pub fn owners(&self) -> Vec<LiveOwner> {
        let own = self.own_view();
        let mut owners = Vec::new();
        for view in self.live().chain([&own]) {
            if view.data_centre != self.own.data_centre || view.stopping {
                continue;
            }
            owners.push(LiveOwner {
                address: view.address,
                incarnation: view.incarnation,
            });
        }
        owners.sort_unstable();
        owners
    }

    /// The system's VMs of this data centre that the VM list or the settings name and that do not leave, this one
    /// among them. Grants measure a view against it.
    pub fn listed(&self) -> Vec<SocketAddr> {
        let mut listed = vec![self.own.address];
        for (address, member) in &self.members {
            let local = member.data_centre == self.own.data_centre;
            if local && (member.listed || member.seed) && !member.leaving {
                listed.push(*address);
            }
        }
        listed.sort_unstable();
        listed
    }

    /// The highest contract head heard of, this process's own included.
    pub fn highest_head(&self) -> u64 {
        let heads = self.members.values().filter_map(|m| m.view.as_ref());
        heads.map(|v| v.head).fold(self.own.head, u64::max)
    }

    /// The members known of, live or not.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known of.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Goes up whenever the view changes: a member live or not, stopping, or restarted.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The time between two beats of one pair in this data centre at the present number of members.
    pub fn period(&self) -> Duration {
        let mut members: u32 = 0;
        for member in self.members.values() {
            if member.data_centre == self.own.data_centre && member.is_heartbeat_target() {
                members += 1;
            }
        }
        self.settings.period(members)
    }

    fn own_view(&self) -> MemberView {
        MemberView {
            address: self.own.address,
            data_centre: self.own.data_centre.clone(),
            incarnation: self.own.incarnation,
            stopping: self.own.stopping,
            head: self.own.head,
        }
    }

    fn member(&mut self, address: SocketAddr, data_centre: &DataCentreId) -> &mut Member {
        self.members
            .entry(address)
            .or_insert_with(|| Member::new(data_centre.clone()))
    }

    /// Failure: this process was frozen (paused VM, long page fault) while beats lay unread in its sockets. Symptom
    /// without this: on thawing it finds everybody silent, declares them all dead, and takes every endpoint for its
    /// own. A gap in its own inputs longer than the suspect time shows that it was the one away; its live members
    /// then get a full suspect time from now, in which the beats in the sockets are read. One that did die meanwhile
    /// is found dead that much later, which costs only its endpoints' share of capacity.
    fn detect_own_pause(&mut self, now: Instant) {
        let last = self.last_input.replace(now).unwrap_or(now);
        if now.saturating_duration_since(last) <= self.settings.suspect_after {
            return;
        }
        for member in self.members.values_mut() {
            if member.live {
                member.last_heard = Some(now);
            }
            member.unanswered_since = None;
        }
    }

    fn record_contact(&mut self, now: Instant, view: MemberView) {
        if view.address == self.own.address {
            return;
        }
        let member = self.member(view.address, &view.data_centre);
        member.data_centre = view.data_centre.clone();
        member.last_heard = Some(now);
        member.unanswered_since = None;
        let changed = !member.live
            || member
                .view
                .as_ref()
                .is_none_or(|old| old.changes_ownership(&view));
        member.live = true;
        member.view = Some(view);
        if changed {
            self.revision += 1;
        }
    }

    fn mark_silent_members(&mut self, now: Instant) {
        for member in self.members.values_mut() {
            let remote = member.data_centre != self.own.data_centre;
            if member.live && member.is_unresponsive(now, remote, &self.settings) {
                member.live = false;
                self.revision += 1;
            }
        }
    }

    /// Silent members that no list names are forgotten, else a table grows with every VM that ever was (450 are
    /// replaced a day at the target).
    fn remove_stale_members(&mut self, now: Instant) {
        let forget_after = self.settings.forget_after;
        self.members.retain(|_, member| {
            let heard = member
                .last_heard
                .is_some_and(|at| time_between(now, at) < forget_after);
            member.live || member.seed || member.listed || heard
        });
    }

    /// Full mesh within the data centre. Of a pair, the lower address beats; the higher one steps in when it has
    /// heard nothing for half a period more, which covers a new member that the lower one does not know yet. So a
    /// healthy pair costs one beat and one answer a period instead of two of each.
    ///
    /// A live member that leaves a beat unanswered is tried again at the shortest period, so that its death rests on
    /// several beats and is known soon, also where the period is long.
    fn push_local_heartbeats(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
        let period = self.period();
        for (address, member) in &mut self.members {
            if member.data_centre != self.own.data_centre || !member.is_heartbeat_target() {
                continue;
            }
            let wait = if member.live && member.unanswered_since.is_some() {
                self.settings.heartbeat_interval
            } else if self.own.address < *address {
                period
            } else {
                period + period / 2
            };
            let latest = member.last_heard.max(member.last_heartbeat_sent);
            if !member.heartbeat_due && latest.is_some_and(|at| time_between(now, at) < wait) {
                continue;
            }
            member.record_heartbeat_sent(now);
            actions.push(MemberAction::SendHeartbeat { address: *address });
        }
    }

    /// A fixed number of beats to each other data centre, whatever its size: at 12 data centres of 60 VMs a full mesh
    /// would be 719 pairs a process, two contacts each are 22 out and about 22 in.
    fn push_remote_heartbeats(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
        for (data_centre, addresses) in self.remote_members() {
            let due = self.remote_heartbeats_due.get(&data_centre);
            if due.is_some_and(|due| now < *due) {
                continue;
            }
            self.remote_heartbeats_due
                .insert(data_centre, now + self.settings.remote_heartbeat_interval);
            for address in self.contacts(now, addresses) {
                if let Some(member) = self.members.get_mut(&address) {
                    member.record_heartbeat_sent(now);
                }
                actions.push(MemberAction::SendHeartbeat { address });
            }
        }
    }

    fn remote_members(&self) -> BTreeMap<DataCentreId, Vec<SocketAddr>> {
        let mut remote: BTreeMap<DataCentreId, Vec<SocketAddr>> = BTreeMap::new();
        for (address, member) in &self.members {
            if member.data_centre == self.own.data_centre || !member.is_heartbeat_target() {
                continue;
            }
            remote
                .entry(member.data_centre.clone())
                .or_default()
                .push(*address);
        }
        remote
    }

    /// The contacts of one other data centre. Members that answer come first, by rendezvous with this process, so
    /// that the callers of a data centre spread over it. Where too few answer, those that were tried longest ago
    /// follow: a data centre that comes back from a cut is found at the usual number of beats.
    fn contacts(&self, now: Instant, mut addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let own = self.own.address.stable_hash();
        addresses.sort_by_cached_key(|address| {
            let member = &self.members[address];
            let silent = member.is_unresponsive(now, true, &self.settings);
            let tried = member.last_heartbeat_sent.filter(|_| silent);
            let rank = Reverse(score(own, address.stable_hash()));
            (silent, tried, rank)
        });
        addresses.truncate(self.settings.contacts_per_data_centre);
        addresses
    }
}

impl Member {
    fn new(data_centre: DataCentreId) -> Self {
        Self {
            data_centre,
            view: None,
            seed: false,
            listed: false,
            leaving: false,
            live: false,
            last_heard: None,
            last_heartbeat_sent: None,
            unanswered_since: None,
            heartbeat_due: false,
        }
    }

    /// A leaving VM is heard until it falls silent, and not tried after that. A silent member that no list names is
    /// not tried either.
    fn is_heartbeat_target(&self) -> bool {
        self.live || self.seed || (self.listed && !self.leaving)
    }

    fn record_heartbeat_sent(&mut self, now: Instant) {
        self.heartbeat_due = false;
        self.last_heartbeat_sent = Some(now);
        self.unanswered_since.get_or_insert(now);
    }

    /// Whether nothing was heard for the suspect time after a beat. A remote member that is no contact of ours is
    /// not beaten; it beats us, so its own silence counts.
    fn is_unresponsive(&self, now: Instant, remote: bool, settings: &MemberSettings) -> bool {
        let limit = match remote {
            true => settings.remote_suspect_after,
            false => settings.suspect_after,
        };
        if self
            .unanswered_since
            .is_some_and(|asked| time_between(now, asked) >= limit)
        {
            return true;
        }
        let overdue = settings.remote_heartbeat_interval + limit;
        remote
            && self
                .last_heard
                .is_some_and(|heard| time_between(now, heard) >= overdue)
    }
}

/// The time from `from` to `to`; zero when `from` is later.
fn time_between(to: Instant, from: Instant) -> Duration {
    to.saturating_duration_since(from)
}
