//! Requests that are suspected of crashing the servers that run them, and what they have in common
//! with others (`fleet::suspect`): the parts of their prompts and their adapters.
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
    suspect::{Attribute, Decision, Identity, List, Suspects, trial::Trials},
};
use hyper::http::request;
use parking_lot::Mutex;
use smallvec::SmallVec;

use serving::{Moment, Name, breakage::Breakage, directory::Listing, manifest::Grant};

use crate::{
    entry::Entry,
    message::TrialReply,
    ports::{Model, RequestMeta},
    replies::Replies,
};

pub use trial::HeldTrial;

/// Reason for the rejection of a request in quarantine.
pub const REASON: &str = "the request, or others with the same prompt part or adapter, crashed the \
                          servers that ran it; do not send it again unchanged";
/// Time for which a suspect is kept after its last crash, and length of the first quarantine.
const RETENTION: Duration = Duration::from_secs(600);
/// Limit on the parts of a prompt that are attributes by themselves. All further ones together are
/// another attribute, so that none of them goes unseen.
const MAX_PARTS: usize = 32;
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

/// Returns the identity of a request. A repeat has the same fingerprint, at whichever instance it
/// arrives: it names the client account, the host, the method, the path with its query, and the
/// body, and no header that differs between two attempts of a caller.
pub fn identity(
    grant: &Grant,
    meta: &RequestMeta,
    parts: &request::Parts,
    body: &[u8],
) -> Identity {
    let account = grant.account.as_ref().map(|account| account.name.clone()).unwrap_or_default();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let texts = [&*account, &*meta.host, parts.method.as_str(), path];
    let fingerprint = Digest::of_parts(texts.into_iter().map(str::as_bytes).chain([body]));
    let mut attributes: SmallVec<[Attribute; 4]> = SmallVec::new();
    for part in meta.prompt_parts.iter().take(MAX_PARTS) {
        let attribute = Attribute::new("part", part);
        if !attributes.contains(&attribute) {
            attributes.push(attribute);
        }
    }
    if MAX_PARTS < meta.prompt_parts.len() {
        attributes.push(Attribute::new("parts", "further"));
    }
    if let Some(adapter) = meta.model.as_ref().and_then(Model::adapter) {
        attributes.push(Attribute::new("adapter", &adapter.to_string()));
    }
    Identity { fingerprint, account, attributes }
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
    pub fn decide(&self, request: &Identity) -> Decision {
        self.judge(|list, now| list.decide(now, request))
    }

    /// Returns how to run a request of an account that is, or has, all of these suspects.
    fn decide_suspects(&self, account: &Name, suspects: &Suspects) -> Decision {
        self.judge(|list, now| list.decide_suspects(now, account, suspects))
    }

    /// Returns those suspects that a request is or has for which it is rejected.
    pub fn rejected_suspects(&self, request: &Identity) -> Suspects {
        self.quarantine.list.lock().rejected(self.now(), request)
    }

    fn judge(&self, decide: impl FnOnce(&mut List, Moment) -> Decision) -> Decision {
        let mut list = self.quarantine.list.lock();
        if list.is_empty() {
            return Decision::Allow;
        }
        let decision = decide(&mut list, self.now());
        if list.has_unsaved() {
            self.quarantine.judged.notify(usize::MAX);
        }
        decision
    }

    /// Returns the clearance of a request for a server; suspects need a trial there.
    pub fn clear_to_run(
        &self,
        request: &Identity,
        server: &Listing,
        trial: Option<&HeldTrial>,
    ) -> Option<Clearance> {
        let is_tried = |suspects: &Suspects| {
            trial.is_some_and(|held| held.trial.covers(&server.id, suspects, self.now()))
        };
        match self.decide(request) {
            Decision::Allow => Some(Clearance(())),
            Decision::Try { suspects, .. } if is_tried(&suspects) => Some(Clearance(())),
            _ => None,
        }
    }
}
