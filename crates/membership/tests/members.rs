//! Liveness of members: from heartbeats, the VM list, silence and pauses of the process itself.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use membership::{
    HeartbeatMessage, HeartbeatReply, MemberAction, MemberSettings, MemberTable, MemberView,
    OwnMember,
};
use model::{DataCentreId, EndpointState, IncarnationId, VmEntry, VmRole};

const LOCAL_CENTRE: &str = "rajkot-east";
const REMOTE_CENTRE: &str = "morbi-hall";

fn centre(name: &str) -> DataCentreId {
    name.parse().unwrap()
}

fn address(centre: &str, n: u8) -> SocketAddr {
    let net = u8::from(centre != LOCAL_CENTRE);
    SocketAddr::from(([10, net, 0, n], 7000))
}

fn own(n: u8) -> OwnMember {
    OwnMember {
        address: address(LOCAL_CENTRE, n),
        data_centre: centre(LOCAL_CENTRE),
        incarnation: IncarnationId(100 + u64::from(n)),
        stopping: false,
        head: 1,
    }
}

fn view(name: &str, n: u8) -> MemberView {
    MemberView {
        address: address(name, n),
        data_centre: centre(name),
        incarnation: IncarnationId(100 + u64::from(n)),
        stopping: false,
        head: 1,
    }
}

fn vm(name: &str, n: u8, state: EndpointState) -> VmEntry {
    VmEntry {
        id: format!("{name}-{n}").parse().unwrap(),
        data_centre: centre(name),
        role: VmRole::System,
        address: address(name, n),
        slots: 0,
        state,
    }
}

fn list(name: &str, numbers: std::ops::RangeInclusive<u8>) -> Vec<VmEntry> {
    numbers.map(|n| vm(name, n, EndpointState::Live)).collect()
}

fn table(n: u8) -> MemberTable {
    MemberTable::new(own(n), MemberSettings::default(), [])
}

fn heartbeats(actions: &[MemberAction]) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for action in actions {
        if let MemberAction::SendHeartbeat { address } = action {
            addresses.push(*address);
        }
    }
    addresses
}

fn live(table: &MemberTable) -> Vec<SocketAddr> {
    let mut addresses: Vec<SocketAddr> = table.live().map(|view| view.address).collect();
    addresses.sort_unstable();
    addresses
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// One input to the table of member 3, whose peers are 1 to 9.
#[derive(Clone, Copy)]
enum Input {
    /// This many ms pass, with a tick every 100 ms.
    Advance(u64),
    /// This many ms pass without a tick: the process is frozen.
    Freeze(u64),
    /// The member sends a heartbeat, and another one every 500 ms of the following advances.
    Heartbeat(u8),
    /// The member stops sending and answering heartbeats.
    FallSilent(u8),
    /// The member's VM refuses a connection.
    RefuseConnection(u8),
    /// The member announces in its heartbeats that it is stopping.
    Stop(u8),
    /// A VM list arrives that contains only this VM.
    List(u8, EndpointState),
    /// An empty VM list arrives.
    Unlist,
}

struct Scenario {
    table: MemberTable,
    now: Instant,
    responsive: Vec<u8>,
    stopping: Vec<u8>,
    /// The targets of the heartbeats sent in the last advance.
    heartbeats_sent: Vec<SocketAddr>,
}

impl Scenario {
    fn new() -> Self {
        let mut table = table(3);
        table.on_vm_list(&list(LOCAL_CENTRE, 1..=9));
        Self {
            table,
            now: Instant::now(),
            responsive: Vec::new(),
            stopping: Vec::new(),
            heartbeats_sent: Vec::new(),
        }
    }

    fn apply(&mut self, input: Input) {
        match input {
            Input::Advance(millis) => self.advance(millis),
            Input::Freeze(millis) => self.now += ms(millis),
            Input::Heartbeat(n) => {
                self.responsive.push(n);
                self.receive_heartbeat(n);
            }
            Input::FallSilent(n) => self.responsive.retain(|m| *m != n),
            Input::RefuseConnection(n) => self
                .table
                .on_connection_refused(self.now, address(LOCAL_CENTRE, n)),
            Input::Stop(n) => self.stopping.push(n),
            Input::List(n, state) => self.table.on_vm_list(&[vm(LOCAL_CENTRE, n, state)]),
            Input::Unlist => self.table.on_vm_list(&[]),
        }
    }

    fn advance(&mut self, millis: u64) {
        self.heartbeats_sent.clear();
        for step in 0..millis / 100 {
            self.now += ms(100);
            self.heartbeats_sent
                .extend(heartbeats(&self.table.tick(self.now)));
            if step % 5 == 0 {
                for n in self.responsive.clone() {
                    self.receive_heartbeat(n);
                }
            }
        }
    }

    fn receive_heartbeat(&mut self, n: u8) {
        let mut view = view(LOCAL_CENTRE, n);
        view.stopping = self.stopping.contains(&n);
        let reply = self.table.on_heartbeat(self.now, HeartbeatMessage { view });
        assert_eq!(reply.view.address, address(LOCAL_CENTRE, 3));
    }
}

fn check_live(inputs: &[Input], expect: &[u8]) {
    let mut scenario = Scenario::new();
    for input in inputs {
        scenario.apply(*input);
    }
    let expect: Vec<SocketAddr> = expect.iter().map(|n| address(LOCAL_CENTRE, *n)).collect();
    assert_eq!(live(&scenario.table), expect);
}

#[test]
fn a_listed_member_is_not_live_before_its_first_heartbeat() {
    use Input::{Advance, Heartbeat};
    check_live(&[], &[]);
    check_live(&[Advance(1000)], &[]);
    check_live(&[Heartbeat(1), Advance(1000)], &[1]);
}

#[test]
fn an_unlisted_member_is_live_after_its_first_heartbeat() {
    use Input::{Advance, Heartbeat, Unlist};
    check_live(&[Heartbeat(1), Unlist, Advance(5000)], &[1]);
    check_live(&[Unlist, Heartbeat(40), Advance(5000)], &[40]);
}

// Until a dead member is detected, tasks go to it. A member falls silent; four heartbeats go unanswered in the suspect
// time of 2 s, and then its endpoints get another owner. The higher address of a pair starts sending half a period
// later, so both detect it within 3 s.
#[test]
fn a_silent_member_is_dead_after_the_suspect_time() {
    use Input::{Advance, FallSilent, Heartbeat};
    for n in [1, 9] {
        check_live(
            &[Heartbeat(n), Advance(5000), FallSilent(n), Advance(2000)],
            &[n],
        );
        check_live(
            &[Heartbeat(n), Advance(5000), FallSilent(n), Advance(3200)],
            &[],
        );
        check_live(
            &[
                Heartbeat(n),
                FallSilent(n),
                Advance(5000),
                Heartbeat(n),
                Advance(100),
            ],
            &[n],
        );
    }
}

// This process is frozen for a minute while heartbeats of its peers lie in its sockets. If it took that for silence of
// the peers, it would claim every endpoint. After thawing, the peers get a full suspect time, in which the heartbeats
// of live ones are read and one that died meanwhile is detected.
#[test]
fn a_frozen_process_does_not_declare_its_peers_dead() {
    use Input::{Advance, FallSilent, Freeze, Heartbeat};
    check_live(
        &[
            Heartbeat(1),
            Heartbeat(9),
            Advance(1000),
            Freeze(60_000),
            Advance(100),
        ],
        &[1, 9],
    );
    // A heartbeat was pending when the process froze.
    check_live(
        &[
            Heartbeat(1),
            FallSilent(1),
            Advance(1000),
            Freeze(60_000),
            Advance(1900),
        ],
        &[1],
    );
    check_live(
        &[
            Heartbeat(1),
            Heartbeat(9),
            Advance(1000),
            Freeze(60_000),
            FallSilent(9),
            Advance(1900),
        ],
        &[1, 9],
    );
    check_live(
        &[
            Heartbeat(1),
            Heartbeat(9),
            Advance(1000),
            Freeze(60_000),
            FallSilent(9),
            Advance(3200),
        ],
        &[1],
    );
}

// A dispatcher process dies on a VM that stays up. The VM refuses the connection, and the endpoints move at once
// instead of after the suspect time, so that the caller's next task waits at most for a reconnect.
#[test]
fn a_refused_connection_marks_a_member_dead_at_once() {
    use Input::{Heartbeat, RefuseConnection};
    check_live(&[Heartbeat(1), Heartbeat(2), RefuseConnection(1)], &[2]);
    check_live(&[Heartbeat(1), RefuseConnection(1), Heartbeat(1)], &[1]);
    check_live(&[RefuseConnection(8)], &[]);
}

#[test]
fn a_leaving_member_gets_heartbeats_only_while_it_responds() {
    use Input::{Advance, FallSilent, Heartbeat, List};
    let mut scenario = Scenario::new();
    scenario.apply(Heartbeat(9));
    scenario.apply(List(9, EndpointState::Leaving));
    scenario.apply(FallSilent(9));
    scenario.apply(Advance(600));
    assert_eq!(scenario.heartbeats_sent, [address(LOCAL_CENTRE, 9)]);
    scenario.apply(Advance(10_000));
    assert_eq!(live(&scenario.table), []);
    scenario.apply(Advance(500));
    assert_eq!(scenario.heartbeats_sent, []);
}

#[test]
fn owners_are_live_and_not_stopping() {
    use Input::{Advance, Heartbeat, Stop};
    let check = |inputs: &[Input], expect: &[u8]| {
        let mut scenario = Scenario::new();
        for input in inputs {
            scenario.apply(*input);
        }
        let owners = scenario.table.owners();
        let owners: Vec<SocketAddr> = owners.iter().map(|owner| owner.address).collect();
        let expect: Vec<SocketAddr> = expect.iter().map(|n| address(LOCAL_CENTRE, *n)).collect();
        assert_eq!(owners, expect);
    };
    check(&[], &[3]);
    check(&[Heartbeat(1), Heartbeat(2)], &[1, 2, 3]);
    check(
        &[Heartbeat(1), Heartbeat(2), Stop(2), Advance(600)],
        &[1, 3],
    );
}

#[test]
fn stopping_is_announced_at_once() {
    let now = Instant::now();
    let mut table = table(3);
    for n in [1, 9] {
        table.on_heartbeat(
            now,
            HeartbeatMessage {
                view: view(LOCAL_CENTRE, n),
            },
        );
    }
    assert_eq!(table.tick(now), [MemberAction::ViewChanged]);
    table.set_stopping();
    let peers = [address(LOCAL_CENTRE, 1), address(LOCAL_CENTRE, 9)];
    assert_eq!(heartbeats(&table.tick(now)), peers);
    assert!(table.heartbeat_message().view.stopping);
    assert!(table
        .owners()
        .iter()
        .all(|owner| owner.address != address(LOCAL_CENTRE, 3)));
}

#[test]
fn the_view_changes_only_with_what_decides_ownership() {
    let now = Instant::now();
    let mut table = table(3);
    let mut member = view(LOCAL_CENTRE, 1);
    let mut check = |member: &MemberView, changed: bool| {
        let before = table.revision();
        table.on_heartbeat_reply(
            now,
            HeartbeatReply {
                view: member.clone(),
            },
        );
        assert_eq!(table.revision() != before, changed, "{member:?}");
    };
    check(&member, true);
    check(&member, false);
    member.head = 7;
    check(&member, false);
    member.incarnation = IncarnationId(9);
    check(&member, true);
    member.stopping = true;
    check(&member, true);
    assert_eq!(table.highest_head(), 7);
}

#[test]
fn the_lower_address_of_a_pair_sends_the_heartbeat() {
    let check = |n: u8, after: u64, expect: usize| {
        let now = Instant::now();
        let mut table = table(3);
        table.on_heartbeat(
            now,
            HeartbeatMessage {
                view: view(LOCAL_CENTRE, n),
            },
        );
        let actions = table.tick(now + ms(after));
        assert_eq!(heartbeats(&actions).len(), expect, "{n} after {after} ms");
    };
    check(1, 500, 0);
    check(1, 749, 0);
    check(1, 750, 1);
    check(9, 499, 0);
    check(9, 500, 1);
}

// At the target size the period of a pair is 4.2 s, so one lost heartbeat must not mean death, and four periods of
// silence would take 18 s. An unanswered heartbeat is repeated every 500 ms instead, so that callers of a dead
// dispatcher's endpoints wait 8.3 s at most.
#[test]
fn an_unanswered_heartbeat_is_repeated_at_the_shortest_interval() {
    let mut now = Instant::now();
    let mut table = table(1);
    table.on_vm_list(&list(LOCAL_CENTRE, 1..=60));
    for n in 2..=60 {
        table.on_heartbeat(
            now,
            HeartbeatMessage {
                view: view(LOCAL_CENTRE, n),
            },
        );
    }
    let silent = address(LOCAL_CENTRE, 60);
    let mut heartbeats_sent = 0;
    let start = now;
    while live(&table).contains(&silent) {
        now += ms(100);
        for to in heartbeats(&table.tick(now)) {
            heartbeats_sent += usize::from(to == silent);
            if to != silent {
                let SocketAddr::V4(v4) = to else {
                    continue;
                };
                let view = view(LOCAL_CENTRE, v4.ip().octets()[3]);
                table.on_heartbeat_reply(now, HeartbeatReply { view });
            }
        }
    }
    assert_eq!(heartbeats_sent, 4);
    assert_eq!(now - start, ms(6300));
    assert_eq!(table.live().count(), 58);
}

/// Counts the heartbeats that a process sends and answers per minute in a healthy data centre of `count` VMs.
fn heartbeats_per_minute(count: u8) -> usize {
    let mut now = Instant::now();
    let mut tables: Vec<MemberTable> = (1..=count).map(table).collect();
    for table in &mut tables {
        table.on_vm_list(&list(LOCAL_CENTRE, 1..=count));
    }
    let mut messages = 0;
    for step in 0..900 {
        now += ms(100);
        for i in 0..tables.len() {
            for to in heartbeats(&tables[i].tick(now)) {
                let j = tables
                    .iter()
                    .position(|t| t.heartbeat_message().view.address == to);
                let j = j.unwrap();
                let message = tables[i].heartbeat_message();
                let reply = tables[j].on_heartbeat(now, message);
                tables[i].on_heartbeat_reply(now, reply);
                let watched = i == 0 || j == 0;
                messages += usize::from(step >= 300 && watched);
            }
        }
    }
    for table in &tables {
        assert_eq!(table.live().count(), tables.len() - 1);
    }
    messages
}

#[test]
fn full_mesh_heartbeats_stay_within_budget() {
    // One heartbeat per pair and period: 7 pairs at 0.5 s, 59 pairs at 4.21 s (4.3 s with the wait for the next tick).
    assert_eq!(heartbeats_per_minute(8), 7 * 120);
    assert_eq!(heartbeats_per_minute(60), 59 * 14);
}

#[test]
fn each_remote_data_centre_costs_two_heartbeats() {
    let mut now = Instant::now();
    let mut table = table(3);
    let mut vms = list(REMOTE_CENTRE, 1..=60);
    vms.extend(list("junagadh-dc", 61..=120));
    table.on_vm_list(&vms);
    let mut chosen = Vec::new();
    for _ in 0..4 {
        let addresses = heartbeats(&table.tick(now));
        assert_eq!(addresses.len(), 4);
        for address in &addresses {
            let SocketAddr::V4(v4) = address else {
                continue;
            };
            let [.., n] = v4.ip().octets();
            let name = if n <= 60 {
                REMOTE_CENTRE
            } else {
                "junagadh-dc"
            };
            table.on_heartbeat_reply(
                now,
                HeartbeatReply {
                    view: view(name, n),
                },
            );
        }
        chosen.push(addresses);
        assert_eq!(heartbeats(&table.tick(now + ms(9000))), []);
        now += ms(10_000);
    }
    assert!(
        chosen.iter().all(|c| *c == chosen[0]),
        "the same contacts each time"
    );
}

// After a network partition another data centre must be found again at the usual number of heartbeats, so that tasks
// for which there is no slot here can go there. The contacts fall silent and other members are tried in turn, so that
// some contact answers soon after the data centre is reachable again.
#[test]
fn contacts_of_an_unreachable_data_centre_are_tried_in_turn() {
    let mut now = Instant::now();
    let mut table = table(3);
    table.on_vm_list(&list(REMOTE_CENTRE, 1..=10));
    let mut tried = Vec::new();
    for _ in 0..20 {
        let addresses = heartbeats(&table.tick(now));
        assert!(addresses.len() <= 2);
        tried.extend(addresses);
        for _ in 0..8 {
            now += ms(1000);
            tried.extend(heartbeats(&table.tick(now)));
        }
    }
    // 40 heartbeats to 10 members: the contacts get two each before they count as dead, and then each member in turn.
    for n in 1..=10 {
        let heartbeats = tried
            .iter()
            .filter(|a| **a == address(REMOTE_CENTRE, n))
            .count();
        assert!((3..=5).contains(&heartbeats), "{n}: {heartbeats}");
    }
}

#[test]
fn replaced_vms_are_removed() {
    let mut now = Instant::now();
    let mut table = table(3);
    for n in 1..=60 {
        if n == 3 {
            continue;
        }
        table.on_heartbeat(
            now,
            HeartbeatMessage {
                view: view(LOCAL_CENTRE, n),
            },
        );
        for _ in 0..20 {
            now += ms(200);
            table.tick(now);
        }
    }
    assert!(table.len() < 20, "{}", table.len());
}
