//! Connections between entries and owners of pools.

use std::{future::Future, net::SocketAddr, rc::Rc, sync::Arc};

use capnp_rpc::{rpc_twoparty_capnp::Side, RpcSystem};
use claims::NodeId;
use futures::future::LocalBoxFuture;
use jobs::{JobOutcome, JobRequest, JobTerms, PoolId};
use tokio::{net::TcpListener, task::JoinHandle};

use crate::{
    link::{dial, network, serve_each},
    pool_capnp::pool_port,
    pool_message::{read_job, read_outcome, write_job, write_outcome},
    PeerError,
};

/// A job handed to the owner of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct JobCall {
    /// The process that waits for the outcome.
    pub entry: NodeId,
    /// The pool that is meant.
    pub pool: PoolId,
    /// The job.
    pub request: Arc<JobRequest>,
    /// What its route asks, and how long its customer waits.
    pub terms: JobTerms,
}

/// What an owner of pools offers. Dropping the returned future cancels the job.
pub trait PoolService: 'static {
    /// Runs a job to its end.
    fn run(&self, call: JobCall) -> LocalBoxFuture<'static, JobOutcome>;
}

/// An open connection to an owner. It is closed when this is dropped.
pub struct PoolLink {
    port: pool_port::Client,
    task: JoinHandle<()>,
}

impl Drop for PoolLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PoolLink {
    /// Hands a job over and waits for its end. Dropping the future cancels the job.
    ///
    /// # Errors
    ///
    /// The connection broke: the job may have run, and its owner stops what runs of it.
    pub fn run(&self, call: &JobCall) -> impl Future<Output = Result<JobOutcome, PeerError>> {
        let mut request = self.port.run_request();
        write_job(request.get().init_job(), call);
        let promise = request.send().promise;
        async move {
            let response = promise.await?;
            read_outcome(response.get()?.get_outcome()?)
        }
    }
}

/// Connects to an owner. `on_closed` is called once when the connection breaks by itself.
///
/// # Errors
///
/// Refused when nobody listens, otherwise lost or timed out.
pub async fn connect_pool(
    address: SocketAddr,
    on_closed: impl FnOnce() + 'static,
) -> Result<PoolLink, PeerError> {
    let stream = dial(address).await?;
    let mut system = RpcSystem::new(Box::new(network(stream, Side::Client)), None);
    let port: pool_port::Client = system.bootstrap(Side::Server);
    let task = actix_rt::spawn(async move {
        let _ended = system.await;
        on_closed();
    });
    Ok(PoolLink { port, task })
}

/// Accepts connections of entries for as long as the future is polled.
pub async fn serve_pool(listener: TcpListener, service: Rc<impl PoolService>) {
    serve_each(listener, move || {
        let port: pool_port::Client = capnp_rpc::new_client(PoolGlue(service.clone()));
        (port.client, Box::new(|| ()))
    })
    .await;
}

struct PoolGlue<S>(Rc<S>);

impl<S: PoolService> pool_port::Server for PoolGlue<S> {
    fn run(
        self: Rc<Self>,
        params: pool_port::RunParams,
        mut results: pool_port::RunResults,
    ) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        let call = params
            .get()
            .and_then(|params| params.get_job())
            .map_err(PeerError::from);
        let outcome = call.and_then(read_job).map(|call| self.0.run(call));
        async move {
            let outcome = outcome?.await;
            write_outcome(results.get().init_outcome(), outcome);
            Ok(())
        }
    }
}
