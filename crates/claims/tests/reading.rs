//! Which processes read the list of workers, and how reads and writes grow with the fleet.

use std::time::{Duration, Instant};

use claims::{
    ClaimController, ClaimRow, ClaimSettings, Heartbeat, KnownList, LinkRate, ListReading,
    MemberRow, NodeId, PollDecision,
};
use jobs::PoolId;

const CENTRES: usize = 5;

/// The most processes of a data centre that own a pool.
const OWNERS_PER_CENTRE: usize = 4;

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
    number < OWNERS_PER_CENTRE * CENTRES
}

/// The owners of one data centre in simulated time, and what each of them knows of the list of workers.
struct ListSim {
    now: Instant,
    nodes: Vec<SimNode>,
    /// The version of the store, and the digest of its list of workers.
    version: u64,
    digest: u64,
    reads: usize,
}

struct SimNode {
    number: usize,
    controller: ClaimController,
    known: KnownList,
    read: Option<Instant>,
    polled_at: Instant,
    /// Whether the store refuses this process's reads.
    refused: bool,
    /// Whether this process is frozen: it neither sends nor receives.
    frozen: bool,
}

impl ListSim {
    /// The owners of the first data centre, in a fleet of `count` processes.
    fn new(count: usize) -> Self {
        let now = Instant::now();
        let numbers = (0..count).filter(|number| number % CENTRES == 0 && owns(*number));
        let node = |number| SimNode {
            number,
            controller: controller(number, count, now),
            known: KnownList {
                version: 1,
                digest: 1,
                at: now,
            },
            read: None,
            polled_at: now,
            refused: false,
            frozen: false,
        };
        let mut sim = Self {
            now,
            nodes: numbers.map(node).collect(),
            version: 1,
            digest: 1,
            reads: 0,
        };
        sim.run(Duration::from_secs(3));
        sim
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            // Workers' heartbeats change the store's version but not the digest.
            self.version += 1;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        let heartbeats: Vec<Heartbeat> =
            self.nodes.iter().filter_map(|n| n.heartbeat(now)).collect();
        for node in self.nodes.iter_mut().filter(|node| !node.frozen) {
            for heartbeat in &heartbeats {
                let address = member(0).address;
                node.controller
                    .on_heartbeat(now, heartbeat.clone(), address);
            }
            node.controller.tick(now);
            if now < node.polled_at + Duration::from_millis(100) {
                continue;
            }
            node.polled_at = now;
            match node.controller.poll_decision(now, node.known) {
                PollDecision::Confirmed { version, at } => {
                    node.known.version = node.known.version.max(version);
                    node.known.at = node.known.at.max(at);
                }
                PollDecision::Read if node.refused => (),
                PollDecision::Read => {
                    self.reads += 1;
                    node.read = Some(now);
                    node.polled_at = now + Duration::from_millis(150);
                    node.known = KnownList {
                        version: self.version,
                        digest: self.digest,
                        at: now,
                    };
                }
            }
        }
    }

    /// Checks how far the lists lag of those processes that are neither frozen nor refused by the store.
    fn check_age(&self, limit: Duration) {
        for node in self.nodes.iter().filter(|n| !n.frozen && !n.refused) {
            let age = self.now.saturating_duration_since(node.known.at);
            assert!(age <= limit, "vm-{}: {age:?}", node.number);
        }
    }

    /// Changes the list and returns how long it takes until the change has reached all processes that are neither
    /// frozen nor refused by the store.
    fn time_to_propagate(&mut self) -> Duration {
        self.version += 1;
        self.digest += 1;
        let begun = self.now;
        let is_behind = |sim: &Self| {
            let mut nodes = sim.nodes.iter().filter(|n| !n.frozen && !n.refused);
            nodes.any(|node| node.known.digest != sim.digest)
        };
        while is_behind(self) {
            self.now += STEP;
            self.version += 1;
            self.step();
        }
        self.now - begun
    }
}

impl SimNode {
    fn heartbeat(&self, now: Instant) -> Option<Heartbeat> {
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
            clock: Duration::ZERO,
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

fn controller(own_index: usize, count: usize, now: Instant) -> ClaimController {
    let mut controller = ClaimController::new(member(own_index), ClaimSettings::default(), now);
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

/// Guards against a list that every owner reads: one owner of each data centre reads it, whatever the size of
/// the fleet.
#[test]
fn one_owner_reads_for_a_data_centre() {
    for count in [30, 100, 300, 1_000] {
        let mut sim = ListSim::new(count);
        sim.reads = 0;
        sim.run(Duration::from_secs(10));
        assert!(sim.reads <= 42, "{count}: {}", sim.reads);
        sim.check_age(Duration::from_millis(700));
    }
}

/// Guards against a large fleet in which all processes follow the list, and against one in which none does.
#[test]
fn each_data_centre_has_two_standbys() {
    for count in [30, 100, 300, 1_000] {
        let now = Instant::now();
        let standbys = (0..count).step_by(CENTRES);
        let standbys = standbys.filter(|number| !owns(*number));
        let standbys =
            standbys.filter(|number| controller(*number, count, now).is_standby(now, true));
        assert_eq!(standbys.count(), 2, "{count}");
    }
}

/// Guards against a data centre whose workers are never divided into groups because the store refuses its
/// standbys: further processes read the workers then.
#[test]
fn further_processes_read_while_workers_are_not_grouped() {
    let now = Instant::now();
    let last = controller(995, 1_000, now);
    assert!(!last.is_standby(now, false));
    assert!(last.is_standby(now + Duration::from_secs(45), false));
}

/// Guards against writes of member rows that grow with the number of members.
#[test]
fn member_row_writes_do_not_grow_with_the_fleet() {
    for count in [30, 100, 300] {
        let now = Instant::now();
        let intervals = (0..count).map(|number| controller(number, count, now).refresh_interval());
        let writes: f64 = intervals.map(|interval| 1.0 / interval.as_secs_f64()).sum();
        let owners = (OWNERS_PER_CENTRE * CENTRES) as f64 / 4.0;
        assert!(writes <= owners + 2.5, "{count}: {writes}");
    }
}

/// Guards against a change of the list that reaches only its reader.
#[test]
fn changes_reach_all_owners() {
    let mut sim = ListSim::new(100);
    for _ in 0..20 {
        let took = sim.time_to_propagate();
        assert!(took <= Duration::from_millis(700), "{took:?}");
        sim.run(Duration::from_millis(330));
    }
}

/// Guards against a lost reader: one that the store refuses, or one that freezes after a last report and resumes
/// with an outdated one.
#[test]
fn a_reader_that_fails_is_replaced() {
    for fault in [
        |node: &mut SimNode| node.refused = true,
        |node: &mut SimNode| node.frozen = true,
    ] {
        let mut sim = ListSim::new(100);
        let reader = (0..sim.nodes.len()).max_by_key(|index| sim.nodes[*index].read);
        let reader = reader.unwrap();
        fault(&mut sim.nodes[reader]);
        for _ in 0..20 {
            sim.run(Duration::from_millis(100));
            sim.check_age(Duration::from_millis(900));
        }
        let took = sim.time_to_propagate();
        assert!(took <= Duration::from_millis(900), "{took:?}");
        sim.nodes[reader].refused = false;
        sim.nodes[reader].frozen = false;
        let digest = sim.digest;
        sim.run(Duration::from_millis(200));
        let others = sim.nodes.iter().enumerate();
        let mut others = others.filter(|(index, _)| *index != reader);
        assert!(others.all(|(_, node)| node.known.digest == digest));
        sim.reads = 0;
        sim.run(Duration::from_secs(10));
        assert!(sim.reads <= 44, "{}", sim.reads);
    }
}
