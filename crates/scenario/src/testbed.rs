//! The testbed of a run: stand-ins, links and the VMs with their processes.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use model::{EndpointState, FastMap, VmEntry, VmRole};
use stand_ins::{
    endpoint::{EndpointRecord, EndpointSettings, EndpointStandIn},
    forwarder::{LinkMode, LinkRequest, NetForwarder},
    platform::{FaultSettings, PlatformSettings, PlatformStandIn},
};

use crate::{
    error::StepError,
    places::{PlaceMap, PlaceName, PLATFORM},
    platform_view::{EndpointLinks, PlatformView},
    ports::PortHold,
    process::{ChildPlan, ChildProcess, ChildSignal, ProcessName},
    process_settings::{self, VmSettings},
    record::ExitRecord,
    script::{
        DataCentreLine, Label, ProcessRole, ProcessTarget, Script, SettingLine, Setup, Statement,
    },
    sources::SourceList,
};

/// The ports of a VM: for callers, peers and probes.
const VM_PORTS: usize = 3;

/// A VM with its addresses and its two processes.
pub(crate) struct VmNode {
    pub(crate) name: Label,
    pub(crate) data_centre: Label,
    pub(crate) caller: SocketAddr,
    peer: SocketAddr,
    /// The address at which other processes reach the VM's dispatcher: that of the shared links in front of the
    /// dispatcher, or `peer`.
    announced: SocketAddr,
    admin: SocketAddr,
    /// The address of the platform for this VM: behind a proxy or a link where the scenario needs one.
    pub(crate) platform: SocketAddr,
    _view: Option<PlatformView>,
    entry: Option<ChildProcess<ProcessName>>,
    dispatcher: Option<ChildProcess<ProcessName>>,
}

/// An endpoint with its stand-in.
pub(crate) struct EndpointNode {
    pub(crate) name: Label,
    data_centre: Label,
    pub(crate) stand_in: EndpointStandIn,
    state: EndpointState,
    slots: u32,
}

/// The stand-ins, links and processes of a run.
pub(crate) struct ScenarioTestbed {
    pub(crate) platform: PlatformStandIn,
    pub(crate) faults: FaultSettings,
    pub(crate) forwarder: NetForwarder,
    pub(crate) vms: Vec<VmNode>,
    pub(crate) endpoints: Vec<EndpointNode>,
    places: PlaceMap,
    sources: SourceList,
    links: Vec<LinkEnds>,
    settings: Vec<SettingLine>,
    binary: PathBuf,
    dir: PathBuf,
    /// Exits of processes that have been replaced.
    exits: Vec<ExitRecord>,
}

/// The two ends of a link: from a VM to an endpoint, the platform or another VM.
struct LinkEnds {
    name: String,
    from: Label,
    to: Label,
}

impl VmNode {
    pub(crate) fn process(&mut self, role: ProcessRole) -> &mut Option<ChildProcess<ProcessName>> {
        match role {
            ProcessRole::Entry => &mut self.entry,
            ProcessRole::Dispatcher => &mut self.dispatcher,
        }
    }

    /// The address at which the process of a role answers probes.
    pub(crate) fn probe_address(&self, role: ProcessRole) -> SocketAddr {
        match role {
            ProcessRole::Entry => self.caller,
            ProcessRole::Dispatcher => self.admin,
        }
    }
}

impl ScenarioTestbed {
    /// Starts the stand-ins and links, but no process.
    pub(crate) fn build(
        script: &Script,
        settings: Vec<SettingLine>,
        binary: PathBuf,
        dir: PathBuf,
    ) -> io::Result<Self> {
        fs::create_dir_all(&dir)?;
        let platform = PlatformStandIn::start(PlatformSettings::default())?;
        let mut testbed = Self {
            platform,
            faults: FaultSettings::default(),
            forwarder: NetForwarder::start()?,
            vms: Vec::new(),
            endpoints: Vec::new(),
            places: PlaceMap::new(script),
            sources: SourceList::default(),
            links: Vec::new(),
            settings,
            binary,
            dir,
            exits: Vec::new(),
        };
        for line in &script.lines {
            if let Statement::Setup(Setup::DataCentre(line)) = &line.statement {
                testbed.add_endpoints(line)?;
            }
        }
        let places = testbed.places.vms.clone();
        // Held until all VMs have theirs, so that none is chosen twice.
        let hold = PortHold::new(places.len() * VM_PORTS)?;
        let mut addresses = hold.addresses()?.into_iter();
        for place in places {
            testbed.add_vm(place, &mut addresses)?;
        }
        testbed.publish_vms();
        Ok(testbed)
    }

    fn add_endpoints(&mut self, line: &DataCentreLine) -> io::Result<()> {
        for number in 1..=line.endpoints {
            let name = format!("{}-e{number}", line.name);
            let stand_in = EndpointStandIn::start(EndpointSettings {
                id: name.parse().map_err(io::Error::other)?,
                slots: line.slots,
                ..EndpointSettings::default()
            })?;
            self.endpoints.push(EndpointNode {
                name,
                data_centre: line.name.to_string(),
                stand_in,
                state: EndpointState::Live,
                slots: line.slots,
            });
        }
        Ok(())
    }

    fn add_vm(
        &mut self,
        place: PlaceName,
        addresses: &mut impl Iterator<Item = SocketAddr>,
    ) -> io::Result<()> {
        let PlaceName { name, data_centre } = place;
        let mut endpoint_links = EndpointLinks::default();
        for index in 0..self.endpoints.len() {
            let endpoint = &self.endpoints[index];
            if !self.places.is_linked(&name, &endpoint.name) {
                continue;
            }
            let (to, target) = (endpoint.name.clone(), endpoint.stand_in.address());
            let address = self.add_link(&name, &to, target)?;
            endpoint_links.insert(to, address);
        }
        let (mut platform, mut view) = (self.platform.address(), None);
        if !endpoint_links.is_empty() {
            let started = PlatformView::start(platform, &endpoint_links)?;
            platform = started.address();
            view = Some(started);
        }
        if self.places.is_linked(&name, PLATFORM) {
            platform = self.add_link(&name, PLATFORM, platform)?;
        }
        let mut next_address = || {
            let address = addresses.next();
            address.ok_or_else(|| io::Error::other("no port is left for a VM"))
        };
        let (caller, peer, admin) = (next_address()?, next_address()?, next_address()?);
        let announced = self.add_peer_links(&name, peer)?;
        self.vms.push(VmNode {
            name,
            data_centre,
            caller,
            peer,
            announced,
            admin,
            platform,
            _view: view,
            entry: None,
            dispatcher: None,
        });
        Ok(())
    }

    /// Adds links from other VMs to a dispatcher, where a step names them, and returns the address to announce. A
    /// dispatcher has one address for all its peers, so the links share it.
    fn add_peer_links(&mut self, to: &str, peer: SocketAddr) -> io::Result<SocketAddr> {
        let mut links = Vec::new();
        for vm in &self.places.vms {
            if vm.name != to && self.places.is_linked(&vm.name, to) {
                links.push((vm.name.clone(), format!("{}>{to}", vm.name)));
            }
        }
        if links.is_empty() {
            return Ok(peer);
        }
        if !process_settings::can_announce() {
            return Err(io::Error::other(
                "links between VMs require the dispatcher setting peer_announce",
            ));
        }
        let finder = self.sources.finder();
        let address = self.forwarder.add_shared_links(peer, &links, finder)?;
        for (from, name) in links {
            let to = to.to_owned();
            self.links.push(LinkEnds { name, from, to });
        }
        Ok(address)
    }

    fn add_link(&mut self, from: &str, to: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        let name = format!("{from}>{to}");
        let address = self.forwarder.add_link(&name, target)?;
        self.links.push(LinkEnds {
            name,
            from: from.to_owned(),
            to: to.to_owned(),
        });
        Ok(address)
    }

    /// Publishes the list of VMs and endpoints to the platform.
    pub(crate) fn publish_vms(&self) {
        let mut list = Vec::new();
        for vm in &self.vms {
            list.extend(vm_entry(
                &vm.name,
                &vm.data_centre,
                VmRole::System,
                vm.announced,
            ));
        }
        for endpoint in &self.endpoints {
            let address = endpoint.stand_in.address();
            let entry = vm_entry(
                &endpoint.name,
                &endpoint.data_centre,
                VmRole::Endpoint,
                address,
            );
            list.extend(entry.map(|entry| VmEntry {
                slots: endpoint.slots,
                state: endpoint.state,
                ..entry
            }));
        }
        self.platform.set_vms(list);
    }

    pub(crate) fn vm(&mut self, name: &str) -> Result<&mut VmNode, StepError> {
        let found = self.vms.iter_mut().find(|vm| vm.name == name);
        found.ok_or_else(|| StepError::UnknownVm(name.to_owned()))
    }

    pub(crate) fn endpoint(&self, name: &str) -> Result<&EndpointNode, StepError> {
        let found = self.endpoints.iter().find(|endpoint| endpoint.name == name);
        found.ok_or_else(|| StepError::UnknownEndpoint(name.to_owned()))
    }

    /// Marks an endpoint as leaving in the VM list.
    pub(crate) fn mark_leaving(&mut self, name: &str) -> Result<(), StepError> {
        let found = self
            .endpoints
            .iter_mut()
            .find(|endpoint| endpoint.name == name);
        let endpoint = found.ok_or_else(|| StepError::UnknownEndpoint(name.to_owned()))?;
        endpoint.state = EndpointState::Leaving;
        self.publish_vms();
        Ok(())
    }

    /// The processes of a target. Dispatchers come first, because an entry becomes ready only when it has one.
    pub(crate) fn targets(&self, target: &ProcessTarget) -> Result<Vec<ProcessName>, StepError> {
        let roles = [ProcessRole::Dispatcher, ProcessRole::Entry];
        let mut names = Vec::new();
        for role in roles {
            for vm in &self.vms {
                let named = match target {
                    ProcessTarget::All => true,
                    ProcessTarget::Vm(name) => *name == vm.name,
                    ProcessTarget::One(one, name) => *one == role && *name == vm.name,
                };
                if named {
                    let vm = vm.name.clone();
                    names.push(ProcessName { vm, role });
                }
            }
        }
        if let (true, ProcessTarget::Vm(name) | ProcessTarget::One(_, name)) =
            (names.is_empty(), target)
        {
            return Err(StepError::UnknownVm(name.clone()));
        }
        Ok(names)
    }

    /// Starts a process. An ended process of the same name is replaced and its exit recorded.
    pub(crate) fn start(&mut self, name: &ProcessName) -> Result<(), StepError> {
        let settings = self
            .dir
            .join(format!("{}-{}.json", name.vm, name.role.as_str()));
        let log = self
            .dir
            .join(format!("{}-{}.log", name.vm, name.role.as_str()));
        self.write_settings(name, &settings)?;
        let binary = self.binary.clone();
        let slot = self.vm(&name.vm)?.process(name.role);
        if slot.as_mut().is_some_and(|process| !process.has_ended()) {
            return Err(StepError::AlreadyRunning(name.to_string()));
        }
        let previous = slot.take();
        let process = ChildProcess::start(
            name.clone(),
            ChildPlan {
                binary: &binary,
                role: name.role.as_str(),
                settings: &settings,
                log: &log,
            },
        )?;
        let pid = process.pid();
        *slot = Some(process);
        self.sources.add_process(pid, &name.vm);
        self.exits.extend(previous.map(ChildProcess::into_exit));
        Ok(())
    }

    fn write_settings(&mut self, name: &ProcessName, path: &Path) -> Result<(), StepError> {
        let lines = self.settings.clone();
        let dispatchers = self
            .vms
            .iter()
            .map(|vm| (vm.announced, vm.data_centre.clone()));
        let dispatchers = dispatchers.collect();
        let vm = self.vm(&name.vm)?;
        let settings = VmSettings {
            vm: &vm.name,
            data_centre: &vm.data_centre,
            caller: vm.caller,
            peer: vm.peer,
            announced: vm.announced,
            admin: vm.admin,
            platform: vm.platform,
            dispatchers,
        };
        Ok(settings.write(name.role, &lines, path)?)
    }

    pub(crate) fn signal(
        &mut self,
        name: &ProcessName,
        signal: ChildSignal,
    ) -> Result<(), StepError> {
        let slot = self.vm(&name.vm)?.process(name.role);
        let Some(process) = slot.as_mut().filter(|process| !process.is_ending()) else {
            return Err(StepError::NotRunning(name.to_string()));
        };
        process.signal(signal)?;
        log::info!(
            "scenario: {signal:?} to {} (pid {})",
            process.name(),
            process.pid()
        );
        Ok(())
    }

    /// Whether a process was started and has not ended.
    pub(crate) fn is_running(&mut self, name: &ProcessName) -> Result<bool, StepError> {
        let slot = self.vm(&name.vm)?.process(name.role);
        Ok(slot.as_mut().is_some_and(|process| !process.has_ended()))
    }

    /// The state of a process as text.
    pub(crate) fn describe(&mut self, name: &ProcessName) -> String {
        match self.vm(&name.vm).map(|vm| vm.process(name.role)) {
            Ok(Some(process)) => process.describe(),
            _ => "not started".to_owned(),
        }
    }

    /// Every process that was started and not replaced, whether or not it has ended.
    pub(crate) fn processes(&mut self) -> Vec<&mut ChildProcess<ProcessName>> {
        let mut list = Vec::new();
        for vm in &mut self.vms {
            list.extend(&mut vm.entry);
            list.extend(&mut vm.dispatcher);
        }
        list
    }

    /// Removes every process and returns all exits of the run. Processes that still run are killed.
    pub(crate) fn take_exits(&mut self) -> Vec<ExitRecord> {
        let mut exits = std::mem::take(&mut self.exits);
        for vm in &mut self.vms {
            for process in [vm.entry.take(), vm.dispatcher.take()] {
                exits.extend(process.map(ChildProcess::into_exit));
            }
        }
        exits
    }

    pub(crate) fn records(&self) -> Vec<EndpointRecord> {
        let endpoints = self.endpoints.iter();
        endpoints
            .map(|endpoint| endpoint.stand_in.record())
            .collect()
    }

    /// The links between two places, each with whether its direction is from the first place to the second.
    pub(crate) fn links_between(&self, a: &str, b: &str) -> Result<Vec<(String, bool)>, StepError> {
        let (a_members, b_members) = (self.places.members(a)?, self.places.members(b)?);
        let mut links = Vec::new();
        for link in &self.links {
            if a_members.contains(&link.from) && b_members.contains(&link.to) {
                links.push((link.name.clone(), true));
            } else if b_members.contains(&link.from) && a_members.contains(&link.to) {
                links.push((link.name.clone(), false));
            }
        }
        if links.is_empty() {
            return Err(StepError::UnknownPlace(format!("between {a} and {b}")));
        }
        Ok(links)
    }

    pub(crate) async fn set_link_mode(
        &self,
        link: Option<String>,
        mode: LinkMode,
    ) -> Result<(), StepError> {
        let request = LinkRequest { link, mode };
        Ok(self.forwarder.apply(request).await?)
    }
}

fn vm_entry(name: &str, data_centre: &str, role: VmRole, address: SocketAddr) -> Option<VmEntry> {
    Some(VmEntry {
        id: name.parse().ok()?,
        data_centre: data_centre.parse().ok()?,
        role,
        address,
        slots: 0,
        state: EndpointState::Live,
    })
}

/// A map keyed by scenario names.
pub(crate) type NameMap<V> = FastMap<Label, V>;
