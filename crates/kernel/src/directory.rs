//! A directory in which services find each other by name.

use std::{
    any::Any,
    collections::HashMap,
    fmt,
    sync::{Arc, Mutex},
};

use actix::{Actor, Addr};
use thiserror::Error;

/// The name of a service within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceName(pub &'static str);

impl fmt::Display for ServiceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// Why a service could not be found in a [`ServiceDirectory`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DirectoryError {
    /// No service is registered under that name.
    #[error("no service is named {0}")]
    NoSuchService(ServiceName),
    /// The service registered under that name is an actor of another type.
    #[error("service {0} is not an actor of the requested type")]
    WrongType(ServiceName),
}

/// Addresses of actors by name. Each process has one directory, so that a demo or test can run the services of several
/// processes side by side. Actix's own registry has one instance per thread and finds actors by type only.
#[derive(Clone, Default)]
pub struct ServiceDirectory {
    services: Arc<Mutex<HashMap<ServiceName, Box<dyn Any + Send>>>>,
}

impl ServiceDirectory {
    /// Registers a service under a name and replaces any service registered under it before.
    pub fn register<A: Actor>(&self, name: ServiceName, addr: Addr<A>) {
        self.lock().insert(name, Box::new(addr));
    }

    /// Returns the address of the service registered under a name.
    ///
    /// # Errors
    ///
    /// [`DirectoryError`] if no service has that name or the service is of another type.
    pub fn find<A: Actor>(&self, name: ServiceName) -> Result<Addr<A>, DirectoryError> {
        let services = self.lock();
        let service = services
            .get(&name)
            .ok_or(DirectoryError::NoSuchService(name))?;
        service
            .downcast_ref::<Addr<A>>()
            .cloned()
            .ok_or(DirectoryError::WrongType(name))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<ServiceName, Box<dyn Any + Send>>> {
        // A poisoned lock is safe to use: each critical section is one call on the map, so that a panic cannot leave
        // the map half changed.
        self.services
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
