//! The processes and stand-ins of the demonstration.

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

/// How long the entries may take to become ready or to serve a contract.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Size and settings of the demonstration fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Number of VMs, each with one entry and one dispatcher.
    pub vms: u32,
    /// Number of endpoints.
    pub endpoints: u32,
    /// Number of slots of each endpoint.
    pub slots: u32,
    /// Base settings of the entries. The fleet overrides the fields that differ between entries, such as addresses.
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

/// The running dispatchers, entries and stand-ins.
pub struct DemoFleet {
    platform: PlatformStandIn,
    endpoints: Vec<EndpointStandIn>,
    dispatchers: Vec<DispatcherProcess>,
    entries: Vec<EntryProcess>,
}

impl DemoFleet {
    /// Starts the fleet in the running actix system, on ports chosen by the operating system.
    ///
    /// # Errors
    ///
    /// A process or stand-in cannot be started.
    pub async fn start(settings: FleetSettings) -> Result<Self> {
        let data_centre: DataCentreId = "demo-hall".parse()?;
        let platform = PlatformStandIn::start(PlatformSettings::default())
            .wrap_err("cannot start the platform stand-in")?;
        let mut vms = Vec::new();
        let mut endpoints = Vec::new();
        for number in 1..=settings.endpoints {
            let id: EndpointId = format!("endpoint-{number}").parse()?;
            let endpoint = EndpointStandIn::start(EndpointSettings {
                id,
                slots: settings.slots,
                ..Default::default()
            })
            .wrap_err("cannot start an endpoint stand-in")?;
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

    /// Creates a contract with default terms, as an operator would.
    ///
    /// # Errors
    ///
    /// The platform stand-in refused the change.
    pub async fn create_contract(&self, customer: &CustomerId) -> Result<()> {
        self.contract_editor()
            .create(customer, Contract::default())
            .await
            .wrap_err("cannot create the contract")?;
        Ok(())
    }

    /// Retires a contract that has not been changed since it was created.
    ///
    /// # Errors
    ///
    /// The platform stand-in refused the change.
    pub async fn retire_contract(&self, customer: &CustomerId) -> Result<()> {
        self.contract_editor()
            .retire(customer, ContractVersion(1))
            .await
            .wrap_err("cannot retire the contract")?;
        Ok(())
    }

    /// Sets the faults of the platform stand-in.
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

    /// Waits until every entry is ready, which includes that it knows of slots.
    ///
    /// # Errors
    ///
    /// An entry is not ready after 10 seconds.
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
                    bail!(
                        "entry at {} did not become ready in time",
                        entry.caller_address()
                    );
                }
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Waits until the customer's contract is in force at every entry.
    ///
    /// # Errors
    ///
    /// The contract is not in force at an entry after 10 seconds.
    pub async fn wait_until_in_force(&self, customer: &CustomerId) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for address in self.caller_addresses() {
            let client = CallerClient::new(vec![address]);
            while let Err(error) = client.ticket(customer).await {
                if Instant::now() > deadline {
                    return Err(error.wrap_err(format!(
                        "contract did not come into force at {address} in time"
                    )));
                }
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Caller addresses of the entries, one per entry.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(EntryProcess::caller_address)
            .collect()
    }

    /// Addresses of the endpoint stand-ins.
    pub fn endpoint_addresses(&self) -> Vec<SocketAddr> {
        self.endpoints
            .iter()
            .map(EndpointStandIn::address)
            .collect()
    }

    /// Number of tasks that the endpoints started.
    pub fn starts(&self) -> usize {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.record().starts.len())
            .sum()
    }

    /// Stops the entries, dispatchers and stand-ins in this order, as a planned stop does. Returns the number of
    /// submissions and tasks that were still open when the drain limit passed and were therefore cut.
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

/// Drain settings with a short notice: no load balancer needs time to notice that a process is stopping.
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
