//! Converts between messages of the pool protocol and the types of the system.

use std::{sync::Arc, time::Duration};

use capnp::{
    message::{Builder, ReaderOptions},
    serialize_packed,
};
use claims::{Heartbeat, LinkRate, ListReading, NodeDigest, NodeId, PoolNews};
use jobs::{
    CpuMillis, FenceToken, InstanceId, JobAttemptId, JobId, JobOutcome, JobRequest, JobTerms,
    MemoryMegabytes, PoolId, ResourceDemand, ServiceId, StepSpec,
};
use model::DataCentreId;
use pool::{AttemptPresence, PoolLoad, PublishedProfile};

use crate::{
    pool_capnp::{heartbeat, job, outcome, step, Presence},
    pool_link::JobCall,
    PeerError,
};

/// Encodes a heartbeat as one datagram.
pub fn encode_heartbeat(heartbeat: &Heartbeat) -> Vec<u8> {
    let mut message = Builder::new_default();
    let mut root: heartbeat::Builder<'_> = message.init_root();
    root.set_node(&*heartbeat.node.0);
    root.set_incarnation(heartbeat.incarnation);
    root.set_leaving(heartbeat.leaving);
    root.set_clock_micros(micros(heartbeat.clock));
    root.set_cores(heartbeat.cores);
    root.set_link_bytes(heartbeat.link.0);
    root.set_data_centre(heartbeat.data_centre.as_str());
    let mut hears = root
        .reborrow()
        .init_hears(list_length(heartbeat.hears.len()));
    for (index, node) in heartbeat.hears.iter().enumerate() {
        hears.set(list_length(index), node.0);
    }
    if let Some(reading) = &heartbeat.reading {
        let mut wire = root.reborrow().init_reading();
        wire.set_version(reading.version);
        wire.set_age_micros(micros(reading.age));
        wire.set_digest(reading.digest);
    }
    let mut pools = root.init_pools(list_length(heartbeat.pools.len()));
    for (index, news) in heartbeat.pools.iter().enumerate() {
        let mut wire = pools.reborrow().get(list_length(index));
        wire.set_pool(news.pool.to_string());
        wire.set_fence(news.fence.0);
        wire.set_capacity(news.load.capacity);
        wire.set_free(news.load.free);
        wire.set_backlog_micros(micros(news.load.backlog));
        wire.set_yielding(news.yielding);
        let profile = news.start_profile.encode();
        if !profile.is_empty() {
            wire.set_start_profile(&profile);
        }
        let mut held = wire.init_held(list_length(news.held.len()));
        for (index, instance) in news.held.iter().enumerate() {
            held.set(list_length(index), instance.as_str());
        }
    }
    let mut bytes = Vec::new();
    // Writing to a vector does not fail.
    let _infallible = serialize_packed::write_message(&mut bytes, &message);
    bytes
}

/// Decodes a heartbeat.
///
/// # Errors
///
/// The datagram is not a heartbeat.
pub fn decode_heartbeat(mut bytes: &[u8]) -> Result<Heartbeat, PeerError> {
    let message = serialize_packed::read_message(&mut bytes, ReaderOptions::new())?;
    let root: heartbeat::Reader<'_> = message.get_root()?;
    let mut hears = Vec::new();
    for digest in root.get_hears()? {
        hears.push(NodeDigest(digest));
    }
    let mut reading = None;
    if root.has_reading() {
        let wire = root.get_reading()?;
        reading = Some(ListReading {
            version: wire.get_version(),
            age: Duration::from_micros(wire.get_age_micros()),
            digest: wire.get_digest(),
        });
    }
    let mut pools = Vec::new();
    for wire in root.get_pools()? {
        let mut held = Vec::new();
        for instance in wire.get_held()? {
            held.push(InstanceId::from(read_text(instance)?));
        }
        pools.push(PoolNews {
            held,
            // A profile that cannot be read must not silence its owner.
            start_profile: wire
                .get_start_profile()
                .map_or(PublishedProfile::Unreadable, PublishedProfile::decode),
            yielding: wire.get_yielding(),
            pool: read_pool_id(wire.get_pool())?,
            fence: FenceToken(wire.get_fence()),
            load: PoolLoad {
                capacity: wire.get_capacity(),
                free: wire.get_free(),
                backlog: Duration::from_micros(wire.get_backlog_micros()),
            },
        });
    }
    Ok(Heartbeat {
        node: NodeId::from(read_text(root.get_node())?),
        incarnation: root.get_incarnation(),
        data_centre: read_centre_id(root.get_data_centre())?,
        cores: root.get_cores(),
        link: LinkRate(root.get_link_bytes()),
        leaving: root.get_leaving(),
        clock: Duration::from_micros(root.get_clock_micros()),
        reading,
        hears,
        pools,
    })
}

pub(crate) fn write_job(mut wire: job::Builder<'_>, call: &JobCall) {
    let JobCall {
        entry,
        pool,
        request,
        terms,
        sent_at,
    } = call;
    wire.set_id(request.id.0);
    wire.set_sent_at_micros(micros(*sent_at));
    wire.set_entry(&*entry.0);
    wire.set_pool(pool.to_string());
    wire.set_text(&*request.text);
    wire.set_service(terms.service.as_str());
    wire.set_route(&*terms.route);
    wire.set_priority(terms.priority);
    wire.set_attempts(terms.attempts);
    wire.set_stretch(terms.stretch);
    wire.set_goal_micros(micros(terms.goal));
    wire.set_time_left_micros(micros(terms.time_left));
    wire.set_waited_micros(micros(terms.waited));
    wire.set_firm(terms.firm);
    if let Some(origin) = &terms.origin {
        wire.set_origin_data_centre(origin.as_str());
    }
    wire.set_retry_in_micros(terms.retry_in.map_or(0, micros));
    wire.set_attempt_id(write_attempt_id(terms.attempt_id));
    wire.set_kept(request.kept);
    let mut steps = wire.init_steps(list_length(request.steps.len()));
    for (index, spec) in request.steps.iter().enumerate() {
        write_step(steps.reborrow().get(list_length(index)), spec);
    }
}

fn write_step(mut wire: step::Builder<'_>, spec: &StepSpec) {
    wire.set_count(spec.count);
    wire.set_first(spec.first);
    wire.set_cpu_millis(spec.demand.cpu.0);
    wire.set_memory_megabytes(spec.demand.memory.0);
    wire.set_accelerators(spec.demand.accelerators);
    wire.set_estimate_micros(micros(spec.estimate));
    wire.set_required_label(spec.required_label.as_deref().unwrap_or_default());
    wire.set_data_rack(spec.data_rack.as_deref().unwrap_or_default());
    wire.set_most_per_worker(spec.most_per_worker.unwrap_or(0));
    let mut after = wire.init_after(list_length(spec.after.len()));
    for (index, prerequisite) in spec.after.iter().enumerate() {
        after.set(list_length(index), *prerequisite);
    }
}

pub(crate) fn read_job(wire: job::Reader<'_>) -> Result<JobCall, PeerError> {
    let mut steps = Vec::new();
    for step in wire.get_steps()? {
        steps.push(read_step(step)?);
    }
    let request = JobRequest {
        id: JobId(wire.get_id()),
        text: Arc::from(read_text(wire.get_text())?),
        steps,
        kept: wire.get_kept(),
        unsupported: None,
    };
    let terms = JobTerms {
        service: ServiceId::from(read_text(wire.get_service())?),
        route: Arc::from(read_text(wire.get_route())?),
        priority: wire.get_priority(),
        attempts: wire.get_attempts(),
        stretch: wire.get_stretch(),
        goal: Duration::from_micros(wire.get_goal_micros()),
        time_left: Duration::from_micros(wire.get_time_left_micros()),
        waited: Duration::from_micros(wire.get_waited_micros()),
        firm: wire.get_firm(),
        origin: read_origin(wire)?,
        retry_in: read_retry_in(wire),
        attempt_id: read_attempt_id(wire.get_attempt_id()),
    };
    let entry = NodeId::from(read_text(wire.get_entry())?);
    let pool = read_pool_id(wire.get_pool())?;
    Ok(JobCall {
        entry,
        pool,
        request: Arc::new(request),
        terms,
        sent_at: Duration::from_micros(wire.get_sent_at_micros()),
    })
}

/// The data centre that a job comes from. None if the job is from an older process.
fn read_origin(wire: job::Reader<'_>) -> Result<Option<DataCentreId>, PeerError> {
    if read_text(wire.get_origin_data_centre())?.is_empty() {
        return Ok(None);
    }
    read_centre_id(wire.get_origin_data_centre()).map(Some)
}

/// The time before which the customer does not submit the job again. None if the job is from an older process.
fn read_retry_in(wire: job::Reader<'_>) -> Option<Duration> {
    let micros = wire.get_retry_in_micros();
    (micros > 0).then(|| Duration::from_micros(micros))
}

pub(crate) fn write_attempt_id(attempt: Option<JobAttemptId>) -> u64 {
    attempt.map_or(0, |attempt| attempt.0)
}

/// The id of an attempt. None if it is from an older process.
pub(crate) fn read_attempt_id(number: u64) -> Option<JobAttemptId> {
    (number > 0).then_some(JobAttemptId(number))
}

fn read_step(wire: step::Reader<'_>) -> Result<StepSpec, PeerError> {
    let optional = |text: &str| (!text.is_empty()).then(|| Arc::from(text));
    Ok(StepSpec {
        count: wire.get_count(),
        first: wire.get_first(),
        demand: ResourceDemand {
            cpu: CpuMillis(wire.get_cpu_millis()),
            memory: MemoryMegabytes(wire.get_memory_megabytes()),
            accelerators: wire.get_accelerators(),
        },
        estimate: Duration::from_micros(wire.get_estimate_micros()),
        after: wire.get_after()?.iter().collect(),
        required_label: optional(read_text(wire.get_required_label())?),
        data_rack: optional(read_text(wire.get_data_rack())?),
        most_per_worker: Some(wire.get_most_per_worker()).filter(|most| *most > 0),
    })
}

pub(crate) fn write_outcome(mut wire: outcome::Builder<'_>, outcome: JobOutcome) {
    match outcome {
        JobOutcome::Completed => wire.set_completed(()),
        JobOutcome::Failed => wire.set_failed(()),
        JobOutcome::Accepted => wire.set_accepted(()),
        JobOutcome::GivenUp => wire.set_given_up(()),
        JobOutcome::Refused {
            kind,
            retry_after,
            fits,
        } => {
            let mut refusal = wire.init_refused();
            refusal.set_kind(kind.as_str());
            refusal.set_retry_after_micros(micros(retry_after));
            refusal.set_fits(fits);
        }
    }
}

pub(crate) fn read_outcome(wire: outcome::Reader<'_>) -> Result<JobOutcome, PeerError> {
    match wire.which().map_err(capnp::Error::from)? {
        outcome::Completed(()) => Ok(JobOutcome::Completed),
        outcome::Failed(()) => Ok(JobOutcome::Failed),
        outcome::Accepted(()) => Ok(JobOutcome::Accepted),
        outcome::GivenUp(()) => Ok(JobOutcome::GivenUp),
        outcome::Refused(refusal) => {
            let refusal = refusal?;
            let kind = read_text(refusal.get_kind())?.parse();
            let kind =
                kind.map_err(|e: model::UnknownVariant| PeerError::BadMessage(e.to_string()))?;
            let retry_after = Duration::from_micros(refusal.get_retry_after_micros());
            Ok(JobOutcome::Refused {
                kind,
                retry_after,
                fits: refusal.get_fits(),
            })
        }
    }
}

pub(crate) fn write_presence(presence: AttemptPresence) -> Presence {
    match presence {
        AttemptPresence::Unknown => Presence::Unknown,
        AttemptPresence::Absent => Presence::Absent,
        AttemptPresence::Present => Presence::Present,
    }
}

/// A value that this process does not know, as a newer one may send, counts as "unknown".
pub(crate) fn read_presence(presence: Result<Presence, capnp::NotInSchema>) -> AttemptPresence {
    match presence {
        Ok(Presence::Absent) => AttemptPresence::Absent,
        Ok(Presence::Present) => AttemptPresence::Present,
        Ok(Presence::Unknown) | Err(_) => AttemptPresence::Unknown,
    }
}

fn read_text(read: Result<capnp::text::Reader<'_>, capnp::Error>) -> Result<&str, PeerError> {
    let reader = read?;
    reader
        .to_str()
        .map_err(|e| PeerError::BadMessage(e.to_string()))
}

fn read_centre_id(
    read: Result<capnp::text::Reader<'_>, capnp::Error>,
) -> Result<DataCentreId, PeerError> {
    let parsed = read_text(read)?.parse();
    parsed.map_err(|e: model::InvalidId| PeerError::BadMessage(e.to_string()))
}

pub(crate) fn read_pool_id(
    read: Result<capnp::text::Reader<'_>, capnp::Error>,
) -> Result<PoolId, PeerError> {
    let parsed = read_text(read)?.parse();
    parsed.map_err(|e: jobs::InvalidPoolId| PeerError::BadMessage(e.to_string()))
}

pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Converts a list length to the 32 bits of the protocol. Lists that are sent are far shorter than that limit.
fn list_length(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
