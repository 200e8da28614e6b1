//! The documentation of a node's metrics matches the code.

use std::fmt::Write as _;

use node::{counter_families, TIME_FAMILIES};

#[test]
fn metrics_page_matches_code() {
    let page = include_str!("../../../docs/METRICS-NODE.md");
    let mut counters = String::new();
    for family in counter_families() {
        let values = family.values.join(", ");
        let (name, label, meaning) = (family.name, family.label, family.meaning);
        writeln!(counters, "| `{name}` | {label} | {values} | {meaning} |").unwrap();
    }
    let mut times = String::new();
    for family in TIME_FAMILIES {
        writeln!(times, "| `{}` | {} |", family.name, family.meaning).unwrap();
    }
    assert!(page.contains(&counters), "the page should have\n{counters}");
    assert!(page.contains(&times), "the page should have\n{times}");
}
