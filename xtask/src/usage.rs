//! What processes use, as the system counts it.

use std::{collections::HashSet, fs, process::Command};

use eyre::{eyre, Result};

/// Processor time is counted in hundredths of a second on Linux, whatever the kernel's own tick.
const TICKS_PER_SECOND: f64 = 100.0;

/// What a process has used so far and holds now.
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
        let (_, after) = stat.rsplit_once(')').ok_or_else(|| eyre!("odd stat"))?;
        let fields: Vec<&str> = after.split_whitespace().collect();
        let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let rss = line.and_then(|line| line.split_whitespace().next());
        Ok(Self {
            cpu: ticks / TICKS_PER_SECOND,
            rss: rss.ok_or_else(|| eyre!("no VmRSS"))?.parse()?,
        })
    }

    /// The sum over processes.
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

/// The TCP payload bytes, sent and received, of the open connections of these processes that have one of the ports at
/// either end. Counted by the kernel for each connection and told by `ss`.
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
