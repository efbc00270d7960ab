//! Attempts whose connection broke, until it is known whether their server has crashed.
//!
//! So do attempts that their callers left, since nobody sees their connections break.
//!
//! A broken connection is no evidence of a crash: a link, a full queue or a faulty response breaks
//! it, too. A server has crashed if a new connection is refused or not answered right after, or if
//! the store lists a later process of it, or none, without an announcement that it leaves. Each
//! process of a server crashes once; its [`crash_id`] is the same at all instances.

use std::{collections::HashMap, time::Duration};

use fleet::{
    digest::Digest,
    suspect::{Identity, Report, Suspects},
};
use smallvec::SmallVec;

use crate::{
    Moment,
    directory::{Directory, Listing, Phase},
};

/// Time in which the store may still tell that a server has crashed.
const REVIEW_PERIOD: Duration = Duration::from_secs(6);
/// Limit on the attempts that are kept of one server.
const MAX_ATTEMPTS: usize = 1024;

/// An attempt whose connection broke.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub request: Identity,
    /// Suspects of which it was a trial.
    pub on_trial: Suspects,
}

/// What to do about a broken attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Try a new connection to the server.
    Probe,
    /// Wait for the result of the connection that is being tried.
    Await,
    /// Nothing: the server leaves as planned.
    Ignore,
}

/// Broken attempts by the crash that would explain them.
#[derive(Clone, Debug, Default)]
pub struct Breakage {
    servers: HashMap<u64, Broken>,
}

/// A server with broken attempts.
#[derive(Clone, Debug)]
struct Broken {
    listing: Listing,
    attempts: SmallVec<[Attempt; 2]>,
    last_at: Moment,
    is_probing: bool,
}

/// Returns the id of the crash of a server's process.
pub fn crash_id(listing: &Listing) -> u64 {
    let born_ms = listing.born_ms.to_le_bytes();
    Digest::of_parts([listing.id.as_bytes(), &born_ms]).prefix()
}

impl Breakage {
    /// Records an attempt whose connection broke.
    pub fn record(
        &mut self,
        now: Moment,
        listing: &Listing,
        directory: &Directory,
        attempt: Attempt,
    ) -> Step {
        if is_leaving(listing, directory) {
            return Step::Ignore;
        }
        let broken = self.servers.entry(crash_id(listing)).or_insert_with(|| Broken {
            listing: listing.clone(),
            attempts: SmallVec::new(),
            last_at: now,
            is_probing: false,
        });
        broken.last_at = now;
        if broken.attempts.len() < MAX_ATTEMPTS {
            broken.attempts.push(attempt);
        }
        if std::mem::replace(&mut broken.is_probing, true) { Step::Await } else { Step::Probe }
    }

    /// Returns whether there are attempts that a crash would explain.
    pub fn contains(&self, crash: u64) -> bool {
        self.servers.contains_key(&crash)
    }

    /// Returns the server whose crash this is, if there are attempts that it would explain.
    pub fn server(&self, crash: u64) -> Option<Listing> {
        self.servers.get(&crash).map(|broken| broken.listing.clone())
    }

    /// Records that a server accepted a new connection. Its attempts are kept: a later process may
    /// have accepted it.
    pub fn record_connection(&mut self, crash: u64) {
        if let Some(broken) = self.servers.get_mut(&crash) {
            broken.is_probing = false;
        }
    }

    /// Returns whether a connection to the server is being tried.
    pub fn is_probing(&self, crash: u64) -> bool {
        self.servers.get(&crash).is_some_and(|broken| broken.is_probing)
    }

    /// Takes the attempts that a crash explains.
    pub fn take(&mut self, crash: u64) -> Vec<Report> {
        let Some(broken) = self.servers.remove(&crash) else { return Vec::new() };
        let reports = broken.attempts.into_iter().map(|attempt| Report {
            request: attempt.request,
            service: broken.listing.service.clone(),
            crash,
            on_trial: attempt.on_trial,
        });
        reports.collect()
    }

    /// Forgets the attempts of a request that has completed since.
    pub fn forget(&mut self, fingerprint: &Digest) {
        for broken in self.servers.values_mut() {
            broken.attempts.retain(|attempt| attempt.request.fingerprint != *fingerprint);
        }
    }

    /// Returns the servers that have crashed according to the store. Forgets attempts for which it
    /// did not tell so in time.
    pub fn review(&mut self, now: Moment, directory: &Directory) -> Vec<Listing> {
        self.servers.retain(|_, broken| {
            let known = directory.get(&broken.listing.id);
            let has_announced = known.is_some_and(|known| {
                known.born_ms == broken.listing.born_ms && known.phase == Phase::Leaving
            });
            broken.is_probing || now < broken.last_at + REVIEW_PERIOD && !has_announced
        });
        let broken = self.servers.values().filter(|broken| !broken.is_probing);
        let crashed = broken.filter(|broken| {
            let known = directory.get(&broken.listing.id);
            known.is_none_or(|known| broken.listing.born_ms < known.born_ms)
        });
        crashed.map(|broken| broken.listing.clone()).collect()
    }

    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}

/// Returns whether a process is leaving, or was removed before.
fn is_leaving(listing: &Listing, directory: &Directory) -> bool {
    directory
        .get(&listing.id)
        .is_none_or(|known| known.born_ms == listing.born_ms && known.phase == Phase::Leaving)
}
