//! Processor time, memory and network traffic of processes, as counted by the operating system.

use std::{collections::HashSet, fs, process::Command};

use eyre::{eyre, Result};

/// Linux reports processor time in hundredths of a second, independent of the kernel's own tick.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time used so far and memory held now by one process, or by several together.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProcessUsage {
    /// Processor time since its start, in seconds.
    pub(crate) cpu: f64,
    /// Resident memory, in KiB.
    pub(crate) rss: u64,
}

impl ProcessUsage {
    pub(crate) fn read(pid: u32) -> Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The name is in parentheses and may hold spaces; utime and stime are fields 14 and 15.
        let (_, after) = stat
            .rsplit_once(')')
            .ok_or_else(|| eyre!("cannot parse /proc/{pid}/stat"))?;
        let fields: Vec<&str> = after.split_whitespace().collect();
        let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let rss = line.and_then(|line| line.split_whitespace().next());
        Ok(Self {
            cpu: ticks / TICKS_PER_SECOND,
            rss: rss
                .ok_or_else(|| eyre!("/proc/{pid}/status has no VmRSS"))?
                .parse()?,
        })
    }

    /// Sums the usage of several processes.
    pub(crate) fn total(pids: &[u32]) -> Result<Self> {
        let mut total = Self::default();
        for pid in pids {
            let usage = Self::read(*pid)?;
            total.cpu += usage.cpu;
            total.rss += usage.rss;
        }
        Ok(total)
    }
}

/// The load average of the last minute.
pub(crate) fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().unwrap_or("?").to_owned()
}

/// TCP payload bytes sent and received on the open connections of these processes that have one of the ports at either
/// end. The kernel counts the bytes per connection, and `ss` prints them.
pub(crate) fn tcp_bytes(pids: &[u32], ports: &HashSet<u16>) -> Result<u64> {
    let output = Command::new("ss").args(["-tinHpO"]).output()?;
    let text = String::from_utf8_lossy(&output.stdout);
    let pid_patterns: Vec<String> = pids.iter().map(|pid| format!("pid={pid},")).collect();
    let mut total = 0;
    for line in text.lines() {
        if !pid_patterns.iter().any(|pattern| line.contains(pattern)) {
            continue;
        }
        let fields: Vec<&str> = line.split_whitespace().collect();
        let port = |field: Option<&&str>| {
            let (_, port) = field?.rsplit_once(':')?;
            port.parse::<u16>().ok()
        };
        let ports_of_ends = [port(fields.get(3)), port(fields.get(4))];
        if !ports_of_ends
            .iter()
            .flatten()
            .any(|port| ports.contains(port))
        {
            continue;
        }
        for field in fields {
            let count = field
                .strip_prefix("bytes_sent:")
                .or_else(|| field.strip_prefix("bytes_received:"));
            total += count
                .and_then(|count| count.parse::<u64>().ok())
                .unwrap_or(0);
        }
    }
    Ok(total)
}
