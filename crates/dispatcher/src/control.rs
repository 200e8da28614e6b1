//! The control state of a dispatcher.

mod contracts;
mod grants;
mod handover;
mod membership;
mod messages;
mod sessions;

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use ::contracts::ContractView;
use ::membership::{
    CentreView, GrantLedger, GrantSettings, HandoverLedger, MemberSettings, MemberTable, OwnMember,
    OwnershipMap,
};
use actix::{Actor, Addr, AsyncContext as _, Context, Handler};
use kernel::{ClockSource, ServiceName};
use ledger::{LedgerAction, LedgerSettings, SlotLedger};
use model::{split_into_messages, FastMap, FastSet, IncarnationId, VmEntry};
use peer::PeerLink;
use platform::PlatformClient;
use settings::DispatcherSettings;
use telemetry::{CounterKind, GaugeKind, MetricSet, TimeKind};

use crate::{
    entry_directory::EntryDirectory,
    traffic::{EndpointTraffic, RunTask, TaskRan},
};

pub(crate) use messages::{
    BeatTaken, ContractsAsked, GrantsAsked, HandoverTaken, OffersMade, PingTaken, SessionEnded,
    SessionOpened, StopBegun, StopState, VmsAsked, WithdrawalsMade,
};

/// The time between two looks at what has become due. It bounds how late a slot goes on after an ask stayed
/// unanswered, and is small against the shortest tasks of 50 ms.
const TICK: Duration = Duration::from_millis(40);

/// The time between two looks at the grants. The ledger takes a gap of the suspect time for a freeze of this process;
/// the shortest that the settings' defaults allow is five of these.
const GRANT_TICK: Duration = Duration::from_millis(200);

/// The time between two reports to the new owners of endpoints. It bounds how long a slot that a task has left stays
/// counted there, and is of the size of the shortest tasks.
const HANDOVER_TICK: Duration = Duration::from_millis(50);

/// The name under which a dispatcher's control actor is found.
pub(crate) const CONTROL_SERVICE: ServiceName = ServiceName("dispatcher.control");

/// The control state of a dispatcher: slots, members, sessions. It lives on the control thread.
pub struct DispatcherControl {
    settings: DispatcherSettings,
    clock: Arc<dyn ClockSource>,
    incarnation: IncarnationId,
    own_address: SocketAddr,
    ledger: SlotLedger,
    members: MemberTable,
    ownership: OwnershipMap,
    grants: GrantLedger,
    centre: CentreView,
    handovers: HandoverLedger,
    reported: FastSet<SocketAddr>,
    next_report: u64,
    vms: Vec<VmEntry>,
    peers: FastMap<SocketAddr, PeerSlot>,
    entries: EntryDirectory,
    traffic: Vec<Addr<EndpointTraffic>>,
    next_traffic: usize,
    platform: PlatformClient,
    view: ContractView,
    polls: u32,
    polling: bool,
    told_limit: u32,
    started: Instant,
    settled: bool,
    metrics: Arc<MetricSet>,
    ready: Arc<AtomicBool>,
    stopping: bool,
}

/// A connection to another dispatcher.
enum PeerSlot {
    Connecting,
    Open(PeerLink),
}

/// What a control actor is made from.
pub(crate) struct ControlParts {
    pub(crate) settings: DispatcherSettings,
    pub(crate) clock: Arc<dyn ClockSource>,
    pub(crate) incarnation: IncarnationId,
    pub(crate) own_address: SocketAddr,
    pub(crate) traffic: Vec<Addr<EndpointTraffic>>,
    pub(crate) platform: PlatformClient,
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) entries: EntryDirectory,
    pub(crate) metrics: Arc<MetricSet>,
}

impl DispatcherControl {
    pub(crate) fn new(parts: ControlParts) -> Self {
        let settings = parts.settings;
        let now = parts.clock.now();
        let own = OwnMember {
            address: parts.own_address,
            data_centre: settings.data_centre.clone(),
            incarnation: parts.incarnation,
            stopping: false,
            head: 0,
        };
        let member_settings = MemberSettings {
            beat_every: settings.heartbeat_ms.duration(),
            suspect_after: settings.suspect_ms.duration(),
            ..MemberSettings::default()
        };
        let seeds = settings
            .peers
            .iter()
            .map(|peer| (peer.address, peer.data_centre.clone()));
        let members = MemberTable::new(own, member_settings, seeds.collect::<Vec<_>>());
        let ledger = SlotLedger::new(LedgerSettings {
            max_queue: settings.queue_limit,
            claim_limit: settings.claim_limit_ms.duration(),
            ..LedgerSettings::default()
        });
        let grants = GrantLedger::new(parts.own_address, grant_settings(&settings));
        Self {
            clock: parts.clock,
            incarnation: parts.incarnation,
            own_address: parts.own_address,
            ledger,
            members,
            ownership: OwnershipMap::default(),
            grants,
            centre: CentreView::default(),
            handovers: HandoverLedger::default(),
            reported: FastSet::default(),
            next_report: 1,
            vms: Vec::new(),
            peers: FastMap::default(),
            entries: parts.entries,
            traffic: parts.traffic,
            next_traffic: 0,
            platform: parts.platform,
            told_limit: 0,
            started: now,
            settled: false,
            metrics: parts.metrics,
            ready: parts.ready,
            stopping: false,
            view: ContractView::default(),
            polls: 0,
            polling: false,
            settings,
        }
    }

    /// Carries out what the ledger wants done. To be called at the end of each input.
    fn flush(&mut self, ctx: &mut Context<Self>) {
        let mut reports = FastMap::default();
        for action in self.ledger.take_actions() {
            match action {
                LedgerAction::Start { endpoint, offer } => self.start_task(endpoint, offer),
                LedgerAction::Claim {
                    entry,
                    session,
                    attempt,
                    claim,
                } => {
                    self.ask_for_body(ctx, entry, session, attempt, claim);
                }
                LedgerAction::Report {
                    entry,
                    session,
                    attempt,
                    end,
                    ran,
                } => {
                    let batch: &mut Vec<_> = reports.entry((entry, session)).or_default();
                    batch.push((attempt, end, ran));
                }
            }
        }
        for ((entry, session), ends) in reports {
            for (_, _, ran) in &ends {
                self.metrics.time(TimeKind::RunTime, *ran);
            }
            // Failure: a session comes back after many large results. Symptom without the split: a report over the
            // reader's limit fails, is not repeated while the session stands, and the tasks' answers come as unknown.
            // Parts are enough, since ends do not depend on each other.
            for part in split_into_messages(ends, |(_, end, _)| end.size()) {
                self.metrics.count(CounterKind::Messages, 1);
                self.report_ends(ctx, entry, session, part);
            }
        }
        self.tell_limit();
    }

    /// Load: endpoints that change owner. Harm: until the next ping or answer, entries place by the slots that this
    /// dispatcher had, so tasks queue here while the new owner's slots stand free. Limits change rarely, so telling every
    /// entry at once costs little.
    fn tell_limit(&mut self) {
        let slots = self.ledger.slots();
        if slots.limit == self.told_limit {
            return;
        }
        self.told_limit = slots.limit;
        for client in self.entries.all() {
            let told = client.slots(slots);
            // A connection that breaks meanwhile ends the session by itself.
            actix_rt::spawn(async move { drop(told.await) });
        }
    }

    fn start_task(&mut self, endpoint: model::EndpointAddress, offer: model::TaskOffer) {
        self.next_traffic = (self.next_traffic + 1) % self.traffic.len();
        let traffic = &self.traffic[self.next_traffic];
        traffic.do_send(RunTask { endpoint, offer });
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        self.tick_members(ctx);
        self.ledger.tick(self.clock.now());
        self.flush(ctx);
        self.set_gauges();
    }

    fn set_gauges(&self) {
        let slots = self.ledger.slots();
        self.metrics
            .gauge(GaugeKind::SlotsLimit, f64::from(slots.limit));
        self.metrics
            .gauge(GaugeKind::SlotsRunning, f64::from(slots.running));
        self.metrics
            .gauge(GaugeKind::QueueLength, f64::from(slots.queued));
        self.metrics
            .gauge(GaugeKind::Sessions, self.entries.len() as f64);
        self.metrics
            .gauge(GaugeKind::ContractHead, self.view.head().0 as f64);
        let owned = self.ownership.owned_by(self.own_address).count();
        self.metrics.gauge(GaugeKind::OwnedEndpoints, owned as f64);
    }

    fn begin_stop(&mut self, ctx: &mut Context<Self>) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.ready.store(false, Ordering::Relaxed);
        self.members.set_stopping();
        self.ledger.stop(self.clock.now());
        // The new owners have to count what runs here before they hear that the endpoints are theirs.
        self.update_ownership();
        self.tick_handovers(ctx);
        self.tick(ctx);
        log::info!("dispatcher: stopping, {} tasks run", self.ledger.running());
    }
}

/// `grant_term_ms` has to be the same for all dispatchers of a data centre: a new home waits out the old one's grants
/// by its own term. Entries take the term from each answer.
fn grant_settings(settings: &DispatcherSettings) -> GrantSettings {
    let term = settings.grant_term_ms.duration();
    GrantSettings {
        term,
        margin: term / 20,
        frozen_after: settings.suspect_ms.duration(),
        ..GrantSettings::default()
    }
}

impl Actor for DispatcherControl {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(TICK, Self::tick);
        ctx.run_interval(GRANT_TICK, |control, _| {
            control.grants.tick(control.clock.now());
        });
        ctx.run_interval(HANDOVER_TICK, Self::tick_handovers);
        self.read_vm_list(ctx);
        ctx.run_interval(self.settings.vm_list_ms.duration(), Self::read_vm_list);
        self.poll_contracts(ctx);
        ctx.run_interval(self.settings.refresh_ms.duration(), Self::poll_contracts);
    }
}

impl Handler<TaskRan> for DispatcherControl {
    type Result = ();

    fn handle(&mut self, ran: TaskRan, ctx: &mut Context<Self>) {
        self.ledger.on_ran(self.clock.now(), ran.attempt, ran.end);
        self.flush(ctx);
    }
}

impl Handler<StopBegun> for DispatcherControl {
    type Result = ();

    fn handle(&mut self, _: StopBegun, ctx: &mut Context<Self>) {
        self.begin_stop(ctx);
    }
}

impl Handler<StopState> for DispatcherControl {
    type Result = usize;

    fn handle(&mut self, _: StopState, ctx: &mut Context<Self>) -> usize {
        if self.ledger.is_drained() {
            // The new owners' slots need not wait for the deadlines of what has ended.
            self.tick_handovers(ctx);
            return 0;
        }
        self.ledger.running().max(1)
    }
}
