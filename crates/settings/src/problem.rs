//! Errors of settings files.

use std::{fmt, path::PathBuf};

use snafu::Snafu;

/// Problem with one key of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Path of the key in the file, such as `quota.shards`.
    pub path: String,
    /// Value in the file.
    pub found: String,
    /// Description of the allowed values.
    pub allowed: String,
    /// Advice to the operator.
    pub remedy: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Problem { path, found, allowed, remedy } = self;
        write!(f, "{path}: found {found}; allowed: {allowed}; {remedy}")
    }
}

/// Error that makes a settings file unusable.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    #[snafu(display(
        "cannot read {}: {source}; check the path and its permissions",
        path.display()
    ))]
    Read { path: PathBuf, source: std::io::Error },
    #[snafu(display(
        "the settings are not valid YAML: {reason}; correct the syntax at that position"
    ))]
    Syntax { reason: String },
    #[snafu(display("{} problem(s) in the settings:\n{}", problems.len(), lines(problems)))]
    Invalid { problems: Vec<Problem> },
}

fn lines(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(|problem| format!("  {problem}")).collect();
    lines.join("\n")
}
