//! The log rate limit applies to each call site separately, and every suppressed message is counted once.

use std::time::{Duration, Instant};

use telemetry::logs::{part_of, CallSite, LogDecision, LogLimiter};
use telemetry::LogPart;

fn site(line: u32) -> CallSite {
    CallSite { file: "a.rs", line }
}

fn written(limiter: &mut LogLimiter, site: CallSite, messages: u32, now: Instant) -> u32 {
    let mut written = 0;
    for _ in 0..messages {
        written += u32::from(limiter.admit(site, now) == LogDecision::Write);
    }
    written
}

#[test]
fn a_noisy_call_site_does_not_limit_others() {
    let mut limiter = LogLimiter::new(20);
    let now = Instant::now();
    assert_eq!(written(&mut limiter, site(1), 5000, now), 20);
    assert_eq!(written(&mut limiter, site(2), 5, now), 5);
    assert_eq!(limiter.suppressed_total(), 4980);
}

#[test]
fn counts_are_returned_once_after_their_window() {
    let mut limiter = LogLimiter::new(2);
    let start = Instant::now();
    assert!(limiter.take_due_counts(start).is_empty());
    written(&mut limiter, site(1), 10, start);
    assert!(limiter
        .take_due_counts(start + Duration::from_millis(900))
        .is_empty());
    let counts = limiter.take_due_counts(start + Duration::from_millis(1000));
    assert_eq!(counts.len(), 1);
    assert_eq!(counts[0].messages, 8);
    assert!(limiter
        .take_due_counts(start + Duration::from_secs(3))
        .is_empty());
    assert_eq!(
        written(&mut limiter, site(1), 10, start + Duration::from_secs(3)),
        2
    );
    assert_eq!(limiter.take_all_counts()[0].messages, 8);
    assert!(limiter.take_all_counts().is_empty());
}

/// Beyond the maximum number of call sites, further ones share one limit. Every suppressed message must still be
/// counted, also while the clock stands still and for a call site that never logs again.
#[test]
fn call_sites_beyond_the_bound_share_one_limit() {
    let mut limiter = LogLimiter::new(1);
    let now = Instant::now();
    let mut total = 0;
    for line in 0..10_000 {
        total += written(&mut limiter, site(line), 2, now);
    }
    assert_eq!(total, 4097);
    let suppressed: u64 = limiter
        .take_all_counts()
        .iter()
        .map(|count| count.messages)
        .sum();
    assert_eq!(suppressed, 20_000 - 4097);
}

#[test]
fn every_crate_of_the_workspace_has_a_part() {
    let crates = std::fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/..")).unwrap();
    let without_part = ["model", "scenario", "soak"];
    for entry in crates {
        let name = entry
            .unwrap()
            .file_name()
            .into_string()
            .unwrap()
            .replace('-', "_");
        if without_part.contains(&name.as_str()) {
            continue;
        }
        assert_ne!(
            part_of(&format!("{name}::module")),
            LogPart::Library,
            "{name}"
        );
    }
    assert_eq!(part_of("actix_web::server"), LogPart::Library);
}
