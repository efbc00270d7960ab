//! Leases backed by two sources: the order of claims in the platform's log, and
//! the presence of incarnations in the platform's instance list.
//!
//! Takeover requires both: the holder's incarnation is absent from the list for
//! `Rules::takeover` (or the log contains its release), and the log orders the
//! claim first; without a release, the claimant then waits `Rules::takeover` again.
//! Keeping a lease requires a read of either source (see `Evidence`), requested at
//! most half of `Rules::takeover` ago.
//!
//! Invariant: a resource has at most one holder, provided that an incarnation
//! that left the list never returns and the list lags by less than half of
//! `Rules::takeover`. `tests/lease_exploration.rs` explores schedules within and
//! beyond these assumptions. The offset of a claim is its fencing token.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    Name,
    member::{Listing, Phase},
};

/// Monotonic time since the start of the process.
pub type Moment = Duration;

/// Time after which a claim or renewal that was not read back is sent again.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// One incarnation (run) of an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    pub instance: Name,
    pub incarnation: u64,
}

/// A record of the lease stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", deny_unknown_fields)]
pub enum Record {
    /// Claims a resource; takes effect only if `prior` is the resource's current fencing token
    /// at this offset.
    Claim { resource: Name, holder: Holder, prior: Option<u64> },
    /// Renews a claim before its record expires.
    Renew { resource: Name, holder: Holder, fence: u64 },
    /// Releases the resource; `carry` is a value handed to the next holder, such as the level of
    /// a token bucket.
    Release { resource: Name, fence: u64, carry: u64 },
}

/// The holder of a resource according to the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    pub holder: Holder,
    /// Fencing token: offset of the claim.
    pub fence: u64,
    /// Value that the holder handed over, if it has released the resource.
    pub released: Option<u64>,
}

/// Parameters on which the safety of leases depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// Absence of the holder before a claim, and wait after the claim. Must exceed twice the
    /// list's lag.
    pub takeover: Duration,
    /// Time for which the log retains a record.
    pub retention: Duration,
    pub evidence: Evidence,
}

/// Reads that suffice to keep a lease; depends on the guarantees of the instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Evidence {
    /// A recent read of the log or of the list; safe only if an incarnation that left the list
    /// never returns.
    LogOrList,
    /// A recent read of the log.
    LogOnly,
}

/// Leases by resource, built from the records of the lease stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    /// Offset of the next record to read.
    pub next: u64,
    leases: BTreeMap<Name, Lease>,
    /// Whether records expired before they were read: a resource without a lease may be held.
    is_partial: bool,
}

impl Table {
    /// Returns the lease on a resource, including a released one.
    pub fn lease(&self, resource: &str) -> Option<&Lease> {
        self.leases.get(resource)
    }

    /// Returns all leases with their resources.
    pub fn leases(&self) -> impl Iterator<Item = (&Name, &Lease)> {
        self.leases.iter()
    }

    /// Returns whether the lease that a release record gives up is still in force.
    pub fn is_in_force(&self, release: &Record) -> bool {
        let Record::Release { resource, fence, .. } = release else { return false };
        let lease = self.leases.get(resource);
        lease.is_some_and(|lease| lease.fence == *fence && lease.released.is_none())
    }

    /// Whether a resource that is missing from the table may be held.
    pub fn is_partial(&self) -> bool {
        self.is_partial
    }

    /// Skips the records before `first`, which have expired.
    pub fn skip_to(&mut self, first: u64) {
        if self.next < first {
            self.next = first;
            self.is_partial = true;
        }
    }

    /// Applies one record. Returns whether it took effect.
    pub fn apply(&mut self, offset: u64, record: &Record) -> bool {
        if offset < self.next {
            return false;
        }
        self.next = offset + 1;
        match record {
            Record::Claim { resource, holder, prior } => {
                self.claim(offset, resource, holder, *prior)
            }
            Record::Renew { resource, holder, fence } => self.renew(resource, holder, *fence),
            Record::Release { resource, fence, carry } => self.release(resource, *fence, *carry),
        }
    }

    fn claim(&mut self, offset: u64, resource: &Name, holder: &Holder, prior: Option<u64>) -> bool {
        if self.leases.get(resource).map(|lease| lease.fence) != prior {
            return false;
        }
        let lease = Lease { holder: holder.clone(), fence: offset, released: None };
        self.leases.insert(Arc::clone(resource), lease);
        true
    }

    fn renew(&mut self, resource: &Name, holder: &Holder, fence: u64) -> bool {
        if let Some(lease) = self.leases.get(resource) {
            return lease.fence == fence && lease.released.is_none();
        }
        // The claim expired before it was read.
        let lease = Lease { holder: holder.clone(), fence, released: None };
        self.leases.insert(Arc::clone(resource), lease);
        true
    }

    fn release(&mut self, resource: &Name, fence: u64, carry: u64) -> bool {
        let Some(lease) = self.leases.get_mut(resource) else { return false };
        let is_current = lease.fence == fence && lease.released.is_none();
        if is_current {
            lease.released = Some(carry);
        }
        is_current
    }
}

/// Lease state of one process: what it holds and what it may claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Participant {
    me: Holder,
    rules: Rules,
    table: Table,
    /// Time of the first read that left the table partial.
    partial_since: Option<Moment>,
    /// Request time of the latest read of the log that reached its tail.
    last_log_read: Option<Moment>,
    /// Request time of the latest read of the list that contained this incarnation.
    last_list_read: Option<Moment>,
    /// Whether this incarnation was listed before and then missing from a read of the list.
    is_delisted: bool,
    /// Time of the first read of the list without the holder, by absent holder.
    absent_since: BTreeMap<Holder, Moment>,
    /// Holders that the list showed as leaving, also if they are gone from it.
    leaving: BTreeSet<Holder>,
    own_leases: BTreeMap<Name, OwnLease>,
    /// Send times of claims and renewals not yet read back from the log.
    pending: BTreeMap<Name, Moment>,
}

/// The state of a resource before its current holder claimed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Origin {
    /// No lease existed.
    First,
    /// The previous holder released the resource and handed over this value.
    Released(u64),
    /// The previous holder was absent, or is unknown because its records expired.
    Takeover,
}

/// A lease that this process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// Fencing token.
    pub fence: u64,
    pub origin: Origin,
}

/// A lease that this process claimed, with the times that decide whether it is held.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OwnLease {
    fence: u64,
    origin: Origin,
    /// End of the wait after the claim; the lease is not held before.
    starts_at: Moment,
    /// Time at which the claim or its latest renewal was read back.
    confirmed_at: Moment,
}

impl Participant {
    pub fn new(me: Holder, rules: Rules) -> Participant {
        Participant {
            me,
            rules,
            table: Table::default(),
            partial_since: None,
            last_log_read: None,
            last_list_read: None,
            is_delisted: false,
            absent_since: BTreeMap::new(),
            leaving: BTreeSet::new(),
            own_leases: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// Returns the leases of all processes.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the identity of this process.
    pub fn me(&self) -> &Holder {
        &self.me
    }

    /// Whether this incarnation has left the list; it can never hold or claim a lease again.
    pub fn is_delisted(&self) -> bool {
        self.is_delisted
    }

    /// Records a read of the lease stream up to its tail. `first` is the oldest offset that the
    /// log retains; the read was requested at `requested_at`.
    pub fn on_log_read<'a>(
        &mut self,
        now: Moment,
        requested_at: Moment,
        first: u64,
        records: impl IntoIterator<Item = (u64, &'a Record)>,
    ) {
        self.table.skip_to(first);
        if self.table.is_partial {
            self.partial_since.get_or_insert(now);
        }
        for (offset, record) in records {
            self.on_record(now, offset, record);
        }
        self.last_log_read = self.last_log_read.max(Some(requested_at));
    }

    /// Replaces a partial table by a peer's complete one. The log must be read again from the
    /// end of the peer's table.
    pub fn install_table(&mut self, table: Table) {
        if !self.table.is_partial || table.is_partial {
            return;
        }
        self.table = table;
        self.own_leases.clear();
        self.pending.clear();
        self.last_log_read = None;
    }

    /// Records a read of the instance list that was requested at `requested_at`.
    pub fn on_list_read(&mut self, now: Moment, requested_at: Moment, listing: &Listing) {
        if listing.contains(&self.me.instance, self.me.incarnation) {
            self.last_list_read = self.last_list_read.max(Some(requested_at));
        } else if self.last_list_read.is_some() {
            self.is_delisted = true;
        }
        self.record_absences(now, listing);
        self.record_leaving(listing);
    }

    /// Returns the ownership of `resource` if this process holds it at `now`. That requires recent
    /// evidence, and a claim or renewal read back within the last half of `Rules::retention`.
    pub fn held(&self, now: Moment, resource: &str) -> Option<Ownership> {
        let own = self.own_leases.get(resource)?;
        let lease = self.table.lease(resource)?;
        let is_mine = lease.fence == own.fence && lease.released.is_none();
        let has_started = own.starts_at <= now;
        let is_retained = now.saturating_sub(own.confirmed_at) < self.rules.retention / 2;
        let is_held = is_mine && has_started && is_retained && self.has_recent_evidence(now);
        is_held.then_some(Ownership { fence: own.fence, origin: own.origin })
    }

    /// Returns the ownership of `resource` if this process has claimed it and the wait is over,
    /// without checking that its reads of log and list are recent.
    pub fn claimed(&self, now: Moment, resource: &str) -> Option<Ownership> {
        let own = self.own_leases.get(resource).filter(|own| own.starts_at <= now)?;
        Some(Ownership { fence: own.fence, origin: own.origin })
    }

    /// Returns the remaining wait before this process holds `resource`, if it has claimed it.
    pub fn starts_in(&self, now: Moment, resource: &str) -> Option<Duration> {
        let own = self.own_leases.get(resource)?;
        Some(own.starts_at.saturating_sub(now))
    }

    /// Returns whether `resource` is expected to get a holder without a takeover: it has had none
    /// yet, its holder released it, or its holder stops and releases it as its last act.
    pub fn is_handed_over(&self, resource: &str) -> bool {
        let lease = self.table.lease(resource);
        lease.is_none_or(|lease| lease.released.is_some() || self.leaving.contains(&lease.holder))
    }

    /// Returns the time by which another process may hold `resource` if its holder has failed: its
    /// absence from the list, and the wait of the claimant.
    pub fn takeover_at(&self, resource: &str) -> Option<Moment> {
        let lease = self.table.lease(resource)?;
        let absent_since = self.absent_since.get(&lease.holder)?;
        Some(*absent_since + self.rules.takeover * 2)
    }

    /// Returns whether the log was read to its tail by a read that was requested after `moment`.
    pub fn has_read_log_since(&self, moment: Moment) -> bool {
        self.last_log_read.is_some_and(|read| moment <= read)
    }

    /// Returns the claims and renewals to append so that this process acquires and keeps
    /// `resources`.
    pub fn acquire<'a>(
        &mut self,
        now: Moment,
        resources: impl IntoIterator<Item = &'a Name>,
    ) -> Vec<Record> {
        if self.is_delisted || self.last_log_read.is_none() {
            return Vec::new();
        }
        let claims: Vec<_> =
            resources.into_iter().filter_map(|resource| self.acquire_one(now, resource)).collect();
        for record in &claims {
            self.pending.insert(Arc::clone(record.resource()), now);
        }
        claims
    }

    /// Drops all own leases for an orderly stop and returns the releases to append. `carry`
    /// returns the value handed to the next holder of a resource. A claim whose wait is not over
    /// is not released: the previous holder may still be active.
    pub fn release_all(&mut self, now: Moment, carry: impl Fn(&Name) -> u64) -> Vec<Record> {
        let mut own_leases = std::mem::take(&mut self.own_leases);
        own_leases.retain(|_, own| own.starts_at <= now);
        let release = |(resource, own): (Name, OwnLease)| {
            let carry = carry(&resource);
            Record::Release { resource, fence: own.fence, carry }
        };
        own_leases.into_iter().map(release).collect()
    }

    fn on_record(&mut self, now: Moment, offset: u64, record: &Record) {
        let origin = self.origin(record.resource());
        if !self.table.apply(offset, record) {
            return;
        }
        match record {
            Record::Claim { resource, holder, .. } if *holder == self.me => {
                let wait = match origin {
                    Origin::First | Origin::Released(_) => Duration::ZERO,
                    Origin::Takeover => self.rules.takeover,
                };
                let own =
                    OwnLease { fence: offset, origin, starts_at: now + wait, confirmed_at: now };
                self.own_leases.insert(Arc::clone(resource), own);
                self.pending.remove(resource);
            }
            Record::Claim { resource, .. } => {
                self.own_leases.remove(resource);
                self.pending.remove(resource);
            }
            Record::Renew { resource, holder, .. } if *holder == self.me => {
                if let Some(own) = self.own_leases.get_mut(resource) {
                    own.confirmed_at = now;
                }
                self.pending.remove(resource);
            }
            Record::Renew { .. } | Record::Release { .. } => {}
        }
    }

    /// Returns the origin of a claim that takes effect now.
    fn origin(&self, resource: &str) -> Origin {
        match self.table.lease(resource) {
            Some(Lease { released: Some(carry), .. }) => Origin::Released(*carry),
            Some(_) => Origin::Takeover,
            None if self.table.is_partial => Origin::Takeover,
            None => Origin::First,
        }
    }

    fn record_absences(&mut self, now: Moment, listing: &Listing) {
        let holders: BTreeSet<_> =
            self.table.leases.values().map(|lease| lease.holder.clone()).collect();
        self.absent_since.retain(|holder, _| holders.contains(holder));
        for holder in holders {
            if listing.contains(&holder.instance, holder.incarnation) {
                self.absent_since.remove(&holder);
            } else {
                self.absent_since.entry(holder).or_insert(now);
            }
        }
    }

    fn record_leaving(&mut self, listing: &Listing) {
        let leaving = listing.members.iter().filter(|member| member.phase == Phase::Leaving);
        let leaving = leaving.map(|member| Holder {
            instance: Arc::clone(&member.instance),
            incarnation: member.incarnation,
        });
        self.leaving.extend(leaving);
        let leases = &self.table.leases;
        self.leaving.retain(|holder| leases.values().any(|lease| lease.holder == *holder));
    }

    fn has_recent_evidence(&self, now: Moment) -> bool {
        let limit = self.rules.takeover / 2;
        let is_recent =
            |read: Option<Moment>| read.is_some_and(|read| now.saturating_sub(read) <= limit);
        if self.is_delisted {
            return false;
        }
        match self.rules.evidence {
            Evidence::LogOrList => is_recent(self.last_log_read) || is_recent(self.last_list_read),
            Evidence::LogOnly => is_recent(self.last_log_read),
        }
    }

    fn acquire_one(&self, now: Moment, resource: &Name) -> Option<Record> {
        let is_pending = self
            .pending
            .get(resource)
            .is_some_and(|sent| now.saturating_sub(*sent) < CLAIM_TIMEOUT);
        if is_pending {
            return None;
        }
        let Some(lease) = self.table.lease(resource) else {
            return self.can_claim_unrecorded(now).then(|| self.claim_record(resource, None));
        };
        if lease.holder == self.me && lease.released.is_none() {
            return self.renewal(now, resource);
        }
        let is_absent = self
            .absent_since
            .get(&lease.holder)
            .is_some_and(|since| self.rules.takeover <= now.saturating_sub(*since));
        (lease.released.is_some() || is_absent)
            .then(|| self.claim_record(resource, Some(lease.fence)))
    }

    /// Whether a resource without a lease can be claimed: the table is complete, or the stream
    /// has been followed for so long that any holder would have renewed its claim.
    fn can_claim_unrecorded(&self, now: Moment) -> bool {
        let followed = self.partial_since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        !self.table.is_partial || self.rules.retention / 2 <= followed
    }

    fn renewal(&self, now: Moment, resource: &Name) -> Option<Record> {
        let own = self.own_leases.get(resource)?;
        let is_due = self.rules.retention / 4 <= now.saturating_sub(own.confirmed_at);
        is_due.then(|| Record::Renew {
            resource: Arc::clone(resource),
            holder: self.me.clone(),
            fence: own.fence,
        })
    }

    fn claim_record(&self, resource: &Name, prior: Option<u64>) -> Record {
        Record::Claim { resource: Arc::clone(resource), holder: self.me.clone(), prior }
    }
}

impl Record {
    /// Returns the resource of the record.
    pub fn resource(&self) -> &Name {
        match self {
            Record::Claim { resource, .. }
            | Record::Renew { resource, .. }
            | Record::Release { resource, .. } => resource,
        }
    }
}
