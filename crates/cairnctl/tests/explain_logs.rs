//! `cairnctl explain --logs` finds the cause of a failed request in the logs of nodes.

#[allow(dead_code, reason = "the fake entry is used by other tests")]
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

/// Guards against a refusal by a share whose class, share and use its operator does not get to see.
#[test]
fn a_refusal_by_a_share_is_explained() {
    let address = closed_address();
    let log = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs/over-share.log");
    for query in [&["--reason", "over_share"][..], &["00000000000000b1"]] {
        let output = run(address, &[&["explain", "--logs", log], query].concat(), "");
        let text = output_text(&output, address);
        assert!(text.contains("reason=over_share"), "{text}");
        let is_list = query.len() > 1;
        let share = "class=r-1/west/wide";
        assert!(
            is_list || text.contains(share) && text.contains("share=14000"),
            "{text}"
        );
        assert!(is_list || text.contains("use=15200"), "{text}");
    }
}

/// A refused job that returned in its turn: when it was told to return, when it was first refused, and one that did not
/// return.
#[test]
fn scheduled_returns_are_explained() {
    let address = closed_address();
    let log = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs/returns.log");
    let mut texts = String::new();
    for job in ["00000000000000b1", "00000000000000b2"] {
        let output = run(address, &["explain", "--logs", log, job], "");
        texts += &output_text(&output, address).replace(log, "LOG");
    }
    assert_snapshot!(texts);
}
