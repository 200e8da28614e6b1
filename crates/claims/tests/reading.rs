//! Who reads the list of workers, and what a fleet's readings grow with.

use std::time::{Duration, Instant};

use claims::{
    ClaimController, ClaimRow, ClaimSettings, Heartbeat, KnownList, LinkRate, ListReading,
    MemberRow, NodeId, PollDecision,
};
use jobs::PoolId;

const CENTRES: usize = 5;

/// Processes of a data centre that own a pool, at most.
const OWNERS: usize = 4;

const STEP: Duration = Duration::from_millis(20);

fn member(number: usize) -> MemberRow {
    let port = u16::try_from(number).unwrap();
    MemberRow {
        node: NodeId::from(format!("vm-{number}").as_str()),
        incarnation: 10,
        data_centre: format!("dc-{}", number % CENTRES).parse().unwrap(),
        cores: 0.25,
        link: LinkRate::default(),
        address: ([10, 0, 0, 1], port).into(),
        refreshes: 1,
        waits: Vec::new(),
    }
}

fn owns(number: usize) -> bool {
    number < OWNERS * CENTRES
}

/// Processes of one data centre in simulated time, and what each knows of the list of workers.
struct ListWorld {
    now: Instant,
    nodes: Vec<ListNode>,
    /// The version of the store, and the digest of its list.
    version: u64,
    digest: u64,
    reads: usize,
}

struct ListNode {
    number: usize,
    controller: ClaimController,
    known: KnownList,
    read: Option<Instant>,
    looked: Instant,
    /// The store does not answer it.
    refused: bool,
    /// It stands still.
    frozen: bool,
}

impl ListWorld {
    /// Of a fleet of so many, the owners of the first data centre.
    fn new(count: usize) -> Self {
        let now = Instant::now();
        let numbers = (0..count).filter(|number| number % CENTRES == 0 && owns(*number));
        let node = |number| ListNode {
            number,
            controller: controller(number, count, now),
            known: KnownList {
                version: 1,
                digest: 1,
                at: now,
            },
            read: None,
            looked: now,
            refused: false,
            frozen: false,
        };
        let mut world = Self {
            now,
            nodes: numbers.map(node).collect(),
            version: 1,
            digest: 1,
            reads: 0,
        };
        world.run(Duration::from_secs(3));
        world
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            // Workers' heartbeats.
            self.version += 1;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        let beats: Vec<Heartbeat> = self.nodes.iter().filter_map(|n| n.beat(now)).collect();
        for node in self.nodes.iter_mut().filter(|node| !node.frozen) {
            for beat in &beats {
                let address = member(0).address;
                node.controller.on_heartbeat(now, beat.clone(), address);
            }
            node.controller.tick(now);
            if now < node.looked + Duration::from_millis(100) {
                continue;
            }
            node.looked = now;
            match node.controller.poll_decision(now, node.known) {
                PollDecision::Confirmed { version, at } => {
                    node.known.version = node.known.version.max(version);
                    node.known.at = node.known.at.max(at);
                }
                PollDecision::Read if node.refused => (),
                PollDecision::Read => {
                    self.reads += 1;
                    node.read = Some(now);
                    node.looked = now + Duration::from_millis(150);
                    node.known = KnownList {
                        version: self.version,
                        digest: self.digest,
                        at: now,
                    };
                }
            }
        }
    }

    /// The most that any process that stands and is served lags behind the store.
    fn check_age(&self, limit: Duration) {
        for node in self.nodes.iter().filter(|n| !n.frozen && !n.refused) {
            let age = self.now.saturating_duration_since(node.known.at);
            assert!(age <= limit, "vm-{}: {age:?}", node.number);
        }
    }

    /// How long until all know of a change.
    fn change(&mut self) -> Duration {
        self.version += 1;
        self.digest += 1;
        let begun = self.now;
        let behind = |world: &Self| {
            let mut nodes = world.nodes.iter().filter(|n| !n.frozen && !n.refused);
            nodes.any(|node| node.known.digest != world.digest)
        };
        while behind(self) {
            self.now += STEP;
            self.version += 1;
            self.step();
        }
        self.now - begun
    }
}

impl ListNode {
    fn beat(&self, now: Instant) -> Option<Heartbeat> {
        if self.frozen {
            return None;
        }
        let row = member(self.number);
        let age = self.read.map(|read| now.saturating_duration_since(read));
        let age = age.filter(|age| *age < Duration::from_secs(1));
        Some(Heartbeat {
            node: row.node,
            incarnation: row.incarnation,
            data_centre: row.data_centre,
            cores: row.cores,
            link: row.link,
            leaving: false,
            reading: age.map(|age| ListReading {
                version: self.known.version,
                age,
                digest: self.known.digest,
            }),
            hears: Vec::new(),
            pools: Vec::new(),
        })
    }
}

fn controller(me: usize, count: usize, now: Instant) -> ClaimController {
    let mut controller = ClaimController::new(member(me), ClaimSettings::default(), now);
    for number in 0..count {
        controller.on_member(now, member(number));
        if !owns(number) {
            continue;
        }
        let MemberRow {
            node,
            incarnation,
            address,
            data_centre,
            ..
        } = member(number);
        let row = ClaimRow {
            node,
            incarnation,
            address,
        };
        let group = u32::try_from(number).unwrap();
        controller.on_claim(now, PoolId { data_centre, group }, row, 7);
    }
    controller
}

/// Guards against a list that is read by each owner: one of a data centre reads it, whatever the size of the fleet.
#[test]
fn one_owner_reads_for_a_data_centre() {
    for count in [30, 100, 300, 1_000] {
        let mut world = ListWorld::new(count);
        world.reads = 0;
        world.run(Duration::from_secs(10));
        assert!(world.reads <= 42, "{count}: {}", world.reads);
        world.check_age(Duration::from_millis(700));
    }
}

/// Guards against processes of a large fleet that all follow the list, and against one that none follows.
#[test]
fn few_stand_by_in_each_data_centre() {
    for count in [30, 100, 300, 1_000] {
        let now = Instant::now();
        let standing = (0..count).step_by(CENTRES);
        let standing = standing.filter(|number| !owns(*number));
        let standing =
            standing.filter(|number| controller(*number, count, now).is_standby(now, true));
        assert_eq!(standing.count(), 2, "{count}");
    }
}

/// Guards against a data centre that is never divided since the store refuses those that stand by: the others come after them.
#[test]
fn others_read_where_nobody_divides() {
    let now = Instant::now();
    let last = controller(995, 1_000, now);
    assert!(!last.is_standby(now, false));
    assert!(last.is_standby(now + Duration::from_secs(45), false));
}

/// Guards against rows of members that are written more often the more there are.
#[test]
fn rows_of_members_do_not_grow_with_the_fleet() {
    for count in [30, 100, 300] {
        let now = Instant::now();
        let beats = (0..count).map(|number| controller(number, count, now).refresh_interval());
        let writes: f64 = beats.map(|beat| 1.0 / beat.as_secs_f64()).sum();
        let owners = (OWNERS * CENTRES) as f64 / 4.0;
        assert!(writes <= owners + 2.5, "{count}: {writes}");
    }
}

/// Guards against a change that reaches only its reader.
#[test]
fn changes_reach_all_owners() {
    let mut world = ListWorld::new(100);
    for _ in 0..20 {
        let took = world.change();
        assert!(took <= Duration::from_millis(700), "{took:?}");
        world.run(Duration::from_millis(330));
    }
}

/// Guards against a reader that is lost to the others: refused by the store, or frozen, with what it last said, and awake again
/// with an old word.
#[test]
fn a_reader_that_fails_is_replaced() {
    for fault in [
        |node: &mut ListNode| node.refused = true,
        |node: &mut ListNode| node.frozen = true,
    ] {
        let mut world = ListWorld::new(100);
        let reader = (0..world.nodes.len()).max_by_key(|place| world.nodes[*place].read);
        let reader = reader.unwrap();
        fault(&mut world.nodes[reader]);
        for _ in 0..20 {
            world.run(Duration::from_millis(100));
            world.check_age(Duration::from_millis(900));
        }
        let took = world.change();
        assert!(took <= Duration::from_millis(900), "{took:?}");
        world.nodes[reader].refused = false;
        world.nodes[reader].frozen = false;
        let digest = world.digest;
        world.run(Duration::from_millis(200));
        let others = world.nodes.iter().enumerate();
        let mut others = others.filter(|(place, _)| *place != reader);
        assert!(others.all(|(_, node)| node.known.digest == digest));
        world.reads = 0;
        world.run(Duration::from_secs(10));
        assert!(world.reads <= 44, "{}", world.reads);
    }
}
