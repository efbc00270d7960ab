//! Program that runs the stand-in for a plain service.

use std::process::ExitCode;

use standins::{program, service};

fn main() -> ExitCode {
    program::main(
        "standin-service",
        "Stand-in for a plain service with stock lookups and orders",
        |_| (),
        |kernel, listener, drain, ()| service::serve(kernel, listener, drain),
    )
}
