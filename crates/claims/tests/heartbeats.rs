//! How many heartbeats a fleet exchanges, and how soon a silent process is detected.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use claims::{
    ClaimController, ClaimEvent, ClaimRow, ClaimSettings, Heartbeat, HeartbeatClass, LinkRate,
    MemberRow, NodeId,
};
use jobs::PoolId;
use model::DataCentreId;

const CENTRES: usize = 5;

/// One of so many processes owns a pool.
const PROCESSES_PER_OWNER: usize = 6;

fn centre(number: usize) -> DataCentreId {
    format!("dc-{}", number % CENTRES).parse().unwrap()
}

fn member(number: usize) -> MemberRow {
    let port = u16::try_from(number).unwrap();
    MemberRow {
        node: NodeId::from(format!("vm-{number}").as_str()),
        incarnation: 10,
        data_centre: centre(number),
        cores: 0.25,
        link: LinkRate::default(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        refreshes: 1,
        waits: Vec::new(),
    }
}

/// The controller of one process of a fleet of `count`, in which each `PROCESSES_PER_OWNER`th process owns a
/// pool.
fn controller(own_index: usize, count: usize, now: Instant) -> ClaimController {
    let mut controller = ClaimController::new(member(own_index), ClaimSettings::default(), now);
    for number in 0..count {
        controller.on_member(now, member(number));
        if number % PROCESSES_PER_OWNER == 0 {
            let owner = member(number);
            let row = ClaimRow {
                node: owner.node,
                incarnation: owner.incarnation,
                address: owner.address,
            };
            let pool = PoolId {
                data_centre: owner.data_centre,
                group: u32::try_from(number).unwrap(),
            };
            controller.on_claim(now, pool, row, 7);
        }
    }
    controller
}

/// Heartbeats that the process sends per second.
fn datagrams_per_second(controller: &ClaimController) -> f64 {
    let peers = controller.peers();
    let rates = peers.map(|(_, class)| 1.0 / controller.heartbeat_interval(class).as_secs_f64());
    rates.sum()
}

/// Compares the heartbeats of a fleet with those that it would send if all processes of a data centre sent
/// them as often as owners do: the mean must be at most `share` of that.
fn check(count: usize, share: f64) {
    let now = Instant::now();
    let mut all = 0.0;
    let mut full_mesh = 0.0;
    for own_index in 0..count {
        let controller = controller(own_index, count, now);
        all += datagrams_per_second(&controller);
        let local = controller
            .peers()
            .filter(|(_, class)| *class != HeartbeatClass::Remote);
        let remote = controller
            .peers()
            .filter(|(_, class)| *class == HeartbeatClass::Remote);
        full_mesh += local.count() as f64
            / controller
                .heartbeat_interval(HeartbeatClass::Owner)
                .as_secs_f64();
        full_mesh += remote.count() as f64
            / controller
                .heartbeat_interval(HeartbeatClass::Remote)
                .as_secs_f64();
    }
    let count = count as f64;
    println!(
        "{count} processes send {:.1} heartbeats a second each, {:.1} in a full mesh",
        all / count,
        full_mesh / count
    );
    assert!(all <= full_mesh * share, "{all:.1} of {full_mesh:.1}");
}

/// Each datagram costs some tens of microseconds at each end. Guards against heartbeats that grow with the
/// fleet as in a full mesh: among 100 processes at least a third of them must be saved, and among 300 at least
/// half.
#[test]
fn heartbeats_do_not_grow_with_the_square_of_the_fleet() {
    check(30, 1.0);
    check(100, 0.67);
    check(300, 0.5);
}

fn heartbeat(member: &MemberRow) -> Heartbeat {
    Heartbeat {
        node: member.node.clone(),
        incarnation: member.incarnation,
        data_centre: member.data_centre.clone(),
        cores: member.cores,
        link: member.link,
        leaving: false,
        clock: Duration::ZERO,
        reading: None,
        hears: Vec::new(),
        pools: Vec::new(),
    }
}

/// How long after its last heartbeat `other` counts as silent at `own_index`.
fn time_until_silent(own_index: usize, other: usize) -> Duration {
    let count = 60 * CENTRES;
    let begun = Instant::now();
    let mut controller = controller(own_index, count, begun);
    let mut now = begun;
    let step = Duration::from_millis(20);
    while now < begun + Duration::from_secs(5) {
        controller.on_heartbeat(now, heartbeat(&member(other)), member(other).address);
        controller.tick(now);
        now += step;
    }
    let last = now - step;
    controller.take_events();
    loop {
        controller.tick(now);
        let events = controller.take_events();
        let silent = events
            .iter()
            .any(|event| matches!(event, ClaimEvent::PeerSilent { .. }));
        if silent {
            return now - last;
        }
        now += step;
    }
}

/// Guards against late detection of a silent owner, or by an owner, so that pools stand still and jobs are sent into
/// silence. Between two processes without pools, detection may take longer but must not come too soon.
#[test]
fn silent_owners_and_entries_are_detected_at_once() {
    let (owner, other_owner) = (0, 30);
    let (entry, other_entry) = (5, 10);
    let soon = Duration::from_millis(460);
    assert!(time_until_silent(entry, owner) <= soon);
    assert!(time_until_silent(owner, entry) <= soon);
    assert!(time_until_silent(owner, other_owner) <= soon);
    let idle =
        controller(entry, 60 * CENTRES, Instant::now()).heartbeat_interval(HeartbeatClass::Idle);
    assert!(time_until_silent(entry, other_entry) >= idle * 3);
}
