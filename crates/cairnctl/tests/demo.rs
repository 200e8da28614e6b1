//! `cairnctl demo`, as in the README, completes without any setup.

#[allow(dead_code)]
mod support;

use crate::support::{closed_address, run};

#[test]
fn every_call_completes() {
    let output = run(closed_address(), &["--json", "demo"], "");
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{error}");
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let calls = report["calls"].as_array().unwrap();
    assert!(!calls.is_empty());
    for call in calls {
        assert_eq!(call["status"], "complete", "{call}");
    }
    assert_eq!(report["cut"], 0);
}
