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

/// Guards against taking a busy moment for a pause.
#[test]
fn a_late_tick_is_no_pause() {
    let clock = ManualClock::default();
    let mut monitor = PauseMonitor::new(THRESHOLD, clock.since_boot());
    clock.advance(THRESHOLD);
    assert_eq!(monitor.notice(clock.since_boot()), None);
    assert!(!monitor.has_paused(clock.since_boot()));
}

/// Guards against taking what waited in sockets for new before it has been read, and against never taking it again.
#[test]
fn a_pause_is_over_once_the_waiting_bytes_are_read() {
    let clock = ManualClock::default();
    let mut monitor = PauseMonitor::new(THRESHOLD, clock.since_boot());
    clock.advance(PAUSE);
    assert_eq!(monitor.notice(clock.since_boot()), Some(PAUSE));
    for (is_draining, paused) in [(true, true), (true, true), (false, true), (false, false)] {
        clock.advance(Duration::from_millis(20));
        monitor.tick(clock.since_boot(), is_draining);
        assert_eq!(monitor.has_paused(clock.since_boot()), paused);
    }
}

/// Guards against taking a request for new that came over a connection which was accepted just after a late tick.
#[test]
fn what_waited_during_a_late_tick_is_old_until_the_next_one() {
    let clock = ManualClock::default();
    let mut monitor = PauseMonitor::new(THRESHOLD, clock.since_boot());
    let (late, usual) = (Duration::from_millis(400), Duration::from_millis(20));
    clock.advance(late);
    monitor.tick(clock.since_boot(), false);
    assert_eq!(monitor.longest_unread(clock.since_boot()), late);
    clock.advance(usual);
    monitor.tick(clock.since_boot(), false);
    assert_eq!(monitor.longest_unread(clock.since_boot()), usual);
}
