//! Requests suspected of crashing the engines that run them.
//!
//! Every request in flight when an engine crashed is a suspect. A suspect is
//! retried once, alone on a server; after a second crash it is assumed to be a
//! poison request and rejected until its entry expires. Each crash has an id, so
//! that a report relayed between instances is counted once.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{digest::Digest, lease::Moment};

/// Number of crashes after which a request is rejected.
const REJECT_AFTER_CRASHES: usize = 2;
/// Limit on the number of suspects; beyond it, the one that expires first is removed.
const MAX_SUSPECTS: usize = 4096;

/// A crash during which a request was in flight, as reported between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub fingerprint: Digest,
    /// Id of one crash of one engine.
    pub crash: u64,
}

/// The decision on how to run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it beside other requests.
    Allow,
    /// Run it alone on a server.
    Isolate,
    /// Reject it; the client may retry after this time.
    Reject(Duration),
}

/// The suspects known to one process.
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
    /// Creates an empty list that keeps a suspect for `retention` after its last crash.
    pub fn new(retention: Duration) -> List {
        List { retention, suspects: BTreeMap::new() }
    }

    /// Records a crash. Returns whether it was new.
    pub fn record(&mut self, now: Moment, report: &Report) -> bool {
        self.make_room(now, &report.fingerprint);
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

    /// Removes a suspect that completed when run alone.
    pub fn remove(&mut self, fingerprint: &Digest) {
        self.suspects.remove(fingerprint);
    }

    /// Returns how to run a request.
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

    /// Removes expired suspects and, if `reported` would exceed the limit, the one that expires
    /// first.
    fn make_room(&mut self, now: Moment, reported: &Digest) {
        self.suspects.retain(|_, suspect| now < suspect.expires_at);
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(reported) {
            return;
        }
        let first = self.suspects.iter().min_by_key(|(_, suspect)| suspect.expires_at);
        if let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }
}
