//! Requests suspected of crashing the engines that run them.
//!
//! Everything that ran when an engine crashed is a suspect. A suspect is tried
//! once more, alone on a server; a second crash convicts it, and it is refused
//! for a while. Crashes carry an id, so that reports which travel between
//! instances are counted once.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{digest::Digest, lease::Moment};

/// Crashes after which a request is refused.
const REJECT_AFTER_CRASHES: usize = 2;
/// Suspects remembered; the one that expires first makes room.
const MAX_SUSPECTS: usize = 4096;

/// One crash that a request was part of, as instances tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub fingerprint: Digest,
    /// Names one crash of one engine.
    pub crash: u64,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Allow,
    /// Run it with nothing beside it.
    Isolate,
    /// Refuse it; it may come back after this time.
    Reject(Duration),
}

/// Suspects known to one process.
#[derive(Clone, Debug)]
pub struct List {
    retention: Duration,
    suspects: BTreeMap<Digest, Suspect>,
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: SmallVec<[u64; REJECT_AFTER_CRASHES]>,
    expires_at: Moment,
}

impl List {
    /// Remembers a suspect for `retention` after its last crash.
    pub fn new(retention: Duration) -> List {
        List { retention, suspects: BTreeMap::new() }
    }

    /// Counts a crash; tells whether it was new.
    pub fn record(&mut self, now: Moment, report: &Report) -> bool {
        self.make_room(now);
        let expires_at = now + self.retention;
        let suspect = self
            .suspects
            .entry(report.fingerprint)
            .or_insert_with(|| Suspect { crashes: SmallVec::new(), expires_at });
        if suspect.crashes.contains(&report.crash) {
            return false;
        }
        suspect.crashes.push(report.crash);
        suspect.expires_at = expires_at;
        true
    }

    /// A suspect ran to its end alone: it is cleared.
    pub fn remove(&mut self, fingerprint: &Digest) {
        self.suspects.remove(fingerprint);
    }

    /// What to do with a request.
    pub fn decide(&self, now: Moment, fingerprint: &Digest) -> Decision {
        let known = self.suspects.get(fingerprint);
        let Some(suspect) = known.filter(|suspect| now < suspect.expires_at) else {
            return Decision::Allow;
        };
        if suspect.crashes.len() < REJECT_AFTER_CRASHES {
            return Decision::Isolate;
        }
        Decision::Reject(suspect.expires_at - now)
    }

    fn make_room(&mut self, now: Moment) {
        self.suspects.retain(|_, suspect| now < suspect.expires_at);
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let first = self.suspects.iter().min_by_key(|(_, suspect)| suspect.expires_at);
        if let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }
}
