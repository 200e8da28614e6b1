//! Which processes read the store's tables, and how often processes write their own row.
//!
//! Designed for hundreds of processes and thousands of workers, each with a row that changes every few
//! seconds. If every process read all rows, reads of member rows would grow with the square of the fleet and
//! reads of worker rows with the product of processes and workers. The store's traffic would become the
//! largest cost of a large fleet, although most processes own no pool and need none of these rows.
//!
//! So only owners, processes that are about to become owners and a few standbys in each data centre know the
//! workers, and one owner of each data centre reads their list. The others learn from its heartbeats up to
//! which version it has read, and a digest of the list that heartbeats of workers do not change. While that
//! digest matches their own, their list is as fresh as its reading. If it does not match, or nothing is heard
//! for a moment, they read the list themselves, so a reader that is lost, cut off, frozen or refused by the
//! store costs no more than a few additional reads.

use std::time::{Duration, Instant};

use model::DataCentreId;
use xxhash_rust::xxh3::xxh3_64;

use super::ClaimController;
use crate::rows::MemberRow;

/// Processes without pools that stand by in each data centre as its next owners: two may be lost at once.
const STANDBY_COUNT: usize = 2;

/// How long after the start of a process its data centre may lack a division of the workers into groups
/// before more processes than the standbys read them: longer than it takes until all workers of a large fleet
/// are listed.
const GROUPING_TIME: Duration = Duration::from_millis(5_000);

/// The interval at which one more process each then starts to read the workers: the store may refuse those
/// before it.
const EXTRA_STANDBY_INTERVAL: Duration = Duration::from_millis(200);

/// The number of other members for which the refresh interval of a row grows by its shortest value. With more
/// members, a row that no process needs soon is written less often, so that the total rate of writes stays
/// the same.
const MEMBERS_PER_REFRESH_INTERVAL: u32 = 8;

/// The longest interval between two writes of a row. A new process learns from the rows how long customers
/// wait.
const MAX_REFRESH_INTERVAL: Duration = Duration::from_secs(120);

/// The age up to which the first process that relies on a peer's reading accepts it: the interval between two
/// readings, a heartbeat interval and a margin.
const FIRST_READING_AGE_LIMIT: Duration = Duration::from_millis(400);

/// How much older a reading may be for each further process, so that one process reads in place of a lost
/// reader, and its heartbeats spare the others from reading.
const READING_AGE_LIMIT_STEP: Duration = Duration::from_millis(100);

/// The upper bound of the age limits. An owner's list counts as current for a little longer than this.
const MAX_READING_AGE_LIMIT: Duration = Duration::from_millis(650);

/// What a process knows of the list of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownList {
    /// The version of the store up to which the list is known.
    pub version: u64,
    /// The digest of all entries; see [`ListReading::digest`](crate::ListReading::digest).
    pub digest: u64,
    /// When the list was last known to be current.
    pub at: Instant,
}

/// Whether a process reads the list of workers or relies on readings of its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollDecision {
    /// Read what has changed.
    Read,
    /// The known list was still current at this time, up to this version.
    Confirmed {
        /// The version.
        version: u64,
        /// The time.
        at: Instant,
    },
}

impl ClaimController {
    /// Decides whether the list of workers has to be read, or peers that read it confirm what is known. A
    /// peer's reading of an earlier version is ignored; one of the same or a later version with another
    /// digest means that the list has changed.
    pub fn poll_decision(&self, now: Instant, known: KnownList) -> PollDecision {
        let rank = self.reader_rank(now);
        if rank == 0 {
            return PollDecision::Read;
        }
        let mut confirmed = (known.at, known.version);
        for peer in self.heard_peers.values() {
            let reading = peer.heartbeat.reading.filter(|_| self.is_fresh(now, peer));
            let Some(reading) = reading.filter(|reading| reading.version >= known.version) else {
                continue;
            };
            if reading.digest != known.digest {
                return PollDecision::Read;
            }
            let at = peer.heard_at.checked_sub(reading.age);
            confirmed = confirmed.max((at.unwrap_or(known.at), reading.version));
        }
        let limit = FIRST_READING_AGE_LIMIT + READING_AGE_LIMIT_STEP * (rank - 1);
        let (at, version) = confirmed;
        match now < at + limit.min(MAX_READING_AGE_LIMIT) {
            true => PollDecision::Confirmed { version, at },
            false => PollDecision::Read,
        }
    }

    /// This process's rank among the owners of its data centre, the first of which reads the list. Processes
    /// that own no pool rank after them.
    fn reader_rank(&self, now: Instant) -> u32 {
        let owners = self.members.values().map(|member| &member.row);
        let owners = owners.filter(|row| {
            let owns = self.is_local(&row.data_centre) && self.owners.contains_key(&row.node);
            owns && self.live_peer(now, &row.node).is_some()
        });
        let owns = self.owners.contains_key(&self.own_row.node);
        let own_order = capacity_order(&self.own_row);
        let before = owners
            .filter(|row| !owns || capacity_order(row) < own_order)
            .count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Whether this process should follow the list of workers although it owns no pool. `is_divided` says
    /// whether the division of its data centre's workers into groups is known.
    pub fn is_standby(&self, now: Instant, is_divided: bool) -> bool {
        let age = now.saturating_duration_since(self.started);
        let late = age.saturating_sub(GROUPING_TIME);
        let extra = match is_divided {
            true => 0,
            // The cast saturates.
            false => (late.as_secs_f64() / EXTRA_STANDBY_INTERVAL.as_secs_f64()) as usize,
        };
        self.standby_rank(now) < STANDBY_COUNT + extra
    }

    /// The interval between two writes of this process's row. An owner writes its row at the shortest
    /// interval, because a fresh row tells an isolated process that it is itself cut off.
    pub fn refresh_interval(&self) -> Duration {
        let refresh = self.settings.row_refresh_interval;
        if self.owners.contains_key(&self.own_row.node) {
            return refresh;
        }
        let members = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let interval = refresh * members.div_ceil(MEMBERS_PER_REFRESH_INTERVAL).max(1);
        interval.min(MAX_REFRESH_INTERVAL.max(refresh))
    }

    /// This process's rank among the processes of its data centre that own no pool, the largest capacity
    /// first.
    fn standby_rank(&self, now: Instant) -> usize {
        let own_order = capacity_order(&self.own_row);
        let local = self.members.values().map(|member| &member.row);
        let local = local.filter(|row| self.is_local(&row.data_centre));
        let idle = local.filter(|row| !self.owners.contains_key(&row.node));
        let before =
            idle.filter(|row| self.may_be_standby(now, row) && capacity_order(row) < own_order);
        before.count()
    }

    fn is_local(&self, centre: &DataCentreId) -> bool {
        *centre == self.own_row.data_centre
    }

    fn may_be_standby(&self, now: Instant, row: &MemberRow) -> bool {
        self.is_starting(now) || self.live_peer(now, &row.node).is_some()
    }
}

/// Sort key: the largest capacity first, then by hash.
pub(super) fn capacity_order(row: &MemberRow) -> (u64, u64) {
    // The cast saturates. Millionths are fine enough to tell machines of different capacity apart.
    let inverse_capacity = (1_000_000.0 / row.capacity().0.max(1e-6)) as u64;
    (inverse_capacity, xxh3_64(row.node.0.as_bytes()))
}
