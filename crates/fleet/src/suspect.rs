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
const CONVICTION: usize = 2;
/// Suspects remembered; the one that expires first makes room.
const KEPT_SUSPECTS: usize = 4096;

/// One crash that a request was part of, as instances tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub fingerprint: Digest,
    /// Names one crash of one engine.
    pub crash: u64,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Clear,
    /// Run it with nothing beside it.
    Alone,
    /// Refuse it; it may come back after this time.
    Refuse(Duration),
}

/// Suspects known to one process.
#[derive(Clone, Debug)]
pub struct List {
    memory: Duration,
    suspects: BTreeMap<Digest, Suspect>,
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: SmallVec<[u64; CONVICTION]>,
    expires: Moment,
}

impl List {
    /// Remembers a suspect for `memory` after its last crash.
    pub fn new(memory: Duration) -> List {
        List { memory, suspects: BTreeMap::new() }
    }

    /// Counts a crash; tells whether it was new.
    pub fn report(&mut self, now: Moment, report: &Report) -> bool {
        self.expire(now);
        let expires = now + self.memory;
        let suspect = self
            .suspects
            .entry(report.fingerprint)
            .or_insert_with(|| Suspect { crashes: SmallVec::new(), expires });
        if suspect.crashes.contains(&report.crash) {
            return false;
        }
        suspect.crashes.push(report.crash);
        suspect.expires = expires;
        true
    }

    /// A suspect ran to its end alone: it is cleared.
    pub fn clear(&mut self, fingerprint: &Digest) {
        self.suspects.remove(fingerprint);
    }

    /// What to do with a request.
    pub fn verdict(&self, now: Moment, fingerprint: &Digest) -> Verdict {
        let known = self.suspects.get(fingerprint);
        let Some(suspect) = known.filter(|suspect| now < suspect.expires) else {
            return Verdict::Clear;
        };
        if suspect.crashes.len() < CONVICTION {
            return Verdict::Alone;
        }
        Verdict::Refuse(suspect.expires - now)
    }

    fn expire(&mut self, now: Moment) {
        self.suspects.retain(|_, suspect| now < suspect.expires);
        if self.suspects.len() < KEPT_SUSPECTS {
            return;
        }
        let first = self.suspects.iter().min_by_key(|(_, suspect)| suspect.expires);
        if let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }
}
