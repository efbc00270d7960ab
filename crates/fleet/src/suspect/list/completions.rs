//! When requests and attributes last completed at one instance.
//!
//! Callers name the parts of their prompts, and may name new ones without end; so each client account
//! has a limited share.

use std::collections::HashMap;

use crate::{digest::Digest, lease::Moment, suspect::list::state::COMPLETION_PERIOD};

/// Limit on the completions that are kept.
const MAX_COMPLETIONS: usize = 65_536;
/// Limit on those of one client account.
const MAX_OF_ACCOUNT: usize = 4096;

#[derive(Clone, Debug, Default)]
pub(super) struct Completions {
    known: HashMap<Digest, Completion>,
    /// Number of those that each client account completed first.
    counts: HashMap<u64, usize>,
}

#[derive(Clone, Copy, Debug)]
struct Completion {
    at: Moment,
    /// Client account that completed it first, as a short key.
    account: u64,
}

impl Completions {
    /// Records a completion, unless it is a new one and there is no room for the account's.
    pub(super) fn record(&mut self, now: Moment, digest: &Digest, account: u64) {
        if let Some(known) = self.known.get_mut(digest) {
            known.at = now;
            return;
        }
        let count = self.counts.entry(account).or_default();
        if MAX_COMPLETIONS <= self.known.len() || MAX_OF_ACCOUNT <= *count {
            return;
        }
        *count += 1;
        self.known.insert(*digest, Completion { at: now, account });
    }

    /// Returns the time of the last completion.
    pub(super) fn last(&self, digest: &Digest) -> Option<Moment> {
        self.known.get(digest).map(|completion| completion.at)
    }

    /// Forgets those that do not speak for a suspect any more.
    pub(super) fn expire(&mut self, now: Moment) {
        self.known.retain(|_, completion| now < completion.at + COMPLETION_PERIOD);
        self.counts.clear();
        for completion in self.known.values() {
            *self.counts.entry(completion.account).or_default() += 1;
        }
    }
}
