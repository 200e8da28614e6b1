//! Which settings are accepted, and the errors for those that are not.

use std::path::Path;

use insta::assert_snapshot;
use model::{LoadPolicies, PlacementPolicy};
use serde_json::{json, Map, Value};
use settings::{
    dispatcher_schema, entry_schema, load_dispatcher, load_entry, parse_dispatcher, parse_entry,
    parse_node, DispatcherSettings, EntrySettings, LogLevel, LogPart, LogSettings,
};

const IDENTITY_FIELDS: &str = r#""vm": "v1", "data_centre": "dc1""#;

fn error_text(fields: &str) -> String {
    parse_entry(&format!("{{\n  {IDENTITY_FIELDS},\n  {fields}\n}}"))
        .map(|_| "accepted".to_owned())
        .unwrap_or_else(|e| e.to_string())
}

/// Guards against a node that ignores a misspelt load policy and serves with another one than the operator chose.
#[test]
fn load_policies_of_a_node_are_checked() {
    let node = |load: &str| {
        let text = format!("{{{IDENTITY_FIELDS}, \"load\": {load}}}");
        parse_node(&text).map(|settings| settings.load)
    };
    let chosen = node(r#"{"placement": "expected_end"}"#);
    let expected = LoadPolicies {
        placement: PlacementPolicy::ExpectedEnd,
        ..LoadPolicies::default()
    };
    assert_eq!(chosen.unwrap(), expected);
    let wrong = [
        r#"{"placement": "best"}"#,
        r#"{"shares": "max_min"}"#,
        r#"{"run_times": "mean", "run_times": "distribution"}"#,
    ];
    let errors = wrong.map(|load| node(load).unwrap_err().to_string());
    assert_snapshot!(errors.join("\n"));
}

#[test]
fn errors_name_the_location_and_the_cause() {
    let table = [
        (r#""heartbeat_ms": "5s""#, "text for a number"),
        (r#""heartbeat_ms": 5"#, "below the range"),
        (r#""heartbeat_ms": 1.5"#, "not whole"),
        (r#""heartbeat_ms": -1"#, "negative"),
        (r#""heartbeat_s": 1"#, "another unit"),
        (r#""drain": {"notice": 1}"#, "unit left out, nested"),
        (r#""callers_listen": "127.0.0.1:1""#, "unknown field"),
        (r#""platform": "platform.local:80""#, "a host name"),
        (
            r#""dispatchers": [{"address": "127.0.0.1:1"}]"#,
            "missing in a list",
        ),
        (r#""placement": "best""#, "unknown choice"),
        (r#""log": {"parts": {"peers": "warn"}}"#, "unknown part"),
        (r#""log": {"level": "loud"}"#, "unknown level"),
        (r#""vm": "v2""#, "twice"),
        (r#""data_centre": "a b""#, "twice and wrong"),
        (
            r#""give_up_margin_ms": 10"#,
            "a setting of earlier versions",
        ),
        (
            r#""session_timeout_ms": 150"#,
            "shorter than two heartbeats",
        ),
        (r#""freshness_ms": 100"#, "no longer than a heartbeat"),
        (r#""max_open_bytes": 1024"#, "less than one body"),
        (r#""max_body_bytes": "32 MB""#, "text for a size"),
        (r#""heartbeat_ms": 100,"#, "trailing comma"),
        (r#""heartbeat_ms": 100} {"#, "two documents"),
    ];
    let mut page = String::new();
    for (fields, description) in table {
        page += &format!("{description}: {fields}\n    {}\n", error_text(fields));
    }
    assert_snapshot!(page);
}

#[test]
fn identity_has_no_default() {
    let table = [
        "{}",
        r#"{"vm": "v1"}"#,
        r#"{"vm": "unset", "data_centre": "d"}"#,
        "",
        "[]",
    ];
    let mut page = String::new();
    for text in table {
        let entry = parse_entry(text).expect_err(text);
        let dispatcher = parse_dispatcher(text).expect_err(text);
        page += &format!("{text}\n    {entry}\n    {dispatcher}\n");
    }
    assert_snapshot!(page);
}

#[test]
fn dispatcher_rules() {
    let table = [
        r#""suspect_ms": 150"#,
        r#""grant_term_ms": 150"#,
        r#""admin_listen": "127.0.0.1:9080""#,
        r#""endpoint": {"connect_timeout": 1}"#,
    ];
    let mut page = String::new();
    for fields in table {
        let text = format!("{{{IDENTITY_FIELDS}, {fields}}}");
        let error = parse_dispatcher(&text).expect_err(fields);
        page += &format!("{fields}\n    {error}\n");
    }
    assert_snapshot!(page);
}

#[test]
fn the_error_for_a_missing_file_names_it() {
    let error = load_entry(Path::new("no/such.json")).expect_err("there is no such file");
    assert!(
        error
            .to_string()
            .starts_with("no/such.json: cannot be read: "),
        "{error}"
    );
}

#[test]
fn examples_load() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/examples");
    let entry = load_entry(&examples.join("entry.json")).unwrap();
    let dispatcher = load_dispatcher(&examples.join("dispatcher.json")).unwrap();
    assert_eq!(entry.vm, dispatcher.vm);
    assert_eq!(entry.log.level_of(LogPart::Peer), LogLevel::Warn);
    assert_eq!(entry.log.level_of(LogPart::Entry), LogLevel::Info);
}

#[test]
fn written_settings_are_read_back_unchanged() {
    let entry = EntrySettings {
        vm: "v1".parse().unwrap(),
        data_centre: "dc1".parse().unwrap(),
        log: LogSettings {
            json: true,
            ..LogSettings::default()
        },
        ..EntrySettings::default()
    };
    let text = serde_json::to_string(&entry).unwrap();
    assert_eq!(parse_entry(&text).unwrap(), entry);
    let dispatcher = DispatcherSettings {
        vm: "v1".parse().unwrap(),
        data_centre: "dc1".parse().unwrap(),
        ..DispatcherSettings::default()
    };
    let text = serde_json::to_string(&dispatcher).unwrap();
    assert_eq!(parse_dispatcher(&text).unwrap(), dispatcher);
}

/// The ranges in the schema are those that the parser enforces: a value one past either end is rejected as out of
/// range.
#[test]
fn schema_and_parser_agree_on_ranges() {
    let entry = schema_ranges(&entry_schema(), |text| {
        parse_entry(text).err().map(|e| e.to_string())
    });
    let dispatcher = schema_ranges(&dispatcher_schema(), |text| {
        parse_dispatcher(text).err().map(|e| e.to_string())
    });
    assert_eq!((entry, dispatcher), (15, 13));
}

fn schema_ranges(schema: &Value, parse_error: impl Fn(&str) -> Option<String>) -> usize {
    let mut checked = 0;
    for (path, property) in properties(schema, schema) {
        let (Some(min), Some(max)) = (property["minimum"].as_i64(), property["maximum"].as_i64())
        else {
            continue;
        };
        checked += 1;
        for (value, in_range) in [(min, true), (max, true), (min - 1, false), (max + 1, false)] {
            let text = document(&path, value);
            let error = parse_error(&text).unwrap_or_default();
            let out_of_range = error.contains("expected a whole number");
            assert_eq!(out_of_range, !in_range, "{text}: {error}");
        }
    }
    checked
}

fn properties<'a>(root: &'a Value, schema: &'a Value) -> Vec<(Vec<&'a str>, &'a Value)> {
    let mut found = Vec::new();
    for (name, property) in schema["properties"].as_object().into_iter().flatten() {
        let target = property["$ref"]
            .as_str()
            .and_then(|r| root.pointer(r.trim_start_matches('#')));
        found.push((vec![name.as_str()], property));
        for (mut path, inner) in target.map(|t| properties(root, t)).unwrap_or_default() {
            path.insert(0, name);
            found.push((path, inner));
        }
    }
    found
}

fn document(path: &[&str], value: i64) -> String {
    let mut inner = json!(value);
    for name in path.iter().rev() {
        inner = Value::Object(Map::from_iter([((*name).to_owned(), inner)]));
    }
    inner["vm"] = json!("v1");
    inner["data_centre"] = json!("dc1");
    inner.to_string()
}
