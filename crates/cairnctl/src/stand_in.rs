//! `cairnctl stand-in`.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use command_line::{print_text, CommandFault};
use eyre::{Result, WrapErr as _};
use model::{EndpointId, VmEntry};
use stand_ins::{
    endpoint::{EndpointSettings, EndpointStandIn},
    platform::{PlatformSettings, PlatformStandIn},
};

use crate::options::StandInCommand;

/// Runs a stand-in until a signal ends it. Says first where it listens.
pub(crate) fn run(command: &StandInCommand) -> Result<String, CommandFault> {
    match command {
        StandInCommand::Platform { listen, vms } => {
            let vms = read_vms(vms).map_err(CommandFault::WrongUsage)?;
            actix_rt::System::new().block_on(run_platform(*listen, vms))?;
        }
        StandInCommand::Endpoint {
            listen,
            slots,
            run_ms,
            id,
        } => {
            let settings = EndpointSettings {
                id: id.clone(),
                address: *listen,
                slots: *slots,
                run_time: Duration::from_millis(*run_ms),
                ..EndpointSettings::default()
            };
            actix_rt::System::new().block_on(run_endpoint(settings, id))?;
        }
    }
    Ok(String::new())
}

async fn run_platform(address: SocketAddr, vms: Vec<VmEntry>) -> Result<()> {
    let count = vms.len();
    let settings = PlatformSettings {
        address,
        vms,
        ..PlatformSettings::default()
    };
    let platform = PlatformStandIn::start(settings)
        .wrap_err_with(|| format!("{address} cannot be listened on"))?;
    print_text(&format!(
        "platform on {}, {count} VMs listed\n",
        platform.address()
    ))?;
    kernel::wait_for_stop().await?;
    platform.stop().await;
    Ok(())
}

async fn run_endpoint(settings: EndpointSettings, id: &EndpointId) -> Result<()> {
    let address = settings.address;
    let slots = settings.slots;
    let endpoint = EndpointStandIn::start(settings)
        .wrap_err_with(|| format!("{address} cannot be listened on"))?;
    print_text(&format!(
        "endpoint {id} on {}, {slots} slots\n",
        endpoint.address()
    ))?;
    kernel::wait_for_stop().await?;
    endpoint.stop().await;
    Ok(())
}

fn read_vms(file: &Path) -> Result<Vec<VmEntry>> {
    let text = fs::read_to_string(file)
        .wrap_err_with(|| format!("VM list {} cannot be read", file.display()))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("wrong VM list in {}", file.display()))
}
