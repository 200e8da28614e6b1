//! Task starts recorded by the endpoint stand-ins, which are the ground truth of a run.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use model::{CustomerId, FastMap};
use serde::Serialize;
use stand_ins::endpoint::{EndpointRecord, TaskScript};

use crate::{counters::fetch_page, error::LoadError};

const MAX_RECORD_BYTES: usize = 512 * 1024 * 1024;

/// One start of a task of this run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskStart {
    /// Label in the task's payload, unique to the task.
    pub label: String,
    /// Customer of the task.
    pub customer: CustomerId,
    /// Start time in milliseconds, on one timeline for all endpoints.
    pub from_ms: i64,
    /// End time in milliseconds, on the same timeline. For starts read from an endpoint it is the start time plus the
    /// run time that the payload sets.
    pub to_ms: i64,
}

/// Summary of the task starts of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StartSummary {
    /// Task starts, including repeated starts of the same task.
    pub starts: u64,
    /// Starts of a task after its first start.
    pub doubled: u64,
    /// The most tasks of each customer that ran at the same time over all endpoints.
    #[serde(skip)]
    pub peaks: FastMap<CustomerId, u32>,
    /// The most tasks that ran at the same time.
    pub peak: u32,
}

/// Counts the starts, the repeated starts and the most tasks that ran at the same time.
pub fn summarise_starts(starts: &[TaskStart]) -> StartSummary {
    let mut starts_by_label = FastMap::<&str, u64>::default();
    let mut edges = Vec::new();
    for start in starts {
        *starts_by_label.entry(&start.label).or_default() += 1;
        edges.push((start.from_ms, 1_i8, &start.customer));
        edges.push((start.to_ms, -1, &start.customer));
    }
    // Ends sort before starts of the same millisecond, so a slot that is freed and taken within one millisecond does
    // not count as taken twice.
    edges.sort_by_key(|edge| (edge.0, edge.1));
    let mut summary = StartSummary {
        starts: starts.len() as u64,
        doubled: starts_by_label.values().map(|count| count - 1).sum(),
        ..StartSummary::default()
    };
    let mut running = FastMap::<&CustomerId, u32>::default();
    let mut total_running = 0;
    for (_, step, customer) in edges {
        let count = running.entry(customer).or_default();
        if step < 0 {
            *count = count.saturating_sub(1);
            total_running -= 1;
            continue;
        }
        *count += 1;
        total_running += 1;
        summary.peak = summary.peak.max(total_running);
        let peak = summary.peaks.entry(customer.clone()).or_default();
        *peak = (*peak).max(*count);
    }
    summary
}

/// Reads the starts of the tasks whose labels begin with `prefix`.
pub(crate) async fn read_starts(
    endpoints: &[SocketAddr],
    prefix: &str,
) -> Result<Vec<TaskStart>, LoadError> {
    let client = Client::builder().timeout(Duration::from_secs(60)).finish();
    let started = std::time::Instant::now();
    let mut starts = Vec::new();
    for endpoint in endpoints {
        let url = format!("http://{endpoint}/control/starts");
        let page = fetch_page(&client, url.clone(), MAX_RECORD_BYTES).await?;
        let local_ms = started.elapsed().as_millis() as i64;
        let record: EndpointRecord =
            serde_json::from_slice(&page).map_err(|error| LoadError::Page {
                url,
                cause: error.to_string(),
            })?;
        let clock_offset_ms = local_ms - record.now_ms as i64;
        for start in record.starts {
            let Some(payload) = start.payload else {
                continue;
            };
            let script = TaskScript::read(payload.as_bytes());
            let Some(label) = script.label.filter(|label| label.starts_with(prefix)) else {
                continue;
            };
            let from_ms = start.started_ms as i64 + clock_offset_ms;
            starts.push(TaskStart {
                label,
                customer: start.customer,
                from_ms,
                to_ms: from_ms + script.run_ms.unwrap_or(0) as i64,
            });
        }
    }
    Ok(starts)
}
