//! The operators' command line.

use std::{
    io::{self, BufRead as _, Write as _},
    path::{Path, PathBuf},
    process::ExitCode,
};

use getopts::{Matches, Options};
use logforth::record::{Level, LevelFilter};

use kernel::Kernel;
use operator::{
    session::{Outcome, Patience, Session},
    settings::Settings,
};
use settings::{
    arguments::{self, About},
    document::Document,
};
use wire::identity;

const THREADS: usize = 2;
/// Exit status when a statement failed.
const STATEMENT_STATUS: u8 = 1;
const ABOUT: About = About {
    name: "chivelatch",
    summary: "Queries and commands for a chivelatch fleet; without -c it reads statements line by line",
    version: env!("CARGO_PKG_VERSION"),
};

fn main() -> ExitCode {
    let options = options();
    let matches = match arguments::parse(ABOUT, &options) {
        Ok(matches) => matches,
        Err(status) => return status,
    };
    if let Some(folder) = matches.opt_str("make-certificates") {
        return make_certificates(Path::new(&folder));
    }
    let Some(path) = matches.opt_str("settings") else {
        return arguments::usage_error(ABOUT, "no settings given; pass --settings FILE");
    };
    let settings = Document::open(&PathBuf::from(path)).and_then(|file| file.read(Settings::read));
    match settings {
        Ok(_) if matches.opt_present("check") => {
            println!("the settings are valid");
            ExitCode::SUCCESS
        }
        Ok(settings) => {
            kernel::logs::install_to(io::stderr(), LevelFilter::MoreSevereEqual(Level::Error));
            kernel::run(THREADS, |kernel| work(kernel, settings, matches))
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
    options.optmulti("c", "command", "carry out one statement; may be repeated", "STATEMENT");
    options.optflag("", "json", "print tables as JSON");
    options.optflag("", "no-wait", "do not wait until a change is in force");
    options.optopt("", "make-certificates", "make an authority and certificates in DIR", "DIR");
    options
}

fn make_certificates(folder: &Path) -> ExitCode {
    match identity::make(folder) {
        Ok(()) => {
            println!("made authority, entry, side and operator in {}", folder.display());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("chivelatch: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn work(kernel: Kernel, settings: Settings, matches: Matches) -> ExitCode {
    let mut session = match Session::open(&kernel, settings) {
        Ok(session) => session,
        Err(error) => {
            eprintln!("chivelatch: {error}");
            return ExitCode::FAILURE;
        }
    };
    let statements = matches.opt_strs("command");
    if statements.is_empty() {
        return interact(&mut session, &matches).await;
    }
    for statement in statements {
        if !run(&mut session, &statement, &matches).await {
            return ExitCode::from(STATEMENT_STATUS);
        }
    }
    ExitCode::SUCCESS
}

async fn interact(session: &mut Session, matches: &Matches) -> ExitCode {
    let mut lines = io::stdin().lock().lines();
    loop {
        print!("chivelatch> ");
        let _prompt_only = io::stdout().flush();
        let Some(Ok(line)) = lines.next() else { return ExitCode::SUCCESS };
        match line.trim() {
            "" => continue,
            "exit" | "quit" => return ExitCode::SUCCESS,
            statement => {
                run(session, statement, matches).await;
            }
        }
    }
}

async fn run(session: &mut Session, statement: &str, matches: &Matches) -> bool {
    let patience = if matches.opt_present("no-wait") {
        Patience::UntilAccepted
    } else {
        Patience::UntilInForce
    };
    match session.run(statement, patience).await {
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
