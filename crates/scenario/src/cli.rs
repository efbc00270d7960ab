//! Checks of command lines that every program has in common.

use std::{
    path::Path,
    process::{Command, Output},
};

/// Runs a program at the workspace's root.
///
/// # Panics
///
/// When the program cannot be started.
pub fn run(program: &str, arguments: &[&str]) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut command = Command::new(program);
    command.current_dir(root).args(arguments).output().expect("the program starts")
}

/// Checks `--help`, `--version` and the answer to a wrong command line.
///
/// # Panics
///
/// When one of them is not as it should be.
pub fn check_standard(program: &str, name: &str) {
    let help = run(program, &["--help"]);
    let version = run(program, &["--version"]);
    let wrong = run(program, &["--no-such-option"]);

    assert!(text(&help.stdout).contains(&format!("Usage: {name}")));
    assert!(text(&version.stdout).starts_with(&format!("{name} ")));
    assert_eq!(wrong.status.code(), Some(64));
    assert!(text(&wrong.stderr).contains("--help"));
}

/// Checks that a program takes a settings file.
///
/// # Panics
///
/// When it does not; its message is shown.
pub fn check_settings(program: &str, file: &str) {
    let output = run(program, &["--check", "--settings", file]);

    assert!(output.status.success(), "{}", text(&output.stderr));
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
