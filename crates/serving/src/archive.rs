//! Which origins of streams (`origin`) an instance writes to the store, and which it leaves to the instance
//! that reads the store for it.
//!
//! A follower delegates new origins to its reader, which writes them with its own and confirms them once the
//! store has them. The follower relies on that while it follows the same process; after that it delegates or
//! writes all that it has again. A writer has two records in the store, which it
//! replaces as a whole: all its origins, now and then, and those that are not in the first one.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    Moment, Name,
    origin::{Key, Origin, Record},
    reader::Followed,
};

/// Limit of the origins in one record, which the store limits in size.
pub const MAX_STREAMS: usize = 2000;

/// Time between two writes of all origins of a writer, if they are many.
const WHOLE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of origins up to which all are written each time.
const MAX_SHORT_RECORD: usize = 100;
/// Limit of the origins that others may delegate to an instance; they write further ones themselves.
const MAX_DELEGATED: usize = 20_000;
/// Limit of the requests that wait for their confirmation.
const MAX_AWAITING: usize = 1024;
/// Time after which a request is no more confirmed; its sender has written its origins itself.
const AWAITING_TIMEOUT: Duration = Duration::from_secs(1);

/// What a record says: the stream, and an origin of it. Two origins of a stream contradict each other.
type Claim = (Key, Origin);

/// Origins that other instances have delegated to this one.
#[derive(Debug, Default)]
pub struct Delegated {
    /// Origins with their expiry.
    claims: HashMap<Claim, Moment>,
    awaiting: Vec<Awaiting>,
}

/// Request whose sender is to be told that the store has its origins.
#[derive(Debug)]
struct Awaiting {
    receipt: Receipt,
    claims: Vec<Claim>,
    arrived_at: Moment,
}

/// Confirmation of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Receipt {
    pub to: SocketAddr,
    /// Number of the request.
    pub id: u64,
}

/// Origins that this instance has left to its reader.
#[derive(Debug, Default)]
pub struct Delegation {
    reader: Option<Followed>,
    confirmed: HashSet<Claim>,
}

/// Origins that this instance has in the store.
#[derive(Debug, Default)]
pub struct Written {
    /// Those in the record of all.
    whole: HashSet<Claim>,
    /// Those in the record of the ones since then.
    recent: HashSet<Claim>,
    whole_at: Moment,
}

/// One of the two records of a writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    Whole,
    Recent,
}

/// Record that is to be written in place of the former one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    pub part: Part,
    pub records: Vec<Record>,
}

impl Delegated {
    /// Keeps the records of a request until they expire, if there is room for them.
    pub fn record(&mut self, now: Moment, receipt: Receipt, records: &[Record]) {
        let is_full = MAX_DELEGATED < self.claims.len() + records.len();
        if is_full || MAX_AWAITING <= self.awaiting.len() {
            return;
        }
        self.claims.extend(records.iter().map(|it| (claim(it), now + it.remaining)));
        let claims = records.iter().map(claim).collect();
        self.awaiting.push(Awaiting { receipt, claims, arrived_at: now });
    }

    /// Returns the confirmations of the requests whose origins the store has by now, as written by this
    /// instance or by the one that it has left them to.
    pub fn take_receipts(
        &mut self,
        now: Moment,
        written: &Written,
        delegation: &Delegation,
    ) -> Vec<Receipt> {
        self.awaiting.retain(|awaiting| now < awaiting.arrived_at + AWAITING_TIMEOUT);
        let is_kept = |claim: &Claim| written.has(claim) || delegation.confirmed.contains(claim);
        let kept = self.awaiting.extract_if(.., |awaiting| awaiting.claims.iter().all(is_kept));
        kept.map(|awaiting| awaiting.receipt).collect()
    }

    /// Returns the records of some services, and forgets those that have expired.
    pub fn records(&mut self, now: Moment, services: &BTreeSet<Name>) -> Vec<Record> {
        self.claims.retain(|_, expires_at| now < *expires_at);
        let wanted =
            self.claims.iter().filter(|((_, origin), _)| services.contains(&origin.service));
        wanted
            .map(|((key, origin), expires_at)| Record {
                key: key.clone(),
                origin: origin.clone(),
                remaining: expires_at.saturating_sub(now),
            })
            .collect()
    }
}

impl Delegation {
    /// Returns the records that are not left to `reader`, the process that this instance follows now.
    pub fn remaining(&mut self, reader: Option<Followed>, records: Vec<Record>) -> Vec<Record> {
        if self.reader != reader {
            self.confirmed.clear();
            self.reader = reader;
        }
        let current: HashSet<Claim> = records.iter().map(claim).collect();
        self.confirmed.retain(|claim| current.contains(claim));
        records.into_iter().filter(|record| !self.confirmed.contains(&claim(record))).collect()
    }

    /// Records that the reader has written these.
    pub fn record_confirmation(&mut self, records: &[Record]) {
        self.confirmed.extend(records.iter().map(claim));
    }
}

impl Written {
    /// Returns what has to be written so that the store has these records.
    pub fn next(&self, now: Moment, records: &[Record]) -> Option<Write> {
        let is_new = |record: &&Record| !self.whole.contains(&claim(record));
        let since: Vec<Record> = records.iter().filter(is_new).cloned().collect();
        if since.iter().all(|record| self.recent.contains(&claim(record))) {
            return None;
        }
        if records.len() <= MAX_SHORT_RECORD || self.whole_at + WHOLE_INTERVAL <= now {
            return Some(Write { part: Part::Whole, records: longest_lived(records.to_vec()) });
        }
        Some(Write { part: Part::Recent, records: longest_lived(since) })
    }

    /// Records that the store has what was to be written.
    pub fn record(&mut self, now: Moment, write: &Write) {
        let claims = write.records.iter().map(claim).collect();
        match write.part {
            Part::Whole => {
                (self.whole, self.whole_at) = (claims, now);
                self.recent.clear();
            }
            Part::Recent => self.recent = claims,
        }
    }

    /// Returns the records in the store that have origins.
    pub fn parts(&self) -> impl Iterator<Item = Part> {
        let recent = (!self.recent.is_empty()).then_some(Part::Recent);
        let whole = (!self.whole.is_empty()).then_some(Part::Whole);
        [recent, whole].into_iter().flatten()
    }

    fn has(&self, claim: &Claim) -> bool {
        self.whole.contains(claim) || self.recent.contains(claim)
    }
}

/// Returns the records that expire last, as many as fit.
fn longest_lived(mut records: Vec<Record>) -> Vec<Record> {
    records.sort_by_key(|record| std::cmp::Reverse(record.remaining));
    records.truncate(MAX_STREAMS);
    records
}

fn claim(record: &Record) -> Claim {
    (record.key.clone(), record.origin.clone())
}
