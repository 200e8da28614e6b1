//! Names and addresses of the parts of a fleet.

use std::net::{IpAddr, Ipv4Addr};

/// Nodes and workers are assigned to these data centres in turn.
const DATA_CENTRES: [&str; 2] = ["east", "west"];

/// The number of workers in a rack.
const RACK_SIZE: usize = 3;

/// All data centres.
pub(super) fn data_centres() -> impl Iterator<Item = &'static str> {
    DATA_CENTRES.into_iter()
}

pub(super) fn data_centre(number: usize) -> &'static str {
    DATA_CENTRES[number % DATA_CENTRES.len()]
}

/// Returns the rack of a worker, counted across the data centres.
fn rack(worker: usize) -> usize {
    let centres = DATA_CENTRES.len();
    worker / centres / RACK_SIZE * centres + worker % centres
}

/// Returns the label by which a worker names its rack.
pub(super) fn rack_label(worker: usize) -> String {
    format!("r1-{}", rack(worker))
}

/// Returns the workers of the same rack as this one, given the number of all workers.
pub(crate) fn rack_workers(worker: usize, count: usize) -> impl Iterator<Item = usize> {
    (0..count).filter(move |other| rack(*other) == rack(worker))
}

pub(super) fn node_name(number: usize) -> String {
    format!("node-{number}")
}

/// Returns the id under which a worker instance, given by its number, is listed in the store.
pub(super) fn instance_id(instance: usize) -> String {
    format!("i-{instance}")
}

pub(super) fn store_link(node: usize) -> String {
    format!("store {}", node_name(node))
}

pub(super) fn worker_link(instance: usize, node: usize) -> String {
    format!("{} {}", instance_id(instance), node_name(node))
}

/// Returns a loopback address of the node's own, derived from the process id, so that the ports of concurrent soaks
/// do not collide.
pub(super) fn node_ip(number: usize) -> IpAddr {
    let run = std::process::id();
    // The casts keep the lowest byte on purpose.
    let (high, low) = ((run >> 8) as u8, run as u8);
    let host = u8::try_from(number + 1).unwrap_or(u8::MAX);
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, host))
}
