//! Runs the callers' examples of `docs/API.md` and checks that the page shows the actual answers.

use std::net::SocketAddr;

use demo::{DemoFleet, FleetSettings};
use model::{CustomerId, SubmissionId};
use stand_ins::platform::{DownMode, FaultSettings};

use crate::caller::{call, http_message, send, start_fleet, wait_for, HttpReply};

const API_PAGE: &str = include_str!("../../../../docs/API.md");

/// The entry incarnation in the ids on the page, which stands for the actual one of each run.
const SHOWN_INCARNATION: &str = "98ce8a3683357382";

/// Headers that the page shows.
const SHOWN_HEADERS: [&str; 1] = ["retry-after"];

/// A payload whose task runs for two seconds, in base64.
const LONG_PAYLOAD: &str = "eyJydW5fbXMiOjIwMDB9";

/// A fleet with two entries, and the example blocks that are missing on the page.
struct Examples {
    fleet: DemoFleet,
    entries: Vec<SocketAddr>,
    /// Id of the submission before the first one on the page. Its serial corresponds to serial 0 on the page.
    base: SubmissionId,
    missing_blocks: String,
}

/// One example call, with ids as on the page.
#[derive(Clone, Copy)]
struct Example<'a> {
    /// Entry that is called: `A` or `B`.
    entry: char,
    method: &'a str,
    path: &'a str,
    key: Option<&'a str>,
    body: &'a str,
}

impl<'a> Example<'a> {
    fn post(entry: char, path: &'a str, body: &'a str) -> Self {
        Self {
            entry,
            method: "POST",
            path,
            key: None,
            body,
        }
    }

    fn without_body(method: &'a str, path: &'a str) -> Self {
        Self {
            entry: 'A',
            method,
            path,
            key: None,
            body: "",
        }
    }

    fn command(&self) -> String {
        let mut command = "    $ curl -i ".to_owned();
        if self.method != "GET" {
            command += &format!("-X {} ", self.method);
        }
        command += &format!("http://${}{}", self.entry, self.path);
        if let Some(key) = self.key {
            command += &format!(" -H 'Idempotency-Key: {key}'");
        }
        if !self.body.is_empty() {
            command += &format!(" \\\n        -d '{}'", self.body);
        }
        command
    }
}

impl Examples {
    async fn start() -> Self {
        let fleet = start_fleet(FleetSettings {
            endpoints: 1,
            slots: 1,
            ..Default::default()
        })
        .await;
        let customer: CustomerId = "trust".parse().expect("a name");
        fleet.create_contract(&customer).await.expect("contract");
        fleet
            .wait_until_in_force(&customer)
            .await
            .expect("contract in force");
        let entries = fleet.caller_addresses();
        let ticket_body = r#"{"customer":"trust"}"#;
        let issued = send(
            entries[0],
            &http_message("POST", "/v1/tickets", "", ticket_body.as_bytes()),
        )
        .await;
        let base = issued.text("ticket").trim_start_matches('t');
        Self {
            entries,
            base: base.parse().expect("an id"),
            fleet,
            missing_blocks: String::new(),
        }
    }

    async fn send(&self, example: Example<'_>) -> HttpReply {
        let entry = self.entries[usize::from(example.entry == 'B')];
        let key = example.key.map(|key| format!("idempotency-key: {key}\r\n"));
        let headers = key.unwrap_or_default();
        let path = self.to_actual_ids(example.path);
        let body = self.to_actual_ids(example.body);
        let bytes = http_message(example.method, &path, &headers, body.as_bytes());
        send(entry, &bytes).await
    }

    async fn run(&mut self, example: Example<'_>) {
        let reply = self.send(example).await;
        self.check_shown(example, &reply);
    }

    fn check_shown(&mut self, example: Example<'_>, reply: &HttpReply) {
        let mut block = format!("{}\n    {}\n", example.command(), reply.status_line);
        for line in reply.head.lines() {
            if SHOWN_HEADERS.iter().any(|name| line.starts_with(name)) {
                block += &format!("    {line}\n");
            }
        }
        block += &format!("\n    {}\n", reply.body);
        let block = self.to_shown_ids(&block);
        if !API_PAGE.contains(&block) {
            self.missing_blocks += &format!("{block}\n");
        }
    }

    /// Id of the next submission, as the page shows it.
    async fn next_id(&self) -> String {
        let ticket_body = r#"{"customer":"trust"}"#;
        let reply = self
            .send(Example::post('A', "/v1/tickets", ticket_body))
            .await;
        let id = reply.text("ticket").trim_start_matches('t');
        let mut id: SubmissionId = id.parse().expect("an id");
        id.serial += 1;
        self.to_shown_ids(&id.to_string())
    }

    /// Replaces the actual ids of this run by those on the page.
    fn to_shown_ids(&self, text: &str) -> String {
        let actual = self.base.incarnation.to_string();
        replace_ids(text, &actual, SHOWN_INCARNATION, |n| n - self.base.serial)
    }

    /// Replaces the ids on the page by the actual ids of this run.
    fn to_actual_ids(&self, text: &str) -> String {
        let actual = self.base.incarnation.to_string();
        replace_ids(text, SHOWN_INCARNATION, &actual, |n| n + self.base.serial)
    }
}

fn replace_ids(text: &str, from: &str, to: &str, renumber: impl Fn(u64) -> u64) -> String {
    let from = format!("{from}-");
    let mut parts = text.split(&from);
    let mut replaced = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let end = part.find(|c: char| !c.is_ascii_hexdigit());
        let (serial, rest) = part.split_at(end.unwrap_or(part.len()));
        let serial = u64::from_str_radix(serial, 16).expect("a serial");
        replaced += &format!("{to}-{:x}{rest}", renumber(serial));
    }
    replaced
}

async fn run_calls(examples: &mut Examples) {
    let job = r#"{"customer":"trust","deadline_ms":2000,"tasks":[{"kind":"readiness","payload":"AAAA"},{"kind":"readiness","payload":"AAEC","declared_run_ms":50}]}"#;
    examples.run(Example::post('A', "/v1/jobs", job)).await;
    let hold = r#"{"customer":"trust","task":{"kind":"hold","payload":"AAAA"}}"#;
    let other = r#"{"customer":"trust","task":{"kind":"hold","payload":"AAAB"}}"#;
    examples.run(Example::post('A', "/v1/requests", hold)).await;
    for (entry, body) in [('A', hold), ('B', hold), ('B', other)] {
        let key = Some("hold-17");
        let example = Example::post(entry, "/v1/requests", body);
        examples.run(Example { key, ..example }).await;
    }
    for body in [
        r#"{"customer":"trust","tasks":[{"kind":"k","payload":"???"}]}"#,
        r#"{"customer":"nobody","tasks":[{"kind":"k","payload":"AAAA"}]}"#,
    ] {
        examples.run(Example::post('A', "/v1/jobs", body)).await;
    }
    examples.run(Example::without_body("PUT", "/v1/jobs")).await;
}

async fn run_ticket(examples: &mut Examples) {
    let ticket_body = r#"{"customer":"trust"}"#;
    let example = Example::post('A', "/v1/tickets", ticket_body);
    let reply = examples.send(example).await;
    examples.check_shown(example, &reply);
    let ticket = examples.to_shown_ids(reply.text("ticket"));
    let body = format!(
        r#"{{"customer":"trust","ticket":"{ticket}","task":{{"kind":"confirm","payload":"AAAA"}}}}"#
    );
    for entry in ['A', 'B'] {
        examples
            .run(Example::post(entry, "/v1/requests", &body))
            .await;
    }
    let path = format!("/v1/requests/{}", ticket.trim_start_matches('t'));
    examples.run(Example::without_body("GET", &path)).await;
}

/// One request runs and another waits for the only slot. Gets the state of the running one, tries to cancel both, and
/// gets the outcome of the cancelled one.
async fn run_cancels(examples: &mut Examples) {
    let long =
        format!(r#"{{"customer":"trust","task":{{"kind":"hold","payload":"{LONG_PAYLOAD}"}}}}"#);
    let mut paths = Vec::new();
    let mut answers = Vec::new();
    for event in ["started", "queued"] {
        let id = examples.next_id().await;
        let bytes = http_message("POST", "/v1/requests", "", long.as_bytes());
        let entry = examples.entries[0];
        answers.push(actix_rt::spawn(async move { send(entry, &bytes).await }));
        let explain = examples.to_actual_ids(&format!("/v1/explain/{id}"));
        wait_for(async || {
            let report = call(entry, "GET", &explain).await;
            report.json.to_string().contains(event)
        })
        .await;
        paths.push(format!("/v1/requests/{id}"));
    }
    examples.run(Example::without_body("GET", &paths[0])).await;
    for path in &paths {
        examples.run(Example::without_body("DELETE", path)).await;
    }
    examples.run(Example::without_body("GET", &paths[1])).await;
    for answer in answers {
        answer.await.expect("an answer");
    }
}

async fn run_outage(examples: &mut Examples) {
    let down = FaultSettings::down(DownMode::Unavailable);
    examples.fleet.set_platform_faults(down);
    let body = r#"{"customer":"trust","deadline_ms":1000,"task":{"kind":"hold","payload":"AAAA"}}"#;
    let example = Example::post('A', "/v1/requests", body);
    let key = Some("hold-18");
    examples.run(Example { key, ..example }).await;
}

#[actix_rt::test]
async fn documented_examples_match_the_answers() {
    let mut examples = Examples::start().await;
    run_calls(&mut examples).await;
    run_ticket(&mut examples).await;
    run_cancels(&mut examples).await;
    run_outage(&mut examples).await;
    println!("{}", examples.missing_blocks);
    assert!(
        examples.missing_blocks.is_empty(),
        "docs/API.md does not show the actual answers"
    );
    assert_eq!(examples.fleet.stop().await, 0);
}
