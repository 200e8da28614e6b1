//! What a process knows of a peer's clock.

use std::time::{Duration, Instant};

use claims::PeerClock;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A run of two machines, of which each may be suspended and the peer's clock drifts.
struct ClockPair {
    own: Instant,
    peer: Duration,
    /// The rate of the peer's clock, measured by this process's clock.
    rate: f64,
}

impl ClockPair {
    fn run_for(&mut self, time: Duration) {
        self.own += time;
        self.peer += time.mul_f64(self.rate);
    }

    /// Suspends this process's machine: its steady clock stands still.
    fn suspend_self(&mut self, time: Duration) {
        self.peer += time.mul_f64(self.rate);
    }

    /// Suspends the peer's machine: its time since boot goes on.
    fn suspend_peer(&mut self, time: Duration) {
        self.run_for(time);
    }
}

/// Guards against a bound above the peer's clock, with which a call that was held up would pass for a new one.
#[test]
fn the_bound_is_never_above_the_peers_clock() {
    let mut rng = random_numbers(7);
    for rate in [0.98, 0.99, 1.0, 1.01, 1.02] {
        let mut pair = ClockPair {
            own: Instant::now(),
            peer: Duration::from_secs(5_000),
            rate,
        };
        let mut bound = PeerClock::new(pair.own, pair.peer);
        let mut under_way = Vec::new();
        for _ in 0..20_000 {
            under_way.push(pair.peer);
            match rng() % 50 {
                0 => pair.suspend_self(millis(rng() % 3_000)),
                1 => pair.suspend_peer(millis(rng() % 3_000)),
                _ => pair.run_for(millis(rng() % 200)),
            }
            // Messages arrive late, in any order, or not at all.
            let index = usize::try_from(rng()).unwrap() % under_way.len();
            if rng() % 3 >= 1 {
                let heard = PeerClock::new(pair.own, under_way.swap_remove(index));
                bound = bound.later(heard, pair.own);
            }
            under_way.truncate(20);
            let lower_bound = bound.lower_bound(pair.own);
            assert!(lower_bound <= pair.peer, "{lower_bound:?} {:?}", pair.peer);
        }
    }
}

/// A generator of numbers that are the same in every run.
fn random_numbers(seed: u64) -> impl FnMut() -> u64 {
    let mut state = seed;
    move || {
        state = state.wrapping_mul(6_364_136_223_846_793_005);
        state = state.wrapping_add(1_442_695_040_888_963_407);
        state >> 33
    }
}

#[test]
fn a_prompt_message_is_kept_while_later_ones_are_delayed() {
    let begun = Instant::now();
    let prompt = PeerClock::new(begun, millis(10_000));
    let now = begun + millis(1_000);
    let delayed = PeerClock::new(now, millis(10_500));
    assert_eq!(
        prompt.later(delayed, now).lower_bound(now),
        millis(10_000) + millis(980)
    );
}
