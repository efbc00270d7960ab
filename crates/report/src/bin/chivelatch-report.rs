//! Program that samples the instances and prints the error budget report.

use std::{
    fs::File,
    io::{self, Write as _},
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use getopts::{Matches, Options};

use kernel::Kernel;
use report::{
    burn, chart,
    objective::Settings,
    sample::{self, Sample},
    text,
};
use settings::{
    arguments::{self, Program},
    document::Document,
};

const PROGRAM: Program = Program {
    name: "chivelatch-report",
    summary: "Burn rates of the error budgets from the instances' metrics; \
              exits with 2 while an alert fires",
    version: env!("CARGO_PKG_VERSION"),
};
const THREADS: usize = 1;
/// Exit status while an alert fires.
const ALERT_STATUS: u8 = 2;

fn main() -> ExitCode {
    let options = options();
    let matches = match arguments::parse(PROGRAM, &options) {
        Ok(matches) => matches,
        Err(status) => return status,
    };
    let (Some(path), Some(samples)) = (matches.opt_str("settings"), matches.opt_str("samples"))
    else {
        return arguments::usage_error(PROGRAM, "pass --settings FILE and --samples FILE");
    };
    let settings = Document::open(&PathBuf::from(path)).and_then(|file| file.read(Settings::read));
    match settings {
        Ok(settings) => run(&settings, Path::new(&samples), &matches).unwrap_or_else(|error| {
            eprintln!("chivelatch-report: {error}");
            ExitCode::FAILURE
        }),
        Err(error) => {
            eprintln!("chivelatch-report: {error}");
            ExitCode::from(arguments::SETTINGS_STATUS)
        }
    }
}

fn options() -> Options {
    let mut options = arguments::standard_options();
    options.optopt("s", "settings", "YAML file with the objectives", "FILE");
    options.optopt("", "samples", "samples as JSON lines", "FILE");
    options.optopt("", "record", "first append samples to the file for SECONDS", "SECONDS");
    options.optopt("", "format", "text, json or svg (default: text)", "FORMAT");
    options
}

fn run(
    settings: &Settings,
    path: &Path,
    matches: &Matches,
) -> Result<ExitCode, Box<dyn std::error::Error>> {
    if let Some(seconds) = matches.opt_get::<u64>("record")? {
        kernel::run(THREADS, |kernel| {
            record(kernel, settings, path, Duration::from_secs(seconds))
        })?;
    }
    let samples = sample::load(path)?;
    let burns = burn::evaluate(settings, &samples);
    match matches.opt_str("format").as_deref() {
        Some("json") => println!("{}", serde_json::to_string_pretty(&burns)?),
        Some("svg") => println!("{}", chart::render(settings, &samples)?),
        _ => print!("{}", text::render(&burns)),
    }
    let is_alerting = burns.iter().any(|burn| burn.is_alerting);
    Ok(if is_alerting { ExitCode::from(ALERT_STATUS) } else { ExitCode::SUCCESS })
}

/// Appends a sample of each instance to the file in every interval.
async fn record(
    kernel: Kernel,
    settings: &Settings,
    path: &Path,
    duration: Duration,
) -> io::Result<()> {
    let mut file = File::options().create(true).append(true).open(path)?;
    let end = kernel.clock.now() + duration;
    while kernel.clock.now() < end {
        for instance in &settings.instances {
            if let Some(sample) = sample::fetch(&kernel, *instance, &settings.objectives).await {
                write_sample(&mut file, &sample)?;
            }
        }
        kernel.clock.sleep(settings.interval).await;
    }
    Ok(())
}

fn write_sample(file: &mut File, sample: &Sample) -> io::Result<()> {
    writeln!(file, "{}", serde_json::to_string(sample)?)
}
