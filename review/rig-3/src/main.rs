//! Cases of the review that no day of the bench can show. `rig-3 CASE FOLDER` plays one and writes what was
//! sent, answered and run to FOLDER/record.txt. It exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run. With TROUBLE=0 there is no disruption.

mod cases;
mod http;
mod link;
mod record;
mod replica;
mod store;
mod system;

use std::{env, path::PathBuf, process::ExitCode, thread, time::Duration};

use record::Record;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    let [case, folder] = &words[..] else {
        eprintln!("usage: rig-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("rig-3: cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    record.add(&format!("case {case}, with the disruption: {has_trouble}"));
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("rig-3: the case took too long");
        system::end_processes();
        std::process::exit(2);
    });
    match cases::run(case, &record, has_trouble) {
        Ok(None) => {
            record.add("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Some(breach)) => {
            record.add(&format!("the rule was broken: {breach}"));
            ExitCode::from(1)
        }
        Err(error) => {
            record.add(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
