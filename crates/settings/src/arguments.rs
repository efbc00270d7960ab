//! The command line that every program shares: `--settings`, `--check`,
//! `--help` and `--version`.

use std::{env, path::PathBuf, process::ExitCode};

use getopts::{Matches, Options};

use crate::{
    document::{Document, Section},
    problem::Error,
};

/// Exit status for a wrong command line.
pub const USAGE_STATUS: u8 = 64;
/// Exit status for settings that cannot be used.
pub const SETTINGS_STATUS: u8 = 78;

/// Name, summary and version that `--help`, `--version` and usage errors print.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    pub name: &'static str,
    pub summary: &'static str,
    pub version: &'static str,
}

/// Reads the settings that the command line names and hands them to `run`.
pub fn main<T>(
    program: Program,
    read: impl FnOnce(&Section<'_>) -> T,
    run: impl FnOnce(T) -> ExitCode,
) -> ExitCode {
    let mut options = standard_options();
    options.optopt("s", "settings", "YAML file with the settings", "FILE");
    options.optflag("", "check", "check the settings and exit");
    let matches = match parse(program, &options) {
        Ok(matches) => matches,
        Err(status) => return status,
    };
    let Some(path) = matches.opt_str("settings") else {
        return usage_error(program, "no settings given; pass --settings FILE");
    };
    match load(PathBuf::from(path), read) {
        Ok(_) if matches.opt_present("check") => {
            println!("the settings are valid");
            ExitCode::SUCCESS
        }
        Ok(settings) => run(settings),
        Err(error) => {
            eprintln!("{}: {error}", program.name);
            ExitCode::from(SETTINGS_STATUS)
        }
    }
}

/// Options that every program has.
pub fn standard_options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

/// Parses the command line.
///
/// # Errors
///
/// The status to exit with: the line is wrong, or asked for `--help` or `--version`.
pub fn parse(program: Program, options: &Options) -> Result<Matches, ExitCode> {
    let matches = options
        .parse(env::args().skip(1))
        .map_err(|error| usage_error(program, &error.to_string()))?;
    match answer_standard(program, options, &matches) {
        Some(status) => Err(status),
        None => Ok(matches),
    }
}

/// Reports a wrong command line.
pub fn usage_error(program: Program, message: &str) -> ExitCode {
    eprintln!("{}: {message}; see {} --help", program.name, program.name);
    ExitCode::from(USAGE_STATUS)
}

/// Answers `--help` and `--version`.
fn answer_standard(program: Program, options: &Options, matches: &Matches) -> Option<ExitCode> {
    if matches.opt_present("help") {
        let brief = format!("{}\n\nUsage: {} [OPTIONS]", program.summary, program.name);
        print!("{}", options.usage(&brief));
        return Some(ExitCode::SUCCESS);
    }
    if matches.opt_present("version") {
        println!("{} {}", program.name, program.version);
        return Some(ExitCode::SUCCESS);
    }
    None
}

fn load<T>(path: PathBuf, read: impl FnOnce(&Section<'_>) -> T) -> Result<T, Error> {
    Document::open(&path)?.read(read)
}
