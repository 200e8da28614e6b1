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
    CentreView, GrantAllocator, GrantSettings, HandoverTracker, MemberSettings, MemberTable,
    OwnMember, OwnershipMap,
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
    traffic::{EndpointTraffic, RunTask, TaskEnded},
};

pub(crate) use messages::{
    ContractRequest, GrantRequest, HandoverRequest, HeartbeatRequest, OfferRequest, PingRequest,
    SessionClosed, SessionRequest, StopQuery, StopRequest, VmListRequest, WithdrawalRequest,
};

/// Interval of the control tick. It bounds how late a slot is used again after a claim timed out, and is shorter than
/// the shortest tasks of 50 ms.
const TICK_INTERVAL: Duration = Duration::from_millis(40);

/// Interval of the grant tick. The grant allocator treats a gap of the suspect time between ticks as a freeze of this
/// process; the default suspect time is five intervals.
const GRANT_TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval of the reports to the new owners of endpoints. It bounds how long a new owner counts a slot as used after
/// the slot's task has ended, and is about as long as the shortest tasks.
const HANDOVER_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The name under which the dispatcher's control actor is registered.
pub(crate) const CONTROL_SERVICE: ServiceName = ServiceName("dispatcher.control");

/// The control state of a dispatcher: slots, members and sessions. The actor runs on the control thread.
pub struct DispatcherControl {
    settings: DispatcherSettings,
    clock: Arc<dyn ClockSource>,
    incarnation: IncarnationId,
    own_address: SocketAddr,
    ledger: SlotLedger,
    members: MemberTable,
    ownership: OwnershipMap,
    grants: GrantAllocator,
    centre_view: CentreView,
    handovers: HandoverTracker,
    /// The new owners whose last handover report was not empty; each still gets an empty one.
    reported_peers: FastSet<SocketAddr>,
    /// The serial of the next handover report.
    next_report: u64,
    vms: Vec<VmEntry>,
    peers: FastMap<SocketAddr, PeerConnection>,
    entries: EntryDirectory,
    traffic: Vec<Addr<EndpointTraffic>>,
    next_traffic_thread: usize,
    platform: PlatformClient,
    contract_view: ContractView,
    /// Number of contract poll intervals since the start.
    poll_ticks: u32,
    poll_in_flight: bool,
    /// The slot limit last sent to the entries.
    announced_limit: u32,
    started_at: Instant,
    /// Whether this dispatcher may own endpoints, see [`Self::is_membership_settled`].
    membership_settled: bool,
    metrics: Arc<MetricSet>,
    ready: Arc<AtomicBool>,
    stopping: bool,
}

/// A connection to another dispatcher.
enum PeerConnection {
    Connecting,
    Open(PeerLink),
}

/// Parameters of [`DispatcherControl::new`].
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
            heartbeat_interval: settings.heartbeat_ms.duration(),
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
            claim_timeout: settings.claim_limit_ms.duration(),
            ..LedgerSettings::default()
        });
        let grants = GrantAllocator::new(parts.own_address, grant_settings(&settings));
        Self {
            clock: parts.clock,
            incarnation: parts.incarnation,
            own_address: parts.own_address,
            ledger,
            members,
            ownership: OwnershipMap::default(),
            grants,
            centre_view: CentreView::default(),
            handovers: HandoverTracker::default(),
            reported_peers: FastSet::default(),
            next_report: 1,
            vms: Vec::new(),
            peers: FastMap::default(),
            entries: parts.entries,
            traffic: parts.traffic,
            next_traffic_thread: 0,
            platform: parts.platform,
            announced_limit: 0,
            started_at: now,
            membership_settled: false,
            metrics: parts.metrics,
            ready: parts.ready,
            stopping: false,
            contract_view: ContractView::default(),
            poll_ticks: 0,
            poll_in_flight: false,
            settings,
        }
    }

    /// Carries out the ledger's pending actions. To be called at the end of each message handler.
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
                    self.request_body(ctx, entry, session, attempt, claim);
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
            // After a reconnect a session may have many large results to report. A report over the reader's size limit
            // would fail and not be repeated while the session is open, and its tasks would be answered as unknown. So
            // reports are split; the ends do not depend on each other.
            for part in split_into_messages(ends, |(_, end, _)| end.size()) {
                self.metrics.count(CounterKind::Messages, 1);
                self.report_ends(ctx, entry, session, part);
            }
        }
        self.announce_limit();
    }

    /// Sends a changed slot limit to all entries at once. When endpoints change owner, entries would otherwise place by
    /// this dispatcher's former slots until the next ping or answer, and tasks would queue here while the new owner's
    /// slots are free. Limits change rarely, so this costs little.
    fn announce_limit(&mut self) {
        let slots = self.ledger.slots();
        if slots.limit == self.announced_limit {
            return;
        }
        self.announced_limit = slots.limit;
        for client in self.entries.all() {
            let sent = client.report_slots(slots);
            // The error can be ignored: a broken connection ends the session anyway.
            actix_rt::spawn(async move { drop(sent.await) });
        }
    }

    fn start_task(&mut self, endpoint: model::EndpointAddress, offer: model::TaskOffer) {
        self.next_traffic_thread = (self.next_traffic_thread + 1) % self.traffic.len();
        let traffic = &self.traffic[self.next_traffic_thread];
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
            .gauge(GaugeKind::ContractHead, self.contract_view.head().0 as f64);
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
        // The new owners have to count the tasks that this dispatcher still runs before they learn that they own the
        // endpoints.
        self.update_ownership();
        self.tick_handovers(ctx);
        self.tick(ctx);
        log::info!(
            "dispatcher: stopping, {} tasks running",
            self.ledger.running()
        );
    }
}

/// Derives the grant settings. `grant_term_ms` has to be the same for all dispatchers of a data centre: a new home
/// dispatcher waits for its own term until the previous home's grants have expired. Entries take the term from each
/// answer.
fn grant_settings(settings: &DispatcherSettings) -> GrantSettings {
    let term = settings.grant_term_ms.duration();
    GrantSettings {
        term,
        margin: term / 20,
        max_input_gap: settings.suspect_ms.duration(),
        ..GrantSettings::default()
    }
}

impl Actor for DispatcherControl {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(TICK_INTERVAL, Self::tick);
        ctx.run_interval(GRANT_TICK_INTERVAL, |control, _| {
            control.grants.tick(control.clock.now());
        });
        ctx.run_interval(HANDOVER_TICK_INTERVAL, Self::tick_handovers);
        self.read_vm_list(ctx);
        ctx.run_interval(self.settings.vm_list_ms.duration(), Self::read_vm_list);
        self.poll_contracts(ctx);
        ctx.run_interval(self.settings.refresh_ms.duration(), Self::poll_contracts);
    }
}

impl Handler<TaskEnded> for DispatcherControl {
    type Result = ();

    fn handle(&mut self, ended: TaskEnded, ctx: &mut Context<Self>) {
        self.ledger
            .on_task_ended(self.clock.now(), ended.attempt, ended.end);
        self.flush(ctx);
    }
}

impl Handler<StopRequest> for DispatcherControl {
    type Result = ();

    fn handle(&mut self, _: StopRequest, ctx: &mut Context<Self>) {
        self.begin_stop(ctx);
    }
}

impl Handler<StopQuery> for DispatcherControl {
    type Result = usize;

    fn handle(&mut self, _: StopQuery, ctx: &mut Context<Self>) -> usize {
        if self.ledger.is_drained() {
            // Reports that nothing is left, so that the new owners free the slots without waiting for the tasks'
            // deadlines.
            self.tick_handovers(ctx);
            return 0;
        }
        self.ledger.running().max(1)
    }
}
