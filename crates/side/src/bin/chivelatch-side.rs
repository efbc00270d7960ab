//! Program of the side process.

use std::process::ExitCode;

use settings::arguments::{self, Program};

fn main() -> ExitCode {
    let about = Program {
        name: "chivelatch-side",
        summary: "Side process of one backend server: adapter slots, queue, loading and drain",
        version: env!("CARGO_PKG_VERSION"),
    };
    arguments::main(about, side::settings::Settings::read, side::main)
}
