//! Maps log targets to the parts of the system.

use settings::LogPart;

/// The parts of the workspace's crates, by the crate name that a log target starts with.
pub(super) const CRATE_PARTS: &[(&str, LogPart)] = &[
    ("authority", LogPart::Entry),
    ("cairnctl", LogPart::Ctl),
    ("cairnpaddle", LogPart::Process),
    ("caller_api", LogPart::Caller),
    ("claims", LogPart::Membership),
    ("client_limits", LogPart::Caller),
    ("command_line", LogPart::Process),
    ("contracts", LogPart::Contracts),
    ("decisions", LogPart::Entry),
    ("demo", LogPart::Ctl),
    ("load", LogPart::Ctl),
    ("dispatcher", LogPart::Dispatcher),
    ("endpoint_client", LogPart::Endpoint),
    ("entry", LogPart::Entry),
    ("http_server", LogPart::Caller),
    ("jobs", LogPart::Dispatcher),
    ("kernel", LogPart::Process),
    ("ledger", LogPart::Dispatcher),
    ("membership", LogPart::Membership),
    ("node", LogPart::Process),
    ("peer", LogPart::Peer),
    ("platform", LogPart::Platform),
    ("pool", LogPart::Dispatcher),
    ("request_keys", LogPart::Keys),
    ("settings", LogPart::Process),
    ("stand_ins", LogPart::StandIn),
    ("telemetry", LogPart::Process),
];

/// The part of a log target, which is a module path or the name of a part.
pub fn part_of(target: &str) -> LogPart {
    let first = target.split("::").next().unwrap_or(target);
    for (name, part) in CRATE_PARTS {
        if *name == first {
            return *part;
        }
    }
    first.parse().unwrap_or(LogPart::Library)
}
