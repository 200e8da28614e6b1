//! Sends the calls of a plan at their planned times and collects the answers.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use awc::{Client, Connector};
use base64::{engine::general_purpose::STANDARD, Engine as _};
use futures::future;
use model::Payload;
use serde::Deserialize;
use serde_json::{json, Value};
use stand_ins::endpoint::TaskScript;

use crate::{
    counters::read_counters,
    error::LoadError,
    plan::{plan_load, CallKind, LoadSettings, PlannedCall},
    report::{CallOutcome, CallRecord, LoadReport, ReportInput},
    starts::{read_starts, summarise_starts},
};

/// The largest answer accepted: a job of 370 results in base64.
const MAX_ANSWER_BYTES: usize = 48 * 1024 * 1024;
/// Idle connections are closed after this time, before the entry closes them, so that no call is sent on a connection
/// that is being closed.
const KEEP_ALIVE: Duration = Duration::from_secs(3);

/// The processes that a load run calls or reads, and the customers it calls for.
#[derive(Clone, Debug, Default)]
pub struct LoadTargets {
    /// Addresses of the entries. Calls go to them in round-robin order, as through a load balancer.
    pub entries: Vec<SocketAddr>,
    /// Admin addresses of the dispatchers whose counters are read.
    pub dispatchers: Vec<SocketAddr>,
    /// Addresses of the endpoint stand-ins whose task starts are read.
    pub endpoints: Vec<SocketAddr>,
    /// Names of the customers that submit calls.
    pub customers: Vec<String>,
    /// Number of slots of the system, if known.
    pub slots: Option<u32>,
}

/// Runs the load and waits for the last answer. Must be called inside an actix system.
///
/// `progress` is called after each call is sent, with the number of calls sent before it and the number of planned
/// calls, and with the number of planned calls for both after the last answer. The call records are returned with the
/// report, for drawing response curves.
///
/// # Errors
///
/// Returns [`LoadError::Missing`] if there is no entry or customer, and [`LoadError::Page`] if counters or task starts
/// could not be read.
pub async fn run_load(
    settings: &LoadSettings,
    targets: &LoadTargets,
    progress: impl Fn(u64, u64),
) -> Result<(LoadReport, Vec<CallRecord>), LoadError> {
    if targets.entries.is_empty() {
        return Err(LoadError::Missing("entry"));
    }
    if targets.customers.is_empty() {
        return Err(LoadError::Missing("customer"));
    }
    let settings = LoadSettings {
        customers: targets.customers.len(),
        ..settings.clone()
    };
    let mut processes = targets.entries.clone();
    processes.extend(&targets.dispatchers);
    let before = read_counters(&processes).await?;
    let driver = CallDriver {
        http: build_client(settings.answer_timeout),
        targets: targets.clone(),
        // Endpoints may have run earlier loads with the same seed. The prefix distinguishes the tasks of this run.
        prefix: format!("{:08x}", fastrand::u32(..)),
        round_trips: settings.round_trips,
        started: Instant::now(),
    };
    let plan = plan_load(&settings);
    let planned = plan.len() as u64;
    let mut pending_calls = Vec::new();
    for (number, call) in plan.into_iter().enumerate() {
        let wait = call.send_at.saturating_sub(driver.started.elapsed());
        if !wait.is_zero() {
            actix_rt::time::sleep(wait).await;
        }
        let driver = driver.clone();
        pending_calls.push(actix_rt::spawn(
            async move { driver.call(number, call).await },
        ));
        progress(number as u64, planned);
    }
    let calls: Vec<CallRecord> = future::join_all(pending_calls)
        .await
        .into_iter()
        .filter_map(Result::ok)
        .collect();
    progress(planned, planned);
    let counters = read_counters(&processes).await? - before;
    let mut starts = None;
    if !targets.endpoints.is_empty() {
        let list = read_starts(&targets.endpoints, &driver.prefix).await?;
        starts = Some(summarise_starts(&list));
    }
    let input = ReportInput {
        customers: targets.customers.clone(),
        calls,
        duration: settings.duration,
        slots: targets.slots,
        counters: Some(counters),
        starts,
    };
    Ok((LoadReport::new(&input), input.calls))
}

/// Builds a client without a connection limit. If calls waited for a free connection, the load would no longer be
/// open-loop.
fn build_client(answer_timeout: Duration) -> Client {
    let connector = Connector::new().limit(0).conn_keep_alive(KEEP_ALIVE);
    Client::builder()
        .connector(connector)
        .timeout(answer_timeout)
        .finish()
}

#[derive(Clone)]
struct CallDriver {
    http: Client,
    targets: LoadTargets,
    prefix: String,
    round_trips: Duration,
    started: Instant,
}

#[derive(Debug, Deserialize)]
struct AnswerBody {
    status: String,
    #[serde(default)]
    reason: Option<String>,
    #[serde(default)]
    results: Vec<Payload>,
    #[serde(default)]
    result: Option<Payload>,
}

impl CallDriver {
    async fn call(self, number: usize, call: PlannedCall) -> CallRecord {
        let payloads = self.payloads(number, &call);
        let outcome = self.send(number, &call, &payloads).await;
        CallRecord {
            customer: call.customer,
            kind: call.kind,
            tasks: call.run_ms.len() as u64,
            slot_time: call.slot_time(),
            send_at: call.send_at,
            // Counts from the planned send time, even if this process sent the call late.
            response: self.started.elapsed().saturating_sub(call.send_at),
            ideal: call.ideal(self.round_trips),
            outcome,
        }
    }

    fn payloads(&self, number: usize, call: &PlannedCall) -> Vec<Vec<u8>> {
        let mut payloads = Vec::new();
        for (index, run_ms) in call.run_ms.iter().enumerate() {
            let script = TaskScript {
                run_ms: Some(*run_ms),
                label: Some(format!("{}-{number}-{index}", self.prefix)),
                ..TaskScript::default()
            };
            // A script holds only numbers and text, so serialisation cannot fail.
            payloads.push(serde_json::to_vec(&script).unwrap_or_default());
        }
        payloads
    }

    async fn send(&self, number: usize, call: &PlannedCall, payloads: &[Vec<u8>]) -> CallOutcome {
        let entry = self.targets.entries[number % self.targets.entries.len()];
        let customer = &self.targets.customers[call.customer];
        let task =
            |payload: &Vec<u8>| json!({ "kind": "load", "payload": STANDARD.encode(payload) });
        let (path, body) = match call.kind {
            CallKind::Job => {
                let tasks: Vec<Value> = payloads.iter().map(task).collect();
                ("jobs", json!({ "customer": customer, "tasks": tasks }))
            }
            CallKind::Request => (
                "requests",
                json!({ "customer": customer, "task": task(&payloads[0]) }),
            ),
        };
        let url = format!("http://{entry}/v1/{path}");
        let mut answer = match self.http.post(url).send_json(&body).await {
            Ok(answer) => answer,
            Err(error) => return CallOutcome::Lost(error.to_string()),
        };
        let bytes = match answer.body().limit(MAX_ANSWER_BYTES).await {
            Ok(bytes) => bytes,
            Err(error) => return CallOutcome::Lost(error.to_string()),
        };
        match serde_json::from_slice(&bytes) {
            Ok(body) => classify_answer(body, payloads),
            Err(_) => CallOutcome::Wrong,
        }
    }
}

fn classify_answer(body: AnswerBody, payloads: &[Vec<u8>]) -> CallOutcome {
    let reason = body.reason.unwrap_or_default();
    match body.status.as_str() {
        "complete" => {
            let results = body.results.iter().chain(&body.result);
            let results: Vec<&[u8]> = results.map(|payload| &payload.0[..]).collect();
            if results == payloads {
                CallOutcome::Complete
            } else {
                CallOutcome::Wrong
            }
        }
        "failed" => CallOutcome::Failed(reason),
        "refused" => CallOutcome::Refused(reason),
        "unknown" => CallOutcome::Unknown(reason),
        _ => CallOutcome::Wrong,
    }
}
