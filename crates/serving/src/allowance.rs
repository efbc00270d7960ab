//! What client accounts may still use.
//!
//! Each instance keeps a bucket of the whole fleet's rate and burst for each
//! client account, charges its own requests at once and those of its peers when
//! they report them. Peers report running totals, so a lost report costs nothing.
//! For a peer that fell silent its part of the rate is set aside, because it may
//! go on serving where nobody hears it.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use quota::{bucket::Bucket, share::Share};

use crate::{Moment, Name, manifest::Account};

/// Silence after which a peer's part of the rate is set aside.
const SILENCE: Duration = Duration::from_millis(1500);
/// Silence after which a peer is taken for gone.
const GONE: Duration = Duration::from_secs(20);
/// Part of the burst that a starting instance assumes unused.
const START_LEVEL: f64 = 0.25;

/// Promises that are remembered for one client account.
const MAX_QUEUE: usize = 256;

/// Units that an instance admitted since its start, by client account.
pub type Totals = Vec<(Name, u64)>;

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
    heard: Moment,
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
        let share = self.share(now, account);
        let bucket = self.buckets.entry(account.name.clone()).or_insert_with(|| {
            Bucket::new(now, share, (share.capacity as f64 * START_LEVEL) as u64)
        });
        bucket.resize(now, share);
        let needed = units.min(share.capacity);
        if bucket.level(now) < needed {
            let queue = self.refused.entry(account.name.clone()).or_default();
            let ahead = queue.ahead(now);
            let wait = bucket.wait_for(now, needed + ahead);
            queue.push(now + wait, units);
            return Err(wait);
        }
        bucket.charge(now, units);
        *self.admitted.entry(account.name.clone()).or_default() += units;
        Ok(())
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

    /// Own totals, for peers.
    pub fn totals(&self) -> Totals {
        self.admitted.iter().map(|(name, units)| (name.clone(), *units)).collect()
    }

    /// Takes a peer's totals.
    pub fn report(&mut self, now: Moment, from: SocketAddr, incarnation: u64, totals: &Totals) {
        let peer = self.peers.entry(from).or_default();
        let is_first = peer.incarnation != incarnation;
        if is_first {
            peer.incarnation = incarnation;
            peer.totals.clear();
        }
        peer.heard = now;
        for (name, total) in totals {
            let known = peer.totals.insert(name.clone(), *total);
            // What a peer used before it was first heard has flowed back, or was charged
            // through its earlier reports.
            let used = total.saturating_sub(known.unwrap_or(if is_first { *total } else { 0 }));
            if let Some(bucket) = self.buckets.get_mut(name) {
                bucket.charge(now, used);
            }
        }
    }

    /// Instances that share the accounts, this one included.
    pub fn instances(&self, now: Moment) -> usize {
        1 + self.peers.values().filter(|peer| now < peer.heard + GONE).count()
    }

    fn share(&self, now: Moment, account: &Account) -> Share {
        let known = self.peers.values().filter(|peer| now < peer.heard + GONE);
        let silent = known.filter(|peer| peer.heard + SILENCE < now).count() as u64;
        let instances = self.instances(now) as u64;
        let part = |whole: u64| whole - whole * silent / instances;
        Share { rate: part(account.rate).max(1), capacity: part(account.burst).max(1) }
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
