//! The scenario language: how each line is parsed, and the errors for invalid lines.

use scenario::{parse_script, script::Statement, ScriptError};

const SETUP: &str = "data-centre east vms 1 endpoints 1 slots 1\n";

/// The debug output of one parsed line.
fn parsed(line: &str) -> String {
    let script = parse_script(&format!("{SETUP}{line}")).unwrap();
    match &script.lines[1].statement {
        Statement::Setup(setup) => format!("{setup:?}"),
        Statement::Step(step) => format!("{step:?}"),
    }
}

/// Checks the error of one line after the set-up line.
fn check_error(line: &str, expect: &str) {
    let error = parse_script(&format!("{SETUP}{line}")).unwrap_err();
    let ScriptError::Syntax {
        line: number,
        column,
        expected,
        ..
    } = error
    else {
        panic!("{line}: {error}");
    };
    assert_eq!(number, 2, "{line}");
    assert_eq!(format!("{column}: {expected}"), expect, "{line}");
}

#[test]
fn every_statement() {
    let lines = [
        "seed 7",
        "data-centre rajkot-east vms 2 endpoints 3 slots 8",
        "contract c1",
        "contract c1 concurrency 4 answer-within-ms 2000 may-refuse nothing",
        "setting entry drain.notice_ms 200",
        "setting dispatcher peers []",
        "start all",
        "start vm east-vm1 unready",
        "ticket t1 customer c1",
        "ticket t1 customer c1 via east-vm1",
        "submit job j1 customer c1 tasks 5 run-ms 80 deadline-ms 5000",
        "submit job j1 customer c1 tasks 5 run-ms 80 deadline-ms 5000 declared-ms 9 fail-task 3 times 50 every-ms 10 via east-vm1",
        "submit request r1 customer c1 plain run-ms 50 deadline-ms 2000",
        "submit request r1 customer c1 key k1 run-ms 50 deadline-ms 2000 variant 2",
        "submit request r1 customer c1 ticket t1 run-ms 50 deadline-ms 2000",
        "cancel j1",
        "change ch1 customer c1 concurrency 10 via east-vm1",
        "change ch1 customer c1 state retired",
        "kill vm east-vm1",
        "kill entry east-vm1",
        "terminate dispatcher east-vm1",
        "freeze all",
        "thaw vm east-vm1",
        "cut east-vm1 platform",
        "cut east-vm1 east-e1 refuse",
        "cut-one-way east west",
        "delay east west 3ms",
        "reset east-vm1 east-vm2",
        "heal",
        "platform up",
        "platform down",
        "platform closed",
        "platform read-only",
        "platform slow 500ms",
        "platform stale 5s",
        "platform lose-answers 3",
        "platform race c1 2",
        "endpoint east-e1 leave",
        "endpoint east-e1 stop",
        "endpoint east-e1 fault healthy",
        "endpoint east-e1 fault fail-all",
        "endpoint east-e1 fault busy next 3",
        "endpoint east-e1 fault leaving",
        "endpoint east-e1 fault slow 2.5",
        "endpoint east-e1 fault wrong-attempt",
        "endpoint east-e1 fault no-attempt",
        "endpoint east-e1 fault cut-answer",
        "endpoint east-e1 fault cut-chunks",
        "endpoint east-e1 fault close-after-start",
        "endpoint east-e1 fault close-at-start",
        "endpoint east-e1 fault redirect",
        "endpoint east-e1 fault server-error",
        "endpoint east-e1 fault silent-ms 100 next 1",
        "endpoint east-e1 fault late-ms 100",
        "endpoint east-e1 fault crossed-ms 500 next 2",
        "wait until running at-least 3 within 10s",
        "wait until running exactly 0 on east-e1 within 500ms",
        "wait until started j1 at-least 1 within 1s",
        "wait until answered j1 within 1s",
        "wait until answered j1 at-least 5 within 1s",
        "wait until ready all within 1s",
        "wait until unready entry east-vm1 within 1s",
        "wait until live all within 1s",
        "wait until exited vm east-vm1 within 1s",
        "wait until entries answer c1 complete within 5s",
        "wait until entries answer c1 refused retired_customer within 5s",
        "expect j1 complete",
        "expect j1 failed task_failed",
        "expect j1 complete or refused overloaded or lost",
        "expect j1 at-least 30 complete",
        "expect starts j1 exactly 5",
        "expect peak c1 at-most 5",
        "expect turned-away exactly 0",
        "expect peak c1 at-most 5 from j1",
        "expect same-answer r1 r2",
        "expect changes ch1 accepted",
        "expect changes ch1 ch2 exactly 1 accepted",
        "expect changes ch1 ch2 accepted or conflict or failed or unknown",
    ];
    let mut text = String::new();
    for line in lines {
        text.push_str(&format!("{line}\n    {}\n", parsed(line)));
    }
    insta::assert_snapshot!(text);
}

#[test]
fn blank_lines_and_comments_are_skipped_but_counted() {
    let text =
        "# A comment.\n\n  data-centre east vms 1 endpoints 1 slots 1  # one of each\nstart all\n";
    let script = parse_script(text).unwrap();
    let lines: Vec<_> = script
        .lines
        .iter()
        .map(|line| (line.number, line.text.as_str()))
        .collect();
    let expect = [
        (3, "data-centre east vms 1 endpoints 1 slots 1"),
        (4, "start all"),
    ];
    assert_eq!(lines, expect);
}

#[test]
fn syntax_errors_name_the_column_and_what_is_expected() {
    check_error("restart all", "1: expected a statement");
    check_error("kill", "5: expected all, vm, entry or dispatcher");
    check_error("kill vm", "8: expected a VM");
    check_error("kill east-vm1", "6: expected all, vm, entry or dispatcher");
    check_error("start all now", "11: not expected here");
    check_error(
        "submit job j1 customer c1 tasks five run-ms 1 deadline-ms 1",
        "33: expected a number",
    );
    check_error(
        "submit job j1 customer c1 run-ms 1 deadline-ms 1",
        "27: expected `tasks`",
    );
    check_error(
        "submit request r1 customer c1 run-ms 1 deadline-ms 1",
        "31: expected plain, key or ticket",
    );
    check_error(
        "submit job j1 customer c/1 tasks 1 run-ms 1 deadline-ms 1",
        "24: expected a customer",
    );
    check_error("contract c1 concurrency", "24: expected its value");
    check_error(
        "contract c1 concurrency 0",
        "26: expected fields and values of a contract, in range",
    );
    check_error(
        "contract c1 speed 10",
        "21: expected fields and values of a contract, in range",
    );
    check_error(
        "contract c1 concurrency 4 concurrency 5",
        "40: expected fields and values of a contract, in range",
    );
    check_error("platform slow 5", "16: expected a time like 500ms or 10s");
    check_error("endpoint e1 fault sleepy", "19: expected a fault");
    check_error(
        "wait until running within 1s",
        "20: expected at-least, at-most or exactly, and a number",
    );
    check_error("wait until ready all", "21: expected `within`");
    check_error(
        "expect j1",
        "10: expected complete, failed, refused, unknown or lost",
    );
    check_error(
        "expect j1 completed",
        "11: expected complete, failed, refused, unknown or lost",
    );
    check_error(
        "expect changes ch1 done",
        "24: expected accepted, conflict, failed or unknown",
    );
}

#[test]
fn setup_after_a_step_is_rejected() {
    let error = parse_script(&format!("{SETUP}start all\nseed 7")).unwrap_err();
    assert_eq!(error, ScriptError::LateSetup(3));
}

#[test]
fn a_script_without_a_data_centre_is_rejected() {
    assert_eq!(
        parse_script("seed 7").unwrap_err(),
        ScriptError::NoDataCentre
    );
}
