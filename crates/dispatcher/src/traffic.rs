//! The traffic threads: each calls endpoints with its own connections.

use actix::{Actor, Addr, AsyncContext as _, Context, Handler, Message};
use endpoint_client::{ClientSettings, EndpointClient};
use model::{AttemptEnd, AttemptId, EndpointAddress, TaskOffer};

use crate::DispatcherControl;

/// Runs a task on an endpoint.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct RunTask {
    pub(crate) endpoint: EndpointAddress,
    pub(crate) offer: TaskOffer,
    pub(crate) control: Addr<DispatcherControl>,
}

/// A task has ended on its endpoint.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct TaskRan {
    pub(crate) attempt: AttemptId,
    pub(crate) end: AttemptEnd,
}

/// One traffic thread's caller of endpoints.
pub(crate) struct EndpointTraffic {
    client: EndpointClient,
}

impl EndpointTraffic {
    pub(crate) fn new(settings: ClientSettings) -> Self {
        Self {
            client: EndpointClient::new(settings),
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
        let call = async move {
            let end = client.run(&task.endpoint, &task.offer, || {}).await;
            task.control.do_send(TaskRan {
                attempt: task.offer.attempt,
                end,
            });
        };
        ctx.spawn(actix::fut::wrap_future(call));
    }
}
