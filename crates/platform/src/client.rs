//! The client itself. It is not `Send`: it lives on the control thread.

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

/// The largest answer that is read, in bytes: a full page of contracts or of keys stays far below.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Where the platform is and how much of it this process may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// The platform's HTTP address.
    pub address: SocketAddr,
    /// The longest wait for a connection. Shorter than `timeout`, so that a platform that takes no connection gives
    /// a definite "not sent" and not an uncertain timeout.
    pub connect_timeout: Duration,
    /// The longest wait for an answer, from the start of the call.
    pub timeout: Duration,
    /// The longest wait for this process's turn.
    pub max_permit_wait: Duration,
    /// Reads a second. The platform's 2,000 are for every VM: 200 suit today's 8 VMs.
    pub read_rate: CallRate,
    /// Transactions a second. The platform's several hundred are for every VM: at 20, today's 8 VMs together use 160
    /// and leave the rest to changes of contracts and to others.
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

/// Calls the platform. Clones share connections and rates.
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

/// One turn to write, taken from this process's share of the platform's rate.
#[derive(Debug)]
#[must_use = "a turn that is not used is lost"]
pub struct WritePermit(());

/// Status and body of an answer.
struct Answer {
    status: StatusCode,
    body: Vec<u8>,
}

impl PlatformClient {
    /// A client without connections yet. It has to be made and used on one thread, within an actix system.
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

    /// Reads a row; `None` when it is not there.
    ///
    /// # Errors
    ///
    /// Fails when the platform gave no answer that says whether the row is there.
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

    /// Reads at most `limit` rows in key order, from the first key greater than `after`.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::get_row`] does.
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

    /// Waits for this process's turn to write. A caller that gathers rows from many requests takes the turn first
    /// and gathers then, so that what comes during the wait goes with this write and not with the next.
    ///
    /// # Errors
    ///
    /// [`RequestError::RateLimited`] when the wait would be longer than the settings allow.
    pub async fn acquire_write_permit(&self) -> Result<WritePermit, RequestError> {
        self.wait_for_permit(&self.inner.writes).await?;
        Ok(WritePermit(()))
    }

    /// Writes rows, all or nothing, and gives their new versions in order.
    ///
    /// # Errors
    ///
    /// Says whether nothing took effect or nobody can say.
    pub async fn commit(&self, writes: Vec<RowWrite>) -> Result<Vec<RowVersion>, CommitError> {
        let permit = self.acquire_write_permit().await?;
        self.commit_with_permit(permit, writes).await
    }

    /// [`Self::commit`] in a turn that was taken before.
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
                    return Err(broken_answer("not one version a write").into());
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

    /// The platform's VM list. It lags.
    ///
    /// # Errors
    ///
    /// Fails when the platform gave no list.
    pub async fn vm_list(&self) -> Result<Vec<VmEntry>, ReadError> {
        let answer = self.read("/vms").await?;
        match answer.status {
            StatusCode::OK => Ok(from_json::<VmAnswer>(&answer.body)?.vms),
            status => Err(unexpected_status(status).into()),
        }
    }

    /// Writes an object as a whole.
    ///
    /// # Errors
    ///
    /// Says whether nothing took effect or nobody can say.
    pub async fn put_object(&self, name: &StoreKey, bytes: Vec<u8>) -> Result<(), CommitError> {
        let path = format!("/objects/{name}");
        let _permit = self.acquire_write_permit().await?;
        let answer = self.call(Method::PUT, &path, bytes).await?;
        if answer.status.is_success() {
            return Ok(());
        }
        Err(unexpected_status(answer.status).into())
    }

    /// Reads an object; `None` when it is not there.
    ///
    /// # Errors
    ///
    /// Fails when the platform gave no answer that says whether the object is there.
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

/// Sorts failures of sending by whether a byte may have left.
///
/// `Connect(Disconnected)` is what the HTTP library says when the peer closes after the request was written and
/// before it answered. Taken for a failed connect, a write that took effect would be reported as not sent and its
/// request started elsewhere too; only the errors of the connect phase proper count as unsent.
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

/// Sorts failures of reading an answer's body.
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

fn broken_answer(why: &str) -> RequestError {
    RequestError::BrokenAnswer(why.to_owned())
}
