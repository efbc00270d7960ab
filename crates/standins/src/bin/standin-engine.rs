//! Program that runs the stand-in for a model engine.

use std::process::ExitCode;

use standins::{
    engine::{self, Fencing, Settings},
    program,
};

const MAX_SLOTS: u64 = 1024;
const MAX_MS: u64 = 60_000;

fn main() -> ExitCode {
    program::main(
        "standin-engine",
        "Stand-in for a model engine with adapter slots and continuous batching",
        |section| Settings {
            slots: section.number("slots", 1..=MAX_SLOTS, 8) as usize,
            batch: section.number("batch", 1..=MAX_SLOTS, 32) as usize,
            step: section.milliseconds("step_ms", 1..=MAX_MS, 10),
            restart: section.milliseconds("restart_ms", 0..=MAX_MS, 500),
            store: section.address("store"),
            fencing: match section.choice("fencing", &["refuse", "ignore"], "refuse") {
                "ignore" => Fencing::Ignore,
                _ => Fencing::Enforce,
            },
        },
        engine::serve,
    )
}
