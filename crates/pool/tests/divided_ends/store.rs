//! The rows of kept jobs in a store that carries out some writes late or never, and the writes without an answer.

use std::{collections::BTreeMap, time::Instant};

use fastrand::Rng;
use jobs::{FenceToken, JobId, KeptRow};
use pool::{ForeignEnd, FoundJob, KeptSnapshot, KeptWrite};

/// What the store does to writes. Shares are of all writes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum StoreTrouble {
    None,
    /// Each call takes 150 to 450 ms.
    Slow,
    /// A share of the writes is carried out 1 to 6 s later, and not answered.
    Late(f64),
    /// A share of the writes is carried out at once, and not answered.
    Lost(f64),
    /// A share of the writes is neither carried out nor answered.
    Dropped(f64),
}

/// How a write goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WriteFate {
    /// When it is carried out, if ever, in milliseconds from its sending.
    pub(super) carried_out: Option<u64>,
    /// How long its answer takes from then on, if there is one.
    pub(super) answer: Option<u64>,
}

impl WriteFate {
    /// Neither carried out nor answered.
    pub(super) const LOST: Self = Self {
        carried_out: None,
        answer: None,
    };
}

/// Who waits for a write.
#[derive(Clone, Debug)]
pub(super) enum WriteClient {
    /// The owner of the job.
    JobOwner { owner: usize, fence: FenceToken },
    /// The owner of workers that list ends of another pool's job.
    WorkerOwner {
        owner: usize,
        fence: FenceToken,
        ends: Vec<ForeignEnd>,
    },
}

impl WriteClient {
    pub(super) fn owner(&self) -> usize {
        match self {
            Self::JobOwner { owner, .. } | Self::WorkerOwner { owner, .. } => *owner,
        }
    }
}

/// A write without an answer.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    pub(super) client: WriteClient,
    pub(super) order: KeptWrite,
}

pub(super) struct SimulatedStore {
    rows: BTreeMap<JobId, (KeptRow, u64)>,
    version: u64,
    pub(super) trouble: StoreTrouble,
}

impl Default for SimulatedStore {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
            version: 0,
            trouble: StoreTrouble::None,
        }
    }
}

impl SimulatedStore {
    /// Takes the next version, as a claim does.
    pub(super) fn next_version(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    /// How long a call takes, in milliseconds.
    pub(super) fn call_time(&self, rng: &mut Rng) -> u64 {
        match self.trouble {
            StoreTrouble::Slow => rng.u64(150..450),
            _ => rng.u64(2..12),
        }
    }

    pub(super) fn draw_fate(&self, rng: &mut Rng) -> WriteFate {
        let time = self.call_time(rng);
        let answered = WriteFate {
            carried_out: Some(time),
            answer: Some(1),
        };
        let (share, carried_out) = match self.trouble {
            StoreTrouble::None | StoreTrouble::Slow => return answered,
            StoreTrouble::Late(share) => (share, Some(rng.u64(1_000..6_000))),
            StoreTrouble::Lost(share) => (share, Some(time)),
            StoreTrouble::Dropped(share) => (share, None),
        };
        match rng.f64() < share {
            true => WriteFate {
                carried_out,
                answer: None,
            },
            false => answered,
        }
    }

    /// Carries out a write if its condition holds. Returns the version of the row then.
    pub(super) fn carry_out(&mut self, order: &KeptWrite) -> Option<u64> {
        let current = self.rows.get(&order.job).map(|(_, version)| *version);
        if current != order.expected_version {
            return None;
        }
        let version = self.next_version();
        self.rows.insert(order.job, (order.row.clone(), version));
        Some(version)
    }

    pub(super) fn find(&self, job: JobId) -> Option<FoundJob> {
        let (row, version) = self.rows.get(&job)?.clone();
        Some(FoundJob { job, row, version })
    }

    /// The open jobs now, for a read that began at `began`.
    pub(super) fn snapshot(&self, began: Instant) -> KeptSnapshot {
        let found = self.rows.keys().filter_map(|job| self.find(*job));
        KeptSnapshot {
            began,
            version: self.version,
            jobs: found.filter(|found| !found.row.state.is_final()).collect(),
            unreadable: Vec::new(),
        }
    }

    pub(super) fn rows(&self) -> impl Iterator<Item = &KeptRow> {
        self.rows.values().map(|(row, _)| row)
    }
}
