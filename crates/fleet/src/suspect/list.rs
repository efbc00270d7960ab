//! The suspects known to one instance, and the decision on each.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use smallvec::SmallVec;

use crate::{
    Name,
    digest::Digest,
    lease::Moment,
    suspect::{self, Decision, Quarantine, Record, Report},
};

/// Number of crashes, all but one on trial, after which a request is quarantined if nothing else may
/// have caused them.
const MIN_CRASHES: usize = 2;
/// Number of crashes that suffice without a trial, if nothing else may have caused them: copies of
/// the request were sent before the first crash was known.
const MIN_CRASHES_WITHOUT_TRIAL: usize = 3;
/// Further crashes that it takes if the request completed shortly before the first one.
const COMPLETED_EXTRA_CRASHES: usize = 2;
/// Time before a crash in which a completion speaks for a request.
const COMPLETION_PERIOD: Duration = Duration::from_secs(10);
/// Time between two removals of expired entries.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Limit on the completions that are kept.
const MAX_COMPLETIONS: usize = 65_536;
/// Time after a crash in which the reports of other instances arrive.
const REPORT_PERIOD: Duration = Duration::from_millis(300);
/// Time between two crashes that may have a common cause other than a request.
const CROWD_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a changed suspect is in the reports to peers, since datagrams may be lost.
const REPEAT_PERIOD: Duration = Duration::from_millis(600);
/// Time for which a suspect that was cleared is kept, so that late reports do not bring it back.
const CLEARED_RETENTION: Duration = Duration::from_secs(30);
/// Longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(24 * 3600);
/// Limit on the number of suspects. Beyond it, the client account with the most loses one.
const MAX_SUSPECTS: usize = 4096;
/// Limit on the number of crashes; beyond it, the oldest is forgotten.
const MAX_CRASHES: usize = 4096;
/// Limit on the runs that are kept of one suspect.
const MAX_RUNS: usize = 16;

/// The suspects known to one instance.
#[derive(Clone, Debug)]
pub struct List {
    /// Time for which a suspect is kept after its last crash, and length of the first quarantine.
    retention: Duration,
    suspects: BTreeMap<Digest, Suspect>,
    crashes: HashMap<u64, Crash>,
    /// Time at which a request last completed at this instance.
    completions: HashMap<Digest, Moment>,
    /// Suspects whose quarantine started or ended, until this is taken.
    unsaved: Vec<Digest>,
    /// Time at which expired entries were last removed.
    expired_at: Moment,
}

/// A crash of a server while suspects ran there.
#[derive(Clone, Debug)]
struct Crash {
    service: Name,
    at: Moment,
    /// Whether the server turned out not to have crashed.
    is_refuted: bool,
}

#[derive(Clone, Debug)]
struct Suspect {
    account: Name,
    service: Name,
    runs: SmallVec<[Run; 2]>,
    /// Time of its last completion before it became a suspect, if any is known.
    completed_at: Option<Moment>,
    /// Number of quarantines so far.
    quarantines: u32,
    /// End of the latest quarantine.
    quarantined_until: Moment,
    /// Time of the latest change at this instance.
    changed_at: Moment,
}

/// What speaks against a suspect.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    /// Crashes at which no request that was quarantined ran.
    crashes: usize,
    /// Those of them at which it was the only suspect on trial.
    trials: usize,
}

/// A run that ended with a crash.
#[derive(Clone, Copy, Debug)]
struct Run {
    crash: u64,
    at: Moment,
    is_trial: bool,
    is_cleared: bool,
}

impl List {
    /// Creates an empty list that keeps a suspect for `retention` after its last crash. The first
    /// quarantine lasts as long.
    pub fn new(retention: Duration) -> List {
        let (suspects, crashes, completions, unsaved) = Default::default();
        let expired_at = Moment::ZERO;
        List { retention, suspects, crashes, completions, unsaved, expired_at }
    }

    /// Records a run that ended with a crash. Returns whether it was new.
    pub fn record(&mut self, now: Moment, report: &Report) -> bool {
        let Report { fingerprint, account, service, crash, is_trial } = report;
        let run = Run { crash: *crash, at: now, is_trial: *is_trial, is_cleared: false };
        let is_new = self.add_run(now, *fingerprint, (account, service), run);
        if is_new && let Some(suspect) = self.suspects.get_mut(fingerprint) {
            suspect.changed_at = now;
        }
        is_new
    }

    /// Merges what a peer knows of a suspect. Returns whether it was new.
    pub fn merge(&mut self, now: Moment, record: &Record) -> bool {
        let names = (&record.account, &record.service);
        let mut is_new = false;
        for run in &record.runs {
            let at = now.saturating_sub(run.age);
            let run =
                Run { crash: run.crash, at, is_trial: run.is_trial, is_cleared: run.is_cleared };
            is_new |= self.add_run(now, record.fingerprint, names, run);
        }
        let Some(suspect) = self.suspects.get_mut(&record.fingerprint) else { return is_new };
        // A completion from before the start of this instance is not recent.
        let completed_at = record.completed_age.and_then(|age| now.checked_sub(age));
        suspect.completed_at = suspect.completed_at.max(completed_at);
        if let Some(Quarantine { count, remaining }) = record.quarantine
            && suspect.quarantines < count
        {
            suspect.quarantines = count;
            suspect.quarantined_until = now + remaining.min(MAX_QUARANTINE);
            is_new = true;
        }
        is_new
    }

    /// Records that a request has completed, which clears it of all its crashes so far. Returns
    /// whether it was a suspect.
    pub fn complete(&mut self, now: Moment, fingerprint: &Digest) -> bool {
        if self.completions.len() < MAX_COMPLETIONS || self.completions.contains_key(fingerprint) {
            self.completions.insert(*fingerprint, now);
        }
        let Some(suspect) = self.suspects.get_mut(fingerprint) else { return false };
        let is_open = suspect.is_open();
        if is_open {
            suspect.runs.iter_mut().for_each(|run| run.is_cleared = true);
            suspect.changed_at = now;
            if 0 < suspect.quarantines {
                save(&mut self.unsaved, *fingerprint);
            }
        }
        is_open
    }

    /// Records that a server did not crash, and clears the suspects that ran there of this crash.
    /// Returns whether this is new.
    pub fn refute(&mut self, now: Moment, crash: u64) -> bool {
        let Some(known) = self.crashes.get_mut(&crash).filter(|known| !known.is_refuted) else {
            return false;
        };
        known.is_refuted = true;
        for (fingerprint, suspect) in &mut self.suspects {
            let runs = suspect.runs.iter_mut();
            for run in runs.filter(|run| run.crash == crash && !run.is_cleared) {
                run.is_cleared = true;
                suspect.changed_at = now;
            }
            if suspect.changed_at == now && 0 < suspect.quarantines && !suspect.is_open() {
                save(&mut self.unsaved, *fingerprint);
            }
        }
        true
    }

    /// Returns the time of a crash, unless it is unknown or was refuted.
    pub fn crashed_at(&self, crash: u64) -> Option<Moment> {
        self.crashes.get(&crash).filter(|known| !known.is_refuted).map(|known| known.at)
    }

    /// Returns how to run a request. Quarantines it if the evidence is sufficient by now.
    pub fn decide(&mut self, now: Moment, fingerprint: &Digest) -> Decision {
        let Some(suspect) = self.suspects.get(fingerprint) else { return Decision::Allow };
        let is_expired = suspect.expires_at(self.retention) <= now;
        let Some(last_crash_at) = suspect.last_crash_at().filter(|_| !is_expired) else {
            return Decision::Allow;
        };
        if now < suspect.quarantined_until {
            return Decision::Reject(suspect.quarantined_until - now);
        }
        let evidence = self.evidence(fingerprint, suspect);
        let is_sufficient = self.is_sufficient(fingerprint, suspect, evidence);
        let reported_at = last_crash_at + REPORT_PERIOD;
        if now < reported_at && (is_sufficient || 0 < suspect.fresh_trials()) {
            return Decision::Hold(reported_at - now);
        }
        if is_sufficient {
            return Decision::Reject(self.quarantine(now, fingerprint));
        }
        Decision::Try { is_exclusive: 1 < suspect.open_runs().count() }
    }

    /// Returns what changed lately at this instance, for its peers.
    pub fn changes(&self, now: Moment) -> Vec<Record> {
        let changed = self.suspects.iter();
        let changed = changed.filter(|(_, suspect)| now < suspect.changed_at + REPEAT_PERIOD);
        changed.map(|(fingerprint, suspect)| suspect.record(now, *fingerprint)).collect()
    }

    /// Returns the record of one suspect.
    pub fn get(&self, now: Moment, fingerprint: &Digest) -> Option<Record> {
        let suspect = self.suspects.get(fingerprint)?;
        Some(suspect.record(now, *fingerprint))
    }

    /// Returns the suspects that are in quarantine.
    pub fn quarantined(&self, now: Moment) -> Vec<Record> {
        let suspects = self.suspects.iter();
        let quarantined = suspects.filter(|(_, suspect)| suspect.is_quarantined(now));
        quarantined.map(|(fingerprint, suspect)| suspect.record(now, *fingerprint)).collect()
    }

    /// Takes the suspects whose quarantine started or ended at this instance.
    pub fn take_unsaved(&mut self) -> Vec<Digest> {
        std::mem::take(&mut self.unsaved)
    }

    pub fn has_unsaved(&self) -> bool {
        !self.unsaved.is_empty()
    }

    /// Returns the number of suspects that were not cleared.
    pub fn open_count(&self) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|suspect| suspect.is_open()).count()
    }

    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Removes what has expired, unless it did so lately.
    pub fn expire(&mut self, now: Moment) {
        if now < self.expired_at + EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        let retention = self.retention;
        let unsaved = &mut self.unsaved;
        self.suspects.retain(|fingerprint, suspect| {
            let is_kept = now < suspect.expires_at(retention);
            if !is_kept && 0 < suspect.quarantines {
                save(unsaved, *fingerprint);
            }
            is_kept
        });
        self.crashes.retain(|_, crash| now < crash.at + retention);
        self.completions.retain(|_, completed_at| now < *completed_at + COMPLETION_PERIOD);
    }

    /// Adds a run, or what is new of a known one. Returns whether anything was new.
    fn add_run(
        &mut self,
        now: Moment,
        fingerprint: Digest,
        (account, service): (&Name, &Name),
        reported: Run,
    ) -> bool {
        let completed_at = self.completions.get(&fingerprint).copied();
        let has_completed = completed_at.is_some_and(|completed_at| reported.at <= completed_at);
        let is_refuted = self.add_crash(service, &reported);
        let is_cleared = reported.is_cleared || has_completed || is_refuted;
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room(now);
        }
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect {
            account: account.clone(),
            service: service.clone(),
            runs: SmallVec::new(),
            completed_at: None,
            quarantines: 0,
            quarantined_until: Moment::ZERO,
            changed_at: Moment::ZERO,
        });
        let was_open = suspect.is_open();
        let (is_new, is_cleared) = suspect.merge(Run { is_cleared, ..reported });
        // The peers have to know what speaks for it.
        if suspect.completed_at < completed_at || is_cleared && !reported.is_cleared {
            suspect.completed_at = suspect.completed_at.max(completed_at);
            suspect.changed_at = now;
        }
        if was_open && !suspect.is_open() && 0 < suspect.quarantines {
            save(&mut self.unsaved, fingerprint);
        }
        is_new
    }

    /// Adds the crash of a run. Returns whether it was refuted.
    fn add_crash(&mut self, service: &Name, run: &Run) -> bool {
        if !self.crashes.contains_key(&run.crash) && MAX_CRASHES <= self.crashes.len() {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                self.crashes.remove(&oldest);
            }
        }
        let crash = self.crashes.entry(run.crash).or_insert_with(|| Crash {
            service: service.clone(),
            at: run.at,
            is_refuted: false,
        });
        crash.is_refuted
    }

    /// Removes expired suspects and, if there is no room for one more, one of the account that has
    /// the most: so no account can displace the suspects of another one.
    fn make_room(&mut self, now: Moment) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.expire(now);
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let mut counts: HashMap<&Name, usize> = HashMap::new();
        for suspect in self.suspects.values() {
            *counts.entry(&suspect.account).or_default() += 1;
        }
        let most = counts.values().max().copied();
        let of_largest = self
            .suspects
            .iter()
            .filter(|(_, suspect)| counts.get(&suspect.account) == most.as_ref());
        let least = of_largest.min_by_key(|(_, suspect)| {
            (suspect.is_quarantined(now), suspect.last_crash_at(), suspect.changed_at)
        });
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Returns what speaks against a suspect.
    fn evidence(&self, fingerprint: &Digest, suspect: &Suspect) -> Evidence {
        let runs = suspect.open_runs();
        let unexplained = runs.filter(|run| !self.is_explained(fingerprint, run.crash));
        let unexplained: SmallVec<[&Run; 4]> = unexplained.collect();
        let is_alone = |run: &Run| {
            let mut others = self.others(fingerprint);
            !others.any(|other| {
                other.open_runs().any(|theirs| theirs.crash == run.crash && theirs.is_trial)
            })
        };
        let trials = unexplained.iter().filter(|run| run.is_trial && is_alone(run));
        Evidence { crashes: unexplained.len(), trials: trials.count() }
    }

    /// Returns whether another request that is or was quarantined ran at a crash.
    fn is_explained(&self, fingerprint: &Digest, crash: u64) -> bool {
        let mut quarantined = self.others(fingerprint).filter(|other| 0 < other.quarantines);
        quarantined.any(|other| other.open_runs().any(|run| run.crash == crash))
    }

    /// Returns whether the evidence against a suspect suffices for a quarantine.
    fn is_sufficient(&self, fingerprint: &Digest, suspect: &Suspect, evidence: Evidence) -> bool {
        if 0 < suspect.quarantines {
            return 0 < suspect.fresh_trials();
        }
        let mut others = self.others(fingerprint);
        let is_covered = others.any(|other| !other.completed_before() && other.covers(suspect));
        let is_crowded = self.has_crashes_around(fingerprint, suspect);
        let has_completed = suspect.completed_before();
        let required = MIN_CRASHES
            + usize::from(is_covered)
            + usize::from(is_crowded)
            + if has_completed { COMPLETED_EXTRA_CRASHES } else { 0 };
        let has_no_doubt = required == MIN_CRASHES;
        let is_sufficient_without_trial =
            has_no_doubt && MIN_CRASHES_WITHOUT_TRIAL <= evidence.crashes;
        let is_sufficient_on_trial =
            required <= evidence.crashes && required <= evidence.trials + 1;
        is_sufficient_on_trial || is_sufficient_without_trial
    }

    /// Returns whether servers of the service crashed at about the time of the suspect's last crash
    /// without it, and without a request that was quarantined.
    fn has_crashes_around(&self, fingerprint: &Digest, suspect: &Suspect) -> bool {
        let Some(last) = suspect.last_crash_at() else { return false };
        let mut crashes = self.crashes.iter().filter(|(_, crash)| {
            !crash.is_refuted
                && crash.service == suspect.service
                && crash.at.abs_diff(last) < CROWD_PERIOD
        });
        crashes.any(|(id, _)| {
            suspect.open_runs().all(|run| run.crash != *id) && !self.is_explained(fingerprint, *id)
        })
    }

    fn others(&self, fingerprint: &Digest) -> impl Iterator<Item = &Suspect> {
        let fingerprint = *fingerprint;
        let others = self.suspects.iter().filter(move |(known, _)| **known != fingerprint);
        others.map(|(_, suspect)| suspect)
    }

    /// Quarantines a suspect. Returns the time until the end.
    fn quarantine(&mut self, now: Moment, fingerprint: &Digest) -> Duration {
        let Some(suspect) = self.suspects.get_mut(fingerprint) else { return Duration::ZERO };
        let length = self.retention.saturating_mul(2u32.saturating_pow(suspect.quarantines));
        let length = length.min(MAX_QUARANTINE);
        suspect.quarantines += 1;
        suspect.quarantined_until = now + length;
        suspect.changed_at = now;
        save(&mut self.unsaved, *fingerprint);
        length
    }
}

/// Adds a suspect to those whose quarantine started or ended.
fn save(unsaved: &mut Vec<Digest>, fingerprint: Digest) {
    if unsaved.len() < MAX_SUSPECTS && !unsaved.contains(&fingerprint) {
        unsaved.push(fingerprint);
    }
}

impl Suspect {
    /// Returns the runs that the suspect was not cleared of.
    fn open_runs(&self) -> impl Iterator<Item = &Run> {
        self.runs.iter().filter(|run| !run.is_cleared)
    }

    fn is_open(&self) -> bool {
        self.open_runs().next().is_some()
    }

    fn last_crash_at(&self) -> Option<Moment> {
        self.open_runs().map(|run| run.at).max()
    }

    /// Returns whether the suspect completed shortly before the first of its crashes.
    fn completed_before(&self) -> bool {
        let first_crash_at = self.open_runs().map(|run| run.at).min();
        let (Some(first), Some(completed_at)) = (first_crash_at, self.completed_at) else {
            return false;
        };
        first < completed_at + COMPLETION_PERIOD
    }

    /// Returns the number of trials that ended in a crash since the latest quarantine.
    fn fresh_trials(&self) -> usize {
        let trials = self.open_runs().filter(|run| run.is_trial);
        trials.filter(|run| self.quarantined_until <= run.at).count()
    }

    /// Returns whether this one was running at each crash of another suspect.
    fn covers(&self, other: &Suspect) -> bool {
        let has = |crash: u64| self.open_runs().any(|run| run.crash == crash);
        other.open_runs().all(|run| has(run.crash))
    }

    fn is_quarantined(&self, now: Moment) -> bool {
        now < self.quarantined_until && self.is_open()
    }

    fn expires_at(&self, retention: Duration) -> Moment {
        let Some(last_crash_at) = self.last_crash_at() else {
            let last = self.runs.iter().map(|run| run.at).max().unwrap_or_default();
            return last.max(self.changed_at) + CLEARED_RETENTION;
        };
        last_crash_at.max(self.quarantined_until) + retention
    }

    /// Adds a run, or what is new of a known one. Returns whether anything was new, and whether the
    /// run is cleared.
    fn merge(&mut self, run: Run) -> (bool, bool) {
        let Some(known) = self.runs.iter_mut().find(|known| known.crash == run.crash) else {
            self.add(run);
            return (true, run.is_cleared);
        };
        let is_new = (run.is_trial && !known.is_trial) || (run.is_cleared && !known.is_cleared);
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

    fn record(&self, now: Moment, fingerprint: Digest) -> Record {
        let runs = self.runs.iter().map(|run| suspect::Run {
            crash: run.crash,
            age: now.saturating_sub(run.at),
            is_trial: run.is_trial,
            is_cleared: run.is_cleared,
        });
        let quarantine = (0 < self.quarantines).then(|| Quarantine {
            count: self.quarantines,
            remaining: self.quarantined_until.saturating_sub(now),
        });
        Record {
            fingerprint,
            account: self.account.clone(),
            service: self.service.clone(),
            runs: runs.collect(),
            completed_age: self.completed_at.map(|at| now.saturating_sub(at)),
            quarantine,
        }
    }
}
