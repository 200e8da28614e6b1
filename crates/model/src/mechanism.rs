//! The mechanisms for overload and faults, each of which can be disabled separately.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::FastSet;

/// A mechanism for overload or faults that works independently of the others. Disabling one in an experiment shows its
/// effect; in production all are enabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// Jobs that are predicted to end late are refused on arrival.
    LateRefusal,
    /// Jobs that would make an admitted job late are refused.
    HarmCheck,
    /// Capacity is reserved for expected jobs of higher priority while such jobs are being refused.
    KeptRoom,
    /// Queued jobs are ordered by their latest start instead of their arrival.
    LatestStart,
    /// Late jobs that have begun are placed before all other jobs while their results are still of use.
    BegunFirst,
    /// Run times are learnt per route instead of taken from the customers' estimates.
    RunTimes,
    /// The speeds of workers are learnt.
    Speeds,
    /// Workers that are far slower than their pool get no tasks.
    SluggishWorkers,
    /// Workers that fail or refuse the tasks that they are told to run are suspended.
    Suspension,
    /// Stalled runs are stopped and placed on other workers.
    StallStop,
    /// Polls of workers are hedged by a second poll while answers are being lost.
    HedgedLooks,
    /// Jobs that no pool accepts as a whole are split over several pools.
    Dividing,
    /// An entry first asks the less loaded of two randomly chosen pools, by their published load.
    PoolChoice,
    /// Pools are handed over to processes in their own data centre and to processes that own far fewer pools for their
    /// capacity.
    Yielding,
    /// Answer timeouts follow the observed answer times, and starts are retried within a retry budget.
    AnswerLimits,
    /// A window limits the starts in flight while answers are late; further starts wait in the owner's queue.
    StartWindow,
    /// An entry first asks a pool of its own process if that pool has enough free capacity.
    OwnPool,
    /// Tasks that were running on workers that died are retried alone on a worker, and given up once identified as the
    /// cause of the crashes.
    CrashBlame,
    /// The age of a retried request is estimated from the time that its customer has left.
    RequestAges,
}

/// The set of disabled mechanisms.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DisabledMechanisms(FastSet<Mechanism>);

impl DisabledMechanisms {
    /// Returns whether a mechanism is enabled.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.0.contains(&mechanism)
    }
}

impl FromIterator<Mechanism> for DisabledMechanisms {
    fn from_iter<T: IntoIterator<Item = Mechanism>>(mechanisms: T) -> Self {
        Self(mechanisms.into_iter().collect())
    }
}
