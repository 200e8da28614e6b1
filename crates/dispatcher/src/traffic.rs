//! The traffic threads, each of which calls endpoints over its own connections.

use actix::{Actor, AsyncContext as _, Context, Handler, Message};
use endpoint_client::{ClientSettings, EndpointClient};
use kernel::ServiceDirectory;
use model::{AttemptEnd, AttemptId, EndpointAddress, TaskOffer};

use crate::{control::CONTROL_SERVICE, DispatcherControl};

/// Requests that a task run on an endpoint.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct RunTask {
    pub(crate) endpoint: EndpointAddress,
    pub(crate) offer: TaskOffer,
}

/// A task has ended on its endpoint.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct TaskEnded {
    pub(crate) attempt: AttemptId,
    pub(crate) end: AttemptEnd,
}

/// Actor of one traffic thread that sends tasks to endpoints.
pub(crate) struct EndpointTraffic {
    client: EndpointClient,
    services: ServiceDirectory,
}

impl EndpointTraffic {
    pub(crate) fn new(settings: ClientSettings, services: ServiceDirectory) -> Self {
        Self {
            client: EndpointClient::new(settings),
            services,
        }
    }
}

impl Actor for EndpointTraffic {
    type Context = Context<Self>;
}

impl Handler<RunTask> for EndpointTraffic {
    type Result = ();

    fn handle(&mut self, task: RunTask, ctx: &mut Context<Self>) {
        let client = self.client.clone();
        // Looked up before the start: without a control actor to report the end to, the task must not run.
        let control = match self.services.find::<DispatcherControl>(CONTROL_SERVICE) {
            Ok(control) => control,
            Err(error) => {
                log::error!(
                    "dispatcher: cannot start attempt {}: {error}",
                    task.offer.attempt
                );
                return;
            }
        };
        let call = async move {
            let end = client.run(&task.endpoint, &task.offer, || {}).await;
            control.do_send(TaskEnded {
                attempt: task.offer.attempt,
                end,
            });
        };
        ctx.spawn(actix::fut::wrap_future(call));
    }
}
