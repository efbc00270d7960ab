//! What client accounts may still use.
//!
//! Each instance keeps a bucket of the whole fleet's rate and burst for each
//! client account, charges its own requests at once and those of its peers when
//! they report them. Peers report running totals, so a lost report costs nothing.
//! For a peer that fell silent its part of the rate is set aside, because it may
//! go on serving where nobody hears it. An instance that starts knows nothing of
//! what was used before: it assumes little, and takes the lowest level that its
//! peers report.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use quota::{bucket::Bucket, share::Share};

use crate::{Moment, Name, manifest::Account};

/// Silence after which a peer's part of the rate is set aside.
const QUIET: Duration = Duration::from_millis(400);
/// Silence after which its part of the burst is set aside, too.
const SILENCE: Duration = Duration::from_millis(1500);
/// Silence after which a peer is taken for gone.
const GONE: Duration = Duration::from_secs(20);
/// Part of the burst that a starting instance assumes unused.
const START_LEVEL: f64 = 0.1;
/// Time after its start in which an instance counts peers that it knows by address only.
const ACQUAINTANCE_SPAN: Duration = Duration::from_secs(3);
/// Time after its start in which an instance takes over the levels of its peers.
const START_SPAN: Duration = Duration::from_secs(1);

/// A request is admitted once the bucket holds this part of the burst, and may leave a debt:
/// waiting for its whole size, large requests would always lose to small ones.
const DEBT_DIVISOR: u64 = 10;
/// Promises that are remembered for one client account.
const MAX_QUEUE: usize = 256;

/// What an instance tells its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Drawn anew at each start.
    pub incarnation: u64,
    /// Time since the start.
    pub age: Duration,
    pub usage: Vec<Usage>,
}

/// What one client account used at an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    pub account: Name,
    /// Units admitted since the instance started.
    pub admitted: u64,
    /// Units that the instance takes to be left over the whole fleet.
    pub level: u64,
}

/// Buckets of all client accounts.
#[derive(Debug, Default)]
pub struct Ledger {
    buckets: HashMap<Name, Bucket>,
    admitted: HashMap<Name, u64>,
    peers: HashMap<SocketAddr, Peer>,
    refused: HashMap<Name, Queue>,
}

/// Refused requests that were told to come back, with when and for how many units.
#[derive(Debug, Default)]
struct Queue {
    due: Vec<(Moment, u64)>,
}

#[derive(Debug, Default)]
struct Peer {
    incarnation: u64,
    /// `None` while it is known by its address only.
    heard: Option<Moment>,
    totals: HashMap<Name, u64>,
}

impl Ledger {
    /// Charges `units`, or tells when they would be there.
    ///
    /// # Errors
    ///
    /// The time until the bucket holds enough.
    pub fn take(&mut self, now: Moment, account: &Account, units: u64) -> Result<(), Duration> {
        if account.rate == 0 {
            return Ok(());
        }
        let bucket = self.bucket(now, account);
        let share = bucket.share();
        let needed = units.min(share.capacity / DEBT_DIVISOR);
        if needed <= bucket.level(now) {
            bucket.charge(now, units);
            *self.admitted.entry(account.name.clone()).or_default() += units;
            return Ok(());
        }
        let ahead = self.refused.entry(account.name.clone()).or_default().ahead(now);
        let wait = self.bucket(now, account).time_until(now, needed + ahead);
        self.refused.entry(account.name.clone()).or_default().push(now + wait, units);
        Err(wait)
    }

    /// Gives back what a request was charged at `taken_at` that did not run.
    pub fn refund(&mut self, now: Moment, account: &Account, units: u64, taken_at: Moment) {
        if account.rate == 0 {
            return;
        }
        if let Some(bucket) = self.buckets.get_mut(&account.name) {
            bucket.refund(now, units, taken_at);
        }
        if let Some(admitted) = self.admitted.get_mut(&account.name) {
            *admitted = admitted.saturating_sub(units);
        }
    }

    /// Counts a peer that is known by its address, until it is heard or long enough silent.
    pub fn expect(&mut self, peer: SocketAddr) {
        self.peers.entry(peer).or_default();
    }

    /// What peers should know.
    pub fn statement(&mut self, now: Moment, incarnation: u64) -> Statement {
        let admitted = &self.admitted;
        let usage = self.buckets.iter_mut().map(|(account, bucket)| Usage {
            account: account.clone(),
            admitted: admitted.get(account).copied().unwrap_or(0),
            level: bucket.level(now),
        });
        Statement { incarnation, age: now, usage: usage.collect() }
    }

    /// Takes a peer's statement.
    pub fn report(&mut self, now: Moment, from: SocketAddr, statement: &Statement) {
        let peer = self.peers.entry(from).or_default();
        let is_first = peer.incarnation != statement.incarnation;
        if is_first {
            peer.incarnation = statement.incarnation;
            peer.totals.clear();
        }
        peer.heard = Some(now);
        // What an older peer admitted before this instance started is in its level; what a
        // younger one admitted is all news.
        let is_older = now < statement.age;
        for usage in &statement.usage {
            let known = peer.totals.insert(usage.account.clone(), usage.admitted);
            let before = if is_first && is_older { usage.admitted } else { 0 };
            let used = usage.admitted.saturating_sub(known.unwrap_or(before));
            let Some(bucket) = self.buckets.get_mut(&usage.account) else { continue };
            bucket.charge(now, used);
            if is_older && now < START_SPAN {
                let surplus = bucket.level(now).saturating_sub(usage.level);
                bucket.take(now, surplus);
            }
        }
    }

    /// Instances that share the accounts, this one included.
    pub fn instances(&self, now: Moment) -> usize {
        1 + self.peers.values().filter(|peer| peer.is_known(now)).count()
    }

    /// Begins to count for accounts that are new here, so that their buckets fill.
    pub fn prepare<'a>(
        &mut self,
        now: Moment,
        accounts: impl IntoIterator<Item = &'a Arc<Account>>,
    ) {
        for account in accounts.into_iter().filter(|account| account.rate != 0) {
            self.bucket(now, account);
        }
    }

    fn bucket(&mut self, now: Moment, account: &Account) -> &mut Bucket {
        let share = self.share(now, account);
        let bucket = self.buckets.entry(account.name.clone()).or_insert_with(|| {
            Bucket::new(now, share, (share.capacity as f64 * START_LEVEL) as u64)
        });
        bucket.resize(now, share);
        bucket
    }

    fn share(&self, now: Moment, account: &Account) -> Share {
        let instances = self.instances(now) as u64;
        let part = |whole: u64, limit: Duration| {
            let known = self.peers.values().filter(|peer| peer.is_known(now));
            let silent = known.filter(|peer| peer.is_silent(now, limit)).count() as u64;
            (whole - whole * silent / instances).max(1)
        };
        Share { rate: part(account.rate, QUIET), capacity: part(account.burst, SILENCE) }
    }
}

impl Peer {
    fn is_known(&self, now: Moment) -> bool {
        self.heard.map_or(now < ACQUAINTANCE_SPAN, |heard| now < heard + GONE)
    }

    fn is_silent(&self, now: Moment, limit: Duration) -> bool {
        self.heard.is_none_or(|heard| heard + limit < now)
    }
}

impl Queue {
    /// Units that were promised and are not due yet.
    fn ahead(&mut self, now: Moment) -> u64 {
        self.due.retain(|(due, _)| now < *due);
        self.due.iter().map(|(_, units)| units).sum()
    }

    fn push(&mut self, due: Moment, units: u64) {
        if self.due.len() < MAX_QUEUE {
            self.due.push((due, units));
        }
    }
}
