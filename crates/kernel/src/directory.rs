//! The directory in which services find each other by name.

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

/// What can go wrong in the kernel.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DirectoryError {
    /// No service has that name.
    #[error("no service is named {0}")]
    NoSuchService(ServiceName),
    /// The service is there but is of another type.
    #[error("service {0} is of another type")]
    WrongType(ServiceName),
}

/// Addresses of actors by name. One directory a process, so that a demo or test can hold several processes' parts
/// side by side; actix's own registry is one a thread and by type only.
#[derive(Clone, Default)]
pub struct ServiceDirectory {
    services: Arc<Mutex<HashMap<ServiceName, Box<dyn Any + Send>>>>,
}

impl ServiceDirectory {
    /// Puts a service under its name; a later one of the same name takes its place.
    pub fn register<A: Actor>(&self, name: ServiceName, addr: Addr<A>) {
        self.lock().insert(name, Box::new(addr));
    }

    /// Finds a service.
    ///
    /// # Errors
    ///
    /// Says whether the name is not there or belongs to a service of another type.
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
        // A panic while the lock is held cannot leave the map half changed: each use is one call on it.
        self.services
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
