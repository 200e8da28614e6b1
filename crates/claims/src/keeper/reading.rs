//! Which processes read the tables of the store, and which write their own row, how often.
//!
//! Load it is made for: hundreds of processes and thousands of workers, each with a row that changes every few seconds. Harm
//! prevented: read by every process, the rows of the members grow with the square of the fleet, and those of the workers with
//! its product with them; bytes of the store become the largest cost of a large fleet, though most processes own no pool and
//! need none of it. So owners, whoever is about to be one and a few processes that stand by in each data centre read the
//! workers, and what lasts of a member is told by heartbeats.

use std::time::{Duration, Instant};

use model::DataCentreId;
use xxhash_rust::xxh3::xxh3_64;

use super::ClaimKeeper;
use crate::rows::MemberRow;

/// Processes without pools that stand by in each data centre: its next owners, two of which may be lost at once.
const STANDBYS: usize = 2;

/// How long after its start a data centre may be without a division of its workers before more processes than those read them.
const DIVIDING_TIME: Duration = Duration::from_millis(2_000);

/// After which time each further one does: those before it may be refused by the store.
const NEXT_READER: Duration = Duration::from_millis(200);

/// Members beyond which a row that nobody needs soon is written less often, so that all of them together write as many.
const ROWS_A_REFRESH: u32 = 8;

/// The longest time between two writes of a row: a new process learns from the rows how long customers wait.
const LONGEST_REFRESH: Duration = Duration::from_secs(120);

impl ClaimKeeper {
    /// Whether this process should follow the list of workers although it owns no pool. `divided` says whether it is known how
    /// the workers of its data centre are divided.
    pub fn stands_by(&self, now: Instant, divided: bool) -> bool {
        let age = now.saturating_duration_since(self.started);
        let late = age.saturating_sub(DIVIDING_TIME);
        let further = match divided {
            true => 0,
            // The cast saturates.
            false => (late.as_secs_f64() / NEXT_READER.as_secs_f64()) as usize,
        };
        self.standby_rank(now) < STANDBYS + further
    }

    /// The time between two writes of this process's row. That of an owner tells a process which hears nobody that it is
    /// itself cut off.
    pub fn refresh_beat(&self) -> Duration {
        let refresh = self.settings.refresh;
        if self.owners.contains_key(&self.me.node) {
            return refresh;
        }
        let members = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let beat = refresh * members.div_ceil(ROWS_A_REFRESH).max(1);
        beat.min(LONGEST_REFRESH.max(refresh))
    }

    /// Whether the members' rows have to be read often: of a process that it does not hear they alone tell.
    pub fn needs_members(&self, now: Instant) -> bool {
        self.hears_nobody(now)
    }

    /// This process's place among those of its data centre that own no pool, the strongest first.
    fn standby_rank(&self, now: Instant) -> usize {
        let mine = order(&self.me);
        let near = self.members.values().map(|member| &member.row);
        let near = near.filter(|row| self.is_near(&row.data_centre));
        let idle = near.filter(|row| !self.owners.contains_key(&row.node));
        let before = idle.filter(|row| self.may_stand_by(now, row) && order(row) < mine);
        before.count()
    }

    fn is_near(&self, centre: &DataCentreId) -> bool {
        *centre == self.me.data_centre
    }

    /// Before the first heartbeats all members count.
    fn may_stand_by(&self, now: Instant, row: &MemberRow) -> bool {
        let starting = now < self.started + self.settings.far_limit;
        let heard = self.heard.get(&row.node);
        starting || heard.is_some_and(|peer| self.is_fresh(now, peer) && !peer.beat.leaving)
    }
}

/// Lower comes first: the strongest, then by hash.
fn order(row: &MemberRow) -> (u64, u64) {
    // The cast saturates; millionths tell any two machines apart that differ.
    let weakness = (1_000_000.0 / row.strength().0.max(1e-6)) as u64;
    (weakness, xxh3_64(row.node.0.as_bytes()))
}
