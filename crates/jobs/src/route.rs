//! The configuration: which queue a request belongs to.

use std::{fmt, sync::Arc, time::Duration};

use crate::ServiceId;

/// The version of a configuration. It only rises, in uneven steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableVersion(pub u64);

impl fmt::Display for TableVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One queue: the requests of a host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// The route's name.
    pub name: Arc<str>,
    /// The host that requests name.
    pub host: Arc<str>,
    /// What the path begins with.
    pub prefix: Arc<str>,
    /// Whose workers run the tasks.
    pub service: ServiceId,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs of one task after which its job has failed.
    pub attempts: u32,
    /// The latency objective is this many times the longest chain of work, and `goal` more.
    pub stretch: f64,
    /// See `stretch`.
    pub goal: Duration,
    /// The longest time that a request may take, if the route sets one.
    pub timeout: Option<Duration>,
    /// Whether tasks may run only where an adviser allows it.
    pub advised: bool,
}

/// A service of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// The service.
    pub id: ServiceId,
    /// The path of its workers' health page.
    pub health_path: Arc<str>,
}

/// What a request may hold and how long its connection may idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// The longest body, in bytes.
    pub body_bytes: usize,
    /// The longest head, in bytes.
    pub head_bytes: usize,
    /// The longest time that a head may take to arrive.
    pub head_time: Duration,
    /// The longest time without a request on an open connection.
    pub idle_time: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            body_bytes: 256 * 1024,
            head_bytes: 16 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Its version.
    pub version: TableVersion,
    /// The routes.
    pub routes: Vec<RouteRule>,
    /// The services.
    pub services: Vec<ServiceRule>,
    /// Limits on requests.
    pub limits: RequestLimits,
}

/// A request's route and what its path holds after the prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteMatch<'a> {
    /// The route.
    pub rule: &'a RouteRule,
    /// The rest of the path.
    pub rest: &'a str,
}

impl RouteTable {
    /// Whether a service is named here, by itself or as the one of a route.
    pub fn references_service(&self, service: &ServiceId) -> bool {
        let is_listed = self.services.iter().any(|rule| rule.id == *service);
        is_listed || self.routes.iter().any(|rule| rule.service == *service)
    }

    /// The route with the longest prefix that the path begins with, among those of the host.
    pub fn find<'a>(&'a self, host: &str, path: &'a str) -> Option<RouteMatch<'a>> {
        let mut best: Option<RouteMatch<'a>> = None;
        for rule in &self.routes {
            if &*rule.host != host {
                continue;
            }
            let Some(rest) = path.strip_prefix(&*rule.prefix) else {
                continue;
            };
            if best.is_none_or(|best| rest.len() < best.rest.len()) {
                best = Some(RouteMatch { rule, rest });
            }
        }
        best
    }
}
