//! `cairnctl` against a real entry backed by stand-ins: client and server of the operator API must agree.

#[allow(dead_code)]
mod support;

use std::net::SocketAddr;

use demo::{DemoFleet, FleetSettings};
use insta::assert_snapshot;

use crate::support::{output_text, run};

#[test]
fn a_contract_from_creation_to_retirement() {
    let system = actix_rt::System::new();
    let text = system.block_on(async {
        let fleet = DemoFleet::start(FleetSettings::default()).await.unwrap();
        fleet.wait_until_ready().await.unwrap();
        let entry = fleet.caller_addresses()[0];
        let text = tokio::task::spawn_blocking(move || all_commands(entry))
            .await
            .unwrap();
        assert_eq!(fleet.stop().await, 0);
        text
    });
    assert_snapshot!(text);
}

fn all_commands(entry: SocketAddr) -> String {
    let create = ["contract", "create", "trust", "--file", "-"];
    let change = [
        "contract",
        "change",
        "trust",
        "--version",
        "1",
        "--file",
        "-",
    ];
    let table: [(&[&str], &str); 10] = [
        (&["contract", "show", "trust"], ""),
        (&create, r#"{"concurrency": 60, "share": 3}"#),
        (&create, "{}"),
        (&change, r#"{"concurrency": 80}"#),
        (&change, r#"{"concurrency": 90}"#),
        (&["contract", "retire", "trust", "--version", "2"], ""),
        (&["contract", "retire", "trust", "--version", "2"], ""),
        (&["contract", "show", "trust"], ""),
        (&["contract", "list"], ""),
        (&["contract", "history", "trust"], ""),
    ];
    let mut text = String::new();
    for (args, input) in table {
        let output = run(entry, args, input);
        text += &format!(
            "$ cairnctl {} <<< {input:?}\n{}\n",
            args.join(" "),
            output_text(&output, entry)
        );
    }
    text
}
