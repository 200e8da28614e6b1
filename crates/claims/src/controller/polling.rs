//! Which processes read the tables of the store, and which write their own row, how often.
//!
//! Load it is made for: hundreds of processes and thousands of workers, each with a row that changes every few seconds. Harm
//! prevented: read by every process, the rows of the members grow with the square of the fleet, and those of the workers with
//! its product with them; bytes of the store become the largest cost of a large fleet, though most processes own no pool and
//! need none of it. So owners, whoever is about to be one and a few processes that stand by in each data centre know the
//! workers, and one owner of each data centre reads them. The others hear from it up to which version it has read and a digest
//! of what lasts; as long as that is what they know, too, their list is as fresh as its reading. Where it is not, or nothing
//! is heard for a moment, they read for themselves: a reader that is lost, cut off, frozen or refused by the store costs no
//! more than a few readings.

use std::time::{Duration, Instant};

use model::DataCentreId;
use xxhash_rust::xxh3::xxh3_64;

use super::ClaimController;
use crate::rows::MemberRow;

/// Processes without pools that stand by in each data centre: its next owners, two of which may be lost at once.
const STANDBY_COUNT: usize = 2;

/// How long after its start a data centre may be without a division of its workers before more processes than those read them:
/// longer than it takes until all workers of a large fleet are listed.
const GROUPING_TIME: Duration = Duration::from_millis(5_000);

/// After which time each further one does: those before it may be refused by the store.
const EXTRA_STANDBY_INTERVAL: Duration = Duration::from_millis(200);

/// Members beyond which a row that nobody needs soon is written less often, so that all of them together write as many.
const MEMBERS_PER_REFRESH_INTERVAL: u32 = 8;

/// The longest time between two writes of a row: a new process learns from the rows how long customers wait.
const MAX_REFRESH_INTERVAL: Duration = Duration::from_secs(120);

/// How old another's reading may be for the first process that relies on it: the pause between two readings, a sign of life,
/// and some.
const FIRST_READING_AGE_LIMIT: Duration = Duration::from_millis(400);

/// How much older for each further one, so that one reads in place of a reader that is lost, and its signs of life spare the
/// others.
const READING_AGE_LIMIT_STEP: Duration = Duration::from_millis(100);

/// The most: an owner's list counts as what is listed now for a little longer.
const MAX_READING_AGE_LIMIT: Duration = Duration::from_millis(650);

/// What a process knows of the list of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownList {
    /// The version up to which it knows it.
    pub version: u64,
    /// The digest of what lasts.
    pub digest: u64,
    /// When that was listed, as far as it knows.
    pub at: Instant,
}

/// What a process does next about the list of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollDecision {
    /// It reads what has changed.
    Read,
    /// What it knows was still listed at that time, up to that version.
    Confirmed {
        /// The version.
        version: u64,
        /// The time.
        at: Instant,
    },
}

impl ClaimController {
    /// Whether the list of workers has to be read, or others that read it confirm what is known. What was heard of an earlier
    /// version says nothing; of the same or a later one with another digest, that something has changed.
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

    /// This process's place among the owners of its data centre, of which the first reads. Others come after them.
    fn reader_rank(&self, now: Instant) -> u32 {
        let owners = self.members.values().map(|member| &member.row);
        let owners = owners.filter(|row| {
            let owns = self.is_near(&row.data_centre) && self.owners.contains_key(&row.node);
            owns && self.live_peer(now, &row.node).is_some()
        });
        let owns = self.owners.contains_key(&self.own_row.node);
        let own_order = capacity_order(&self.own_row);
        let before = owners
            .filter(|row| !owns || capacity_order(row) < own_order)
            .count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Whether this process should follow the list of workers although it owns no pool. `is_divided` says whether it is known how
    /// the workers of its data centre are divided.
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

    /// The time between two writes of this process's row. That of an owner tells a process which hears nobody that it is
    /// itself cut off.
    pub fn refresh_interval(&self) -> Duration {
        let refresh = self.settings.row_refresh_interval;
        if self.owners.contains_key(&self.own_row.node) {
            return refresh;
        }
        let members = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let interval = refresh * members.div_ceil(MEMBERS_PER_REFRESH_INTERVAL).max(1);
        interval.min(MAX_REFRESH_INTERVAL.max(refresh))
    }

    /// This process's place among those of its data centre that own no pool, the strongest first.
    fn standby_rank(&self, now: Instant) -> usize {
        let own_order = capacity_order(&self.own_row);
        let near = self.members.values().map(|member| &member.row);
        let near = near.filter(|row| self.is_near(&row.data_centre));
        let idle = near.filter(|row| !self.owners.contains_key(&row.node));
        let before =
            idle.filter(|row| self.may_be_standby(now, row) && capacity_order(row) < own_order);
        before.count()
    }

    fn is_near(&self, centre: &DataCentreId) -> bool {
        *centre == self.own_row.data_centre
    }

    fn may_be_standby(&self, now: Instant, row: &MemberRow) -> bool {
        self.is_starting(now) || self.live_peer(now, &row.node).is_some()
    }
}

/// Lower comes first: the strongest, then by hash.
fn capacity_order(row: &MemberRow) -> (u64, u64) {
    // The cast saturates; millionths tell any two machines apart that differ.
    let inverse_capacity = (1_000_000.0 / row.capacity().0.max(1e-6)) as u64;
    (inverse_capacity, xxh3_64(row.node.0.as_bytes()))
}
