//! The load and experiment tool, as a program.

use std::{net::SocketAddr, process::ExitCode, sync::Arc, time::Duration};

use getopts::{Matches, Options};
use serde_json::json;

use load::{
    arms::ARMS,
    fleet_model, hot_path,
    live::{self, Plan},
    measure::Measures,
    workload::{DEPLOYMENTS, Demand, Deployment},
};
use settings::arguments::{self, Program};

const ABOUT: Program = Program {
    name: "chivelatch-load",
    summary: "Compares the decisions with baselines on virtual time; with --target it loads a running fleet",
    version: env!("CARGO_PKG_VERSION"),
};
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
    options.optopt("", "seconds", "length of the run; 600 is usual", "N");
    options.optopt("", "seed", "seed of the workload; 1 is usual", "N");
    options.optopt("", "slots", "adapter slots of an engine; 8 is usual", "N");
    options.optflag("", "json", "print JSON lines");
    options.optflag("", "hot-path", "time the decisions of a request at the two-year size");
    options.optopt("", "target", "address of an entry instance to load", "ADDRESS");
    options.optopt("", "key", "key to send; demo-key is usual", "KEY");
    options.optopt("", "rate", "calls a second; 20 is usual", "N");
    options.optopt("", "adapters", "adapters to ask for in turn; 5 is usual", "N");
    options.optopt("", "max-tokens", "tokens to ask for; 16 is usual", "N");
    options
}

fn run(matches: &Matches) -> Result<(), getopts::Fail> {
    if matches.opt_present("hot-path") {
        println!("{}", json!(hot_path::measure()));
        return Ok(());
    }
    let length = Duration::from_secs(number(matches, "seconds", 600)?);
    match matches.opt_get::<SocketAddr>("target") {
        Ok(Some(target)) => run_live(matches, target, length),
        Ok(None) => run_models(matches, length),
        Err(error) => Err(getopts::Fail::UnrecognizedOption(format!("target ({error})"))),
    }
}

fn run_live(matches: &Matches, target: SocketAddr, length: Duration) -> Result<(), getopts::Fail> {
    let plan = Plan {
        target,
        key: Arc::from(matches.opt_str("key").unwrap_or("demo-key".to_owned())),
        rate: number(matches, "rate", 20)? as f64,
        length,
        adapters: number(matches, "adapters", 5)?,
        max_tokens: number(matches, "max-tokens", 16)?,
    };
    let summary = kernel::run(THREADS, |kernel| async move { live::run(&kernel, &plan).await });
    println!("{}", json!(summary));
    Ok(())
}

fn run_models(matches: &Matches, length: Duration) -> Result<(), getopts::Fail> {
    let seed = number(matches, "seed", 1)?;
    let slots = number(matches, "slots", 8)? as usize;
    for deployment in DEPLOYMENTS {
        let deployment = Deployment { slots, ..deployment };
        for demand in [Demand::Usual, Demand::Flood] {
            if !matches.opt_present("json") {
                print_head(&deployment, demand, length, seed);
            }
            for arm in ARMS {
                let measures = fleet_model::run(&deployment, &arm, demand, length, seed);
                if matches.opt_present("json") {
                    let (deployment, demand) = (deployment.name, format!("{demand:?}"));
                    println!(
                        "{}",
                        json!({ "deployment": deployment, "demand": demand, "arm": arm.name, "measures": measures })
                    );
                } else {
                    print_row(arm.name, &measures);
                }
            }
        }
    }
    Ok(())
}

fn print_head(deployment: &Deployment, demand: Demand, length: Duration, seed: u64) {
    println!("\n{}, {demand:?} demand, {} s, seed {seed}", deployment.name, length.as_secs());
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

fn number(matches: &Matches, name: &str, default: u64) -> Result<u64, getopts::Fail> {
    let given = matches.opt_get_default(name, default);
    given.map_err(|_| getopts::Fail::UnrecognizedOption(format!("{name} (not a whole number)")))
}
