//! The operators' command line: runs statements against a fleet and analyzes its logs.

use std::{
    fs,
    io::{self, BufRead as _, Write as _},
    path::{Path, PathBuf},
    process::ExitCode,
};

use getopts::{Matches, Options};
use logforth::record::{Level, LevelFilter};

use kernel::Kernel;
use operator::{
    logs,
    session::{Outcome, Session, Wait},
    settings::Settings,
};
use settings::{
    arguments::{self, Program},
    document::Document,
};
use wire::identity;

const THREADS: usize = 2;
/// Exit status when a statement failed.
const STATEMENT_FAILED_STATUS: u8 = 1;
const PROGRAM: Program = Program {
    name: "chivelatch",
    summary: "Queries and commands for a chivelatch fleet; \
              without -c it reads statements line by line.\n\
              `trace ID FILE...` prints the events of a request from logs, \
              `causes FILE...` counts why requests failed",
    version: env!("CARGO_PKG_VERSION"),
};

fn main() -> ExitCode {
    let options = options();
    let matches = match arguments::parse(PROGRAM, &options) {
        Ok(matches) => matches,
        Err(status) => return status,
    };
    if let Some(dir) = matches.opt_str("make-certificates") {
        return make_certificates(Path::new(&dir));
    }
    match matches.free.first().map(String::as_str) {
        Some("trace") => {
            return read_logs(&matches, 2, |lines| logs::trace(lines, &matches.free[1]));
        }
        Some("causes") => return read_logs(&matches, 1, logs::causes),
        _ => {}
    }
    let Some(path) = matches.opt_str("settings") else {
        return arguments::usage_error(PROGRAM, "no settings given; pass --settings FILE");
    };
    let settings = Document::open(&PathBuf::from(path)).and_then(|file| file.read(Settings::read));
    match settings {
        Ok(_) if matches.opt_present("check") => {
            println!("the settings are valid");
            ExitCode::SUCCESS
        }
        Ok(settings) => {
            kernel::logs::install_to(io::stderr(), LevelFilter::MoreSevereEqual(Level::Error));
            kernel::run(THREADS, |kernel| run_session(kernel, settings, matches))
        }
        Err(error) => {
            eprintln!("chivelatch: {error}");
            ExitCode::from(arguments::SETTINGS_STATUS)
        }
    }
}

fn options() -> Options {
    let mut options = arguments::standard_options();
    options.optopt("s", "settings", "YAML file with the settings", "FILE");
    options.optflag("", "check", "check the settings and exit");
    options.optmulti("c", "command", "run one statement; may be repeated", "STATEMENT");
    options.optflag("", "json", "print tables as JSON");
    options.optflag("", "no-wait", "do not wait until a change is in force on all instances");
    options.optopt(
        "",
        "make-certificates",
        "create a certificate authority and certificates in DIR",
        "DIR",
    );
    options
}

/// Prints the result of `analyze` for the lines of the log files. These are the arguments from
/// index `first_file` on; without any, the logs are read from standard input.
fn read_logs(
    matches: &Matches,
    first_file: usize,
    analyze: impl FnOnce(&[logs::Line]) -> String,
) -> ExitCode {
    // Only `trace` takes an argument before the files.
    if matches.free.len() < first_file {
        return arguments::usage_error(PROGRAM, "trace requires the id of a request");
    }
    let files = &matches.free[first_file..];
    let text = if files.is_empty() {
        io::read_to_string(io::stdin())
    } else {
        files.iter().map(fs::read_to_string).collect()
    };
    let text = match text {
        Ok(text) => text,
        Err(error) => {
            eprintln!("chivelatch: cannot read the logs: {error}; check the file names");
            return ExitCode::FAILURE;
        }
    };
    let output = analyze(&logs::parse(&text));
    if output.is_empty() {
        eprintln!("chivelatch: no matching line in the logs; check the request id and the files");
        return ExitCode::FAILURE;
    }
    print!("{output}");
    ExitCode::SUCCESS
}

fn make_certificates(dir: &Path) -> ExitCode {
    match identity::generate(dir) {
        Ok(()) => {
            println!(
                "created authority, entry, side and operator certificates in {}",
                dir.display()
            );
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("chivelatch: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_session(kernel: Kernel, settings: Settings, matches: Matches) -> ExitCode {
    let mut session = match Session::open(&kernel, settings) {
        Ok(session) => session,
        Err(error) => {
            eprintln!("chivelatch: {error}");
            return ExitCode::FAILURE;
        }
    };
    let statements = matches.opt_strs("command");
    if statements.is_empty() {
        return run_interactive(&mut session, &matches).await;
    }
    for statement in statements {
        if !run_statement(&mut session, &statement, &matches).await {
            return ExitCode::from(STATEMENT_FAILED_STATUS);
        }
    }
    ExitCode::SUCCESS
}

async fn run_interactive(session: &mut Session, matches: &Matches) -> ExitCode {
    let mut lines = io::stdin().lock().lines();
    loop {
        print!("chivelatch> ");
        // If this fails, only the prompt is missing.
        let _result = io::stdout().flush();
        let Some(Ok(line)) = lines.next() else { return ExitCode::SUCCESS };
        match line.trim() {
            "" => continue,
            "exit" | "quit" => return ExitCode::SUCCESS,
            statement => {
                run_statement(session, statement, matches).await;
            }
        }
    }
}

/// Runs one statement and prints its result. Returns whether it succeeded.
async fn run_statement(session: &mut Session, statement: &str, matches: &Matches) -> bool {
    let wait =
        if matches.opt_present("no-wait") { Wait::UntilAccepted } else { Wait::UntilInForce };
    match session.run(statement, wait).await {
        Ok(Outcome::Table(table)) if matches.opt_present("json") => println!("{}", table.to_json()),
        Ok(Outcome::Table(table)) => print!("{table}"),
        Ok(Outcome::Text(text)) => println!("{text}"),
        Err(error) => {
            eprintln!("{error}");
            return false;
        }
    }
    true
}
