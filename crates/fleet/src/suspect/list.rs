//! The suspects known to one instance, and the decision on each.

mod completions;
mod evidence;
mod state;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use smallvec::{SmallVec, smallvec};

use crate::{
    Name,
    digest::Digest,
    lease::Moment,
    suspect::{
        Attribute, Decision, Identity, Kind, Quarantine, Record, Report, Suspects,
        list::{
            completions::Completions,
            state::{Run, Suspect, account_key},
        },
    },
};

/// Time between two removals of expired entries.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a crash in which the reports of other instances arrive.
const REPORT_PERIOD: Duration = Duration::from_millis(300);
/// Time for which a changed suspect is in the reports to peers, since datagrams may be lost.
const REPEAT_PERIOD: Duration = Duration::from_millis(600);
/// Length of the first quarantine of an attribute while no request without it completes, either.
const UNCONFIRMED_QUARANTINE: Duration = Duration::from_secs(10);
/// Longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(24 * 3600);
/// Limit on the number of suspects. Beyond it, the client account with the most loses one.
const MAX_SUSPECTS: usize = 4096;
/// Limit on the number of crashes; beyond it, the oldest is forgotten.
const MAX_CRASHES: usize = 4096;

/// The suspects known to one instance.
#[derive(Clone, Debug)]
pub struct List {
    /// Time for which a suspect is kept after its last crash, and length of the first quarantine.
    retention: Duration,
    suspects: BTreeMap<Digest, Suspect>,
    crashes: HashMap<u64, Crash>,
    completions: Completions,
    /// Time at which a request of a service that was no suspect last completed at this instance.
    served: HashMap<Name, Moment>,
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

impl List {
    /// Creates an empty list that keeps a suspect for `retention` after its last crash. The first
    /// quarantine lasts as long.
    pub fn new(retention: Duration) -> List {
        let (suspects, crashes, completions, served, unsaved) = Default::default();
        let expired_at = Moment::ZERO;
        List { retention, suspects, crashes, completions, served, unsaved, expired_at }
    }

    /// Records a request that was running at a crash. Returns whether it was new.
    pub fn record(&mut self, now: Moment, report: &Report) -> bool {
        let Report { request, service, crash, on_trial } = report;
        let run = |suspect: &Digest| Run {
            crash: *crash,
            request: request.fingerprint.prefix(),
            account: account_key(&request.account),
            at: now,
            is_trial: on_trial.contains(suspect),
            is_cleared: false,
        };
        let names = (&request.account, service);
        let fingerprint = request.fingerprint;
        let key = (fingerprint, Kind::Request);
        let mut is_new = self.record_run(now, key, names, run(&fingerprint));
        for Attribute { digest, .. } in &request.attributes {
            is_new |= self.record_run(now, (*digest, Kind::Attribute), names, run(digest));
        }
        is_new
    }

    /// Merges what a peer knows of a suspect. Returns whether it was new.
    pub fn merge(&mut self, now: Moment, record: &Record) -> bool {
        let names = (&record.account, &record.service);
        let mut is_new = false;
        for run in &record.runs {
            let at = now.saturating_sub(run.age);
            let run = Run {
                crash: run.crash,
                request: run.request,
                account: run.account,
                at,
                is_trial: run.is_trial,
                is_cleared: run.is_cleared,
            };
            is_new |= self.add_run(now, (record.digest, record.kind), names, run);
        }
        let Some(suspect) = self.suspects.get_mut(&record.digest) else { return is_new };
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

    /// Records that a request has completed, which clears it of all its crashes so far, and each of
    /// its attributes of one if it succeeded: an error may come before what crashes a server. Returns
    /// the suspects that were cleared of any.
    pub fn complete(
        &mut self,
        now: Moment,
        request: &Identity,
        service: &Name,
        has_succeeded: bool,
    ) -> Suspects {
        let mut cleared = Suspects::new();
        let account = account_key(&request.account);
        let count = if has_succeeded { usize::MAX } else { 1 };
        for digest in request.digests().take(count) {
            self.completions.record(now, digest, account);
            if self.clear(now, digest) {
                cleared.push(*digest);
            }
        }
        if has_succeeded && cleared.is_empty() {
            self.served.insert(service.clone(), now);
        }
        cleared
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

    /// Returns how to run a request. Quarantines it or its attributes if the evidence is sufficient
    /// by now.
    pub fn decide(&mut self, now: Moment, request: &Identity) -> Decision {
        let digests = request.digests().copied().collect();
        self.decide_suspects(now, &request.account, &digests)
    }

    /// Returns how to run a request of an account that is, or has, all of these suspects.
    pub fn decide_suspects(
        &mut self,
        now: Moment,
        account: &Name,
        suspects: &Suspects,
    ) -> Decision {
        let decisions = suspects.iter().map(|it| self.decide_suspect(now, account, it, suspects));
        decisions.fold(Decision::Allow, Decision::and)
    }

    /// Returns how to run a request of an account because of one of its `suspects`.
    fn decide_suspect(
        &mut self,
        now: Moment,
        account: &Name,
        digest: &Digest,
        suspects: &Suspects,
    ) -> Decision {
        let Some(suspect) = self.suspects.get(digest) else { return Decision::Allow };
        let is_expired = suspect.expires_at(self.retention) <= now;
        let Some(last_crash_at) = suspect.last_crash_at().filter(|_| !is_expired) else {
            return Decision::Allow;
        };
        let is_attribute = suspect.kind == Kind::Attribute;
        let is_exclusive = !is_attribute && 1 < suspect.open_runs().count();
        let trial = Decision::Try { suspects: smallvec![*digest], is_exclusive };
        if is_attribute && !suspect.concerns(account) {
            return if suspect.completed_before() { Decision::Allow } else { trial };
        }
        let companions = self.companions(digest, suspect);
        let has_companions = companions.iter().all(|companion| suspects.contains(companion));
        if now < suspect.quarantined_until {
            let remaining = suspect.quarantined_until - now;
            return if has_companions { Decision::Reject(remaining) } else { trial };
        }
        let is_sufficient = self.is_sufficient(digest, suspect);
        let reported_at = last_crash_at + REPORT_PERIOD;
        let awaits_reports = is_sufficient || !is_attribute && 0 < suspect.fresh_trials();
        if now < reported_at && awaits_reports {
            return Decision::Hold(reported_at - now);
        }
        if is_sufficient && has_companions {
            return Decision::Reject(self.quarantine(now, digest));
        }
        if is_attribute && self.runs_freely(digest, suspect) {
            return Decision::Allow;
        }
        trial
    }

    /// Returns those suspects that a request is or has for which it is rejected.
    pub fn rejected(&mut self, now: Moment, request: &Identity) -> Suspects {
        let suspects: Suspects = request.digests().copied().collect();
        let is_rejected = |suspect: &&Digest| {
            let decision = self.decide_suspect(now, &request.account, suspect, &suspects);
            matches!(decision, Decision::Reject(_))
        };
        suspects.iter().filter(is_rejected).copied().collect()
    }

    /// Returns what changed lately at this instance, for its peers.
    pub fn changes(&self, now: Moment) -> Vec<Record> {
        let changed = self.suspects.iter();
        let changed = changed.filter(|(_, suspect)| now < suspect.changed_at + REPEAT_PERIOD);
        changed.map(|(fingerprint, suspect)| suspect.record(now, *fingerprint)).collect()
    }

    /// Returns the record of one suspect.
    pub fn get(&self, now: Moment, digest: &Digest) -> Option<Record> {
        let suspect = self.suspects.get(digest)?;
        Some(suspect.record(now, *digest))
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
        self.completions.expire(now);
        self.served.retain(|_, served_at| now < *served_at + retention);
    }

    /// Clears a suspect that has completed: a request of all its crashes, an attribute of one.
    /// Returns whether there were any.
    fn clear(&mut self, now: Moment, digest: &Digest) -> bool {
        let Some(suspect) = self.suspects.get_mut(digest) else { return false };
        let is_cleared = match suspect.kind {
            Kind::Request => suspect.clear_all(),
            Kind::Attribute => {
                suspect.completed_at = Some(now);
                suspect.clear_oldest()
            }
        };
        if is_cleared {
            suspect.changed_at = now;
            if 0 < suspect.quarantines && !suspect.is_open() {
                save(&mut self.unsaved, *digest);
            }
        }
        is_cleared
    }

    /// Adds a run of this instance, and tells its peers of it if it is new.
    fn record_run(
        &mut self,
        now: Moment,
        key: (Digest, Kind),
        names: (&Name, &Name),
        run: Run,
    ) -> bool {
        let is_new = self.add_run(now, key, names, run);
        if is_new && let Some(suspect) = self.suspects.get_mut(&key.0) {
            suspect.changed_at = now;
        }
        is_new
    }

    /// Adds a run, or what is new of a known one. Returns whether anything was new.
    fn add_run(
        &mut self,
        now: Moment,
        (digest, kind): (Digest, Kind),
        (account, service): (&Name, &Name),
        reported: Run,
    ) -> bool {
        let completed_at = self.completions.last(&digest);
        let has_completed = completed_at.is_some_and(|completed_at| reported.at <= completed_at);
        let is_refuted = self.add_crash(service, &reported);
        let is_cleared = reported.is_cleared || has_completed || is_refuted;
        if !self.suspects.contains_key(&digest) {
            self.make_room(now);
        }
        let suspect = self.suspects.entry(digest).or_insert_with(|| Suspect {
            kind,
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
            save(&mut self.unsaved, digest);
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
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.suspects.remove(&digest);
        }
    }

    /// Quarantines a suspect. Returns the time until the end.
    fn quarantine(&mut self, now: Moment, digest: &Digest) -> Duration {
        let Some(suspect) = self.suspects.get(digest) else { return Duration::ZERO };
        let is_confirmed = suspect.kind == Kind::Request || self.have_others_completed(suspect);
        let Some(suspect) = self.suspects.get_mut(digest) else { return Duration::ZERO };
        let base = if is_confirmed { self.retention } else { UNCONFIRMED_QUARANTINE };
        let length = base.saturating_mul(2u32.saturating_pow(suspect.quarantines));
        let length = length.min(MAX_QUARANTINE);
        suspect.quarantines += 1;
        suspect.quarantined_until = now + length;
        suspect.changed_at = now;
        save(&mut self.unsaved, *digest);
        length
    }
}

/// Adds a suspect to those whose quarantine started or ended.
fn save(unsaved: &mut Vec<Digest>, digest: Digest) {
    if unsaved.len() < MAX_SUSPECTS && !unsaved.contains(&digest) {
        unsaved.push(digest);
    }
}
