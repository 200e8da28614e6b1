//! Clients of an entry and a dispatcher that do not behave.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use awc::Client;
use contracts::{ContractEditor, EditorSettings};
use kernel::SystemClock;
use model::{Contract, CustomerId, EndpointState, VmEntry, VmRole};
use platform::{ClientSettings, PlatformClient};
use scenario::ports::PortHold;
use serde_json::json;
use stand_ins::{
    endpoint::{EndpointSettings, EndpointStandIn},
    platform::{PlatformSettings, PlatformStandIn},
};

use crate::{
    crowd::{chunked_request, chunks, questions, sized_request, Crowd},
    process::{wait_until, TestProcess, FEW_DESCRIPTORS, SMALLEST_DESCRIPTORS, SMALLEST_MEMORY},
    TURN,
};

const HOST: &str = "entry.example";

/// The largest body that the entry's settings allow, in bytes.
const MAX_BODY: usize = 1_048_576;

/// The most bytes of open submissions by the entry's settings.
const MAX_OPEN: usize = 8 * MAX_BODY;

/// The clients of a crowd that sends large bodies.
const CROWD: usize = 200;

/// The clients of a crowd that sends many requests each and reads no answers.
const SILENT_READERS: usize = 60;

/// The clients of a crowd that exceeds [`FEW_DESCRIPTORS`].
const MANY_CONNECTIONS: usize = 400;

/// How often an ordinary caller tries.
const MAX_TRIES: usize = 60;

/// `max_open_bytes` counts whole submissions; bodies that never end are not among them.
#[actix_rt::test]
async fn large_bodies_without_their_last_byte() {
    let sent = [
        sized_request("/v1/jobs", HOST, MAX_BODY),
        vec![b' '; MAX_BODY - 1],
    ];
    check(
        Listener::Callers,
        SMALLEST_DESCRIPTORS,
        CROWD,
        sent.concat(),
    )
    .await;
}

/// The same in chunks, which do not state a length.
#[actix_rt::test]
async fn large_chunks_without_an_end() {
    let sent = [
        chunked_request("/v1/jobs", HOST),
        chunks(&vec![b' '; MAX_BODY], 64 * 1_024),
    ];
    check(
        Listener::Callers,
        SMALLEST_DESCRIPTORS,
        CROWD,
        sent.concat(),
    )
    .await;
}

/// Answers that nobody reads pile up in the process.
#[actix_rt::test]
async fn metrics_of_an_entry_that_are_never_read() {
    let sent = questions("/metrics", HOST, 2_000);
    check(
        Listener::Callers,
        SMALLEST_DESCRIPTORS,
        SILENT_READERS,
        sent,
    )
    .await;
}

/// The same at the admin listener of a dispatcher.
#[actix_rt::test]
async fn metrics_of_a_dispatcher_that_are_never_read() {
    let sent = questions("/metrics", HOST, 10_000);
    check(Listener::Admin, SMALLEST_DESCRIPTORS, SILENT_READERS, sent).await;
}

/// Connections take all descriptors, and none is left for the platform and dispatchers.
#[actix_rt::test]
async fn more_idle_connections_to_an_entry_than_descriptors() {
    check(
        Listener::Callers,
        FEW_DESCRIPTORS,
        MANY_CONNECTIONS,
        Vec::new(),
    )
    .await;
}

/// The same at the admin listener of a dispatcher.
#[actix_rt::test]
async fn more_idle_connections_to_a_dispatcher_than_descriptors() {
    check(
        Listener::Admin,
        FEW_DESCRIPTORS,
        MANY_CONNECTIONS,
        Vec::new(),
    )
    .await;
}

/// The listener that a crowd connects to.
#[derive(Clone, Copy)]
enum Listener {
    Callers,
    Admin,
}

async fn check(listener: Listener, descriptors: u64, count: usize, sent: Vec<u8>) {
    let _turn = TURN.lock().await;
    let mut testbed = OwnTestbed::start(descriptors).await;
    testbed.serve_ordinary_job("before the crowd").await;
    let address = match listener {
        Listener::Callers => testbed.callers,
        Listener::Admin => testbed.admin,
    };
    let crowd = Crowd::send(address, count, vec![sent]).await;
    testbed.entry.settle().await;
    testbed.dispatcher.settle().await;
    testbed.check_usage();
    testbed.serve_ordinary_job("beside the crowd").await;
    drop(crowd);
    testbed.serve_ordinary_job("after the crowd").await;
    testbed.check_usage();
}

/// One entry and one dispatcher with their platform and an endpoint.
struct OwnTestbed {
    entry: TestProcess,
    dispatcher: TestProcess,
    callers: SocketAddr,
    admin: SocketAddr,
    _platform: PlatformStandIn,
    _endpoint: EndpointStandIn,
}

impl OwnTestbed {
    async fn start(descriptors: u64) -> Self {
        let hold = PortHold::new(3).expect("free ports");
        let addresses = hold.addresses().expect("free ports");
        drop(hold);
        let [callers, peers, admin] = addresses[..] else {
            panic!("three addresses: {addresses:?}");
        };
        let platform = PlatformStandIn::start(PlatformSettings::default()).expect("a platform");
        let endpoint = EndpointStandIn::start(EndpointSettings {
            id: "e-1".parse().expect("an id"),
            slots: 8,
            ..EndpointSettings::default()
        })
        .expect("an endpoint");
        platform.set_vms(vec![
            vm("e-1", VmRole::Endpoint, endpoint.address(), 8),
            vm("vm-1", VmRole::System, peers, 0),
        ]);
        let client = PlatformClient::new(
            ClientSettings {
                address: platform.address(),
                ..ClientSettings::default()
            },
            Arc::new(SystemClock),
        );
        let editor = ContractEditor::new(client, EditorSettings::default(), fastrand::Rng::new());
        let customer: CustomerId = "trust".parse().expect("a customer");
        let created = editor.create(&customer, Contract::default()).await;
        created.expect("a contract");
        let dispatcher = json!({
            "vm": "vm-1", "data_centre": "hall", "peer_listen": peers, "admin_listen": admin,
            "platform": platform.address(), "vm_list_ms": 200, "refresh_ms": 200,
        });
        let entry = json!({
            "vm": "vm-1", "data_centre": "hall", "caller_listen": callers,
            "platform": platform.address(),
            "dispatchers": [{ "address": peers, "data_centre": "hall" }],
            "max_body_bytes": MAX_BODY, "max_open_bytes": MAX_OPEN,
        });
        let testbed = Self {
            dispatcher: TestProcess::start("dispatcher", &dispatcher, descriptors),
            entry: TestProcess::start("entry", &entry, descriptors),
            callers,
            admin,
            _platform: platform,
            _endpoint: endpoint,
        };
        let url = format!("http://{callers}/ready");
        wait_until("the entry is ready", || async {
            let answer = Client::default().get(&url).send().await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
        testbed
    }

    fn check_usage(&mut self) {
        self.entry.check_usage(SMALLEST_MEMORY);
        self.dispatcher.check_usage(SMALLEST_MEMORY);
    }

    /// Submits a job as an ordinary caller does, who comes again after a refusal or a broken connection.
    async fn serve_ordinary_job(&self, when: &str) {
        let mut last = None;
        for _ in 0..MAX_TRIES {
            last = self.submit().await;
            if last.as_ref().is_some_and(|(status, _)| *status == 200) {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(250)).await;
        }
        panic!(
            "no ordinary job is served {when}: {last:?}\n{}\n{}",
            self.entry.log_end(),
            self.dispatcher.log_end()
        );
    }

    async fn submit(&self) -> Option<(u16, String)> {
        let body = json!({
            "customer": "trust", "deadline_ms": 2_000,
            "tasks": [{ "kind": "hold", "payload": "AAAA" }],
        });
        let request = Client::default()
            .post(format!("http://{}/v1/jobs", self.callers))
            .timeout(Duration::from_secs(5));
        let mut answer = request.send_json(&body).await.ok()?;
        let body = answer.body().await.ok()?;
        let body = String::from_utf8_lossy(&body).into_owned();
        Some((answer.status().as_u16(), body))
    }
}

fn vm(id: &str, role: VmRole, address: SocketAddr, slots: u32) -> VmEntry {
    VmEntry {
        id: id.parse().expect("an id"),
        data_centre: "hall".parse().expect("a data centre"),
        role,
        address,
        slots,
        state: EndpointState::Live,
    }
}
