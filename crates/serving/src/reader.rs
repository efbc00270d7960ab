//! Which instances of an availability zone read the store, and which follow one that does.
//!
//! Each instance reads the store unless it hears a reader of its zone that ranks higher and reaches
//! the store. There is no election: each one decides by what it hears, so that nobody is left
//! without the store while instances disagree; they only read more often than needed. The ranks are
//! the processor shares of the instances and then hashes of their addresses, so the highest one that
//! works remains.
//!
//! A reader tells the generation of its mirror with its gossip. A follower fetches a copy of the
//! mirror when it hears of another generation. It follows only while the copy that it has is the one
//! that it hears of, or was a moment ago, so one that cannot fetch a copy reads the store itself.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{Moment, outage};

/// Silence of a reader after which nobody follows it.
const READER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time without a response of the store after which nobody follows a reader. It is above the time
/// between two reads.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(1200);
/// Time for which an instance follows a reader whose newest copy it does not have yet.
const MAX_COPY_DELAY: Duration = Duration::from_millis(700);

/// What an instance tells the others of its zone about its reads of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Random number, drawn anew at each start of the instance.
    pub incarnation: u64,
    /// Number of changes of its mirror.
    pub generation: u64,
    /// Time since the store last responded to it; `None` if it does not read the store, or has not
    /// reached it yet.
    pub silence: Option<Duration>,
    /// Answers of the store to it, or to the one that it follows.
    pub answers: Option<outage::Report>,
}

/// State of a mirror: which process has it, and after how many changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Version {
    pub incarnation: u64,
    pub generation: u64,
}

/// Process that reads the store for another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Followed {
    pub address: SocketAddr,
    pub incarnation: u64,
}

/// The readers of the zone, as one instance hears them.
#[derive(Debug)]
pub struct Zone {
    rank: u64,
    readers: HashMap<SocketAddr, Reader>,
    /// Newest copy that this instance fetched, and the last time at which it was current.
    copy: Option<(SocketAddr, Version, Moment)>,
}

/// A reader that ranks higher than this instance.
#[derive(Clone, Copy, Debug)]
struct Reader {
    rank: u64,
    heard_at: Moment,
    report: Report,
}

/// Returns the rank of an instance with this processor share, in thousandths of a core, among those of
/// its zone. Instances with equal shares, or of which none is known, are ranked by hash.
pub fn rank(hash: u64, capacity: u16) -> u64 {
    u64::from(capacity) << 48 | hash >> 16
}

impl Report {
    pub fn version(&self) -> Version {
        Version { incarnation: self.incarnation, generation: self.generation }
    }
}

impl Zone {
    /// Creates the state of an instance with this rank, which must differ from all others.
    pub fn new(rank: u64) -> Zone {
        Zone { rank, readers: HashMap::new(), copy: None }
    }

    /// Records the report of another instance of the zone. Returns whether a copy should be fetched
    /// from it now.
    pub fn record_report(
        &mut self,
        now: Moment,
        from: SocketAddr,
        rank: u64,
        report: Report,
    ) -> bool {
        if report.silence.is_none() || rank <= self.rank {
            self.readers.remove(&from);
            return false;
        }
        self.readers.insert(from, Reader { rank, heard_at: now, report });
        if self.source(now) != Some(from) {
            return false;
        }
        match &mut self.copy {
            Some((source, version, current_at))
                if *source == from && *version == report.version() =>
            {
                *current_at = now;
                false
            }
            _ => true,
        }
    }

    /// Records that the mirror holds a copy of this version.
    pub fn record_copy(&mut self, now: Moment, from: SocketAddr, version: Version) {
        self.copy = Some((from, version, now));
    }

    /// Records that the mirror was changed by this instance's own reads, so that it is no copy.
    pub fn record_own_change(&mut self) {
        self.copy = None;
    }

    /// Returns the reader to follow, if there is one.
    pub fn source(&self, now: Moment) -> Option<SocketAddr> {
        let working = self.readers.iter().filter(|(_, reader)| reader.is_working(now));
        working.max_by_key(|(_, reader)| reader.rank).map(|(address, _)| *address)
    }

    /// Returns the time since the store responded to the reader that this instance follows; `None`
    /// if this instance has to read the store itself.
    pub fn followed_silence(&self, now: Moment) -> Option<Duration> {
        let source = self.source(now)?;
        let (copied_from, _, current_at) = self.copy?;
        if copied_from != source || current_at + MAX_COPY_DELAY < now {
            return None;
        }
        self.readers.get(&source).map(|reader| reader.silence(now))
    }

    /// Returns the process that reads the store for this instance, if there is one.
    pub fn followed(&self, now: Moment) -> Option<Followed> {
        self.followed_silence(now)?;
        let address = self.source(now)?;
        let incarnation = self.readers.get(&address)?.report.incarnation;
        Some(Followed { address, incarnation })
    }

    /// Returns whether the mirror is the one that the followed reader has told of last.
    pub fn is_current(&self, from: SocketAddr) -> bool {
        let report = self.readers.get(&from).map(|reader| reader.report.version());
        self.copy.is_some_and(|(source, version, _)| source == from && Some(version) == report)
    }

    /// Forgets the readers that are not heard any more.
    pub fn forget_silent(&mut self, now: Moment) {
        self.readers.retain(|_, reader| now < reader.heard_at + READER_TIMEOUT);
    }
}

impl Reader {
    fn silence(&self, now: Moment) -> Duration {
        let silence = self.report.silence.unwrap_or(Duration::MAX);
        silence.saturating_add(now.saturating_sub(self.heard_at))
    }

    fn is_working(&self, now: Moment) -> bool {
        now < self.heard_at + READER_TIMEOUT && self.silence(now) < MAX_STORE_SILENCE
    }
}
