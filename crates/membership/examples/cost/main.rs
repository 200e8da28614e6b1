//! Measures the cost of membership and grants for one VM: messages, bytes, memory and processor time.
//!
//! Run with `cargo run --release -p membership --example cost`. The figures of
//! docs/design/0004-membership-and-grants.md come from this example. Messages are counted on the state machines, bytes
//! on messages built with the peer schema, and memory by a counting allocator. Only the bytes of TCP and IP headers are
//! computed.

mod heap;
mod wire;

use std::{
    hint::black_box,
    net::SocketAddr,
    time::{Duration, Instant},
};

use membership::{
    rendezvous, AskBatch, GrantAllocator, GrantDecision, GrantHolder, GrantReply, GrantSettings,
    HeartbeatMessage, HeartbeatReply, LiveOwner, MemberAction, MemberSettings, MemberTable,
    MemberView, OwnMember, OwnershipMap, ReplyBatch,
};
use model::{
    CustomerId, DataCentreId, EndpointId, EndpointState, FastMap, IncarnationId, VmEntry, VmRole,
};

/// The number of customers at the target size.
const CUSTOMERS: usize = 140;

/// The number of simulated steps of 50 ms of each count.
const STEPS: u32 = 2400;

fn main() {
    wire::print_sizes();
    print_grant_sizes();
    for (vms, centres, endpoints) in [(8, 3, 50), (30, 12, 192), (60, 12, 384)] {
        println!(
            "\n{vms} VMs in each of {centres} data centres, {endpoints} endpoints a data centre"
        );
        print_members(vms, centres);
        print_ownership(vms, endpoints);
        for (load, count) in [("satisfied", 10), ("less than wanted", 2)] {
            print_holder(vms, load, count);
        }
        print_allocator(vms);
    }
}

/// Prints the bytes of a batch without asks, and of each ask.
fn print_grant_sizes() {
    let bytes = |asks: usize| {
        let batch = ask_of(3, 1, &customers()[..asks]);
        wire::grant_bytes(&batch, &answer(&batch, 10))
    };
    let slope = (bytes(100) - bytes(0)) / 100;
    println!(
        "a batch of asks with its answer: {} bytes, and {slope} for each ask",
        bytes(0)
    );
}

fn centre(n: u16) -> DataCentreId {
    format!("rajkot-east-{n:02}").parse().unwrap()
}

fn address(centre: u16, vm: u16) -> SocketAddr {
    SocketAddr::from(([10, centre as u8, 1, vm as u8 + 1], 7000))
}

fn view(centre_number: u16, vm: u16) -> MemberView {
    MemberView {
        address: address(centre_number, vm),
        data_centre: centre(centre_number),
        incarnation: IncarnationId(u64::from(centre_number) << 16 | u64::from(vm)),
        stopping: false,
        head: 1,
    }
}

fn table(centre_number: u16, vm: u16, list: &[VmEntry]) -> MemberTable {
    let own = OwnMember {
        address: address(centre_number, vm),
        data_centre: centre(centre_number),
        incarnation: IncarnationId(1),
        stopping: false,
        head: 1,
    };
    let mut table = MemberTable::new(own, MemberSettings::default(), []);
    table.on_vm_list(list);
    table
}

fn vm_list(vms: u16, centres: u16) -> Vec<VmEntry> {
    let mut list = Vec::new();
    for c in 0..centres {
        for vm in 0..vms {
            list.push(VmEntry {
                id: format!("vm-{c}-{vm}").parse().unwrap(),
                data_centre: centre(c),
                role: VmRole::System,
                address: address(c, vm),
                slots: 0,
                state: EndpointState::Live,
            });
        }
    }
    list
}

/// Prints the cost of heartbeats for the VM in the middle of the first data centre: half of its peers send it
/// heartbeats, and it sends them to the other half.
fn print_members(vms: u16, centres: u16) {
    let list = vm_list(vms, centres);
    let own = vms / 2;
    let allocated_before = heap::allocated_bytes();
    let mut table = table(0, own, &list);
    let mut now = Instant::now();
    let mut due = vec![now; usize::from(vms)];
    let (mut local, mut remote) = (0u32, 0u32);
    let mut busy = Duration::ZERO;
    for _ in 0..STEPS {
        now += Duration::from_millis(50);
        let started = Instant::now();
        // Peers with lower addresses send heartbeats at the same period.
        for vm in 0..own {
            if now >= due[usize::from(vm)] {
                due[usize::from(vm)] = now + table.period();
                black_box(table.on_heartbeat(now, HeartbeatMessage { view: view(0, vm) }));
                local += 1;
            }
        }
        for action in table.tick(now) {
            let MemberAction::SendHeartbeat { address } = action else {
                continue;
            };
            let peer = list.iter().position(|vm| vm.address == address).unwrap() as u16;
            let (c, vm) = (peer / vms, peer % vms);
            table.on_heartbeat_reply(now, HeartbeatReply { view: view(c, vm) });
            if c == 0 {
                local += 1;
            } else {
                remote += 1;
            }
        }
        busy += started.elapsed();
    }
    let seconds = f64::from(STEPS) / 20.0;
    let received = remote_heartbeats_received(vms, centres, own, &list);
    let local_rate = f64::from(local) / seconds;
    let remote_rate =
        (f64::from(remote) + f64::from(received) * f64::from(remote_rounds())) / seconds;
    println!(
        "  heartbeats: {local_rate:.1}/s here, {remote_rate:.1}/s to and from others, {:.2} KB/s; {} KB allocated, {:.4}% of a core",
        (local_rate + remote_rate) * wire::heartbeat_bytes() as f64 / 1000.0,
        (heap::allocated_bytes() - allocated_before) / 1000,
        busy.as_secs_f64() / seconds * 100.0
    );
}

fn remote_rounds() -> u32 {
    let every = MemberSettings::default().remote_heartbeat_interval;
    (Duration::from_millis(50) * STEPS).as_secs() as u32 / every.as_secs() as u32
}

/// The number of processes in other data centres that choose the VM `own` of the first data centre as a contact.
fn remote_heartbeats_received(vms: u16, centres: u16, own: u16, list: &[VmEntry]) -> u32 {
    let here = &list[..usize::from(vms)];
    let mut received = 0;
    for c in 1..centres {
        for vm in 0..vms {
            for action in table(c, vm, here).tick(Instant::now()) {
                let target = MemberAction::SendHeartbeat {
                    address: address(0, own),
                };
                received += u32::from(action == target);
            }
        }
    }
    received
}

fn print_ownership(vms: u16, endpoints: usize) {
    let allocated_before = heap::allocated_bytes();
    let mut map = OwnershipMap::default();
    let members: Vec<SocketAddr> = (0..vms).map(|vm| address(0, vm)).collect();
    let ids: Vec<EndpointId> = (0..endpoints)
        .map(|n| format!("exec-{n}").parse().unwrap())
        .collect();
    map.update(members.iter().copied(), ids.iter().cloned());
    let rounds: u32 = 1000;
    let started = Instant::now();
    for round in 0..rounds {
        let gone = round as usize % members.len();
        let rest = members.iter().copied().enumerate();
        let rest = rest.filter(|(i, _)| *i != gone).map(|(_, m)| m);
        black_box(map.update(rest, ids.iter().cloned()));
    }
    let each = started.elapsed() / rounds;
    println!(
        "  ownership: {each:?} for a change, {} KB allocated",
        (heap::allocated_bytes() - allocated_before) / 1000
    );
}

fn customers() -> Vec<CustomerId> {
    (0..CUSTOMERS)
        .map(|n| format!("prairie-school-{n:03}").parse().unwrap())
        .collect()
}

fn answer(batch: &AskBatch, count: u32) -> ReplyBatch {
    let decision = GrantDecision::Granted { count, share: 600 };
    let mut replies = Vec::new();
    for ask in &batch.asks {
        replies.push(GrantReply {
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

/// Prints the cost of an entry that has work of every customer, and to which the homes grant `count` tasks of each.
fn print_holder(vms: u16, load: &str, count: u32) {
    let mut now = Instant::now();
    let allocated_before = heap::allocated_bytes();
    let settings = GrantSettings::default();
    let mut holder = GrantHolder::new(address(0, 0), IncarnationId(1), settings);
    let live: Vec<SocketAddr> = (0..vms).map(|vm| address(0, vm)).collect();
    holder.set_view(now, live.clone(), live);
    for customer in customers() {
        holder.set_share(&customer, 600);
        holder.set_waiting(now, &customer, 8);
    }
    let (mut batches, mut asks, mut bytes) = (0u32, 0usize, 0usize);
    let mut busy = Duration::ZERO;
    for _ in 0..STEPS {
        now += Duration::from_millis(50);
        let started = Instant::now();
        let sent = holder.tick(now);
        busy += started.elapsed();
        for batch in sent {
            let reply = answer(&batch, count);
            batches += 1;
            asks += batch.asks.len();
            bytes += wire::grant_bytes(&batch, &reply);
            let started = Instant::now();
            holder.on_reply(now, &reply);
            busy += started.elapsed();
        }
    }
    let seconds = f64::from(STEPS) / 20.0;
    println!(
        "  entry, {load}: {:.1} batches/s of {:.1} asks, {:.2} KB/s; {} KB allocated, {:.4}% of a core",
        f64::from(batches) / seconds,
        asks as f64 / f64::from(batches),
        bytes as f64 / seconds / 1000.0,
        (heap::allocated_bytes() - allocated_before) / 1000,
        busy.as_secs_f64() / seconds * 100.0
    );
}

/// Prints the cost of a home that every entry of the data centre asks about all its customers.
fn print_allocator(vms: u16) {
    let mut now = Instant::now();
    let own = address(0, 0);
    let allocated_before = heap::allocated_bytes();
    let mut allocator = GrantAllocator::new(own, GrantSettings::default());
    for customer in customers() {
        allocator.set_share(now, customer, 600);
    }
    let mut live = Vec::new();
    for vm in 0..vms {
        live.push(LiveOwner {
            address: address(0, vm),
            incarnation: IncarnationId(u64::from(vm)),
        });
    }
    let listed = live.iter().map(|owner| owner.address).collect();
    allocator.set_view(now, live, listed);
    let own_customers: Vec<CustomerId> = allocator.customers().cloned().collect();
    for _ in 0..11 {
        now += Duration::from_secs(1);
        allocator.tick(now);
    }
    let rounds: u64 = 20;
    let mut busy = Duration::ZERO;
    for round in 1..=rounds {
        for vm in 0..vms {
            let batch = ask_of(vm, round, &own_customers);
            let started = Instant::now();
            black_box(allocator.on_ask(now, &batch));
            busy += started.elapsed();
        }
    }
    let asks = rounds * u64::from(vms) * own_customers.len() as u64;
    println!(
        "  home of {} customers (most at one home: {}): {} KB allocated, {:?} an ask",
        own_customers.len(),
        most_at_one_home(vms),
        (heap::allocated_bytes() - allocated_before) / 1000,
        busy / asks.max(1) as u32
    );
}

fn most_at_one_home(vms: u16) -> usize {
    let mut homes = FastMap::default();
    for customer in customers() {
        let home = rendezvous(&customer, (0..vms).map(|vm| address(0, vm)));
        *homes.entry(home).or_insert(0) += 1;
    }
    homes.into_values().max().unwrap_or(0)
}

fn ask_of(vm: u16, serial: u64, customers: &[CustomerId]) -> AskBatch {
    let mut asks = Vec::new();
    for customer in customers {
        asks.push(membership::GrantAsk {
            customer: customer.clone(),
            want: 20,
            held: 10,
            in_use: 9,
        });
    }
    AskBatch {
        home: address(0, 0),
        holder: IncarnationId(u64::from(vm)),
        holder_address: address(0, vm),
        serial,
        asks,
    }
}
