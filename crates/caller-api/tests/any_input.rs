//! Property tests of request parsing: arbitrary bytes never cause a panic, and an accepted body holds what was sent.

use base64::{engine::general_purpose::STANDARD, Engine as _};
use caller_api::{read_job, read_request, InputError};
use model::{SubmissionBody, MAX_PAYLOAD_BYTES};
use proptest::{
    collection::vec,
    prelude::{any, prop_oneof, Just, ProptestConfig, Strategy},
    proptest,
    sample::Index,
};
use serde_json::{json, Value};

const CASES: u32 = 2_000;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9),
        ..ProptestConfig::default()
    }
}

/// One random edit of a body.
#[derive(Clone, Debug)]
enum Mutation {
    Set(Index, u8),
    Insert(Index, Vec<u8>),
    Remove(Index),
    Cut(Index),
    Double(Index, Index),
}

impl Mutation {
    fn apply(&self, text: &mut Vec<u8>) {
        if text.is_empty() {
            return;
        }
        let length = text.len();
        match self {
            Self::Set(at, byte) => text[at.index(length)] = *byte,
            Self::Insert(at, bytes) => {
                let at = at.index(length);
                text.splice(at..at, bytes.iter().copied());
            }
            Self::Remove(at) => {
                text.remove(at.index(length));
            }
            Self::Cut(at) => text.truncate(at.index(length)),
            Self::Double(from, to) => {
                let (from, to) = (from.index(length), to.index(length));
                let part = text[from.min(to)..from.max(to)].to_vec();
                text.splice(from.min(to)..from.min(to), part);
            }
        }
    }
}

fn mutation() -> impl Strategy<Value = Mutation> {
    let token = prop_oneof![
        vec(any::<u8>(), 1..4),
        Just(b"{".to_vec()),
        Just(b"[".to_vec()),
        Just(b"null".to_vec()),
        Just(b"1e999".to_vec()),
        Just(b"\\ud800".to_vec()),
        Just(b"\"tasks\":".to_vec()),
    ];
    prop_oneof![
        (any::<Index>(), any::<u8>()).prop_map(|(at, byte)| Mutation::Set(at, byte)),
        (any::<Index>(), token).prop_map(|(at, bytes)| Mutation::Insert(at, bytes)),
        any::<Index>().prop_map(Mutation::Remove),
        any::<Index>().prop_map(Mutation::Cut),
        any::<(Index, Index)>().prop_map(|(from, to)| Mutation::Double(from, to)),
    ]
}

fn task() -> impl Strategy<Value = Value> {
    let payload = vec(any::<u8>(), 0..40).prop_map(|bytes| STANDARD.encode(bytes));
    let hints = any::<(Option<u64>, Option<u64>)>();
    ("[a-z]{1,8}", payload, hints).prop_map(|(kind, payload, (run, size))| {
        json!({
            "kind": kind,
            "payload": payload,
            "declared_run_ms": run,
            "declared_bytes": size.map(|size| size >> 30),
        })
    })
}

fn job() -> impl Strategy<Value = Value> {
    let deadline = any::<Option<u64>>();
    (vec(task(), 0..5), deadline).prop_map(|(tasks, deadline)| {
        json!({ "customer": "school", "deadline_ms": deadline, "tasks": tasks })
    })
}

fn request() -> impl Strategy<Value = Value> {
    (task(), any::<Option<u64>>()).prop_map(|(task, ticket)| {
        let ticket = ticket.map(|serial| format!("t00000000000000ff-{serial:x}"));
        json!({ "customer": "school", "task": task, "ticket": ticket })
    })
}

/// The task payloads of an accepted body, parsed without the types of the crate under test.
fn sent_payloads(raw: &[u8]) -> Vec<Vec<u8>> {
    let value: Value = serde_json::from_slice(raw).expect("accepted, so it is JSON");
    let single = value.get("task").into_iter();
    let many = value.get("tasks").and_then(Value::as_array).into_iter();
    let mut payloads = Vec::new();
    for task in single.chain(many.flatten()) {
        let text = task["payload"].as_str().expect("a text");
        payloads.push(STANDARD.decode(text).expect("base64"));
    }
    payloads
}

fn check(raw: &[u8], read: Result<(SubmissionBody, u64), InputError>) -> bool {
    let (body, _) = match read {
        Ok(accepted) => accepted,
        Err(error) => {
            assert!(!error.field.is_empty() && !error.message.is_empty());
            return false;
        }
    };
    assert!(!body.tasks.is_empty());
    assert!(body.deadline.is_none_or(|deadline| !deadline.is_zero()));
    let mut payloads = Vec::new();
    for task in &body.tasks {
        assert!(task.payload.size() <= MAX_PAYLOAD_BYTES);
        payloads.push(task.payload.0.to_vec());
    }
    assert_eq!(payloads, sent_payloads(raw));
    true
}

fn check_both(raw: &[u8], key: Option<&str>) -> bool {
    let job = check(raw, read_job(raw));
    check(raw, read_request(raw, key)) || job
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_bytes_are_read_without_a_panic(
        raw in vec(any::<u8>(), 0..200),
        key in any::<Option<String>>(),
    ) {
        check_both(&raw, key.as_deref());
    }

    #[test]
    fn valid_bodies_are_accepted(job in job(), request in request()) {
        let invalid = job["tasks"] == json!([]) || job["deadline_ms"] == json!(0);
        let raw = job.to_string();
        assert_eq!(check(raw.as_bytes(), read_job(raw.as_bytes())), !invalid);
        let raw = request.to_string();
        assert!(check(raw.as_bytes(), read_request(raw.as_bytes(), None)));
    }

    #[test]
    fn an_accepted_mutated_body_is_read_unchanged(
        valid in prop_oneof![job(), request()],
        mutations in vec(mutation(), 1..4),
        key in proptest::option::of("[a-z ]{0,70}"),
    ) {
        let mut raw = valid.to_string().into_bytes();
        for mutation in &mutations {
            mutation.apply(&mut raw);
        }
        check_both(&raw, key.as_deref());
    }
}
