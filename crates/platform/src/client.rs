//! The platform client. It is not `Send` and stays on the control thread.

use std::{
    cell::RefCell,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use awc::{
    error::{ConnectError, PayloadError, SendRequestError},
    http::{Method, StatusCode},
    Client, Connector,
};
use kernel::ClockSource;
use model::VmEntry;
use serde::de::DeserializeOwned;

use crate::{
    wire::{CommitAnswer, ConflictAnswer, ListAnswer, TransactionBody, VmAnswer},
    CallRate, CommitError, KeyedRow, RateLimiter, ReadError, RequestError, RowVersion, RowWrite,
    StoreKey, TableName, TableRow,
};

/// The largest answer body that is read, in bytes. A full page of contracts or keys is far smaller.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The platform's address, the timeouts of calls, and this process's share of the platform's rates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// The platform's HTTP address.
    pub address: SocketAddr,
    /// The timeout for establishing a connection. It is shorter than `timeout`, so that a platform that accepts no
    /// connection gives a definite "not sent" instead of an uncertain timeout.
    pub connect_timeout: Duration,
    /// The timeout for an answer, from the start of the call.
    pub timeout: Duration,
    /// The longest wait for a permit of this process's rate limiters.
    pub max_permit_wait: Duration,
    /// Reads per second. All VMs share the platform's 2,000 reads per second; 200 each suit the system's 8 VMs.
    pub read_rate: CallRate,
    /// Transactions per second. All VMs share the platform's several hundred transactions per second. At 20 each, the
    /// system's 8 VMs together use 160 and leave the rest to contract changes and other users.
    pub write_rate: CallRate,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8600)),
            connect_timeout: Duration::from_millis(300),
            timeout: Duration::from_secs(1),
            max_permit_wait: Duration::from_millis(500),
            read_rate: CallRate::per_second(200),
            write_rate: CallRate::per_second(20),
        }
    }
}

/// A client of the platform. Clones share connections and rate limiters.
#[derive(Clone)]
pub struct PlatformClient {
    inner: Rc<Inner>,
}

struct Inner {
    http: Client,
    settings: ClientSettings,
    clock: Arc<dyn ClockSource>,
    reads: RefCell<RateLimiter>,
    writes: RefCell<RateLimiter>,
}

/// A permit for one transaction or one write of an object, taken from this process's share of the platform's write
/// rate.
#[derive(Debug)]
#[must_use = "an unused permit is lost"]
pub struct WritePermit(());

/// The status and the body of an HTTP answer.
struct Answer {
    status: StatusCode,
    body: Vec<u8>,
}

impl PlatformClient {
    /// Creates a client without connections. It has to be created and used on one thread, within an actix system.
    pub fn new(settings: ClientSettings, clock: Arc<dyn ClockSource>) -> Self {
        let now = clock.now();
        let connector = Connector::new().timeout(settings.connect_timeout);
        let http = Client::builder()
            .connector(connector)
            .timeout(settings.timeout)
            .disable_redirects()
            .finish();
        Self {
            inner: Rc::new(Inner {
                http,
                reads: RefCell::new(RateLimiter::new(settings.read_rate, now)),
                writes: RefCell::new(RateLimiter::new(settings.write_rate, now)),
                settings,
                clock,
            }),
        }
    }

    /// The settings in use.
    pub fn settings(&self) -> &ClientSettings {
        &self.inner.settings
    }

    /// The clock in use.
    pub fn clock(&self) -> &Arc<dyn ClockSource> {
        &self.inner.clock
    }

    /// Reads a row. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the platform gave no answer that says whether the row exists.
    pub async fn get_row(
        &self,
        table: TableName,
        key: &StoreKey,
    ) -> Result<Option<TableRow>, ReadError> {
        let answer = self.read(&format!("/table/{table}/{key}")).await?;
        match answer.status {
            StatusCode::OK => Ok(Some(from_json(&answer.body)?)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected_status(status).into()),
        }
    }

    /// Reads at most `limit` rows in key order, starting at the first key greater than `after`.
    ///
    /// # Errors
    ///
    /// Fails if the platform gave no valid list of rows.
    pub async fn list_rows(
        &self,
        table: TableName,
        after: &StoreKey,
        limit: usize,
    ) -> Result<Vec<KeyedRow>, ReadError> {
        let path = format!("/table/{table}?after={after}&limit={limit}");
        let answer = self.read(&path).await?;
        match answer.status {
            StatusCode::OK => Ok(from_json::<ListAnswer>(&answer.body)?.rows),
            status => Err(unexpected_status(status).into()),
        }
    }

    /// Waits for a write permit. A caller that batches the rows of many requests acquires the permit first and collects
    /// the rows afterwards, so that rows that arrive during the wait go into this write and not into the next.
    ///
    /// # Errors
    ///
    /// [`RequestError::RateLimited`] if the wait would be longer than the settings allow.
    pub async fn acquire_write_permit(&self) -> Result<WritePermit, RequestError> {
        self.wait_for_permit(&self.inner.writes).await?;
        Ok(WritePermit(()))
    }

    /// Writes rows in one transaction, all or none, and returns their new versions in the order of the writes.
    ///
    /// # Errors
    ///
    /// [`CommitError`], which tells whether the write definitely had no effect or its effect is uncertain.
    pub async fn commit(&self, writes: Vec<RowWrite>) -> Result<Vec<RowVersion>, CommitError> {
        let permit = self.acquire_write_permit().await?;
        self.commit_with_permit(permit, writes).await
    }

    /// Writes rows as [`Self::commit`] does, with a permit that was acquired before.
    ///
    /// # Errors
    ///
    /// As [`Self::commit`].
    pub async fn commit_with_permit(
        &self,
        _permit: WritePermit,
        writes: Vec<RowWrite>,
    ) -> Result<Vec<RowVersion>, CommitError> {
        let body = serde_json::to_vec(&TransactionBody { writes: &writes })
            .map_err(|e| CommitError::NotSent(RequestError::InvalidRequest(e.to_string())))?;
        let answer = self.call(Method::POST, "/transaction", body).await?;
        match answer.status {
            StatusCode::OK => {
                let versions = from_json::<CommitAnswer>(&answer.body)?.versions;
                if versions.len() != writes.len() {
                    return Err(broken_answer("version count differs from write count").into());
                }
                Ok(versions)
            }
            StatusCode::CONFLICT => {
                let conflicts = from_json::<ConflictAnswer>(&answer.body)?.conflicts;
                if conflicts.is_empty() {
                    return Err(broken_answer("a conflict that names no row").into());
                }
                Err(CommitError::Conflict(conflicts))
            }
            status => Err(unexpected_status(status).into()),
        }
    }

    /// Reads the platform's VM list. The list lags behind the VMs' actual state.
    ///
    /// # Errors
    ///
    /// Fails if the platform gave no valid list.
    pub async fn vm_list(&self) -> Result<Vec<VmEntry>, ReadError> {
        let answer = self.read("/vms").await?;
        match answer.status {
            StatusCode::OK => Ok(from_json::<VmAnswer>(&answer.body)?.vms),
            status => Err(unexpected_status(status).into()),
        }
    }

    /// Writes an object and replaces any previous content.
    ///
    /// # Errors
    ///
    /// [`CommitError`], which tells whether the write definitely had no effect or its effect is uncertain.
    pub async fn put_object(&self, name: &StoreKey, bytes: Vec<u8>) -> Result<(), CommitError> {
        let path = format!("/objects/{name}");
        let _permit = self.acquire_write_permit().await?;
        let answer = self.call(Method::PUT, &path, bytes).await?;
        if answer.status.is_success() {
            return Ok(());
        }
        Err(unexpected_status(answer.status).into())
    }

    /// Reads an object. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the platform gave no answer that says whether the object exists.
    pub async fn get_object(&self, name: &StoreKey) -> Result<Option<Vec<u8>>, ReadError> {
        let answer = self.read(&format!("/objects/{name}")).await?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected_status(status).into()),
        }
    }

    async fn read(&self, path: &str) -> Result<Answer, RequestError> {
        self.wait_for_permit(&self.inner.reads).await?;
        self.call(Method::GET, path, Vec::new()).await
    }

    async fn wait_for_permit(&self, limiter: &RefCell<RateLimiter>) -> Result<(), RequestError> {
        let now = self.inner.clock.now();
        let max_wait = self.inner.settings.max_permit_wait;
        let permit = limiter.borrow_mut().acquire(now, max_wait);
        let wait = permit.map_err(|retry_after| RequestError::RateLimited { retry_after })?;
        if !wait.is_zero() {
            actix_rt::time::sleep(wait).await;
        }
        Ok(())
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Answer, RequestError> {
        let url = format!("http://{}{path}", self.inner.settings.address);
        let request = self
            .inner
            .http
            .request(method, url)
            .insert_header(("content-type", "application/json"));
        let mut response = request.send_body(body).await.map_err(classify_send_error)?;
        let status = response.status();
        let body = response.body().limit(MAX_ANSWER_BYTES);
        let body = body.await.map_err(classify_body_error)?.to_vec();
        Ok(Answer { status, body })
    }
}

/// Classifies an error of sending a request by whether bytes of the request may have been sent.
///
/// The HTTP library reports `Connect(Disconnected)` when the peer closes the connection after the request was written
/// and before it was answered. If that counted as a failed connect, a write that took effect would be reported as not
/// sent, and its request would be started elsewhere too. Only errors from establishing a connection count as not
/// sent.
pub fn classify_send_error(error: SendRequestError) -> RequestError {
    match error {
        SendRequestError::Url(e) => RequestError::InvalidRequest(e.to_string()),
        SendRequestError::Http(e) => RequestError::InvalidRequest(e.to_string()),
        SendRequestError::Connect(
            e @ (ConnectError::Resolver(_)
            | ConnectError::NoRecords
            | ConnectError::Timeout
            | ConnectError::Unresolved
            | ConnectError::Io(_)),
        ) => RequestError::NoConnection(e.to_string()),
        SendRequestError::Timeout => RequestError::TimedOut,
        e => RequestError::ConnectionLost(e.to_string()),
    }
}

/// Classifies an error of reading an answer's body.
pub fn classify_body_error(error: PayloadError) -> RequestError {
    match error {
        PayloadError::Io(e) if e.kind() == std::io::ErrorKind::TimedOut => RequestError::TimedOut,
        PayloadError::Overflow => broken_answer("the answer is too large"),
        e => RequestError::ConnectionLost(e.to_string()),
    }
}

fn from_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, RequestError> {
    serde_json::from_slice(body).map_err(|e| broken_answer(&e.to_string()))
}

fn unexpected_status(status: StatusCode) -> RequestError {
    RequestError::UnexpectedStatus(status.as_u16())
}

fn broken_answer(reason: &str) -> RequestError {
    RequestError::BrokenAnswer(reason.to_owned())
}
