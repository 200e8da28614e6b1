//! The exposed metrics, the catalogue and the docs page agree.

use std::time::Duration;

use model::{FailureReason, RefusalReason, RetryReason, SubmissionOutcome, UnknownReason};
use telemetry::{
    metrics::{metric_page, MetricType, CATALOGUE, MAX_CUSTOMER_LABELS},
    CounterKind, GaugeKind, MetricSet, TimeKind,
};

fn recorded() -> MetricSet {
    let set = MetricSet::new().unwrap();
    for kind in CounterKind::ALL {
        set.count(*kind, 1);
    }
    for kind in TimeKind::ALL {
        set.time(*kind, Duration::from_millis(70));
    }
    for kind in GaugeKind::ALL {
        set.gauge(*kind, 2.5);
    }
    set.submitted(&"trust".parse().unwrap());
    set
}

fn value_of(text: &str, series: &str) -> Option<f64> {
    for line in text.lines() {
        if let Some(value) = line
            .strip_prefix(series)
            .and_then(|rest| rest.strip_prefix(' '))
        {
            return value.parse().ok();
        }
    }
    None
}

#[test]
fn exposition_follows_the_catalogue() {
    let text = recorded().render().unwrap();
    for spec in CATALOGUE {
        let kind = match spec.kind {
            MetricType::Counter => "counter",
            MetricType::Gauge => "gauge",
            MetricType::Histogram => "histogram",
        };
        let name = spec.name;
        assert!(
            text.contains(&format!("# TYPE {name} {kind}\n")),
            "{name} in\n{text}"
        );
        assert!(
            text.contains(&format!("# HELP {name} {}\n", spec.meaning)),
            "{name}"
        );
        let start = match spec.label {
            Some(label) => format!("\n{name}{{{label}=\""),
            None => format!("\n{name}"),
        };
        assert!(text.contains(&start), "{name}");
    }
    assert_eq!(text.matches("# TYPE ").count(), CATALOGUE.len());
}

#[test]
fn every_outcome_and_reason_starts_at_zero() {
    let text = MetricSet::new().unwrap().render().unwrap();
    let mut series = Vec::new();
    for reason in RefusalReason::ALL {
        series.push(("refusals", "reason", reason.as_str()));
    }
    for reason in RetryReason::ALL {
        series.push(("retries", "reason", reason.as_str()));
    }
    for reason in FailureReason::ALL {
        series.push(("failures", "reason", reason.as_str()));
    }
    for reason in UnknownReason::ALL {
        series.push(("unknowns", "reason", reason.as_str()));
    }
    for outcome in ["complete", "failed", "refused", "unknown"] {
        series.push(("answers", "outcome", outcome));
    }
    for (name, label, value) in series {
        let line = format!("cairnpaddle_{name}_total{{{label}=\"{value}\"}}");
        assert_eq!(value_of(&text, &line), Some(0.0), "{line} in\n{text}");
    }
}

#[test]
fn an_answer_counts_its_outcome_and_reason() {
    let set = MetricSet::new().unwrap();
    set.answered(&SubmissionOutcome::Complete(Vec::new()));
    set.answered(&SubmissionOutcome::Refused {
        reason: RefusalReason::Overloaded,
        retry_after: None,
    });
    set.answered(&SubmissionOutcome::Failed(FailureReason::TaskFailed));
    set.answered(&SubmissionOutcome::Unknown(UnknownReason::EntryGone));
    set.retried(RetryReason::EndpointBusy);
    let text = set.render().unwrap();
    let table = [
        ("answers_total{outcome=\"complete\"}", 1.0),
        ("answers_total{outcome=\"refused\"}", 1.0),
        ("answers_total{outcome=\"failed\"}", 1.0),
        ("answers_total{outcome=\"unknown\"}", 1.0),
        ("refusals_total{reason=\"overloaded\"}", 1.0),
        ("refusals_total{reason=\"stopping\"}", 0.0),
        ("failures_total{reason=\"task_failed\"}", 1.0),
        ("unknowns_total{reason=\"entry_gone\"}", 1.0),
        ("retries_total{reason=\"endpoint_busy\"}", 1.0),
    ];
    for (series, value) in table {
        let line = format!("cairnpaddle_{series}");
        assert_eq!(value_of(&text, &line), Some(value), "{line} in\n{text}");
    }
}

#[test]
fn times_are_in_seconds() {
    let text = recorded().render().unwrap();
    let name = "cairnpaddle_response_seconds";
    assert_eq!(value_of(&text, &format!("{name}_sum")), Some(0.07));
    assert_eq!(
        value_of(&text, &format!("{name}_bucket{{le=\"0.05\"}}")),
        Some(0.0)
    );
    assert_eq!(
        value_of(&text, &format!("{name}_bucket{{le=\"0.1\"}}")),
        Some(1.0)
    );
    assert_eq!(
        value_of(&text, "cairnpaddle_contract_age_seconds"),
        Some(2.5)
    );
}

/// With one series per customer, 10,000 customers would exhaust the memory of the process and of the scraper.
#[test]
fn customers_are_bounded() {
    let set = MetricSet::new().unwrap();
    for n in 0..10_000 {
        set.submitted(&format!("customer-{n}").parse().unwrap());
    }
    set.submitted(&"customer-0".parse().unwrap());
    let text = set.render().unwrap();
    let name = "cairnpaddle_submissions_total";
    let series = text.matches(&format!("\n{name}{{")).count();
    assert_eq!(series, MAX_CUSTOMER_LABELS + 1);
    assert_eq!(
        value_of(&text, &format!("{name}{{customer=\"customer-0\"}}")),
        Some(2.0)
    );
    let others = 10_000.0 - MAX_CUSTOMER_LABELS as f64;
    assert_eq!(
        value_of(&text, &format!("{name}{{customer=\"other\"}}")),
        Some(others)
    );
}

#[test]
fn metrics_page_matches_code() {
    let page = include_str!("../../../docs/METRICS.md");
    let table: Vec<&str> = page.lines().filter(|line| line.starts_with('|')).collect();
    let expected = metric_page();
    assert_eq!(table, expected.lines().collect::<Vec<_>>());
}
