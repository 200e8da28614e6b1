//! Rows of kept jobs that another build has written, or will read. During a rolling update both builds run side by side.

use jobs::{KeptRow, KeptState, WriteId};
use serde::Deserialize;

/// A row as a build without write ids and numbers of first runs stores it.
const FORMER_ROW: &str = r#"{"home":"east/0","writer":7,"revision":1005,"state":"running","text":"text","steps":[],
    "progress":[{"done":[1],"failed":[[0,9]]}],"service":"svc","route":"r-1","priority":0,"attempts":3,"stretch":1.6,
    "goal":{"secs":0,"nanos":60000000}}"#;

/// The fields by which a build without write ids tells writes apart, and those that it acts on.
#[derive(Debug, Deserialize, PartialEq)]
struct FormerRow {
    home: String,
    writer: u64,
    revision: u64,
    state: KeptState,
    progress: Vec<FormerRecord>,
}

#[derive(Debug, Deserialize, PartialEq)]
struct FormerRecord {
    done: Vec<u32>,
    failed: Vec<(u32, u64)>,
}

fn former_row() -> KeptRow {
    serde_json::from_str(FORMER_ROW).unwrap()
}

/// Guards against jobs that nobody can read after an update, and against a row of the former build that is taken for one's
/// own write.
#[test]
fn rows_of_the_former_build_are_read_and_name_no_write() {
    let row = former_row();
    assert_eq!(row.progress[0].done, [1]);
    assert_eq!(row.write, None);
    assert_eq!(row.first_run, 0);
}

/// Guards against jobs that a process of the former build cannot read while the others are updated.
#[test]
fn the_former_build_reads_rows_with_new_fields() {
    let row = KeptRow {
        write: Some(WriteId(u64::MAX)),
        first_run: 1_005,
        ..former_row()
    };
    let text = serde_json::to_string(&row).unwrap();
    let read: FormerRow = serde_json::from_str(&text).unwrap();
    assert_eq!(read, serde_json::from_str(FORMER_ROW).unwrap());
    assert_eq!(serde_json::from_str::<KeptRow>(&text).unwrap(), row);
}
