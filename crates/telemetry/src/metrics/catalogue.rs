//! The table of all metrics. The instruments and the docs page are made from it.

use std::fmt::Write as _;

/// The type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricType {
    /// Never decreases; starts at 0 with the process.
    Counter,
    /// May rise and fall.
    Gauge,
    /// Counts durations by bucket, in seconds.
    Histogram,
}

/// The description of one metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricSpec {
    /// The name in the Prometheus text.
    pub name: &'static str,
    /// The type of the metric.
    pub kind: MetricType,
    /// The unit of the values; `1` for a count.
    pub unit: &'static str,
    /// The name of the label, if the metric has one.
    pub label: Option<&'static str>,
    /// The help text.
    pub meaning: &'static str,
}

/// Every metric, in the order of the docs page.
pub const CATALOGUE: &[MetricSpec] = &[
    labelled(
        SUBMISSIONS,
        "customer",
        "Submissions taken in, by customer; customers beyond the bound share `other`",
    ),
    labelled(
        ANSWERS,
        "outcome",
        "Answers given, by outcome: complete, failed, refused, unknown",
    ),
    labelled(
        REFUSALS,
        "reason",
        "Submissions refused; nothing of them ran",
    ),
    labelled(
        RETRIES,
        "reason",
        "Tasks placed again after a definite not-run",
    ),
    labelled(FAILURES, "reason", "Submissions that failed as a whole"),
    labelled(
        UNKNOWNS,
        "reason",
        "Submissions answered with outcome unknown",
    ),
    CounterKind::AnswersUnderOldContracts.spec(),
    CounterKind::SecondArrivals.spec(),
    CounterKind::TaskOffers.spec(),
    CounterKind::Messages.spec(),
    CounterKind::WastedMessages.spec(),
    CounterKind::GrantAsks.spec(),
    CounterKind::PlatformErrors.spec(),
    CounterKind::ReadBacks.spec(),
    CounterKind::OwnerChanges.spec(),
    CounterKind::SessionsLost.spec(),
    CounterKind::LogLinesSuppressed.spec(),
    CounterKind::ClientsRefused.spec(),
    CounterKind::ClientsCutOff.spec(),
    TimeKind::Response.spec(),
    TimeKind::QueueWait.spec(),
    TimeKind::RunTime.spec(),
    TimeKind::KeyCommit.spec(),
    GaugeKind::OpenSubmissions.spec(),
    GaugeKind::QueueLength.spec(),
    GaugeKind::SlotsRunning.spec(),
    GaugeKind::SlotsLimit.spec(),
    GaugeKind::ContractHead.spec(),
    GaugeKind::ContractAge.spec(),
    GaugeKind::OwnedEndpoints.spec(),
    GaugeKind::GrantsHeld.spec(),
    GaugeKind::Sessions.spec(),
];

pub(super) const SUBMISSIONS: &str = "cairnpaddle_submissions_total";
pub(super) const ANSWERS: &str = "cairnpaddle_answers_total";
pub(super) const REFUSALS: &str = "cairnpaddle_refusals_total";
pub(super) const RETRIES: &str = "cairnpaddle_retries_total";
pub(super) const FAILURES: &str = "cairnpaddle_failures_total";
pub(super) const UNKNOWNS: &str = "cairnpaddle_unknowns_total";

macro_rules! metric_kinds {
    ($(#[$doc:meta])* $name:ident, $kind:expr, { $($variant:ident => $metric:literal, $unit:literal, $meaning:literal;)+ }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $name {
            $(#[doc = $meaning] #[doc = "."] $variant,)+
        }

        impl $name {
            /// Every kind in order of declaration, so that `ALL[kind as usize] == kind`.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// The description of the metric.
            pub const fn spec(self) -> MetricSpec {
                match self {
                    $(Self::$variant => MetricSpec {
                        name: $metric, kind: $kind, unit: $unit, label: None, meaning: $meaning,
                    },)+
                }
            }
        }
    };
}

metric_kinds! {
    /// Counters without a label.
    CounterKind, MetricType::Counter, {
        AnswersUnderOldContracts => "cairnpaddle_answers_under_old_contracts_total", "1",
            "Answers marked as given under contracts older than the freshness bound";
        SecondArrivals => "cairnpaddle_second_arrivals_total", "1",
            "Requests that came again with a known ticket or idempotency key and were not run again";
        TaskOffers => "cairnpaddle_task_offers_total", "1",
            "Tasks offered to dispatchers, retries included";
        Messages => "cairnpaddle_messages_total", "1",
            "Messages about tasks between processes, batches counted once";
        WastedMessages => "cairnpaddle_wasted_messages_total", "1",
            "Messages about tasks that led to no start: offers turned away, withdrawals, claims that came late";
        GrantAsks => "cairnpaddle_grant_asks_total", "1",
            "Messages to homes of customers that ask for grants, all customers of a home in one";
        PlatformErrors => "cairnpaddle_platform_errors_total", "1",
            "Calls of the platform that failed or gave no answer";
        ReadBacks => "cairnpaddle_read_backs_total", "1",
            "Writes whose answer was lost and whose effect was read back";
        OwnerChanges => "cairnpaddle_owner_changes_total", "1",
            "Endpoints that this dispatcher took over or gave up";
        SessionsLost => "cairnpaddle_sessions_lost_total", "1",
            "Sessions between entry and dispatcher that ended without a goodbye";
        LogLinesSuppressed => "cairnpaddle_log_lines_suppressed_total", "1",
            "Log lines left out because their place in the code wrote too many";
        ClientsRefused => "cairnpaddle_clients_refused_total", "1",
            "Connections and requests refused to stay within the limits on memory and descriptors";
        ClientsCutOff => "cairnpaddle_clients_cut_off_total", "1",
            "Connections closed because they stalled, gave way to others or took too long";
    }
}

metric_kinds! {
    /// Histograms of durations.
    TimeKind, MetricType::Histogram, {
        Response => "cairnpaddle_response_seconds", "s",
            "From the acceptance of a submission to its answer";
        QueueWait => "cairnpaddle_queue_wait_seconds", "s",
            "From the queueing of a task at a dispatcher to its claim";
        RunTime => "cairnpaddle_run_time_seconds", "s",
            "From the start of a task at an endpoint to its end";
        KeyCommit => "cairnpaddle_key_commit_seconds", "s",
            "From the arrival of an idempotency key to its record in the platform's table";
    }
}

metric_kinds! {
    /// Gauges.
    GaugeKind, MetricType::Gauge, {
        OpenSubmissions => "cairnpaddle_open_submissions", "1",
            "Submissions in work at this entry";
        QueueLength => "cairnpaddle_queue_length", "1",
            "Tasks that wait for a slot at this dispatcher";
        SlotsRunning => "cairnpaddle_slots_running", "1",
            "Slots of owned endpoints that run a task";
        SlotsLimit => "cairnpaddle_slots_limit", "1",
            "Slots of owned endpoints that may be used now";
        ContractHead => "cairnpaddle_contract_head", "1",
            "The head number of the contracts in force here; equal everywhere once a change has taken hold";
        ContractAge => "cairnpaddle_contract_age_seconds", "s",
            "The time since the contracts were last known to be the newest";
        OwnedEndpoints => "cairnpaddle_owned_endpoints", "1",
            "Endpoints that this dispatcher owns";
        GrantsHeld => "cairnpaddle_grants_held", "1",
            "Tasks that grants in force let this process run at once, over all customers";
        Sessions => "cairnpaddle_sessions", "1",
            "Open sessions between entry and dispatcher";
    }
}

/// Formats the catalogue as a Markdown table, the body of `docs/METRICS.md`.
pub fn metric_page() -> String {
    let mut page =
        String::from("| name | kind | unit | label | meaning |\n|---|---|---|---|---|\n");
    for spec in CATALOGUE {
        let kind = match spec.kind {
            MetricType::Counter => "counter",
            MetricType::Gauge => "gauge",
            MetricType::Histogram => "histogram",
        };
        let label = spec.label.unwrap_or("");
        // Writing to a string cannot fail.
        let _ = writeln!(
            page,
            "| `{}` | {kind} | {} | {label} | {} |",
            spec.name, spec.unit, spec.meaning
        );
    }
    page
}

const fn labelled(name: &'static str, label: &'static str, meaning: &'static str) -> MetricSpec {
    MetricSpec {
        name,
        kind: MetricType::Counter,
        unit: "1",
        label: Some(label),
        meaning,
    }
}
