//! Rate limits of client accounts.
//!
//! Each instance keeps a token bucket with the whole fleet's rate and burst for
//! each account. It charges its own requests at once and those of its peers when
//! they report them. Peers report running totals, so a lost report is made up for
//! by the next one. While a peer is silent, its share of the rate is withheld,
//! because it may still admit requests behind a network partition. A starting
//! instance does not know the usage before its start: it assumes a low bucket
//! level and adopts the lowest level that its peers report.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use quota::{bucket::Bucket, share::Share};

use crate::{Moment, Name, manifest::Account};

/// Shortest time between two reports of an instance.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Number of instances above which all of them report less often, so that what an instance receives
/// stays bounded.
const MAX_FREQUENT_INSTANCES: usize = 100;
/// Silence after which a peer's share of the rate is withheld, in report intervals. A report may take
/// one more interval to be passed on.
const RATE_SILENCE_INTERVALS: f64 = 8.0 / 3.0;
/// Silence after which a peer's share of the burst is withheld, too.
const BURST_SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Silence after which a peer is assumed to have stopped.
const PEER_EXPIRY: Duration = Duration::from_secs(20);
/// Silence after which a peer is forgotten.
const PEER_MEMORY: Duration = Duration::from_secs(600);
/// Longest time by which a report arrives after a later one. A peer that is behind by more has told a
/// wrong age before.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(5);
/// Time in which the parts of a peer's first report arrive.
const FIRST_REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Share of the burst that a new bucket starts with.
const INITIAL_LEVEL_SHARE: f64 = 0.1;
/// Time after the start for which a peer that has not reported yet counts as an instance.
const UNREPORTED_PEER_EXPIRY: Duration = Duration::from_secs(3);
/// Time after the start in which an instance adopts the lower bucket levels of its peers.
const LEVEL_SYNC_PERIOD: Duration = Duration::from_secs(1);

/// A request is admitted once the bucket holds its units or 1 / `ADMISSION_DIVISOR` of the burst,
/// and may overdraw it. If requests had to wait for their full size, small requests would starve
/// large ones.
const ADMISSION_DIVISOR: u64 = 10;
/// Rejected requests whose retries are tracked for one account.
const MAX_TRACKED_RETRIES: usize = 256;

/// Report of one instance to its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Random number, drawn anew at each start of the instance.
    pub incarnation: u64,
    /// Time since the instance started.
    pub age: Duration,
    /// Number of this part of the report, which has several if there are many accounts.
    pub part: u16,
    pub parts: u16,
    pub usage: Vec<Usage>,
}

/// Usage of one client account at one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    pub account: Name,
    /// Units admitted since the instance started.
    pub admitted: u64,
    /// Level of the instance's bucket, in units: its estimate for the whole fleet.
    pub level: u64,
}

/// Returns the time between two reports of an instance in a fleet of `instances`.
pub fn report_interval(instances: usize) -> Duration {
    let excess = instances as f64 / MAX_FREQUENT_INSTANCES as f64;
    MIN_REPORT_INTERVAL.mul_f64(excess.max(1.0))
}

/// Returns the silence after which a peer's share of the rate is withheld.
fn rate_silence_timeout(instances: usize) -> Duration {
    report_interval(instances).mul_f64(RATE_SILENCE_INTERVALS)
}

/// Rate limiter of all client accounts. Each `now` is the time since this instance started.
#[derive(Debug, Default)]
pub struct Limiter {
    buckets: HashMap<Name, Bucket>,
    /// Units admitted here since the start.
    admitted: HashMap<Name, u64>,
    peers: HashMap<SocketAddr, Peer>,
    retries: HashMap<Name, Retries>,
}

/// Rejected requests of one account that are expected to be retried. Each further rejection gets a
/// later retry time, so that the retries arrive one after another.
#[derive(Debug, Default)]
struct Retries {
    /// Time of the retry and units of the request.
    due: Vec<(Moment, u64)>,
}

/// The other instances, as this one hears them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Number of instances that are heard or were heard lately, this one included.
    pub known: usize,
    /// Peers that are heard, with the time since they started.
    pub heard: Vec<(SocketAddr, Duration)>,
}

#[derive(Debug, Default)]
struct Peer {
    incarnation: u64,
    /// Time since the peer's start, as of its last report.
    age: Duration,
    /// The same as of the first report of this start.
    first_age: Duration,
    /// Time of the last report; `None` before the first one.
    last_report_at: Option<Moment>,
    /// Units admitted by the peer since its start, by account.
    totals: HashMap<Name, u64>,
}

impl UsageReport {
    /// Splits the report into parts, each with one of these groups of accounts.
    pub fn split(self, groups: impl IntoIterator<Item = Vec<Usage>>) -> Vec<UsageReport> {
        let groups: Vec<Vec<Usage>> = groups.into_iter().collect();
        let parts = groups.len() as u16;
        let report = UsageReport { usage: Vec::new(), parts, ..self };
        let numbered = groups.into_iter().zip(0..);
        numbered.map(|(usage, part)| UsageReport { part, usage, ..report.clone() }).collect()
    }
}

impl Limiter {
    /// Charges `units` to an account if the bucket level suffices. Returns whether it does. The request
    /// may wait and try again.
    pub fn admit(&mut self, now: Moment, account: &Account, units: u64) -> bool {
        if account.rate == 0 {
            return true;
        }
        let bucket = self.bucket(now, account);
        if bucket.level(now) < needed(bucket, units) {
            return false;
        }
        bucket.charge(now, units);
        *self.admitted.entry(account.name.clone()).or_default() += units;
        true
    }

    /// Charges `units` to an account, or rejects the request.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request should be retried, if the bucket level is too
    /// low.
    pub fn acquire(&mut self, now: Moment, account: &Account, units: u64) -> Result<(), Duration> {
        if self.admit(now, account, units) {
            return Ok(());
        }
        let needed = needed(self.bucket(now, account), units);
        let ahead = self.retries.entry(account.name.clone()).or_default().pending_units(now);
        let wait = self.bucket(now, account).time_until(now, needed + ahead);
        self.retries.entry(account.name.clone()).or_default().push(now + wait, units);
        Err(wait)
    }

    /// Refunds the units of a request that did not run; they were charged at `charged_at`.
    pub fn refund(&mut self, now: Moment, account: &Account, units: u64, charged_at: Moment) {
        if account.rate == 0 {
            return;
        }
        if let Some(bucket) = self.buckets.get_mut(&account.name) {
            bucket.refund(now, units, charged_at);
        }
        if let Some(admitted) = self.admitted.get_mut(&account.name) {
            *admitted = admitted.saturating_sub(units);
        }
    }

    /// Adds a peer that may not have reported yet. It counts as an instance until it expires.
    pub fn add_peer(&mut self, peer: SocketAddr) {
        self.peers.entry(peer).or_default();
    }

    /// Returns this instance's report to its peers.
    pub fn usage_report(&mut self, now: Moment, incarnation: u64) -> UsageReport {
        let admitted = &self.admitted;
        let usage = self.buckets.iter_mut().map(|(account, bucket)| Usage {
            account: account.clone(),
            admitted: admitted.get(account).copied().unwrap_or(0),
            level: bucket.level(now),
        });
        UsageReport { incarnation, age: now, part: 0, parts: 1, usage: usage.collect() }
    }

    /// Charges the units that a peer has admitted since its previous report. While this instance is
    /// new, adopts the level of an older peer if it is lower. Returns whether the report was used: one
    /// that a later report has overtaken is not.
    pub fn record_report(&mut self, now: Moment, from: SocketAddr, report: &UsageReport) -> bool {
        let peer = self.peers.entry(from).or_default();
        if peer.is_overtaken(now, report) {
            return false;
        }
        let is_first = peer.incarnation != report.incarnation;
        if is_first {
            peer.incarnation = report.incarnation;
            peer.first_age = report.age;
            peer.totals.clear();
        }
        // The parts of the first report count as one, also if some of them come only with the next.
        let is_first = report.age <= peer.first_age.saturating_add(FIRST_REPORT_PERIOD);
        peer.last_report_at = Some(now);
        peer.age = report.age;
        // The level that an older peer reports already includes what it admitted before this
        // instance started. All usage of a younger peer has to be charged.
        let is_older = now < report.age;
        // A whole report names all accounts of the peer; one that is configured again starts from 0.
        if report.parts <= 1 {
            peer.totals.retain(|name, _| report.usage.iter().any(|usage| usage.account == *name));
        }
        for usage in &report.usage {
            let known = peer.totals.insert(usage.account.clone(), usage.admitted);
            let charged = if is_first && is_older { usage.admitted } else { 0 };
            let used = usage.admitted.saturating_sub(known.unwrap_or(charged));
            let Some(bucket) = self.buckets.get_mut(&usage.account) else { continue };
            bucket.charge(now, used);
            if is_older && now < LEVEL_SYNC_PERIOD {
                let surplus = bucket.level(now).saturating_sub(usage.level);
                bucket.take(now, surplus);
            }
        }
        true
    }

    /// Returns the number of instances that share the rate limits, this one included.
    pub fn instance_count(&self, now: Moment) -> usize {
        1 + self.peers.values().filter(|peer| peer.is_live(now)).count()
    }

    /// Returns the peers that are heard, and the number of instances.
    pub fn members(&self, now: Moment) -> Members {
        let known = self.instance_count(now);
        let timeout = rate_silence_timeout(known);
        let heard = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_live(now) && !peer.is_silent(now, timeout));
        Members {
            known,
            heard: heard.map(|(address, peer)| (*address, peer.age_at(now))).collect(),
        }
    }

    /// Creates the buckets of new accounts, so that they fill before the first request, and forgets
    /// the accounts that are not configured any more, and peers that have stopped.
    pub fn set_accounts(&mut self, now: Moment, accounts: &[Arc<Account>]) {
        let limited = accounts.iter().filter(|account| account.rate != 0);
        let names: HashSet<&Name> = limited.clone().map(|account| &account.name).collect();
        self.buckets.retain(|name, _| names.contains(name));
        self.admitted.retain(|name, _| names.contains(name));
        self.retries.retain(|name, _| names.contains(name));
        self.peers.retain(|_, peer| {
            peer.last_report_at.is_none_or(|reported_at| now < reported_at + PEER_MEMORY)
        });
        for account in limited {
            self.bucket(now, account);
        }
    }

    fn bucket(&mut self, now: Moment, account: &Account) -> &mut Bucket {
        let share = self.share(now, account);
        let bucket = self.buckets.entry(account.name.clone()).or_insert_with(|| {
            Bucket::new(now, share, (share.capacity as f64 * INITIAL_LEVEL_SHARE) as u64)
        });
        bucket.resize(now, share);
        bucket
    }

    /// Returns the account's rate and burst without the shares of silent peers.
    fn share(&self, now: Moment, account: &Account) -> Share {
        let instances = self.instance_count(now);
        let rate_timeout = rate_silence_timeout(instances);
        let instances = instances as u64;
        let available = |total: u64, timeout: Duration| {
            let live = self.peers.values().filter(|peer| peer.is_live(now));
            let silent = live.filter(|peer| peer.is_silent(now, timeout)).count() as u64;
            (total - total * silent / instances).max(1)
        };
        Share {
            rate: available(account.rate, rate_timeout),
            capacity: available(account.burst, BURST_SILENCE_TIMEOUT),
        }
    }
}

/// Returns the level at which a bucket admits a request.
fn needed(bucket: &Bucket, units: u64) -> u64 {
    units.min(bucket.share().capacity / ADMISSION_DIVISOR)
}

impl Peer {
    fn is_live(&self, now: Moment) -> bool {
        self.last_report_at
            .map_or(now < UNREPORTED_PEER_EXPIRY, |reported_at| now < reported_at + PEER_EXPIRY)
    }

    /// Returns whether a report that arrives now was sent before the last one: by an earlier start of
    /// the peer, or earlier in the same one.
    fn is_overtaken(&self, now: Moment, report: &UsageReport) -> bool {
        if self.last_report_at.is_none() {
            return false;
        }
        if self.incarnation != report.incarnation {
            return self.age_at(now) < report.age;
        }
        let behind = self.age.saturating_sub(report.age);
        !behind.is_zero() && behind < MAX_REPORT_DELAY
    }

    fn age_at(&self, now: Moment) -> Duration {
        self.age.saturating_add(now.saturating_sub(self.last_report_at.unwrap_or(now)))
    }

    fn is_silent(&self, now: Moment, timeout: Duration) -> bool {
        self.last_report_at.is_none_or(|reported_at| reported_at + timeout < now)
    }
}

impl Retries {
    /// Returns the units of requests whose retry is not due yet.
    fn pending_units(&mut self, now: Moment) -> u64 {
        self.due.retain(|(due, _)| now < *due);
        self.due.iter().map(|(_, units)| units).sum()
    }

    fn push(&mut self, due: Moment, units: u64) {
        if self.due.len() < MAX_TRACKED_RETRIES {
            self.due.push((due, units));
        }
    }
}
