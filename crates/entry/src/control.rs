//! The control state of an entry.

mod callers;
mod contract_updates;
mod event_recorder;
mod forwarding;
mod grants;
mod keys;
mod messages;
mod operators;
mod sessions;
mod status;

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use actix::{Actor, AsyncContext as _, Context, Handler};
use authority::{AuthorityAction, AuthorityEvent, AuthoritySettings, DispatcherKey, TaskAuthority};
use caller_api::SubmissionAnswer;
use contracts::{ContractEditor, ContractView, EditorSettings};
use decisions::{PlacementRule, PlacementSettings};
use kernel::ClockSource;
use membership::{CentreView, GrantHolder, GrantSettings};
use model::{
    CustomerId, DataCentreId, FastMap, IncarnationId, SessionId, SlotCounts, SubmissionId,
    SubmissionOutcome,
};
use peer::{PeerLink, SessionClient};
use platform::PlatformClient;
use request_keys::{BatcherSettings, KeyRecorder};
use settings::{EntrySettings, PlacementPolicy};
use telemetry::{GaugeKind, MetricSet};
use tokio::sync::oneshot;

use self::{event_recorder::EventRecorder, grants::UsableGrant};

pub(crate) use messages::{
    AttemptReport, ClaimRequest, ForwardedRequest, OutcomeRequest, SlotUpdate, StopQuery,
    StopRequest,
};

/// Interval of the control tick. It bounds how late an answer is sent after its deadline.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The control state of an entry: submissions, sessions and contracts. The actor runs on the control thread.
pub struct EntryControl {
    settings: EntrySettings,
    clock: Arc<dyn ClockSource>,
    authority: TaskAuthority,
    contracts: ContractView,
    /// When a dispatcher last confirmed that the loaded contracts are current.
    contracts_confirmed_at: Option<Instant>,
    grants: GrantHolder,
    centre_view: CentreView,
    /// The address of the dispatcher on this VM, see [`grants::initial_own_dispatcher`].
    own_dispatcher: SocketAddr,
    /// The limits last passed to the authority, for customers with work or with a grant.
    usable_grants: FastMap<CustomerId, UsableGrant>,
    /// Whether grants are to be requested at the next flush instead of the next tick.
    asks_due: bool,
    dispatchers: FastMap<DispatcherKey, DispatcherRecord>,
    dispatcher_keys: FastMap<SocketAddr, DispatcherKey>,
    next_dispatcher_key: u64,
    next_session: u64,
    last_tick: Instant,
    /// The callers that wait for the answer to an open submission, by its serial.
    waiters: FastMap<u64, Vec<oneshot::Sender<SubmissionAnswer>>>,
    platform: PlatformClient,
    events: EventRecorder,
    recorder: KeyRecorder,
    editor: Rc<ContractEditor>,
    ready: Arc<AtomicBool>,
    leaving: Arc<AtomicBool>,
}

/// A known dispatcher and the state of the connection to it.
struct DispatcherRecord {
    address: SocketAddr,
    data_centre: DataCentreId,
    link: LinkState,
    /// A slot update that arrived on a session before the answer to its opening.
    early_slots: Option<(SessionId, SlotCounts)>,
    /// The dispatcher's view of its data centre; `None` until it has sent one on the current session.
    centre_view: Option<CentreView>,
}

/// The state of the connection to a dispatcher.
enum LinkState {
    /// Not connected; the next attempt is due at this time.
    Idle(Instant),
    Connecting,
    Open(OpenLink),
}

struct OpenLink {
    link: PeerLink,
    client: SessionClient,
    session: SessionId,
    /// When the dispatcher last answered a call.
    last_heard: Instant,
    ping_in_flight: bool,
}

/// Parameters of [`EntryControl::new`].
pub(crate) struct ControlParts {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: Arc<dyn ClockSource>,
    pub(crate) incarnation: IncarnationId,
    pub(crate) platform: PlatformClient,
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) leaving: Arc<AtomicBool>,
    pub(crate) metrics: Arc<MetricSet>,
}

impl EntryControl {
    pub(crate) fn new(parts: ControlParts) -> Self {
        let settings = parts.settings;
        let placement = PlacementSettings {
            rule: placement_rule(settings.placement),
            ..PlacementSettings::default()
        };
        let authority_settings = AuthoritySettings {
            placement,
            max_open_submissions: settings.max_submissions,
            max_open_bytes: settings.max_open_bytes,
            max_kept_bytes: settings.max_kept_bytes,
            outcome_retention: settings.outcome_keep_ms.duration(),
            ..AuthoritySettings::default()
        };
        let data_centre = settings.data_centre.clone();
        let seed = parts.incarnation.0;
        let own_dispatcher = grants::initial_own_dispatcher(&settings);
        let now = parts.clock.now();
        let mut control = Self {
            authority: TaskAuthority::new(authority_settings, data_centre, parts.incarnation, seed),
            contracts: ContractView::default(),
            contracts_confirmed_at: None,
            grants: GrantHolder::new(own_dispatcher, parts.incarnation, GrantSettings::default()),
            centre_view: CentreView::default(),
            own_dispatcher,
            usable_grants: FastMap::default(),
            asks_due: false,
            dispatchers: FastMap::default(),
            dispatcher_keys: FastMap::default(),
            next_dispatcher_key: 1,
            next_session: 1,
            last_tick: now,
            waiters: FastMap::default(),
            events: EventRecorder::new(parts.metrics),
            recorder: KeyRecorder::new(parts.platform.clone(), BatcherSettings::default()),
            editor: Rc::new(ContractEditor::new(
                parts.platform.clone(),
                EditorSettings::default(),
                fastrand::Rng::new(),
            )),
            platform: parts.platform,
            ready: parts.ready,
            leaving: parts.leaving,
            clock: parts.clock,
            settings,
        };
        for peer in control.settings.dispatchers.clone() {
            control.add_dispatcher(peer.address, peer.data_centre);
        }
        control
    }

    /// Carries out the authority's pending actions. To be called at the end of each message handler.
    fn flush(&mut self, ctx: &mut Context<Self>) {
        if self.asks_due {
            self.send_asks(ctx);
        }
        for action in self.authority.take_actions() {
            match action {
                AuthorityAction::Offer {
                    dispatcher,
                    session,
                    batch,
                    offers,
                } => {
                    self.send_offers(ctx, dispatcher, session, batch, offers);
                }
                AuthorityAction::Withdraw {
                    dispatcher,
                    session,
                    after_batch,
                    attempts,
                } => {
                    self.send_withdrawal(ctx, dispatcher, session, after_batch, attempts);
                }
                AuthorityAction::Answer { id, outcome } => self.answer(id, outcome),
                AuthorityAction::Event(event) => self.record_event(event),
            }
        }
    }

    fn answer(&mut self, id: SubmissionId, outcome: Arc<SubmissionOutcome>) {
        self.events.record_answer(self.clock.now(), id, &outcome);
        let answer = self.own_answer(id, outcome);
        for waiter in self.waiters.remove(&id.serial).into_iter().flatten() {
            let _gone = waiter.send(answer.clone());
        }
    }

    fn record_event(&mut self, event: AuthorityEvent) {
        let now = self.clock.now();
        let dispatchers = &self.dispatchers;
        self.events.record(now, event, |key| {
            let address = dispatchers
                .get(&key)
                .map(|record| record.address.to_string());
            // An address contains only characters that are valid in a VM id.
            address
                .and_then(|text| text.parse().ok())
                .unwrap_or_else(|| self.settings.vm.clone())
        });
    }

    fn own_answer(&self, id: SubmissionId, outcome: Arc<SubmissionOutcome>) -> SubmissionAnswer {
        SubmissionAnswer {
            id: Some(id),
            job: self.authority.is_job(id.serial),
            outcome,
            version: self.authority.version(id.serial),
            stale: self.is_stale(),
        }
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        self.detect_own_pause(now);
        self.maintain_sessions(ctx, now);
        self.authority.tick(now);
        self.tick_grants(ctx, now);
        self.flush(ctx);
        self.update_readiness();
        self.set_gauges();
    }

    fn set_gauges(&self) {
        let metrics = self.events.metrics();
        let open = self
            .dispatchers
            .values()
            .filter(|record| matches!(record.link, LinkState::Open(_)));
        metrics.gauge(GaugeKind::Sessions, open.count() as f64);
        metrics.gauge(
            GaugeKind::OpenSubmissions,
            self.authority.open_submissions() as f64,
        );
        metrics.gauge(GaugeKind::GrantsHeld, f64::from(self.grants_held()));
        metrics.gauge(GaugeKind::ContractHead, self.contracts.head().0 as f64);
        if let Some(confirmed_at) = self.contracts_confirmed_at {
            let age = self.clock.now().saturating_duration_since(confirmed_at);
            metrics.gauge(GaugeKind::ContractAge, age.as_secs_f64());
        }
    }

    /// Sets the entry ready once contracts, slots and the customers' home dispatchers are known, unless a stop has
    /// begun. Losing all slots later does not take the entry out of the load balancer, so that its callers still get a
    /// refusal with a retry delay instead of no answer.
    fn update_readiness(&mut self) {
        let known = self.contracts.is_ready()
            && self.centre_view.revision > 0
            && self.authority.has_capacity();
        if known && !self.leaving.load(Ordering::Relaxed) {
            self.ready.store(true, Ordering::Relaxed);
        }
    }

    fn begin_stop(&mut self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.ready.store(false, Ordering::Relaxed);
        log::info!(
            "entry: stopping, {} submissions open",
            self.authority.open_submissions()
        );
    }
}

fn placement_rule(policy: PlacementPolicy) -> PlacementRule {
    match policy {
        PlacementPolicy::FreeSlots => PlacementRule::FreeSlots,
        PlacementPolicy::RandomOwner => PlacementRule::RandomOwner,
        PlacementPolicy::TwoChoices => PlacementRule::TwoChoices,
    }
}

impl Actor for EntryControl {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(TICK_INTERVAL, Self::tick);
        self.read_vm_list(ctx);
        // VMs come and go within minutes, so a read per second is often enough, and one per second and entry is a small
        // load for the platform.
        ctx.run_interval(Duration::from_secs(1), Self::read_vm_list);
    }
}

impl Handler<StopRequest> for EntryControl {
    type Result = ();

    fn handle(&mut self, _: StopRequest, _: &mut Context<Self>) {
        self.begin_stop();
    }
}

impl Handler<StopQuery> for EntryControl {
    type Result = usize;

    fn handle(&mut self, query: StopQuery, ctx: &mut Context<Self>) -> usize {
        let open = self.authority.open_submissions();
        if query.answer_open && open > 0 {
            self.authority.stop(self.clock.now());
            self.flush(ctx);
        }
        open
    }
}
