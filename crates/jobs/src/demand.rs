//! Resource demands of tasks and resources of workers.

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

/// Processor, memory and accelerators: the demand of a task, or the resources of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResourceDemand {
    /// The processor share.
    pub cpu: CpuMillis,
    /// The memory.
    pub memory: MemoryMegabytes,
    /// The number of whole accelerators.
    pub accelerators: u64,
}

impl ResourceDemand {
    /// Whether a demand of `other` fits into these resources.
    pub fn holds(&self, other: &Self) -> bool {
        other.cpu <= self.cpu
            && other.memory <= self.memory
            && other.accelerators <= self.accelerators
    }

    /// These resources less `other`; zero where `other` is larger.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: CpuMillis(self.cpu.0.saturating_sub(other.cpu.0)),
            memory: MemoryMegabytes(self.memory.0.saturating_sub(other.memory.0)),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The sum of both, saturating.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: CpuMillis(self.cpu.0.saturating_add(other.cpu.0)),
            memory: MemoryMegabytes(self.memory.0.saturating_add(other.memory.0)),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}
