//! Calculation of reports, start summaries and counter totals.

use std::time::Duration;

use load::{
    draw_curves, summarise_starts, CallKind, CallOutcome, CallRecord, CounterTotals, LoadReport,
    ReportInput, ResponseCurve, TaskStart,
};

fn call(customer: usize, response_ms: u64, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        customer,
        kind: CallKind::Job,
        tasks: 4,
        slot_time: Duration::from_millis(200),
        send_at: Duration::ZERO,
        response: Duration::from_millis(response_ms),
        ideal: Duration::from_millis(100),
        outcome,
    }
}

fn input(calls: Vec<CallRecord>) -> ReportInput {
    ReportInput {
        customers: vec!["a".to_owned(), "b".to_owned()],
        calls,
        duration: Duration::from_secs(1),
        ..ReportInput::default()
    }
}

fn start(label: &str, customer: &str, from_ms: i64, to_ms: i64) -> TaskStart {
    TaskStart {
        label: label.to_owned(),
        customer: customer.parse().unwrap(),
        from_ms,
        to_ms,
    }
}

#[test]
fn outcomes_are_counted_by_kind_and_reason() {
    let refused = || CallOutcome::Refused("overloaded".to_owned());
    let report = LoadReport::new(&input(vec![
        call(0, 100, CallOutcome::Complete),
        call(0, 1, refused()),
        call(1, 1, refused()),
        call(1, 1, CallOutcome::Wrong),
        call(1, 1, CallOutcome::Failed("task_failed".to_owned())),
        call(1, 1, CallOutcome::Unknown("deadline_passed".to_owned())),
        call(1, 1, CallOutcome::Lost("no connection".to_owned())),
    ]));
    let counts = |line: &load::CustomerReport| {
        [
            line.jobs,
            line.complete,
            line.refused,
            line.wrong,
            line.failed,
            line.unknown,
            line.lost,
        ]
    };
    assert_eq!(counts(&report.all), [7, 1, 2, 1, 1, 1, 1]);
    assert_eq!(counts(&report.customers[0]), [2, 1, 1, 0, 0, 0, 0]);
    assert_eq!(counts(&report.customers[1]), [5, 0, 1, 1, 1, 1, 1]);
    assert_eq!(report.refusals["overloaded"], 2);
    assert_eq!(report.failures["task_failed"], 1);
    assert_eq!(report.unknowns["deadline_passed"], 1);
    assert_eq!(report.losses["no connection"], 1);
    assert_eq!(report.useful_tasks, 4);
    assert_eq!(report.customers[0].complete_part, 0.5);
}

#[test]
fn response_ratios_cover_only_complete_calls() {
    let mut calls = vec![call(0, 9_000, CallOutcome::Failed("x".to_owned()))];
    for index in 1..=100 {
        calls.push(call(0, 100 + index, CallOutcome::Complete));
    }
    let report = LoadReport::new(&input(calls));
    let ratios = report.all.over_ideal;
    assert!((ratios.p50 - 1.5).abs() < 0.01, "{ratios:?}");
    assert!((ratios.p90 - 1.9).abs() < 0.01, "{ratios:?}");
    assert!((ratios.p99 - 1.99).abs() < 0.01, "{ratios:?}");
    assert!((ratios.max - 2.0).abs() < 0.01, "{ratios:?}");
    assert_eq!(report.customers[1].over_ideal.max, 0.0);
}

#[test]
fn goodput_and_messages_count_useful_tasks() {
    let report = LoadReport::new(&ReportInput {
        slots: Some(1),
        counters: Some(CounterTotals {
            messages: 10.0,
            wasted: 1.0,
            ..CounterTotals::default()
        }),
        ..input(vec![
            call(0, 100, CallOutcome::Complete),
            call(0, 100, CallOutcome::Complete),
            call(0, 100, CallOutcome::Failed("x".to_owned())),
        ])
    });
    assert_eq!(report.goodput, Some(0.4));
    assert_eq!(report.messages_per_task, Some(1.25));
    assert_eq!(report.wasted_part, Some(0.1));
    // Without a useful task or a message, the ratios are undefined.
    let idle = LoadReport::new(&ReportInput {
        counters: Some(CounterTotals::default()),
        ..input(Vec::new())
    });
    assert_eq!(idle.messages_per_task, None);
    assert_eq!(idle.wasted_part, None);
}

#[test]
fn start_summary_counts_doubled_tasks_and_peaks() {
    let summary = summarise_starts(&[
        start("1", "a", 0, 100),
        start("2", "a", 50, 150),
        start("2", "b", 60, 160),
        // Task 3 takes the slot that task 1 frees in the same millisecond.
        start("3", "a", 100, 200),
    ]);
    assert_eq!(summary.starts, 4);
    assert_eq!(summary.doubled, 1);
    assert_eq!(summary.peak, 3);
    assert_eq!(summary.peaks[&"a".parse().unwrap()], 2);
    assert_eq!(summary.peaks[&"b".parse().unwrap()], 1);
}

#[test]
fn counters_are_summed_over_labels_and_pages() {
    let mut totals = CounterTotals::default();
    let page = "# TYPE cairnpaddle_messages_total counter\n\
        cairnpaddle_messages_total{otel_scope_name=\"x\"} 7\n\
        cairnpaddle_retries_total{reason=\"busy\"} 1\n\
        cairnpaddle_retries_total{reason=\"lost session\"} 2\n\
        cairnpaddle_wasted_messages_total 3\n\
        cairnpaddle_task_offers_total 5\n";
    totals.add_page(page);
    let before = totals;
    totals.add_page(page);
    assert_eq!(totals - before, before);
    assert_eq!(
        before,
        CounterTotals {
            messages: 7.0,
            wasted: 3.0,
            retries: 3.0,
            offers: 5.0
        }
    );
}

#[test]
fn curves_are_drawn_into_a_file() {
    let path = std::env::temp_dir().join(format!("load-curves-{}.svg", std::process::id()));
    let line = ResponseCurve {
        name: "a".to_owned(),
        ratios: vec![1.0, 1.5, 3.0],
    };
    draw_curves(&path, &[line]).unwrap();
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert!(text.starts_with("<svg") && text.contains("polyline"));
}
