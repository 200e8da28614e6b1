//! Hands what a pool's owner has learned of run times to the pool's next owner, by the member rows.
//!
//! A new owner that knows nothing predicts by the customers' estimates alone and takes each long task for a usual one
//! until it has seen some dozens of runs of the route. Rows outlive their processes, so the next owner needs no answer
//! from the former one.

use claims::{MemberRow, NodeId, PublishedRunTimes};
use jobs::PoolId;
use model::{DataCentreId, FastMap, FastSet, RunTimePolicy};
use pool::{RouteRunTimes, WorkerPool};
use telemetry::{EventKind, EventLine};

use crate::state::NodeState;

/// The maximum number of routes that a row publishes and a reader takes from a row.
const MAX_ROUTES: usize = 32;

/// The maximum number of processes of which distributions are kept, at some 4 KB each.
const MAX_NODES: usize = 256;

/// What other processes have published.
#[derive(Debug, Default)]
pub(crate) struct RunTimeNews {
    nodes: FastMap<NodeId, NodeNews>,
    /// The processes whose published distributions were found unreadable.
    unreadable: FastSet<NodeId>,
}

#[derive(Debug)]
struct NodeNews {
    data_centre: DataCentreId,
    routes: Vec<RouteRunTimes>,
}

fn is_used(state: &NodeState) -> bool {
    state.pool_settings.policies.run_times == RunTimePolicy::Distribution
}

/// Returns what the pools of this process have learned, in the form in which the member row publishes it.
pub(crate) fn published(state: &NodeState) -> Vec<PublishedRunTimes> {
    let mut published: Vec<PublishedRunTimes> = Vec::new();
    if !is_used(state) {
        return published;
    }
    for owned in state.pools.borrow().values() {
        for learned in owned.pool.published_run_times() {
            let is_known = published.iter().any(|known| known.route == learned.route);
            if is_known || published.len() == MAX_ROUTES {
                continue;
            }
            published.push(PublishedRunTimes {
                route: learned.route,
                ratios: learned.ratios,
            });
        }
    }
    published
}

/// Keeps what a member's row publishes. Unreadable distributions are ignored and logged once per process.
pub(crate) fn import(state: &NodeState, member: &MemberRow, row: &[u8]) {
    if !is_used(state) {
        return;
    }
    let (routes, error) = match PublishedRunTimes::read(row) {
        Ok(published) => readable_routes(published),
        Err(error) => (Vec::new(), Some(error.to_string())),
    };
    let mut news = state.run_time_news.borrow_mut();
    if let Some(error) = error {
        if news.unreadable.len() < MAX_NODES && news.unreadable.insert(member.node.clone()) {
            let line = EventLine::new("run_times_unreadable").text("node", &member.node);
            state.log(EventKind::Important, line.text("error", &error));
        }
    }
    // A process that has just restarted has nothing yet, but what it published before is still the best known.
    let has_place = news.nodes.len() < MAX_NODES || news.nodes.contains_key(&member.node);
    if !routes.is_empty() && has_place {
        let data_centre = member.data_centre.clone();
        let learned = NodeNews {
            data_centre,
            routes,
        };
        news.nodes.insert(member.node.clone(), learned);
    }
}

/// The distributions that can be adopted, and the error of the last one that cannot.
fn readable_routes(published: Vec<PublishedRunTimes>) -> (Vec<RouteRunTimes>, Option<String>) {
    let (mut routes, mut error) = (Vec::new(), None);
    if published.len() > MAX_ROUTES {
        return (routes, Some(format!("{} routes", published.len())));
    }
    for learned in published {
        let route = RouteRunTimes {
            route: learned.route,
            ratios: learned.ratios,
        };
        match route.check() {
            Ok(()) => routes.push(route),
            Err(invalid) => error = Some(invalid.to_string()),
        }
    }
    (routes, error)
}

/// Gives a pool that was just taken over what its former owner has published or, for routes that are missing there, what
/// other processes of its data centre have.
pub(crate) fn adopt(
    state: &NodeState,
    id: &PoolId,
    former: Option<&NodeId>,
    pool: &mut WorkerPool,
) {
    if !is_used(state) {
        return;
    }
    let news = state.run_time_news.borrow();
    let mut adopted: Vec<RouteRunTimes> = Vec::new();
    let of_former = former.and_then(|former| news.nodes.get(former));
    let from_former = of_former.map_or(0, |former| former.routes.len());
    let near = news.nodes.values();
    let near = near.filter(|known| known.data_centre == id.data_centre);
    for learned in of_former.into_iter().chain(near) {
        for route in &learned.routes {
            if !adopted.iter().any(|known| known.route == route.route) {
                adopted.push(route.clone());
            }
        }
    }
    adopted.truncate(MAX_ROUTES);
    pool.adopt_run_times(&adopted);
    let line = EventLine::new("run_times_adopted")
        .text("pool", id)
        .number("routes", adopted.len() as u64)
        .number("from_former", from_former as u64);
    state.log(EventKind::Important, line);
}
