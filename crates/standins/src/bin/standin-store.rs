//! Program that runs the stand-in for the weight store.

use std::process::ExitCode;

use standins::{program, store};

const MAX_COUNT: u64 = 100_000;
const MAX_LOAD_MS: u64 = 60_000;

fn main() -> ExitCode {
    program::main(
        "standin-store",
        "Stand-in for the rate-limited weight store",
        |section| store::Settings {
            rate: section.number("rate", 1..=MAX_COUNT, 3),
            burst: section.number("burst", 1..=MAX_COUNT, 8),
            load: section.milliseconds("load_ms", 0..=MAX_LOAD_MS, 250),
            in_flight: section.number("in_flight", 1..=MAX_COUNT, 8),
        },
        store::serve,
    )
}
