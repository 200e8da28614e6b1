//! The capacity of VMs, and the number of pools into which a data centre's workers are divided so that the
//! owners can carry them.
//!
//! Designed for VMs whose processor or link is small compared with the load of a data centre. With pools of
//! one size everywhere, the link of a single owner fills up while neighbouring links are idle, and hardly any
//! job is served although the links together carry several times the load.

use crate::{rows::MemberRow, view::LinkRate};

/// The processor time of a run at its owner in core-seconds, including the entry's part and idle cost.
const RUN_CORE_SECONDS: f64 = 0.000_4;

/// The bytes of a run on its owner's link in the busier direction: a start, a poll, its part of the job that
/// came in, and its part of heartbeats and the store's feeds.
const RUN_LINK_BYTES: f64 = 1_500.0;

/// The runs that a worker is expected to start per second, before any load is seen.
const WORKER_RUNS_PER_SECOND: f64 = 10.0;

/// The share of a VM's capacity that the planned load of its pool may take. Bursts are nearly twice the mean,
/// and the VM also serves customers.
const PLANNED_LOAD_SHARE: f64 = 0.4;

/// The share of the planned load that suffices if the next owner would be a small VM, whose small pool would
/// reduce the slots for wide jobs in all pools.
const SUFFICIENT_LOAD_SHARE: f64 = 0.8;

/// The share of their capacity up to which the owners of an existing division may be loaded.
const OUTGROWN_LOAD_SHARE: f64 = 0.8;

/// A VM is small below this share of the largest VM's capacity.
const SMALL_VM_SHARE: f64 = 0.5;

/// The lower bounds of a VM's processor share (in cores) and link rate (in bytes a second); lower values are
/// raised to them.
const MIN_CORES: f64 = 0.01;
const MIN_LINK_BYTES_PER_SECOND: f64 = 1_000.0;

/// The most workers of a pool. Larger pools hardly improve placement, and the loss of their owner leaves that
/// many workers without one.
const MAX_POOL_WORKERS: usize = 64;

/// The load that a VM can carry, in runs a second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct VmCapacity(pub f64);

impl VmCapacity {
    /// The capacity of a VM with a processor share in cores and a link.
    pub fn new(cores: f64, link: LinkRate) -> Self {
        let by_cores = cores.max(MIN_CORES) / RUN_CORE_SECONDS;
        let by_link = link.0.max(MIN_LINK_BYTES_PER_SECOND) / RUN_LINK_BYTES;
        Self(by_cores.min(by_link))
    }
}

impl MemberRow {
    /// The capacity of the member's VM.
    pub fn capacity(&self) -> VmCapacity {
        VmCapacity::new(self.cores, self.link)
    }
}

/// The number of pools into which `workers` are divided: the fewest whose owners, the largest VMs, together
/// carry nearly all of the planned load, or one for each VM if no number suffices.
///
/// Capacities are added up because a large VM may own several pools. When the smallest owner had to carry an
/// equal share, three large VMs that just missed it were replaced by a dozen small ones, whose small pools
/// have too little capacity for wide jobs of tasks half a worker wide.
pub fn plan_groups(workers: usize, vms: &[VmCapacity]) -> u32 {
    let mut vms = vms.to_vec();
    vms.sort_by(|a, b| b.0.total_cmp(&a.0));
    let min_groups = workers.div_ceil(MAX_POOL_WORKERS).max(1);
    let load = workers as f64 * WORKER_RUNS_PER_SECOND;
    let largest = vms.first().map_or(0.0, |vm| vm.0);
    let mut planned = 0;
    let mut carried = 0.0;
    for vm in &vms {
        let is_small = vm.0 < largest * SMALL_VM_SHARE;
        if carried >= load || (is_small && carried >= load * SUFFICIENT_LOAD_SHARE) {
            break;
        }
        planned += 1;
        carried += vm.0 * PLANNED_LOAD_SHARE;
    }
    let planned = planned.max(min_groups);
    u32::try_from(planned.min(workers.max(1))).unwrap_or(u32::MAX)
}

/// Whether there are more workers than the owners of `groups` pools can carry.
///
/// Designed for a quarter more workers while a division exists. Dividing anew moves workers between owners
/// and abandons all jobs of the data centre, some hundreds at once, so it is not worth a plan that would only
/// be better for the new number of workers.
pub fn is_outgrown(workers: usize, vms: &[VmCapacity], groups: u32) -> bool {
    let mut vms = vms.to_vec();
    vms.sort_by(|a, b| b.0.total_cmp(&a.0));
    let owners = vms.iter().take(groups as usize);
    let carried: f64 = owners.map(|vm| vm.0).sum();
    workers as f64 * WORKER_RUNS_PER_SECOND > carried * OUTGROWN_LOAD_SHARE
}
