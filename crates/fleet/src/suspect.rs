//! Requests suspected of crashing the servers that run them.
//!
//! Every request that was running when a server crashed is a suspect, and most are innocent. A
//! suspect runs as a trial: once at a time over all instances, see [`trial`]. One that completes
//! is cleared of all crashes so far. One whose trial ends in a crash is quarantined, unless
//! something else may have caused its crashes: another suspect that was running at each of them,
//! or further crashes at about that time. Each such doubt takes one more crash, and a completion
//! shortly before the first one takes two. Crashes at which a quarantined request ran do not count
//! against others.
//!
//! Each crash has an id, so that it counts once, whoever reports it. What is known of a suspect is
//! exchanged as a [`Record`], which can be merged in any order and any number of times.

mod list;
pub mod trial;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Name, digest::Digest};

pub use list::List;

/// A request that was running when a server crashed, as one instance saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub fingerprint: Digest,
    /// Client account of the request.
    pub account: Name,
    pub service: Name,
    /// Id of the crash, which names one process of one server.
    pub crash: u64,
    /// Whether the request ran as a trial.
    pub is_trial: bool,
}

/// What one instance tells the others about a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub fingerprint: Digest,
    /// Client account of the request.
    pub account: Name,
    pub service: Name,
    pub runs: Vec<Run>,
    /// Time since its last completion before it became a suspect, if any is known.
    pub completed_age: Option<Duration>,
    /// The latest quarantine, if there was any.
    pub quarantine: Option<Quarantine>,
}

impl Record {
    /// Returns whether the suspect is in quarantine, and was not cleared since.
    pub fn is_quarantined(&self) -> bool {
        let is_open = self.runs.iter().any(|run| !run.is_cleared);
        is_open && self.quarantine.is_some_and(|quarantine| !quarantine.remaining.is_zero())
    }
}

/// A run of a suspect that ended with a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    pub crash: u64,
    /// Time since the crash.
    pub age: Duration,
    pub is_trial: bool,
    /// Whether the suspect has completed since, or the server turned out not to have crashed.
    pub is_cleared: bool,
}

/// Quarantine of a suspect, in which it is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// Number of quarantines so far, this one included. Each lasts twice as long as the last.
    pub count: u32,
    /// Time until its end; zero after it.
    pub remaining: Duration,
}

/// The decision on how to run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it beside other requests.
    Allow,
    /// Run it as a trial.
    Try {
        /// Whether no other trial may run on the same server.
        is_exclusive: bool,
    },
    /// Keep it for this time: reports of its last crash may be under way.
    Hold(Duration),
    /// Reject it; the client may retry after this time.
    Reject(Duration),
}
