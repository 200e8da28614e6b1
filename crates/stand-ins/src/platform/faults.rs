//! Faults of the platform service that a test can enable.

use serde::{Deserialize, Serialize};

use super::table::WriteRequest;

/// All faults. The default is no fault.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSettings {
    /// Whether calls are served at all.
    pub down: DownMode,
    /// Delay before each call is processed, in milliseconds.
    pub slow_ms: u64,
    /// Which transactions get no answer.
    pub answer_loss: AnswerLoss,
    /// Writes by other writers that are committed before certain transactions.
    pub racing_writes: Vec<RacingWrite>,
    /// Age of the VM list that is returned, in milliseconds.
    pub stale_vms_ms: u64,
}

impl FaultSettings {
    /// Enables only this kind of outage.
    pub fn down(down: DownMode) -> Self {
        Self {
            down,
            ..Self::default()
        }
    }

    /// Enables only a racing write.
    pub fn racing(write: RacingWrite) -> Self {
        Self {
            racing_writes: vec![write],
            ..Self::default()
        }
    }

    /// Loses only the next `next` answers.
    pub fn losing(next: u32, when: LossTime) -> Self {
        let answer_loss = AnswerLoss {
            next,
            when,
            ..AnswerLoss::default()
        };
        Self {
            answer_loss,
            ..Self::default()
        }
    }

    /// Loses only a fraction of all answers, chosen by a seed, after the write took effect.
    pub fn losing_part(fraction: f64, seed: u64) -> Self {
        let answer_loss = AnswerLoss {
            fraction,
            seed,
            ..AnswerLoss::default()
        };
        Self {
            answer_loss,
            ..Self::default()
        }
    }
}

impl RacingWrite {
    /// Creates writes that are committed just before each of the next `times` transactions that touch the row.
    pub fn before(table: &str, key: &str, times: u32, writes: Vec<WriteRequest>) -> Self {
        Self {
            table: table.to_owned(),
            key: key.to_owned(),
            times,
            writes,
        }
    }
}

/// Which calls are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DownMode {
    /// All calls are served.
    #[default]
    Up,
    /// Each call is answered 503 and has no effect.
    Unavailable,
    /// Each connection is closed without an answer; the call has no effect.
    Closed,
    /// Transactions and object writes are answered 503 without effect; reads are served.
    WritesUnavailable,
}

/// Which transactions get no answer. Their connection is closed instead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AnswerLoss {
    /// The number of next transactions without an answer, regardless of the fraction.
    pub next: u32,
    /// The fraction of all transactions, from 0 to 1.
    pub fraction: f64,
    /// Seed for choosing transactions by `fraction`.
    pub seed: u64,
    /// Whether and when a transaction without an answer takes effect.
    pub when: LossTime,
}

/// When the answer is lost relative to the write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LossTime {
    /// After the write took effect.
    #[default]
    AfterWrite,
    /// Before it: the write never takes effect.
    BeforeWrite,
    /// Immediately; the write takes effect this many milliseconds after its normal time, if its expected versions
    /// still hold.
    LandsLater(u64),
}

/// Writes by other writers just before the next transactions that touch a row.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RacingWrite {
    /// The table of the row.
    pub table: String,
    /// The key of the row.
    pub key: String,
    /// The number of transactions that are preceded by these writes.
    pub times: u32,
    /// The writes of the other writer, which ignore versions. If empty, it rewrites the row with its current value.
    pub writes: Vec<WriteRequest>,
}

/// Whether the answer to a transaction is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerDelivery {
    Sent,
    Lost(LossTime),
}

/// The fault settings with the generator that decides on random faults.
#[derive(Debug)]
pub(super) struct FaultPlan {
    pub(super) settings: FaultSettings,
    rng: fastrand::Rng,
}

impl FaultPlan {
    pub(super) fn new(settings: FaultSettings) -> Self {
        let rng = fastrand::Rng::with_seed(settings.answer_loss.seed);
        Self { settings, rng }
    }

    pub(super) fn draw_answer_delivery(&mut self) -> AnswerDelivery {
        let loss = &mut self.settings.answer_loss;
        if loss.next > 0 {
            loss.next -= 1;
            return AnswerDelivery::Lost(loss.when);
        }
        if loss.fraction > 0.0 && self.rng.f64() < loss.fraction {
            return AnswerDelivery::Lost(loss.when);
        }
        AnswerDelivery::Sent
    }

    /// Returns the racing writes to commit before this transaction, and counts them as used.
    pub(super) fn take_racing_writes(&mut self, writes: &[WriteRequest]) -> Vec<RacingWrite> {
        let mut races = Vec::new();
        for race in &mut self.settings.racing_writes {
            let touched = writes
                .iter()
                .any(|w| w.table == race.table && w.key == race.key);
            if race.times == 0 || !touched {
                continue;
            }
            race.times -= 1;
            races.push(race.clone());
        }
        races
    }
}
