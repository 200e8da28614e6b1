//! Endpoint health: how the outcomes of tasks change the capacity of an endpoint.

use std::time::{Duration, Instant};

use decisions::{EndKind, EndReport, EndpointHealth, FailureRate, FleetLatency, HealthSettings};

const EXPECTED: Duration = Duration::from_millis(200);

fn report(kind: EndKind, times: u32, failing: u32) -> EndReport {
    EndReport {
        kind,
        ran: EXPECTED * times,
        expected: EXPECTED,
        failure_rate: FailureRate(failing as f32 / 100.0),
    }
}

/// Runs a script. `t500` sets the time in milliseconds, `start 8` starts eight tasks, and `ok 8` ends eight
/// successfully; the other ends are named like their kind. `slow4 5` ends five tasks that ran four times longer than
/// elsewhere, `common95 5` fails five tasks of a kind of which 95% fail everywhere, and `lost95 5` leaves five of that
/// kind without an answer. `= 8` is the expected capacity of eight slots.
fn check(script: &str) {
    let start = Instant::now();
    let mut now = start;
    let mut health = EndpointHealth::new(HealthSettings::default());
    let mut words = script.split_whitespace();
    while let Some(word) = words.next() {
        if let Some(at) = word.strip_prefix('t') {
            now = start + Duration::from_millis(at.parse().unwrap());
            continue;
        }
        let times: u32 = words.next().unwrap().parse().unwrap();
        let letters = word.trim_end_matches(|c: char| c.is_ascii_digit());
        let number = word[letters.len()..].parse().unwrap_or(1);
        let report = match letters {
            "=" => {
                assert_eq!(health.capacity(now, 8), times, "{script}");
                continue;
            }
            "start" => {
                (0..times).for_each(|_| health.on_start(now));
                continue;
            }
            "ok" | "slow" => report(EndKind::Done, number, 0),
            "failed" => report(EndKind::Failed, 1, 0),
            "common" => report(EndKind::Failed, 1, number),
            "lost" => report(EndKind::Unknown, 1, number),
            "busy" => report(EndKind::Busy, 1, 0),
            "leaving" => report(EndKind::Leaving, 1, 0),
            "unreachable" => report(EndKind::Unreachable, 1, 0),
            "unknown" => report(EndKind::Unknown, 1, 0),
            _ => report(EndKind::NotStarted, 1, 0),
        };
        (0..times).for_each(|_| health.on_end(now, report));
    }
}

#[test]
fn a_healthy_endpoint_may_use_all_its_slots() {
    check("= 8 start 8 ok 8 = 8 start 9 not_started 9 = 8");
}

#[test]
fn consecutive_failures_quarantine_an_endpoint() {
    check("start 8 failed 3 = 8 failed 1 = 0");
    check("start 8 unknown 3 = 8 unknown 1 = 0");
    check("start 8 unreachable 1 = 8 unreachable 1 = 0");
    check("start 8 failed 3 ok 1 failed 3 = 8");
}

#[test]
fn tasks_that_fail_everywhere_quarantine_no_endpoint() {
    check("start 40 common95 40 = 8");
    check("start 40 lost95 40 = 8");
    check("start 10 common50 10 = 0");
}

#[test]
fn probes_run_one_at_a_time_and_failed_ones_back_off() {
    check(
        "start 8 failed 4 t999 = 0 ok 4 = 0 t1000 = 1 start 1 = 1 failed 1 = 0 t2999 = 0 t3000 = 1",
    );
    check("start 4 failed 4 t1000 start 1 not_started 1 = 1 start 1 failed 1 = 0");
    check("start 4 failed 4 t1000 start 1 failed 1 t3000 start 1 ok 1 = 1 start 4 failed 4 t3999 = 0 t4000 = 1");
    check("start 4 failed 4 t1000 start 1 busy 1 = 0 t1020 = 1 start 1 ok 1 = 1");
    let mut script = "start 4 failed 4".to_owned();
    for minute in 1..10 {
        script += &format!(" t{} start 1 failed 1", minute * 60_000);
    }
    check(&(script + " t569999 = 0 t570000 = 1"));
}

#[test]
fn a_recovered_endpoint_regains_slots_one_by_one() {
    check("start 4 failed 4 t1000 start 1 ok 1 = 1 t1099 start 1 ok 1 = 1 t1100 start 1 ok 1 = 2 start 2 ok 2 = 2");
}

#[test]
fn a_busy_answer_lowers_the_limit_to_the_running_tasks() {
    check("start 6 busy 1 = 5 t99 ok 1 = 5 t100 ok 1 = 6");
    // While none of this dispatcher's tasks run there, the backoff doubles with each busy answer, and an answer resets
    // it.
    check("start 1 busy 1 = 0 t20 = 1 start 1 busy 1 t59 = 0 t60 = 1 start 1 ok 1 start 1 busy 1 t79 = 0 t80 = 1");
}

#[test]
fn slow_endpoints_are_throttled_and_very_slow_ones_quarantined() {
    check("start 8 slow4 4 = 8 slow4 1 = 2");
    check("start 20 slow4 8 = 2 ok 10 = 8");
    check("start 8 slow10 5 = 0 t1000 start 1 slow10 1 = 0 t2999 = 0 t3000 = 1 start 1 ok 1 = 1 t3100 start 1 ok 1 = 2",
    );
    // A short task on such a slow endpoint takes as long as a usual one elsewhere, so it must not end the quarantine.
    check("start 8 slow10 5 t1000 start 1 slow3 1 = 0 t2999 = 0");
    // One long task among short ones does not make an endpoint slow.
    check("start 20 ok 8 slow25 1 = 8 ok 10 slow25 1 = 8");
}

#[test]
fn a_leaving_endpoint_gets_no_more_tasks() {
    check("start 2 leaving 1 = 0 ok 1 = 0 t600000 = 0");
}

#[test]
fn a_slowdown_of_all_endpoints_throttles_none() {
    let now = Instant::now();
    let mut fleet = FleetLatency::default();
    let mut endpoints = vec![EndpointHealth::new(HealthSettings::default()); 17];
    for times in [1, 1, 1, 6, 6, 6, 6, 6, 6, 6, 6] {
        for health in &mut endpoints {
            health.on_start(now);
            fleet.on_done(EXPECTED * times, EXPECTED);
            let expected = fleet.scale(EXPECTED);
            health.on_end(
                now,
                EndReport {
                    expected,
                    ..report(EndKind::Done, times, 0)
                },
            );
        }
    }
    for health in &endpoints {
        assert_eq!(health.capacity(now, 8), 8);
    }
}
