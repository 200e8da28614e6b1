//! A fleet of real processes on loopback: one entry and one dispatcher per VM, and stand-ins of the platform and the
//! endpoints.

use std::{
    collections::HashSet,
    env, fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use awc::Client;
use eyre::{bail, ensure, Result, WrapErr as _};
use serde_json::{json, Value};

use crate::{http, ports::PortFinder};

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Size and settings of a fleet.
#[derive(Clone, Debug)]
pub(crate) struct FleetSettings {
    pub(crate) data_centres: u16,
    /// Number of VMs over all data centres.
    pub(crate) vms: u16,
    /// Number of endpoints over all data centres.
    pub(crate) endpoints: u16,
    pub(crate) slots: u32,
    /// Placement policy of the entries, as named in their settings.
    pub(crate) placement: String,
    /// Directory for settings and logs.
    pub(crate) dir: PathBuf,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            data_centres: 1,
            vms: 1,
            endpoints: 4,
            slots: 8,
            placement: "free_slots".to_owned(),
            dir: PathBuf::from("target/measurements"),
        }
    }
}

struct VmAddresses {
    data_centre: String,
    caller: SocketAddr,
    peer: SocketAddr,
    admin: SocketAddr,
}

/// A child process that is killed through its own handle when dropped.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        // Both calls fail only if the process has already ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A running fleet. Dropping it kills its processes.
pub(crate) struct ProcessFleet {
    settings: FleetSettings,
    platform: SocketAddr,
    vms: Vec<VmAddresses>,
    endpoints: Vec<(String, String, SocketAddr)>,
    entries: Vec<KillOnDrop>,
    dispatchers: Vec<KillOnDrop>,
    stand_ins: Vec<KillOnDrop>,
    client: Client,
}

impl ProcessFleet {
    /// Starts the fleet and waits until all processes are ready and all endpoints are owned.
    pub(crate) async fn start(settings: FleetSettings) -> Result<Self> {
        fs::create_dir_all(&settings.dir)?;
        let mut ports = PortFinder::new();
        let mut fleet = Self {
            platform: ports.single()?,
            vms: Vec::new(),
            endpoints: Vec::new(),
            entries: Vec::new(),
            dispatchers: Vec::new(),
            stand_ins: Vec::new(),
            client: http::client(),
            settings,
        };
        fleet.start_endpoints(&mut ports)?;
        for number in 0..fleet.settings.vms {
            fleet.vms.push(VmAddresses {
                data_centre: fleet.data_centre(number),
                caller: ports.single()?,
                peer: ports.single()?,
                admin: ports.single()?,
            });
        }
        fleet.start_platform()?;
        fleet.wait_for_platform().await?;
        fleet.start_processes()?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    fn data_centre(&self, number: u16) -> String {
        format!("dc-{}", number % self.settings.data_centres + 1)
    }

    /// Starts one process per data centre for its endpoint stand-ins.
    fn start_endpoints(&mut self, ports: &mut PortFinder) -> Result<()> {
        for number in 0..self.settings.data_centres {
            let (all, centres) = (self.settings.endpoints, self.settings.data_centres);
            let count = all / centres + u16::from(number < all % centres);
            if count == 0 {
                continue;
            }
            let first = ports.consecutive(count)?;
            let centre = self.data_centre(number);
            let name = format!("{centre}-e");
            for index in 0..count {
                let address = SocketAddr::new(first.ip(), first.port() + index);
                let id = if count == 1 {
                    name.clone()
                } else {
                    format!("{name}-{}", index + 1)
                };
                self.endpoints.push((id, centre.clone(), address));
            }
            let (listen, slots) = (first.to_string(), self.settings.slots.to_string());
            let count = count.to_string();
            let args = ["stand-in", "endpoint", "--listen", &listen];
            let slot_args = ["--slots", &slots, "--count", &count, &name];
            let child = self.spawn("cairnctl", &[&args[..], &slot_args[..]].concat(), &name)?;
            self.stand_ins.push(child);
        }
        Ok(())
    }

    fn start_platform(&mut self) -> Result<()> {
        let mut list = Vec::new();
        for (index, vm) in self.vms.iter().enumerate() {
            list.push(json!({
                "id": format!("vm-{}", index + 1), "data_centre": vm.data_centre,
                "role": "system", "address": vm.peer,
            }));
        }
        for (id, centre, address) in &self.endpoints {
            list.push(json!({
                "id": id, "data_centre": centre, "role": "endpoint",
                "address": address, "slots": self.settings.slots,
            }));
        }
        let file = self.settings.dir.join("vms.json");
        fs::write(&file, serde_json::to_vec(&list)?)?;
        let (listen, file) = (self.platform.to_string(), file.display().to_string());
        let args = ["stand-in", "platform", "--listen", &listen, "--vms", &file];
        let child = self.spawn("cairnctl", &args, "platform")?;
        self.stand_ins.push(child);
        Ok(())
    }

    async fn wait_for_platform(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while http::status(&self.client, self.platform, "/control/stats").await != Some(200) {
            ensure!(
                Instant::now() < deadline,
                "the platform stand-in does not answer within {READY_TIMEOUT:?}"
            );
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn start_processes(&mut self) -> Result<()> {
        for index in 0..self.vms.len() {
            let file = self.write_settings(index, "dispatcher", self.dispatcher_settings(index))?;
            let child = self.spawn(
                "cairnpaddle",
                &["dispatcher", "--settings", &file],
                &format!("dispatcher-{}", index + 1),
            )?;
            self.dispatchers.push(child);
        }
        for index in 0..self.vms.len() {
            let file = self.write_settings(index, "entry", self.entry_settings(index))?;
            let child = self.spawn(
                "cairnpaddle",
                &["entry", "--settings", &file],
                &format!("entry-{}", index + 1),
            )?;
            self.entries.push(child);
        }
        Ok(())
    }

    fn write_settings(&self, index: usize, role: &str, settings: Value) -> Result<String> {
        let path = self.settings.dir.join(format!("{role}-{}.json", index + 1));
        fs::write(&path, serde_json::to_vec_pretty(&settings)?)?;
        Ok(path.display().to_string())
    }

    fn entry_settings(&self, index: usize) -> Value {
        let vm = &self.vms[index];
        json!({
            "vm": format!("vm-{}", index + 1),
            "data_centre": vm.data_centre,
            "caller_listen": vm.caller,
            "platform": self.platform,
            "dispatchers": self.peers(None),
            "placement": self.settings.placement,
            "log": { "level": "warn" },
        })
    }

    fn dispatcher_settings(&self, index: usize) -> Value {
        let vm = &self.vms[index];
        json!({
            "vm": format!("vm-{}", index + 1),
            "data_centre": vm.data_centre,
            "peer_listen": vm.peer,
            "admin_listen": vm.admin,
            "platform": self.platform,
            "peers": self.peers(Some(index)),
            "log": { "level": "warn" },
        })
    }

    fn peers(&self, except: Option<usize>) -> Vec<Value> {
        let mut peers = Vec::new();
        for (index, vm) in self.vms.iter().enumerate() {
            if Some(index) != except {
                peers.push(json!({ "address": vm.peer, "data_centre": vm.data_centre }));
            }
        }
        peers
    }

    fn spawn(&self, program: &str, args: &[&str], name: &str) -> Result<KillOnDrop> {
        let log = fs::File::create(self.settings.dir.join(format!("{name}.log")))?;
        let child = Command::new(program_path(program)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err_with(|| format!("cannot start {program}"))?;
        Ok(KillOnDrop(child))
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            if self.is_ready().await {
                return Ok(());
            }
            if Instant::now() > deadline {
                bail!("the fleet is not ready after {READY_TIMEOUT:?}; see the logs in the output directory");
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether every entry and dispatcher is ready and the dispatchers together own as many endpoints as there are.
    async fn is_ready(&self) -> bool {
        for vm in &self.vms {
            for address in [vm.caller, vm.admin] {
                if http::status(&self.client, address, "/ready").await != Some(200) {
                    return false;
                }
            }
        }
        let mut owned_endpoints = 0.0;
        for vm in &self.vms {
            let page = http::text(&self.client, vm.admin, "/metrics").await;
            owned_endpoints +=
                page.map_or(0.0, |page| sum_series(&page, "cairnpaddle_owned_endpoints"));
        }
        owned_endpoints as usize == self.endpoints.len()
    }

    /// Creates the contracts of the customers `prefix-number` for all `numbers`, and waits until the last one is in
    /// force at every entry.
    pub(crate) async fn create_contracts(
        &self,
        prefix: &str,
        numbers: std::ops::RangeInclusive<usize>,
        contract: &Value,
    ) -> Result<()> {
        let mut last = String::new();
        for number in numbers {
            last = format!("{prefix}-{number}");
            let create = ("If-None-Match", "*".to_owned());
            http::put_contract(&self.client, self.vms[0].caller, &last, create, contract).await?;
        }
        self.wait_for_version(&last, 1).await?;
        Ok(())
    }

    /// Waits until every entry has at least this version of the contract in force. Returns how long that took.
    pub(crate) async fn wait_for_version(&self, customer: &str, version: u64) -> Result<Duration> {
        let started = Instant::now();
        for entry in self.entries() {
            while !self.has_version(entry, customer, version).await? {
                ensure!(
                    started.elapsed() < READY_TIMEOUT,
                    "version {version} of the contract of {customer} is not in force at {entry} within {READY_TIMEOUT:?}"
                );
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        }
        Ok(started.elapsed())
    }

    async fn has_version(&self, entry: SocketAddr, customer: &str, version: u64) -> Result<bool> {
        let page = http::text(&self.client, entry, "/v1/in-force").await?;
        let page: Value = serde_json::from_str(&page)?;
        let rows = page["contracts"].as_array().into_iter().flatten();
        let mut customer_rows = rows.filter(|row| row["customer"] == customer);
        Ok(customer_rows.any(|row| row["version"].as_u64() >= Some(version)))
    }

    pub(crate) fn client(&self) -> &Client {
        &self.client
    }

    pub(crate) fn entries(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.caller).collect()
    }

    pub(crate) fn dispatcher_admins(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.admin).collect()
    }

    pub(crate) fn endpoint_addresses(&self) -> Vec<SocketAddr> {
        let addresses = self.endpoints.iter();
        addresses.map(|(_, _, address)| *address).collect()
    }

    pub(crate) fn entry_pids(&self) -> Vec<u32> {
        self.entries.iter().map(|child| child.0.id()).collect()
    }

    pub(crate) fn dispatcher_pids(&self) -> Vec<u32> {
        self.dispatchers.iter().map(|child| child.0.id()).collect()
    }

    pub(crate) fn peer_ports(&self) -> HashSet<u16> {
        self.vms.iter().map(|vm| vm.peer.port()).collect()
    }

    pub(crate) fn platform_ports(&self) -> HashSet<u16> {
        HashSet::from([self.platform.port()])
    }
}

/// Sums all series of a metric on a metrics page.
fn sum_series(page: &str, name: &str) -> f64 {
    let mut sum = 0.0;
    for line in page.lines() {
        let Some((series, value)) = line.rsplit_once(' ') else {
            continue;
        };
        if series.split('{').next() == Some(name) {
            sum += value.parse::<f64>().unwrap_or(0.0);
        }
    }
    sum
}

/// Builds the programs under measurement in release mode.
pub(crate) fn build_programs() -> Result<()> {
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let status = Command::new(cargo)
        .args(["build", "--release", "--locked", "-j6"])
        .args(["-p", "cairnpaddle", "-p", "cairnctl"])
        .status()?;
    ensure!(
        status.success(),
        "cargo build of cairnpaddle and cairnctl failed: {status}"
    );
    Ok(())
}

/// Path of the release build of a program, in the target directory of this executable.
pub(crate) fn program_path(program: &str) -> Result<PathBuf> {
    let executable = env::current_exe()?;
    let target = executable.parent().and_then(Path::parent);
    let path = target
        .unwrap_or(Path::new("target"))
        .join("release")
        .join(program);
    ensure!(path.is_file(), "{} does not exist", path.display());
    Ok(path)
}
