//! The configuration replica of one process and its position in the log.
//!
//! A replica applies records from the log or from a peer. If records expired
//! before it read them, it waits for a snapshot after which the log is complete,
//! or takes the state of a peer. Invariant: the position never moves back.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    Name,
    change::{Change, Record, Rejection},
    state::State,
};

/// Records retained for peers that lag slightly; a peer that lags more gets the whole state.
const MAX_RECENT_ENTRIES: usize = 256;
/// Outcomes retained for authors that wait for the outcome of a record.
const MAX_OUTCOMES: usize = 1024;

/// A record with its offset in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub offset: u64,
    pub record: Arc<Record>,
}

/// The answer to a peer that asks for records from an offset.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// Nothing to send: the peer is up to date, or the sender's own state is incomplete.
    Nothing,
    /// The records that the peer lacks.
    Entries(Vec<Entry>),
    /// The state after all records before offset `next`, for a peer that lags too far.
    #[serde(rename = "Whole")]
    Snapshot { next: u64, state: Arc<State> },
}

/// Whether records before the position are missing from the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Gap {
    /// No record is missing.
    Closed,
    /// Records before this offset are missing; a state that includes all of them closes the gap.
    Before(u64),
}

impl Default for Gap {
    fn default() -> Gap {
        Gap::Before(0)
    }
}

/// A replica of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    /// Offset of the next record to read.
    next: u64,
    /// `None` until the start of the log, a snapshot or a peer's state was read.
    state: Option<Arc<State>>,
    gap: Gap,
    /// Records read after a gap, applied once it is closed.
    buffered: BTreeMap<u64, Arc<Record>>,
    recent: VecDeque<Entry>,
    outcomes: VecDeque<(Name, Result<u64, Rejection>)>,
}

impl Replica {
    /// Returns the offset of the next record to read.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns the offset to request from a peer: 0, which asks for the whole state, while the
    /// replica has a gap.
    pub fn sync_offset(&self) -> u64 {
        if self.has_gap() { 0 } else { self.next }
    }

    /// Returns the configuration, once known.
    pub fn state(&self) -> Option<&Arc<State>> {
        self.state.as_ref()
    }

    /// Whether records before the position are missing, because nothing was read yet or they
    /// expired first; the state, if any, is then outdated.
    pub fn has_gap(&self) -> bool {
        self.gap != Gap::Closed
    }

    /// Returns the outcome of a record by its id, if it was applied recently: the new revision
    /// or the rejection.
    pub fn outcome(&self, id: &str) -> Option<&Result<u64, Rejection>> {
        self.outcomes.iter().rev().find(|(known, _)| &**known == id).map(|(_, outcome)| outcome)
    }

    /// Applies a batch read from the log. `first` is the oldest offset that the log retains;
    /// records before the position are skipped.
    pub fn ingest(&mut self, first: u64, entries: impl IntoIterator<Item = Entry>) {
        if self.state.is_none() && first == 0 && self.next == 0 {
            self.state = Some(Arc::default());
            self.gap = Gap::Closed;
        }
        if self.next < first {
            self.open_gap(first);
        }
        for entry in entries {
            self.ingest_entry(first, entry);
        }
    }

    /// Applies an update from a peer. Returns whether it contained anything new.
    pub fn apply(&mut self, update: Update) -> bool {
        match update {
            Update::Nothing => false,
            Update::Entries(entries) => self.apply_entries(entries),
            Update::Snapshot { next, state } => self.apply_snapshot(next, state),
        }
    }

    /// Returns the update for a peer whose position is `next`.
    pub fn update_since(&self, next: u64) -> Update {
        let Some(state) = &self.state else { return Update::Nothing };
        if self.has_gap() || self.next <= next {
            return Update::Nothing;
        }
        let oldest = self.recent.front().map_or(self.next, |entry| entry.offset);
        if next < oldest || next == 0 {
            return Update::Snapshot { next: self.next, state: Arc::clone(state) };
        }
        let missing = self.recent.iter().filter(|entry| next <= entry.offset);
        Update::Entries(missing.cloned().collect())
    }

    /// Returns a snapshot to append before older records expire; `None` while the state is
    /// unknown or outdated.
    pub fn snapshot(&self) -> Option<Change> {
        let state = self.state.as_ref().filter(|_| !self.has_gap())?;
        Some(Change::Snapshot { next: self.next, state: Box::new(State::clone(state)) })
    }

    /// Skips the expired records between the position and `first`. The old state remains until
    /// a newer one replaces it, so that no accepted change is undone.
    fn open_gap(&mut self, first: u64) {
        self.gap = Gap::Before(first);
        self.buffered.clear();
        self.recent.clear();
        self.next = first;
    }

    fn ingest_entry(&mut self, first: u64, entry: Entry) {
        if entry.offset < self.next {
            return;
        }
        self.next = entry.offset + 1;
        if !self.has_gap() {
            self.apply_entry(entry);
            return;
        }
        let snapshot = match &entry.record.change {
            Change::Snapshot { next, state } if first <= *next => {
                Some((*next, State::clone(state)))
            }
            _ => None,
        };
        self.buffered.insert(entry.offset, entry.record);
        if let Some((next, state)) = snapshot {
            self.close_gap(next, Arc::new(state));
        }
    }

    /// Installs a state that includes every record before `next` and applies the buffered
    /// records from `next` on.
    fn close_gap(&mut self, next: u64, state: Arc<State>) {
        self.gap = Gap::Closed;
        self.state = Some(state);
        self.next = self.next.max(next);
        self.recent.clear();
        let buffered = std::mem::take(&mut self.buffered);
        for (offset, record) in buffered.into_iter().filter(|(offset, _)| next <= *offset) {
            self.apply_entry(Entry { offset, record });
        }
    }

    fn apply_entry(&mut self, entry: Entry) {
        let Some(state) = &mut self.state else { return };
        let is_snapshot = matches!(entry.record.change, Change::Snapshot { .. });
        if !is_snapshot {
            let outcome = Arc::make_mut(state).apply(&entry.record);
            push_bounded(&mut self.outcomes, (Arc::clone(&entry.record.id), outcome), MAX_OUTCOMES);
        }
        push_bounded(&mut self.recent, entry, MAX_RECENT_ENTRIES);
    }

    fn apply_entries(&mut self, entries: Vec<Entry>) -> bool {
        let before = self.next;
        for entry in entries {
            if self.has_gap() || entry.offset != self.next {
                continue;
            }
            self.next = entry.offset + 1;
            self.apply_entry(entry);
        }
        before < self.next
    }

    fn apply_snapshot(&mut self, next: u64, state: Arc<State>) -> bool {
        let is_newer = match self.gap {
            Gap::Closed => self.next < next,
            Gap::Before(first) => first <= next,
        };
        if is_newer {
            self.close_gap(next, state);
        }
        is_newer
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T, limit: usize) {
    if limit <= queue.len() {
        queue.pop_front();
    }
    queue.push_back(item);
}
