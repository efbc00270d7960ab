//! Requests suspected of crashing the servers that run them, and what such requests share.
//!
//! Every request that was running when a server crashed is a suspect, and most are innocent. A
//! suspect runs as a trial: once at a time over all instances, see [`trial`]. One that completes
//! is cleared of all crashes so far. One whose trial ends in a crash is quarantined, unless
//! something else may have caused its crashes: another suspect that was running at each of them,
//! or further crashes at about that time. Each such doubt takes one more crash, and a completion
//! shortly before the first one takes two. Crashes at which a quarantined request ran do not count
//! against others.
//!
//! Requests that differ may crash servers because of an [`Attribute`] that they share, such as a
//! part of their prompts or an adapter. So the attributes of what ran at a crash are suspects, too.
//! Most requests with a common attribute are innocent: an attribute that has completed lately does
//! not wait for a trial, each completion clears it of one crash, and it is quarantined only after
//! several crashes under different requests. A quarantine that rests on one client account holds
//! for that account alone, since callers name the parts of their prompts themselves.
//!
//! Each crash has an id, so that it counts once, whoever reports it. What is known of a suspect is
//! exchanged as a [`Record`], which can be merged in any order and any number of times.

mod list;
pub mod trial;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Name, digest::Digest};

pub use list::List;

/// Limit on the characters of a value in the name of an attribute.
const MAX_SHOWN_CHARS: usize = 48;

/// Digests of suspects; a few are stored inline.
pub type Suspects = SmallVec<[Digest; 2]>;

/// What a request is known by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Digest of the whole request. A repeat has the same one.
    pub fingerprint: Digest,
    pub account: Name,
    pub attributes: SmallVec<[Attribute; 4]>,
}

/// Something that requests share which are otherwise different.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attribute {
    /// Kind and value, for log lines.
    pub name: Name,
    pub digest: Digest,
}

/// A request that was running when a server crashed, as one instance saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    pub request: Identity,
    pub service: Name,
    /// Id of the crash, which names one process of one server.
    pub crash: u64,
    /// Suspects of which it was a trial.
    pub on_trial: Suspects,
}

/// What a suspect is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    Request,
    Attribute,
}

/// What one instance tells the others about a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Digest of the request or attribute.
    pub digest: Digest,
    pub kind: Kind,
    /// Client account of the request, or of the first one with the attribute.
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
    /// Start of the fingerprint of the request; of several at one crash, the lowest.
    pub request: u64,
    /// Start of the digest of that request's client account.
    pub account: u64,
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
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it beside other requests.
    Allow,
    /// Run it as a trial.
    Try {
        /// Suspects of which no other trial may run.
        suspects: Suspects,
        /// Whether no other trial may run on the same server.
        is_exclusive: bool,
    },
    /// Keep it for this time: reports of its last crash may be under way.
    Hold(Duration),
    /// Reject it; the client may retry after this time.
    Reject(Duration),
}

impl Identity {
    /// Returns the identity of a request that shares nothing with others.
    pub fn of_request(fingerprint: Digest, account: Name) -> Identity {
        Identity { fingerprint, account, attributes: SmallVec::new() }
    }

    /// Returns the digests of all that it is known by.
    pub fn digests(&self) -> impl Iterator<Item = &Digest> {
        let attributes = self.attributes.iter().map(|attribute| &attribute.digest);
        std::iter::once(&self.fingerprint).chain(attributes)
    }

    /// Returns the names of its attributes, for log lines.
    pub fn attribute_names(&self) -> String {
        self.names(|_| true)
    }

    /// Returns the names of those of its attributes that are among `suspects`, for log lines.
    pub fn suspect_names(&self, suspects: &Suspects) -> String {
        self.names(|attribute| suspects.contains(&attribute.digest))
    }

    fn names(&self, is_wanted: impl Fn(&Attribute) -> bool) -> String {
        let wanted = self.attributes.iter().filter(|attribute| is_wanted(attribute));
        let names: SmallVec<[&str; 4]> = wanted.map(|attribute| &*attribute.name).collect();
        names.join(" ")
    }
}

impl Attribute {
    /// Creates an attribute of a kind, such as `part`.
    pub fn new(kind: &str, value: &str) -> Attribute {
        let digest = Digest::of_parts([kind.as_bytes(), value.as_bytes()]);
        // Names are separated by spaces in log lines.
        let shown = value.chars().filter(|character| !character.is_whitespace());
        let shown: String = shown.take(MAX_SHOWN_CHARS).collect();
        Attribute { name: format!("{kind}:{shown}").into(), digest }
    }
}

impl Decision {
    /// Returns the stricter one of two decisions, or what fulfils both.
    fn and(self, other: Decision) -> Decision {
        match (self, other) {
            (Decision::Reject(one), Decision::Reject(other)) => Decision::Reject(one.max(other)),
            (Decision::Reject(wait), _) | (_, Decision::Reject(wait)) => Decision::Reject(wait),
            (Decision::Hold(one), Decision::Hold(other)) => Decision::Hold(one.max(other)),
            (Decision::Hold(wait), _) | (_, Decision::Hold(wait)) => Decision::Hold(wait),
            (
                Decision::Try { mut suspects, is_exclusive },
                Decision::Try { suspects: others, is_exclusive: is_other_exclusive },
            ) => {
                suspects.extend(others);
                Decision::Try { suspects, is_exclusive: is_exclusive || is_other_exclusive }
            }
            (Decision::Allow, other) => other,
            (decision, Decision::Allow) => decision,
        }
    }
}
