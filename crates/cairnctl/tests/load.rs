//! `cairnctl load` against real entries: the calls are spread over all entries, and the report is one JSON line.

use std::{net::SocketAddr, process::Command};

use demo::{DemoFleet, FleetSettings};
use load::read_counters;
use serde_json::Value;

#[test]
fn calls_are_spread_over_all_entries() {
    actix_rt::System::new().block_on(async {
        let fleet = DemoFleet::start(FleetSettings::default()).await.unwrap();
        fleet.wait_until_ready().await.unwrap();
        let customer = "customer-1".parse().unwrap();
        fleet.create_contract(&customer).await.unwrap();
        fleet.wait_until_in_force(&customer).await.unwrap();
        let entries = fleet.caller_addresses();
        let targets = entries.clone();
        let line = tokio::task::spawn_blocking(move || run_load(&targets))
            .await
            .unwrap();
        for entry in entries {
            let offers = read_counters(&[entry]).await.unwrap().offers;
            assert!(offers > 0.0, "no task was offered through {entry}");
        }
        fleet.stop().await;
        let report: Value = serde_json::from_str(&line).unwrap();
        assert_eq!(line.lines().count(), 1);
        let count = |name: &str| report["all"][name].as_u64().unwrap();
        assert!(count("complete") > 1);
        assert_eq!(count("complete"), count("jobs") + count("requests"));
    });
}

fn run_load(entries: &[SocketAddr]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cairnctl"));
    command.args(["--json", "load", "--rate", "60", "--seconds", "2"]);
    command.args(["--customers", "1"]);
    for entry in entries {
        command.args(["--entry", &entry.to_string()]);
    }
    let output = command.output().unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    assert_eq!(errors, "");
    String::from_utf8(output.stdout).unwrap()
}
