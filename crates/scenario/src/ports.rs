//! Ports of 127.0.0.1 on which the processes of a testbed listen.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    ops::Range,
    sync::atomic::{AtomicU32, Ordering},
};

/// The lowest port used: below are those of well-known services.
const LOWEST_PORT: u32 = 10_000;

/// One more than the highest port.
const PORTS_END: u32 = 65_536;

/// The fewest ports that are worth being kept apart from outgoing connections: several times what a whole test run uses.
const MIN_RANGE: u32 = 2_000;

/// Ports between the starts of two test processes with consecutive ids: more than the scenarios use in one run.
const PROCESS_STRIDE: u32 = 641;

/// Where Linux tells which ports it gives to outgoing connections.
const EPHEMERAL_RANGE_FILE: &str = "/proc/sys/net/ipv4/ip_local_port_range";

/// The number of ports that this process has tried so far.
static TRIED: AtomicU32 = AtomicU32::new(0);

/// Free ports, bound until this is dropped, so that nothing else takes them.
#[derive(Debug)]
pub struct PortHold {
    listeners: Vec<TcpListener>,
}

impl PortHold {
    /// Binds `count` ports that this process has not held before, unless all have been tried. Test processes start at
    /// different ports, and outgoing connections use others, so that a port usually stays free after its release too.
    ///
    /// # Errors
    ///
    /// Fewer than `count` ports are free.
    pub fn new(count: usize) -> io::Result<Self> {
        let ephemeral = fs::read_to_string(EPHEMERAL_RANGE_FILE).ok();
        let range = listening_range(ephemeral.as_deref().and_then(parse_range));
        let size = range.end - range.start;
        let offset = std::process::id().wrapping_mul(PROCESS_STRIDE) % size;
        let mut listeners = Vec::new();
        for _ in 0..size {
            if listeners.len() == count {
                break;
            }
            let tried = TRIED.fetch_add(1, Ordering::Relaxed) % size;
            let port = range.start + (offset + tried) % size;
            let port = u16::try_from(port).map_err(io::Error::other)?;
            if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) {
                listeners.push(listener);
            }
        }
        if listeners.len() < count {
            return Err(io::Error::other(format!("no {count} ports are free")));
        }
        Ok(Self { listeners })
    }

    /// The addresses of the ports.
    ///
    /// # Errors
    ///
    /// The system does not tell the address of a socket.
    pub fn addresses(&self) -> io::Result<Vec<SocketAddr>> {
        self.listeners.iter().map(TcpListener::local_addr).collect()
    }
}

/// Returns the ports to listen on, given those that the system gives to outgoing connections: the larger part beside
/// them, or all ports if little is left beside them.
pub fn listening_range(ephemeral: Option<Range<u32>>) -> Range<u32> {
    let all = LOWEST_PORT..PORTS_END;
    let Some(ephemeral) = ephemeral else {
        return all;
    };
    let below = LOWEST_PORT..ephemeral.start.max(LOWEST_PORT);
    let above = ephemeral.end.clamp(LOWEST_PORT, PORTS_END)..PORTS_END;
    let larger = match below.len() >= above.len() {
        true => below,
        false => above,
    };
    match larger.end - larger.start >= MIN_RANGE {
        true => larger,
        false => all,
    }
}

/// Reads the first and the last port of a range, separated by white space.
fn parse_range(text: &str) -> Option<Range<u32>> {
    let mut ports = text.split_whitespace().map(str::parse);
    let first = ports.next()?.ok()?;
    let last: u32 = ports.next()?.ok()?;
    Some(first..last + 1)
}
