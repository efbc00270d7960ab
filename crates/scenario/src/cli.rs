//! Checks of the command line options that all programs share.

use std::{
    path::Path,
    process::{Command, Output},
};

/// Runs a program in the workspace root and returns its output.
///
/// # Panics
///
/// The program cannot be started.
pub fn run(program: &str, arguments: &[&str]) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut command = Command::new(program);
    command.current_dir(root).args(arguments).output().expect("the program starts")
}

/// Checks `--help`, `--version` and the exit status for an unknown option.
///
/// # Panics
///
/// One of the checks fails.
pub fn check_standard(program: &str, name: &str) {
    let help = run(program, &["--help"]);
    let version = run(program, &["--version"]);
    let wrong = run(program, &["--no-such-option"]);

    assert!(text(&help.stdout).contains(&format!("Usage: {name}")));
    assert!(text(&version.stdout).starts_with(&format!("{name} ")));
    assert_eq!(wrong.status.code(), Some(64));
    assert!(text(&wrong.stderr).contains("--help"));
}

/// Checks that a program accepts a settings file.
///
/// # Panics
///
/// The program rejects the file; the panic message is the program's error output.
pub fn check_settings(program: &str, file: &str) {
    let output = run(program, &["--check", "--settings", file]);

    assert!(output.status.success(), "{}", text(&output.stderr));
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
