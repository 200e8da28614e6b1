//! Connections between entries and pool owners.

use std::{future::Future, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use capnp_rpc::{rpc_twoparty_capnp::Side, RpcSystem};
use claims::NodeId;
use futures::future::LocalBoxFuture;
use jobs::{JobAttemptId, JobId, JobOutcome, JobRequest, JobTerms, PoolId};
use kernel::serve_connections;
use pool::AttemptPresence;
use telemetry::TrafficCounters;
use tokio::{net::TcpListener, task::JoinHandle};

use crate::{
    link::{counted_network, dial},
    pool_capnp::pool_port,
    pool_message::{
        micros, read_attempt_id, read_job, read_outcome, read_pool_id, read_presence,
        write_attempt_id, write_job, write_outcome, write_presence,
    },
    PeerError,
};

/// A job sent to the owner of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct JobCall {
    /// The process that submitted the job and waits for its outcome.
    pub entry: NodeId,
    /// The pool that the job is sent to.
    pub pool: PoolId,
    /// The job.
    pub request: Arc<JobRequest>,
    /// The terms of its route, and how long its customer waits.
    pub terms: JobTerms,
    /// The receiver's time since boot when the call was sent, or less. Zero if the call is not sent.
    pub sent_at: Duration,
}

/// The calls that a pool owner answers on one connection.
pub trait PoolService: 'static {
    /// Runs a job to its end. Dropping the returned future cancels the job.
    fn run(&self, call: JobCall) -> LocalBoxFuture<'static, JobOutcome>;

    /// The number of the job's tasks that the pool could currently run in time. This reserves nothing.
    fn offer(&self, call: JobCall) -> u32;

    /// Confirms the jobs that run on this connection, as of this process's time since boot `sent_at`. Returns the
    /// present time since boot.
    fn renew(&self, sent_at: Duration) -> Duration;

    /// Whether any pool of this process may have runs of a job that are not of `attempt`. Unknown if this process does not
    /// own `pool`.
    fn presence(&self, job: JobId, attempt: Option<JobAttemptId>, pool: PoolId) -> AttemptPresence;
}

/// An open connection to a pool owner. Dropping it closes the connection.
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
    /// Sends a job to the owner and waits for its outcome. Dropping the future cancels the job.
    ///
    /// # Errors
    ///
    /// The connection broke: the job may have run, and the owner stops its tasks that still run.
    pub fn run(&self, call: &JobCall) -> impl Future<Output = Result<JobOutcome, PeerError>> {
        let mut request = self.port.run_request();
        write_job(request.get().init_job(), call);
        let promise = request.send().promise;
        async move {
            let response = promise.await?;
            read_outcome(response.get()?.get_outcome()?)
        }
    }

    /// Asks how many of a job's tasks the pool could currently run in time. The text of the job is not sent.
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

    /// Confirms all jobs that were sent on this link and still run. `sent_at` is the owner's time since boot, or less.
    /// Returns the owner's time since boot when it answered.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub fn renew(&self, sent_at: Duration) -> impl Future<Output = Result<Duration, PeerError>> {
        let mut request = self.port.renew_request();
        request.get().set_sent_at_micros(micros(sent_at));
        let promise = request.send().promise;
        async move {
            let micros = promise.await?.get()?.get_clock_micros();
            Ok(Duration::from_micros(micros))
        }
    }

    /// Asks whether any pool of the owner may have runs of a job that are not of `attempt`. The answer is "unknown" if it
    /// does not own `pool`.
    ///
    /// # Errors
    ///
    /// The connection broke, or the owner is an older process without this call.
    pub fn presence(
        &self,
        job: JobId,
        attempt: Option<JobAttemptId>,
        pool: &PoolId,
    ) -> impl Future<Output = Result<AttemptPresence, PeerError>> {
        let mut request = self.port.presence_request();
        request.get().set_job(job.0);
        request.get().set_attempt_id(write_attempt_id(attempt));
        request.get().set_pool(pool.to_string());
        let promise = request.send().promise;
        async move {
            let presence = promise.await?.get()?.get_presence();
            Ok(read_presence(presence))
        }
    }
}

/// Copies a job without its text, which makes up most of its bytes and is only needed by workers.
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

/// Connects to a pool owner. `on_closed` is called once if the connection ends before the link is dropped.
///
/// # Errors
///
/// [`PeerError::Refused`] if no process listens at the address, otherwise [`PeerError::Lost`] or
/// [`PeerError::TimedOut`].
pub async fn connect_pool(
    address: SocketAddr,
    traffic: Arc<TrafficCounters>,
    on_closed: impl FnOnce() + 'static,
) -> Result<PoolLink, PeerError> {
    let stream = dial(address).await?;
    let mut system = RpcSystem::new(
        Box::new(counted_network(stream, Side::Client, traffic)),
        None,
    );
    let port: pool_port::Client = system.bootstrap(Side::Server);
    let task = actix_rt::spawn(async move {
        let _ended = system.await;
        on_closed();
    });
    Ok(PoolLink { port, task })
}

/// Accepts connections from entries for as long as the future is polled. `make_service` creates the service of each
/// connection.
pub async fn serve_pool<S: PoolService>(
    listener: TcpListener,
    traffic: Arc<TrafficCounters>,
    make_service: impl Fn() -> S + Clone,
) {
    serve_connections(listener, move |stream| {
        let port: pool_port::Client = capnp_rpc::new_client(PoolAdapter(make_service()));
        let network = counted_network(stream, Side::Server, traffic.clone());
        let system = RpcSystem::new(Box::new(network), Some(port.client));
        async move {
            // The end of the connection cancels its jobs by dropping their futures, so nothing else is left to do.
            let _ended = system.await;
        }
    })
    .await;
}

struct PoolAdapter<S>(S);

impl<S: PoolService> pool_port::Server for PoolAdapter<S> {
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

    fn renew(
        self: Rc<Self>,
        params: pool_port::RenewParams,
        mut results: pool_port::RenewResults,
    ) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        let sent_at = params.get().map(|params| params.get_sent_at_micros());
        let renewed = sent_at.map(|micros| self.0.renew(Duration::from_micros(micros)));
        std::future::ready(renewed.map(|clock| results.get().set_clock_micros(micros(clock))))
    }

    fn presence(
        self: Rc<Self>,
        params: pool_port::PresenceParams,
        mut results: pool_port::PresenceResults,
    ) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        let question = params.get().map_err(PeerError::from);
        let presence = question.and_then(|params| {
            let attempt = read_attempt_id(params.get_attempt_id());
            let pool = read_pool_id(params.get_pool())?;
            Ok(self.0.presence(JobId(params.get_job()), attempt, pool))
        });
        async move {
            results.get().set_presence(write_presence(presence?));
            Ok(())
        }
    }
}
