//! State of a ledger stream, built by replaying its records in log order: which
//! execution holds each idempotency key, and how it ended.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use fleet::{Name, digest::Digest, lease::Holder};

use crate::record::{Answer, Record};

/// State of one ledger stream after its first records, up to `next_offset`.
#[derive(Clone, Debug)]
pub struct State {
    next_offset: u64,
    /// Time for which a key is remembered, by the log's timestamps.
    window: Duration,
    executions: BTreeMap<Digest, Execution>,
    keys_by_id: BTreeMap<Name, Digest>,
    /// Abandoned executions; the log may order an `Abandon` before its `Begin`.
    abandoned: BTreeSet<Name>,
    /// Entries that will expire, with their log timestamps, in log order.
    expiry_queue: VecDeque<(Duration, Expiring)>,
}

#[derive(Clone, Debug)]
enum Expiring {
    Begin(Name),
    Abandon(Name),
}

/// The execution that holds a key, from the first valid `Begin` for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    pub id: Name,
    pub request: Digest,
    pub author: Holder,
    /// Log timestamp of the `Begin`, since the Unix epoch.
    pub logged_at: Duration,
    pub phase: Phase,
}

/// Phase of an execution according to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No end is recorded yet.
    Open,
    Answered(Arc<Answer>),
    /// The request may have run, but its answer was lost.
    Lost,
}

impl State {
    /// Creates an empty state. `window` is how long a key is remembered; it must be
    /// shorter than the log's retention, so that a replay finds the `Begin` of every
    /// remembered key.
    pub fn new(window: Duration) -> State {
        State {
            next_offset: 0,
            window,
            executions: BTreeMap::new(),
            keys_by_id: BTreeMap::new(),
            abandoned: BTreeSet::new(),
            expiry_queue: VecDeque::new(),
        }
    }

    /// Returns the offset of the next record to read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Skips records before offset `first`, which the log no longer retains.
    pub fn skip_to(&mut self, first: u64) {
        self.next_offset = self.next_offset.max(first);
    }

    /// Applies the record at `offset`, with the log's timestamp since the Unix epoch.
    /// Ignores a record that was applied or skipped before.
    pub fn apply(&mut self, offset: u64, logged_at: Duration, record: &Record) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        self.expire(logged_at);
        match record {
            Record::Begin { id, key, request, author } => {
                let execution = Execution {
                    id: Arc::clone(id),
                    request: *request,
                    author: author.clone(),
                    logged_at,
                    phase: Phase::Open,
                };
                self.begin(*key, execution);
            }
            Record::Done { id, answer } => self.end(id, Phase::Answered(Arc::new(answer.clone()))),
            Record::Lost { id } => self.end(id, Phase::Lost),
            Record::Abandon { id } => self.abandon(id, logged_at),
        }
    }

    /// Returns the execution that holds a key.
    pub fn execution(&self, key: &Digest) -> Option<&Execution> {
        self.executions.get(key)
    }

    fn begin(&mut self, key: Digest, execution: Execution) {
        if self.abandoned.contains(&execution.id) {
            cov_mark::hit!(begin_after_abandon);
            return;
        }
        if self.executions.contains_key(&key) {
            return;
        }
        self.expiry_queue
            .push_back((execution.logged_at, Expiring::Begin(Arc::clone(&execution.id))));
        self.keys_by_id.insert(Arc::clone(&execution.id), key);
        self.executions.insert(key, execution);
    }

    /// Ends an execution; only the first recorded end takes effect.
    fn end(&mut self, id: &Name, phase: Phase) {
        let execution = self.keys_by_id.get(id).and_then(|key| self.executions.get_mut(key));
        if let Some(execution) = execution.filter(|execution| execution.phase == Phase::Open) {
            execution.phase = phase;
        }
    }

    /// Frees the key of an execution that has not ended, and voids a later `Begin` of it.
    fn abandon(&mut self, id: &Name, logged_at: Duration) {
        let key = self.keys_by_id.get(id).copied();
        let execution = key.and_then(|key| self.executions.get(&key));
        let has_ended = execution.is_some_and(|execution| execution.phase != Phase::Open);
        if has_ended {
            return;
        }
        if self.abandoned.insert(Arc::clone(id)) {
            self.expiry_queue.push_back((logged_at, Expiring::Abandon(Arc::clone(id))));
        }
        self.remove(id);
    }

    fn remove(&mut self, id: &Name) {
        if let Some(key) = self.keys_by_id.remove(id) {
            self.executions.remove(&key);
        }
    }

    /// Drops entries that are older than the window at log time `now`.
    fn expire(&mut self, now: Duration) {
        while let Some((_, expiring)) = self
            .expiry_queue
            .pop_front_if(|(logged_at, _)| self.window < now.saturating_sub(*logged_at))
        {
            match expiring {
                Expiring::Begin(id) => self.remove(&id),
                Expiring::Abandon(id) => drop(self.abandoned.remove(&id)),
            }
        }
    }
}
