//! What a VM can carry, and into how many pools a data centre's workers are divided so that their owners can.
//!
//! Load it is made for: VMs whose processor or link is small against the work of a data centre. Harm prevented: with
//! pools of one size everywhere a single owner's link fills while those beside it stand empty, and hardly any job is served
//! though the links together carry several times as many.

use crate::{rows::MemberRow, view::LinkRate};

/// Processor time of a run at its owner, its entry's part and idle cost included, in core-seconds.
const RUN_CORE_SECONDS: f64 = 0.000_4;

/// Bytes of a run on its owner's link, in the busier direction: a start, a look, its part of the job that came, and of heartbeats
/// and the store's feeds.
const RUN_LINK_BYTES: f64 = 1_500.0;

/// Runs that a worker begins a second, before any load is seen.
const WORKER_RUNS_PER_SECOND: f64 = 10.0;

/// The share of what a VM can carry that its pool may take as planned. Bursts are nearly twofold, and a VM serves
/// customers beside.
const PLANNED_LOAD_SHARE: f64 = 0.4;

/// The share of the planned work that suffices if the next owner would be weak: its small pool would take the places of wide
/// jobs from all.
const SUFFICIENT_LOAD_SHARE: f64 = 0.8;

/// The share of their capacity up to which the owners of a division may be planned to work once it stands.
const OUTGROWN_LOAD_SHARE: f64 = 0.8;

/// An owner is weak below this share of what the strongest carries.
const SMALL_VM_SHARE: f64 = 0.5;

/// The least share of a processor and of a link that are taken for true, in cores and bytes a second.
const MIN_CORES: f64 = 0.01;
const MIN_LINK_BYTES_PER_SECOND: f64 = 1_000.0;

/// The most workers of one pool. Larger ones place hardly better, and a lost owner leaves as many workers without one.
const MAX_POOL_WORKERS: usize = 64;

/// What a VM can carry, in runs a second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct VmCapacity(pub f64);

impl VmCapacity {
    /// That of a VM with a processor share in cores and a link.
    pub fn new(cores: f64, link: LinkRate) -> Self {
        let by_cores = cores.max(MIN_CORES) / RUN_CORE_SECONDS;
        let by_link = link.0.max(MIN_LINK_BYTES_PER_SECOND) / RUN_LINK_BYTES;
        Self(by_cores.min(by_link))
    }
}

impl MemberRow {
    /// What its VM can carry.
    pub fn capacity(&self) -> VmCapacity {
        VmCapacity::new(self.cores, self.link)
    }
}

/// Into how many pools so many workers are divided among VMs: the fewest whose owners, the strongest VMs, together carry
/// nearly all. One for each VM if no number suffices.
///
/// Together, since a strong VM may own several. Asked that the weakest owner carry an equal share, three strong VMs that just
/// miss it made way for a dozen weak ones, whose small pools have no place for wide jobs of tasks half a worker wide.
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

/// Whether workers have become more than the owners of so many pools can carry.
///
/// Load it is made for: workers are added by a quarter while a division stands. Harm prevented: dividing anew moves workers
/// between owners, and lets go of all jobs of the data centre, some hundreds at once; a plan that would only be better for
/// the new number of workers is not worth that.
pub fn is_outgrown(workers: usize, vms: &[VmCapacity], groups: u32) -> bool {
    let mut vms = vms.to_vec();
    vms.sort_by(|a, b| b.0.total_cmp(&a.0));
    let owners = vms.iter().take(groups as usize);
    let carried: f64 = owners.map(|vm| vm.0).sum();
    workers as f64 * WORKER_RUNS_PER_SECOND > carried * OUTGROWN_LOAD_SHARE
}
