//! What the records of a ledger stream say of each key.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use fleet::{Name, digest::Digest, lease::Holder};

use crate::record::{Answer, Record};

/// State of one ledger stream.
#[derive(Clone, Debug)]
pub struct State {
    next_offset: u64,
    window: Duration,
    executions: BTreeMap<Digest, Execution>,
    keys_by_id: BTreeMap<Name, Digest>,
    /// Attempts given up, some before their `Begin` was ordered.
    abandoned: BTreeSet<Name>,
    expiry_queue: VecDeque<(Duration, Expiring)>,
}

#[derive(Clone, Debug)]
enum Expiring {
    Begin(Name),
    Abandon(Name),
}

/// The `Begin` in force for a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    pub id: Name,
    pub request: Digest,
    pub author: Holder,
    /// The log's time of the record, since the Unix epoch.
    pub logged_at: Duration,
    pub phase: Phase,
}

/// How an attempt ended, as far as the log tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    Open,
    Answered(Arc<Answer>),
    /// It may have run, and its answer is lost.
    Lost,
}

impl State {
    /// `window` is how long a key is remembered; it must stay below the log's retention.
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

    /// Offset of the next record to read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Notes that records before `first` have expired.
    pub fn skip_to(&mut self, first: u64) {
        self.next_offset = self.next_offset.max(first);
    }

    /// Folds in a record that the log took at `at` (since the Unix epoch).
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
            Record::Done { id, answer } => {
                self.finish(id, Phase::Answered(Arc::new(answer.clone())))
            }
            Record::Lost { id } => self.finish(id, Phase::Lost),
            Record::Abandon { id } => self.abandon(id, logged_at),
        }
    }

    /// The `Begin` in force for a key.
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

    /// The first end counts.
    fn finish(&mut self, id: &Name, phase: Phase) {
        let execution = self.keys_by_id.get(id).and_then(|key| self.executions.get_mut(key));
        if let Some(execution) = execution.filter(|execution| execution.phase == Phase::Open) {
            execution.phase = phase;
        }
    }

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

    /// Drops what the log took longer than the window before `at`.
    fn expire(&mut self, logged_at: Duration) {
        while let Some((_, expiring)) = self
            .expiry_queue
            .pop_front_if(|(logged, _)| self.window < logged_at.saturating_sub(*logged))
        {
            match expiring {
                Expiring::Begin(id) => self.remove(&id),
                Expiring::Abandon(id) => drop(self.abandoned.remove(&id)),
            }
        }
    }
}
