//! A stand-in for the platform's store, with the limits of the protocol page.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{HttpAnswer, HttpRequest, HttpServer},
    json::{base64_encode, object, Json},
};

/// The limits of one transaction and one row, and of one page of rows.
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1_000_000;
const ROW_BYTES: usize = 65_536;
const MAX_ROWS: usize = 500;

/// The time of a read, of a transaction, and the part of the latter for which it keeps other transactions of its part
/// waiting.
const READ_TIME: Duration = Duration::from_millis(4);
const TRANSACTION_TIME: Duration = Duration::from_millis(8);
const PART_WRITE_TIME: Duration = Duration::from_millis(6);

/// The calls a second that the store takes from all nodes together, and the transactions a second of one part.
const WRITES_PER_S: usize = 600;
const READS_PER_S: usize = 2_000;
const PART_WRITES_PER_S: usize = 150;

type RowKey = (String, String, String);

#[derive(Clone)]
struct Row {
    value: String,
    version: u64,
    deleted: bool,
}

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<RowKey, Row>,
    /// Feeds that continue from a lower version get 410.
    history_start: u64,
    /// Feeds hear nothing before this time.
    quiet_until: Option<Instant>,
}

/// While answers are lost, one in this many is.
const LOST_EVERY: usize = 3;

/// The calls of the last second.
#[derive(Default)]
struct RecentCalls(VecDeque<Instant>);

impl RecentCalls {
    /// Counts a call. Returns whether it is over the limit.
    fn is_over(&mut self, limit: usize) -> bool {
        let now = Instant::now();
        let past = |at: &Instant| now.duration_since(*at) >= Duration::from_secs(1);
        while self.0.front().is_some_and(past) {
            self.0.pop_front();
        }
        if self.0.len() >= limit {
            return true;
        }
        self.0.push_back(now);
        false
    }
}

/// The queue of one part: its transactions run one after another.
#[derive(Default)]
struct PartQueue {
    waiting: AtomicUsize,
    turn: Mutex<()>,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    parts: Mutex<HashMap<String, Arc<PartQueue>>>,
    writes: Mutex<RecentCalls>,
    reads: Mutex<RecentCalls>,
    over_limit: AtomicUsize,
    /// Until when answers are lost, and the writing calls in that time.
    lossy_until: Mutex<Option<Instant>>,
    writes_in_loss: AtomicUsize,
    began: Instant,
}

impl Store {
    pub fn start() -> std::io::Result<(Arc<Self>, HttpServer)> {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            parts: Mutex::default(),
            writes: Mutex::default(),
            reads: Mutex::default(),
            over_limit: AtomicUsize::new(0),
            lossy_until: Mutex::new(None),
            writes_in_loss: AtomicUsize::new(0),
            began: Instant::now(),
        });
        let handler = store.clone();
        let server = HttpServer::start(move |request| handler.answer(&request))?;
        Ok((store, server))
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let row = Row {
            value: base64_encode(value.to_string().as_bytes()),
            version: rows.version,
            deleted: false,
        };
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(key, row);
        self.changed.notify_all();
    }

    /// Removes a row as the platform does.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        if let Some(row) = rows.rows.get_mut(&key) {
            row.deleted = true;
            row.version = version;
        }
        self.changed.notify_all();
    }

    /// For `time`, one in [`LOST_EVERY`] writing calls is done and not answered.
    pub fn lose_answers(&self, time: Duration) {
        *self.lossy_until.lock().unwrap() = Some(Instant::now() + time);
    }

    /// For `time`, feeds hear nothing although changes are made; then the history is dropped, and feeds that need it get
    /// 410.
    pub fn forget_history(self: &Arc<Self>, time: Duration) {
        self.rows.lock().unwrap().quiet_until = Some(Instant::now() + time);
        let store = self.clone();
        thread::spawn(move || {
            thread::sleep(time);
            let mut rows = store.rows.lock().unwrap();
            rows.quiet_until = None;
            rows.history_start = rows.version;
            store.changed.notify_all();
        });
    }

    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 50_000
    }

    /// The calls that were turned away because they were over a limit.
    pub fn calls_over_limit(&self) -> usize {
        self.over_limit.load(Ordering::SeqCst)
    }

    fn answer(&self, request: &HttpRequest) -> Option<HttpAnswer> {
        let is_over = match request.method.as_str() {
            "POST" => self.writes.lock().unwrap().is_over(WRITES_PER_S),
            _ => self.reads.lock().unwrap().is_over(READS_PER_S),
        };
        if is_over {
            return Some(self.turn_away());
        }
        let answer = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/-/rows-tx") => {
                let is_lost = self.loses_answer();
                let answer = self.transact(&request.body);
                return Some(answer).filter(|_| !is_lost);
            }
            ("GET", "/-/rows-get") => {
                thread::sleep(READ_TIME);
                self.range(request)
            }
            ("GET", "/-/rows-feed") => {
                thread::sleep(READ_TIME);
                self.feed(request)
            }
            _ => (404, "{}".to_owned()),
        };
        Some(answer)
    }

    fn turn_away(&self) -> HttpAnswer {
        self.over_limit.fetch_add(1, Ordering::SeqCst);
        (429, "{}".to_owned())
    }

    /// Whether the answer to this writing call is lost.
    fn loses_answer(&self) -> bool {
        let lossy = self.lossy_until.lock().unwrap();
        let is_lossy = lossy.is_some_and(|until| Instant::now() < until);
        is_lossy && self.writes_in_loss.fetch_add(1, Ordering::SeqCst) % LOST_EVERY == 0
    }

    fn transact(&self, body: &str) -> HttpAnswer {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let lists = ["Expected", "Writes", "Remove"].map(|name| call.get(name).items());
        let entries: usize = lists.iter().map(|list| list.len()).sum();
        let first = lists.iter().flat_map(|list| list.iter()).next();
        let part = first
            .and_then(|entry| entry.get("part").as_str())
            .unwrap_or("");
        let one_part = lists
            .iter()
            .flat_map(|list| list.iter())
            .all(|entry| entry.get("part").as_str().unwrap_or("") == part);
        let too_long = lists[1]
            .iter()
            .any(|write| write.get("Value").as_str().unwrap_or("").len() / 4 * 3 > ROW_BYTES);
        if entries > MAX_ENTRIES || body.len() > MAX_CALL_BYTES || too_long || !one_part {
            return (400, "{}".to_owned());
        }
        let writes = lists[1].iter().chain(lists[2]);
        let mut tables = writes.map(|entry| entry.get("Table").as_str().unwrap_or(""));
        if tables.any(|table| table == "op" || table == "servers") {
            return (403, "{}".to_owned());
        }
        let mut parts = self.parts.lock().unwrap();
        let queue = parts.entry(part.to_owned()).or_default().clone();
        drop(parts);
        if queue.waiting.fetch_add(1, Ordering::SeqCst) >= PART_WRITES_PER_S {
            queue.waiting.fetch_sub(1, Ordering::SeqCst);
            return self.turn_away();
        }
        let turn = queue.turn.lock().unwrap();
        thread::sleep(PART_WRITE_TIME);
        let answer = self.apply(lists);
        drop(turn);
        queue.waiting.fetch_sub(1, Ordering::SeqCst);
        thread::sleep(TRANSACTION_TIME - PART_WRITE_TIME);
        answer
    }

    fn apply(&self, [expected, writes, removed]: [&[Json]; 3]) -> HttpAnswer {
        let mut rows = self.rows.lock().unwrap();
        let mut conflict = false;
        for entry in expected {
            let current = rows.rows.get(&row_key(entry)).filter(|row| !row.deleted);
            conflict |= Some(current.map_or(0, |row| row.version)) != entry.get("Ver").as_u64();
        }
        if conflict {
            let found = expected.iter().filter_map(|entry| {
                let key = row_key(entry);
                rows.rows.get(&key).map(|row| row_json(&key, row))
            });
            let found = Json::List(found.collect());
            return (412, self.rows_answer(found, rows.version, None));
        }
        rows.version += 1;
        let version = rows.version;
        for write in writes {
            let row = Row {
                value: write.get("Value").as_str().unwrap_or("").to_owned(),
                version,
                deleted: false,
            };
            rows.rows.insert(row_key(write), row);
        }
        for entry in removed {
            if let Some(row) = rows.rows.get_mut(&row_key(entry)) {
                row.deleted = true;
                row.version = version;
            }
        }
        self.changed.notify_all();
        let answer = object(vec![
            ("Ver", Json::number(version)),
            ("NowMs", Json::number(self.now_ms())),
        ]);
        (200, answer.to_string())
    }

    fn range(&self, request: &HttpRequest) -> HttpAnswer {
        let part = request.query("part");
        let (table, from, target) = (
            request.query("Table"),
            request.query("From"),
            request.query("Target"),
        );
        let limit = request
            .query("Limit")
            .parse()
            .unwrap_or(MAX_ROWS)
            .min(MAX_ROWS);
        let rows = self.rows.lock().unwrap();
        let mut found = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, row) in &rows.rows {
            let in_range = key.2.as_str() >= from && (target.is_empty() || key.2.as_str() < target);
            if key.0 != table || key.1 != part || !in_range || row.deleted {
                continue;
            }
            bytes += row.value.len();
            if found.len() == limit || (bytes > MAX_CALL_BYTES && !found.is_empty()) {
                more = true;
                break;
            }
            found.push(row_json(key, row));
        }
        (
            200,
            self.rows_answer(Json::List(found), rows.version, Some(more)),
        )
    }

    fn feed(&self, request: &HttpRequest) -> HttpAnswer {
        let table = request.query("Table");
        let after: u64 = request.query("After").parse().unwrap_or(0);
        let wait: u64 = request.query("WaitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let now = Instant::now();
            if rows.quiet_until.is_some() {
                rows = self
                    .changed
                    .wait_timeout(rows, Duration::from_millis(20))
                    .unwrap()
                    .0;
                continue;
            }
            if after < rows.history_start {
                return (410, "{}".to_owned());
            }
            let changed = rows.rows.iter();
            let changed = changed.filter(|(key, row)| key.0 == table && row.version > after);
            let mut changed: Vec<(&RowKey, &Row)> = changed.collect();
            if !changed.is_empty() || now >= until {
                changed.sort_by_key(|(_, row)| row.version);
                let more = changed.len() > MAX_ROWS;
                changed.truncate(MAX_ROWS);
                let last = changed.last().map(|(_, row)| row.version);
                let version = last.filter(|_| more).unwrap_or(rows.version);
                let found = changed
                    .iter()
                    .map(|(key, row)| row_json(key, row))
                    .collect();
                return (200, self.rows_answer(Json::List(found), version, None));
            }
            rows = self.changed.wait_timeout(rows, until - now).unwrap().0;
        }
    }

    fn rows_answer(&self, rows: Json, version: u64, more: Option<bool>) -> String {
        let mut fields = vec![
            ("rows", rows),
            ("Ver", Json::number(version)),
            ("NowMs", Json::number(self.now_ms())),
        ];
        fields.extend(more.map(|more| ("MorePages", Json::Bool(more))));
        object(fields).to_string()
    }
}

fn row_key(entry: &Json) -> RowKey {
    let text = |name| entry.get(name).as_str().unwrap_or("").to_owned();
    (text("Table"), text("part"), text("Key"))
}

fn row_json(key: &RowKey, row: &Row) -> Json {
    let mut fields = vec![
        ("Table", Json::text(&key.0)),
        ("part", Json::text(&key.1)),
        ("Key", Json::text(&key.2)),
        ("Ver", Json::number(row.version)),
    ];
    match row.deleted {
        true => fields.push(("Deleted", Json::Bool(true))),
        false => fields.push(("Value", Json::text(&row.value))),
    }
    object(fields)
}
