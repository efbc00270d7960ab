//! What can be wrong with a settings file.

use std::{fmt, path::PathBuf};

use snafu::Snafu;

/// One thing to mend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Where in the file, as in `quota.shards`.
    pub path: String,
    pub found: String,
    pub allowed: String,
    pub remedy: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Problem { path, found, allowed, remedy } = self;
        write!(f, "{path}: found {found}; allowed: {allowed}; {remedy}")
    }
}

/// Why a settings file cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    #[snafu(display("cannot read {}: {source}; check the path and its permissions", path.display()))]
    Read { path: PathBuf, source: std::io::Error },
    #[snafu(display("the settings are not YAML: {reason}; mend the syntax there"))]
    Syntax { reason: String },
    #[snafu(display("{} problem(s) in the settings:\n{}", problems.len(), lines(problems)))]
    Invalid { problems: Vec<Problem> },
}

fn lines(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(|problem| format!("  {problem}")).collect();
    lines.join("\n")
}
