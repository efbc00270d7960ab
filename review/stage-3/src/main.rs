//! Cases of the review that need the project's programs as processes.
//!
//! Usage: `stage-3 CASE ROOT FOLDER`; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod client;
mod engine;
mod fleet;
mod record;
mod silence;
mod sizes;
mod store;
mod wire;

use std::{env, path::PathBuf, process::ExitCode};

/// What a run has shown.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: stage-3 CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let outcome = record::Record::create(&folder.join("record.txt")).and_then(|record| {
        record.line(format!("case {case}, TROUBLE={}", u8::from(has_trouble)));
        let outcome = match case.as_str() {
            "silence" => silence::run(&root, &record, has_trouble),
            "sizes" => sizes::run(&root, &record, has_trouble),
            _ => Err(std::io::Error::other("no such case")),
        };
        match &outcome {
            Ok(Verdict::Held) => record.line("the rule held"),
            Ok(Verdict::Broken) => record.line("THE RULE WAS BROKEN"),
            Err(error) => record.line(format!("the case could not run: {error}")),
        }
        outcome
    });
    match outcome {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}
