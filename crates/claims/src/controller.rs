//! Decides when this process claims a pool.

mod handover;
mod heartbeats;
mod open_jobs;
mod polling;
mod ranking;
mod reason;

pub use heartbeats::HeartbeatClass;
pub use polling::{KnownList, PollDecision};

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jobs::{FenceToken, PoolId};
use model::{DataCentreId, FastMap};

use crate::{
    action::{ClaimAction, ClaimEvent, ClaimOutcome, ClaimReason, OwnerView},
    capacity::VmCapacity,
    peer_clock::PeerClock,
    rows::{ClaimRow, MemberRow},
    settings::ClaimSettings,
    view::{Heartbeat, NodeId},
};

/// A member, from its row in the store or from the first heartbeat of a new incarnation.
#[derive(Clone, Debug)]
struct Member {
    row: MemberRow,
    /// When this process learned of the row's last change.
    refreshed: Instant,
}

/// A peer from which at least one heartbeat has arrived, also if it is silent now.
#[derive(Clone, Debug)]
struct HeardPeer {
    heartbeat: Heartbeat,
    heard_at: Instant,
    clock: PeerClock,
    /// Since when heartbeats of this incarnation have arrived without a silence.
    heard_since: Instant,
    silent: bool,
    /// Whether a connection to the peer was refused since its last heartbeat.
    refused: bool,
}

#[derive(Clone, Debug)]
struct Claim {
    row: ClaimRow,
    version: u64,
    /// When this process learned of the claim.
    since: Instant,
    /// Whether this process owned the pool and has released it.
    released: bool,
}

#[derive(Clone, Debug, Default)]
struct PoolState {
    claim: Option<Claim>,
    /// Since when the pool has been claimable, and why.
    claimable_since: Option<(Instant, ClaimReason)>,
    /// This process's rank among the candidates for the pool.
    rank: u32,
    attempt: ClaimAttempt,
    /// Whether the last probe reached none of the pool's workers.
    unreachable: bool,
    /// Claims in a row that the store left undecided.
    undecided_claims: u32,
    has_workers: bool,
    /// When open kept jobs of the pool were last read.
    open_jobs_read: Option<Instant>,
}

/// The state of an attempt to claim a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ClaimAttempt {
    #[default]
    None,
    /// The pool's workers have been probed since this time. A process that cannot reach them must not take
    /// the pool from an owner that can.
    Probing(Instant),
    /// A probe reached a worker.
    Reachable,
    /// A probe reached a worker after earlier ones failed. Until this time, the process listens for the
    /// owner's heartbeats.
    Listening(Instant),
    /// A probe reached no worker; it ended at this time.
    Unreachable(Instant),
    /// The claim was sent to the store at this time.
    Writing(Instant),
    /// The store left the claim undecided; the next attempt waits until this time.
    BackingOff(Instant),
}

/// Tracks members, heartbeats and claims, and decides when this process claims a pool.
pub struct ClaimController {
    settings: ClaimSettings,
    own_row: MemberRow,
    started: Instant,
    leaving: bool,
    members: FastMap<NodeId, Member>,
    heard_peers: FastMap<NodeId, HeardPeer>,
    pools: FastMap<PoolId, PoolState>,
    /// The processes that own pools, each with the time at which its oldest claim became known.
    owners: FastMap<NodeId, Instant>,
    /// The number of other members in this data centre.
    local_members: u32,
    events: Vec<ClaimEvent>,
}

impl ClaimController {
    /// Creates a controller that knows only its own process.
    pub fn new(own_row: MemberRow, settings: ClaimSettings, now: Instant) -> Self {
        Self {
            settings,
            own_row,
            started: now,
            leaving: false,
            members: FastMap::default(),
            heard_peers: FastMap::default(),
            pools: FastMap::default(),
            owners: FastMap::default(),
            local_members: 0,
            events: Vec::new(),
        }
    }

    /// This process's member row.
    pub fn own_row(&self) -> &MemberRow {
        &self.own_row
    }

    /// Takes the events since the last call, oldest first.
    pub fn take_events(&mut self) -> Vec<ClaimEvent> {
        std::mem::take(&mut self.events)
    }

    /// Stops making claims, because this process is about to stop.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Records a member's row that was read from the store, unless a later one is known.
    pub fn on_member(&mut self, now: Instant, row: MemberRow) {
        if row.node == self.own_row.node {
            return;
        }
        let older = self.members.get(&row.node).is_some_and(|known| {
            (known.row.incarnation, known.row.refreshes) >= (row.incarnation, row.refreshes)
        });
        if older {
            return;
        }
        self.members.insert(
            row.node.clone(),
            Member {
                row,
                refreshed: now,
            },
        );
        self.count_local_members();
    }

    /// Records the removal of a member's row.
    pub fn on_member_gone(&mut self, node: &NodeId) {
        self.members.remove(node);
        self.count_local_members();
    }

    /// Records a claim that was read from the store or written to it, unless a later one is known.
    pub fn on_claim(&mut self, now: Instant, pool: PoolId, row: ClaimRow, version: u64) {
        let state = self.pools.entry(pool.clone()).or_default();
        if state
            .claim
            .as_ref()
            .is_some_and(|known| known.version >= version)
        {
            return;
        }
        self.events.push(ClaimEvent::OwnerChanged {
            pool,
            node: row.node.clone(),
            fence: FenceToken(version),
        });
        let since = now;
        state.claim = Some(Claim {
            row,
            version,
            since,
            released: false,
        });
        state.claimable_since = None;
        state.attempt = ClaimAttempt::None;
        self.update_owners();
    }

    /// Records that this process has released a pool although the claim is still its own. This process no
    /// longer counts as the owner, and the first candidate claims the pool anew.
    pub fn on_released(&mut self, pool: &PoolId) {
        if let Some(claim) = self
            .pools
            .get_mut(pool)
            .and_then(|state| state.claim.as_mut())
        {
            claim.released = true;
        }
        self.update_owners();
    }

    /// Records whether a pool has workers. A pool without workers needs no owner, unless it has open kept jobs.
    pub fn on_workers(&mut self, pool: &PoolId, has_workers: bool) {
        let known = self.pools.contains_key(pool);
        if known || has_workers {
            self.pools.entry(pool.clone()).or_default().has_workers = has_workers;
        }
    }

    /// Records the heartbeat of another process, which came from `address`.
    pub fn on_heartbeat(&mut self, now: Instant, heartbeat: Heartbeat, address: SocketAddr) {
        if heartbeat.node == self.own_row.node {
            return;
        }
        // Datagrams may be reordered: a heartbeat of an earlier incarnation is ignored while the later one is
        // heard.
        let known = self.heard_peers.get(&heartbeat.node);
        let later = known.filter(|known| known.heartbeat.incarnation > heartbeat.incarnation);
        if later.is_some_and(|later| self.is_fresh(now, later)) {
            return;
        }
        if known.is_none_or(|known| known.silent) {
            self.events
                .push(ClaimEvent::PeerHeard(heartbeat.node.clone()));
        }
        // The heartbeat of a new process arrives before its row is read.
        let member = self.members.get(&heartbeat.node);
        if member.is_none_or(|member| member.row.incarnation < heartbeat.incarnation) {
            let row = MemberRow {
                node: heartbeat.node.clone(),
                incarnation: heartbeat.incarnation,
                data_centre: heartbeat.data_centre.clone(),
                cores: heartbeat.cores,
                link: heartbeat.link,
                address,
                refreshes: 0,
                waits: Vec::new(),
            };
            self.members.insert(
                heartbeat.node.clone(),
                Member {
                    row,
                    refreshed: now,
                },
            );
            self.count_local_members();
        }
        let known = self.heard_peers.get(&heartbeat.node);
        let node = heartbeat.node.clone();
        let unbroken = known
            .filter(|known| !known.silent && known.heartbeat.incarnation == heartbeat.incarnation);
        let heard_since = unbroken.map_or(now, |known| known.heard_since);
        let (heard_at, silent, refused) = (now, false, false);
        let former = known.filter(|known| known.heartbeat.incarnation == heartbeat.incarnation);
        let heard_clock = PeerClock::new(now, heartbeat.clock);
        let clock = former.map_or(heard_clock, |known| known.clock.later(heard_clock, now));
        self.heard_peers.insert(
            node,
            HeardPeer {
                heartbeat,
                heard_at,
                clock,
                heard_since,
                silent,
                refused,
            },
        );
    }

    /// Records that a connection to a process was refused: the process no longer listens.
    pub fn on_refused(&mut self, node: &NodeId) {
        if let Some(peer) = self.heard_peers.get_mut(node) {
            peer.refused = true;
        }
    }

    /// Records the result of a probe: whether a worker of the pool could be reached.
    pub fn on_probe_result(&mut self, now: Instant, pool: &PoolId, reachable: bool) {
        let listen_time = self.listen_time(pool);
        let Some(state) = self.pools.get_mut(pool) else {
            return;
        };
        if !matches!(state.attempt, ClaimAttempt::Probing(_)) {
            return;
        }
        let healed = reachable && state.unreachable;
        state.unreachable = !reachable;
        state.attempt = match (reachable, healed) {
            (false, _) => ClaimAttempt::Unreachable(now),
            (true, false) => ClaimAttempt::Reachable,
            (true, true) => ClaimAttempt::Listening(now + listen_time),
        };
    }

    /// How long this process listens for the owner of a pool after a network partition between the two seems
    /// to have healed.
    ///
    /// Without this wait, a data centre that was cut off would take the pools of all others as soon as it
    /// reached their workers again, and they would take its pools, because the next heartbeat of a remote
    /// owner arrives up to a second later. All jobs of both sides would be cut.
    fn listen_time(&self, pool: &PoolId) -> Duration {
        let claim = self.pools.get(pool).and_then(|state| state.claim.as_ref());
        let peer = claim.and_then(|claim| self.heard_peers.get(&claim.row.node));
        let is_local =
            peer.is_some_and(|peer| peer.heartbeat.data_centre == self.own_row.data_centre);
        match is_local {
            true => self.settings.local_silence_timeout,
            false => self.remote_silence_timeout(),
        }
    }

    /// Records the outcome of an attempt to claim a pool. If the attempt succeeded, `on_claim` has been called
    /// before.
    pub fn on_claim_outcome(&mut self, now: Instant, pool: &PoolId, outcome: ClaimOutcome) {
        let Some(state) = self.pools.get_mut(pool) else {
            return;
        };
        match outcome {
            ClaimOutcome::Decided => {
                state.attempt = ClaimAttempt::None;
                state.undecided_claims = 0;
            }
            ClaimOutcome::Undecided => {
                let factor = 2_u32.saturating_pow(state.undecided_claims.min(8));
                let backoff = self.settings.initial_claim_backoff * factor;
                let backoff = backoff.min(self.settings.max_claim_backoff);
                state.attempt = ClaimAttempt::BackingOff(now + backoff);
                state.undecided_claims += 1;
            }
        }
    }

    /// The owner of a pool, if a claim is known.
    pub fn owner(&self, now: Instant, pool: &PoolId) -> Option<OwnerView> {
        let claim = self.pools.get(pool)?.claim.as_ref()?;
        let here = self.is_own_claim(claim);
        let heard = self.heard_peers.get(&claim.row.node);
        let current = heard.filter(|peer| {
            peer.heartbeat.incarnation == claim.row.incarnation && self.is_fresh(now, peer)
        });
        let news =
            current.and_then(|peer| peer.heartbeat.pools.iter().find(|news| news.pool == *pool));
        Some(OwnerView {
            node: claim.row.node.clone(),
            address: claim.row.address,
            fence: FenceToken(claim.version),
            here,
            // An owner that is about to stop keeps serving while no process can take its pool over.
            alive: here
                || current.is_some_and(|peer| !peer.heartbeat.leaving || news.is_some())
                    && news.is_none_or(|news| !news.yielding),
            load: news.map(|news| news.load).unwrap_or_default(),
            start_profile: news.and_then(|news| news.start_profile.known()),
            heard_at: current.map(|peer| peer.heard_at),
            clock: current.map(|peer| peer.clock),
        })
    }

    /// What is known of a peer's clock; `None` if it was never heard.
    pub fn peer_clock(&self, node: &NodeId) -> Option<PeerClock> {
        self.heard_peers.get(node).map(|peer| peer.clock)
    }

    /// The known pools, those of this data centre first.
    pub fn pools(&self) -> Vec<PoolId> {
        let mut pools: Vec<PoolId> = self.pools.keys().cloned().collect();
        pools.sort_by_key(|pool| (pool.data_centre != self.own_row.data_centre, pool.clone()));
        pools
    }

    /// Whether this process is among the first candidates for a pool that can be claimed now.
    pub fn may_claim_soon(&self) -> bool {
        let mut pools = self.pools.values();
        pools.any(|state| state.claimable_since.is_some() && state.rank <= MAX_SOON_RANK)
    }

    /// The capacities of the VMs of a data centre, including this process's VM.
    pub fn vm_capacities(&self, centre: &DataCentreId) -> Vec<VmCapacity> {
        let others = self.members.values().map(|member| &member.row);
        let all = others.chain(std::iter::once(&self.own_row));
        let there = all.filter(|row| row.data_centre == *centre);
        there.map(MemberRow::capacity).collect()
    }

    /// Detects silent peers and decides which actions to take now.
    pub fn tick(&mut self, now: Instant) -> Vec<ClaimAction> {
        self.detect_silent_peers(now);
        let mut actions = Vec::new();
        if self.leaving {
            return actions;
        }
        let pools = self.pools();
        let reasons: Vec<Option<ClaimReason>> = pools
            .iter()
            .map(|pool| {
                self.claim_reason(now, pool)
                    .filter(|_| self.needs_owner(now, pool))
            })
            .collect();
        let claimable = pools.iter().zip(&reasons);
        let claimable = claimable.filter(|(_, reason)| reason.is_some());
        let claimable: Vec<PoolId> = claimable.map(|(pool, _)| pool.clone()).collect();
        let ranks = match claimable.is_empty() {
            true => FastMap::default(),
            false => self.claim_ranks(now, &claimable),
        };
        for (pool, reason) in pools.iter().zip(reasons) {
            let rank = ranks.get(pool).copied().unwrap_or_default();
            let rank = match self.is_without_workers(pool) && reason.is_some() {
                true => self.rank_for_open_jobs(now, rank),
                false => rank,
            };
            actions.extend(self.advance_claim(now, pool, reason, rank));
        }
        actions
    }

    /// Advances the attempt to claim a pool. Candidates claim one after another; `rank` is this process's
    /// rank among them.
    fn advance_claim(
        &mut self,
        now: Instant,
        pool: &PoolId,
        reason: Option<ClaimReason>,
        rank: u32,
    ) -> Option<ClaimAction> {
        let is_remote = self.own_row.data_centre != pool.data_centre;
        let remote_claim_delay = if is_remote {
            self.settings.remote_claim_delay
        } else {
            Duration::ZERO
        };
        let delay = self.settings.rank_delay * rank + remote_claim_delay;
        let timeout = self.settings.attempt_timeout;
        // A process claims all pools for which it ranks first at once, and other pools one at a time: each pool
        // that it gets makes it more likely that another process ranks first for the next one.
        let busy = rank > 0
            && self.pools.values().any(|state| {
                matches!(
                    state.attempt,
                    ClaimAttempt::Probing(_) | ClaimAttempt::Reachable | ClaimAttempt::Writing(_)
                )
            });
        let state = self.pools.get_mut(pool)?;
        let Some(reason) = reason else {
            state.claimable_since = None;
            state.attempt = ClaimAttempt::None;
            state.unreachable = false;
            return None;
        };
        let (since, _) = *state.claimable_since.get_or_insert((now, reason));
        state.rank = rank;
        match state.attempt {
            ClaimAttempt::None if now >= since + delay && !busy => {
                state.attempt = ClaimAttempt::Probing(now);
                Some(ClaimAction::Probe(pool.clone()))
            }
            ClaimAttempt::Reachable => {
                state.attempt = ClaimAttempt::Writing(now);
                let expected = state.claim.as_ref().map_or(0, |claim| claim.version);
                let pool = pool.clone();
                self.events.push(ClaimEvent::Claiming {
                    pool: pool.clone(),
                    why: reason,
                    expected,
                });
                Some(ClaimAction::Claim { pool, expected })
            }
            ClaimAttempt::Probing(begun) | ClaimAttempt::Writing(begun) => {
                if now >= begun + timeout {
                    state.attempt = ClaimAttempt::None;
                }
                None
            }
            ClaimAttempt::Unreachable(since) => {
                if now >= since + self.settings.probe_retry_delay {
                    state.attempt = ClaimAttempt::None;
                }
                None
            }
            ClaimAttempt::Listening(until) | ClaimAttempt::BackingOff(until) => {
                if now >= until {
                    state.attempt = ClaimAttempt::None;
                }
                None
            }
            ClaimAttempt::None => None,
        }
    }

    fn is_own_claim(&self, claim: &Claim) -> bool {
        let own = claim.row.node == self.own_row.node;
        own && claim.row.incarnation == self.own_row.incarnation && !claim.released
    }

    /// Whether this process hears the peer: the peer's last heartbeat is younger than the silence timeout, and no
    /// connection to the peer was refused since.
    fn is_fresh(&self, now: Instant, peer: &HeardPeer) -> bool {
        let timeout = self.silence_timeout(now, peer);
        now < peer.heard_at + timeout && !peer.refused
    }

    /// The peer, if it is heard and not about to stop.
    fn live_peer(&self, now: Instant, node: &NodeId) -> Option<&HeardPeer> {
        let heard = self.heard_peers.get(node);
        heard.filter(|peer| self.is_fresh(now, peer) && !peer.heartbeat.leaving)
    }

    /// Whether this process has just started. Before the first heartbeats arrive, all members count, heard or
    /// not.
    fn is_starting(&self, now: Instant) -> bool {
        now < self.started + self.settings.startup_time
    }

    fn detect_silent_peers(&mut self, now: Instant) {
        let mut silent = Vec::new();
        for (node, peer) in &self.heard_peers {
            if !peer.silent && !self.is_fresh(now, peer) {
                silent.push((node.clone(), now.saturating_duration_since(peer.heard_at)));
            }
        }
        for (node, age) in silent {
            if let Some(peer) = self.heard_peers.get_mut(&node) {
                peer.silent = true;
            }
            self.events.push(ClaimEvent::PeerSilent { node, age });
        }
    }
}

/// The last rank among a pool's candidates at which a process prepares to claim the pool. Each process that
/// prepares reads the list of all workers anew.
const MAX_SOON_RANK: u32 = 2;

/// Heartbeats from another data centre that may be lost before a process counts as silent.
const MAX_MISSED_REMOTE_HEARTBEATS: u32 = 3;
