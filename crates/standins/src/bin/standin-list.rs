//! Program that runs the stand-in for the platform's instance list.

use std::process::ExitCode;

use standins::{list, program};

const MAX_MS: u64 = 60_000;

fn main() -> ExitCode {
    program::main(
        "standin-list",
        "Stand-in for the platform's instance list",
        |section| list::Settings {
            expiry: section.milliseconds("expiry_ms", 1..=MAX_MS, 2000),
            lag: section.milliseconds("lag_ms", 0..=MAX_MS, 200),
        },
        list::serve,
    )
}
