//! The operators' command line.

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
    session::{Outcome, Patience, Session},
    settings::Settings,
    story,
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
    summary: "Queries and commands for a chivelatch fleet; without -c it reads statements line by line.\n\
              `trace ID FILE...` tells a request's story from logs, `causes FILE...` why requests failed",
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
    match matches.free.first().map(String::as_str) {
        Some("trace") => {
            return read_logs(&matches, 2, |lines| story::trace(lines, &matches.free[1]));
        }
        Some("causes") => return read_logs(&matches, 1, story::causes),
        _ => {}
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

/// Prints what `tell` makes of the logs: of the files behind the first `words` words, or of the
/// standard input.
fn read_logs(
    matches: &Matches,
    words: usize,
    tell: impl FnOnce(&[story::Line]) -> String,
) -> ExitCode {
    if matches.free.len() < words {
        return arguments::usage_error(ABOUT, "trace wants the id of a request");
    }
    let files = &matches.free[words..];
    let text = if files.is_empty() {
        io::read_to_string(io::stdin())
    } else {
        files.iter().map(fs::read_to_string).collect()
    };
    let text = match text {
        Ok(text) => text,
        Err(error) => {
            eprintln!("chivelatch: cannot read the logs: {error}; check the files' names");
            return ExitCode::FAILURE;
        }
    };
    let told = tell(&story::parse(&text));
    if told.is_empty() {
        eprintln!("chivelatch: the logs say nothing about that; check the id and the files");
        return ExitCode::FAILURE;
    }
    print!("{told}");
    ExitCode::SUCCESS
}

fn make_certificates(folder: &Path) -> ExitCode {
    match identity::generate(folder) {
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
