//! Grants between one home and a few entries, step by step.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use membership::{
    rendezvous, AskBatch, GrantAllocator, GrantAsk, GrantDecision, GrantHolder, GrantSettings,
    LiveOwner, ReplyBatch, StartRefusal,
};
use model::{CustomerId, IncarnationId};

/// The time in ms after which the recovery of a new home ends: all earlier grants have expired.
const RECOVERY_MS: u64 = 12_600;

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7000))
}

fn owner(n: u8) -> LiveOwner {
    LiveOwner {
        address: address(n),
        incarnation: IncarnationId(u64::from(n)),
    }
}

/// A customer whose home is at address 1 among any of the addresses 1 to 5.
fn customer() -> CustomerId {
    let all: Vec<SocketAddr> = (1..=5).map(address).collect();
    for n in 0.. {
        let customer = format!("school-{n}").parse().unwrap();
        if rendezvous(&customer, all.iter().copied()) == Some(address(1)) {
            return customer;
        }
    }
    unreachable!("some name hashes to address 1");
}

/// The home at address 1, the only live dispatcher. The VM list names it and `others` more VMs.
struct Home {
    allocator: GrantAllocator,
    start: Instant,
    serial: u64,
}

impl Home {
    fn new(share: u32, others: u8) -> Self {
        let start = Instant::now();
        let mut allocator = GrantAllocator::new(address(1), GrantSettings::default());
        allocator.set_share(start, customer(), share);
        let listed = (1..=1 + others).map(address).collect();
        allocator.set_view(start, vec![owner(1)], listed);
        Self {
            allocator,
            start,
            serial: 0,
        }
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    /// Ticks every second up to `to`, as a process that is not frozen does.
    fn advance(&mut self, from: u64, to: u64) {
        for millis in (from..to).step_by(1000) {
            self.allocator.tick(self.at(millis));
        }
        self.allocator.tick(self.at(to));
    }

    fn ask(&mut self, millis: u64, holder: u8, want: u32, held: u32, in_use: u32) -> GrantDecision {
        self.serial += 1;
        let batch = AskBatch {
            home: address(1),
            holder: IncarnationId(u64::from(holder)),
            holder_address: address(holder),
            serial: self.serial,
            asks: vec![GrantAsk {
                customer: customer(),
                want,
                held,
                in_use,
            }],
        };
        let now = self.at(millis);
        let reply = self.allocator.on_ask(now, &batch).unwrap();
        assert_eq!(self.allocator.on_ask(now, &batch), None, "late or twice");
        reply.replies[0].decision
    }
}

/// Checks the grants of a home. `asks`: (ms after recovery ended, holder, want, held, in use, expected grant).
fn check_home(share: u32, asks: &[(u64, u8, u32, u32, u32, u32)]) {
    let mut home = Home::new(share, 0);
    home.advance(0, RECOVERY_MS);
    let mut last = RECOVERY_MS;
    for (millis, holder, want, held, in_use, count) in asks {
        let at = RECOVERY_MS + millis;
        home.advance(last, at);
        last = at;
        let decision = home.ask(at, *holder, *want, *held, *in_use);
        let expect = GrantDecision::Granted {
            count: *count,
            share,
        };
        assert_eq!(decision, expect, "at {millis} ms, holder {holder}");
    }
}

#[test]
fn a_grant_reduces_what_others_get() {
    check_home(10, &[(0, 2, 6, 0, 0, 6), (1, 3, 6, 0, 0, 4)]);
    check_home(10, &[(0, 2, 60, 0, 0, 10), (1, 3, 6, 0, 0, 0)]);
    check_home(0, &[(0, 2, 6, 0, 0, 0)]);
}

// The first entry holds the whole share. When the second wants a part, the first gets less at its next ask. The part
// that it lost is free only when a further ask confirms the smaller grant: the answer may have been lost, and the first
// entry would start tasks on the old count. So a caller at the second entry waits for at most two asks of the first.
#[test]
fn a_reduced_part_is_free_once_the_holder_confirms_it() {
    let before = [
        (0, 2, 60, 0, 0, 10),
        (1, 3, 60, 0, 0, 0),
        (2, 2, 60, 10, 10, 5),
        (3, 3, 60, 0, 0, 0),
    ];
    check_home(10, &before);
    let mut known = before.to_vec();
    known.extend([(4, 2, 60, 5, 8, 5), (5, 3, 60, 0, 0, 2)]);
    known.extend([(6, 2, 60, 5, 5, 5), (7, 3, 60, 2, 2, 5)]);
    check_home(10, &known);
}

// An entry dies with its grant. The home frees the grant after term and margin by its own clock, no sooner, so callers
// at the live entry wait a term at most.
#[test]
fn a_dead_holders_grant_is_free_after_its_term_and_margin() {
    check_home(10, &[(0, 2, 60, 0, 0, 10), (12_599, 3, 4, 0, 0, 0)]);
    check_home(10, &[(0, 2, 60, 0, 0, 10), (12_600, 3, 4, 0, 0, 4)]);
}

#[test]
fn a_returned_part_is_free_at_once() {
    let asks = [
        (0, 2, 60, 0, 0, 10),
        (1, 2, 3, 3, 2, 3),
        (2, 3, 60, 0, 0, 7),
        (3, 2, 0, 0, 0, 0),
        (4, 3, 60, 7, 7, 10),
    ];
    check_home(10, &asks);
}

// A dispatcher becomes the home and cannot know what the previous home granted a moment ago. It confirms what holders
// report to hold and lets an entry have its base share; it raises grants only after a term and a margin. So running
// work goes on and new work waits.
#[test]
fn a_new_home_confirms_and_does_not_raise() {
    let check = |at: u64, want: u32, held: u32, expect: u32| {
        let mut home = Home::new(10, 4);
        home.allocator.set_view(
            home.start,
            (1..=5).map(owner).collect(),
            (1..=5).map(address).collect(),
        );
        home.advance(0, at);
        let decision = home.ask(at, 2, want, held, held);
        let count = expect;
        assert_eq!(decision, GrantDecision::Granted { count, share: 10 });
    };
    check(0, 60, 6, 6);
    check(0, 60, 0, 2);
    check(0, 1, 0, 1);
    check(RECOVERY_MS - 1, 60, 6, 6);
    check(RECOVERY_MS, 60, 6, 10);
}

// The home freezes for longer than 2 s, for example for 3 s, the others choose another dispatcher as the home, and that
// one may grant. The thawed home must not grant from its old state, or the customer's limit would be exceeded: it only
// confirms for a term and a margin.
#[test]
fn a_thawed_home_recovers_like_a_new_one() {
    let check = |frozen: u64, expect: u32| {
        let mut home = Home::new(10, 0);
        home.advance(0, RECOVERY_MS);
        home.ask(RECOVERY_MS, 2, 2, 0, 0);
        let decision = home.ask(RECOVERY_MS + frozen, 2, 8, 2, 2);
        let count = expect;
        assert_eq!(decision, GrantDecision::Granted { count, share: 10 });
    };
    check(2000, 8);
    check(2001, 2);
}

// After a network partition VM 2 returns. It may have been the home of the same customers on its side, and its holders
// come back one by one, so this home only confirms for a term and a margin; otherwise the limit would be exceeded. A
// process that did not exist before has granted nothing, and the home goes on raising grants.
#[test]
fn a_home_recovers_when_a_lost_dispatcher_returns() {
    let check = |returned: LiveOwner, expect: u32| {
        let mut home = Home::new(10, 1);
        let listed = vec![address(1), address(2)];
        let set_view = |home: &mut Home, at: u64, live: Vec<LiveOwner>| {
            let now = home.at(at);
            home.allocator.set_view(now, live, listed.clone());
        };
        set_view(&mut home, 0, vec![owner(1), owner(2)]);
        home.advance(0, RECOVERY_MS);
        set_view(&mut home, RECOVERY_MS, vec![owner(1)]);
        set_view(&mut home, RECOVERY_MS + 1, vec![owner(1), returned]);
        let decision = home.ask(RECOVERY_MS + 2, 1, 60, 0, 0);
        let count = expect;
        assert_eq!(decision, GrantDecision::Granted { count, share: 10 });
    };
    check(owner(2), 5);
    let restarted = LiveOwner {
        incarnation: IncarnationId(77),
        ..owner(2)
    };
    check(restarted, 10);
}

// An operator lowers a share. The home knows the new share, and an entry does not yet. At the entry's renewal the home
// grants by the lower share, and no other entry gets the excess. So the change takes effect within a term.
#[test]
fn a_lower_share_binds_uninformed_holders_at_renewal() {
    let mut home = Home::new(10, 0);
    home.advance(0, RECOVERY_MS);
    home.ask(RECOVERY_MS, 2, 60, 0, 0);
    let now = home.at(RECOVERY_MS + 1);
    home.allocator.set_share(now, customer(), 4);
    let granted = |count| GrantDecision::Granted { count, share: 4 };
    assert_eq!(home.ask(RECOVERY_MS + 2, 3, 60, 0, 0), granted(0));
    assert_eq!(home.ask(RECOVERY_MS + 3, 2, 60, 10, 10), granted(2));
    assert_eq!(home.ask(RECOVERY_MS + 4, 2, 60, 2, 2), granted(2));
    assert_eq!(home.ask(RECOVERY_MS + 5, 3, 60, 0, 0), granted(2));
}

// A home sees some of five VMs. It grants the share minus the base shares of the unseen VMs, since each of those may be
// using its own, so that callers on both sides of a partition are served. On the side with most VMs at least one task
// may run.
#[test]
fn a_home_reserves_the_base_shares_of_unseen_vms() {
    let check = |share: u32, seen: u8, expect: u32| {
        let mut home = Home::new(share, 4);
        let live = (1..=seen).map(owner).collect();
        home.allocator
            .set_view(home.start, live, (1..=5).map(address).collect());
        home.advance(0, RECOVERY_MS);
        let decision = home.ask(RECOVERY_MS, 1, 1000, 0, 0);
        let count = expect;
        assert_eq!(decision, GrantDecision::Granted { count, share });
    };
    for seen in 1..=5 {
        check(100, seen, 20 * u32::from(seen));
        check(5, seen, u32::from(seen));
    }
    check(1, 3, 1);
    check(1, 4, 1);
    check(1, 5, 1);
}

#[test]
fn an_ask_for_another_dispatchers_customer_is_rejected() {
    let mut home = Home::new(10, 0);
    home.allocator
        .set_view(home.start, vec![owner(9)], vec![address(9)]);
    assert_eq!(home.ask(1, 2, 5, 0, 0), GrantDecision::NotHome);
}

/// An entry on VM 2 whose home is always at address 1.
struct Entry {
    holder: GrantHolder,
    start: Instant,
}

impl Entry {
    fn new(share: u32) -> Self {
        let start = Instant::now();
        let mut holder = GrantHolder::new(address(2), IncarnationId(2), GrantSettings::default());
        holder.set_view(start, vec![address(1)], vec![address(1), address(2)]);
        holder.set_share(&customer(), share);
        Self { holder, start }
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    /// Wants ten tasks at `asked_at` and gets `count` in a reply that arrives at `replied_at`; both in ms.
    fn granted(share: u32, asked_at: u64, replied_at: u64, count: u32) -> Self {
        let mut entry = Self::new(share);
        let now = entry.at(asked_at);
        entry.holder.set_waiting(now, &customer(), 10);
        let batches = entry.holder.tick(now);
        let reply = answer(&batches[0], count, share);
        entry.holder.on_reply(entry.at(replied_at), &reply);
        entry
    }

    fn limit(&self, millis: u64) -> u32 {
        self.holder.limit(self.at(millis), &customer())
    }
}

fn answer(batch: &AskBatch, count: u32, share: u32) -> ReplyBatch {
    let decision = GrantDecision::Granted { count, share };
    let mut replies = Vec::new();
    for ask in &batch.asks {
        replies.push(membership::GrantReply {
            customer: ask.customer.clone(),
            decision,
        });
    }
    ReplyBatch {
        serial: batch.serial,
        term: GrantSettings::default().term,
        replies,
    }
}

// The home took a part of the grant back and gives it to another entry only when an ask of this entry confirms the
// smaller grant. So the entry asks again at once, and a caller at the other entry waits a round trip instead of a
// renewal interval.
#[test]
fn a_smaller_grant_is_confirmed_at_once() {
    let mut entry = Entry::granted(40, 0, 1, 10);
    let now = entry.at(8000);
    let renewal = entry.holder.tick(now);
    assert_eq!(renewal[0].asks[0].held, 10);
    entry.holder.on_reply(now, &answer(&renewal[0], 6, 40));
    let confirmation = entry.holder.tick(now);
    assert_eq!(confirmation[0].asks[0].held, 6);
    entry.holder.on_reply(now, &answer(&confirmation[0], 6, 40));
    assert_eq!(entry.holder.tick(now), []);
}

// The ask for the first task is pending while the rest of the burst arrives. The home grants all that was asked for, so
// there may be more, and the holder asks for it at once. The caller of the burst waits one more round trip instead of a
// second.
#[test]
fn a_burst_during_a_pending_ask_is_asked_for_at_once() {
    let mut entry = Entry::new(40);
    let (customer, settings) = (customer(), GrantSettings::default());
    entry.holder.set_demand(entry.at(0), &customer, 0, 1);
    let first = entry.holder.tick(entry.at(0));
    entry.holder.set_demand(entry.at(1), &customer, 0, 20);
    assert_eq!(entry.holder.tick(entry.at(1)), [], "one is on its way");
    let want = first[0].asks[0].want;
    assert_eq!(want, settings.min_initial_ask);
    entry
        .holder
        .on_reply(entry.at(2), &answer(&first[0], want, 40));
    let second = entry.holder.tick(entry.at(2));
    assert_eq!(second[0].asks[0].want, 25);
    // If the home granted less than was wanted, the holder waits for the retry interval.
    entry
        .holder
        .on_reply(entry.at(3), &answer(&second[0], 10, 40));
    assert_eq!(entry.holder.tick(entry.at(4)), []);
    let later = entry.at(3) + settings.retry_interval;
    assert_eq!(entry.holder.tick(later).len(), 1);
}

#[test]
fn set_demand_replaces_the_tasks_in_use() {
    let mut entry = Entry::granted(20, 0, 1, 10);
    let customer = customer();
    entry.holder.set_demand(entry.at(2), &customer, 7, 0);
    assert_eq!(entry.holder.in_use(&customer), 7);
    entry.holder.set_demand(entry.at(3), &customer, 2, 0);
    assert_eq!(entry.holder.in_use(&customer), 2);
}

#[test]
fn a_grant_reports_its_expiry() {
    let entry = Entry::granted(20, 0, 1, 10);
    let (customer, term) = (customer(), GrantSettings::default().term);
    assert_eq!(
        entry.holder.expires_at(entry.at(1), &customer),
        Some(entry.at(0) + term)
    );
    let lapsed = entry.at(0) + term;
    assert_eq!(entry.holder.expires_at(lapsed, &customer), None);
    assert_eq!(entry.holder.limit(lapsed, &customer), 0);
}

// The home's leases must cover what entries hold. A pending ask is not repeated before the retry interval, as the
// answer to the first would be ignored. An answer of a dispatcher that is no longer the home is ignored as well.
#[test]
fn one_ask_at_a_time() {
    let mut entry = Entry::new(40);
    let second: CustomerId = "school-b".parse().unwrap();
    entry.holder.set_share(&second, 40);
    let now = entry.at(0);
    entry.holder.set_waiting(now, &customer(), 10);
    let first = entry.holder.tick(now);
    assert_eq!(first[0].asks.len(), 1);
    entry.holder.set_waiting(now, &second, 10);
    let other = entry.holder.tick(entry.at(10));
    assert_eq!(other[0].asks.len(), 1);
    assert_eq!(other[0].asks[0].customer, second);
    entry
        .holder
        .on_reply(entry.at(20), &answer(&first[0], 7, 40));
    assert_eq!(entry.limit(20), 7);
    let listed = vec![address(1), address(2)];
    entry
        .holder
        .set_view(entry.at(30), vec![address(2)], listed);
    entry
        .holder
        .on_reply(entry.at(40), &answer(&other[0], 9, 40));
    assert_eq!(entry.holder.limit(entry.at(40), &second), 0);
    let asks = entry.holder.tick(entry.at(50));
    assert_eq!((asks[0].home, asks[0].asks.len()), (address(2), 2));
}

// The entry is paused with a grant and resumes after the term, when the home may have given the grant to another entry.
// The term is counted from before the ask and checked at each start, so the caller's task is refused or waits.
#[test]
fn a_paused_entry_starts_nothing_on_a_lapsed_grant() {
    let check = |at: u64, expect: Result<(), StartRefusal>| {
        let mut entry = Entry::granted(40, 0, 900, 5);
        let now = entry.at(at);
        assert_eq!(entry.holder.start(now, &customer()), expect, "{at} ms");
    };
    check(1000, Ok(()));
    check(11_999, Ok(()));
    check(12_000, Err(StartRefusal::NoGrant));
    check(60_000, Err(StartRefusal::NoGrant));
}

#[test]
fn starts_up_to_the_grant() {
    let mut entry = Entry::granted(40, 0, 1, 2);
    let now = entry.at(10);
    assert_eq!(entry.holder.start(now, &customer()), Ok(()));
    assert_eq!(entry.holder.start(now, &customer()), Ok(()));
    assert_eq!(
        entry.holder.start(now, &customer()),
        Err(StartRefusal::NoGrant)
    );
    entry.holder.finish(&customer());
    assert_eq!(entry.holder.start(now, &customer()), Ok(()));
    let unknown_customer: CustomerId = "nobody".parse().unwrap();
    assert_eq!(
        entry.holder.start(now, &unknown_customer),
        Err(StartRefusal::NoShare)
    );
}

// An operator lowers a contract's concurrency while grants are out. The entry learns it with the contract and scales
// its grant down without waiting for the home or for the end of the term, so that the change takes effect within
// seconds.
#[test]
fn a_lower_share_binds_at_once() {
    let check = |share: u32, expect: u32| {
        let mut entry = Entry::granted(40, 0, 1, 10);
        entry.holder.set_share(&customer(), share);
        assert_eq!(entry.limit(10), expect, "{share}");
    };
    check(80, 10);
    check(40, 10);
    check(20, 5);
    check(3, 0);
    check(0, 0);
}

// The asks go out and no home answers. After 2 s the entry uses its base share, half of the share with two VMs listed,
// until a home answers, so that callers are still served at a reduced rate.
#[test]
fn the_base_share_holds_while_no_home_answers() {
    let mut entry = Entry::new(40);
    let now = entry.at(0);
    entry.holder.set_waiting(now, &customer(), 10);
    let first = entry.holder.tick(now);
    assert_eq!(first[0].asks[0].held, 0);
    assert_eq!(entry.limit(1_999), 0);
    assert_eq!(entry.limit(2_000), 20);
    let again = entry.holder.tick(entry.at(2_500));
    assert_eq!(again[0].asks[0].held, 20);
    entry
        .holder
        .on_reply(entry.at(2_600), &answer(&first[0], 9, 40));
    assert_eq!(entry.limit(2_600), 20, "an answer to an older ask");
    entry
        .holder
        .on_reply(entry.at(2_700), &answer(&again[0], 7, 40));
    assert_eq!(entry.limit(2_700), 7);
}

#[test]
fn an_unused_grant_is_returned_and_an_idle_customer_sends_nothing() {
    let mut entry = Entry::granted(40, 0, 1, 10);
    entry.holder.set_waiting(entry.at(100), &customer(), 0);
    let mut sent = Vec::new();
    for millis in (100..60_000).step_by(100) {
        for batch in entry.holder.tick(entry.at(millis)) {
            entry
                .holder
                .on_reply(entry.at(millis + 1), &answer(&batch, 0, 40));
            sent.push((millis, batch.asks[0].want, batch.asks[0].held));
        }
    }
    assert_eq!(sent, [(600, 0, 0)]);
}

#[derive(Default)]
struct BatchCount {
    /// The number of dispatchers that are the home of some customer.
    homes: usize,
    batches: usize,
    asks: usize,
}

/// Counts the batches in 64 s, after the first 20 s, of an entry with 140 busy customers at `homes` dispatchers, each
/// of which grants `count`.
fn count_batches(homes: u8, count: u32) -> BatchCount {
    let start = Instant::now();
    let mut holder = GrantHolder::new(address(1), IncarnationId(1), GrantSettings::default());
    let live: Vec<SocketAddr> = (1..=homes).map(address).collect();
    holder.set_view(start, live.clone(), live);
    for n in 0..140 {
        let customer = format!("school-{n}").parse().unwrap();
        holder.set_share(&customer, 600);
        holder.set_waiting(start, &customer, 8);
    }
    let mut counted = BatchCount::default();
    let mut asked = BTreeSet::new();
    for step in 0..1680 {
        let now = start + Duration::from_millis(50 * step);
        for batch in holder.tick(now) {
            if step >= 400 {
                counted.batches += 1;
                counted.asks += batch.asks.len();
                asked.insert(batch.home);
            }
            holder.on_reply(now, &answer(&batch, count, 600));
        }
    }
    counted.homes = asked.len();
    counted
}

#[test]
fn batches_stay_within_the_byte_budget() {
    // Satisfied customers: one renewal every 8 s at each dispatcher that is the home of a customer.
    let counted = count_batches(60, 10);
    assert!((50..=60).contains(&counted.homes), "{}", counted.homes);
    assert_eq!(counted.batches, counted.homes * 8);
    assert_eq!(counted.asks, 140 * 8);
    // With few homes, one message carries many customers.
    let counted = count_batches(8, 10);
    assert_eq!((counted.batches, counted.asks), (8 * 8, 140 * 8));
    // Customers that get less than they want ask as often as the budget of 6 KB/s allows.
    for homes in [8, 30, 60] {
        let counted = count_batches(homes, 2);
        let bytes = 568 * counted.batches + 96 * counted.asks;
        assert!((374_000..=390_000).contains(&bytes), "{homes}: {bytes}");
    }
}
