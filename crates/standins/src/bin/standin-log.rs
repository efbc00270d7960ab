//! Program that runs the stand-in for the platform's log.

use std::{process::ExitCode, time::Duration};

use standins::{log, program};

const MAX_RETENTION_S: u64 = 86_400;

fn main() -> ExitCode {
    program::main(
        "standin-log",
        "Stand-in for the platform's append-only log",
        |section| section.number("retention_s", 1..=MAX_RETENTION_S, 3600),
        |kernel, listener, drain, retention| {
            log::serve(kernel, listener, drain, Duration::from_secs(retention))
        },
    )
}
