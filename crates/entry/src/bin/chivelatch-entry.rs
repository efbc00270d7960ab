//! The program of an entry instance.

use std::process::ExitCode;

use settings::arguments::{self, Program};

fn main() -> ExitCode {
    let program = Program {
        name: "chivelatch-entry",
        summary: "Entry instance: authenticates, admits, routes and streams answers back",
        version: env!("CARGO_PKG_VERSION"),
    };
    arguments::main(program, entry::settings::Settings::read, entry::main)
}
