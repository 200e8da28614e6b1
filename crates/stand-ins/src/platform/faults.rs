//! Faults of the service that a test switches on.

use serde::{Deserialize, Serialize};

use super::table::WriteRequest;

/// Every fault. The default is none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSettings {
    /// Whether calls get through at all.
    pub down: DownMode,
    /// Added before each call is looked at, in milliseconds.
    pub slow_ms: u64,
    /// Which transactions get no answer.
    pub answer_loss: AnswerLoss,
    /// Writes of others that come first.
    pub racing_writes: Vec<RacingWrite>,
    /// The VM list is given as of so many milliseconds ago.
    pub stale_vms_ms: u64,
}

impl FaultSettings {
    /// Only this kind of outage.
    pub fn down(down: DownMode) -> Self {
        Self {
            down,
            ..Self::default()
        }
    }

    /// Only a racing writer.
    pub fn racing(write: RacingWrite) -> Self {
        Self {
            racing_writes: vec![write],
            ..Self::default()
        }
    }

    /// Only the loss of the next answers.
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

    /// Only the loss of a part of all answers after the write took effect, chosen by a seed.
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
    /// Others write these rows just before the next transactions that touch a row.
    pub fn before(table: &str, key: &str, times: u32, writes: Vec<WriteRequest>) -> Self {
        Self {
            table: table.to_owned(),
            key: key.to_owned(),
            times,
            writes,
        }
    }
}

/// Whether calls get through.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DownMode {
    /// They do.
    #[default]
    Up,
    /// Each is answered 503 and has no effect.
    Unavailable,
    /// Each connection is closed without an answer; the call has no effect.
    Closed,
    /// Transactions are answered 503 without effect; reads get through.
    WritesUnavailable,
}

/// Which transactions get no answer: their connection is closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AnswerLoss {
    /// The next so many, whatever the fraction.
    pub next: u32,
    /// The part of all transactions, from 0 to 1.
    pub fraction: f64,
    /// Seed of the choice by fraction.
    pub seed: u64,
    /// What becomes of a transaction without an answer.
    pub when: LossTime,
}

/// When the answer is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LossTime {
    /// After the write took effect.
    #[default]
    AfterWrite,
    /// Before it: the write never takes effect.
    BeforeWrite,
    /// At once, and the write takes effect so many milliseconds later, if its expectations still hold.
    LandsLater(u64),
}

/// Writes of others just before the next transaction that touches a row.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RacingWrite {
    /// The table of the row.
    pub table: String,
    /// The key of the row.
    pub key: String,
    /// How many transactions are raced.
    pub times: u32,
    /// What the other writes, without regard to versions; nothing: it writes the row again as it is.
    pub writes: Vec<WriteRequest>,
}

/// What becomes of one transaction's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerDelivery {
    Sent,
    Lost(LossTime),
}

/// The faults with the state of their choices.
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

    /// Takes the racing writes that come before this transaction.
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
