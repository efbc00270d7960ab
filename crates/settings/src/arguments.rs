//! The command line that every program shares: `--settings`, `--check`,
//! `--help` and `--version`.

use std::{env, path::PathBuf, process::ExitCode};

use getopts::{Matches, Options};

use crate::{
    document::{Document, Section},
    problem::Error,
};

/// Exit status for a wrong command line, `EX_USAGE` of `sysexits.h`.
pub const USAGE_STATUS: u8 = 64;
/// Exit status for settings that cannot be used, `EX_CONFIG` of `sysexits.h`.
pub const SETTINGS_STATUS: u8 = 78;

/// Name, summary and version that `--help`, `--version` and usage errors print.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    pub name: &'static str,
    pub summary: &'static str,
    pub version: &'static str,
}

/// Parses the command line, reads the settings file with `read` and passes the result to
/// `run`. With `--check`, only reads the file. Returns the exit status of the process.
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

/// Returns the options that every program has: `--help` and `--version`.
pub fn standard_options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

/// Parses the command line. Answers `--help` and `--version` itself.
///
/// # Errors
///
/// The status with which the process must exit: the command line is wrong or has `--help`
/// or `--version`.
pub fn parse(program: Program, options: &Options) -> Result<Matches, ExitCode> {
    let matches = options
        .parse(env::args().skip(1))
        .map_err(|error| usage_error(program, &error.to_string()))?;
    match answer_standard(program, options, &matches) {
        Some(status) => Err(status),
        None => Ok(matches),
    }
}

/// Prints a usage error to standard error and returns [`USAGE_STATUS`].
pub fn usage_error(program: Program, message: &str) -> ExitCode {
    eprintln!("{}: {message}; see {} --help", program.name, program.name);
    ExitCode::from(USAGE_STATUS)
}

/// Prints what `--help` or `--version` asks for; returns `None` if neither is given.
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
