//! The parts of the demonstration.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::CallerClient;
use contracts::{ContractEditor, EditorSettings};
use dispatcher::DispatcherProcess;
use entry::EntryProcess;
use eyre::{bail, Result, WrapErr as _};
use kernel::{ClockSource, SystemClock};
use model::{
    Contract, ContractVersion, CustomerId, DataCentreId, EndpointId, EndpointState, VmEntry, VmRole,
};
use platform::PlatformClient;
use settings::{DispatcherPeer, DispatcherSettings, DrainSettings, DurationMs, EntrySettings};
use stand_ins::{
    endpoint::{EndpointSettings, EndpointStandIn},
    platform::{FaultSettings, PlatformSettings, PlatformStandIn},
};

/// How long the parts may take to find each other.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// How many parts there are.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// VMs, each with one entry and one dispatcher.
    pub vms: u32,
    /// Endpoints.
    pub endpoints: u32,
    /// Slots of each endpoint.
    pub slots: u32,
    /// What the entries start from; their own fields, such as addresses, are set by the fleet.
    pub entry: EntrySettings,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            vms: 2,
            endpoints: 4,
            slots: 8,
            entry: EntrySettings::default(),
        }
    }
}

/// Everything that runs.
pub struct DemoFleet {
    platform: PlatformStandIn,
    endpoints: Vec<EndpointStandIn>,
    dispatchers: Vec<DispatcherProcess>,
    entries: Vec<EntryProcess>,
}

impl DemoFleet {
    /// Starts everything within the running actix system, on ports that the system chooses.
    ///
    /// # Errors
    ///
    /// A part cannot be started.
    pub async fn start(settings: FleetSettings) -> Result<Self> {
        let data_centre: DataCentreId = "demo-hall".parse()?;
        let platform =
            PlatformStandIn::start(PlatformSettings::default()).wrap_err("platform stand-in")?;
        let mut vms = Vec::new();
        let mut endpoints = Vec::new();
        for number in 1..=settings.endpoints {
            let id: EndpointId = format!("endpoint-{number}").parse()?;
            let endpoint = EndpointStandIn::start(EndpointSettings {
                id,
                slots: settings.slots,
                ..Default::default()
            })
            .wrap_err("endpoint stand-in")?;
            vms.push(endpoint_entry(&endpoint, &data_centre)?);
            endpoints.push(endpoint);
        }
        let dispatchers = start_dispatchers(&settings, &platform, &data_centre)?;
        let mut peers = Vec::new();
        for (number, dispatcher) in dispatchers.iter().enumerate() {
            let address = dispatcher.peer_address();
            peers.push(DispatcherPeer {
                address,
                data_centre: data_centre.clone(),
            });
            vms.push(VmEntry {
                id: format!("vm-{}", number + 1).parse()?,
                data_centre: data_centre.clone(),
                role: VmRole::System,
                address,
                slots: 0,
                state: EndpointState::Live,
            });
        }
        platform.set_vms(vms);
        let entries = start_entries(&settings, &platform, &data_centre, &peers)?;
        Ok(Self {
            platform,
            endpoints,
            dispatchers,
            entries,
        })
    }

    /// Writes a contract as an operator would.
    ///
    /// # Errors
    ///
    /// The platform stand-in turned the change away.
    pub async fn create_contract(&self, customer: &CustomerId) -> Result<()> {
        self.contract_editor()
            .create(customer, Contract::default())
            .await
            .wrap_err("contract not created")?;
        Ok(())
    }

    /// Retires a contract that was never changed.
    ///
    /// # Errors
    ///
    /// The platform stand-in turned the change away.
    pub async fn retire_contract(&self, customer: &CustomerId) -> Result<()> {
        self.contract_editor()
            .retire(customer, ContractVersion(1))
            .await
            .wrap_err("contract not retired")?;
        Ok(())
    }

    /// Switches the platform stand-in's faults.
    pub fn set_platform_faults(&self, faults: FaultSettings) {
        self.platform.set_faults(faults);
    }

    fn contract_editor(&self) -> ContractEditor {
        let clock: Arc<dyn ClockSource> = Arc::new(SystemClock);
        let address = self.platform.address();
        let client = PlatformClient::new(
            platform::ClientSettings {
                address,
                ..Default::default()
            },
            clock,
        );
        ContractEditor::new(client, EditorSettings::default(), fastrand::Rng::new())
    }

    /// Waits until every entry says that it is ready and knows of slots.
    ///
    /// # Errors
    ///
    /// Not within the limit.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let client = awc::Client::default();
        let deadline = Instant::now() + READY_TIMEOUT;
        for entry in &self.entries {
            let url = format!("http://{}/ready", entry.caller_address());
            loop {
                if client
                    .get(&url)
                    .send()
                    .await
                    .is_ok_and(|answer| answer.status().is_success())
                {
                    break;
                }
                if Instant::now() > deadline {
                    bail!("entry at {} did not become ready", entry.caller_address());
                }
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Waits until every entry serves the customer's contract.
    ///
    /// # Errors
    ///
    /// Not within the limit.
    pub async fn wait_until_in_force(&self, customer: &CustomerId) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for address in self.caller_addresses() {
            let client = CallerClient::new(vec![address]);
            while let Err(error) = client.ticket(customer).await {
                if Instant::now() > deadline {
                    return Err(error.wrap_err(format!("contract not in force at {address}")));
                }
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Where callers connect, one address an entry.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(EntryProcess::caller_address)
            .collect()
    }

    /// Where the endpoints listen.
    pub fn endpoint_addresses(&self) -> Vec<SocketAddr> {
        self.endpoints
            .iter()
            .map(EndpointStandIn::address)
            .collect()
    }

    /// How many tasks the endpoints started.
    pub fn starts(&self) -> usize {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.record().starts.len())
            .sum()
    }

    /// Stops everything as a planned stop does. Returns how much was cut.
    pub async fn stop(self) -> usize {
        let mut cut = 0;
        for entry in self.entries {
            cut += entry.stop().await;
        }
        for dispatcher in self.dispatchers {
            cut += dispatcher.stop().await;
        }
        for endpoint in &self.endpoints {
            endpoint.stop().await;
        }
        self.platform.stop().await;
        cut
    }
}

fn endpoint_entry(endpoint: &EndpointStandIn, data_centre: &DataCentreId) -> Result<VmEntry> {
    let address = endpoint.endpoint_address();
    Ok(VmEntry {
        id: address.id.as_str().parse()?,
        data_centre: data_centre.clone(),
        role: VmRole::Endpoint,
        address: address.address,
        slots: address.slots,
        state: EndpointState::Live,
    })
}

fn loopback_any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// No balancer stands before the demonstration, so a stop need not wait for one.
fn short_drain() -> DrainSettings {
    DrainSettings {
        notice_ms: DurationMs(50),
        limit_ms: DurationMs(5_000),
    }
}

fn start_dispatchers(
    settings: &FleetSettings,
    platform: &PlatformStandIn,
    data_centre: &DataCentreId,
) -> Result<Vec<DispatcherProcess>> {
    let mut dispatchers: Vec<DispatcherProcess> = Vec::new();
    for number in 1..=settings.vms {
        let mut peers = Vec::new();
        for earlier in &dispatchers {
            let address = earlier.peer_address();
            peers.push(DispatcherPeer {
                address,
                data_centre: data_centre.clone(),
            });
        }
        let process = dispatcher::start(
            DispatcherSettings {
                vm: format!("vm-{number}").parse()?,
                data_centre: data_centre.clone(),
                peer_listen: loopback_any_port(),
                admin_listen: loopback_any_port(),
                platform: platform.address(),
                peers,
                vm_list_ms: DurationMs(200),
                grant_term_ms: DurationMs(2_000),
                refresh_ms: DurationMs(200),
                drain: short_drain(),
                ..Default::default()
            },
            Arc::new(SystemClock),
        )?;
        dispatchers.push(process);
    }
    Ok(dispatchers)
}

fn start_entries(
    settings: &FleetSettings,
    platform: &PlatformStandIn,
    data_centre: &DataCentreId,
    peers: &[DispatcherPeer],
) -> Result<Vec<EntryProcess>> {
    let mut entries = Vec::new();
    for number in 1..=settings.vms {
        let process = entry::start(
            EntrySettings {
                vm: format!("vm-{number}").parse()?,
                data_centre: data_centre.clone(),
                caller_listen: loopback_any_port(),
                platform: platform.address(),
                dispatchers: peers.to_vec(),
                drain: short_drain(),
                ..settings.entry.clone()
            },
            Arc::new(SystemClock),
        )?;
        entries.push(process);
    }
    Ok(entries)
}
