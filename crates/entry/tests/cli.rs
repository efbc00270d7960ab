//! The command line of `chivelatch-entry`.

use std::{
    path::Path,
    process::{Command, Output},
};

fn run(arguments: &[&str]) -> Output {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut command = Command::new(env!("CARGO_BIN_EXE_chivelatch-entry"));
    command.current_dir(folder).args(arguments).output().expect("the program starts")
}

fn check(example: &str) {
    let output = run(&["--check", "--settings", example]);

    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}

#[test]
fn help_and_version_are_answered() {
    let help = run(&["--help"]);
    let version = run(&["--version"]);

    assert!(String::from_utf8_lossy(&help.stdout).contains("Usage: chivelatch-entry"));
    assert!(String::from_utf8_lossy(&version.stdout).starts_with("chivelatch-entry "));
}

#[test]
fn a_wrong_command_line_names_the_remedy() {
    let output = run(&["--no-such-option"]);

    assert_eq!(output.status.code(), Some(64));
    assert!(String::from_utf8_lossy(&output.stderr).contains("--help"));
}

#[test]
fn the_examples_are_valid() {
    check("examples/datenbrunnen/entry.yaml");
    check("examples/taff-valley/entry.yaml");
}
