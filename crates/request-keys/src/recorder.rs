//! Runs a [`KeyBatcher`] against the platform. The recorder is not `Send`: it lives on the control thread.

use std::{cell::RefCell, rc::Rc, time::Duration};

use model::FastMap;
use platform::{
    CommitError, ExpectedVersion, PlatformClient, RequestError, RowWrite, StoreKey, TableName,
    WritePermit,
};
use tokio::sync::oneshot;

use crate::{
    batcher::{
        BatchOutcome, BatcherSettings, KeyAction, KeyBatcher, PendingKeyId, PermitOutcome,
        ReadOutcome,
    },
    KeyRecord, KeyRequest, KeyResult, RequestKey,
};

/// Interval at which deadlines and backoffs are checked while keys are pending.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Records keys in the platform's table. Clones share one queue.
#[derive(Clone)]
pub struct KeyRecorder {
    inner: Rc<Inner>,
}

struct Inner {
    client: PlatformClient,
    state: RefCell<State>,
}

struct State {
    batcher: KeyBatcher,
    waiters: FastMap<PendingKeyId, oneshot::Sender<KeyResult>>,
    /// A write permit acquired for the batcher. If its batch turned out empty, the permit is kept for the next batch.
    permit: Option<WritePermit>,
    ticking: bool,
}

impl KeyRecorder {
    /// Creates a recorder over a client, to be used within an actix system.
    pub fn new(client: PlatformClient, settings: BatcherSettings) -> Self {
        Self {
            inner: Rc::new(Inner {
                client,
                state: RefCell::new(State {
                    batcher: KeyBatcher::new(settings),
                    waiters: FastMap::default(),
                    permit: None,
                    ticking: false,
                }),
            }),
        }
    }

    /// Records a key and returns the result, at the latest at the request's deadline. If the future is dropped, the
    /// record may still be written; it then names a submission that never started.
    pub async fn record(&self, request: KeyRequest) -> KeyResult {
        let (sender, receiver) = oneshot::channel();
        let actions = {
            let mut state = self.inner.state.borrow_mut();
            let now = self.inner.client.clock().now();
            let (id, actions) = state.batcher.submit(now, request);
            state.waiters.insert(id, sender);
            actions
        };
        self.run(actions);
        self.ensure_ticking();
        // The sender is dropped only with the recorder itself, on shutdown.
        receiver.await.unwrap_or(KeyResult::Uncertain)
    }

    /// Number of keys that wait for a batch.
    pub fn queue_len(&self) -> usize {
        self.inner.state.borrow().batcher.queue_len()
    }

    fn run(&self, actions: Vec<KeyAction>) {
        for action in actions {
            let recorder = self.clone();
            match action {
                KeyAction::Answer(id, result) => self.answer(id, result),
                KeyAction::AcquirePermit => {
                    actix_rt::spawn(async move { recorder.acquire_permit().await });
                }
                KeyAction::Commit(records) => {
                    actix_rt::spawn(async move { recorder.commit(records).await });
                }
                KeyAction::Read(id, key) => {
                    actix_rt::spawn(async move { recorder.read(id, key).await });
                }
            }
        }
    }

    fn answer(&self, id: PendingKeyId, result: KeyResult) {
        let sender = self.inner.state.borrow_mut().waiters.remove(&id);
        if let Some(sender) = sender {
            // The request may have been dropped; its record stays in the table and names it.
            let _ = sender.send(result);
        }
    }

    async fn acquire_permit(&self) {
        let outcome = match self.next_permit().await {
            Ok(permit) => {
                self.inner.state.borrow_mut().permit = Some(permit);
                PermitOutcome::Acquired
            }
            Err(RequestError::RateLimited { retry_after }) => PermitOutcome::Refused(retry_after),
            Err(_) => PermitOutcome::Refused(TICK_INTERVAL),
        };
        self.advance(|batcher, now| batcher.acquire_ended(now, outcome));
    }

    async fn next_permit(&self) -> Result<WritePermit, RequestError> {
        let kept = self.inner.state.borrow_mut().permit.take();
        match kept {
            Some(permit) => Ok(permit),
            None => self.inner.client.acquire_write_permit().await,
        }
    }

    async fn commit(&self, records: Vec<(RequestKey, KeyRecord)>) {
        let mut keys: FastMap<StoreKey, RequestKey> = FastMap::default();
        let mut writes = Vec::new();
        for (key, record) in records {
            let store_key = StoreKey::for_idempotency_key(&key.customer, &key.key);
            writes.push(RowWrite {
                table: TableName::RequestKeys,
                key: store_key.clone(),
                expect: ExpectedVersion::Absent,
                value: serde_json::json!(record),
            });
            keys.insert(store_key, key);
        }
        let result = match self.next_permit().await {
            Ok(permit) => self.inner.client.commit_with_permit(permit, writes).await,
            Err(failure) => Err(failure.into()),
        };
        let outcome = match result {
            Ok(_) => BatchOutcome::Committed,
            Err(CommitError::Conflict(conflicts)) => {
                let taken = conflicts.iter().filter_map(|c| keys.remove(&c.key));
                BatchOutcome::Conflict(taken.collect())
            }
            Err(CommitError::NotSent(failure)) => {
                log::warn!("request-keys: batch not sent: {failure}");
                BatchOutcome::NotSent
            }
            Err(CommitError::Uncertain(failure)) => {
                log::warn!("request-keys: outcome of batch unknown: {failure}");
                BatchOutcome::Uncertain
            }
        };
        self.advance(|batcher, now| batcher.batch_ended(now, outcome));
    }

    async fn read(&self, id: PendingKeyId, key: RequestKey) {
        let store_key = StoreKey::for_idempotency_key(&key.customer, &key.key);
        let row = self
            .inner
            .client
            .get_row(TableName::RequestKeys, &store_key);
        let outcome = match row.await {
            Ok(None) => ReadOutcome::Absent,
            Ok(Some(row)) => match serde_json::from_value(row.value) {
                Ok(record) => ReadOutcome::Found(record),
                Err(e) => {
                    log::error!("request-keys: row {store_key} cannot be decoded: {e}");
                    ReadOutcome::Failed
                }
            },
            Err(e) => {
                log::warn!("request-keys: cannot read row {store_key}: {e}");
                ReadOutcome::Failed
            }
        };
        self.advance(|batcher, now| batcher.read_ended(now, id, outcome));
    }

    fn advance(&self, input: impl FnOnce(&mut KeyBatcher, std::time::Instant) -> Vec<KeyAction>) {
        let now = self.inner.client.clock().now();
        let actions = input(&mut self.inner.state.borrow_mut().batcher, now);
        self.run(actions);
    }

    fn ensure_ticking(&self) {
        if std::mem::replace(&mut self.inner.state.borrow_mut().ticking, true) {
            return;
        }
        let recorder = self.clone();
        actix_rt::spawn(async move { recorder.tick_until_idle().await });
    }

    async fn tick_until_idle(&self) {
        loop {
            actix_rt::time::sleep(TICK_INTERVAL).await;
            self.advance(KeyBatcher::tick);
            let state = &mut *self.inner.state.borrow_mut();
            if state.batcher.is_idle() {
                state.ticking = false;
                return;
            }
        }
    }
}
