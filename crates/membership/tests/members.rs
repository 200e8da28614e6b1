//! Who counts as live: from heartbeats, the VM list, silence and the process's own freezes.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use membership::{
    HeartbeatMessage, HeartbeatReply, MemberAction, MemberSettings, MemberTable, MemberView,
    OwnMember,
};
use model::{DataCentreId, EndpointState, IncarnationId, VmEntry, VmRole};

const HOME: &str = "rajkot-east";
const AWAY: &str = "morbi-hall";

fn centre(name: &str) -> DataCentreId {
    name.parse().unwrap()
}

fn address(centre: &str, n: u8) -> SocketAddr {
    let net = u8::from(centre != HOME);
    SocketAddr::from(([10, net, 0, n], 7000))
}

fn own(n: u8) -> OwnMember {
    OwnMember {
        address: address(HOME, n),
        data_centre: centre(HOME),
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

fn beats(actions: &[MemberAction]) -> Vec<SocketAddr> {
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

/// One input to the table of member 3, whose neighbours are 1 to 9.
#[derive(Clone, Copy)]
enum Input {
    /// This many ms pass, with a tick every 100.
    Pass(u64),
    /// This many ms pass without a tick: the process is frozen.
    Freeze(u64),
    /// The member beats; it does so every 500 ms of the following passes.
    Hear(u8),
    /// The member stops beating and answering.
    Silence(u8),
    Refuse(u8),
    Stop(u8),
    List(u8, EndpointState),
    Unlist,
}

struct Run {
    table: MemberTable,
    now: Instant,
    speaking: Vec<u8>,
    stopping: Vec<u8>,
    /// The beats of the last pass.
    beaten: Vec<SocketAddr>,
}

impl Run {
    fn new() -> Self {
        let mut table = table(3);
        table.on_vm_list(&list(HOME, 1..=9));
        Self {
            table,
            now: Instant::now(),
            speaking: Vec::new(),
            stopping: Vec::new(),
            beaten: Vec::new(),
        }
    }

    fn apply(&mut self, input: Input) {
        match input {
            Input::Pass(millis) => self.pass(millis),
            Input::Freeze(millis) => self.now += ms(millis),
            Input::Hear(n) => {
                self.speaking.push(n);
                self.hear(n);
            }
            Input::Silence(n) => self.speaking.retain(|m| *m != n),
            Input::Refuse(n) => self.table.on_refused(self.now, address(HOME, n)),
            Input::Stop(n) => self.stopping.push(n),
            Input::List(n, state) => self.table.on_vm_list(&[vm(HOME, n, state)]),
            Input::Unlist => self.table.on_vm_list(&[]),
        }
    }

    fn pass(&mut self, millis: u64) {
        self.beaten.clear();
        for step in 0..millis / 100 {
            self.now += ms(100);
            self.beaten.extend(beats(&self.table.tick(self.now)));
            if step % 5 == 0 {
                for n in self.speaking.clone() {
                    self.hear(n);
                }
            }
        }
    }

    fn hear(&mut self, n: u8) {
        let mut view = view(HOME, n);
        view.stopping = self.stopping.contains(&n);
        let reply = self.table.on_heartbeat(self.now, HeartbeatMessage { view });
        assert_eq!(reply.view.address, address(HOME, 3));
    }
}

fn check_live(inputs: &[Input], expect: &[u8]) {
    let mut run = Run::new();
    for input in inputs {
        run.apply(*input);
    }
    let expect: Vec<SocketAddr> = expect.iter().map(|n| address(HOME, *n)).collect();
    assert_eq!(live(&run.table), expect);
}

#[test]
fn listed_is_not_live_until_heard() {
    use Input::{Hear, Pass};
    check_live(&[], &[]);
    check_live(&[Pass(1000)], &[]);
    check_live(&[Hear(1), Pass(1000)], &[1]);
}

#[test]
fn unlisted_is_live_when_heard() {
    use Input::{Hear, Pass, Unlist};
    check_live(&[Hear(1), Unlist, Pass(5000)], &[1]);
    check_live(&[Unlist, Hear(40), Pass(5000)], &[40]);
}

// The caller's tasks go to dispatchers that may be dead for a while. A member falls silent; four beats go unanswered
// in the suspect time of 2 s, and then its endpoints get another owner. The higher address of a pair starts beating
// half a period later, so both find it within 3 s.
#[test]
fn silence_is_death_after_the_suspect_time() {
    use Input::{Hear, Pass, Silence};
    for n in [1, 9] {
        check_live(&[Hear(n), Pass(5000), Silence(n), Pass(2000)], &[n]);
        check_live(&[Hear(n), Pass(5000), Silence(n), Pass(3200)], &[]);
        check_live(&[Hear(n), Silence(n), Pass(5000), Hear(n), Pass(100)], &[n]);
    }
}

// The caller sees no change. This process is frozen for a minute while its neighbours' beats lie in its sockets. On
// thawing it must not take the silence for theirs: it would own every endpoint. They get a full suspect time, in
// which one that lives is heard and one that died meanwhile is found dead.
#[test]
fn a_frozen_process_does_not_bury_the_others() {
    use Input::{Freeze, Hear, Pass, Silence};
    check_live(
        &[Hear(1), Hear(9), Pass(1000), Freeze(60_000), Pass(100)],
        &[1, 9],
    );
    // A beat was on its way when the process froze.
    check_live(
        &[Hear(1), Silence(1), Pass(1000), Freeze(60_000), Pass(1900)],
        &[1],
    );
    check_live(
        &[
            Hear(1),
            Hear(9),
            Pass(1000),
            Freeze(60_000),
            Silence(9),
            Pass(1900),
        ],
        &[1, 9],
    );
    check_live(
        &[
            Hear(1),
            Hear(9),
            Pass(1000),
            Freeze(60_000),
            Silence(9),
            Pass(3200),
        ],
        &[1],
    );
}

// The caller's next task waits at most for a reconnect. A dispatcher process dies on a VM that lives; the VM refuses
// the connection, and the endpoints move at once and not after the suspect time.
#[test]
fn a_refused_connection_is_death_at_once() {
    use Input::{Hear, Refuse};
    check_live(&[Hear(1), Hear(2), Refuse(1)], &[2]);
    check_live(&[Hear(1), Refuse(1), Hear(1)], &[1]);
    check_live(&[Refuse(8)], &[]);
}

#[test]
fn a_leaving_member_is_beaten_while_heard_only() {
    use Input::{Hear, List, Pass, Silence};
    let mut run = Run::new();
    run.apply(Hear(9));
    run.apply(List(9, EndpointState::Leaving));
    run.apply(Silence(9));
    run.apply(Pass(600));
    assert_eq!(run.beaten, [address(HOME, 9)]);
    run.apply(Pass(10_000));
    assert_eq!(live(&run.table), []);
    run.apply(Pass(500));
    assert_eq!(run.beaten, []);
}

#[test]
fn who_owns() {
    use Input::{Hear, Pass, Stop};
    let check = |inputs: &[Input], expect: &[u8]| {
        let mut run = Run::new();
        for input in inputs {
            run.apply(*input);
        }
        let owners = run.table.owners();
        let owners: Vec<SocketAddr> = owners.iter().map(|owner| owner.address).collect();
        let expect: Vec<SocketAddr> = expect.iter().map(|n| address(HOME, *n)).collect();
        assert_eq!(owners, expect);
    };
    check(&[], &[3]);
    check(&[Hear(1), Hear(2)], &[1, 2, 3]);
    check(&[Hear(1), Hear(2), Stop(2), Pass(600)], &[1, 3]);
}

#[test]
fn stopping_is_told_at_once() {
    let now = Instant::now();
    let mut table = table(3);
    for n in [1, 9] {
        table.on_heartbeat(
            now,
            HeartbeatMessage {
                view: view(HOME, n),
            },
        );
    }
    assert_eq!(table.tick(now), [MemberAction::ViewChanged]);
    table.set_stopping();
    let both = [address(HOME, 1), address(HOME, 9)];
    assert_eq!(beats(&table.tick(now)), both);
    assert!(table.heartbeat_message().view.stopping);
    assert!(table
        .owners()
        .iter()
        .all(|owner| owner.address != address(HOME, 3)));
}

#[test]
fn the_view_changes_only_with_what_decides_ownership() {
    let now = Instant::now();
    let mut table = table(3);
    let mut member = view(HOME, 1);
    let mut check = |member: &MemberView, changed: bool| {
        let before = table.revision();
        table.on_reply(
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
fn the_higher_address_leaves_the_beat_to_the_lower() {
    let check = |n: u8, after: u64, expect: usize| {
        let now = Instant::now();
        let mut table = table(3);
        table.on_heartbeat(
            now,
            HeartbeatMessage {
                view: view(HOME, n),
            },
        );
        let actions = table.tick(now + ms(after));
        assert_eq!(beats(&actions).len(), expect, "{n} after {after} ms");
    };
    check(1, 500, 0);
    check(1, 749, 0);
    check(1, 750, 1);
    check(9, 499, 0);
    check(9, 500, 1);
}

// The callers of a dead dispatcher's endpoints wait 8.3 s at most at the target. The period of a pair is 4.2 s there,
// so one lost beat must not be death, and four periods of silence would be 18 s. An unanswered beat is repeated every
// 500 ms.
#[test]
fn an_unanswered_beat_is_repeated_soon() {
    let mut now = Instant::now();
    let mut table = table(1);
    table.on_vm_list(&list(HOME, 1..=60));
    for n in 2..=60 {
        table.on_heartbeat(
            now,
            HeartbeatMessage {
                view: view(HOME, n),
            },
        );
    }
    let silent = address(HOME, 60);
    let mut beaten = 0;
    let start = now;
    while live(&table).contains(&silent) {
        now += ms(100);
        for to in beats(&table.tick(now)) {
            beaten += usize::from(to == silent);
            if to != silent {
                let SocketAddr::V4(v4) = to else {
                    continue;
                };
                let view = view(HOME, v4.ip().octets()[3]);
                table.on_reply(now, HeartbeatReply { view });
            }
        }
    }
    assert_eq!(beaten, 4);
    assert_eq!(now - start, ms(6300));
    assert_eq!(table.live().count(), 58);
}

/// Counts the beats and answers that the process spends in a minute in a healthy data centre of `count` VMs.
fn beats_a_minute(count: u8) -> usize {
    let mut now = Instant::now();
    let mut tables: Vec<MemberTable> = (1..=count).map(table).collect();
    for table in &mut tables {
        table.on_vm_list(&list(HOME, 1..=count));
    }
    let mut messages = 0;
    for step in 0..900 {
        now += ms(100);
        for i in 0..tables.len() {
            for to in beats(&tables[i].tick(now)) {
                let j = tables
                    .iter()
                    .position(|t| t.heartbeat_message().view.address == to);
                let j = j.unwrap();
                let message = tables[i].heartbeat_message();
                let reply = tables[j].on_heartbeat(now, message);
                tables[i].on_reply(now, reply);
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
fn the_full_mesh_keeps_its_budget() {
    // One beat a pair and period: 7 pairs at 0.5 s, 59 pairs at 4.21 s (at the next tick, so 4.3 s).
    assert_eq!(beats_a_minute(8), 7 * 120);
    assert_eq!(beats_a_minute(60), 59 * 14);
}

#[test]
fn other_data_centres_cost_two_beats_each() {
    let mut now = Instant::now();
    let mut table = table(3);
    let mut vms = list(AWAY, 1..=60);
    vms.extend(list("junagadh-dc", 61..=120));
    table.on_vm_list(&vms);
    let mut chosen = Vec::new();
    for _ in 0..4 {
        let addresses = beats(&table.tick(now));
        assert_eq!(addresses.len(), 4);
        for address in &addresses {
            let SocketAddr::V4(v4) = address else {
                continue;
            };
            let [.., n] = v4.ip().octets();
            let name = if n <= 60 { AWAY } else { "junagadh-dc" };
            table.on_reply(
                now,
                HeartbeatReply {
                    view: view(name, n),
                },
            );
        }
        chosen.push(addresses);
        assert_eq!(beats(&table.tick(now + ms(9000))), []);
        now += ms(10_000);
    }
    assert!(
        chosen.iter().all(|c| *c == chosen[0]),
        "the same contacts each time"
    );
}

// The caller's spare tasks reach another data centre again after a cut, at the usual number of beats. The contacts
// fall silent, others are tried in turn, and when the data centre is back some contact answers soon.
#[test]
fn a_cut_data_centre_is_tried_in_turn() {
    let mut now = Instant::now();
    let mut table = table(3);
    table.on_vm_list(&list(AWAY, 1..=10));
    let mut tried = Vec::new();
    for _ in 0..20 {
        let addresses = beats(&table.tick(now));
        assert!(addresses.len() <= 2);
        tried.extend(addresses);
        for _ in 0..8 {
            now += ms(1000);
            tried.extend(beats(&table.tick(now)));
        }
    }
    // 40 beats at 10 members: the contacts twice before they are taken for dead, and then each in its turn.
    for n in 1..=10 {
        let beats = tried.iter().filter(|a| **a == address(AWAY, n)).count();
        assert!((3..=5).contains(&beats), "{n}: {beats}");
    }
}

#[test]
fn replaced_vms_are_forgotten() {
    let mut now = Instant::now();
    let mut table = table(3);
    for n in 1..=60 {
        if n == 3 {
            continue;
        }
        table.on_heartbeat(
            now,
            HeartbeatMessage {
                view: view(HOME, n),
            },
        );
        for _ in 0..20 {
            now += ms(200);
            table.tick(now);
        }
    }
    assert!(table.len() < 20, "{}", table.len());
}
