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

fn explain_two_runs(job: &str, files: &[&str]) -> String {
    let address = closed_address();
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs");
    let paths: Vec<String> = files
        .iter()
        .map(|file| format!("{folder}/{file}.log"))
        .collect();
    let mut args = vec!["explain"];
    for path in &paths {
        args.extend(["--logs", path]);
    }
    args.push(job);
    output_text(&run(address, &args, ""), address)
}

/// Guards against two runs of a task at the same time that an operator overlooks among the lines of several nodes: the
/// first attempt at the job was still open when its customer came back at another node.
#[test]
fn two_runs_of_a_task_at_once_are_pointed_out() {
    let both = ["two-runs-vm-1", "two-runs-vm-2"];
    let text = explain_two_runs("00000000000000c1", &both);
    let warnings = text.lines().filter(|line| line.starts_with("warning: "));
    assert_eq!(warnings.count(), 2, "{text}");
    assert_snapshot!(text);
}

/// Guards against a run whose end is in no log and that is taken for over.
#[test]
fn a_run_without_an_end_counts_as_running() {
    let lines = include_str!("logs/two-runs-vm-1.log").lines();
    let lines = lines.filter(|line| !line.contains("run_ended"));
    let folder = std::env::temp_dir().join(format!("cairnctl-no-end-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("vm-1.log");
    std::fs::write(&path, lines.collect::<Vec<_>>().join("\n")).unwrap();
    let other = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs/two-runs-vm-2.log");
    let address = closed_address();
    let args = [
        "explain",
        "--logs",
        path.to_str().unwrap(),
        "--logs",
        other,
        "00000000000000c1",
    ];
    let text = output_text(&run(address, &args, ""), address);
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(
        text.contains("run 501 on i-1 (placed by vm-1) has no end in these logs"),
        "{text}"
    );
}

/// Guards against warnings where the attempts and runs of a job follow each other: the entry noticed the break, the run
/// was stopped, and the next attempts came later.
#[test]
fn attempts_one_after_the_other_are_no_warning() {
    let both = ["two-runs-vm-1", "two-runs-vm-2"];
    let text = explain_two_runs("00000000000000c2", &both);
    assert!(!text.contains("warning: "), "{text}");
    assert_snapshot!(text);
}
