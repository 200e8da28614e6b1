//! What a task needs and what a worker has.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Processor share, in thousandths of a core.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CpuMillis(pub u64);

impl fmt::Display for CpuMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m", self.0)
    }
}

/// Memory, in megabytes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MemoryMegabytes(pub u64);

impl fmt::Display for MemoryMegabytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}MB", self.0)
    }
}

/// Processor, memory and accelerators: the demand of a task, or the room of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResourceDemand {
    /// Processor share.
    pub cpu: CpuMillis,
    /// Memory.
    pub memory: MemoryMegabytes,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl ResourceDemand {
    /// Whether `other` fits into this room.
    pub fn holds(&self, other: &Self) -> bool {
        other.cpu <= self.cpu
            && other.memory <= self.memory
            && other.accelerators <= self.accelerators
    }

    /// What is left of this room beside `other`; zero where nothing is.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: CpuMillis(self.cpu.0.saturating_sub(other.cpu.0)),
            memory: MemoryMegabytes(self.memory.0.saturating_sub(other.memory.0)),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Both together.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: CpuMillis(self.cpu.0.saturating_add(other.cpu.0)),
            memory: MemoryMegabytes(self.memory.0.saturating_add(other.memory.0)),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}
