//! Connections between entries and owners of pools.

use std::{future::Future, net::SocketAddr, rc::Rc, sync::Arc};

use capnp_rpc::{rpc_twoparty_capnp::Side, RpcSystem};
use claims::NodeId;
use futures::future::LocalBoxFuture;
use jobs::{JobOutcome, JobRequest, JobTerms, PoolId};
use kernel::serve_connections;
use telemetry::TrafficBook;
use tokio::{net::TcpListener, task::JoinHandle};

use crate::{
    link::{counted_network, dial},
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

    /// How many of a job's tasks the pool could take in time now. Nothing is promised by it.
    fn offer(&self, call: JobCall) -> u32;
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

    /// Asks how many of a job's tasks the pool could take in time now. The job's text stays here.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub fn offer(&self, call: &JobCall) -> impl Future<Output = Result<u32, PeerError>> {
        let mut request = self.port.offer_request();
        write_job(request.get().init_job(), &without_text(call));
        let promise = request.send().promise;
        async move { Ok(promise.await?.get()?.get_fits()) }
    }
}

/// A job without its text, which is most of its bytes and which only a worker needs.
fn without_text(call: &JobCall) -> JobCall {
    let request = JobRequest {
        text: Arc::from(""),
        ..(*call.request).clone()
    };
    JobCall {
        request: Arc::new(request),
        ..call.clone()
    }
}

/// Connects to an owner. `on_closed` is called once when the connection breaks by itself.
///
/// # Errors
///
/// Refused when nobody listens, otherwise lost or timed out.
pub async fn connect_pool(
    address: SocketAddr,
    book: Arc<TrafficBook>,
    on_closed: impl FnOnce() + 'static,
) -> Result<PoolLink, PeerError> {
    let stream = dial(address).await?;
    let mut system = RpcSystem::new(Box::new(counted_network(stream, Side::Client, book)), None);
    let port: pool_port::Client = system.bootstrap(Side::Server);
    let task = actix_rt::spawn(async move {
        let _ended = system.await;
        on_closed();
    });
    Ok(PoolLink { port, task })
}

/// Accepts connections of entries for as long as the future is polled.
pub async fn serve_pool(
    listener: TcpListener,
    book: Arc<TrafficBook>,
    service: Rc<impl PoolService>,
) {
    serve_connections(listener, move |stream| {
        let port: pool_port::Client = capnp_rpc::new_client(PoolGlue(service.clone()));
        let network = counted_network(stream, Side::Server, book.clone());
        let system = RpcSystem::new(Box::new(network), Some(port.client));
        async move {
            // A connection that breaks cancels its own jobs; there is nothing to do beside.
            let _ended = system.await;
        }
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

    fn offer(
        self: Rc<Self>,
        params: pool_port::OfferParams,
        mut results: pool_port::OfferResults,
    ) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        let call = params
            .get()
            .and_then(|params| params.get_job())
            .map_err(PeerError::from);
        let fits = call.and_then(read_job).map(|call| self.0.offer(call));
        async move {
            results.get().set_fits(fits?);
            Ok(())
        }
    }
}
