//! Runs a batcher against the platform. It is not `Send`: it lives on the control thread.

use std::{cell::RefCell, rc::Rc, time::Duration};

use model::FastMap;
use platform::{
    CommitError, ExpectedVersion, PlatformClient, RequestError, RowWrite, StoreKey, TableName,
    WritePermit,
};
use tokio::sync::oneshot;

use crate::{
    batcher::{BatchEnd, BatcherSettings, EntryId, KeyAction, KeyBatcher, ReadEnd, TurnEnd},
    KeyRecord, KeyRequest, KeyResult, RequestKey,
};

/// How often time limits are looked at while something waits.
const TICK: Duration = Duration::from_millis(10);

/// Records keys. Clones share one queue.
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
    waiting: FastMap<EntryId, oneshot::Sender<KeyResult>>,
    /// A turn that the batcher took. One whose batch turned out empty is kept for the next.
    turn: Option<WritePermit>,
    ticking: bool,
}

impl KeyRecorder {
    /// A recorder over a client, to be used within an actix system.
    pub fn new(client: PlatformClient, settings: BatcherSettings) -> Self {
        Self {
            inner: Rc::new(Inner {
                client,
                state: RefCell::new(State {
                    batcher: KeyBatcher::new(settings),
                    waiting: FastMap::default(),
                    turn: None,
                    ticking: false,
                }),
            }),
        }
    }

    /// Records a key and says what became of it, at the latest when the request gives up. When the future is
    /// dropped the record may still be written; it names a submission that never started.
    pub async fn record(&self, request: KeyRequest) -> KeyResult {
        let (sender, receiver) = oneshot::channel();
        let actions = {
            let mut state = self.inner.state.borrow_mut();
            let now = self.inner.client.clock().now();
            let (id, actions) = state.batcher.submit(now, request);
            state.waiting.insert(id, sender);
            actions
        };
        self.run(actions);
        self.keep_ticking();
        // A sender is dropped only with the recorder itself, on shutdown.
        receiver.await.unwrap_or(KeyResult::Uncertain)
    }

    /// Keys that wait for a batch.
    pub fn queue_len(&self) -> usize {
        self.inner.state.borrow().batcher.queue_len()
    }

    fn run(&self, actions: Vec<KeyAction>) {
        for action in actions {
            let recorder = self.clone();
            match action {
                KeyAction::Answer(id, result) => self.answer(id, result),
                KeyAction::TakeTurn => {
                    actix_rt::spawn(async move { recorder.take_turn().await });
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

    fn answer(&self, id: EntryId, result: KeyResult) {
        let sender = self.inner.state.borrow_mut().waiting.remove(&id);
        if let Some(sender) = sender {
            // The request may be gone; its record stays and names it.
            let _ = sender.send(result);
        }
    }

    async fn take_turn(&self) {
        let end = match self.next_turn().await {
            Ok(turn) => {
                self.inner.state.borrow_mut().turn = Some(turn);
                TurnEnd::Taken
            }
            Err(RequestError::RateLimited { retry_after }) => TurnEnd::Refused(retry_after),
            Err(_) => TurnEnd::Refused(TICK),
        };
        self.feed(|batcher, now| batcher.turn_ended(now, end));
    }

    async fn next_turn(&self) -> Result<WritePermit, RequestError> {
        let kept = self.inner.state.borrow_mut().turn.take();
        match kept {
            Some(turn) => Ok(turn),
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
        let result = match self.next_turn().await {
            Ok(turn) => self.inner.client.commit_with_permit(turn, writes).await,
            Err(failure) => Err(failure.into()),
        };
        let end = match result {
            Ok(_) => BatchEnd::Committed,
            Err(CommitError::Conflict(conflicts)) => {
                let taken = conflicts.iter().filter_map(|c| keys.remove(&c.key));
                BatchEnd::Conflict(taken.collect())
            }
            Err(CommitError::NotSent(failure)) => {
                log::warn!("request-keys: batch not sent: {failure}");
                BatchEnd::NotSent
            }
            Err(CommitError::Uncertain(failure)) => {
                log::warn!("request-keys: batch in doubt: {failure}");
                BatchEnd::Uncertain
            }
        };
        self.feed(|batcher, now| batcher.batch_ended(now, end));
    }

    async fn read(&self, id: EntryId, key: RequestKey) {
        let store_key = StoreKey::for_idempotency_key(&key.customer, &key.key);
        let row = self
            .inner
            .client
            .get_row(TableName::RequestKeys, &store_key);
        let end = match row.await {
            Ok(None) => ReadEnd::Absent,
            Ok(Some(row)) => match serde_json::from_value(row.value) {
                Ok(record) => ReadEnd::Found(record),
                Err(e) => {
                    log::error!("request-keys: row {store_key} cannot be read: {e}");
                    ReadEnd::Failed
                }
            },
            Err(e) => {
                log::warn!("request-keys: no read-back: {e}");
                ReadEnd::Failed
            }
        };
        self.feed(|batcher, now| batcher.read_ended(now, id, end));
    }

    fn feed(&self, input: impl FnOnce(&mut KeyBatcher, std::time::Instant) -> Vec<KeyAction>) {
        let now = self.inner.client.clock().now();
        let actions = input(&mut self.inner.state.borrow_mut().batcher, now);
        self.run(actions);
    }

    fn keep_ticking(&self) {
        if std::mem::replace(&mut self.inner.state.borrow_mut().ticking, true) {
            return;
        }
        let recorder = self.clone();
        actix_rt::spawn(async move { recorder.tick_until_idle().await });
    }

    async fn tick_until_idle(&self) {
        loop {
            actix_rt::time::sleep(TICK).await;
            self.feed(KeyBatcher::tick);
            let state = &mut *self.inner.state.borrow_mut();
            if state.batcher.is_idle() {
                state.ticking = false;
                return;
            }
        }
    }
}
