//! `cairnctl stand-in`.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use command_line::{print_text, CommandError};
use eyre::{eyre, Result, WrapErr as _};
use kernel::StopSignals;
use model::VmEntry;
use stand_ins::{
    endpoint::{EndpointSettings, EndpointStandIn},
    platform::{PlatformSettings, PlatformStandIn},
};

use crate::options::StandInCommand;

/// Runs a stand-in until a signal stops it. Prints its listening address first.
pub(crate) fn run(command: &StandInCommand) -> Result<String, CommandError> {
    match command {
        StandInCommand::Platform { listen, vms } => {
            let vms = read_vms(vms).map_err(CommandError::UsageError)?;
            actix_rt::System::new().block_on(run_platform(*listen, vms))?;
        }
        StandInCommand::Endpoint {
            listen,
            slots,
            run_ms,
            count,
            id,
        } => {
            let settings = EndpointSettings {
                id: id.clone(),
                address: *listen,
                slots: *slots,
                run_time: Duration::from_millis(*run_ms),
                ..EndpointSettings::default()
            };
            let list = numbered_endpoints(&settings, *count).map_err(CommandError::UsageError)?;
            actix_rt::System::new().block_on(run_endpoints(list))?;
        }
    }
    Ok(String::new())
}

async fn run_platform(address: SocketAddr, vms: Vec<VmEntry>) -> Result<()> {
    let mut signals = StopSignals::install()?;
    let count = vms.len();
    let settings = PlatformSettings {
        address,
        vms,
        ..PlatformSettings::default()
    };
    let platform =
        PlatformStandIn::start(settings).wrap_err_with(|| format!("cannot listen on {address}"))?;
    print_text(&format!(
        "platform on {}, {count} VMs listed\n",
        platform.address()
    ))?;
    signals.wait().await;
    platform.stop().await;
    Ok(())
}

/// The settings of `count` endpoints at consecutive ports. A single endpoint keeps its name.
fn numbered_endpoints(first: &EndpointSettings, count: u16) -> Result<Vec<EndpointSettings>> {
    if count <= 1 {
        return Ok(vec![first.clone()]);
    }
    let mut list = Vec::new();
    for number in 0..count {
        let mut address = first.address;
        if address.port() != 0 {
            let port = address.port().checked_add(number);
            address.set_port(port.ok_or_else(|| eyre!("the last port would be above 65535"))?);
        }
        list.push(EndpointSettings {
            id: format!("{}-{}", first.id, number + 1).parse()?,
            address,
            ..first.clone()
        });
    }
    Ok(list)
}

async fn run_endpoints(list: Vec<EndpointSettings>) -> Result<()> {
    let mut signals = StopSignals::install()?;
    let mut endpoints = Vec::new();
    for settings in list {
        let (address, id, slots) = (settings.address, settings.id.clone(), settings.slots);
        let endpoint = EndpointStandIn::start(settings)
            .wrap_err_with(|| format!("cannot listen on {address}"))?;
        print_text(&format!(
            "endpoint {id} on {}, {slots} slots\n",
            endpoint.address()
        ))?;
        endpoints.push(endpoint);
    }
    signals.wait().await;
    for endpoint in &endpoints {
        endpoint.stop().await;
    }
    Ok(())
}

fn read_vms(file: &Path) -> Result<Vec<VmEntry>> {
    let text = fs::read_to_string(file)
        .wrap_err_with(|| format!("cannot read VM list {}", file.display()))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("invalid VM list in {}", file.display()))
}
