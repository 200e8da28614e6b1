//! Counts that a leaving owner hands over.

use std::{
    slice::from_ref,
    time::{Duration, Instant},
};

use membership::{HandoverCount, HandoverReport, HandoverTracker};
use model::{EndpointId, IncarnationId};

fn endpoint(n: u32) -> EndpointId {
    format!("exec-{n}").parse().unwrap()
}

fn report(owner: u64, serial: u64, counts: &[(u32, &[u64])]) -> HandoverReport {
    let mut list = Vec::new();
    for (n, millis) in counts {
        list.push(HandoverCount {
            endpoint: endpoint(*n),
            time_left: millis.iter().copied().map(Duration::from_millis).collect(),
        });
    }
    HandoverReport {
        from: ([10, 0, 0, 1], 7000).into(),
        incarnation: IncarnationId(owner),
        serial,
        counts: list,
    }
}

/// Records the reports at once and checks the slots of endpoint 1 that count as used after `after` ms.
fn check(reports: &[HandoverReport], after: u64, expect: usize) {
    let now = Instant::now();
    let mut tracker = HandoverTracker::default();
    for report in reports {
        tracker.on_report(now, report.clone());
    }
    let later = now + Duration::from_millis(after);
    assert_eq!(tracker.used_slots_of(later, &endpoint(1)), expect);
    let nothing_left = tracker.tick(later);
    assert_eq!(tracker.used_slots_of(later, &endpoint(1)), expect);
    assert!(expect == 0 || !nothing_left);
}

// A new owner that assigned these slots would get busy answers, and the callers would wait. The old owner leaves with
// running tasks and may be gone before they end; each slot is free once a report omits it, or at the task's deadline.
#[test]
fn slots_are_kept_until_a_later_report_or_the_deadline() {
    let first = report(1, 1, &[(1, &[100, 500]), (2, &[900])]);
    check(&[], 0, 0);
    check(from_ref(&first), 0, 2);
    check(from_ref(&first), 100, 1);
    check(from_ref(&first), 500, 0);
    check(&[first.clone(), report(1, 2, &[(1, &[500])])], 0, 1);
    check(&[first.clone(), report(1, 2, &[])], 0, 0);
    check(&[first.clone(), report(2, 1, &[(1, &[500])])], 0, 3);
    check(&[report(1, 2, &[(1, &[500])]), first], 0, 1);
}

#[test]
fn expired_reports_are_dropped() {
    let now = Instant::now();
    let mut tracker = HandoverTracker::default();
    tracker.on_report(now, report(1, 1, &[(1, &[100])]));
    assert!(!tracker.tick(now));
    assert!(tracker.tick(now + Duration::from_millis(100)));
}
