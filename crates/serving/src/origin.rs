//! The software version that began a stream. What two versions write does not fit together, so a
//! stream goes on only at servers of the version that began it: within one answer, and when a caller
//! takes it up in another attempt.
//!
//! The instance that sends the first event of a stream to its caller records its [`Origin`] and tells
//! a few other processes, its holders, which are chosen by [`holders`]. Whoever gets the caller's next
//! attempt asks them. A record is never guessed: what contradicts itself, or is not known, lets nothing
//! go on.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use fleet::digest::Digest;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Moment, Name, directory::Listing};

/// Longest time for which an origin is kept after its stream began.
const MAX_LIFETIME: Duration = Duration::from_secs(600);
/// Limit of the records that one process keeps.
const MAX_RECORDS: usize = 50_000;

/// Service and software version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    pub service: Name,
    pub version: Name,
}

/// Names a stream: the client account, and the attempt that brought its first event.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Key {
    pub account: Name,
    /// Digest of the attempt's id, which is the caller's own word.
    attempt: u128,
}

/// Origin of a stream, as processes tell it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub key: Key,
    pub origin: Origin,
    /// Time for which the caller may take the stream up.
    pub remaining: Duration,
}

/// How far a stream has come, which decides where it may run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Progress {
    /// The caller has nothing of it, so any version may begin. Also for requests that are no streams.
    #[default]
    NotBegun,
    /// The caller has events of this origin.
    Begun(Origin),
    /// The caller has events of a version that is not known.
    Unknown,
}

/// Proof that a request may run at a server of this software version.
#[derive(Debug)]
pub struct Compatible(());

/// Origins that one process keeps. A caller that names very many streams displaces only its own.
#[derive(Clone, Debug)]
pub struct Registry {
    accounts: HashMap<Name, Account>,
    len: usize,
    max_records: usize,
}

/// What a registry knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    Known(Origin),
    Unknown,
    /// Two origins were recorded under the same key.
    Contradictory,
}

#[derive(Clone, Debug, Default)]
struct Account {
    entries: HashMap<u128, Entry>,
    by_expiry: BTreeSet<(Moment, u128)>,
}

#[derive(Clone, Debug)]
struct Entry {
    /// `None` if two different ones were recorded.
    origin: Option<Origin>,
    expires_at: Moment,
}

impl Key {
    /// Returns the key of a stream that an account's attempt began.
    pub fn new(account: &Name, attempt: &str) -> Key {
        let digest = Digest::of_parts([account.as_bytes(), attempt.as_bytes()]);
        Key { account: account.clone(), attempt: digest.wide_prefix() }
    }
}

impl Progress {
    /// Returns the proof that the request may run at a server, if it may.
    pub fn admit(&self, server: &Listing) -> Option<Compatible> {
        let is_compatible = match self {
            Progress::NotBegun => true,
            Progress::Begun(origin) => {
                origin.service == server.service && origin.version == server.version
            }
            Progress::Unknown => false,
        };
        is_compatible.then_some(Compatible(()))
    }

    pub fn has_begun(&self) -> bool {
        *self != Progress::NotBegun
    }

    /// Returns the version at which the stream must go on, if it is known.
    pub fn version(&self) -> Option<&Name> {
        match self {
            Progress::Begun(origin) => Some(&origin.version),
            Progress::NotBegun | Progress::Unknown => None,
        }
    }
}

impl Default for Registry {
    fn default() -> Registry {
        Registry::new(MAX_RECORDS)
    }
}

impl Registry {
    /// Creates a registry of at most `max_records` records.
    pub fn new(max_records: usize) -> Registry {
        Registry { accounts: HashMap::new(), len: 0, max_records }
    }

    /// Records an origin.
    pub fn record(&mut self, now: Moment, record: &Record) {
        self.expire(now);
        let expires_at = now + record.remaining.min(MAX_LIFETIME);
        let account = self.accounts.entry(record.key.account.clone()).or_default();
        let attempt = record.key.attempt;
        if let Some(entry) = account.entries.get_mut(&attempt) {
            if entry.origin.as_ref() != Some(&record.origin) {
                entry.origin = None;
            }
            account.by_expiry.remove(&(entry.expires_at, attempt));
            entry.expires_at = entry.expires_at.max(expires_at);
            account.by_expiry.insert((entry.expires_at, attempt));
            return;
        }
        account.entries.insert(attempt, Entry { origin: Some(record.origin.clone()), expires_at });
        account.by_expiry.insert((expires_at, attempt));
        self.len += 1;
        if self.max_records < self.len {
            self.displace();
        }
    }

    /// Returns what is known of a stream.
    pub fn get(&self, now: Moment, key: &Key) -> Answer {
        let account = self.accounts.get(&key.account);
        let entry = account.and_then(|account| account.entries.get(&key.attempt));
        match entry.filter(|entry| now < entry.expires_at) {
            Some(Entry { origin: Some(origin), .. }) => Answer::Known(origin.clone()),
            Some(Entry { origin: None, .. }) => Answer::Contradictory,
            None => Answer::Unknown,
        }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn expire(&mut self, now: Moment) {
        for account in self.accounts.values_mut() {
            while account.by_expiry.first().is_some_and(|(expires_at, _)| *expires_at <= now) {
                account.drop_first();
                self.len -= 1;
            }
        }
        self.accounts.retain(|_, account| !account.entries.is_empty());
    }

    /// Drops the record that expires first of the account with the most records.
    fn displace(&mut self) {
        let largest = self.accounts.values_mut().max_by_key(|account| account.entries.len());
        if let Some(account) = largest {
            account.drop_first();
            self.len -= 1;
        }
    }
}

impl Account {
    fn drop_first(&mut self) {
        if let Some((_, attempt)) = self.by_expiry.pop_first() {
            self.entries.remove(&attempt);
        }
    }
}

/// Returns the first `count` processes that hold a stream's origin, by rendezvous hashing over the
/// candidates: those who tell and those who ask agree where they know the same ones. `hash` is that of
/// a name.
pub fn holders(
    key: &Key,
    candidates: impl IntoIterator<Item = SocketAddr>,
    count: usize,
    hash: impl Fn(&str) -> u64,
) -> SmallVec<[SocketAddr; 4]> {
    let ranked = candidates.into_iter().map(|it| (hash(&format!("{:x} {it}", key.attempt)), it));
    let mut ranked: Vec<(u64, SocketAddr)> = ranked.collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.dedup();
    ranked.into_iter().take(count).map(|(_, it)| it).collect()
}
