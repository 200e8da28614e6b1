//! Each invariant check passes on a good record and reports a record with a violation made by hand.

use std::time::Duration;

use model::{AttemptId, ContractVersion, IncarnationId, SubmissionId};
use scenario::{
    invariants::{check_invariants, InvariantLimits},
    record::{
        AnswerRecord, ExitCause, ExitRecord, RunRecord, SubmissionRecord, VersionObservation,
    },
    script::AnswerStatus,
};
use stand_ins::endpoint::{digest, EndpointRecord, RunEnd, StartRecord};

fn submission_id(serial: u64) -> SubmissionId {
    SubmissionId {
        incarnation: IncarnationId(1),
        serial,
    }
}

fn payload(label: &str) -> Vec<u8> {
    format!(r#"{{"run_ms":5,"label":"{label}"}}"#).into_bytes()
}

fn start(serial: u64, task: u32, attempt: u32, label: &str) -> StartRecord {
    let payload = payload(label);
    StartRecord {
        order: 0,
        attempt: AttemptId {
            submission: submission_id(serial),
            task,
            attempt,
        },
        customer: "c1".parse().unwrap(),
        kind: "k".parse().unwrap(),
        digest: digest(&payload),
        payload: Some(String::from_utf8(payload).unwrap()),
        started_ms: 0,
        started_us: 0,
        ended_us: Some(5_000),
        leaving_for_ms: None,
        end: Some(RunEnd::Done),
    }
}

fn answer(serial: u64, status: AnswerStatus) -> AnswerRecord {
    AnswerRecord {
        id: Some(submission_id(serial)),
        status,
        reason: String::new(),
        results: Vec::new(),
        version: None,
    }
}

fn endpoint(name: &str, starts: Vec<StartRecord>) -> EndpointRecord {
    EndpointRecord {
        id: name.parse().unwrap(),
        now_ms: 0,
        slots: 8,
        age_us: 10_000,
        most_running: 1,
        running: 0,
        leaving: false,
        starts,
        refusals: Vec::new(),
    }
}

/// A record without violations: a completed job of two tasks and a completed request.
fn good_record() -> RunRecord {
    let job = SubmissionRecord {
        group: "j1".to_owned(),
        name: "j1".to_owned(),
        customer: "c1".parse().unwrap(),
        request: false,
        run_label: "j1".to_owned(),
        payloads: vec![payload("j1#0"), payload("j1#1")],
        deadline: Duration::from_secs(1),
        via: "east-vm1".to_owned(),
        answer: Some(AnswerRecord {
            results: vec![payload("j1#0"), payload("j1#1")],
            ..answer(1, AnswerStatus::Complete)
        }),
        sent: Duration::ZERO,
        took: Duration::from_millis(20),
        entry_down: false,
    };
    let request = SubmissionRecord {
        group: "r1".to_owned(),
        name: "r1".to_owned(),
        request: true,
        run_label: "k1".to_owned(),
        payloads: vec![payload("k1#0")],
        answer: Some(AnswerRecord {
            results: vec![payload("k1#0")],
            ..answer(2, AnswerStatus::Complete)
        }),
        ..job.clone()
    };
    RunRecord {
        submissions: vec![job, request],
        endpoints: vec![
            endpoint(
                "east-e1",
                vec![start(1, 0, 0, "j1#0"), start(2, 0, 0, "k1#0")],
            ),
            endpoint("east-e2", vec![start(1, 1, 1, "j1#1")]),
        ],
        observations: Vec::new(),
        exits: Vec::new(),
    }
}

/// Changes the good record and compares the violations found, as sorted lines.
fn check(change: impl FnOnce(&mut RunRecord), expect: &[&str]) {
    let mut record = good_record();
    change(&mut record);
    let mut found = Vec::new();
    for broken in check_invariants(&record, &InvariantLimits::default()) {
        found.push(broken.to_string());
    }
    found.sort();
    assert_eq!(found, expect);
}

fn observation(vm: &str, version: u64) -> VersionObservation {
    VersionObservation {
        vm: vm.to_owned(),
        customer: "c1".parse().unwrap(),
        version: ContractVersion(version),
    }
}

fn exit(cause: ExitCause, code: Option<i32>) -> ExitRecord {
    ExitRecord {
        process: "east-vm1 entry".to_owned(),
        cause,
        code,
    }
}

#[test]
fn nothing_is_found_in_a_good_record() {
    check(|_| (), &[]);
}

#[test]
fn a_task_that_started_twice_is_found_across_endpoints() {
    check(
        |record| record.endpoints[0].starts.push(start(1, 1, 2, "j1#1")),
        &["task 1 of 0000000000000001-1 started 2 times: 0000000000000001-1.1.2, 0000000000000001-1.1.1"],
    );
}

// Two submissions with the same key reach two entries and both start, so a non-idempotent request runs twice. Each task
// of each submission started once, so only the label in the payload shows the second run.
#[test]
fn a_request_that_ran_under_two_submissions_is_found() {
    check(
        |record| record.endpoints[1].starts.push(start(3, 0, 0, "k1#0")),
        &["request k1 ran 2 times: 0000000000000001-2.0.0, 0000000000000001-3.0.0"],
    );
}

#[test]
fn a_job_resubmitted_under_another_id_may_run_again() {
    check(
        |record| record.endpoints[1].starts.push(start(3, 0, 0, "j1#0")),
        &[],
    );
}

#[test]
fn swapped_results_are_found() {
    check(
        |record| {
            record.submissions[0]
                .answer
                .as_mut()
                .unwrap()
                .results
                .swap(0, 1)
        },
        &[
            "j1 is complete, but result 0 is not its task's",
            "j1 is complete, but result 1 is not its task's",
        ],
    );
}

#[test]
fn a_missing_result_is_found() {
    check(
        |record| {
            record.submissions[0].answer.as_mut().unwrap().results.pop();
        },
        &["j1 is complete, but gives 1 results for 2 tasks"],
    );
}

#[test]
fn a_complete_answer_without_a_run_is_found() {
    check(
        |record| record.endpoints[1].starts[0].end = None,
        &["j1 is complete, but task 1 never ran to its end"],
    );
}

#[test]
fn partial_results_are_found() {
    check(
        |record| {
            let answer = record.submissions[0].answer.as_mut().unwrap();
            answer.status = AnswerStatus::Failed;
            answer.results.pop();
        },
        &["j1 is not complete, but gives 1 results"],
    );
}

#[test]
fn a_refused_submission_that_started_is_found_by_its_id() {
    check(
        |record| record.submissions[1].answer = Some(answer(2, AnswerStatus::Refused)),
        &["r1 was refused (), but 0000000000000001-2.0.0 started"],
    );
}

#[test]
fn a_refused_submission_that_started_is_found_by_its_payload() {
    check(
        |record| {
            record.submissions[1].answer = Some(AnswerRecord {
                id: None,
                reason: "overloaded".to_owned(),
                ..answer(2, AnswerStatus::Refused)
            });
        },
        &["r1 was refused (overloaded), but 0000000000000001-2.0.0 started"],
    );
}

// r1 runs; its retry r2, with the same key and body, is refused before it could be recorded. The refusal is about r2,
// which has its own submission id and did not run.
#[test]
fn a_refused_retry_of_a_request_that_ran_is_no_violation() {
    check(
        |record| {
            let mut retry = record.submissions[1].clone();
            retry.name = "r2".to_owned();
            retry.answer = Some(answer(9, AnswerStatus::Refused));
            record.submissions.push(retry);
        },
        &[],
    );
}

#[test]
fn a_late_answer_and_a_missing_one_are_found() {
    check(
        |record| {
            record.submissions[0].took = Duration::from_millis(2500);
            record.submissions[1].answer = None;
        },
        &[
            "j1, due in 1s, was answered after 2.5s",
            "r1, due in 1s, has no answer after 20ms",
        ],
    );
}

#[test]
fn an_answer_lost_with_its_entry_is_no_violation_and_one_lost_otherwise_is_found() {
    check(
        |record| {
            record.submissions[0].answer = Some(answer(1, AnswerStatus::Lost));
            record.submissions[1].answer = Some(answer(2, AnswerStatus::Lost));
            record.submissions[1].entry_down = true;
        },
        &["j1 lost its answer without cause: "],
    );
}

#[test]
fn a_start_long_after_leaving_is_found() {
    check(
        |record| {
            record.endpoints[0].starts[0].leaving_for_ms = Some(1999);
            record.endpoints[0].starts[1].leaving_for_ms = Some(2001);
        },
        &["0000000000000001-2.0.0 started on an endpoint that had been leaving for 2001 ms"],
    );
}

#[test]
fn a_version_that_goes_back_at_one_entry_is_found() {
    check(
        |record| {
            record.observations = vec![
                observation("east-vm1", 1),
                observation("east-vm1", 3),
                observation("east-vm2", 2),
                observation("east-vm2", 2),
                observation("east-vm1", 2),
                observation("east-vm1", 3),
            ];
        },
        &["east-vm1 showed version 2 of c1's contract after version 3"],
    );
}

// A job is accepted under an older contract than the job before it. A job under version 3 is answered; of two more jobs
// to the same entry, one was sent before that answer and one after it. Only the later one shows that the entry went
// back to an older version.
#[test]
fn a_job_accepted_under_an_older_contract_is_found() {
    let later = |record: &RunRecord, name: &str, sent, version| {
        let mut job = record.submissions[0].clone();
        job.name = name.to_owned();
        job.sent = Duration::from_millis(sent);
        job.answer.as_mut().unwrap().version = Some(ContractVersion(version));
        job
    };
    check(
        |record| {
            record.submissions[0] = later(record, "j1", 0, 3);
            record.submissions.push(later(record, "during", 19, 1));
            record.submissions.push(later(record, "after", 20, 2));
        },
        &["east-vm1 showed version 2 of c1's contract after version 3"],
    );
}

#[test]
fn a_wrong_exit_is_found() {
    let cases = [
        (ExitCause::Terminated, Some(0), None),
        (ExitCause::Killed, None, None),
        (
            ExitCause::Terminated,
            Some(1),
            Some("east-vm1 entry ended with code Some(1) (Terminated)"),
        ),
        (
            ExitCause::Terminated,
            None,
            Some("east-vm1 entry ended with code None (Terminated)"),
        ),
        (
            ExitCause::Unrequested,
            Some(0),
            Some("east-vm1 entry ended with code Some(0) (Unrequested)"),
        ),
    ];
    for (cause, code, expect) in cases {
        let expect: Vec<_> = expect.into_iter().collect();
        check(|record| record.exits.push(exit(cause, code)), &expect);
    }
}
