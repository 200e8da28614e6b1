//! Tests of contract changes and reads against the platform stand-in over loopback.

use std::{sync::Arc, time::Duration};

use contracts::{
    ContractEditor, ContractReader, ContractRow, ContractView, EditError, EditorSettings,
    HeadNumber,
};
use fastrand::Rng;
use kernel::SystemClock;
use model::{Contract, ContractState, ContractVersion, CustomerId};
use platform::{CallRate, ClientSettings, PlatformClient};
use serde_json::{json, Value};
use stand_ins::platform::{
    DownMode, ExpectedVersion, FaultSettings, LossTime, PlatformSettings, PlatformStandIn,
    RacingWrite, WriteRequest,
};

const V1: ContractVersion = ContractVersion(1);

struct TestStore {
    stand_in: PlatformStandIn,
    client: PlatformClient,
}

impl TestStore {
    fn start() -> Self {
        let stand_in = PlatformStandIn::start(PlatformSettings::default()).unwrap();
        let settings = ClientSettings {
            address: stand_in.address(),
            timeout: Duration::from_millis(300),
            read_rate: CallRate::per_second(100_000),
            write_rate: CallRate::per_second(100_000),
            ..ClientSettings::default()
        };
        let client = PlatformClient::new(settings, Arc::new(SystemClock));
        Self { stand_in, client }
    }

    fn editor(&self) -> ContractEditor {
        let settings = EditorSettings {
            time_limit: Duration::from_secs(1),
            max_head_conflicts: 200,
            ..EditorSettings::default()
        };
        ContractEditor::new(self.client.clone(), settings, Rng::new())
    }

    fn reader(&self) -> ContractReader {
        ContractReader::new(self.client.clone())
    }

    fn lose(&self, next: u32, when: LossTime) {
        self.stand_in.set_faults(FaultSettings::losing(next, when));
    }

    fn down(&self, down: DownMode) {
        self.stand_in.set_faults(FaultSettings::down(down));
    }
}

fn customer(name: &str) -> CustomerId {
    name.parse().unwrap()
}

fn with_concurrency(concurrency: u32) -> Contract {
    Contract {
        concurrency,
        ..Contract::default()
    }
}

async fn create(editor: &ContractEditor, name: &str, concurrency: u32) -> ContractRow {
    let (customer, contract) = (customer(name), with_concurrency(concurrency));
    editor.create(&customer, contract).await.unwrap()
}

async fn poll(reader: &ContractReader, view: &mut ContractView) {
    if let Some(update) = reader.poll(view.loaded_head()).await.unwrap() {
        view.apply(update);
    }
}

fn concurrency_of(view: &ContractView, name: &str) -> Option<u32> {
    view.get(&customer(name))
        .map(|(_, contract)| contract.concurrency)
}

#[actix_rt::test]
async fn a_contract_is_created_changed_and_retired() {
    let store = TestStore::start();
    let editor = store.editor();
    let trust = customer("trust");
    assert_eq!(editor.show(&trust).await, Ok(None));
    let made = create(&editor, "trust", 5).await;
    assert_eq!((made.version, made.head), (V1, HeadNumber(1)));
    create(&editor, "trust-2", 1).await;
    let changed = editor
        .change(&trust, V1, with_concurrency(7))
        .await
        .unwrap();
    assert_eq!(
        (changed.version, changed.head),
        (ContractVersion(2), HeadNumber(3))
    );
    let retired = editor.retire(&trust, ContractVersion(2)).await.unwrap();
    assert_eq!(retired.contract.state, ContractState::Retired);
    assert_eq!(retired.contract.concurrency, 7);

    assert_eq!(editor.show(&trust).await, Ok(Some(retired.clone())));
    let listed = editor.list(None, 10).await.unwrap();
    let names: Vec<_> = listed.iter().map(|row| row.customer.as_str()).collect();
    assert_eq!(names, ["trust", "trust-2"]);
    assert_eq!(editor.list(Some(&trust), 10).await.unwrap().len(), 1);
    let history = editor
        .history(&trust, ContractVersion(0), 10)
        .await
        .unwrap();
    let versions: Vec<_> = history.iter().map(|(_, row)| row.version.0).collect();
    assert_eq!(versions, [1, 2, 3]);
    assert_eq!(
        editor
            .history(&trust, ContractVersion(2), 10)
            .await
            .unwrap()
            .len(),
        1
    );
}

#[actix_rt::test]
async fn an_invalid_or_conflicting_change_is_rejected_without_a_write() {
    let store = TestStore::start();
    let editor = store.editor();
    let trust = customer("trust");
    let made = create(&editor, "trust", 5).await;
    let conflict = Err(EditError::Conflict(Box::new(made)));

    let wrong = editor.create(&customer("x"), with_concurrency(0)).await;
    assert!(
        matches!(wrong, Err(EditError::InvalidContract(_))),
        "{wrong:?}"
    );
    assert_eq!(editor.create(&trust, with_concurrency(6)).await, conflict);
    let older = editor
        .change(&trust, ContractVersion(0), with_concurrency(6))
        .await;
    assert_eq!(older, conflict);
    let newer = editor
        .change(&trust, ContractVersion(2), with_concurrency(6))
        .await;
    assert_eq!(newer, conflict);
    assert_eq!(editor.retire(&trust, ContractVersion(2)).await, conflict);
    let absent = editor.change(&customer("x"), V1, with_concurrency(6)).await;
    assert_eq!(absent, Err(EditError::NotFound));
    assert_eq!(
        editor.retire(&customer("x"), V1).await,
        Err(EditError::NotFound)
    );
    assert_eq!(store.stand_in.stats().transactions, 1);
}

#[actix_rt::test]
async fn a_change_with_a_lost_response_is_applied_once() {
    // The platform's answer is lost after the write took effect, before it, or with the write taking effect only after
    // the editor has read back. The operator must see one confirmed change. The editor recognises its own write by the
    // change id that it reads back; a second attempt conflicts with the rows of the first and has no effect.
    let cases = [
        ("after the write", 1, LossTime::AfterWrite),
        ("before the write", 1, LossTime::BeforeWrite),
        ("before the write, three times", 3, LossTime::BeforeWrite),
        ("lands at once", 1, LossTime::LandsLater(0)),
        ("lands while read back", 1, LossTime::LandsLater(8)),
        ("lands late, three times", 3, LossTime::LandsLater(60)),
    ];
    for (name, next, when) in cases {
        for first in [true, false] {
            let store = TestStore::start();
            let editor = store.editor();
            let trust = customer("trust");
            let mut version = 1;
            if !first {
                create(&editor, "trust", 5).await;
                version = 2;
            }
            store.lose(next, when);
            let made = match first {
                true => editor.create(&trust, with_concurrency(9)).await,
                false => editor.change(&trust, V1, with_concurrency(9)).await,
            };
            let made = made.unwrap_or_else(|e| panic!("{name}: {e}"));
            assert_eq!(made.version, ContractVersion(version), "{name}");
            // Long enough for every delayed write to arrive and take effect if it could.
            actix_rt::time::sleep(Duration::from_millis(120)).await;
            assert_eq!(editor.show(&trust).await, Ok(Some(made)), "{name}");
            let history = editor
                .history(&trust, ContractVersion(0), 10)
                .await
                .unwrap();
            assert_eq!(history.len() as u64, version, "{name}");
            assert_eq!(store.stand_in.stats().transactions, version, "{name}");
        }
    }
}

#[actix_rt::test]
async fn a_change_is_recognised_in_the_history_after_a_later_change() {
    // The answer to change 2 is lost after the change took effect, and another operator makes change 3 before the
    // editor reads back. The newest row then belongs to change 3, and only the history shows that change 2 was made.
    // If the editor reported a conflict, the first operator would repeat the change and overwrite the second one.
    let store = TestStore::start();
    let slow_retry = EditorSettings {
        max_retry_delay: Duration::from_millis(800),
        ..EditorSettings::default()
    };
    let editor = ContractEditor::new(store.client.clone(), slow_retry, Rng::new());
    let trust = customer("trust");
    create(&editor, "trust", 5).await;
    let other = store.editor();
    store.lose(1, LossTime::AfterWrite);
    let change = editor.change(&trust, V1, with_concurrency(9));
    let race = async {
        while store.stand_in.row("contracts", "trust").unwrap().version < 2 {
            actix_rt::time::sleep(Duration::from_micros(200)).await;
        }
        other
            .change(&trust, ContractVersion(2), with_concurrency(1))
            .await
    };
    // The first editor waits for at least 400 ms before it reads back; the other change takes about 10 ms.
    let (first, second) = futures::future::join(change, race).await;
    assert_eq!(first.unwrap().version, ContractVersion(2));
    assert_eq!(second.unwrap().version, ContractVersion(3));
    let newest = editor.show(&trust).await.unwrap().unwrap();
    assert_eq!(newest.contract.concurrency, 1);
}

#[actix_rt::test]
async fn one_of_several_concurrent_changes_succeeds_and_the_others_conflict() {
    // Eight operators change version 1 at once while half of the answers are lost. One change must succeed. Each
    // other operator must get a conflict with the winner's row, and the winner's contract must stay in place.
    for seed in 0..5 {
        let store = TestStore::start();
        let trust = customer("trust");
        create(&store.editor(), "trust", 100).await;
        store
            .stand_in
            .set_faults(FaultSettings::losing_part(0.5, seed));
        let changes = (1..=8).map(|operator| {
            let (editor, trust) = (store.editor(), trust.clone());
            async move { editor.change(&trust, V1, with_concurrency(operator)).await }
        });
        let ends = futures::future::join_all(changes).await;
        let winners: Vec<_> = ends.iter().filter_map(|end| end.as_ref().ok()).collect();
        assert_eq!(winners.len(), 1, "seed {seed}: {ends:?}");
        for end in &ends {
            match end {
                Ok(_) => {}
                Err(EditError::Conflict(row)) => assert_eq!(&**row, winners[0], "seed {seed}"),
                other => panic!("seed {seed}: {other:?}"),
            }
        }
        let current = store.editor().show(&trust).await.unwrap();
        assert_eq!(current.as_ref(), Some(winners[0]), "seed {seed}");
    }
}

#[actix_rt::test]
async fn concurrent_changes_of_different_contracts_all_succeed() {
    // Eight operators create eight contracts at once. All changes write the single head row, so most attempts conflict
    // on it and are retried. No operator may see a conflict, and no head number may be used twice.
    let store = TestStore::start();
    let changes = (0..8).map(|n| {
        let editor = store.editor();
        async move {
            editor
                .create(&customer(&format!("c{n}")), with_concurrency(1))
                .await
        }
    });
    let mut heads = Vec::new();
    for end in futures::future::join_all(changes).await {
        heads.push(end.unwrap().head.0);
    }
    heads.sort_unstable();
    assert_eq!(heads, [1, 2, 3, 4, 5, 6, 7, 8]);
    println!("8 creates at once: {:?}", store.stand_in.stats());
}

#[actix_rt::test]
async fn repeated_head_conflicts_end_in_contended_without_a_write() {
    // The head row changes before every transaction. Within the retry limit the operator must get Contended, which
    // says that nothing was written, and not Uncertain.
    let store = TestStore::start();
    let race = RacingWrite::before("contract-head", "head", u32::MAX, vec![head_write(4)]);
    store.stand_in.set_faults(FaultSettings::racing(race));
    let settings = EditorSettings {
        max_head_conflicts: 3,
        ..EditorSettings::default()
    };
    let editor = ContractEditor::new(store.client.clone(), settings, Rng::new());
    let end = editor.create(&customer("x"), with_concurrency(1)).await;
    assert_eq!(end, Err(EditError::Contended));
    assert_eq!(store.stand_in.stats().conflicts, 4);
    assert_eq!(store.stand_in.row("contracts", "x"), None);
}

#[actix_rt::test]
async fn a_failing_store_reports_whether_the_change_may_have_been_written() {
    // An operator changes a contract while the store fails. If nothing can have been written, the error says so at
    // once; if a write was sent and its outcome is unknown, the error names the version and the change to look for.
    #[derive(Debug, PartialEq, Eq)]
    enum ReportedError {
        Unavailable,
        Uncertain,
    }
    let cases = [
        (DownMode::Unavailable, ReportedError::Unavailable),
        (DownMode::Closed, ReportedError::Unavailable),
        (DownMode::WritesUnavailable, ReportedError::Uncertain),
    ];
    for (mode, expected) in cases {
        let store = TestStore::start();
        let editor = store.editor();
        let trust = customer("trust");
        create(&editor, "trust", 5).await;
        store.down(mode);
        let reported = match editor.change(&trust, V1, with_concurrency(6)).await {
            Err(EditError::Unavailable(_)) => ReportedError::Unavailable,
            Err(EditError::Uncertain { version, .. }) => {
                assert_eq!(version, ContractVersion(2));
                ReportedError::Uncertain
            }
            other => panic!("{mode:?}: {other:?}"),
        };
        assert_eq!(reported, expected, "{mode:?}");
        store.down(DownMode::Up);
        let made = editor.change(&trust, V1, with_concurrency(6)).await;
        assert_eq!(made.unwrap().version, ContractVersion(2), "{mode:?}");
    }
}

#[actix_rt::test]
async fn the_cost_of_a_poll_does_not_grow_with_the_number_of_contracts() {
    // A process with 10, 200 or 1,200 contracts polls after no change, one change and three changes. Each poll must
    // cost the same reads and rows whatever the number of contracts. Otherwise the polls of all data centres would use
    // up the store's read capacity as the number of customers grows.
    let mut costs = Vec::new();
    for contracts in [10, 200, 1200] {
        let store = TestStore::start();
        fill(&store.stand_in, contracts);
        let (reader, editor) = (store.reader(), store.editor());
        let mut view = ContractView::default();
        poll(&reader, &mut view).await;
        assert_eq!(view.rows().count() as u64, contracts);
        assert!(view.is_ready());

        let mut cost = Vec::new();
        for changes in [0, 1, 3] {
            for n in 0..changes {
                let name = customer(&format!("c{n:04}"));
                let version = editor.show(&name).await.unwrap().unwrap().version;
                editor
                    .change(&name, version, with_concurrency(77))
                    .await
                    .unwrap();
            }
            let before = store.stand_in.stats();
            poll(&reader, &mut view).await;
            let after = store.stand_in.stats();
            cost.push((
                after.reads - before.reads,
                after.rows_read - before.rows_read,
            ));
        }
        assert_eq!(concurrency_of(&view, "c0002"), Some(77));
        assert_eq!(view.head(), HeadNumber(contracts + 4));
        println!("{contracts} contracts: (reads, rows) for 0, 1, 3 changes: {cost:?}");
        costs.push(cost);
    }
    assert_eq!(costs[0], [(1, 1), (2, 2), (2, 4)]);
    assert_eq!(costs[0], costs[1]);
    assert_eq!(costs[0], costs[2]);
}

fn row_write(table: &str, key: &str, value: Value) -> WriteRequest {
    WriteRequest {
        table: table.into(),
        key: key.into(),
        expect: ExpectedVersion::Any,
        value,
    }
}

fn head_write(head: u64) -> WriteRequest {
    row_write("contract-head", "head", json!({ "head": head }))
}

/// Writes the rows that an editor would have written for this many contracts, in one transaction.
fn fill(stand_in: &PlatformStandIn, contracts: u64) {
    let mut writes = Vec::new();
    for n in 0..contracts {
        let (name, head) = (format!("c{n:04}"), n + 1);
        let value = json!({
            "customer": name, "version": 1, "head": head, "contract": {}, "change": "1",
        });
        let rows = [
            ("contracts", name.clone()),
            ("contract-history", format!("{name}/{:020}", 1)),
            ("contract-log", format!("{head:020}")),
        ];
        for (table, key) in rows {
            writes.push(row_write(table, &key, value.clone()));
        }
    }
    writes.push(head_write(contracts));
    stand_in.write_now(writes).unwrap();
}

#[actix_rt::test]
async fn a_view_far_behind_or_a_gap_in_the_log_leads_to_a_full_read() {
    // A process was disconnected for more than 2,000 changes, or a row of the log is missing. If the log's rows were
    // taken as complete, a contract would stay outdated forever. The reader must read all contracts instead and end
    // at the head.
    let store = TestStore::start();
    fill(&store.stand_in, 600);
    let reader = store.reader();
    let poll = |known| {
        let reader = reader.clone();
        async move {
            let update = reader.poll(Some(HeadNumber(known))).await.unwrap().unwrap();
            (update.since.0, update.head.0, update.rows.len())
        }
    };
    assert_eq!(poll(1).await, (1, 600, 599), "from the log, in two pages");

    // The head advances without a row in the log.
    store.stand_in.write_now(vec![head_write(602)]).unwrap();
    assert_eq!(poll(590).await, (0, 602, 600));

    // The log has a later row, but the two rows in between are missing.
    let value = json!({
        "customer": "c0000", "version": 2, "head": 603, "contract": {}, "change": "2",
    });
    let later = row_write("contract-log", &format!("{:020}", 603), value);
    let writes = vec![later, head_write(603)];
    store.stand_in.write_now(writes).unwrap();
    assert_eq!(poll(590).await, (0, 603, 600));

    store.stand_in.write_now(vec![head_write(3000)]).unwrap();
    assert_eq!(poll(590).await, (0, 3000, 600));
}

#[actix_rt::test]
async fn failed_polls_leave_the_view_unchanged() {
    // The store goes down, comes back with an older head, or holds a row that cannot be decoded. The view must keep
    // its contracts, and its head must never advance past a change that it does not know.
    let store = TestStore::start();
    let (reader, editor) = (store.reader(), store.editor());
    create(&editor, "a", 1).await;
    create(&editor, "b", 2).await;
    let mut view = ContractView::default();
    poll(&reader, &mut view).await;

    for mode in [DownMode::Unavailable, DownMode::Closed] {
        store.down(mode);
        assert!(reader.poll(view.loaded_head()).await.is_err());
    }
    store.down(DownMode::Up);

    store.stand_in.write_now(vec![head_write(1)]).unwrap();
    assert_eq!(reader.poll(view.loaded_head()).await, Ok(None));

    let value = json!({"customer": "a", "version": 2});
    let broken = row_write("contract-log", &format!("{:020}", 3), value);
    let writes = vec![broken, head_write(3)];
    store.stand_in.write_now(writes).unwrap();
    let error = reader.poll(view.loaded_head()).await.unwrap_err();
    let text = error.to_string();
    assert!(
        text.contains("00000000000000000003 of contract-log"),
        "{text}"
    );
    assert_eq!(view.head(), HeadNumber(2));
    assert_eq!(concurrency_of(&view, "b"), Some(2));
}
