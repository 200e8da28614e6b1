//! `cairnctl explain --logs`: from the logs of nodes to the cause of a failed request.

#[allow(dead_code, reason = "the fake entry is for other tests")]
mod support;

use insta::assert_snapshot;

use crate::support::{closed_address, output_text, run};

fn case(args: &[&str]) -> String {
    let address = closed_address();
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs");
    let (first, second) = (
        format!("{folder}/vm-1.log"),
        format!("{folder}/collected.log"),
    );
    let logs = ["explain", "--logs", &first, "--logs", &second];
    let output = run(address, &[&logs[..], args].concat(), "");
    let text = output_text(&output, address).replace(folder, "LOGS");
    format!("$ cairnctl explain --logs ... {}\n{text}\n", args.join(" "))
}

#[test]
fn jobs_are_listed_and_explained() {
    assert_snapshot!([
        case(&["--failed"]),
        case(&["--slowest", "1"]),
        case(&["--reason", "too_late"]),
        case(&["00000000000000a1"]),
        case(&["00000000000000a2"]),
        case(&["00000000000000ff"]),
        case(&["--failed", "--slowest", "1"]),
        case(&["--logs", "no-such-file", "--failed"]),
    ]
    .concat());
}
