//! Tells an outage of the store from a failure between the store and this instance.
//!
//! While the store is away, servers cannot register again and their listings expire, so a removal that
//! is read soon after its return is no evidence that the server is gone. While only this instance cannot
//! reach the store, the servers' heartbeats go on and a removal means what it says. The instance's
//! own failed calls look the same in both cases; the answers that others get do not. So each instance
//! tells its peers for how long the store has answered it without a gap. A peer whose answers go back
//! to before this instance's gap shows that the store was there all the time.
//!
//! Without such a peer the store counts as having been away: the servers are kept a little longer.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Moment, directory::REREGISTRATION_GRACE};

/// Longest time between two answers of a store that is there. It covers the change of a zone's reader,
/// and is below the time in which a listing expires.
const MAX_GAP: Duration = Duration::from_millis(2000);
/// Time by which a peer's answers must be newer to replace longer ones of another peer.
const REPLACEMENT_AGE: Duration = Duration::from_millis(800);

/// The store's answers to one instance, and what its peers tell of theirs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    /// Answers to this instance or to the one that it follows; `None` before the first one.
    own: Option<Answers>,
    /// Answers that a peer told of.
    told: Option<Answers>,
    /// Latest gap between own answers, unless it is explained.
    gap: Option<Gap>,
}

/// Answers without a gap.
#[derive(Clone, Copy, Debug)]
struct Answers {
    first: Moment,
    last: Moment,
}

/// Time between two answers.
#[derive(Clone, Copy, Debug)]
struct Gap {
    start: Moment,
    end: Moment,
}

/// Answers without a gap, as instances tell each other: by their age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub first: Duration,
    pub last: Duration,
}

/// What an answer or a report shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The store may have been away for this time, and is back.
    Returned(Duration),
    /// The store was there during the latest gap.
    NeverAway,
}

impl Detector {
    /// Records an answer of the store that arrived at `at`, at this instance or at the one that it
    /// follows.
    pub fn record_answer(&mut self, at: Moment) -> Option<Finding> {
        let Some(own) = &mut self.own else {
            self.own = Some(Answers { first: at, last: at });
            return None;
        };
        let gap = Gap { start: own.last, end: at };
        own.last = own.last.max(at);
        let is_explained = self.told.is_some_and(|told| told.explains(gap));
        if gap.length() <= MAX_GAP || is_explained {
            return None;
        }
        own.first = at;
        self.gap = Some(gap);
        Some(Finding::Returned(gap.length()))
    }

    /// Records the answers that a peer tells of.
    pub fn record_report(&mut self, now: Moment, report: Report) -> Option<Finding> {
        let answers = Answers {
            first: now.saturating_sub(report.first),
            last: now.saturating_sub(report.last),
        };
        let is_shorter = |told: Answers| {
            told.first < answers.first && answers.last < told.last + REPLACEMENT_AGE
        };
        if !self.told.is_some_and(is_shorter) {
            self.told = Some(answers);
        }
        self.gap.take_if(|gap| answers.explains(*gap))?;
        if let Some(own) = &mut self.own {
            own.first = own.first.min(answers.first);
        }
        Some(Finding::NeverAway)
    }

    /// Returns whether the store was certainly there lately, for this instance or for a peer: for longer
    /// than servers that another instance takes for expired may be kept, and the outage before that.
    pub fn is_steady(&self, now: Moment) -> bool {
        let is_steady = |answers: Answers| {
            answers.first + REREGISTRATION_GRACE + MAX_GAP <= now && now <= answers.last + MAX_GAP
        };
        [self.own, self.told].into_iter().flatten().any(is_steady)
    }

    /// Returns what this instance tells its peers, after the first answer.
    pub fn report(&self, now: Moment) -> Option<Report> {
        let own = self.own?;
        let (first, last) = (now.saturating_sub(own.first), now.saturating_sub(own.last));
        Some(Report { first, last })
    }
}

impl Answers {
    /// Returns whether these show that the store was there during a gap.
    fn explains(&self, gap: Gap) -> bool {
        self.first <= gap.start + MAX_GAP && gap.end <= self.last + MAX_GAP
    }
}

impl Gap {
    fn length(&self) -> Duration {
        self.end.saturating_sub(self.start)
    }
}
