//! What decides under load and faults, each part of which can be switched off alone.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::FastSet;

/// A part of the decisions that works without the others. What each is worth is found by switching it off; in service
/// all are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// Jobs that are predicted to end late are refused when they come.
    LateRefusal,
    /// Jobs that would make an admitted one late are refused.
    HarmCheck,
    /// Room is kept for jobs of higher priority while they are being refused.
    KeptRoom,
    /// Waiting jobs are ordered by their latest start, and not by arrival.
    LatestStart,
    /// Late jobs that have begun go before others.
    BegunFirst,
    /// Run times are learnt per route, and not taken from the customers' estimates.
    RunTimes,
    /// Speeds of workers are learnt.
    Speeds,
    /// Workers that are far slower than their pool are left alone.
    SluggishWorkers,
    /// Workers that fail or turn away what they are told to run are left alone.
    Suspension,
    /// Runs that stand still are stopped and placed elsewhere.
    StallStop,
    /// A second look at a worker while answers get lost.
    HedgedLooks,
    /// Jobs that no pool takes whole are divided.
    Dividing,
    /// An entry asks the better of two pools drawn by chance first, by their published load.
    PoolChoice,
    /// Pools go back to their data centre and to idle machines.
    Yielding,
    /// How long an answer is waited for follows the answers that come, and starts are sent again under a budget.
    AnswerLimits,
    /// Starts wait in the owner's queue while answers come late.
    StartWindow,
    /// An entry asks a pool of its own process first if it has the room.
    OwnPool,
    /// Tasks under which workers died are tried alone, and given up once they are named.
    CrashBlame,
    /// Requests that come again are known by what is left of their customers' time.
    RequestAges,
}

/// Which mechanisms are switched off.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DisabledMechanisms(FastSet<Mechanism>);

impl DisabledMechanisms {
    /// Whether a mechanism works.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.0.contains(&mechanism)
    }
}

impl FromIterator<Mechanism> for DisabledMechanisms {
    fn from_iter<T: IntoIterator<Item = Mechanism>>(mechanisms: T) -> Self {
        Self(mechanisms.into_iter().collect())
    }
}
