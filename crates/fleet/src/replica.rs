//! One process's copy of the configuration and how far it has read.
//!
//! The position only moves forward. A replica that starts after the first
//! records have expired waits for a snapshot whose records to the tail are
//! still there, or takes a peer's copy.

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

/// Records kept for peers that are a little behind.
const MAX_RECENT_ENTRIES: usize = 256;
/// Verdicts kept for authors that read back.
const MAX_OUTCOMES: usize = 1024;

/// A record with its place in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub offset: u64,
    pub record: Arc<Record>,
}

/// What one peer sends another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The asker is at least as far.
    Nothing,
    /// The records that the asker lacks.
    Entries(Vec<Entry>),
    /// The whole state, for an asker too far behind.
    #[serde(rename = "Whole")]
    Snapshot { next: u64, state: Arc<State> },
}

/// Whether records before the position are missing from the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Gap {
    Closed,
    /// Closed by a state that folds every record before this offset.
    Before(u64),
}

impl Default for Gap {
    fn default() -> Gap {
        Gap::Before(0)
    }
}

/// The fold so far.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    /// Offset of the next record to read.
    next: u64,
    /// Absent until the start of the log, a snapshot or a peer's copy was read.
    state: Option<Arc<State>>,
    gap: Gap,
    /// Records read behind a gap.
    buffered: BTreeMap<u64, Arc<Record>>,
    recent: VecDeque<Entry>,
    outcomes: VecDeque<(Name, Result<u64, Rejection>)>,
}

impl Replica {
    /// Offset of the next record to read.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// What to ask a peer for: its answer closes a gap, if there is one.
    pub fn sync_offset(&self) -> u64 {
        if self.has_gap() { 0 } else { self.next }
    }

    /// The configuration, once known.
    pub fn state(&self) -> Option<&Arc<State>> {
        self.state.as_ref()
    }

    /// Whether records expired before they were read; the state is then an old one.
    pub fn has_gap(&self) -> bool {
        self.gap != Gap::Closed
    }

    /// Verdict on a record by its id, if it was read lately.
    pub fn outcome(&self, id: &str) -> Option<&Result<u64, Rejection>> {
        self.outcomes.iter().rev().find(|(known, _)| &**known == id).map(|(_, outcome)| outcome)
    }

    /// Takes in a batch read from the log. `first` is the oldest offset that the
    /// log still has; records below the position are skipped.
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

    /// Takes in what a peer sent; tells whether anything was new.
    pub fn apply(&mut self, update: Update) -> bool {
        match update {
            Update::Nothing => false,
            Update::Entries(entries) => self.apply_entries(entries),
            Update::Snapshot { next, state } => self.apply_snapshot(next, state),
        }
    }

    /// What a peer at `next` lacks.
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

    /// A snapshot record's change, for appending before older records expire.
    pub fn snapshot(&self) -> Option<Change> {
        let state = self.state.as_ref().filter(|_| !self.has_gap())?;
        Some(Change::Snapshot { next: self.next, state: Box::new(State::clone(state)) })
    }

    /// The records between the position and `first` are gone. The old state stays
    /// until a newer one replaces it, so that nothing accepted is undone.
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

    /// Starts over from a state that folds every record before `next`.
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
