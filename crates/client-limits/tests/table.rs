//! The client table under chosen and random events.

use std::time::Duration;

use client_limits::{
    ClientBudget, ClientTable, ConnectionId, ConnectionPhase, Eviction, MemoryShare, PhaseTimes,
    CONNECTION_BYTES, PROGRESS_BYTES, SMALLEST_MEMORY, STALL_TIME,
};
use fastrand::Rng;
use model::ByteSize;

const TICK: Duration = Duration::from_millis(100);

const TIMES: PhaseTimes = PhaseTimes {
    idle: Duration::from_secs(15),
    head: Duration::from_secs(3),
    body: Duration::from_secs(60),
    answer: Duration::from_secs(15),
    discard: Duration::from_secs(2),
};

/// A budget in which two requests of 100 KiB find room.
const SMALL: ClientBudget = ClientBudget {
    connections: 4,
    requests: ByteSize(200 * 1_024),
    answers: ByteSize(100 * 1_024),
    jobs: ByteSize(100 * 1_024),
};

const LARGE_REQUEST: u64 = 100 * 1_024;

fn open(table: &mut ClientTable) -> ConnectionId {
    let (id, eviction) = table.open().expect("room for a connection");
    assert_eq!(eviction, None);
    id
}

/// A connection whose body is being read, with memory for it.
fn reading(table: &mut ClientTable) -> ConnectionId {
    let id = open(table);
    assert!(table.set_phase(id, ConnectionPhase::Body));
    assert!(table.reserve_request(id, LARGE_REQUEST).granted);
    id
}

fn advance(table: &mut ClientTable, time: Duration) {
    let mut left = time;
    while left > Duration::ZERO {
        assert_eq!(table.advance(TICK.min(left), &TIMES), []);
        left = left.saturating_sub(TICK);
    }
}

/// With a share that is used up, ordinary requests would be refused along with the large ones.
#[test]
fn small_requests_need_no_share() {
    let mut table = ClientTable::new(SMALL);
    reading(&mut table);
    reading(&mut table);
    let small = open(&mut table);
    let outcome = table.reserve_request(small, CONNECTION_BYTES as u64);
    assert!(outcome.granted && outcome.evictions.is_empty());
}

/// A client that sends just enough to look busy would keep its memory from others.
#[test]
fn a_stalled_request_gives_way_and_a_busy_one_does_not() {
    let mut table = ClientTable::new(SMALL);
    let stalled = reading(&mut table);
    let busy = reading(&mut table);
    for _ in 0..10 {
        advance(&mut table, TICK);
        table.record_progress(stalled, 1);
        table.record_progress(busy, PROGRESS_BYTES);
    }
    let newcomer = open(&mut table);
    table.set_phase(newcomer, ConnectionPhase::Body);
    let outcome = table.reserve_request(newcomer, LARGE_REQUEST);
    assert!(outcome.granted);
    assert_eq!(outcome.evictions, [Eviction(stalled)]);
    // What has been told to give way cannot go on.
    assert!(!table.set_phase(stalled, ConnectionPhase::Running));
    assert!(!table.reserve_request(stalled, LARGE_REQUEST).granted);
}

/// Newcomers would push out what has just arrived, and no request would ever be whole.
#[test]
fn requests_that_make_progress_are_not_pushed_out() {
    let mut table = ClientTable::new(SMALL);
    reading(&mut table);
    reading(&mut table);
    advance(&mut table, STALL_TIME - TICK);
    let newcomer = open(&mut table);
    let outcome = table.reserve_request(newcomer, LARGE_REQUEST);
    assert!(!outcome.granted && outcome.evictions.is_empty());
}

/// A request that was read whole may already run, so it must not be refused.
#[test]
fn a_running_request_does_not_give_way() {
    let mut table = ClientTable::new(SMALL);
    for _ in 0..2 {
        let running = reading(&mut table);
        table.set_phase(running, ConnectionPhase::Running);
    }
    advance(&mut table, STALL_TIME * 4);
    let newcomer = open(&mut table);
    assert!(!table.reserve_request(newcomer, LARGE_REQUEST).granted);
    for _ in 0..2 {
        let (id, _) = table.open().expect("an idle one gives way");
        table.set_phase(id, ConnectionPhase::Running);
    }
    assert!(table.open().is_err());
}

#[test]
fn the_connection_without_progress_for_longest_gives_way() {
    let mut table = ClientTable::new(SMALL);
    let oldest = open(&mut table);
    for _ in 0..3 {
        advance(&mut table, TICK);
        open(&mut table);
    }
    table.set_phase(oldest, ConnectionPhase::Running);
    table.set_phase(oldest, ConnectionPhase::Idle);
    let (_, eviction) = table.open().expect("another gives way");
    assert_ne!(eviction, Some(Eviction(oldest)));
    assert!(eviction.is_some());
}

#[test]
fn phases_end_at_their_limits_and_running_requests_do_not() {
    let mut table = ClientTable::new(SMALL);
    let running = open(&mut table);
    table.set_phase(running, ConnectionPhase::Running);
    let head = open(&mut table);
    advance(&mut table, TIMES.head - TICK);
    table.record_progress(head, PROGRESS_BYTES);
    let expired = table.advance(TICK, &TIMES);
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].connection, head);
    advance(&mut table, TIMES.body * 2);
}

/// The smallest machine must be able to read the largest body that the users' pages allow.
#[test]
fn the_smallest_machine_reads_a_largest_request() {
    let budget = ClientBudget::for_machine(SMALLEST_MEMORY, 3_075);
    let mut table = ClientTable::new(budget);
    let id = open(&mut table);
    assert!(table.reserve_request(id, 262_144 + 16_384).granted);
    let shares = budget.requests.0 + budget.answers.0 + budget.jobs.0;
    let connections = budget.connections * 2 * CONNECTION_BYTES;
    assert!(shares + connections as u64 <= SMALLEST_MEMORY.0 / 2);
}

/// Whatever clients do, no share and no number of connections is exceeded, and nothing stays taken when all have left.
#[test]
fn random_clients_stay_within_the_budget() {
    for seed in 0..200 {
        let mut rng = Rng::with_seed(seed);
        let mut table = ClientTable::new(SMALL);
        let mut clients: Vec<ConnectionId> = Vec::new();
        let mut jobs: Vec<u64> = Vec::new();
        for _ in 0..400 {
            step(&mut rng, &mut table, &mut clients, &mut jobs);
            for share in MemoryShare::ALL {
                let used = table.count(*share).used;
                assert!(used <= SMALL.limit(*share).0, "seed {seed}: {share} {used}");
            }
            // A connection that gives way is counted until it is closed.
            assert_eq!(table.connections(), clients.len(), "seed {seed}");
        }
        for id in clients {
            table.close(id);
        }
        for taken in jobs {
            table.release_job(taken);
        }
        for share in MemoryShare::ALL {
            assert_eq!(table.count(*share).used, 0, "seed {seed}: {share}");
        }
        assert_eq!(table.connections(), 0);
    }
}

fn step(
    rng: &mut Rng,
    table: &mut ClientTable,
    clients: &mut Vec<ConnectionId>,
    jobs: &mut Vec<u64>,
) {
    let drawn = rng.choice(clients.iter().copied());
    let bytes = rng.u64(0..150 * 1_024);
    let mut gone = Vec::new();
    match (rng.u32(..10), drawn) {
        (0, _) | (_, None) => {
            if let Ok((id, eviction)) = table.open() {
                clients.push(id);
                gone.extend(eviction);
            }
        }
        (1, Some(id)) => gone.push(Eviction(id)),
        (2, _) => {
            let expired = table.advance(TICK * rng.u32(..20), &TIMES);
            gone.extend(expired.iter().map(|expiry| Eviction(expiry.connection)));
        }
        (3, Some(id)) => {
            let phase = rng.choice(ConnectionPhase::ALL).expect("a phase");
            table.set_phase(id, *phase);
        }
        (4, Some(id)) => table.record_progress(id, rng.usize(..3_000)),
        (5, Some(id)) => gone.extend(table.reserve_request(id, bytes).evictions),
        (6, Some(id)) => gone.extend(table.reserve_answer(id, bytes).evictions),
        (7, Some(id)) => table.shrink_request(id, bytes),
        (8, Some(id)) => table.release_answer(id),
        (_, Some(_)) if rng.bool() && !jobs.is_empty() => {
            table.release_job(jobs.swap_remove(rng.usize(..jobs.len())));
        }
        (_, Some(_)) => jobs.extend(table.reserve_job(bytes)),
    }
    for Eviction(id) in gone {
        table.close(id);
        clients.retain(|client| *client != id);
    }
}
