//! Leases under two witnesses: the order of claims in the platform's log, and
//! presence in the platform's instance list.
//!
//! *Taking over* needs both: the holder's incarnation gone from the list for
//! `Rules::takeover` (or its release in the log), and a claim that the log
//! ordered first; then the claimant waits `Rules::takeover` again. *Holding*
//! needs either, not older than half of that. This is safe when an incarnation
//! that left the list never comes back and the list's lag stays below half of
//! `Rules::takeover`; `tests/lease_exploration.rs` explores both inside and
//! outside these assumptions.
//!
//! A claim's offset is its fencing number.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{Name, member::Listing};

/// Monotonic time since the process started.
pub type Moment = Duration;

/// How long a claim may stay unanswered before it is made again.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// One run of one process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    pub instance: Name,
    pub incarnation: u64,
}

/// Record of the lease stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", deny_unknown_fields)]
pub enum Record {
    /// Takes effect only if `prior` is the fence in force when the log orders it.
    Claim { resource: Name, holder: Holder, prior: Option<u64> },
    /// Repeats a claim before its record expires.
    Renew { resource: Name, holder: Holder, fence: u64 },
    /// Gives the resource up; `carry` is what the next holder takes over.
    Release { resource: Name, fence: u64, carry: u64 },
}

/// Who holds a resource, as the log tells it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    pub holder: Holder,
    pub fence: u64,
    /// What the holder passed on when it gave the resource up.
    pub released: Option<u64>,
}

/// Times that the safety of leases rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// Absence before a claim, and wait after it. Above twice the list's lag.
    pub takeover: Duration,
    /// How long the log keeps a record.
    pub retention: Duration,
    pub evidence: Evidence,
}

/// What the platform's list promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Evidence {
    /// An incarnation that left the list never comes back: either witness suffices to hold.
    LogOrList,
    /// No such promise: only the log suffices to hold.
    LogOnly,
}

/// Fold of the lease stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    pub next: u64,
    leases: BTreeMap<Name, Lease>,
    /// Older records have expired, so an unknown resource may be held.
    is_partial: bool,
}

impl Table {
    /// The lease on a resource, released or not.
    pub fn lease(&self, resource: &str) -> Option<&Lease> {
        self.leases.get(resource)
    }

    /// All leases by resource.
    pub fn leases(&self) -> impl Iterator<Item = (&Name, &Lease)> {
        self.leases.iter()
    }

    /// Whether a resource that is not in the table may be held all the same.
    pub fn is_partial(&self) -> bool {
        self.is_partial
    }

    /// Notes that records before `first` have expired.
    pub fn skip_to(&mut self, first: u64) {
        if self.next < first {
            self.next = first;
            self.is_partial = true;
        }
    }

    /// Folds one record in; tells whether it took effect.
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

/// What one process may hold and claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Participant {
    me: Holder,
    rules: Rules,
    table: Table,
    /// When the stream was first read, if records were missing then.
    partial_since: Option<Moment>,
    /// When the last read of the log that reached its tail was asked for.
    last_log_read: Option<Moment>,
    /// When the last read of the list that showed this incarnation was asked for.
    last_list_read: Option<Moment>,
    /// This incarnation was seen to have left the list.
    is_delisted: bool,
    /// When an incarnation was first seen to be absent.
    absent_since: BTreeMap<Holder, Moment>,
    own_leases: BTreeMap<Name, OwnLease>,
    /// Claims and renewals that were sent and not read back.
    pending: BTreeMap<Name, Moment>,
}

/// How a tenure began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Origin {
    /// Nobody held the resource before.
    First,
    /// The holder before gave it up and passed this on.
    Released(u64),
    /// The holder before vanished.
    Takeover,
}

/// A resource held now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ownership {
    pub fence: u64,
    pub origin: Origin,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OwnLease {
    fence: u64,
    origin: Origin,
    starts: Moment,
    /// When the claim or its last renewal was read back.
    confirmed: Moment,
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
            own_leases: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// The fold of the lease stream.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Who this process is.
    pub fn me(&self) -> &Holder {
        &self.me
    }

    /// Whether this incarnation has left the list and may hold nothing again.
    pub fn is_delisted(&self) -> bool {
        self.is_delisted
    }

    /// Takes in a read of the lease stream up to its tail, asked for at `asked`.
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

    /// Takes in a peer's leases, when records that this process lacks have expired.
    /// The log is read again from where the peer's table ends.
    pub fn install_table(&mut self, table: Table) {
        if !self.table.is_partial || table.is_partial {
            return;
        }
        self.table = table;
        self.own_leases.clear();
        self.pending.clear();
        self.last_log_read = None;
    }

    /// Takes in a read of the instance list, asked for at `asked`.
    pub fn on_list_read(&mut self, now: Moment, requested_at: Moment, listing: &Listing) {
        if listing.contains(&self.me.instance, self.me.incarnation) {
            self.last_list_read = self.last_list_read.max(Some(requested_at));
        } else if self.last_list_read.is_some() {
            self.is_delisted = true;
        }
        self.record_absences(now, listing);
    }

    /// How this process holds `resource` now, if it does.
    pub fn held(&self, now: Moment, resource: &str) -> Option<Ownership> {
        let own = self.own_leases.get(resource)?;
        let lease = self.table.lease(resource)?;
        let is_mine = lease.fence == own.fence && lease.released.is_none();
        let has_started = own.starts <= now;
        let is_retained = now.saturating_sub(own.confirmed) < self.rules.retention / 2;
        let is_held = is_mine && has_started && is_retained && self.has_recent_evidence(now);
        is_held.then_some(Ownership { fence: own.fence, origin: own.origin })
    }

    /// How this process claimed `resource`, whether or not its witnesses are recent.
    pub fn claimed(&self, now: Moment, resource: &str) -> Option<Ownership> {
        let own = self.own_leases.get(resource).filter(|own| own.starts <= now)?;
        Some(Ownership { fence: own.fence, origin: own.origin })
    }

    /// Time until this process holds `resource`, if it has claimed it.
    pub fn starts_in(&self, now: Moment, resource: &str) -> Option<Duration> {
        let own = self.own_leases.get(resource)?;
        Some(own.starts.saturating_sub(now))
    }

    /// Records to append so that this process comes to hold what it `wanted`.
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

    /// Records that give up everything held, for an orderly stop. `carry` tells
    /// what each resource passes on to its next holder. A tenure that has not
    /// started is not released: the holder before may still act.
    pub fn release_all(&mut self, now: Moment, carry: impl Fn(&Name) -> u64) -> Vec<Record> {
        let mut own_leases = std::mem::take(&mut self.own_leases);
        own_leases.retain(|_, own| own.starts <= now);
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
                let own = OwnLease { fence: offset, origin, starts: now + wait, confirmed: now };
                self.own_leases.insert(Arc::clone(resource), own);
                self.pending.remove(resource);
            }
            Record::Claim { resource, .. } => {
                self.own_leases.remove(resource);
                self.pending.remove(resource);
            }
            Record::Renew { resource, holder, .. } if *holder == self.me => {
                if let Some(own) = self.own_leases.get_mut(resource) {
                    own.confirmed = now;
                }
                self.pending.remove(resource);
            }
            Record::Renew { .. } | Record::Release { .. } => {}
        }
    }

    /// What a claim that takes effect now would start from.
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
        let is_gone = self
            .absent_since
            .get(&lease.holder)
            .is_some_and(|since| self.rules.takeover <= now.saturating_sub(*since));
        (lease.released.is_some() || is_gone)
            .then(|| self.claim_record(resource, Some(lease.fence)))
    }

    /// A resource without a record is free when no record is missing, or when the
    /// stream was followed for so long that any holder would have renewed it.
    fn can_claim_unrecorded(&self, now: Moment) -> bool {
        let followed = self.partial_since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        !self.table.is_partial || self.rules.retention / 2 <= followed
    }

    fn renewal(&self, now: Moment, resource: &Name) -> Option<Record> {
        let own = self.own_leases.get(resource)?;
        let is_due = self.rules.retention / 4 <= now.saturating_sub(own.confirmed);
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
    /// The resource that the record speaks of.
    pub fn resource(&self) -> &Name {
        match self {
            Record::Claim { resource, .. }
            | Record::Renew { resource, .. }
            | Record::Release { resource, .. } => resource,
        }
    }
}
