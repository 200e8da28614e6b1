//! Checks log lines on standard error. Each case runs in a child process of this program, since a process has only one
//! logger.

use std::{
    env,
    process::{Command, Stdio},
};

use telemetry::{init_logs, LogLevel, LogPart, LogSettings};

const CHILD_CASE: &str = "LOG_CASE";

fn main() {
    if let Ok(case) = env::var(CHILD_CASE) {
        return log_case(&case);
    }
    text_lines_carry_the_prefix_of_their_part();
    json_lines_carry_the_part();
    levels_apply_per_part_and_can_change();
    repeated_messages_are_limited_and_counted();
    a_second_init_changes_nothing();
    a_logger_set_by_other_code_is_an_error();
    a_closed_stderr_does_not_end_the_process();
    println!("logs: 7 cases passed");
}

/// Runs one case in the child process.
fn log_case(case: &str) {
    let mut settings = LogSettings {
        per_kind_per_second: 3,
        ..LogSettings::default()
    };
    match case {
        "text" => {
            init_logs(&settings).unwrap();
            log::info!(target: "entry::core", "Contract 3 in force");
            log::warn!(target: "endpoint_client", "Endpoint e1 is slow");
            log::info!(target: "actix_server", "a library's chatter");
            log::error!(target: "actix_server", "a library's error");
            log::info!(target: "entry", "two\nlines");
            log::info!(target: "entry", "entry: its own prefix");
            log::info!(target: "entry", "peer: another's prefix");
        }
        "json" => {
            settings.json = true;
            init_logs(&settings).unwrap();
            log::warn!(target: "peer", "Session \"a\" lost\nat once");
        }
        "levels" => {
            settings.parts.insert(LogPart::Peer, LogLevel::Error);
            let control = init_logs(&settings).unwrap();
            log::warn!(target: "peer::session", "left out");
            log::debug!(target: "request_keys", "left out");
            control.set_level(LogPart::Keys, LogLevel::Debug);
            log::debug!(target: "request_keys", "now written");
            control.set_level(LogPart::Library, LogLevel::Off);
            log::error!(target: "awc", "left out");
        }
        "repeats" => {
            let control = init_logs(&settings).unwrap();
            for n in 0..1000 {
                log::warn!(target: "dispatcher", "Endpoint refused task {n}");
            }
            log::info!(target: "dispatcher", "something else");
            assert_eq!(control.suppressed_total(), 997);
            control.flush();
        }
        "twice" => {
            init_logs(&settings).unwrap();
            settings.level = LogLevel::Off;
            init_logs(&settings).unwrap();
            log::info!(target: "entry", "still written");
        }
        "taken" => {
            log::set_logger(&OtherLogger).unwrap();
            assert!(init_logs(&settings).is_err());
            assert!(init_logs(&settings).is_err());
        }
        "reader_gone" => {
            settings.per_kind_per_second = 100_000;
            init_logs(&settings).unwrap();
            for n in 0..20_000 {
                log::info!(target: "entry", "line {n} of a log that nobody reads any more");
            }
            println!("alive");
        }
        other => panic!("no case {other}"),
    }
}

/// A logger set by other code.
struct OtherLogger;

impl log::Log for OtherLogger {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        false
    }

    fn log(&self, _: &log::Record<'_>) {}

    fn flush(&self) {}
}

fn lines_of(case: &str) -> Vec<String> {
    let output = child(case).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.success(), "{case}: {text}");
    text.lines().map(without_time).collect()
}

fn child(case: &str) -> Command {
    let mut command = Command::new(env::current_exe().unwrap());
    command.env(CHILD_CASE, case).env("RUST_BACKTRACE", "0");
    command
}

/// Checks the format of the timestamp and removes it.
fn without_time(line: &str) -> String {
    let start = line.find("20").expect("a line has a time");
    let time = &line[start..start + 24];
    assert!(time.ends_with('Z') && time.as_bytes()[10] == b'T', "{line}");
    line.replace(time, "").trim_start().to_owned()
}

fn text_lines_carry_the_prefix_of_their_part() {
    assert_eq!(
        lines_of("text"),
        [
            "INFO entry: Contract 3 in force",
            "WARN endpoint: Endpoint e1 is slow",
            "ERROR library: a library's error",
            "INFO entry: two\\nlines",
            "INFO entry: its own prefix",
            "INFO entry: peer: another's prefix",
        ]
    );
}

fn json_lines_carry_the_part() {
    assert_eq!(
        lines_of("json"),
        [r#"{"time":"","level":"WARN","part":"peer","message":"Session \"a\" lost\nat once"}"#]
    );
}

fn levels_apply_per_part_and_can_change() {
    assert_eq!(lines_of("levels"), ["DEBUG keys: now written"]);
}

fn repeated_messages_are_limited_and_counted() {
    let lines = lines_of("repeats");
    assert_eq!(lines.len(), 5, "{lines:#?}");
    assert_eq!(lines[2], "WARN dispatcher: Endpoint refused task 2");
    assert_eq!(lines[3], "INFO dispatcher: something else");
    assert!(
        lines[4].starts_with("WARN process: 997 messages of "),
        "{}",
        lines[4]
    );
    assert!(lines[4].ends_with(" left out"), "{}", lines[4]);
}

fn a_second_init_changes_nothing() {
    assert_eq!(lines_of("twice"), ["INFO entry: still written"]);
}

fn a_logger_set_by_other_code_is_an_error() {
    assert!(lines_of("taken").is_empty());
}

/// When the reader of standard error closes the pipe, log lines are lost but the process keeps running and logging
/// returns no error.
fn a_closed_stderr_does_not_end_the_process() {
    let mut running = child("reader_gone")
        .stderr(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    drop(running.stderr.take());
    let output = running.wait_with_output().unwrap();
    assert_eq!(String::from_utf8_lossy(&output.stdout), "alive\n");
    assert!(output.status.success());
}
