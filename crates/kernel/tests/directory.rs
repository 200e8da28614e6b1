//! Tests of finding services by name.

use actix::{Actor, Context};
use kernel::{DirectoryError, ServiceDirectory, ServiceName};

const CONTROL: ServiceName = ServiceName("control");

struct ControlActor;

impl Actor for ControlActor {
    type Context = Context<Self>;
}

struct TrafficActor;

impl Actor for TrafficActor {
    type Context = Context<Self>;
}

#[actix_rt::test]
async fn a_service_is_found_by_its_name_and_type() {
    let directory = ServiceDirectory::default();
    assert_eq!(
        directory.find::<ControlActor>(CONTROL).err(),
        Some(DirectoryError::NoSuchService(CONTROL))
    );
    let first = ControlActor.start();
    directory.register(CONTROL, first.clone());
    // Clones share one map, so a clone made earlier finds services that are registered later.
    let found = directory.clone().find::<ControlActor>(CONTROL);
    assert_eq!(found.ok(), Some(first));
    assert_eq!(
        directory.find::<TrafficActor>(CONTROL).err(),
        Some(DirectoryError::WrongType(CONTROL))
    );
    let second = ControlActor.start();
    directory.register(CONTROL, second.clone());
    assert_eq!(directory.find::<ControlActor>(CONTROL).ok(), Some(second));
}
