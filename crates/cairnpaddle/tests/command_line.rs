//! Command line of `cairnpaddle`: exit codes, error messages, help and shell completion.

use std::process::{Command, Output};

use insta::assert_snapshot;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/examples");

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cairnpaddle"))
        .args(args.iter().map(|arg| arg.replace("EXAMPLES", EXAMPLES)))
        .output()
        .unwrap()
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).replace(EXAMPLES, "EXAMPLES")
}

#[test]
fn wrong_usage_and_settings_exit_with_2_and_one_line() {
    let cases: [&[&str]; 8] = [
        &[],
        &["worker"],
        &["entry"],
        &["entry", "--setings", "x"],
        &["entry", "--settings"],
        &["entry", "--settings", "EXAMPLES/none.json"],
        &["entry", "--settings", "EXAMPLES/dispatcher.json"],
        &["dispatcher", "--settings", "EXAMPLES/entry.json"],
    ];
    let mut text = String::new();
    for args in cases {
        let output = run(args);
        let error = stderr_text(&output);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {error}");
        assert!(output.stdout.is_empty(), "{args:?}");
        assert_eq!(error.lines().count(), 1, "{args:?}: {error}");
        text += &format!("$ cairnpaddle {}\n{error}", args.join(" "));
    }
    assert_snapshot!(text);
}

#[test]
fn verbose_prints_the_causes() {
    let args = ["--verbose", "entry", "--settings", "EXAMPLES/none.json"];
    let output = run(&args);
    assert_eq!(output.status.code(), Some(2));
    let error = stderr_text(&output);
    assert!(
        error.starts_with("cairnpaddle: wrong settings: EXAMPLES/none.json: "),
        "{error}"
    );
    assert!(error.contains("Caused by:"), "{error}");
}

#[test]
fn help_and_completion() {
    let help = run(&["--help"]);
    assert_eq!(help.status.code(), Some(0));
    assert_snapshot!(String::from_utf8(help.stdout).unwrap());
    let completion = run(&["--bpaf-complete-style-bash"]);
    assert_eq!(completion.status.code(), Some(0));
    assert!(String::from_utf8(completion.stdout)
        .unwrap()
        .contains("cairnpaddle"));
}
