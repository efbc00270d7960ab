//! Tests the command lines of the stand-ins.

use std::process::Command;

#[test]
fn every_standin_prints_help() {
    for program in [
        env!("CARGO_BIN_EXE_standin-engine"),
        env!("CARGO_BIN_EXE_standin-list"),
        env!("CARGO_BIN_EXE_standin-log"),
        env!("CARGO_BIN_EXE_standin-service"),
        env!("CARGO_BIN_EXE_standin-store"),
    ] {
        let output = Command::new(program).arg("--help").output().expect("the program starts");

        assert!(output.status.success());
    }
}
