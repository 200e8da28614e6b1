//! Ids of jobs, tasks, runs and workers.

use std::{fmt, str::FromStr, sync::Arc};

use model::DataCentreId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The length of a job id's text form: 64 bits in hexadecimal digits.
const JOB_ID_DIGITS: usize = 16;

/// The error for a text that is not a valid [`JobId`] or [`TaskId`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a job id of {JOB_ID_DIGITS} lower-case hexadecimal digits, nor a task id of the form JOB.OCCURRENCE.STEP.INDEX")]
pub struct InvalidJobId;

/// The id of a job, chosen by its customer. A request with the same id is for the same job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = InvalidJobId;

    fn from_str(s: &str) -> Result<Self, InvalidJobId> {
        let is_lower_hex = s
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
        if s.len() != JOB_ID_DIGITS || !is_lower_hex {
            return Err(InvalidJobId);
        }
        u64::from_str_radix(s, 16)
            .map(Self)
            .map_err(|_| InvalidJobId)
    }
}

/// The id of one write of a kept job's row, drawn at random for each write. A row tells by it which write stored it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(pub u64);

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The id of one task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The occurrence of a repeated job, from 0; 0 for a job that runs once.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u32,
    /// The task within its step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskId {
    type Err = InvalidJobId;

    fn from_str(s: &str) -> Result<Self, InvalidJobId> {
        let mut parts = s.split('.');
        let job = parts.next().ok_or(InvalidJobId)?.parse()?;
        let mut number = || {
            parts
                .next()
                .and_then(|part| part.parse().ok())
                .ok_or(InvalidJobId)
        };
        let id = Self {
            job,
            occurrence: number()?,
            step: number()?,
            index: number()?,
        };
        match parts.next() {
            None => Ok(id),
            Some(_) => Err(InvalidJobId),
        }
    }
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                s.parse().map(Self)
            }
        }
    };
}

number_id!(
    /// The number of a run of a task. It only increases, also when the pool gets another owner.
    RunNumber
);
number_id!(
    /// A fencing token: the version of the claim under which an owner acts. Workers reject orders with a lower
    /// token than the highest that they have seen.
    FenceToken
);

number_id!(
    /// One attempt at a job: the entry draws it at random for each request that submits the job. The parts of a job that is
    /// divided among pools share it.
    JobAttemptId
);

impl JobAttemptId {
    /// Whether two processes mean the same attempt. An attempt whose id is not known is not the same as any other.
    pub fn is_same(first: Option<Self>, second: Option<Self>) -> bool {
        first.is_some() && first == second
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub Arc<str>);

        impl $name {
            /// The text form.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// The id under which a worker process is listed. A restarted worker is a new incarnation, which remembers
    /// neither runs nor fencing tokens. It may keep its id; then its
    /// [`WorkerStartTime`](crate::WorkerStartTime) tells the incarnations apart.
    InstanceId
);
text_id!(
    /// The id of a service: the kind of work that a set of workers does.
    ServiceId
);

/// The id of a pool: one group of the workers of a data centre. Each pool has one owner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId {
    /// The data centre of its workers.
    pub data_centre: DataCentreId,
    /// The number of the group within the data centre, from 0.
    pub group: u32,
}

/// The error for a text that is not a pool id.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a pool id")]
pub struct InvalidPoolId;

impl fmt::Display for PoolId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.data_centre, self.group)
    }
}

impl FromStr for PoolId {
    type Err = InvalidPoolId;

    fn from_str(s: &str) -> Result<Self, InvalidPoolId> {
        let (data_centre, group) = s.rsplit_once('/').ok_or(InvalidPoolId)?;
        Ok(Self {
            data_centre: data_centre.parse().map_err(|_| InvalidPoolId)?,
            group: group.parse().map_err(|_| InvalidPoolId)?,
        })
    }
}
