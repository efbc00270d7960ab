//! Developer tasks: `cargo xtask TASK`.

use std::{
    env,
    path::Path,
    process::{Command, ExitCode},
};

use sources::{Crate, Digest};

const USAGE: &str = "\
cargo xtask soak N     runs the scenario scripts N times and stops at the first failure
cargo xtask seeds N    runs the seeded randomized tests with N seeds each, in release mode
cargo xtask sources    prints the digests that chivelatch-platform --version shows if it was built from these sources
cargo xtask slopes     measures the resource use of idle fleets for the capacity page of the docs";

/// Crates with seeded randomized tests.
const SEEDED_CRATES: [&str; 4] = ["fleet", "quota", "ledger", "placement"];

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let is_success = match arguments.as_slice() {
        ["soak", runs] => runs.parse().is_ok_and(soak),
        ["seeds", count] => seeds(count),
        ["slopes"] => slopes(),
        ["sources"] => print_sources(),
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(64);
        }
    };
    if is_success { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn soak(runs: u32) -> bool {
    cargo(&["build", "--workspace"], &[])
        && (1..=runs).all(|run| {
            eprintln!("soak: run {run} of {runs}");
            cargo(&["test", "-p", "scenario", "--test", "scenarios"], &[])
        })
}

fn seeds(count: &str) -> bool {
    let run =
        |name: &&str| cargo(&["test", "--release", "-p", name], &[("CHIVELATCH_SEEDS", count)]);
    SEEDED_CRATES.iter().all(run)
}

fn slopes() -> bool {
    cargo(&["build", "--release", "--workspace"], &[])
        && cargo(&["run", "--release", "--bin", "chivelatch-slopes"], &[])
}

fn print_sources() -> bool {
    match sources::of_tree(Path::new("platform")) {
        Ok(digests) => {
            let crates: Vec<_> =
                digests.iter().map(|(name, digest)| Crate { name, digest: *digest }).collect();
            println!("sources {}", Digest::of_program(&crates));
            digests.iter().for_each(|(name, digest)| println!("  {name} {digest}"));
            true
        }
        Err(error) => {
            eprintln!("cannot read the sources: {error}; run it in the root of the repository");
            false
        }
    }
}

fn cargo(arguments: &[&str], variables: &[(&str, &str)]) -> bool {
    let mut command = Command::new(env::var("CARGO").unwrap_or("cargo".to_owned()));
    let status = command.args(arguments).envs(variables.iter().copied()).status();
    status.is_ok_and(|status| status.success())
}
