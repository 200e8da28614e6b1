//! Ports of the testbed's processes: one that is given twice, or taken by an outgoing connection before its process
//! binds it, ends the process with "Address already in use".

use std::{collections::HashSet, net::TcpListener, thread};

use scenario::ports::{listening_range, PortHold};

/// More than the ports of the largest testbed.
const PORT_COUNT: usize = 40;

#[test]
fn ports_of_testbeds_never_coincide() {
    let build_testbeds = || {
        let mut addresses = Vec::new();
        for _ in 0..10 {
            // Each hold is released before the next, like that of a testbed whose processes have not started yet.
            let hold = PortHold::new(PORT_COUNT).expect("free ports");
            addresses.extend(hold.addresses().expect("the addresses"));
        }
        addresses
    };
    let threads: Vec<_> = (0..4).map(|_| thread::spawn(build_testbeds)).collect();
    let mut seen = HashSet::new();
    for thread in threads {
        for address in thread.join().expect("no panic") {
            assert!(seen.insert(address), "{address} twice");
        }
    }
    assert_eq!(seen.len(), 4 * 10 * PORT_COUNT);
}

#[test]
fn ports_are_held_until_all_are_chosen() {
    let hold = PortHold::new(PORT_COUNT).expect("free ports");
    for address in hold.addresses().expect("the addresses") {
        assert!(TcpListener::bind(address).is_err(), "{address} is free");
    }
}

#[test]
fn outgoing_connections_use_other_ports() {
    let hold = PortHold::new(PORT_COUNT).expect("free ports");
    let held: Vec<u16> = hold
        .addresses()
        .expect("the addresses")
        .iter()
        .map(|address| address.port())
        .collect();
    let ephemeral = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let ephemeral = ephemeral.expect("the range of the system");
    let mut bounds = ephemeral.split_whitespace().map(str::parse);
    let first: u32 = bounds.next().expect("the first").expect("a port");
    let last: u32 = bounds.next().expect("the last").expect("a port");
    let range = listening_range(Some(first..last + 1));
    for port in held.iter().copied().map(u32::from) {
        assert!(range.contains(&port), "{port}");
    }
    if !range.contains(&first) && !range.contains(&last) {
        let chosen = TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
        let port = chosen.local_addr().expect("its address").port();
        assert!(!range.contains(&u32::from(port)), "{port}");
    }
}

#[test]
fn the_larger_part_beside_outgoing_connections_is_used() {
    let cases = [
        (Some(32_768..61_000), 10_000..32_768),
        (Some(10_500..40_000), 40_000..65_536),
        (Some(1_024..20_000), 20_000..65_536),
        (Some(40_000..65_536), 10_000..40_000),
        // Little is left beside them.
        (Some(1_024..65_536), 10_000..65_536),
        (Some(11_000..65_000), 10_000..65_536),
        (None, 10_000..65_536),
    ];
    for (ephemeral, expected) in cases {
        assert_eq!(
            listening_range(ephemeral.clone()),
            expected,
            "{ephemeral:?}"
        );
    }
}
