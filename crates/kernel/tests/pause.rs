//! Pauses of a process, which it notices by its own ticks.

use std::time::Duration;

use kernel::{ClockSource as _, ManualClock, PauseMonitor};

const THRESHOLD: Duration = Duration::from_millis(450);
const PAUSE: Duration = Duration::from_millis(700);

/// Guards against a suspended machine, whose steady clock stands still, passing for one that was never away.
#[test]
fn a_suspension_is_noticed_once() {
    let clock = ManualClock::default();
    let mut monitor = PauseMonitor::new(THRESHOLD, clock.since_boot());
    let count = monitor.count();
    clock.suspend(PAUSE);
    assert!(monitor.has_paused(clock.since_boot()));
    assert_eq!(monitor.notice(clock.since_boot()), Some(PAUSE));
    assert_eq!(monitor.notice(clock.since_boot()), None);
    assert_ne!(monitor.count(), count);
}

/// Guards against taking a busy moment for a pause, and a pause for over before the next tick.
#[test]
fn a_pause_is_over_with_the_next_tick() {
    let clock = ManualClock::default();
    let mut monitor = PauseMonitor::new(THRESHOLD, clock.since_boot());
    clock.advance(THRESHOLD);
    assert_eq!(monitor.notice(clock.since_boot()), None);
    assert!(!monitor.has_paused(clock.since_boot()));
    clock.advance(PAUSE);
    assert!(monitor.notice(clock.since_boot()).is_some());
    assert!(monitor.has_paused(clock.since_boot()));
    monitor.tick(clock.since_boot());
    assert!(!monitor.has_paused(clock.since_boot()));
}
