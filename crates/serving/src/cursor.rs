//! Reading of one log of the store, across restores of the store from an older copy.
//!
//! A restore begins a new era: records written after the copy are gone, and their offsets are given
//! out again. So a position is an era and an offset, and a response tells the era that it belongs
//! to. Records that follow a position of an earlier era are not used, since records between them
//! may be missing: the newest record of each key is read instead. A response of an era before the
//! known one was delayed on its way and is not used either; a response that names no era counts as
//! one of the first era, before all others. Eras may be skipped.

use serde::{Deserialize, Serialize};

/// Position in a log of the store; a later one is greater.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    pub era: u64,
    pub offset: u64,
}

/// Next read of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Read {
    /// The newest record of each key.
    Snapshot,
    /// The records from this position on.
    Tail(Position),
}

/// Use of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Apply,
    /// The response is the first one of a new era.
    ApplyRestored,
    /// The response is not used, and the next read is a snapshot.
    Discard,
    /// The response is older than what is known, and is not used.
    Stale,
}

/// Reader of one log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cursor {
    position: Position,
    needs_tail: bool,
}

impl Cursor {
    /// Returns whether the mirror has the log up to a position, so that only later records are needed.
    pub fn has_position(&self) -> bool {
        self.needs_tail
    }

    /// Returns the next read. `mirrored` is the position up to which the mirror has the log, which
    /// a peer's copy may have advanced.
    pub fn next_read(&mut self, mirrored: Position) -> Read {
        if !self.needs_tail {
            return Read::Snapshot;
        }
        self.position = self.position.max(mirrored);
        Read::Tail(self.position)
    }

    /// Records a response with the newest records of each key up to `end`.
    pub fn record_snapshot(&mut self, mirrored: Position, end: Position) -> Verdict {
        let known = self.position.max(mirrored);
        if end < known {
            self.needs_tail = end.era == known.era;
            return Verdict::Stale;
        }
        let is_first_read = known == Position::default();
        self.position = end;
        self.needs_tail = true;
        if known.era < end.era && !is_first_read { Verdict::ApplyRestored } else { Verdict::Apply }
    }

    /// Records a response with the records from `from` up to `next`.
    pub fn record_tail(&mut self, from: Position, next: Position) -> Verdict {
        if next.era < from.era {
            return Verdict::Stale;
        }
        if from.era < next.era {
            self.needs_tail = false;
            return Verdict::Discard;
        }
        self.position = self.position.max(next);
        Verdict::Apply
    }

    /// Records that the log has no records at the position of the read.
    pub fn record_expired(&mut self) {
        self.needs_tail = false;
    }
}
