//! Program for load generation and experiments.

use std::{net::SocketAddr, process::ExitCode, sync::Arc, time::Duration};

use getopts::{Matches, Options};
use serde_json::json;

use load::{
    combination::COMBINATIONS,
    fleet_model, hot_path,
    live::{self, Plan},
    measure::Measures,
    workload::{DEPLOYMENTS, Demand, Deployment},
};
use settings::arguments::{self, Program};

const ABOUT: Program = Program {
    name: "chivelatch-load",
    summary: "Simulates the scheduling decisions and their baselines; with --target, generates load \
              on a running fleet",
    version: env!("CARGO_PKG_VERSION"),
};
/// Worker threads of the load generator.
const THREADS: usize = 4;

fn main() -> ExitCode {
    let options = options();
    let matches = match arguments::parse(ABOUT, &options) {
        Ok(matches) => matches,
        Err(status) => return status,
    };
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => arguments::usage_error(ABOUT, &error.to_string()),
    }
}

fn options() -> Options {
    let mut options = arguments::standard_options();
    options.optopt("", "seconds", "duration of the run in seconds (default: 600)", "N");
    options.optopt("", "seed", "seed of the workload (default: 1)", "N");
    options.optopt("", "slots", "adapter slots of each engine (default: 8)", "N");
    options.optflag("", "json", "print the results as JSON lines");
    options.optflag(
        "",
        "hot-path",
        "measure the time of the decisions for one request at the fleet size expected in two years",
    );
    options.optopt("", "target", "address of the entry instance that receives the load", "ADDRESS");
    options.optopt("", "key", "API key to send (default: demo-key)", "KEY");
    options.optopt("", "rate", "requests per second (default: 20)", "N");
    options.optopt("", "adapters", "number of adapters, requested in turn (default: 5)", "N");
    options.optopt("", "max-tokens", "maximum output tokens of each request (default: 16)", "N");
    options
}

fn run(matches: &Matches) -> Result<(), getopts::Fail> {
    if matches.opt_present("hot-path") {
        println!("{}", json!(hot_path::measure()));
        return Ok(());
    }
    let duration = Duration::from_secs(parse_number(matches, "seconds", 600)?);
    match matches.opt_get::<SocketAddr>("target") {
        Ok(Some(target)) => run_live(matches, target, duration),
        Ok(None) => run_simulations(matches, duration),
        Err(error) => Err(getopts::Fail::UnrecognizedOption(format!("target ({error})"))),
    }
}

/// Sends requests to a running fleet and prints a summary.
fn run_live(
    matches: &Matches,
    target: SocketAddr,
    duration: Duration,
) -> Result<(), getopts::Fail> {
    let plan = Plan {
        target,
        key: Arc::from(matches.opt_str("key").unwrap_or("demo-key".to_owned())),
        rate: parse_number(matches, "rate", 20)? as f64,
        duration,
        adapters: parse_number(matches, "adapters", 5)?,
        max_tokens: parse_number(matches, "max-tokens", 16)?,
    };
    let summary = kernel::run(THREADS, |kernel| async move { live::run(&kernel, &plan).await });
    println!("{}", json!(summary));
    Ok(())
}

/// Simulates every combination of policies on every deployment and demand, and prints the measures.
fn run_simulations(matches: &Matches, duration: Duration) -> Result<(), getopts::Fail> {
    let seed = parse_number(matches, "seed", 1)?;
    let slots = parse_number(matches, "slots", 8)? as usize;
    for deployment in DEPLOYMENTS {
        let deployment = Deployment { slots, ..deployment };
        for demand in [Demand::Usual, Demand::Flood] {
            if !matches.opt_present("json") {
                print_header(&deployment, demand, duration, seed);
            }
            for combination in COMBINATIONS {
                let measures = fleet_model::run(&deployment, &combination, demand, duration, seed);
                if matches.opt_present("json") {
                    let (deployment, demand) = (deployment.name, format!("{demand:?}"));
                    println!(
                        "{}",
                        json!({
                            "deployment": deployment,
                            "demand": demand,
                            "arm": combination.name,
                            "measures": measures
                        })
                    );
                } else {
                    print_row(combination.name, &measures);
                }
            }
        }
    }
    Ok(())
}

fn print_header(deployment: &Deployment, demand: Demand, duration: Duration, seed: u64) {
    println!("\n{}, {demand:?} demand, {} s, seed {seed}", deployment.name, duration.as_secs());
    println!(
        "{:<24}{:>9}{:>9}{:>10}{:>10}{:>8}{:>8}{:>12}{:>10}{:>9}",
        "",
        "requests",
        "stalled",
        "p95 ms",
        "p99 ms",
        "batch",
        "worst",
        "first p95",
        "wrongful",
        "refused"
    );
}

fn print_row(name: &str, measures: &Measures) {
    println!(
        "{:<24}{:>9}{:>9}{:>10}{:>10}{:>8.3}{:>8.3}{:>12}{:>10}{:>9}",
        name,
        measures.requests,
        measures.stalled,
        measures.stall_p95_ms,
        measures.stall_p99_ms,
        measures.batch_efficiency,
        measures.worst_served,
        measures.worst_first_p95_ms(),
        measures.wrongful_refusals,
        measures.refusals,
    );
}

/// Returns the value of an option, or its default if it is not given.
fn parse_number(matches: &Matches, name: &str, default: u64) -> Result<u64, getopts::Fail> {
    let value = matches.opt_get_default(name, default);
    value.map_err(|_| getopts::Fail::UnrecognizedOption(format!("{name} (not a whole number)")))
}
