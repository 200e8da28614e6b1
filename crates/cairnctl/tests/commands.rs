//! `cairnctl` against scripted responses of an entry: checks the requests, the output and the exit code.

mod support;

use insta::assert_snapshot;

use crate::support::{
    closed_address, output_text, run, FakeAnswer,
    FakeAnswer::{Json, Lost},
    FakeEntry,
};

const VERSION_4: &str = r#"{"customer":"trust","version":4,"head":9,"contract":{"state":"active","concurrency":40,"answer_within_ms":10000,"max_tasks":370,"max_payload_bytes":65536,"may_refuse":"jobs","share":3,"retry_percent":20,"move_queued":false}}"#;

/// Runs the program against the answers, and returns the arguments, the output and the requests as text.
fn case(args: &[&str], input: &str, answers: &[FakeAnswer]) -> String {
    let entry = FakeEntry::start(answers);
    let address = entry.address;
    let output = run(address, args, input);
    let mut text = format!("$ cairnctl {}\n", args.join(" "));
    text += &output_text(&output, address);
    for call in entry.calls() {
        text += &format!("> {}\n", call.trim_end().replace('\n', "\n> "));
    }
    text + "\n"
}

#[test]
fn contracts_are_read() {
    let list = r#"{"contracts":[{"customer":"trust","version":4,"contract":{"state":"active","concurrency":40,"answer_within_ms":10000,"max_tasks":370,"may_refuse":"jobs","share":3}},{"customer":"prairie-civic","version":12,"contract":{"state":"retired","concurrency":160,"answer_within_ms":500,"max_tasks":1,"may_refuse":"nothing","share":1}}],"next":null}"#;
    let page_1 = r#"{"contracts":[{"customer":"a","version":1,"contract":{}}],"next":"a"}"#;
    let page_2 = r#"{"contracts":[{"customer":"b","version":1,"contract":{}}],"next":null}"#;
    let history = r#"{"versions":[{"version":1,"contract":{"concurrency":40,"share":1}},{"version":2,"contract":{"concurrency":60,"share":1}},{"version":3,"contract":{"concurrency":60,"share":3}}],"next":null}"#;
    let missing =
        r#"{"error":{"reason":"not_found","field":null,"message":"there is no such contract"}}"#;
    assert_snapshot!([
        case(&["contract", "show", "trust"], "", &[Json(200, VERSION_4)]),
        case(
            &["--json", "contract", "show", "trust"],
            "",
            &[Json(200, VERSION_4)]
        ),
        case(&["contract", "list"], "", &[Json(200, list)]),
        case(
            &["contract", "list"],
            "",
            &[Json(200, page_1), Json(200, page_2)]
        ),
        case(&["contract", "history", "trust"], "", &[Json(200, history)]),
        case(&["contract", "show", "nobody"], "", &[Json(404, missing)]),
    ]
    .concat());
}

#[test]
fn contracts_are_changed() {
    let create = ["contract", "create", "trust", "--file", "-"];
    let change = [
        "contract",
        "change",
        "trust",
        "--version",
        "4",
        "--file",
        "-",
    ];
    let retire = ["contract", "retire", "trust", "--version", "4"];
    assert_snapshot!([
        case(&create, r#"{"concurrency": 60}"#, &[Json(201, VERSION_4)]),
        case(
            &change,
            r#"{"concurrency": 60}"#,
            &[Json(200, VERSION_4), Json(200, VERSION_4)]
        ),
        case(&retire, "", &[Json(200, VERSION_4)]),
    ]
    .concat());
}

/// Two operators change a contract at once. The losing operator must see that nothing was changed, whether the program
/// sees the other change before it sends its own or only by the entry's refusal.
#[test]
fn a_conflicting_change_changes_nothing() {
    let stale = [
        "contract",
        "change",
        "trust",
        "--version",
        "3",
        "--file",
        "-",
    ];
    let change = [
        "contract",
        "change",
        "trust",
        "--version",
        "4",
        "--file",
        "-",
    ];
    let create = ["contract", "create", "trust", "--file", "-"];
    let conflict = r#"{"error":{"reason":"version_conflict","field":null,"message":"the contract is at version 5; nothing was written","version":5}}"#;
    assert_snapshot!([
        case(&stale, "{}", &[Json(200, VERSION_4)]),
        case(&change, "{}", &[Json(200, VERSION_4), Json(412, conflict)]),
        case(&create, "{}", &[Json(412, conflict)]),
    ]
    .concat());
}

/// The answer to a change is lost after the write may have taken effect. The program reads the contract back. Only the
/// one version that the change can have written, with the content that was sent, proves that the change took effect.
/// Any other state must be reported as unknown, never as "not changed", since the write may still take effect.
#[test]
fn a_change_with_a_lost_answer_is_read_back() {
    let retire = ["contract", "retire", "trust", "--version", "4"];
    let change = [
        "contract",
        "change",
        "trust",
        "--version",
        "4",
        "--file",
        "-",
    ];
    let create = ["contract", "create", "trust", "--file", "-"];
    let retired = r#"{"customer":"trust","version":5,"head":10,"contract":{"state":"retired"}}"#;
    let later = r#"{"customer":"trust","version":6,"head":11,"contract":{"state":"retired"}}"#;
    let other = VERSION_4.replace("\"version\":4", "\"version\":5").leak();
    let own = other
        .replace("\"concurrency\":40", "\"concurrency\":60")
        .leak();
    // The contract that a file without `move_queued` creates.
    let first = own
        .replace("\"version\":5", "\"version\":1")
        .replace("\"move_queued\":false", "\"move_queued\":true")
        .leak();
    let unknown = r#"{"error":{"reason":"outcome_unknown","message":"the change may have been made or may yet be","version":5,"change":"00000000000000aa"}}"#;
    let busy = r#"{"error":{"reason":"contended","field":null,"message":"too many changes at once; nothing was written"}}"#;
    let fields = r#"{"concurrency": 60}"#;
    assert_snapshot!([
        case(&retire, "", &[Lost, Json(200, retired)]),
        case(&retire, "", &[Lost, Json(200, VERSION_4)]),
        case(&retire, "", &[Lost, Json(200, later)]),
        case(&retire, "", &[Lost, Lost]),
        case(&retire, "", &[Json(504, unknown), Json(200, retired)]),
        case(&retire, "", &[Json(504, unknown), Json(404, "{}")]),
        case(&retire, "", &[Json(200, "{\"cust"), Json(200, retired)]),
        case(
            &change,
            fields,
            &[Json(200, VERSION_4), Lost, Json(200, own)]
        ),
        case(
            &change,
            fields,
            &[Json(200, VERSION_4), Lost, Json(200, other)]
        ),
        case(
            &create,
            r#"{"concurrency": 60, "share": 3}"#,
            &[Lost, Json(200, first)]
        ),
        case(&retire, "", &[Json(503, busy)]),
    ]
    .concat());
}

#[test]
fn an_unreachable_entry_is_reported() {
    let address = closed_address();
    let output = run(
        address,
        &["contract", "retire", "trust", "--version", "4"],
        "",
    );
    let text = output_text(&output, address);
    assert!(
        text.starts_with("exit 1\ncairnctl: entry ENTRY cannot be reached, nothing was changed: "),
        "{text}"
    );
    assert_eq!(text.lines().count(), 2, "{text}");
}

/// The file passes validation, so the program fails only when it connects to the entry, which does not run.
#[test]
fn the_example_contract_is_valid() {
    let address = closed_address();
    let file = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../docs/examples/contract.json"
    );
    let output = run(
        address,
        &["contract", "create", "trust", "--file", file],
        "",
    );
    assert_eq!(
        output.status.code(),
        Some(1),
        "{}",
        output_text(&output, address)
    );
}

#[test]
fn explain_and_status() {
    let report = r#"{"submission":"0000000000000007-1","customer":"trust","contract_version":3,"tasks":2,"events":[{"after_ms":0,"event":"admitted"},{"after_ms":1,"event":"offered","task":0,"dispatcher":"vm2"},{"after_ms":1290,"event":"answered","outcome":"unknown","reason":"connection_lost"}],"events_left_out":7}"#;
    let status = r#"{"vm":"vm1","ready":true,"contracts":{"head":12,"age_ms":40},"dispatchers":[{"vm":"vm1","slots":8},{"vm":"vm2\u001b[2J","slots":16}],"note":null}"#;
    assert_snapshot!([
        case(&["explain", "0000000000000007-1"], "", &[Json(200, report)]),
        case(
            &["--json", "explain", "0000000000000007-1"],
            "",
            &[Json(200, report)]
        ),
        case(
            &["explain", "0000000000000007-2"],
            "",
            &[Json(404, "not json")]
        ),
        case(&["status"], "", &[Json(200, status)]),
    ]
    .concat());
}

/// These cases fail before anything is sent, so no entry runs.
#[test]
fn wrong_usage_exits_with_2() {
    let address = closed_address();
    let create = ["contract", "create", "trust", "--file", "-"];
    let table: [(&[&str], &str); 10] = [
        (&[], ""),
        (&["contract", "delete", "trust"], ""),
        (&["contract", "show", "a b"], ""),
        (&["contract", "retire", "trust"], ""),
        (&["contract", "retire", "trust", "--version", "x"], ""),
        (&["explain", "12"], ""),
        (&["schema", "worker"], ""),
        (&create, r#"{"concurency": 1}"#),
        (&create, r#"{"concurrency": 0}"#),
        (&create, "[]"),
    ];
    let mut text = String::new();
    for (args, input) in table {
        let output = run(address, args, input);
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        text += &format!(
            "$ cairnctl {} <<< {input:?}\n{}",
            args.join(" "),
            output_text(&output, address)
        );
    }
    assert_snapshot!(text);
}

#[test]
fn settings_are_checked() {
    let address = closed_address();
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/examples");
    let table: [&[&str]; 6] = [
        &["check-settings", "EXAMPLES/entry.json"],
        &[
            "check-settings",
            "EXAMPLES/dispatcher.json",
            "--role",
            "dispatcher",
        ],
        &["--json", "check-settings", "EXAMPLES/dispatcher.json"],
        &[
            "check-settings",
            "EXAMPLES/dispatcher.json",
            "--role",
            "entry",
        ],
        &["check-settings", "EXAMPLES/contract.json"],
        &["check-settings", "EXAMPLES/none.json", "--role", "entry"],
    ];
    let mut text = String::new();
    for args in table {
        let real: Vec<String> = args
            .iter()
            .map(|arg| arg.replace("EXAMPLES", examples))
            .collect();
        let real: Vec<&str> = real.iter().map(String::as_str).collect();
        let output_text =
            output_text(&run(address, &real, ""), address).replace(examples, "EXAMPLES");
        text += &format!("$ cairnctl {}\n{output_text}", args.join(" "));
    }
    assert_snapshot!(text);
}

#[test]
fn schemas_are_json() {
    let address = closed_address();
    for role in ["entry", "dispatcher"] {
        let output = run(address, &["schema", role], "");
        assert!(output.status.success());
        let schema: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
        assert!(
            schema["properties"]["heartbeat_ms"]["minimum"].is_u64(),
            "{role}"
        );
    }
}

#[test]
fn help_and_completion() {
    let address = closed_address();
    let help = run(address, &["--help"], "");
    assert!(help.status.success());
    assert_snapshot!(String::from_utf8(help.stdout).unwrap());
    let completion = run(address, &["--bpaf-complete-style-bash"], "");
    assert!(completion.status.success());
    assert!(!completion.stdout.is_empty());
}
