//! Program of the side process.

use std::process::ExitCode;

use settings::arguments::{self, About};

fn main() -> ExitCode {
    let about = About {
        name: "chivelatch-side",
        summary: "Side process of one backend server: adapter slots, queue, loading and drain",
        version: env!("CARGO_PKG_VERSION"),
    };
    arguments::main(about, side::settings::Settings::read, side::main)
}
