//! Requests that are suspected of crashing the servers that run them (`fleet::suspect`).
//!
//! When the connection of an attempt breaks, `evidence` finds out whether the server has crashed
//! (`serving::breakage`), and the other instances are told. A suspect runs only as a trial, granted by
//! one instance for each service (`trial`). Quarantines are kept in the store ([`archive`]).
//!
//! Architecture Invariant: the gate admits a request only with a [`Clearance`], and only this
//! module hands them out.

pub mod archive;
mod evidence;
mod trial;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use fleet::{
    digest::Digest,
    suspect::{Decision, List, trial::Trials},
};
use hyper::http::request;
use parking_lot::Mutex;

use serving::{breakage::Breakage, directory::Listing, manifest::Grant};

use crate::{entry::Entry, message::TrialReply, replies::Replies};

pub use trial::HeldTrial;

/// Reason for the rejection of a request in quarantine.
pub const REASON: &str =
    "the request crashed the servers that ran it; do not send it again unchanged";
/// Time for which a suspect is kept after its last crash, and length of the first quarantine.
const RETENTION: Duration = Duration::from_secs(600);
/// Time after its start for which an instance waits to learn which requests are in quarantine.
pub const SETTLING_PERIOD: Duration = Duration::from_millis(300);

/// What an instance knows of suspects and their trials.
pub struct Quarantine {
    pub list: Mutex<List>,
    pub breakage: Mutex<Breakage>,
    /// Trials of the services for which this instance grants them.
    trials: Mutex<Trials>,
    replies: Replies<TrialReply>,
    /// Notified when a broken attempt was examined.
    examined: event_listener::Event,
    /// Notified when a quarantine started or ended.
    judged: event_listener::Event,
    /// Whether a peer has told which requests are in quarantine.
    is_informed: AtomicBool,
    /// Whether those in the store were read.
    is_archive_read: AtomicBool,
}

/// Proof that a request may run on a server, given what is known of it.
pub struct Clearance(());

/// Returns the fingerprint of a request. A repeat has the same one, at whichever instance it
/// arrives: it names the client account, the host, the method, the path with its query, and the
/// body, and no header that differs between two attempts of a caller.
pub fn fingerprint(grant: &Grant, host: &str, parts: &request::Parts, body: &[u8]) -> Digest {
    let account = grant.account.as_ref().map_or("", |account| &account.name);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let method = parts.method.as_str();
    Digest::of_parts([account, host, method, path].into_iter().map(str::as_bytes).chain([body]))
}

impl Default for Quarantine {
    fn default() -> Quarantine {
        Quarantine {
            list: Mutex::new(List::new(RETENTION)),
            breakage: Mutex::default(),
            trials: Mutex::default(),
            replies: Replies::default(),
            examined: event_listener::Event::new(),
            judged: event_listener::Event::new(),
            is_informed: AtomicBool::new(false),
            is_archive_read: AtomicBool::new(false),
        }
    }
}

impl Entry {
    /// Records that a peer has told which requests are in quarantine.
    pub fn record_informed(&self) {
        if !self.quarantine.is_informed.swap(true, Ordering::Relaxed) {
            self.state_changed.notify(usize::MAX);
        }
    }

    /// Records that the quarantines in the store were read.
    pub fn record_archive_read(&self) {
        if !self.quarantine.is_archive_read.swap(true, Ordering::Relaxed) {
            self.state_changed.notify(usize::MAX);
        }
    }

    /// Returns whether the instance knows which requests are in quarantine, or waited for long
    /// enough.
    pub fn is_informed(&self) -> bool {
        if SETTLING_PERIOD <= self.now() {
            return true;
        }
        let is_archive_read = self.quarantine.is_archive_read.load(Ordering::Relaxed);
        let is_told = self.quarantine.is_informed.load(Ordering::Relaxed);
        is_archive_read && (is_told || self.peers.lock().addresses().next().is_none())
    }

    /// Returns how to run a request.
    pub fn decide(&self, fingerprint: &Digest) -> Decision {
        let mut list = self.quarantine.list.lock();
        if list.is_empty() {
            return Decision::Allow;
        }
        let decision = list.decide(self.now(), fingerprint);
        if list.has_unsaved() {
            self.quarantine.judged.notify(usize::MAX);
        }
        decision
    }

    /// Returns the clearance of a request for a server; a suspect needs a trial there.
    pub fn clear_to_run(
        &self,
        fingerprint: &Digest,
        server: &Listing,
        trial: Option<&HeldTrial>,
    ) -> Option<Clearance> {
        let is_tried = || trial.is_some_and(|trial| trial.is_for(server, self.now()));
        match self.decide(fingerprint) {
            Decision::Allow => Some(Clearance(())),
            Decision::Try { .. } if is_tried() => Some(Clearance(())),
            _ => None,
        }
    }
}
