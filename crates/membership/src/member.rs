//! The dispatchers of the system as one process observes them.

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

/// The known dispatchers and the last contact with each.
///
/// Within the data centre every dispatcher exchanges heartbeats with every other (full mesh); with another data centre
/// each process exchanges them with a few contacts. The view changes only with an input, so a reader between two inputs
/// always sees the same view.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: OwnMember,
    settings: MemberSettings,
    members: BTreeMap<SocketAddr, Member>,
    remote_heartbeats_due: FastMap<DataCentreId, Instant>,
    last_input: Option<Instant>,
    revision: u64,
    /// The revision at the last [`MemberAction::ViewChanged`].
    reported_revision: u64,
}

#[derive(Clone, Debug)]
struct Member {
    data_centre: DataCentreId,
    view: Option<MemberView>,
    /// Whether the settings name it. Members that neither the settings nor the VM list name are removed after they fall
    /// silent.
    seed: bool,
    /// Whether the VM list names it.
    listed: bool,
    /// Whether the VM list shows it as leaving.
    leaving: bool,
    live: bool,
    last_heard: Option<Instant>,
    last_heartbeat_sent: Option<Instant>,
    /// The time of the first heartbeat sent since the last contact.
    unanswered_since: Option<Instant>,
    /// Whether a heartbeat is due at the next tick, regardless of when the last one was sent.
    heartbeat_due: bool,
}

impl MemberTable {
    /// Creates a table that contains only the `seeds`, the dispatchers named by the settings. They are sent heartbeats
    /// for ever, even if they never answer.
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

    /// Applies the platform's VM list. The list lags, so it only says which VMs to contact: a listed VM counts as live
    /// once a heartbeat from it arrives, and an unlisted VM whose heartbeats arrive stays live.
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

    /// Returns the heartbeats to send at `now`, and whether the view changed since the last tick.
    ///
    /// Must be called several times per heartbeat interval. The order of actions is: heartbeats within the data centre,
    /// heartbeats to other data centres, then at most one [`MemberAction::ViewChanged`].
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

    /// Handles a heartbeat. The answer counts as a heartbeat at the other side, so a pair needs one heartbeat per
    /// period.
    pub fn on_heartbeat(&mut self, now: Instant, message: HeartbeatMessage) -> HeartbeatReply {
        self.detect_own_pause(now);
        self.record_contact(now, message.view);
        HeartbeatReply {
            view: self.own_view(),
        }
    }

    /// Handles the answer to a heartbeat.
    pub fn on_heartbeat_reply(&mut self, now: Instant, reply: HeartbeatReply) {
        self.detect_own_pause(now);
        self.record_contact(now, reply.view);
    }

    /// Marks a member dead whose VM refused a connection: nothing listens there.
    ///
    /// Without this, the endpoints of a process that died while its VM runs would stay without an owner for the
    /// suspect time. A refusal comes from the operating system of the VM and not from the network, so it is sufficient
    /// proof; the next process there is live as soon as a heartbeat from it arrives. A broken connection or a timeout
    /// is no such proof.
    pub fn on_connection_refused(&mut self, now: Instant, address: SocketAddr) {
        self.detect_own_pause(now);
        let Some(member) = self.members.get_mut(&address) else {
            return;
        };
        if member.live {
            member.live = false;
            self.revision += 1;
        }
    }

    /// The heartbeat to send, the same for every member.
    pub fn heartbeat_message(&self) -> HeartbeatMessage {
        HeartbeatMessage {
            view: self.own_view(),
        }
    }

    /// Sets the newest contract head that this process holds. It is sent with the next heartbeat of each pair.
    pub fn set_head(&mut self, head: u64) {
        self.own.head = self.own.head.max(head);
    }

    /// Marks this process as stopping. The next tick announces it to the data centre at once, so that others own its
    /// endpoints before it is gone.
    pub fn set_stopping(&mut self) {
        if self.own.stopping {
            return;
        }
        self.own.stopping = true;
        self.revision += 1;
        self.announce();
    }

    /// Makes a heartbeat to each live member of the data centre due at the next tick.
    ///
    /// Called by the one process of a data centre that read a new contract head from the store, and by a process that
    /// stops. A process that learns of a head from a peer must not announce it again, as that would cost a message for
    /// every pair.
    pub fn announce(&mut self) {
        for member in self.members.values_mut() {
            if member.live && member.data_centre == self.own.data_centre {
                member.heartbeat_due = true;
            }
        }
    }

    /// Every live dispatcher except this one: all of this data centre, and the contacts in others.
    pub fn live(&self) -> impl Iterator<Item = &MemberView> {
        self.members
            .values()
            .filter(|m| m.live)
            .filter_map(|m| m.view.as_ref())
    }

    /// The dispatchers of this data centre that may own endpoints or be a customer's home: those that are live and not
    /// stopping, including this process unless it is stopping. Sorted by address.
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

    /// The system VMs of this data centre that the VM list or the settings name and that are not leaving, including
    /// this one. Base shares and the reservation for unseen VMs are computed from this list.
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

    /// The highest known contract head, including this process's own.
    pub fn highest_head(&self) -> u64 {
        let heads = self.members.values().filter_map(|m| m.view.as_ref());
        heads.map(|v| v.head).fold(self.own.head, u64::max)
    }

    /// The number of known members, live or not.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Increases whenever the view changes: a member became live or dead, is stopping, was restarted, or is in another
    /// data centre now.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The interval between two heartbeats of one pair in this data centre at the present number of members.
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

    /// Returns the member at an address, and adds it if it is not known.
    fn member(&mut self, address: SocketAddr, data_centre: &DataCentreId) -> &mut Member {
        self.members
            .entry(address)
            .or_insert_with(|| Member::new(data_centre.clone()))
    }

    /// Detects that this process was frozen (paused VM, long page fault) while heartbeats lay unread in its sockets.
    /// Without this, it would find every peer silent when it resumes, declare them all dead, and claim every endpoint.
    /// A gap between its own inputs longer than the suspect time shows that this process itself was paused. Its live
    /// members then get a full suspect time from now, in which the heartbeats in the sockets are read. A member that
    /// did die meanwhile is detected that much later, which costs only the capacity of its endpoints.
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

    /// Removes silent members that no list names. Otherwise the table would grow with every VM that ever existed (450
    /// are replaced per day at the target size).
    fn remove_stale_members(&mut self, now: Instant) {
        let remove_after = self.settings.remove_after;
        self.members.retain(|_, member| {
            let heard = member
                .last_heard
                .is_some_and(|at| time_between(now, at) < remove_after);
            member.live || member.seed || member.listed || heard
        });
    }

    /// Adds the heartbeats that are due in the full mesh within the data centre. Of a pair, the lower address sends.
    /// The higher one sends if nothing has arrived for half a period more, which covers a new member that the lower one
    /// does not know yet. So a healthy pair costs one heartbeat and one answer per period instead of two of each.
    ///
    /// A live member that leaves a heartbeat unanswered is tried again at the shortest interval, so that its death is
    /// concluded from several heartbeats and is detected soon, also if the period is long.
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
            if !member.heartbeat_due
                && latest.is_some_and(|latest| time_between(now, latest) < wait)
            {
                continue;
            }
            member.record_heartbeat_sent(now);
            actions.push(MemberAction::SendHeartbeat { address: *address });
        }
    }

    /// Adds the heartbeats that are due to other data centres: a fixed number for each, whatever its size. At 12 data
    /// centres of 60 VMs a full mesh would be 719 pairs per process; two contacts per data centre are 22 outgoing and
    /// about 22 incoming.
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

    /// Chooses the contacts in one other data centre from its members. Members that answer come first, by rendezvous
    /// score with this process, so that the processes of a data centre spread over the contacts. If too few answer,
    /// those that were tried longest ago follow, so that a data centre that becomes reachable again is found at the
    /// usual number of heartbeats.
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

    /// Whether this member is sent heartbeats. A leaving VM gets them until it falls silent. A silent member that no
    /// list names gets none.
    fn is_heartbeat_target(&self) -> bool {
        self.live || self.seed || (self.listed && !self.leaving)
    }

    fn record_heartbeat_sent(&mut self, now: Instant) {
        self.heartbeat_due = false;
        self.last_heartbeat_sent = Some(now);
        self.unanswered_since.get_or_insert(now);
    }

    /// Whether a heartbeat to this member has been unanswered for the suspect time. This process sends no heartbeats to
    /// a remote member that is not one of its contacts. Such a member sends its own, so its silence counts instead.
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

/// The time from `from` to `to`; zero if `from` is later.
fn time_between(to: Instant, from: Instant) -> Duration {
    to.saturating_duration_since(from)
}
