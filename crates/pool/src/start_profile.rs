//! The start profile of a pool: how many tasks could start how soon, as its owner publishes it to the entries.

use std::time::Duration;

/// The times from the heartbeat at which a profile counts starts.
pub const START_HORIZONS: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
];

/// The length of an encoded profile, in bytes.
pub const PROFILE_BYTES: usize = 16;

/// The first byte of an encoded profile.
const PROFILE_VERSION: u8 = 1;

/// Slowness is encoded in units of one divided by this number.
const SLOWNESS_UNITS: f64 = 16.0;

/// The expected start of tasks beyond the last horizon of a pool in which nothing becomes free.
const DISTANT_START: Duration = Duration::from_secs(10);

/// How many tasks of a typical size could start in a pool how soon, beside the work that waits there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartProfile {
    /// The CPU demand of a typical recent task, in thousandths of a core. Never zero.
    task_cpu: u32,
    /// The mean slowness of the workers, in units of one divided by `SLOWNESS_UNITS`. Never zero.
    slowness: u8,
    /// The number of tasks that could start within each of [`START_HORIZONS`]. Never decreases.
    starts: [u16; START_HORIZONS.len()],
}

impl StartProfile {
    /// Creates a profile from a task's CPU demand in thousandths of a core, the mean ratio of run times to those on a
    /// worker of mean speed, and the numbers of starts by horizon.
    pub fn new(task_cpu: u64, slowness: f64, starts: [usize; START_HORIZONS.len()]) -> Self {
        // The cast saturates.
        let slowness = ((slowness * SLOWNESS_UNITS).round() as u8).max(1);
        Self {
            task_cpu: u32::try_from(task_cpu).unwrap_or(u32::MAX).max(1),
            slowness,
            starts: starts.map(|count| u16::try_from(count).unwrap_or(u16::MAX)),
        }
    }

    /// The number of tasks that could start within each of [`START_HORIZONS`].
    pub fn starts(&self) -> [u16; START_HORIZONS.len()] {
        self.starts
    }

    /// The mean ratio of run times to those on a worker of mean speed.
    pub fn slowness(&self) -> f64 {
        f64::from(self.slowness) / SLOWNESS_UNITS
    }

    /// How many typical tasks a CPU demand in thousandths of a core amounts to.
    fn typical_tasks(&self, cpu: u64) -> f64 {
        cpu as f64 / f64::from(self.task_cpu)
    }

    /// The time from the heartbeat within which tasks with this CPU demand together, in thousandths of a core, could
    /// all start. Between the horizons, starts are spread evenly.
    pub fn last_start(&self, cpu: u64) -> Duration {
        let tasks = self.typical_tasks(cpu);
        let mut before = (0.0, Duration::ZERO);
        for (count, horizon) in self.starts.iter().zip(START_HORIZONS) {
            let count = f64::from(*count);
            if tasks <= count {
                let share = (tasks - before.0) / (count - before.0).max(f64::MIN_POSITIVE);
                return before.1 + (horizon - before.1).mul_f64(share.clamp(0.0, 1.0));
            }
            before = (count, horizon);
        }
        let [.., earlier, last] = self.starts.map(f64::from);
        let [.., earlier_horizon, last_horizon] = START_HORIZONS;
        let rate = (last - earlier) / (last_horizon - earlier_horizon).as_secs_f64();
        if rate <= 0.0 {
            return DISTANT_START;
        }
        let beyond = Duration::try_from_secs_f64((tasks - last) / rate);
        let start = beyond.map_or(DISTANT_START, |beyond| last_horizon + beyond);
        start.min(DISTANT_START)
    }

    /// The CPU demand of the tasks that could start within `time` of the heartbeat, in thousandths of a core.
    pub fn startable_cpu(&self, time: Duration) -> u64 {
        let horizons = START_HORIZONS.iter().zip(self.starts);
        let mut within = horizons.filter(|(horizon, _)| **horizon <= time);
        let count = within.next_back().map_or(0, |(_, count)| count);
        u64::from(count) * u64::from(self.task_cpu)
    }

    fn encode(&self) -> [u8; PROFILE_BYTES] {
        let mut bytes = [0; PROFILE_BYTES];
        bytes[0] = PROFILE_VERSION;
        bytes[1] = self.slowness;
        bytes[2..6].copy_from_slice(&self.task_cpu.to_le_bytes());
        for (count, place) in self.starts.iter().zip(bytes[6..].chunks_exact_mut(2)) {
            place.copy_from_slice(&count.to_le_bytes());
        }
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let bytes: &[u8; PROFILE_BYTES] = bytes.try_into().ok()?;
        let mut starts = [0; START_HORIZONS.len()];
        for (count, place) in starts.iter_mut().zip(bytes[6..].chunks_exact(2)) {
            *count = u16::from_le_bytes(place.try_into().ok()?);
        }
        let profile = Self {
            task_cpu: u32::from_le_bytes(bytes[2..6].try_into().ok()?),
            slowness: bytes[1],
            starts,
        };
        let valid = bytes[0] == PROFILE_VERSION
            && profile.task_cpu > 0
            && profile.slowness > 0
            && starts.is_sorted();
        valid.then_some(profile)
    }
}

/// The profile of a pool in a heartbeat of its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PublishedProfile {
    /// The owner publishes none: it has no data yet, or its version does not know profiles.
    #[default]
    Missing,
    /// The published bytes are damaged or of a newer encoding.
    Unreadable,
    /// The profile.
    Known(StartProfile),
}

impl PublishedProfile {
    /// The profile, if there is one that could be read.
    pub fn known(self) -> Option<StartProfile> {
        match self {
            Self::Missing | Self::Unreadable => None,
            Self::Known(profile) => Some(profile),
        }
    }

    /// The bytes for the heartbeat; empty without a profile.
    pub fn encode(self) -> Vec<u8> {
        self.known()
            .map_or(Vec::new(), |profile| profile.encode().to_vec())
    }

    /// Reads the bytes of a heartbeat.
    pub fn decode(bytes: &[u8]) -> Self {
        if bytes.is_empty() {
            return Self::Missing;
        }
        StartProfile::decode(bytes).map_or(Self::Unreadable, Self::Known)
    }
}

impl From<Option<StartProfile>> for PublishedProfile {
    fn from(profile: Option<StartProfile>) -> Self {
        profile.map_or(Self::Missing, Self::Known)
    }
}
