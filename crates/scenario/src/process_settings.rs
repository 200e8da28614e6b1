//! Settings files of the processes under test.

use std::{fs, io, net::SocketAddr, path::Path};

use serde_json::{json, Map, Value};

use crate::script::{ProcessRole, SettingLine};

/// The settings field for the address that a dispatcher announces to its peers.
const ANNOUNCE: &str = "peer_announce";

/// Whether the settings let dispatchers announce an address other than the one that they listen on.
pub(crate) fn can_announce() -> bool {
    let schema = settings::dispatcher_schema();
    schema["properties"].get(ANNOUNCE).is_some()
}

/// The values from which the settings files of a VM's two processes are written.
pub(crate) struct VmSettings<'a> {
    pub(crate) vm: &'a str,
    pub(crate) data_centre: &'a str,
    pub(crate) caller: SocketAddr,
    pub(crate) peer: SocketAddr,
    /// The peer address announced to others.
    pub(crate) announced: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) platform: SocketAddr,
    /// Peer addresses of the dispatchers, the VM's own among them, with their data centres.
    pub(crate) dispatchers: Vec<(SocketAddr, String)>,
}

impl VmSettings<'_> {
    /// Writes the settings file of one role. Settings of the scenario override the defaults.
    pub(crate) fn write(
        &self,
        role: ProcessRole,
        lines: &[SettingLine],
        path: &Path,
    ) -> io::Result<()> {
        let mut settings = match role {
            ProcessRole::Entry => self.entry(),
            ProcessRole::Dispatcher => self.dispatcher(),
        };
        for line in lines {
            if line.role == role {
                set_field(&mut settings, &line.path, line.value.clone());
            }
        }
        fs::write(path, serde_json::to_vec_pretty(&settings)?)
    }

    // Scenarios wait for many of these times, so they are shorter than in deployments, where the defaults limit the
    // load on the platform.
    fn entry(&self) -> Value {
        json!({
            "vm": self.vm,
            "data_centre": self.data_centre,
            "caller_listen": self.caller,
            "platform": self.platform,
            "dispatchers": self.peers(None),
            "drain": { "notice_ms": 300, "limit_ms": 10_000 },
            "log": { "level": "debug", "per_kind_per_second": 1000 },
        })
    }

    fn dispatcher(&self) -> Value {
        let mut settings = json!({
            "vm": self.vm,
            "data_centre": self.data_centre,
            "peer_listen": self.peer,
            "admin_listen": self.admin,
            "platform": self.platform,
            "peers": self.peers(Some(self.announced)),
            "refresh_ms": 200,
            "vm_list_ms": 200,
            "grant_term_ms": 2_000,
            "drain": { "notice_ms": 300, "limit_ms": 10_000 },
            "log": { "level": "debug", "per_kind_per_second": 1000 },
        });
        if self.announced != self.peer {
            settings[ANNOUNCE] = json!(self.announced);
        }
        settings
    }

    fn peers(&self, except: Option<SocketAddr>) -> Vec<Value> {
        let mut peers = Vec::new();
        for (address, data_centre) in &self.dispatchers {
            if Some(*address) != except {
                peers.push(json!({ "address": address, "data_centre": data_centre }));
            }
        }
        peers
    }
}

/// Sets the field at a dotted path, replacing anything on the way that is not an object.
fn set_field(settings: &mut Value, path: &str, value: Value) {
    let mut field = settings;
    for part in path.split('.') {
        if !field.is_object() {
            *field = Value::Object(Map::new());
        }
        field = &mut field[part];
    }
    *field = value;
}
