//! The routing configuration, which determines the route and queue of each request.

use std::{fmt, sync::Arc, time::Duration};

use crate::ServiceId;

/// The version of a configuration. It only increases, in steps of varying size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableVersion(pub u64);

impl fmt::Display for TableVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One route and its queue: the requests to a host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// The route's name.
    pub name: Arc<str>,
    /// The host of the requests.
    pub host: Arc<str>,
    /// The prefix of the path.
    pub prefix: Arc<str>,
    /// The service whose workers run the tasks.
    pub service: ServiceId,
    /// The priority; 0 comes first.
    pub priority: u32,
    /// The number of failed runs of one task after which its job has failed.
    pub attempts: u32,
    /// The latency objective is the critical path times `stretch`, plus `goal`.
    pub stretch: f64,
    /// The constant part of the latency objective; see `stretch`.
    pub goal: Duration,
    /// The longest time that a request may take, if the route sets one.
    pub timeout: Option<Duration>,
    /// Whether tasks may run only where an adviser allows it.
    pub advised: bool,
}

/// A service of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// The id of the service.
    pub id: ServiceId,
    /// The path of its workers' health check.
    pub health_path: Arc<str>,
}

/// Limits on the size of a request and on the times of its connection.
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

/// A whole routing configuration.
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

/// A request's route and the rest of its path after the prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteMatch<'a> {
    /// The route.
    pub rule: &'a RouteRule,
    /// The path after the prefix.
    pub rest: &'a str,
}

impl RouteTable {
    /// Whether the configuration names a service, in the list of services or in a route.
    pub fn references_service(&self, service: &ServiceId) -> bool {
        let is_listed = self.services.iter().any(|rule| rule.id == *service);
        is_listed || self.routes.iter().any(|rule| rule.service == *service)
    }

    /// The route with the longest matching prefix among those of the host.
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
