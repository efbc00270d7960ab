//! What the records of a ledger stream say of each key.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use fleet::{Name, digest::Digest, lease::Holder};

use crate::record::{Answer, Record};

/// Fold of one ledger stream.
#[derive(Clone, Debug)]
pub struct Fold {
    next: u64,
    window: Duration,
    begins: BTreeMap<Digest, Begun>,
    keys: BTreeMap<Name, Digest>,
    /// Attempts given up, some before their `Begin` was ordered.
    abandoned: BTreeSet<Name>,
    ages: VecDeque<(Duration, Aged)>,
}

#[derive(Clone, Debug)]
enum Aged {
    Begin(Name),
    Abandon(Name),
}

/// The `Begin` in force for a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Begun {
    pub id: Name,
    pub request: Digest,
    pub author: Holder,
    /// The log's time of the record, since the Unix epoch.
    pub at: Duration,
    pub end: End,
}

/// How an attempt ended, as far as the log tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    Open,
    Answered(Arc<Answer>),
    /// It may have run, and its answer is lost.
    Lost,
}

impl Fold {
    /// `window` is how long a key is remembered; it must stay below the log's retention.
    pub fn new(window: Duration) -> Fold {
        Fold {
            next: 0,
            window,
            begins: BTreeMap::new(),
            keys: BTreeMap::new(),
            abandoned: BTreeSet::new(),
            ages: VecDeque::new(),
        }
    }

    /// Offset of the next record to read.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Notes that records before `first` have expired.
    pub fn skip_to(&mut self, first: u64) {
        self.next = self.next.max(first);
    }

    /// Folds in a record that the log took at `at` (since the Unix epoch).
    pub fn apply(&mut self, offset: u64, at: Duration, record: &Record) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        self.expire(at);
        match record {
            Record::Begin { id, key, request, author } => {
                let begun = Begun {
                    id: Arc::clone(id),
                    request: *request,
                    author: author.clone(),
                    at,
                    end: End::Open,
                };
                self.begin(*key, begun);
            }
            Record::Done { id, answer } => self.end(id, End::Answered(Arc::new(answer.clone()))),
            Record::Lost { id } => self.end(id, End::Lost),
            Record::Abandon { id } => self.abandon(id, at),
        }
    }

    /// The `Begin` in force for a key.
    pub fn begun(&self, key: &Digest) -> Option<&Begun> {
        self.begins.get(key)
    }

    fn begin(&mut self, key: Digest, begun: Begun) {
        if self.abandoned.contains(&begun.id) {
            cov_mark::hit!(begin_after_its_abandon);
            return;
        }
        if self.begins.contains_key(&key) {
            return;
        }
        self.ages.push_back((begun.at, Aged::Begin(Arc::clone(&begun.id))));
        self.keys.insert(Arc::clone(&begun.id), key);
        self.begins.insert(key, begun);
    }

    /// The first end counts.
    fn end(&mut self, id: &Name, end: End) {
        let begun = self.keys.get(id).and_then(|key| self.begins.get_mut(key));
        if let Some(begun) = begun.filter(|begun| begun.end == End::Open) {
            begun.end = end;
        }
    }

    fn abandon(&mut self, id: &Name, at: Duration) {
        let key = self.keys.get(id).copied();
        let begun = key.and_then(|key| self.begins.get(&key));
        let is_done = begun.is_some_and(|begun| begun.end != End::Open);
        if is_done {
            return;
        }
        if self.abandoned.insert(Arc::clone(id)) {
            self.ages.push_back((at, Aged::Abandon(Arc::clone(id))));
        }
        self.forget(id);
    }

    fn forget(&mut self, id: &Name) {
        if let Some(key) = self.keys.remove(id) {
            self.begins.remove(&key);
        }
    }

    /// Drops what the log took longer than the window before `at`.
    fn expire(&mut self, at: Duration) {
        while let Some((_, aged)) =
            self.ages.pop_front_if(|(taken, _)| self.window < at.saturating_sub(*taken))
        {
            match aged {
                Aged::Begin(id) => self.forget(&id),
                Aged::Abandon(id) => drop(self.abandoned.remove(&id)),
            }
        }
    }
}
