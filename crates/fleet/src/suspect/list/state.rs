//! What is known of one suspect.

use std::time::Duration;

use smallvec::SmallVec;

use crate::{
    Name,
    digest::Digest,
    lease::Moment,
    suspect::{self, Kind, Quarantine, Record},
};

/// Time before a crash in which a completion speaks for a suspect.
pub(super) const COMPLETION_PERIOD: Duration = Duration::from_secs(10);
/// Time for which a suspect that was cleared is kept, so that late reports do not bring it back.
const CLEARED_RETENTION: Duration = Duration::from_secs(30);
/// Limit on the runs that are kept of one suspect.
const MAX_RUNS: usize = 16;

#[derive(Clone, Debug)]
pub(super) struct Suspect {
    pub(super) kind: Kind,
    pub(super) account: Name,
    pub(super) service: Name,
    pub(super) runs: SmallVec<[Run; 2]>,
    /// Time of its last completion, if any is known. Of a request, before it became a suspect.
    pub(super) completed_at: Option<Moment>,
    /// Number of quarantines so far.
    pub(super) quarantines: u32,
    /// End of the latest quarantine.
    pub(super) quarantined_until: Moment,
    /// Time of the latest change at this instance.
    pub(super) changed_at: Moment,
}

/// A run that ended with a crash.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    pub(super) crash: u64,
    /// Start of the fingerprint of the request.
    pub(super) request: u64,
    /// Start of the digest of its client account.
    pub(super) account: u64,
    pub(super) at: Moment,
    pub(super) is_trial: bool,
    pub(super) is_cleared: bool,
}

impl Suspect {
    /// Returns the runs that the suspect was not cleared of.
    pub(super) fn open_runs(&self) -> impl Iterator<Item = &Run> {
        self.runs.iter().filter(|run| !run.is_cleared)
    }

    pub(super) fn is_open(&self) -> bool {
        self.open_runs().next().is_some()
    }

    pub(super) fn last_crash_at(&self) -> Option<Moment> {
        self.open_runs().map(|run| run.at).max()
    }

    /// Returns whether the suspect completed shortly before the first of its crashes.
    pub(super) fn completed_before(&self) -> bool {
        let first_crash_at = self.open_runs().map(|run| run.at).min();
        let (Some(first), Some(completed_at)) = (first_crash_at, self.completed_at) else {
            return false;
        };
        first < completed_at + COMPLETION_PERIOD
    }

    /// Returns the number of trials that ended in a crash since the latest quarantine.
    pub(super) fn fresh_trials(&self) -> usize {
        let trials = self.open_runs().filter(|run| run.is_trial);
        trials.filter(|run| self.quarantined_until <= run.at).count()
    }

    /// Returns whether this one was running at each crash of another suspect.
    pub(super) fn covers(&self, other: &Suspect) -> bool {
        let has = |crash: u64| self.open_runs().any(|run| run.crash == crash);
        other.open_runs().all(|run| has(run.crash))
    }

    /// Returns whether crashes under requests of an account, or of several ones, speak against it.
    pub(super) fn concerns(&self, account: &Name) -> bool {
        let account = account_key(account);
        let mut accounts = self.open_runs().map(|run| run.account);
        let Some(first) = accounts.next() else { return false };
        first == account || accounts.any(|other| other != first)
    }

    /// Clears it of all crashes. Returns whether there were any.
    pub(super) fn clear_all(&mut self) -> bool {
        let is_open = self.is_open();
        self.runs.iter_mut().for_each(|run| run.is_cleared = true);
        is_open
    }

    /// Clears it of its oldest crash. Returns whether there was one.
    pub(super) fn clear_oldest(&mut self) -> bool {
        let open = self.runs.iter_mut().filter(|run| !run.is_cleared);
        let oldest = open.min_by_key(|run| run.at);
        oldest.is_some_and(|run| !std::mem::replace(&mut run.is_cleared, true))
    }

    pub(super) fn is_quarantined(&self, now: Moment) -> bool {
        now < self.quarantined_until && self.is_open()
    }

    pub(super) fn expires_at(&self, retention: Duration) -> Moment {
        let Some(last_crash_at) = self.last_crash_at() else {
            let last = self.runs.iter().map(|run| run.at).max().unwrap_or_default();
            return last.max(self.changed_at) + CLEARED_RETENTION;
        };
        last_crash_at.max(self.quarantined_until) + retention
    }

    /// Adds a run, or what is new of a known one. Returns whether anything was new, and whether the
    /// run is cleared.
    pub(super) fn merge(&mut self, run: Run) -> (bool, bool) {
        let Some(known) = self.runs.iter_mut().find(|known| known.crash == run.crash) else {
            self.add(run);
            return (true, run.is_cleared);
        };
        let is_new = (run.is_trial && !known.is_trial) || (run.is_cleared && !known.is_cleared);
        (known.request, known.account) =
            (known.request, known.account).min((run.request, run.account));
        known.is_trial |= run.is_trial;
        known.is_cleared |= run.is_cleared;
        (is_new, known.is_cleared)
    }

    /// Adds a run. Beyond the limit, one that does not count any more is dropped, or the oldest.
    fn add(&mut self, run: Run) {
        if MAX_RUNS <= self.runs.len() {
            let runs = self.runs.iter().enumerate();
            let dropped = runs.min_by_key(|(_, run)| (!run.is_cleared, run.at));
            if let Some(index) = dropped.map(|(index, _)| index) {
                self.runs.remove(index);
            }
        }
        self.runs.push(run);
    }

    pub(super) fn record(&self, now: Moment, digest: Digest) -> Record {
        let runs = self.runs.iter().map(|run| suspect::Run {
            crash: run.crash,
            request: run.request,
            account: run.account,
            age: now.saturating_sub(run.at),
            is_trial: run.is_trial,
            is_cleared: run.is_cleared,
        });
        let quarantine = (0 < self.quarantines).then(|| Quarantine {
            count: self.quarantines,
            remaining: self.quarantined_until.saturating_sub(now),
        });
        Record {
            digest,
            kind: self.kind,
            account: self.account.clone(),
            service: self.service.clone(),
            runs: runs.collect(),
            completed_age: self.completed_at.map(|at| now.saturating_sub(at)),
            quarantine,
        }
    }
}

/// Returns the short key of a client account.
pub(super) fn account_key(account: &Name) -> u64 {
    Digest::of(account.as_bytes()).prefix()
}
