//! What a node makes of entries in the directory that another writer made or damaged: such an entry names no worker to
//! use, is logged once, and changes nothing for the others.

mod support;

use std::time::Duration;

use node::NodeProcess;
use platform_stand_ins::{ExecutorPlan, ExecutorStandIn};
use serde_json::{json, Value};
use support::{config, job, post_job, Platform, CENTRE};

/// Lets a change of the store reach the node: feeds come at most 250 ms apart.
async fn settle() {
    actix_rt::time::sleep(Duration::from_millis(450)).await;
}

/// A way in which an entry can be wrong.
struct EntryCase {
    name: &'static str,
    damage: fn(&mut Value),
}

const CASES: &[EntryCase] = &[
    EntryCase {
        name: "no state",
        damage: |entry| drop_field(entry, "State"),
    },
    EntryCase {
        name: "no address",
        damage: |entry| drop_field(entry, "Addr"),
    },
    EntryCase {
        name: "no service",
        damage: |entry| drop_field(entry, "Service"),
    },
    EntryCase {
        name: "no zone",
        damage: |entry| drop_field(entry, "Zone"),
    },
    EntryCase {
        name: "no capacity",
        damage: |entry| drop_field(entry, "Capacity"),
    },
    EntryCase {
        name: "a capacity without processor",
        damage: |entry| entry["Capacity"] = json!({ "MemMb": 32_768 }),
    },
    EntryCase {
        name: "no labels",
        damage: |entry| drop_field(entry, "Labels"),
    },
    EntryCase {
        name: "no sequence number",
        damage: |entry| drop_field(entry, "Seq"),
    },
    EntryCase {
        name: "an unknown state",
        damage: |entry| entry["State"] = json!("warming"),
    },
    EntryCase {
        name: "a state of another type",
        damage: |entry| entry["State"] = json!(1),
    },
    EntryCase {
        name: "an unknown service",
        damage: |entry| entry["Service"] = json!("nobody-knows"),
    },
    EntryCase {
        name: "a service of another type",
        damage: |entry| entry["Service"] = json!(["svc"]),
    },
    EntryCase {
        name: "an address without a port",
        damage: |entry| entry["Addr"] = json!("10.128.0.9"),
    },
    EntryCase {
        name: "an address of another type",
        damage: |entry| entry["Addr"] = json!({ "Ip": "10.128.0.9" }),
    },
    EntryCase {
        name: "a capacity of another type",
        damage: |entry| entry["Capacity"] = json!({ "Cpu": "16000", "MemMb": 32_768, "Gpu": 0 }),
    },
    EntryCase {
        name: "a negative capacity",
        damage: |entry| entry["Capacity"]["Cpu"] = json!(-16_000),
    },
    EntryCase {
        name: "a capacity of null",
        damage: |entry| entry["Capacity"]["MemMb"] = Value::Null,
    },
    EntryCase {
        name: "a capacity that is no whole number",
        damage: |entry| entry["Capacity"]["Cpu"] = json!(16_000.5),
    },
    EntryCase {
        name: "a capacity beyond any machine's",
        damage: |entry| entry["Capacity"]["Cpu"] = json!(u64::MAX),
    },
    EntryCase {
        name: "labels of another type",
        damage: |entry| entry["Labels"] = json!("a"),
    },
    EntryCase {
        name: "a birth of another type",
        damage: |entry| entry["born"] = json!("1764751000000"),
    },
    EntryCase {
        name: "a birth before 1970",
        damage: |entry| entry["born"] = json!(-1),
    },
    EntryCase {
        name: "a birth that is no whole number",
        damage: |entry| entry["born"] = json!(1_764_751_000_000.5),
    },
    EntryCase {
        name: "a birth of null",
        damage: |entry| entry["born"] = Value::Null,
    },
    EntryCase {
        name: "not an object",
        damage: |entry| *entry = json!("i-0"),
    },
    EntryCase {
        name: "null",
        damage: |entry| *entry = Value::Null,
    },
];

fn drop_field(entry: &mut Value, field: &str) {
    if let Some(fields) = entry.as_object_mut() {
        fields.remove(field);
    }
}

fn unusable_lines(node: &NodeProcess, key: &str) -> usize {
    let log = node.log_lines();
    let of_key = log
        .lines()
        .filter(|line| line.contains("worker_unusable") && line.contains(key));
    of_key.count()
}

async fn complete_jobs(node: &NodeProcess, prefix: &str) {
    for number in 0..4 {
        let id = format!("{prefix}{number:02x}");
        // An estimate far above the run time, so that a busy machine makes no job late.
        let status = post_job(node, &id, &job(2, 200)).await.0;
        assert_eq!(status, 200, "{id}\n{}", node.log_lines());
    }
}

/// Customers notice nothing. Another writer adds entries next to a sound worker's, each wrong in one way, and goes on
/// writing them. A worker behind such an entry is never called, since the entry does not say what it is; the sound one
/// serves, and the log has one line an entry however often it is written.
#[actix_rt::test]
async fn wrong_entries_name_no_worker() {
    let platform = Platform::start(1, Duration::from_millis(10)).await;
    let mut strangers = Vec::new();
    for (number, case) in CASES.iter().enumerate() {
        let life = format!("i-strange-{number:02}");
        let plan = ExecutorPlan {
            id: life.clone(),
            ..ExecutorPlan::default()
        };
        let stranger = ExecutorStandIn::start(plan).await;
        let mut entry = stranger.entry("svc", CENTRE, "ready");
        (case.damage)(&mut entry);
        platform.store.put("servers", &life, &entry);
        strangers.push((life, entry, stranger));
    }
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    settle().await;
    for _ in 0..2 {
        for (life, entry, _) in &strangers {
            platform.store.put("servers", life, entry);
        }
        settle().await;
    }
    complete_jobs(&node, "00000000000001").await;
    for (case, (life, _, stranger)) in CASES.iter().zip(&strangers) {
        assert_eq!(stranger.fence(), 0, "called: {}", case.name);
        assert_eq!(unusable_lines(&node, life), 1, "logged: {}", case.name);
    }
}

/// An entry is not text at all, and another is not even in the store's encoding. The rows beside them are read all the
/// same, also a worker that comes later in the same reading.
#[actix_rt::test]
async fn an_entry_of_other_bytes_names_no_worker() {
    let platform = Platform::start(0, Duration::from_millis(10)).await;
    let store = &platform.store;
    store.put_bytes("servers", "i-bytes", &[0xff, 0xfe, 0x00, 0x9f]);
    store.put_raw("servers", "i-code", "%%% no encoding %%%".to_owned());
    let plan = ExecutorPlan {
        id: "i-sound".to_owned(),
        run_time: Duration::from_millis(10),
        ..ExecutorPlan::default()
    };
    let sound = ExecutorStandIn::start(plan).await;
    let entry = sound.entry("svc", CENTRE, "ready");
    platform.store.put("servers", "i-sound", &entry);
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    settle().await;
    complete_jobs(&node, "00000000000002").await;
    assert_eq!(unusable_lines(&node, "i-bytes"), 1);
    assert_eq!(unusable_lines(&node, "i-code"), 1);
}

/// A known worker's entry is damaged, then written anew by the worker. In between it gets nothing new, and jobs go to
/// the other one; afterwards it serves again.
#[actix_rt::test]
async fn a_damaged_entry_comes_back() {
    futures::future::join_all(CASES.iter().map(damage_and_mend)).await;
}

async fn damage_and_mend(case: &EntryCase) {
    let platform = Platform::start(2, Duration::from_millis(10)).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    settle().await;
    let sound = platform.executors[0].entry("svc", CENTRE, "ready");
    let mut damaged = sound.clone();
    (case.damage)(&mut damaged);
    platform.store.put("servers", "i-0", &damaged);
    settle().await;
    let before = platform.executors[0].runs().len();
    complete_jobs(&node, "00000000000003").await;
    let used = platform.executors[0].runs().len();
    assert_eq!(used, before, "used while damaged: {}", case.name);
    platform.store.put("servers", "i-0", &sound);
    settle().await;
    let status = post_job(&node, "00000000000004ff", &job(4, 10)).await.0;
    assert_eq!(status, 200, "{}", case.name);
    let used = platform.executors[0].runs().len();
    assert!(used > before, "not used again: {}", case.name);
}

/// An entry names a service that the configuration does not have yet. It names a worker as soon as a newer version has
/// the service, and none any more once a version drops it: what has to run there no queue sends any task to.
#[actix_rt::test]
async fn a_service_is_known_once_the_configuration_names_it() {
    let platform = Platform::start(1, Duration::from_millis(10)).await;
    let plan = ExecutorPlan {
        id: "i-other".to_owned(),
        run_time: Duration::from_millis(10),
        ..ExecutorPlan::default()
    };
    let other = ExecutorStandIn::start(plan).await;
    let entry = other.entry("svc-2", CENTRE, "ready");
    platform.store.put("servers", "i-other", &entry);
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    settle().await;
    assert_eq!(other.fence(), 0, "called before it is known");
    let mut moved = config(9);
    moved["Services"] = json!([{ "Name": "svc" }, { "Name": "svc-2" }]);
    moved["Routes"][0]["Service"] = json!("svc-2");
    platform.store.put("op", "config", &moved);
    settle().await;
    complete_jobs(&node, "00000000000005").await;
    assert_eq!(other.runs().len(), 8);
    platform.store.put("op", "config", &config(12));
    settle().await;
    complete_jobs(&node, "00000000000006").await;
    assert_eq!(other.runs().len(), 8);
}

/// An entry names an address of the system itself: the store's, or where this node takes jobs. What answers there is no
/// worker, and calling it as one costs a call each time.
#[actix_rt::test]
async fn an_address_of_the_system_is_no_worker() {
    let platform = Platform::start(1, Duration::from_millis(10)).await;
    let node = platform.start_node(platform.node_settings("vm-1")).await;
    let addresses = [platform.store.address(), node.customer_address()];
    for (number, address) in addresses.iter().enumerate() {
        let mut entry = platform.executors[0].entry("svc", CENTRE, "ready");
        entry["Addr"] = json!(address.to_string());
        let life = format!("i-system-{number}");
        platform.store.put("servers", &life, &entry);
    }
    settle().await;
    complete_jobs(&node, "00000000000007").await;
    for number in 0..addresses.len() {
        let life = format!("i-system-{number}");
        assert_eq!(unusable_lines(&node, &life), 1, "{life}");
    }
}
